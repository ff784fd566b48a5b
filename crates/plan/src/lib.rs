//! Coordination between forwarders and planners: forwarders report what they observe, planners aggregate the
//! reports and publish plans, and forwarders merge the plans of several planners.
//!
//! The crate consists of two sans-I/O state machines: [`Forwarder`], which runs beside a proxy's decision
//! module, and [`Planner`], which runs in a process of its own. Neither opens a socket, reads a clock or
//! draws random numbers. Callers pass in the time as [`Micros`] and received [`Message`]s, and execute the
//! returned outputs. `docs/design/two-levels.md` explains why forwarders agree.
//!
//! | module | contents |
//! | --- | --- |
//! | [`ids`], [`rules`], [`bounds`] | identifiers, times and thresholds, size limits |
//! | [`moments`] | first two moments of a quantity |
//! | [`observations`] | what a forwarder observes, and the bounded reports made from it |
//! | [`message`], [`frame`] | the messages between the two machines and their encoding |
//! | [`join`] | the reports of all forwarders, aggregated per node (Eq. 1) |
//! | [`solve`] | the queueing terms of the paper (Eqs. 2 to 7) |
//! | [`silence`] | detection of silent nodes, per zone |
//! | [`parts`] | division of shared budgets so that the parts never exceed the whole |
//! | [`publish`] | plan numbers that never decrease |
//! | [`merge`] | which marks of several planners' plans are in force |
//! | [`damp`] | stepwise change of terms |
//! | [`spread`] | delays derived from a seed, so that forwarders do not act simultaneously |
//! | [`forwarder`], [`planner`] | the state machines |
//!
//! A module uses only modules above it in this table.

#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

pub mod bounds;
pub mod damp;
pub mod forwarder;
pub mod frame;
pub mod ids;
pub mod join;
pub mod merge;
pub mod message;
pub mod moments;
pub mod observations;
pub mod parts;
pub mod planner;
pub mod publish;
pub mod rules;
pub mod silence;
pub mod solve;
pub mod spread;

pub use forwarder::{Forwarder, Guidance};
pub use ids::{ForwarderId, Node, PlanNumber, Zone, ZoneSet};
pub use message::Message;
pub use planner::Planner;
pub use rules::Rules;

/// A point in time or a duration, in microseconds. The origin of the clock is arbitrary.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
