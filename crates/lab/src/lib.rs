//! Experiments with the proxy in a world of our own: the parts of the program `lab`.
//!
//! [`host`] is where a scenario is played; [`fleet`] is many real processes and the faults between them; [`input`] reads what users hand in; [`experiment`] and [`search`] are
//! what is made of many runs; [`capacity`] is how a fleet grows with its size; [`report`] is what users get to see; [`commands`] put them together. Nothing in
//! here is a model of the world: those are in the `world` package. `docs/lab.md` is the page for users.

#![forbid(unsafe_code)]

#[cfg(doctest)]
#[doc = include_str!("../../../docs/lab.md")]
struct Page;

pub mod capacity;
pub mod commands;
pub mod dissemination;
pub mod experiment;
pub mod fleet;
pub mod host;
pub mod input;
pub mod loopback;
pub mod report;
pub mod search;
pub mod virtual_host;
