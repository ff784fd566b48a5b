//! Each request gets exactly one final answer, in time, and a value only if it was made for this request.

use super::Findings;
use crate::facts::{Fact, Final, ProxyNo, TryNo};
use crate::outcome::Rule;
use crate::random::{ms, Map};
use crate::scenario::Scenario;
use crate::Micros;

/// Interval of the search for overdue tries, and the minimum time for which answered tries are remembered.
const SWEEP_INTERVAL: Micros = 5_000_000;

#[derive(Clone, Copy, Debug)]
struct Open {
    proxy: ProxyNo,
    due: Micros,
    /// Something that can be served was made for it.
    made: bool,
}

#[derive(Clone, Debug)]
pub struct OneAnswer {
    grace: Micros,
    open: Map<TryNo, Open>,
    /// Answered since the last sweep, and in the interval before it.
    answered: Map<TryNo, ()>,
    previously_answered: Map<TryNo, ()>,
    next_sweep: Micros,
}

impl OneAnswer {
    pub fn new(s: &Scenario, slack: Micros) -> Self {
        OneAnswer {
            grace: ms(s.rules.answer_grace_ms) + slack,
            open: Map::default(),
            answered: Map::default(),
            previously_answered: Map::default(),
            next_sweep: 0,
        }
    }

    pub fn observe(&mut self, at: Micros, fact: &Fact, findings: &mut Findings) {
        if at >= self.next_sweep {
            self.overdue(at, findings);
            self.previously_answered = std::mem::take(&mut self.answered);
            self.next_sweep = at + SWEEP_INTERVAL;
        }
        let mut breach = |what: String| findings.add(Rule::OneAnswer, at, || what);
        match *fact {
            Fact::Taken { proxy, of, deadline, .. } => {
                self.open.insert(of, Open { proxy, due: deadline + self.grace, made: false });
            }
            Fact::Ran { of, made: true, .. } => {
                if let Some(open) = self.open.get_mut(&of) {
                    open.made = true;
                }
            }
            Fact::Answered { proxy, of, how } => {
                let open = self.open.remove(&of);
                let invented = open.is_some_and(|o| !o.made);
                match open {
                    Some(open) if at > open.due => breach(format!(
                        "proxy {} answered try {} {} ms too late",
                        proxy.0,
                        of.0,
                        (at - open.due) / 1000
                    )),
                    None if self.answered.contains_key(&of) || self.previously_answered.contains_key(&of) => {
                        breach(format!("proxy {} answered try {} twice", proxy.0, of.0));
                    }
                    _ => {}
                }
                self.answered.insert(of, ());
                match how {
                    Final::Served { made_for: Some(made) } if made != of => breach(format!(
                        "proxy {} served try {} with what was made for try {}",
                        proxy.0, of.0, made.0
                    )),
                    Final::Served { made_for: None } => {
                        breach(format!("proxy {} served try {} with what nobody made", proxy.0, of.0));
                    }
                    Final::Served { .. } if invented => {
                        breach(format!("proxy {} served try {}, for which nothing was made", proxy.0, of.0));
                    }
                    _ => {}
                }
            }
            Fact::Dropped { proxy, of } if self.open.remove(&of).is_some() => {
                breach(format!("proxy {} closed on try {} without an answer", proxy.0, of.0));
            }
            // A client that leaves while the proxy may still answer is owed nothing; one that has waited for
            // all of that time was owed an answer.
            Fact::Left { of, .. } if self.open.get(&of).is_some_and(|o| at < o.due) => {
                self.open.remove(&of);
            }
            Fact::ProxyEnded { proxy, planned } => {
                for of in self.of(|o| o.proxy == proxy) {
                    self.open.remove(&of);
                    if planned {
                        breach(format!("proxy {} ended with try {} unanswered", proxy.0, of.0));
                    }
                }
            }
            _ => {}
        }
    }

    fn of(&self, which: impl Fn(&Open) -> bool) -> Vec<TryNo> {
        let mut tries: Vec<TryNo> = self.open.iter().filter(|(_, o)| which(o)).map(|(of, _)| *of).collect();
        tries.sort_unstable();
        tries
    }

    fn overdue(&mut self, at: Micros, findings: &mut Findings) {
        for of in self.of(|o| o.due < at) {
            if let Some(open) = self.open.remove(&of) {
                findings.add(Rule::OneAnswer, open.due, || {
                    format!("proxy {} never answered try {}", open.proxy.0, of.0)
                });
            }
        }
    }

    /// A try that is still open at the end and is overdue was lost.
    pub fn finish(&mut self, at: Micros, findings: &mut Findings) {
        self.overdue(at, findings);
    }
}
