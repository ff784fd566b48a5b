//! The processes of a fleet: started, held, ended, started again, and what befalls their disks.
//!
//! It owns the processes and their folders, `ROOT/NAME` each, where a process is started and which is its `TMPDIR`. All is done
//! by one thread, the keeper: so whoever calls may come and go, what is due (the end of a pause, a start
//! after a while) is done whatever the callers do, and the system ends the children with the keeper's thread
//! ([`crate::loopback::children::guard`]) where nobody is left to. Dropped, it ends every process, stopped ones too,
//! before it returns. What it does and what it sees is told in the fleet's log by the same clock as the processes' own
//! lines; the events are named in [`lab_event`].
//!
//! Not the addresses that processes speak to each other by, nor what is written to their configuration: what the
//! platform would give a new machine belongs into [`Processes::settings`], which is lost with no disk.

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

/// Processes of a fleet, those that are down as well.
pub const MAX_PROCESSES: usize = 256;
/// Letters of a name.
const MAX_NAME_LENGTH: usize = 40;
/// How long one that was told to end in order to be started again has for it, before it is killed.
pub const GRACE: Duration = Duration::from_secs(10);

/// The events that the lab tells of a process.
pub mod lab_event {
    pub const STARTED: &str = "lab_started";
    /// A start that was due did not succeed.
    pub const FAILED: &str = "lab_failed";
    /// SIGTERM was sent.
    pub const TOLD_TO_END: &str = "lab_told_to_end";
    pub const KILLED: &str = "lab_killed";
    pub const STOPPED: &str = "lab_stopped";
    pub const RESUMED: &str = "lab_resumed";
    pub const ENDED: &str = "lab_ended";
    /// All that it said has been read.
    pub const HEARD_OUT: &str = "lab_heard_out";
    pub const FOLDER_GONE: &str = "lab_folder_gone";
    pub const DISK: &str = "lab_disk";
    pub const DAMAGED: &str = "lab_damaged";
}

/// Why nothing was done.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    #[error("{0:?} is no name of a process: letters, digits, - and _, {MAX_NAME_LENGTH} at most")]
    Name(String),
    #[error("there is no process {0}")]
    Unknown(String),
    #[error("{0} runs")]
    Runs(String),
    #[error("{0} does not run")]
    Down(String),
    #[error("{0}: it was started without a limit of files, whose breach would end it")]
    Unlimited(String),
    #[error("{MAX_PROCESSES} processes at most")]
    TooMany,
    #[error("{file}: {why}")]
    Damage { file: String, why: &'static str },
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
    #[error(transparent)]
    Host(#[from] HostError),
    #[error(transparent)]
    WaitTimeout(#[from] WaitTimeout),
    #[error("nobody keeps the processes any more")]
    Gone,
}

/// What is started as a process.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    /// An older or a newer build is another program.
    pub program: Program,
    pub arguments: Vec<OsString>,
    pub variables: Vec<(String, String)>,
    pub limits: Limits,
}

impl Spec {
    /// A process with no arguments, no variables, 1,024 descriptors and a disk that may be limited.
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

    /// Adds a variable.
    pub fn variable(mut self, name: &str, value: impl Into<String>) -> Spec {
        self.variables.push((name.to_owned(), value.into()));
        self
    }
}

/// What becomes of the folder of a process that is started again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Folder {
    #[default]
    Kept,
    /// Gone as soon as the process is, as a machine with its disk.
    Lost,
    /// Emptied when the process is started again.
    Empty,
}

/// Whose folder a second process of one name has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// That of the first: two processes on one disk.
    SameFolder,
    /// An empty one of its own: the platform has started the name on another machine.
    OwnFolder,
}

/// How a process is ended and started again. The default: killed, and back at once with its folder.
#[derive(Clone, Debug, Default)]
pub struct Restart {
    /// Told to end by SIGTERM, and killed after [`GRACE`]; otherwise killed.
    pub told: bool,
    pub folder: Folder,
    /// From its end to its start.
    pub down: Duration,
    /// What is started in its place with the same words: a newer or an older build.
    pub program: Option<Program>,
}

/// How a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Runs,
    /// Held by SIGSTOP.
    Stopped,
    Ended(ExitStatus),
}

