//! Nothing runs twice that must not: a keyed request once under its key, an unsafe one once.
//!
//! Counted where things run, by whether they had an effect; a repeat that was recognised has none.

use super::Findings;
use crate::facts::{Fact, Final, NodeNo};
use crate::outcome::Rule;
use crate::random::Map;
use crate::scenario::{Repeat, Scenario};
use crate::Micros;

/// How long what ran is remembered, at least: far longer than any window or patience.
const HORIZON: Micros = 120_000_000;

#[derive(Clone, Copy, Debug)]
struct Ran {
    at: Micros,
    node: NodeNo,
}

#[derive(Clone, Debug)]
pub struct RunOnce {
    repeats: Vec<Repeat>,
    /// By idempotency key, or by the try where there is none.
    ran: Map<(bool, u64), Ran>,
    before: Map<(bool, u64), Ran>,
    turn: Micros,
}

impl RunOnce {
    pub fn new(s: &Scenario) -> Self {
        RunOnce {
            repeats: s.clients.classes.iter().map(|c| c.repeat).collect(),
            ran: Map::default(),
            before: Map::default(),
            turn: 0,
        }
    }

    pub fn observe(&mut self, at: Micros, fact: &Fact, findings: &mut Findings) {
        if at >= self.turn {
            self.before = std::mem::take(&mut self.ran);
            self.turn = at + HORIZON;
        }
        match *fact {
            Fact::Ran { node, of, class, key, effect: true, .. } => {
                let repeat = self.repeats.get(usize::from(class.0)).copied().unwrap_or_default();
                if repeat == Repeat::Safe {
                    return;
                }
                let id = key.filter(|_| repeat == Repeat::Keyed).map_or((false, of.0), |key| (true, key));
                let earlier = self.ran.get(&id).or_else(|| self.before.get(&id)).copied();
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
            // A refusal promises that trying again is harmless.
            Fact::Answered { proxy, of, how: Final::Refused } => {
                let id = (false, of.0);
                if self.ran.contains_key(&id) || self.before.contains_key(&id) {
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
    if node == crate::facts::LEDGER {
        "the ledger".into()
    } else {
        format!("node {}", node.0)
    }
}
