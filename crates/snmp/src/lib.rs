//! An SNMP agent that serves published snapshots, the sender of its notifications, and a small manager.
//!
//! This crate does no I/O, reads no clock and draws no random numbers: datagrams and the current time are
//! passed in with each call, and datagrams are returned. It never reads the proxy's own tables: whoever runs
//! the agent publishes a [`Snapshot`] from time to time, and all requests are answered from that.
//!
//! | file | owns |
//! | --- | --- |
//! | [`oid`], [`value`] | names and values of managed objects |
//! | [`reader`] | the bounds of a datagram, before any ASN.1 crate sees it |
//! | [`message`] | messages and PDUs, to and from bytes |
//! | [`usm`] | users: keys, authentication, privacy (RFC 3414, 7860, 3826) |
//! | [`access`] | communities, views, source ranges |
//! | [`tally`], [`snapshot`], [`stats`] | what is counted, and what is published |
//! | [`tree`] | the instances that this makes, in order |
//! | [`agent`] | a request's datagram in, a response's out |
//! | [`watch`], [`notify`] | what changed between snapshots; traps and informs, damped and resent |
//! | [`manager`] | requests out, responses in, for managers and for senders of informs |
//! | [`listener`] | notifications in, acknowledgements out |
//! | [`mib`] | names and types, read from the MIB's own text |
//!
//! Each file depends only on files above it in this table. `docs/design/snmp.md` explains the design.

#![forbid(unsafe_code)]

/// Runs the example of the package's README as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Page;

pub mod access;
pub mod agent;
pub mod listener;
pub mod manager;
pub mod message;
pub mod mib;
pub mod notify;
pub mod oid;
pub mod reader;
pub mod snapshot;
pub mod stats;
pub mod tally;
pub mod tree;
pub mod usm;
pub mod value;
pub mod watch;

pub use agent::Agent;
pub use notify::Notifier;
pub use oid::Oid;
pub use snapshot::Snapshot;
pub use tree::Tree;
pub use value::Value;

/// A point in time or a duration, in microseconds. The clock's zero is arbitrary.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
