//! Looking for runs that break a rule: schedules of faults drawn by seed, failures shrunk and put into tokens.
//!
//! A failure is a broken rule or a crash of what is under test. The host must be one that plays the same
//! scenario and seed the same each time, since shrinking asks whether a smaller scenario still fails; it is not
//! for loopback. To judge one scenario by many seeds, a sweep tells more.

pub mod draw;
pub mod shrink;
pub mod token;

use crate::experiment::parallel;
use crate::host::{Host, HostError, Silent};
use draw::Bounds;
use std::num::NonZeroUsize;
use token::Token;
use world::outcome::{Breach, Rule};
use world::scenario::Scenario;

/// What is looked for, and how hard.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Of the draws.
    pub seed: u64,
    pub runs: u64,
    pub bounds: Bounds,
    /// The first so many failures are shrunk, each with at most so many runs.
    pub shrunk: usize,
    pub shrink_runs: usize,
    pub threads: NonZeroUsize,
}

/// How a run failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// A rule was broken: the first breach.
    Rule(Breach),
    /// What is under test crashed.
    Crash(String),
}

impl Cause {
    /// Whether another failure is of the same kind, so that one may stand in for the other.
    fn is_like(&self, other: &Cause) -> bool {
        match (self, other) {
            (Cause::Rule(a), Cause::Rule(b)) => a.rule == b.rule,
            (Cause::Crash(_), Cause::Crash(_)) => true,
            _ => false,
        }
    }

    pub fn rule(&self) -> Option<Rule> {
        match self {
            Cause::Rule(breach) => Some(breach.rule),
            Cause::Crash(_) => None,
        }
    }
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Cause::Rule(b) => write!(f, "{} at {:.3} s: {}", b.rule.name(), b.at_us as f64 / 1e6, b.what),
            Cause::Crash(message) => write!(f, "crash: {message}"),
        }
    }
}

/// A run that failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Which draw it was.
    pub position: u64,
    pub how: Cause,
    pub token: Token,
    /// The smallest one found that fails in the same way, and how.
    pub small: Option<(Token, Cause)>,
}

/// Plays one scenario; `None` if it did not fail.
///
/// # Errors
///
/// Where the host has no run to speak of.
pub fn try_one(host: &dyn Host, scenario: &Scenario, seed: u64) -> Result<Option<Cause>, HostError> {
    match host.run(scenario, seed, &Silent) {
        Ok(run) => Ok(run.rules_broken.into_iter().next().map(Cause::Rule)),
        Err(HostError::Crashed(message)) => Ok(Some(Cause::Crash(message))),
        Err(error) => Err(error),
    }
}

/// Draws and plays `plan.runs` scenarios round `base`, and shrinks the first that fail. `plant` names the fault
/// that was planted in what `host` plays, if any, for the tokens. `done` hears of each run that is over.
///
/// # Errors
///
/// Where the host has no run to speak of.
pub fn search(
    host: &dyn Host,
    base: &Scenario,
    plan: &Plan,
    plant: Option<&str>,
    done: &(dyn Fn() + Sync),
) -> Result<Vec<Failure>, HostError> {
    let positions: Vec<u64> = (0..plan.runs).collect();
    let played = parallel::map(plan.threads, &positions, |_, position| {
        let (scenario, seed) = draw::draw(base, &plan.bounds, plan.seed, *position);
        let how = try_one(host, &scenario, seed);
        done();
        Ok(how?.map(|how| {
            let token = Token { scenario, seed, plant: plant.map(str::to_owned) };
            Failure { position: *position, how, token, small: None }
        }))
    });
    let played: Result<Vec<Option<Failure>>, HostError> = played.into_iter().collect();
    let mut failures: Vec<Failure> = played?.into_iter().flatten().collect();
    let first = &failures[..failures.len().min(plan.shrunk)];
    let small = parallel::map(plan.threads, first, |_, failure| smallest(host, failure, plan.shrink_runs));
    for (failure, small) in failures.iter_mut().zip(small) {
        failure.small = Some(small);
    }
    Ok(failures)
}

fn smallest(host: &dyn Host, failure: &Failure, runs: usize) -> (Token, Cause) {
    let mut how = failure.how.clone();
    let ends_s = match &failure.how {
        Cause::Rule(breach) => breach.at_us as f64 / 1e6,
        Cause::Crash(_) => failure.token.scenario.seconds,
    };
    let seed = failure.token.seed;
    let scenario = shrink::shrink(&failure.token.scenario, ends_s, runs, |smaller| {
        // A host that cannot play the smaller one has not shown that it fails.
        match try_one(host, smaller, seed) {
            Ok(Some(other)) if other.is_like(&failure.how) => {
                how = other;
                true
            }
            _ => false,
        }
    });
    (Token { scenario, ..failure.token.clone() }, how)
}

#[cfg(test)]
mod tests;
