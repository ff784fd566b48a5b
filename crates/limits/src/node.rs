//! Limit for one cache node, and detection of a node that stopped answering.
//!
//! Use it for each of many nodes that reject what they cannot take. Don't use it for a server with an
//! unbounded queue: it learns from rejections.
//!
//! A node that never rejected anything has no limit: it signals overload itself, at once and at no cost.
//! After a rejection a limit avoids asking in vain: [`DECREASE`] times what was in flight at that moment,
//! and [`INCREASE`] more per round of answers.
//!
//! A hang shows by missing answers. While something is in flight, [`NodeLimit::silence`] counts from the
//! last answer or, if that is later, from the first request sent after a time with nothing in flight. A
//! pause of a busy node looks the same at first, so the caller has to allow for one.
//!
//! - At the start: no limit, and nothing in flight.
//! - After idle time: the limit stays as it was; an idle node is not silent.
//! - When all answers are errors: errors are signs of life and don't change the limit.
//! - A clock that goes back shortens the silence, never below 0.
//!
//! Source: additive increase per round and multiplicative decrease, Chiu and Jain, Computer Networks and
//! ISDN Systems 17 (1989). The values: `docs/design/limits.md`.

use crate::{Ending, Limit, Micros, Sample};

/// The share of the requests in flight at a rejection that becomes the limit.
const DECREASE: f64 = 0.9;
/// Increase per round of answers while the limit is in use, and the share of it that must be in flight for
/// that.
const INCREASE: f64 = 3.0;
const BUSY_SHARE: f64 = 0.7;
/// From this value on the limit is dropped: no proxy sends that much to one node.
const UNLIMITED_FROM: f64 = 1024.0;

/// Limit for one node; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct NodeLimit {
    limit: Option<f64>,
    /// Requests in flight, and since when the node has been silent with requests in flight.
    out: u32,
    silent_since: Option<Micros>,
}

impl NodeLimit {
    /// Requests in flight.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// How long the node has been silent with requests in flight, in us; 0 with nothing in flight.
    pub fn silence(&self, now: Micros) -> Micros {
        self.silent_since.map_or(0, |since| now.saturating_sub(since).max(0))
    }
}

impl Limit for NodeLimit {
    fn sent(&mut self, now: Micros, out: u32) {
        self.out = out;
        self.silent_since = self.silent_since.or(Some(now));
    }

    fn ended(&mut self, s: &Sample) {
        let out = f64::from(self.out.max(1));
        self.out = self.out.saturating_sub(1);
        // An abandoned request or a failed connection is no sign of life.
        if !matches!(s.ending, Ending::Abandoned | Ending::Broken) {
            self.silent_since = Some(s.now);
        }
        self.silent_since = self.silent_since.filter(|_| self.out > 0);
        self.limit = match (s.ending, self.limit) {
            (Ending::Refused, l) => Some((l.unwrap_or(out).min(out) * DECREASE).max(1.0)),
            (Ending::InTime | Ending::Slow, Some(l)) if out >= l * BUSY_SHARE => Some(l + INCREASE / l),
            (_, l) => l,
        };
        self.limit = self.limit.filter(|l| *l < UNLIMITED_FROM);
    }

    fn limit(&self, _now: Micros) -> f64 {
        self.limit.unwrap_or(f64::INFINITY)
    }
}
