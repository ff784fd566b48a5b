//! Damping of the queueing terms that a forwarder uses.
//!
//! Forwarders that act at once on the same delayed measurements shift their shares in lockstep, and back
//! again when the measurements follow. Therefore each forwarder moves half of the remaining distance per
//! step, at times offset by its seed. This applies to terms, from which shares are computed; marks have their
//! own hysteresis in [`crate::merge`].

use crate::ids::Node;
use crate::solve::Queue;
use crate::{spread, Micros};
use std::collections::BTreeMap;

/// Fraction of the remaining distance covered by a step.
const GAIN: f64 = 0.5;

/// The damped terms per node, updated in periodic steps.
#[derive(Clone, Debug, Default)]
pub struct DampedTerms {
    current: BTreeMap<Node, (Queue, f64)>,
    next: Micros,
    every: Micros,
}

impl DampedTerms {
    /// Steps once per `every`, with a phase derived from the seed.
    pub fn new(now: Micros, seed: u64, every: Micros) -> Self {
        let every = every.max(1);
        DampedTerms {
            next: now.saturating_add(spread::delay(seed, 3, 0, every)),
            every,
            ..DampedTerms::default()
        }
    }

    /// The time of the next step.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// If a step is due, moves the current terms toward the given ones and returns `true`. Nodes that are not
    /// among the given ones are dropped; the first terms of a node are adopted unchanged. Each entry is a
    /// node, its terms and their trust.
    pub fn step(&mut self, now: Micros, toward: impl Iterator<Item = (Node, (Queue, f64))>) -> bool {
        if now < self.next {
            return false;
        }
        let late = now.saturating_sub(self.next) / self.every;
        self.next = self.next.saturating_add(self.every.saturating_mul(late + 1));
        let halfway = |from: f64, to: f64| from + (to - from) * GAIN;
        let stepped = |(node, (to, trust)): (Node, (Queue, f64))| {
            let Some((from, before)) = self.current.get(&node) else { return (node, (to, trust)) };
            let queue = Queue {
                rho: halfway(from.rho, to.rho),
                service: halfway(from.service, to.service),
                arrival_scv: halfway(from.arrival_scv, to.arrival_scv),
                service_scv: halfway(from.service_scv, to.service_scv),
            };
            (node, (queue, halfway(*before, trust)))
        };
        self.current = toward.map(stepped).collect();
        true
    }

    /// The current terms with their trust.
    pub fn current(&self) -> impl Iterator<Item = (Node, Queue, f64)> + '_ {
        self.current.iter().map(|(n, (q, trust))| (*n, *q, *trust))
    }
}
