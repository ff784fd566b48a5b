//! Replicates numbered changes to every proxy and tracks which proxies have applied each one.
//!
//! Two state machines do the work: [`Control`] on each control machine and [`Follower`] in each proxy.
//! Neither opens a socket, reads a clock or draws a random number: the host passes in the time as [`Micros`]
//! and messages as [`Message`]s, and carries out the outputs that they return.
//!
//! | module | contents |
//! | --- | --- |
//! | [`ids`], [`rules`], [`bounds`] | identifiers; timeouts, rates and capacities; hard limits on input |
//! | [`change`] | changes, positions, history digests, and the pieces that carry changes |
//! | [`message`], [`frame`] | the messages and their encoding |
//! | [`order`] | the order in which a follower tries control machines |
//! | [`log`] | the changes that a control machine retains, and what replaces those that it dropped |
//! | [`quorum`] | what a majority of the stores has persisted, and as of when this machine is up to date |
//! | [`bucket`] | a token bucket that limits bytes per second |
//! | [`control`], [`follower`] | the two state machines |
//!
//! A module depends only on the modules above it in this table.

#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

pub mod bounds;
pub mod bucket;
pub mod change;
pub mod control;
pub mod follower;
pub mod frame;
pub mod ids;
pub mod log;
pub mod message;
pub mod order;
pub mod quorum;
pub mod rules;

pub use change::{Change, Content, Head, Piece, Position, Record, SavedState};
pub use control::Control;
pub use follower::Follower;
pub use ids::{ControlId, FollowerId, StreamId};
pub use message::Message;
pub use order::Location;
pub use rules::{Rules, TopicKind};

/// A point in time or a duration, in microseconds. The epoch of the clock is arbitrary.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Identifies a connection. The host assigns the number and never reuses it.
pub type PeerId = u64;