/// The processes of a fleet. Its methods may be called from any thread; each returns when what it says is done.
#[derive(Debug)]
pub struct Processes {
    log: Log,
    /// Dropped before the folders are.
    keeper: KeeperHandle,
    home: Arc<Home>,
}

impl Processes {
    /// No process yet. Their folders are made in `root`, which stays when all is over.
    ///
    /// # Errors
    ///
    /// Those of the folder and of a thread's start.
    pub fn new(root: &Path, log: &Log) -> io::Result<Processes> {
        Processes::at(Home::given(root)?, log)
    }

    /// No process yet. Their folders are made in one of its own in the system's folder for such, which goes when
    /// this is dropped. Where nobody could drop it (a lab that was killed), it goes when the next is made.
    ///
    /// # Errors
    ///
    /// Those of the folder and of a thread's start.
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

    /// Where all folders are.
    pub fn root(&self) -> &Path {
        self.home.path()
    }

    /// The folder of a process: its disk.
    pub fn folder(&self, name: &str) -> PathBuf {
        self.home.folder(name)
    }

    /// A folder for what a process is configured with, which no fault touches. It is made if it is not there.
    ///
    /// # Errors
    ///
    /// Those of the folder, and a name that is none.
    pub fn settings(&self, name: &str) -> Result<PathBuf, ProcessError> {
        self.home.settings(&valid_name(name)?)
    }

    /// Starts a process with the folder that it has, an empty one if it has none. Which process of its name it is,
    /// from 1.
    ///
    /// # Errors
    ///
    /// One of its name runs; a name that is none; too many; those of the system.
    pub fn start(&self, spec: Spec) -> Result<u32, ProcessError> {
        valid_name(&spec.name)?;
        self.keeper.ask(move |keeper| keeper.start_one(spec))
    }

    /// Starts processes one right after the other, and tells how long that took from the first start to the last. All
    /// are checked before one is started.
    ///
    /// # Errors
    ///
    /// As [`Processes::start`]; what was started by then runs.
    pub fn start_many(&self, specs: Vec<Spec>) -> Result<Duration, ProcessError> {
        specs.iter().try_for_each(|spec| valid_name(&spec.name).map(drop))?;
        self.keeper.ask(move |keeper| keeper.start_many(specs))
    }

