//! Simulation models of the proxy's environment: cache nodes and their stores, the origin (`ledger` in
//! scenario files and results), service discovery, the network between zones (`hall` in scenario files), the
//! front load balancer and the clients. It also defines experiments: a [`scenario`] is the input of a run,
//! [`facts`] are the observed events, [`outcome`] is the result.
//!
//! This crate does no I/O and reads no clock: time is passed in as [`Micros`], and all randomness derives
//! from seeds. A host drives the models; the `lab` package has one in virtual time and one on loopback
//! sockets. The proxy itself must not depend on this crate, since it must not know how its environment is
//! simulated.

#![forbid(unsafe_code)]

pub mod clients;
pub mod dedup;
pub mod discovery;
pub mod facts;
pub mod fleet;
pub mod front;
pub mod geography;
pub mod initial_contents;
pub mod network;
pub mod node;
pub mod origin;
pub mod outcome;
pub mod random;
pub mod recorder;
pub mod rules;
pub mod scenario;
pub mod station;
pub mod store;
pub mod window_sum;
pub mod world;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// The kind under which discovery lists the origin.
pub const ORIGIN_KIND: &str = "origin";
