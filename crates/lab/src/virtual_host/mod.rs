//! The virtual host: plays a scenario in virtual time, with the proxy's own core.
//!
//! A discrete-event engine. It owns the proxies' processes, the connections between them and the nodes, and
//! everything that is on its way; what happens at the ends belongs to [`world::world::World`] and to the core. One
//! run is one thread and depends on nothing but the scenario, the seed and the program: the same two give the same
//! [`Run`] to the byte, on any machine.
//!
//! It plays the core, not the sockets: what a codec or the owner's queue does wrong is for the loopback host to
//! find. Nor does it count the proxy's CPU.

mod downstreams;
mod engine;
pub mod fault_injection;
mod links;
pub mod planned;
pub mod queue;
pub mod site;
mod subject;

pub use subject::{Real, Start, Subject, Subjects};

use crate::host::{Host, HostError, Progress};
use engine::Engine;
use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;
use world::outcome::Run;
use world::scenario::{Problem, Scenario};
use world::world::World;

/// Why there is no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    #[error(transparent)]
    Scenario(#[from] Problem),
    /// The code under test panicked, which would have been a crash in service.
    #[error("the proxy crashed: {0}")]
    Crashed(String),
}

/// The virtual world as a place to play in.
pub struct Virtual<'a> {
    pub subjects: &'a dyn Subjects,
}

/// With the proxy as it is.
impl Default for Virtual<'_> {
    fn default() -> Self {
        Virtual { subjects: &Real }
    }
}

impl Host for Virtual<'_> {
    fn run(&self, scenario: &Scenario, seed: u64, progress: &dyn Progress) -> Result<Run, HostError> {
        run(scenario, seed, self.subjects, &mut |part| progress.set_fraction(part.min(1.0))).map_err(|e| {
            match e {
                Failure::Scenario(problem) => HostError::Unplayable(problem.to_string()),
                Failure::Crashed(what) => HostError::Crashed(what),
            }
        })
    }
}

/// Plays a scenario with this seed and these proxies. `progress` hears now and then which part of the time has
/// been played.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    subjects: &dyn Subjects,
    progress: &mut dyn FnMut(f64),
) -> Result<Run, Failure> {
    play(World::new(scenario, seed, 0)?, subjects, progress)
}

/// Plays a world made by [`World::builder`], with its scripted peers.
///
/// ```
/// use lab::virtual_host::{play, Real};
/// use world::node::{Answer, Script, Step};
/// use world::world::World;
///
/// // One proxy, one node that answers all with errors: only the few reads are served that the proxy fetches past
/// // it, and no rule is broken.
/// let world = World::builder()
///     .seconds(2.0)
///     .proxies(1)
///     .nodes("full-node", 1, |_| {})
///     .rate(20.0)
///     .script(0, Script::new([]).then(Step::answer(Answer::Error).after(1_000)))
///     .class(|_| {})
///     .build(1)?;
/// let run = play(world, &Real, &mut |_| {}).expect("it runs");
/// assert!(run.served_worth() < 0.15);
/// assert!(run.rules_broken.is_empty());
/// # Ok::<(), world::scenario::Problem>(())
/// ```
pub fn play(world: World, subjects: &dyn Subjects, progress: &mut dyn FnMut(f64)) -> Result<Run, Failure> {
    catch_unwind(AssertUnwindSafe(|| Engine::new(world, subjects).run(progress))).map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|t| (*t).to_owned()));
        Failure::Crashed(text.unwrap_or_else(|| "no reason given".into()))
    })
}
