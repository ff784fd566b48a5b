//! What forwarders see, joined, solved and published by planners, and merged by forwarders again.
//!
//! Two machines hold it together: [`Forwarder`] beside a proxy's decisions, [`Planner`] in a process of its
//! own. Neither opens a socket, reads a clock or draws a number: time comes in as [`Micros`], messages as
//! [`Message`]s, and what is to be done comes out. `docs/design/two-levels.md` says why they agree.
//!
//! | file | owns |
//! | --- | --- |
//! | [`ids`], [`rules`], [`bounds`] | names, times and thresholds, the most of everything |
//! | [`moments`] | first two moments of a quantity |
//! | [`observations`] | what a forwarder sees, and the bounded part of it that goes to planners |
//! | [`message`], [`frame`] | the words between the two, and their bytes |
//! | [`join`] | what all forwarders see, by forwarder (Eq. 1) |
//! | [`solve`] | the terms of the paper (Eqs. 2 to 7) |
//! | [`silence`] | which nodes are silent, and for whom |
//! | [`parts`] | parts of a whole that never add up to more |
//! | [`publish`] | numbers that never go back |
//! | [`merge`] | what of several planners' plans is in force |
//! | [`damp`] | terms on their way to new ones, by steps |
//! | [`spread`] | moments drawn from a seed, so that forwarders do not move together |
//! | [`forwarder`], [`planner`] | the machines |
//!
//! Arrows point up in this table: a file uses those above it.

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

/// A point in time or a span, in microseconds. The zero of the clock has no meaning.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;
