//! The library of the program `lab`, which runs experiments with the proxy in a simulated environment.
//!
//! - [`host`] is the interface of the hosts that play scenarios: [`virtual_host`] and [`loopback`].
//! - [`fleet`] runs many real processes, with faults between them.
//! - [`input`] reads the files and arguments of users.
//! - [`experiment`] and [`search`] evaluate many runs.
//! - [`capacity`] measures how resource use grows with the size of a fleet.
//! - [`report`] produces the output for users.
//! - [`commands`] combines these parts into the subcommands.
//!
//! The models of clients, nodes and networks are in the `world` package. `docs/lab.md` is the page for users.

#![forbid(unsafe_code)]

#[cfg(doctest)]
#[doc = include_str!("../../../docs/lab.md")]
struct DocExamples;

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
