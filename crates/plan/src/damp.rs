//! Terms in use, on their way to new ones.
//!
//! Forwarders that read the same late figures and act on them at once move their shares in step, and back
//! again when the figures follow. So each goes half of the way at a time, at moments of its own that its seed
//! draws. Use it for terms, from which shares come; not for marks, which have their own way.

use crate::ids::Node;
use crate::solve::Queue;
use crate::{spread, Micros};
use std::collections::BTreeMap;

/// Part of the way that a step goes.
const GAIN: f64 = 0.5;

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct DampedTerms {
    used: BTreeMap<Node, (Queue, f64)>,
    next: Micros,
    every: Micros,
}

impl DampedTerms {
    /// Steps every so long, from a moment that the seed draws.
    pub fn new(now: Micros, seed: u64, every: Micros) -> Self {
        let every = every.max(1);
        DampedTerms {
            next: now.saturating_add(spread::delay(seed, 3, 0, every)),
            every,
            ..DampedTerms::default()
        }
    }

    /// When the next step is.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// Takes a step toward these terms if it is time; nodes that are not among them are let go. The first
    /// terms of a node are used as they are. The second figure is trust.
    pub fn step(&mut self, now: Micros, toward: impl Iterator<Item = (Node, (Queue, f64))>) -> bool {
        if now < self.next {
            return false;
        }
        let late = now.saturating_sub(self.next) / self.every;
        self.next = self.next.saturating_add(self.every.saturating_mul(late + 1));
        let go = |from: f64, to: f64| from + (to - from) * GAIN;
        let step = |(node, (to, trust)): (Node, (Queue, f64))| {
            let Some((from, before)) = self.used.get(&node) else { return (node, (to, trust)) };
            let queue = Queue {
                rho: go(from.rho, to.rho),
                service: go(from.service, to.service),
                arrival_scv: go(from.arrival_scv, to.arrival_scv),
                service_scv: go(from.service_scv, to.service_scv),
            };
            (node, (queue, go(*before, trust)))
        };
        self.used = toward.map(step).collect();
        true
    }

    /// The terms in use, with their trust.
    pub fn used(&self) -> impl Iterator<Item = (Node, Queue, f64)> + '_ {
        self.used.iter().map(|(n, (q, trust))| (*n, *q, *trust))
    }
}