    /// Starts a second process of a name, that of the first's [`Spec`] or another one; by what name the lab knows it
    /// (`f3~2`). Whoever listens at an address that is written down wants another [`Spec`].
    ///
    /// # Errors
    ///
    /// The first does not run; too many; those of the system.
    pub fn twin(&self, name: &str, with: Option<Spec>, folder: Twin) -> Result<String, ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.twin(&name, with, folder))
    }

    /// Tells a process to end (SIGTERM). One that is stopped hears it when it goes on.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn terminate(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.terminate(&name))
    }

    /// Ends a process at once (SIGKILL), and what it has started.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn kill(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.kill(&name))
    }

    /// Holds a process (SIGSTOP) until it is resumed; the kernel goes on taking bytes for it. Returns once it stands
    /// still.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn stop(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.stop(&name, None))
    }

    /// Holds a process for a time; of two pauses that overlap, the one that ends later counts.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn pause(&self, name: &str, how_long: Duration) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.stop(&name, Some(how_long)))
    }

    /// Has a process that is held go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn resume(&self, name: &str) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.resume(&name))
    }

    /// Ends a process and starts it again, as `how` has it; one that is down is started. Returns once it is on its way: the log tells
    /// [`lab_event::STARTED`] of the next life, or [`lab_event::FAILED`].
    ///
    /// # Errors
    ///
    /// There is none of this name; its folder is to go and another process has it too.
    pub fn restart(&self, name: &str, how: Restart) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.restart(&name, how))
    }

    /// Restarts processes in steps, the first now, each other one `every` after the one before it. A step whose start
    /// fails is told in the log ([`lab_event::FAILED`]).
    ///
    /// # Errors
    ///
    /// There is none of one of these names.
    pub fn roll(&self, names: &[&str], every: Duration, how: &Restart) -> Result<(), ProcessError> {
        let names: Vec<String> = names.iter().map(|&name| name.to_owned()).collect();
        let how = how.clone();
        self.keeper.ask(move |keeper| keeper.roll(names, every, how))
    }

    /// Bytes that any file of a running process may have from now on; `None` for any number. A write past them fails
    /// with EFBIG, as one to a full disk fails with ENOSPC. Files may still be made, renamed and removed; with 0 nothing is
    /// written at all, not even over what is there. The process that comes after it has room again.
    ///
    /// # Errors
    ///
    /// It does not run, or was started without [`Limits::file_bytes`].
    pub fn limit_files(&self, name: &str, bytes: Option<u64>) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.limit_files(&name, bytes))
    }

    /// Damages a file in the folder of a process that is down; which one and how is in the log.
    ///
    /// # Errors
    ///
    /// A process with this folder runs; there is no such file, or nothing in it.
    pub fn damage(&self, name: &str, damage: Damage) -> Result<(), ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.damage(&name, &damage))
    }

    /// How a process is.
    ///
    /// # Errors
    ///
    /// There is none of this name.
    pub fn state(&self, name: &str) -> Result<State, ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.state(&name))
    }

    /// Which process of its name runs, or was the last to.
    ///
    /// # Errors
    ///
    /// There is none of this name.
    pub fn life(&self, name: &str) -> Result<u32, ProcessError> {
        let name = name.to_owned();
        self.keeper.ask(move |keeper| keeper.life(&name))
    }

    /// The numbers that the system knows the running processes by.
    pub fn running(&self) -> BTreeMap<Arc<str>, u32> {
        self.keeper.roster.now()
    }

    /// What each running process has used.
    pub fn usage(&self) -> BTreeMap<Arc<str>, Usage> {
        let of = |(name, pid)| Some((name, Usage::of(pid)?));
        self.running().into_iter().filter_map(of).collect()
    }

    /// What [`super::machine::Machine`] watches.
    pub fn roster(&self) -> Roster {
        self.keeper.roster.clone()
    }

    /// The first wanted line behind a mark that the process which runs under this name has said, or says within `most`;
    /// it is not waited for once that process can say no more.
    ///
    /// # Errors
    ///
    /// There is none of this name; nothing of the kind was said.
    pub fn hear(
        &self,
        name: &str,
        since: Mark,
        wanted: &LineFilter,
        most: Duration,
    ) -> Result<Arc<Line>, ProcessError> {
        let life = self.life(name)?;
        let wanted = wanted.clone().of(name).in_life(life);
        let both = wanted.clone();
        let either = move |line: &Line| both.is(line) || line.event == lab_event::HEARD_OUT;
        let either = LineFilter::any().of(name).in_life(life).when(either);
        // A process that was heard out before the mark is not heard behind it.
        let over = LineFilter::event(lab_event::HEARD_OUT).of(name).in_life(life);
        let most = if self.log.lines(Mark::default(), &over).is_empty() { most } else { Duration::ZERO };
        let line = self.log.wait_for(since, &either, most)?;
        match wanted.is(&line) {
            true => Ok(line),
            false => Ok(self.log.wait_for(since, &wanted, Duration::ZERO)?),
        }
    }

    /// Waits until a process has ended and all that it said has been heard; how it ended.
    ///
    /// # Errors
    ///
    /// There is none of this name; it has not ended within `most`.
    pub fn wait(&self, name: &str, most: Duration) -> Result<ExitStatus, ProcessError> {
        let life = self.life(name)?;
        for event in [lab_event::ENDED, lab_event::HEARD_OUT] {
            let ended = LineFilter::event(event).of(name).in_life(life);
            self.log.wait_for(Mark::default(), &ended, most)?;
        }
        match self.state(name)? {
            State::Ended(status) => Ok(status),
            State::Runs | State::Stopped => Err(ProcessError::Runs(name.to_owned())),
        }
    }

    /// Tells all processes to end, those that are held too, and kills what has not ended within `grace`. Those that had to
    /// be killed.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Gone`].
    pub fn end(&self, grace: Duration) -> Result<Vec<String>, ProcessError> {
        let told = self.keeper.ask(|keeper| Ok(keeper.tell_all_to_end()))?;
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

/// A name that can be a folder's.
fn valid_name(name: &str) -> Result<String, ProcessError> {
    let letter = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    match (1..=MAX_NAME_LENGTH).contains(&name.len()) && name.bytes().all(letter) && name != home::SETTINGS {
        true => Ok(name.to_owned()),
        false => Err(ProcessError::Name(name.to_owned())),
    }
}
