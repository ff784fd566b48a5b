//! The four rules, a checker each, told of nothing but [`Fact`]s.
//!
//! None of them knows the code under test, nor the models: what a host sees from outside is all there is. A checker
//! holds what is open and what was of late, and no more. One that no planted fault can make fail is worthless: the
//! tests of each plant some.

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

/// What the checkers have findings, bounded.
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
    /// `slack` is what networks and clocks may add to a limit of time: 0 in virtual time, 50 ms on sockets.
    pub fn new(s: &Scenario, slack: Micros) -> Self {
        Rules {
            one_answer: OneAnswer::new(s, slack),
            run_once: RunOnce::new(s),
            drain: Drain::new(s, slack),
            fail_back: FailBack::new(s),
            findings: Findings::default(),
        }
    }

    /// Facts come in the order of time.
    pub fn observe(&mut self, at: Micros, fact: &Fact) {
        self.one_answer.observe(at, fact, &mut self.findings);
        self.run_once.observe(at, fact, &mut self.findings);
        self.drain.observe(at, fact, &mut self.findings);
        self.fail_back.observe(at, fact, &mut self.findings);
    }

    /// The first breaches of each rule in the order of time, and the number of all; `at` is the end of the run.
    pub fn finish(mut self, at: Micros) -> (Vec<Breach>, u64) {
        self.one_answer.finish(at, &mut self.findings);
        self.findings.listed.sort_by(|a, b| (a.at_us, a.rule, &a.what).cmp(&(b.at_us, b.rule, &b.what)));
        (self.findings.listed, self.findings.count)
    }
}
