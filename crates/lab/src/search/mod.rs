//! Searches for runs that break a rule: draws fault schedules from a seed, shrinks failures and encodes them
//! as replay tokens.
//!
//! A failure is a broken rule or a crash of the system under test. The host must be deterministic, because
//! shrinking asks whether a smaller scenario still fails; the loopback host is not suitable. To evaluate one
//! scenario with many seeds, use a sweep.

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

/// Parameters of a search.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the draws.
    pub seed: u64,
    pub runs: u64,
    pub bounds: Bounds,
    /// Number of failures to shrink, in order of discovery, and the maximum number of runs for each.
    pub shrunk: usize,
    pub shrink_runs: usize,
    pub threads: NonZeroUsize,
}

/// How a run failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// A rule was broken: the first breach.
    Rule(Breach),
    /// The system under test crashed.
    Crash(String),
}

impl Cause {
    /// Whether another failure is of the same kind, so that one can represent the other.
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
    /// Position of the draw.
    pub position: u64,
    pub how: Cause,
    pub token: Token,
    /// The smallest scenario found that fails in the same way, and its failure.
    pub small: Option<(Token, Cause)>,
}

/// Runs one scenario; returns `None` if it did not fail.
///
/// # Errors
///
/// Fails if the host cannot run a scenario.
pub fn try_one(host: &dyn Host, scenario: &Scenario, seed: u64) -> Result<Option<Cause>, HostError> {
    match host.run(scenario, seed, &Silent) {
        Ok(run) => Ok(run.rules_broken.into_iter().next().map(Cause::Rule)),
        Err(HostError::Crashed(message)) => Ok(Some(Cause::Crash(message))),
        Err(error) => Err(error),
    }
}

/// Draws and runs `plan.runs` scenarios based on `base`, and shrinks the first failures. `plant` names the
/// fault planted in the system run by `host`, if any, and is stored in the tokens. `done` is called after
/// each run.
///
/// # Errors
///
/// Fails if the host cannot run a scenario.
pub fn search(
    host: &dyn Host,
    base: &Scenario,
    plan: &Plan,
    plant: Option<&str>,
    done: &(dyn Fn() + Sync),
) -> Result<Vec<Failure>, HostError> {
    let positions: Vec<u64> = (0..plan.runs).collect();
    let results = parallel::map(plan.threads, &positions, |_, position| {
        let (scenario, seed) = draw::draw(base, &plan.bounds, plan.seed, *position);
        let how = try_one(host, &scenario, seed);
        done();
        Ok(how?.map(|how| {
            let token = Token { scenario, seed, plant: plant.map(str::to_owned) };
            Failure { position: *position, how, token, small: None }
        }))
    });
    let results: Result<Vec<Option<Failure>>, HostError> = results.into_iter().collect();
    let mut failures: Vec<Failure> = results?.into_iter().flatten().collect();
    let first = &failures[..failures.len().min(plan.shrunk)];
    let small =
        parallel::map(plan.threads, first, |_, failure| shrink_failure(host, failure, plan.shrink_runs));
    for (failure, small) in failures.iter_mut().zip(small) {
        failure.small = Some(small);
    }
    Ok(failures)
}

fn shrink_failure(host: &dyn Host, failure: &Failure, runs: usize) -> (Token, Cause) {
    let mut how = failure.how.clone();
    let ends_s = match &failure.how {
        Cause::Rule(breach) => breach.at_us as f64 / 1e6,
        Cause::Crash(_) => failure.token.scenario.seconds,
    };
    let seed = failure.token.seed;
    let scenario = shrink::shrink(&failure.token.scenario, ends_s, runs, |smaller| {
        // If the host cannot run the smaller scenario, it has not shown that it fails.
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
