//! Searches for schedules that make a fleet violate a rule, and shrinks them to the fewest faults needed.
//!
//! Like [`crate::search`], but for real processes: runs are sequential, and a run may differ from another one
//! with the same seed. Therefore a smaller schedule counts as failing if it fails in one of a few tries.

use super::judge::{Breach, Rule};
use super::play::{play, RunResult, Setting};
use crate::host::{HostError, Silent};
use crate::loopback::children::Program;
use crate::search::shrink::{shrink, Search, Shrink, ShrinkableFault};
use crate::search::token::Token;
use world::fleet::draw::{draw, is_fair, Bounds};
use world::fleet::fault::Fault;
use world::fleet::schedule::Schedule;

/// Parameters of a search.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the draws, and the position of the first schedule to play.
    pub seed: u64,
    pub first: u64,
    pub runs: u64,
    pub bounds: Bounds,
    /// Number of failures to shrink, and the maximum number of runs for each.
    pub shrunk: usize,
    pub shrink_runs: usize,
    /// Tries of a smaller schedule before it counts as passing.
    pub tries: usize,
}

/// Programs and planted fault that all runs of a search share.
#[derive(Clone, Debug)]
pub struct RunContext {
    pub program: Program,
    pub old: Option<Program>,
    pub plant: Option<String>,
}

/// A run that failed.
#[derive(Clone, Debug)]
pub struct Failure {
    pub position: u64,
    pub how: Breach,
    pub token: Token<Schedule>,
    /// The smallest schedule found that breaks the same rule.
    pub small: Option<(Token<Schedule>, Breach)>,
}

/// Result of a search.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub failures: Vec<Failure>,
    /// Positions of void runs, and why they are void.
    pub void: Vec<(u64, String)>,
}

impl RunContext {
    /// Plays one schedule.
    ///
    /// # Errors
    ///
    /// As [`play`].
    pub fn play(&self, schedule: &Schedule, seed: u64) -> Result<RunResult, HostError> {
        let (program, old, plant) = (self.program.clone(), self.old.clone(), self.plant.clone());
        play(&Setting { schedule, seed, program, old, plant, out: None }, &Silent)
    }
}

/// Draws `plan.runs` variations of `base` and plays them, then shrinks the first failures. `done` is called
/// after each run.
///
/// # Errors
///
/// The fleet cannot be started.
pub fn search(
    ground: &RunContext,
    base: &Schedule,
    plan: &Plan,
    done: &dyn Fn(u64, &RunResult),
) -> Result<Found, HostError> {
    let mut found = Found::default();
    for position in plan.first..plan.first + plan.runs {
        let (schedule, seed) = draw(base, &plan.bounds, plan.seed, position);
        let mut played = ground.play(&schedule, seed)?;
        // The machine was busy: retry once.
        if played.void.is_some() {
            played = ground.play(&schedule, seed)?;
        }
        done(position, &played);
        if let Some(why) = played.void {
            found.void.push((position, why));
        } else if let Some(how) = played.breaches.into_iter().next() {
            let token = Token { scenario: schedule, seed, plant: ground.plant.clone() };
            found.failures.push(Failure { position, how, token, small: None });
        }
    }
    for failure in found.failures.iter_mut().take(plan.shrunk) {
        failure.small = Some(smallest(ground, failure, plan));
    }
    Ok(found)
}

fn breaks(ground: &RunContext, schedule: &Schedule, seed: u64, rule: Rule, tries: usize) -> Option<Breach> {
    (0..tries.max(1)).find_map(|_| {
        // Neither a fleet that cannot be started nor a void run counts as a failure.
        let played = ground.play(schedule, seed).ok().filter(|p| p.void.is_none())?;
        played.breaches.into_iter().find(|b| b.rule == rule)
    })
}

fn smallest(ground: &RunContext, failure: &Failure, plan: &Plan) -> (Token<Schedule>, Breach) {
    let mut how = failure.how.clone();
    let (seed, rule) = (failure.token.seed, failure.how.rule);
    let whole = &failure.token.scenario;
    let schedule = shrink(whole, whole.seconds, plan.shrink_runs, |smaller| {
        match breaks(ground, smaller, seed, rule, plan.tries) {
            Some(other) => {
                how = other;
                true
            }
            None => false,
        }
    });
    (Token { scenario: schedule, ..failure.token.clone() }, how)
}

impl ShrinkableFault for Fault {
    fn at_s(&mut self) -> &mut f64 {
        &mut self.at_s
    }

    fn for_s(&mut self) -> &mut f64 {
        &mut self.for_s
    }

    fn down_s(&mut self) -> &mut Option<f64> {
        &mut self.down_s
    }

    fn every_s(&mut self) -> &mut Option<f64> {
        &mut self.every_s
    }

    /// The target of a fault is a selector, not a number that could be reduced.
    fn target_count(&mut self) -> Option<&mut u32> {
        None
    }

    fn lasts(&self) -> bool {
        self.kind.reads().lasts
    }
}

impl Shrink for Schedule {
    type Fault = Fault;

    /// Moving faults earlier saves little: startup and settling take their time however short the run is.
    const SHORTER_RUNS_FASTER: bool = false;

    fn seconds(&mut self) -> &mut f64 {
        &mut self.seconds
    }

    fn faults(&mut self) -> &mut Vec<Fault> {
        &mut self.faults
    }

    fn may_run(&self) -> bool {
        self.validate().is_ok() && is_fair(self)
    }

    /// Reduces the number of processes, removing the last ones first; a smaller fleet is rejected if a fault
    /// names a process that it lacks.
    fn shrink_rest(search: &mut Search<'_, Self>) {
        while search.try_change(|s| s.fleet.forwarders = (s.fleet.forwarders / 2).max(1)) {}
        while search.try_change(|s| s.fleet.nodes = (s.fleet.nodes / 2).max(1)) {}
        while search.try_change(|s| s.fleet.planners = s.fleet.planners.saturating_sub(1).max(1)) {}
    }
}

#[cfg(test)]
mod tests;
