//! Codec of the memcached binary protocol, for servers (decoding requests, encoding responses) and for
//! clients (the reverse).
//!
//! Modules: [`header`] is the 24-byte header of every frame; [`frame`] decodes frames from a receive buffer
//! and encodes them; [`opcode`] and [`status`] are the tables of numbers; [`form`] checks which parts each
//! command must and must not carry; [`sasl`] parses the message of the one supported mechanism.
//!
//! Callers pass a buffer of received bytes and get the first frame in it. Nothing is copied or retained: a
//! frame borrows from the caller's buffer. A buffer of [`frame::Limits::max_frame_len`] bytes is always
//! sufficient.
//!
//! Out of scope: the codec keeps no connection state, does not order responses and does not interpret
//! commands. Which commands are carried out, and what a missing response to a quiet command means, is up to
//! the caller. The text protocol is not supported; the codec only detects it ([`frame::Fault::Text`]).
//!
//! Sources: the protocol's description by its authors (`protocol-binary.txt` and the wiki page
//! "BinaryProtocolRevamped" of memcached, without the bodies of the obsolete range and TAP commands). Where
//! it differs from `protocol_binary.h`, the header file is followed: the SASL statuses are 0x20 and 0x21 on
//! the wire.
//!
//! ```
//! use memcached::{frame, Limits, Opcode, Request, Step};
//!
//! let mut bytes = Vec::new();
//! let get = Request { key: b"7f3a", opaque: 7, ..Request::new(Opcode::GETQ) };
//! get.put(&mut bytes).unwrap();
//! assert_eq!(frame::request(&bytes[..10], &Limits::default()), Ok(Step::Incomplete(24)));
//! assert_eq!(frame::request(&bytes, &Limits::default()), Ok(Step::Complete(get, 28)));
//! ```

pub mod form;
pub mod frame;
pub mod header;
pub mod opcode;
pub mod sasl;
pub mod status;

pub use frame::{Fault, Limits, Oversized, Request, Response, Step};
pub use header::{Header, Magic};
pub use opcode::Opcode;
pub use status::Status;
