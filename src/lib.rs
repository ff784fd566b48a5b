//! Request routing for a proxy (router) that spreads keys over cache servers in front of a slow origin.
//!
//! The decision module is sans-I/O: feed [`interface::Event`]s with their timestamps to a
//! [`choice::Balancer`] and execute the [`interface::Action`]s it returns. It reads no clock, opens no socket
//! and shares no state between instances; the same events always give the same actions.
//!
//! The rest of the proxy is built around it: [`codec`] (encoding and decoding of bytes), [`core`] (streams,
//! without I/O), [`net`] (sockets), [`features`] (optional features enabled by the operator), [`owner`] (the
//! task that owns all state) and [`commands`] (the command line).
//!
//! The README has a minimal example with two servers, which is compiled and run as a doctest of this crate.

#![forbid(unsafe_code)]

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

pub mod admission;
pub mod choice;
mod clock;
pub mod codec;
pub mod commands;
pub mod config;
pub mod core;
pub mod features;
mod id_map;
pub mod interface;
pub mod log;
pub mod net;
pub mod owner;
mod scheduler;
mod servers;
pub mod settings;
mod signals;
mod slow_start;
mod state;
mod view;
pub use state::Terms;
