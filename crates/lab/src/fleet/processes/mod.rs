//! The processes of a fleet: starts, stops, ends and restarts them, and damages or limits their disks.
//!
//! It owns the processes and their folders `ROOT/NAME`, which are their working directory and `TMPDIR`. One
//! thread, the keeper, does all the work: timed actions (the end of a pause, a delayed start) happen whatever
//! the callers do, and if the lab dies the system ends the children with the keeper's thread
//! ([`crate::loopback::children::guard`]). Dropping [`Processes`] ends every process, including stopped ones,
//! before it returns. Actions and observations are written to the fleet's log under the same clock as the
//! processes' own lines; [`lab_event`] names the events.
//!
//! It manages neither the addresses that processes use nor the contents of their configuration: what the
//! platform would give a new machine belongs into [`Processes::settings`], which is not lost with a disk.

mod damage;
mod home;
mod keeper;

pub use damage::Damage;
pub use keeper::Roster;

use super::log::{Line, LineFilter, Log, Mark, WaitTimeout};
use crate::host::HostError;
use crate::loopback::children::{Limits, Program, Usage};
use home::Home;
use keeper::{Keeper, KeeperHandle};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of processes of a fleet, including those that are down.
pub const MAX_PROCESSES: usize = 256;
/// Maximum length of a process name.
const MAX_NAME_LENGTH: usize = 40;
/// Time that a process has to terminate before a restart kills it.
pub const GRACE: Duration = Duration::from_secs(10);

/// The events that the lab logs about a process.
pub mod lab_event {
    pub const STARTED: &str = "lab_started";
    /// A scheduled start failed.
    pub const FAILED: &str = "lab_failed";
    /// SIGTERM was sent.
    pub const TERMINATED: &str = "lab_told_to_end";
    pub const KILLED: &str = "lab_killed";
    pub const STOPPED: &str = "lab_stopped";
    pub const RESUMED: &str = "lab_resumed";
    pub const ENDED: &str = "lab_ended";
    /// All output of the process has been read.
    pub const OUTPUT_ENDED: &str = "lab_heard_out";
    pub const FOLDER_REMOVED: &str = "lab_folder_gone";
    pub const DISK: &str = "lab_disk";
    pub const DAMAGED: &str = "lab_damaged";
}

/// Errors of the operations on processes.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    #[error("invalid process name {0:?}: use 1 to {MAX_NAME_LENGTH} letters, digits, - or _")]
    Name(String),
    #[error("unknown process {0}")]
    Unknown(String),
    #[error("process {0} is running")]
    Runs(String),
    #[error("process {0} is not running")]
    Down(String),
    #[error("process {0} was started without a file size limit; exceeding one set now would end it")]
    Unlimited(String),
    #[error("too many processes: at most {MAX_PROCESSES} are allowed")]
    TooMany,
    #[error("{file}: {why}")]
    Damage { file: String, why: &'static str },
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
    #[error(transparent)]
    Host(#[from] HostError),
    #[error(transparent)]
    WaitTimeout(#[from] WaitTimeout),
    #[error("the keeper thread has ended")]
    KeeperEnded,
}

/// Specification of a process.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    /// The executable; older and newer builds are different programs.
    pub program: Program,
    pub arguments: Vec<OsString>,
    pub variables: Vec<(String, String)>,
    pub limits: Limits,
}

impl Spec {
    /// A specification without arguments and variables, with 1,024 descriptors and a file size that can be
    /// limited later.
    pub fn new(name: &str, program: &Program) -> Spec {
        let limits = Limits { memory_kb: u64::MAX, descriptors: 1024, file_bytes: Some(u64::MAX) };
        let (arguments, variables) = (Vec::new(), Vec::new());
        Spec { name: name.to_owned(), program: program.clone(), arguments, variables, limits }
    }

    /// Adds an argument.
    pub fn arg(mut self, word: impl Into<OsString>) -> Spec {
        self.arguments.push(word.into());
        self
    }

    /// Adds an environment variable.
    pub fn variable(mut self, name: &str, value: impl Into<String>) -> Spec {
        self.variables.push((name.to_owned(), value.into()));
        self
    }
}

/// What happens to the folder of a process when it is restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Folder {
    #[default]
    Kept,
    /// Removed as soon as the process has ended, like a machine lost with its disk.
    Lost,
    /// Emptied just before the process is started again.
    Empty,
}

/// The folder of a second process with the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// The folder of the first: two processes on one disk.
    SameFolder,
    /// An empty folder of its own: the platform has started the name on another machine.
    OwnFolder,
}

/// How to end a process and start it again. By default it is killed and started again at once with its
/// folder.
#[derive(Clone, Debug, Default)]
pub struct Restart {
    /// Whether to send SIGTERM first and kill only after [`GRACE`].
    pub told: bool,
    pub folder: Folder,
    /// Time between its end and its start.
    pub down: Duration,
    /// Program to start instead with the same arguments: a newer or an older build.
    pub program: Option<Program>,
}

