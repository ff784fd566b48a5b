//! Numbered changes carried to every proxy, and the proof that each has them.
//!
//! Two machines hold it together: [`Control`] in each control machine, [`Follower`] in each proxy. Neither opens
//! a socket, reads a clock or draws a number: time comes in as [`Micros`], messages as [`Message`]s, and what is
//! to be done comes out.
//!
//! | file | owns |
//! | --- | --- |
//! | [`ids`], [`rules`], [`bounds`] | names, times and rates, the most of everything |
//! | [`change`] | changes, positions, digests, the pieces that carry changes |
//! | [`message`], [`frame`] | the words between the machines, and their bytes |
//! | [`order`] | which control machines a follower turns to, in order |
//! | [`log`] | the changes that a control machine holds, and what stands for those that it dropped |
//! | [`quorum`] | what a majority of the stores holds, and as of when everything acknowledged is held |
//! | [`bucket`] | bytes allowed by time |
//! | [`control`], [`follower`] | the machines |
//!
//! Arrows point up in this table: a file uses those above it.

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

/// A point in time or a span, in microseconds. The zero of the clock has no meaning.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// A connection, by the number that the host gives it; each new one has another.
pub type PeerId = u64;
