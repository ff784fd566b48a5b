//! The memcached binary protocol's codec, for servers (requests in, responses out) and for clients (the other
//! way round).
//!
//! What it owns: the bytes of a frame. [`header`] has the 24 bytes that every frame begins with, [`frame`]
//! cuts frames out of what has come so far and writes them, [`opcode`] and [`status`] are the tables of
//! numbers, [`form`] is what each command must and must not carry, [`sasl`] the one mechanism's message.
//!
//! What it is for: whoever has a buffer of bytes and wants the first frame in it. Nothing is copied or kept:
//! a frame borrows from the caller's buffer, and [`frame::Limits::max_frame_len`] is the longest that buffer has to
//! be.
//!
//! When not to use it: it holds no connection, no order of answers and no meaning. Which commands are carried
//! out, and what silence means for a quiet one, is the caller's. It does not speak the text protocol; it only
//! tells that somebody else does ([`frame::Fault::Text`]).
//!
//! Sources: the protocol's description by its authors (`protocol-binary.txt` and the wiki page
//! "BinaryProtocolRevamped" of memcached, without the obsolete range and TAP commands' bodies), and the
//! numbers of `protocol_binary.h` where the two differ: the statuses of SASL are 0x20 and 0x21 on the wire.
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
