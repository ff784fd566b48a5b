//! The interface between the commands and the hosts that play scenarios.
//!
//! Two hosts implement it: the virtual host (a discrete-event engine in virtual time) and the loopback host
//! (real sockets and the real program). Use it for whole runs; for single steps of a run, use the host's own
//! interface.

use world::outcome::Run;
use world::scenario::Scenario;

/// Plays a scenario from its beginning to its end.
///
/// A host keeps no state between runs: in virtual time, one scenario and one seed give the same [`Run`],
/// whatever was played before and on whichever thread. Several runs of a host may go on at the same time
/// unless it [needs the machine to itself](Host::needs_exclusive_machine).
pub trait Host: Sync {
    /// Plays `scenario` with `seed`, which replaces the scenario's own, and reports to `progress`.
    ///
    /// # Errors
    ///
    /// [`HostError`] if the run could not be carried out. A run in which rules were broken is not an error,
    /// nor is one that is invalid because the load generator was late: [`Run`] holds both facts.
    fn run(&self, scenario: &Scenario, seed: u64, progress: &dyn Progress) -> Result<Run, HostError>;

    /// Whether a run must be the only one on the machine, for example because it measures real time.
    fn needs_exclusive_machine(&self) -> bool {
        false
    }
}

/// Receives the progress of a run. Called from the thread of the run, as often as the host chooses.
pub trait Progress: Sync {
    /// Reports the fraction of the run that is done, from 0 to 1.
    fn set_fraction(&self, done: f64);

    /// Reports the current phase in a few words, such as "starting 3 proxies".
    fn phase(&self, _description: &str) {}
}

/// Discards all progress reports.
pub struct Silent;

impl Progress for Silent {
    fn set_fraction(&self, _done: f64) {}
}

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The scenario needs something that this host does not support.
    #[error("the scenario cannot be played here: {0}")]
    Unplayable(String),
    /// The code under test panicked, which in production would have been a crash.
    #[error("the proxy crashed: {0}")]
    Crashed(String),
    /// A process that the host started died, hung, or exceeded its limits.
    #[error("{name}: {what}")]
    Child { name: String, what: String },
    /// A system call failed.
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    /// The run was stopped from outside.
    #[error("interrupted")]
    Interrupted,
}
