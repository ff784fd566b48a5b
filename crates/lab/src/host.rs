//! Where a scenario is played: the one thing that the commands know of a world.
//!
//! Two hosts implement it: the virtual one (a discrete-event engine in virtual time) and loopback (real sockets
//! and the real program). Use it for whole runs; for steps inside one, use the host's own interface.

use world::outcome::Run;
use world::scenario::Scenario;

/// Something that plays a scenario from its beginning to its end.
///
/// A host keeps nothing between runs: one scenario and one seed give the same [`Run`] in the virtual world,
/// whatever was played before and on whichever thread. Runs of one host may go on at the same time unless the
/// host says that it [is alone](Host::needs_exclusive_machine).
pub trait Host: Sync {
    /// Plays `scenario` with `seed` (which stands in for the scenario's own) and tells `progress` how far it is.
    ///
    /// # Errors
    ///
    /// [`HostError`] where there is no run to speak of. A run in which rules were broken is no error, nor is one
    /// that is void because the load generator was late: [`Run`] tells both.
    fn run(&self, scenario: &Scenario, seed: u64, progress: &dyn Progress) -> Result<Run, HostError>;

    /// Whether a run wants the machine to itself, as one that measures real time does.
    fn needs_exclusive_machine(&self) -> bool {
        false
    }
}

/// Hears how far a run is. Called from the thread that runs, as often as the host likes.
pub trait Progress: Sync {
    /// The part of the run that is over, from 0 to 1.
    fn set_fraction(&self, done: f64);

    /// What the host is about now, in a few words ("starting 3 proxies").
    fn phase(&self, _what: &str) {}
}

/// Nobody listens.
pub struct Silent;

impl Progress for Silent {
    fn set_fraction(&self, _done: f64) {}
}

/// Why there is no run.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The scenario asks for what this host cannot play.
    #[error("the scenario cannot be played here: {0}")]
    Unplayable(String),
    /// What is under test panicked, which would have been a crash in service.
    #[error("the proxy crashed: {0}")]
    Crashed(String),
    /// A process that the host started died, hung, or took more than its limits.
    #[error("{name}: {what}")]
    Child { name: String, what: String },
    /// A call to the system failed.
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    /// The run was stopped from outside.
    #[error("interrupted")]
    Interrupted,
}