/// State of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Runs,
    /// Stopped by SIGSTOP.
    Stopped,
    Ended(ExitStatus),
}

/// The processes of a fleet. Methods may be called from any thread and return once the operation is done.
#[derive(Debug)]
pub struct Processes {
    log: Log,
    /// Must be dropped before `home`, which removes the folders.
    keeper: KeeperHandle,
    home: Arc<Home>,
}

impl Processes {
    /// Starts without processes. Their folders are created in `root`, which is kept.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or the thread cannot be started.
    pub fn new(root: &Path, log: &Log) -> io::Result<Processes> {
        Processes::at(Home::given(root)?, log)
    }

    /// Starts without processes. Their folders are created in a temporary folder, which is removed when this is
    /// dropped. If the lab was killed, the next lab to create one removes it.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or the thread cannot be started.
    pub fn in_temporary(log: &Log) -> io::Result<Processes> {
        Processes::at(Home::temporary()?, log)
    }

    fn at(home: Home, log: &Log) -> io::Result<Processes> {
        let home = Arc::new(home);
        let keeper = Keeper::start(log.clone(), home.clone())?;
        Ok(Processes { log: log.clone(), keeper, home })
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The root folder.
    pub fn root(&self) -> &Path {
        self.home.path()
    }

    /// The folder of a process, which stands for its disk.
    pub fn folder(&self, name: &str) -> PathBuf {
        self.home.folder(name)
    }

    /// Returns the folder for the configuration of a process, which no fault touches. Creates it if
    /// necessary.
    ///
    /// # Errors
    ///
    /// I/O errors, and an invalid name.
    pub fn settings(&self, name: &str) -> Result<PathBuf, ProcessError> {
        self.home.settings(&valid_name(name)?)
    }

    /// Starts a process with its existing folder, or an empty one. Returns its incarnation, counted from 1.
    ///
    /// # Errors
    ///
    /// A process of this name runs; the name is invalid; there are too many; system errors.
    pub fn start(&self, spec: Spec) -> Result<u32, ProcessError> {
        valid_name(&spec.name)?;
        self.keeper.ask(move |keeper| keeper.start_one(spec))
    }

    /// Starts processes one after the other and returns the time from the first start to the last. All are
    /// validated before the first is started.
    ///
    /// # Errors
    ///
    /// As [`Processes::start`]; processes started before the error keep running.
    pub fn start_many(&self, specs: Vec<Spec>) -> Result<Duration, ProcessError> {
        specs.iter().try_for_each(|spec| valid_name(&spec.name).map(drop))?;
        self.keeper.ask(move |keeper| keeper.start_many(specs))
    }

    /// Starts a second process under the same name, with the [`Spec`] of the first or another one; returns
    /// the lab's name for it (`f3~2`). A process with a fixed listening address needs another [`Spec`].
    ///
    /// # Errors
    ///
    /// The first does not run; there are too many; system errors.
    pub fn twin(&self, name: &str, with: Option<Spec>, folder: Twin) -> Result<String, ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.twin(&name, with, folder))
    }

    /// Sends SIGTERM to a process. A stopped process receives it when it is resumed.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn terminate(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.terminate(&name))
    }

    /// Kills a process (SIGKILL) and what it has started.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn kill(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.kill(&name))
    }

    /// Stops a process (SIGSTOP) until it is resumed; the kernel keeps receiving bytes for it. Returns once
    /// it is stopped.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn stop(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.stop(&name, None))
    }

    /// Stops a process for a time; of two overlapping pauses, the one that ends later counts.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn pause(&self, name: &str, how_long: Duration) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.stop(&name, Some(how_long)))
    }

    /// Resumes a stopped process (SIGCONT).
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn resume(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.resume(&name))
    }

    /// Ends a process and starts it again as `how` says; one that is down is just started. Returns once that
    /// is under way: the log then has [`lab_event::STARTED`] of the next incarnation, or
    /// [`lab_event::FAILED`].
    ///
    /// # Errors
    ///
    /// There is no such process; or its folder is to be removed while another process uses it.
    pub fn restart(&self, name: &str, how: Restart) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.restart(&name, how))
    }

    /// Restarts processes one by one, the first now and each further one `every` after the one before. A
    /// failed start is logged as [`lab_event::FAILED`].
    ///
    /// # Errors
    ///
    /// One of the names is unknown.
    pub fn roll(&self, names: &[&str], every: Duration, how: &Restart) -> Result<(), ProcessError> {
        let names: Vec<String> = names.iter().map(|&name| name.to_owned()).collect();
        let how = how.clone();
        self.keeper.ask(move |keeper| keeper.roll(names, every, how))
    }

    /// Limits the size of any file that a running process writes; `None` removes the limit. A write beyond it
    /// fails with EFBIG, as one to a full disk fails with ENOSPC. Files can still be created, renamed and
    /// removed; with 0 nothing can be written at all, not even over existing bytes. The next incarnation
    /// starts without the limit.
    ///
    /// # Errors
    ///
    /// It does not run, or was started without [`Limits::file_bytes`].
    pub fn limit_files(&self, name: &str, bytes: Option<u64>) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.limit_files(&name, bytes))
    }

    /// Damages a file in the folder of a process that is down; the log tells which file and how.
    ///
    /// # Errors
    ///
    /// A process that uses this folder runs; there is no such file, or it is empty.
    pub fn damage(&self, name: &str, damage: Damage) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.damage(&name, &damage))
    }

    /// Returns the state of a process.
    ///
    /// # Errors
    ///
    /// There is none of this name.
    pub fn state(&self, name: &str) -> Result<State, ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.state(&name))
    }

    /// Returns the current or the last incarnation of a process.
    ///
    /// # Errors
    ///
    /// There is none of this name.
    pub fn life(&self, name: &str) -> Result<u32, ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.life(&name))
    }

    /// Returns the PIDs of the running processes.
    pub fn running(&self) -> BTreeMap<Arc<str>, u32> {
        self.keeper.roster.now()
    }

    /// Returns the resource usage of each running process.
    pub fn usage(&self) -> BTreeMap<Arc<str>, Usage> {
        let of = |(name, pid)| Some((name, Usage::of(pid)?));
        self.running().into_iter().filter_map(of).collect()
    }

    /// Returns the PIDs in the form that [`super::machine::Machine`] observes.
    pub fn roster(&self) -> Roster {
        self.keeper.roster.clone()
    }

    /// Returns the first matching line after a mark from the current incarnation of this process, waiting up
    /// to `most`, but no longer than that process can still write lines.
    ///
    /// # Errors
    ///
    /// There is no such process; no matching line came.
    pub fn wait_for_line(
        &self,
        name: &str,
        since: Mark,
        wanted: &LineFilter,
        most: Duration,
    ) -> Result<Arc<Line>, ProcessError> {
        let life = self.life(name)?;
        let wanted = wanted.clone().of(name).in_life(life);
        let both = wanted.clone();
        let either = move |line: &Line| both.matches(line) || line.event == lab_event::OUTPUT_ENDED;
        let either = LineFilter::any().of(name).in_life(life).when(either);
        // If its output ended before the mark, nothing can come after it.
        let over = LineFilter::event(lab_event::OUTPUT_ENDED).of(name).in_life(life);
        let most = if self.log.lines(Mark::default(), &over).is_empty() { most } else { Duration::ZERO };
        let line = self.log.wait_for(since, &either, most)?;
        match wanted.matches(&line) {
            true => Ok(line),
            false => Ok(self.log.wait_for(since, &wanted, Duration::ZERO)?),
        }
    }

    /// Waits until a process has ended and all its output has been read; returns its exit status.
    ///
    /// # Errors
    ///
    /// There is no such process; it has not ended within `most`.
    pub fn wait(&self, name: &str, most: Duration) -> Result<ExitStatus, ProcessError> {
        let life = self.life(name)?;
        for event in [lab_event::ENDED, lab_event::OUTPUT_ENDED] {
            let ended = LineFilter::event(event).of(name).in_life(life);
            self.log.wait_for(Mark::default(), &ended, most)?;
        }
        match self.state(name)? {
            State::Ended(status) => Ok(status),
            State::Runs | State::Stopped => Err(ProcessError::Runs(name.to_owned())),
        }
    }

    /// Sends SIGTERM to all processes, resuming the stopped ones, and kills those that have not ended within
    /// `grace`. Returns the names of those killed.
    ///
    /// # Errors
    ///
    /// [`ProcessError::KeeperEnded`].
    pub fn end(&self, grace: Duration) -> Result<Vec<String>, ProcessError> {
        let told = self.keeper.ask(|keeper| Ok(keeper.terminate_all()))?;
        let until = Instant::now() + grace;
        let mut killed = Vec::new();
        for (name, life) in told {
            let left = until.saturating_duration_since(Instant::now());
            let ended = LineFilter::event(lab_event::ENDED).of(&name).in_life(life);
            if self.log.wait_for(Mark::default(), &ended, left).is_err() && self.kill(&name).is_ok() {
                killed.push(name);
            }
        }
        Ok(killed)
    }
}

/// Checks that a name is valid as the name of a folder.
fn valid_name(name: &str) -> Result<String, ProcessError> {
    let letter = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    match (1..=MAX_NAME_LENGTH).contains(&name.len()) && name.bytes().all(letter) && name != home::SETTINGS {
        true => Ok(name.to_owned()),
        false => Err(ProcessError::Name(name.to_owned())),
    }
}
