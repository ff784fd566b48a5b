//! What may be out at one cache node of a proxy, and whether the node still says anything.
//!
//! Use it before each of many nodes that turn away what they cannot take. Do not use it before one that
//! queues without end: being turned away is what it learns from.
//!
//! A node that has never turned anything away has no limit: it says itself when it is full, at once and for
//! nothing. From then on a limit spares it the asking: [`CUT`] of what was out when it said so, and
//! [`RISE`] more a round of answers.
//!
//! A hang shows in what does not come. While something is out, [`NodeLimit::silence`] counts from the last sign of
//! life or, if that is later, from the first thing sent after a time with nothing out. A pause of a busy node
//! looks the same at first, so who asks has to allow for one.
//!
//! - At the start: no limit, and nothing out.
//! - After silence with nothing out: the limit stays as it was; an idle node is not silent.
//! - When all answers are errors: errors are signs of life and leave the limit alone.
//! - A clock that goes back makes the silence shorter, never negative.
//!
//! Source: up by one a round and down by a factor, Chiu and Jain, Computer Networks and ISDN Systems 17 (1989).
//! The figures: `docs/design/limits.md`.

use crate::{Ending, Limit, Micros, Sample};

/// What is left of what was out when the node turned something away.
const CUT: f64 = 0.9;
/// What the limit gains a round of answers while it is pressed, and what part of it must be out for that.
const RISE: f64 = 3.0;
const PRESSED: f64 = 0.7;
/// The limit at which it is forgotten: nothing that is sent there reaches it.
const FREE: f64 = 1024.0;

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct NodeLimit {
    limit: Option<f64>,
    /// Out now, and since when nothing was heard while something was.
    out: u32,
    unheard: Option<Micros>,
}

impl NodeLimit {
    /// How many are out.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// How long it has said nothing though something is out, in us; 0 with nothing out.
    pub fn silence(&self, now: Micros) -> Micros {
        self.unheard.map_or(0, |since| now.saturating_sub(since).max(0))
    }
}

impl Limit for NodeLimit {
    fn sent(&mut self, now: Micros, out: u32) {
        self.out = out;
        self.unheard = self.unheard.or(Some(now));
    }

    fn ended(&mut self, s: &Sample) {
        let out = f64::from(self.out.max(1));
        self.out = self.out.saturating_sub(1);
        // What was given up, or found no connection, is no sign of life.
        if !matches!(s.ending, Ending::Abandoned | Ending::Broken) {
            self.unheard = Some(s.now);
        }
        self.unheard = self.unheard.filter(|_| self.out > 0);
        self.limit = match (s.ending, self.limit) {
            (Ending::Refused, l) => Some((l.unwrap_or(out).min(out) * CUT).max(1.0)),
            (Ending::InTime | Ending::Slow, Some(l)) if out >= l * PRESSED => Some(l + RISE / l),
            (_, l) => l,
        };
        self.limit = self.limit.filter(|l| *l < FREE);
    }

    fn limit(&self, _now: Micros) -> f64 {
        self.limit.unwrap_or(f64::INFINITY)
    }
}
