//! Decisions of a proxy (router) that spreads keys over cache servers in front of a slow origin.
//!
//! The library is sans-I/O: feed [`interface::Event`]s with the time they happened to a
//! [`choice::Balancer`], carry out the [`interface::Action`]s it answers with. It reads no clock, opens
//! no socket and shares nothing between instances; the same events give the same actions.
//!
//! Round it lie the parts of the proxy: [`codec`] (bytes), [`core`] (streams, no I/O), [`net`] (sockets),
//! [`features`] (what operators turn on), [`owner`] (the task that holds all of it) and [`commands`] (the
//! program).
//!
//! A first request with two servers is in the README, whose example is tested with this crate.

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
mod servers;
pub mod settings;
mod signals;
mod slow_start;
mod state;
mod view;
pub use state::Terms;
