//! No new attempts go to a node that drains or is gone, once its proxy has been told and the grace is over.

use super::Findings;
use crate::facts::{Fact, NodeNo, ProxyNo, Status};
use crate::outcome::Rule;
use crate::random::{ms, Map};
use crate::scenario::Scenario;
use crate::Micros;

#[derive(Clone, Debug)]
pub struct Drain {
    grace: Micros,
    /// When a proxy was first told that a node drains or is gone. Bounded by proxies times nodes.
    told: Map<(ProxyNo, NodeNo), Micros>,
}

impl Drain {
    pub fn new(s: &Scenario, slack: Micros) -> Self {
        Drain { grace: ms(s.rules.drain_grace_ms) + slack, told: Map::default() }
    }

    pub fn observe(&mut self, at: Micros, fact: &Fact, findings: &mut Findings) {
        match *fact {
            Fact::Listed { proxy, node, status: Status::Ready, .. } => drop(self.told.remove(&(proxy, node))),
            Fact::Listed { proxy, node, .. } => drop(self.told.entry((proxy, node)).or_insert(at)),
            Fact::ProxyEnded { proxy, .. } => self.told.retain(|(p, _), _| *p != proxy),
            Fact::AttemptBegun { proxy, node, of } => {
                let Some(told) = self.told.get(&(proxy, node)).filter(|told| at > **told + self.grace) else {
                    return;
                };
                let after = (at - told) / 1000;
                findings.add(Rule::Drain, at, || {
                    format!(
                        "proxy {} sent try {} to node {} {after} ms after it was told to stop",
                        proxy.0, of.0, node.0
                    )
                });
            }
            _ => {}
        }
    }
}
