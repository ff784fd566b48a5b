//! Nothing is executed twice that must not be: a keyed request once per key, an unsafe one once.
//!
//! Executions are counted where they happen, if they had an effect; a detected repeat has none.

use super::Findings;
use crate::facts::{Fact, Final, NodeNo};
use crate::outcome::Rule;
use crate::random::Map;
use crate::scenario::{Repeat, Scenario};
use crate::Micros;

/// Minimum time for which executions are remembered: far longer than any window or patience.
const RETENTION: Micros = 120_000_000;

#[derive(Clone, Copy, Debug)]
struct Ran {
    at: Micros,
    node: NodeNo,
}

#[derive(Clone, Debug)]
pub struct RunOnce {
    repeats: Vec<Repeat>,
    /// By idempotency key, or by try if there is none.
    ran: Map<(bool, u64), Ran>,
    previously_ran: Map<(bool, u64), Ran>,
    next_rotation: Micros,
}

impl RunOnce {
    pub fn new(s: &Scenario) -> Self {
        RunOnce {
            repeats: s.clients.classes.iter().map(|c| c.repeat).collect(),
            ran: Map::default(),
            previously_ran: Map::default(),
            next_rotation: 0,
        }
    }

    pub fn observe(&mut self, at: Micros, fact: &Fact, findings: &mut Findings) {
        if at >= self.next_rotation {
            self.previously_ran = std::mem::take(&mut self.ran);
            self.next_rotation = at + RETENTION;
        }
        match *fact {
            Fact::Ran { node, of, class, key, effect: true, .. } => {
                let repeat = self.repeats.get(usize::from(class.0)).copied().unwrap_or_default();
                if repeat == Repeat::Safe {
                    return;
                }
                let id = key.filter(|_| repeat == Repeat::Keyed).map_or((false, of.0), |key| (true, key));
                let earlier = self.ran.get(&id).or_else(|| self.previously_ran.get(&id)).copied();
                if let Some(earlier) = earlier {
                    findings.add(Rule::RunOnce, at, || {
                        let apart = (at - earlier.at) / 1000;
                        format!(
                            "try {} ran again at {}, {apart} ms after it ran at {}",
                            of.0,
                            name(node),
                            name(earlier.node)
                        )
                    });
                }
                self.ran.insert(id, Ran { at, node });
            }
            // A refusal promises that a retry is harmless.
            Fact::Answered { proxy, of, how: Final::Refused } => {
                let id = (false, of.0);
                if self.ran.contains_key(&id) || self.previously_ran.contains_key(&id) {
                    findings.add(Rule::RunOnce, at, || {
                        format!(
                            "proxy {} refused try {}, which had run and must not run twice",
                            proxy.0, of.0
                        )
                    });
                }
            }
            _ => {}
        }
    }
}

fn name(node: NodeNo) -> String {
    if node == crate::facts::ORIGIN {
        "the ledger".into()
    } else {
        format!("node {}", node.0)
    }
}
