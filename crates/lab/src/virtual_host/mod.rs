//! The virtual host: plays a scenario in virtual time, with the proxy's own core.
//!
//! A discrete-event engine owns the proxies' processes, the connections between them and the nodes, and all
//! messages in transit. The clients' and nodes' behaviour belongs to [`world::world::World`], that of the
//! proxies to the core. A run uses one thread and depends only on the scenario, the seed and the program: the
//! same scenario and seed give the same [`Run`] to the byte, on any machine.
//!
//! It runs the core without sockets, so faults of a codec or of the owner task's queue are found by the
//! loopback host only. The proxy's CPU time is not modelled either.

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

/// Why a run gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    #[error(transparent)]
    Scenario(#[from] Problem),
    /// The code under test panicked, which in production would have been a crash.
    #[error("the proxy crashed: {0}")]
    Crashed(String),
}

/// The host that plays scenarios in virtual time.
pub struct Virtual<'a> {
    pub subjects: &'a dyn Subjects,
}

/// Plays with the unmodified proxy core.
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

/// Plays a scenario with this seed and these proxies. `progress` is called now and then with the fraction of
/// the scenario's time that has passed.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    subjects: &dyn Subjects,
    progress: &mut dyn FnMut(f64),
) -> Result<Run, Failure> {
    play(World::new(scenario, seed, 0)?, subjects, progress)
}

/// Plays a world made by [`World::builder`], with its scripted nodes.
///
/// ```
/// use lab::virtual_host::{play, Real};
/// use world::node::{Answer, Script, Step};
/// use world::world::World;
///
/// // One proxy and one node that answers every request with an error: only the few reads that the proxy
/// // sends to the origin instead are served, and no rule is broken.
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
        Failure::Crashed(text.unwrap_or_else(|| "the panic has no message".into()))
    })
}
