//! The checkers of the rules. Their only input is [`Fact`]s.
//!
//! They know neither the code under test nor the models: they see what a host observes from outside. A
//! checker stores what is open and what happened recently, and nothing else. The tests of each checker inject
//! violations to show that it can fail.

mod drain;
mod fail_back;
mod one_answer;
mod run_once;

use crate::facts::Fact;
use crate::outcome::{Breach, Rule, MAX_BREACHES};
use crate::scenario::Scenario;
use crate::Micros;
use drain::Drain;
use fail_back::FailBack;
use one_answer::OneAnswer;
use run_once::RunOnce;

/// The violations found so far, bounded.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    listed: Vec<Breach>,
    count: u64,
}

impl Findings {
    fn add(&mut self, rule: Rule, at: Micros, what: impl FnOnce() -> String) {
        self.count += 1;
        if self.listed.iter().filter(|b| b.rule == rule).count() < MAX_BREACHES {
            self.listed.push(Breach { rule, at_us: at, what: what() });
        }
    }
}

/// All four checkers.
#[derive(Clone, Debug)]
pub struct Rules {
    one_answer: OneAnswer,
    run_once: RunOnce,
    drain: Drain,
    fail_back: FailBack,
    findings: Findings,
}

impl Rules {
    /// `slack` is added to time limits for delays of networks and clocks: 0 in virtual time, 50 ms on
    /// sockets.
    pub fn new(s: &Scenario, slack: Micros) -> Self {
        Rules {
            one_answer: OneAnswer::new(s, slack),
            run_once: RunOnce::new(s),
            drain: Drain::new(s, slack),
            fail_back: FailBack::new(s),
            findings: Findings::default(),
        }
    }

    /// Facts must be passed in chronological order.
    pub fn observe(&mut self, at: Micros, fact: &Fact) {
        self.one_answer.observe(at, fact, &mut self.findings);
        self.run_once.observe(at, fact, &mut self.findings);
        self.drain.observe(at, fact, &mut self.findings);
        self.fail_back.observe(at, fact, &mut self.findings);
    }

    /// Returns the first violations of each rule in chronological order, and the total number; `at` is the
    /// end of the run.
    pub fn finish(mut self, at: Micros) -> (Vec<Breach>, u64) {
        self.one_answer.finish(at, &mut self.findings);
        self.findings.listed.sort_by(|a, b| (a.at_us, a.rule, &a.what).cmp(&(b.at_us, b.rule, &b.what)));
        (self.findings.listed, self.findings.count)
    }
}
