//! What the proxy serves and what it serves from, as models: cache nodes, their stores, the ledger, discovery,
//! the network, a front and clients. Besides them the words of an experiment: a [`scenario`] says what is played,
//! [`facts`] are what happened, [`outcome`] is what came of it.
//!
//! No I/O and no clock in here: time comes in as [`Micros`], and randomness from seeds alone. Hosts (the `lab`
//! package has a virtual one and one on loopback sockets) move the models along. Not for the proxy itself, which
//! must know nothing of how the world is made.

#![forbid(unsafe_code)]

pub mod clients;
pub mod dedup;
pub mod discovery;
pub mod facts;
pub mod fleet;
pub mod front;
pub mod geography;
pub mod initial_contents;
pub mod ledger;
pub mod network;
pub mod node;
pub mod outcome;
pub mod random;
pub mod recorder;
pub mod rules;
pub mod scenario;
pub mod station;
pub mod store;
pub mod window_sum;
pub mod world;

/// A moment or a span, in microseconds.
pub type Micros = i64;

/// The kind under which discovery lists the ledger.
pub const LEDGER_KIND: &str = "origin";
