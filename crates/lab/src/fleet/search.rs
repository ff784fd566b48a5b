//! Looking for schedules that a fleet does not survive, and for the fewest faults that it takes.
//!
//! As [`crate::search`], for real processes: runs go one after the other, and a run may differ from the last one of the
//! same seed. So a smaller schedule counts as failing if it fails in one of a few tries, and what is found is told with
//! how often it failed again.

use super::judge::{Breach, Rule};
use super::play::{play, RunResult, Setting};
use crate::host::{HostError, Silent};
use crate::loopback::children::Program;
use crate::search::shrink::{shrink, Search, Shrink, Timed};
use crate::search::token::Token;
use world::fleet::draw::{draw, is_fair, Bounds};
use world::fleet::fault::Fault;
use world::fleet::schedule::Schedule;

/// What is looked for, and how hard.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Of the draws; the first so many are left out.
    pub seed: u64,
    pub first: u64,
    pub runs: u64,
    pub bounds: Bounds,
    /// The first so many failures are shrunk, each with at most so many runs.
    pub shrunk: usize,
    pub shrink_runs: usize,
    /// Tries of a smaller schedule before it counts as one that holds.
    pub tries: usize,
}

/// What every run of a search has.
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
    /// The smallest one found that breaks the same rule.
    pub small: Option<(Token<Schedule>, Breach)>,
}

/// What came of a search.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub failures: Vec<Failure>,
    /// Runs that say nothing, by their position, and why.
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

/// Draws and plays `plan.runs` schedules round `base`, and shrinks the first that fail. `done` hears of each run.
///
/// # Errors
///
/// Where a fleet cannot be started at all.
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
        // A busy machine: once more, when it may be quieter.
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
        // A fleet that cannot be started has not shown that it fails; nor has a void run.
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

impl Timed for Fault {
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

    /// Whom it strikes is a word.
    fn struck(&mut self) -> Option<&mut u32> {
        None
    }

    fn lasts(&self) -> bool {
        self.kind.reads().lasts
    }
}

impl Shrink for Schedule {
    type Fault = Fault;

    /// A run takes its time to start and to settle, however short.
    const SOONER: bool = false;

    fn seconds(&mut self) -> &mut f64 {
        &mut self.seconds
    }

    fn faults(&mut self) -> &mut Vec<Fault> {
        &mut self.faults
    }

    fn is_right(&self) -> bool {
        self.validate().is_ok() && is_fair(self)
    }

    /// Fewer processes. The last of them go first; a fault that names one of these keeps it.
    fn smaller(search: &mut Search<'_, Self>) {
        while search.with(|s| s.fleet.forwarders = (s.fleet.forwarders / 2).max(1)) {}
        while search.with(|s| s.fleet.nodes = (s.fleet.nodes / 2).max(1)) {}
        while search.with(|s| s.fleet.planners = s.fleet.planners.saturating_sub(1).max(1)) {}
    }
}

#[cfg(test)]
mod tests;
