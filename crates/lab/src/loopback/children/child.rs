//! One process of a proxy, from its start to its end.

use super::{guard, Limits, Usage};
use crate::host::HostError;
use rustix::io::Errno;
use rustix::process::{kill_process, kill_process_group, pidfd_open, prlimit, waitid};
use rustix::process::{Pid, PidfdFlags, Resource, Signal, WaitId, WaitIdOptions};
use std::collections::VecDeque;
use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Read};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines of a log that are kept, the last ones, and bytes of a line.
const MAX_LOG_LINES: usize = 200;
const MAX_LOG_LINE_BYTES: usize = 4096;
/// Bytes of a line that are read as one.
pub const MAX_LINE_BYTES: u64 = 64 << 10;
/// Variables that configure a proxy.
const CONFIG_VARIABLES: [&str; 4] = ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"];
/// Lines of the log that a message about a child's end quotes.
const QUOTED_LINES: usize = 5;
/// How long the last words of one that has ended are waited for.
const LOG_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Who has the system end a child whose lab is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Guard {
    /// The lab's program at this place, by its hidden subcommands.
    Lab(PathBuf),
    /// A test program at this place, by the test of this name.
    Test(PathBuf, String),
    Unguarded,
}

/// What is started as a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    guard: Guard,
    /// `None`: the lab's own program is the proxy.
    program: Option<PathBuf>,
}

impl Program {
    /// The proxy that is built into this very program, which asks [`guard::run_if_child`] before anything else.
    ///
    /// # Errors
    ///
    /// Where the system does not tell which program this is.
    pub fn own() -> io::Result<Program> {
        Ok(Program { guard: Guard::Lab(std::env::current_exe()?), program: None })
    }

    /// The proxy built into the lab's program, which is found at `lab`: for tests, which are programs of their own.
    pub fn of_lab(lab: &Path) -> io::Result<Program> {
        Ok(Program { guard: Guard::Lab(lab.canonicalize()?), program: None })
    }

    /// Another program. It is told what to do as the platform tells it: by `NODE_CONFIG` and its like.
    pub fn at(program: &Path) -> io::Result<Program> {
        Program::guarded(&std::env::current_exe()?, program)
    }

    /// Another program under the guard of the lab's program, which is found at `lab`.
    pub fn guarded(lab: &Path, program: &Path) -> io::Result<Program> {
        Ok(Program { guard: Guard::Lab(lab.canonicalize()?), program: Some(program.canonicalize()?) })
    }

    /// Another program under the guard of this test program, whose ignored test `test` is [`guard::run_in_test`]: for
    /// tests outside the lab's package, which have none of its programs.
    pub fn of_test(program: &Path, test: &str) -> io::Result<Program> {
        let guard = Guard::Test(std::env::current_exe()?, test.to_owned());
        Ok(Program { guard, program: Some(program.canonicalize()?) })
    }

    /// Another program without a guard: it may outlive a lab that is killed, and nothing limits it.
    pub fn unguarded(program: &Path) -> io::Result<Program> {
        Ok(Program { guard: Guard::Unguarded, program: Some(program.canonicalize()?) })
    }

    fn command(&self, limits: Limits, arguments: &[OsString]) -> Command {
        let program = self.program.iter().map(|p| p.into());
        let arguments_to_guard: Vec<OsString> =
            [std::process::id().to_string().into(), guard::limits_argument(limits)]
                .into_iter()
                .chain(program)
                .chain(arguments.iter().cloned())
                .collect();
        match &self.guard {
            Guard::Lab(lab) => {
                let mut command = Command::new(lab);
                let subcommand = if self.program.is_some() { guard::PROGRAM } else { guard::PROXY };
                command.arg(subcommand).args(arguments_to_guard);
                command
            }
            Guard::Test(this, test) => {
                let mut command = Command::new(this);
                command.args([test, "--exact", "--ignored", "--nocapture"]);
                guard::pass_arguments(&mut command, &arguments_to_guard);
                command
            }
            Guard::Unguarded => {
                let mut command = Command::new(self.program.as_deref().unwrap_or(Path::new("martenweir")));
                command.args(arguments);
                command
            }
        }
    }
}

/// The last lines of what a process said, and how many there were.
#[derive(Debug, Default)]
struct Log {
    last: VecDeque<String>,
}

/// A process that was started. Dropped, it is killed and waited for.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    ended: Option<ExitStatus>,
    log: Arc<Mutex<Log>>,
    /// Ends once nobody can write to it any more.
    reader: thread::JoinHandle<()>,
}

impl Child {
    /// Starts a program with these variables and arguments, in `dir`, which is also its `TMPDIR`. The calling thread must live as
    /// long as the child is to.
    pub fn start(
        name: &str,
        program: &Program,
        limits: Limits,
        dir: &Path,
        variables: &[(&str, String)],
        arguments: &[OsString],
    ) -> Result<Child, HostError> {
        Child::start_with_line_handler(name, program, limits, dir, variables, arguments, |_| {})
    }

    /// As [`Child::start`], for one whose every line goes to `on_line` as well, on a thread of its own and up to
    /// [`MAX_LINE_BYTES`] bytes of it. `on_line` is dropped once nobody can say any more.
    pub fn start_with_line_handler(
        name: &str,
        program: &Program,
        limits: Limits,
        dir: &Path,
        variables: &[(&str, String)],
        arguments: &[OsString],
        on_line: impl FnMut(&str) + Send + 'static,
    ) -> Result<Child, HostError> {
        let mut command = program.command(limits, arguments);
        // What whoever runs the lab has in its environment is no configuration of its children.
        for name in CONFIG_VARIABLES {
            command.env_remove(name);
        }
        command.current_dir(dir).env("TMPDIR", dir).envs(variables.iter().map(|(k, v)| (k, v)));
        Child::spawn(name, command, on_line)
            .map_err(|source| HostError::Io { what: format!("cannot start {name}"), source })
    }

    fn spawn(
        name: &str,
        mut command: Command,
        on_line: impl FnMut(&str) + Send + 'static,
    ) -> io::Result<Child> {
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        // What a terminal tells the lab (Ctrl-C) is not for its children: the lab ends them.
        command.process_group(0);
        let mut process = command.spawn()?;
        let log = Arc::<Mutex<Log>>::default();
        let (from, to) = (process.stderr.take(), log.clone());
        let reader = thread::spawn(move || read_log(from, &to, on_line));
        Ok(Child { name: name.to_owned(), process, ended: None, log, reader })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    fn raw_pid(&self) -> Option<Pid> {
        i32::try_from(self.pid()).ok().and_then(Pid::from_raw)
    }

    /// How it ended, if it has. What it had started ends with it.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_some() {
            return self.ended;
        }
        // Looked at without taking its number from it: until then that is nobody else's, nor its group's.
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        if self.raw_pid().is_some_and(|pid| matches!(waitid(WaitId::Pid(pid), options), Ok(Some(_)))) {
            self.kill_group();
            self.ended = self.process.wait().ok();
        }
        self.ended
    }

    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.pid())
    }

    /// Tells it to end as planned.
    pub fn terminate(&mut self) {
        if self.ended().is_none() {
            if let Some(pid) = self.raw_pid() {
                let _ = kill_process(pid, Signal::TERM);
            }
        }
    }

    /// Ends it at once, and what it has started.
    pub fn kill(&mut self) {
        if self.ended().is_none() {
            self.kill_group();
        }
    }

    fn kill_group(&self) {
        if let Some(pid) = self.raw_pid() {
            let _ = kill_process_group(pid, Signal::KILL);
        }
    }

    /// Ends it at once and sees it gone.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.kill();
        if self.ended.is_none() {
            self.ended = self.process.wait().ok();
        }
        self.ended
    }

    /// Holds it and what it has started (SIGSTOP); returns once it stands still, or has ended.
    pub fn stop(&mut self) {
        if self.ended().is_some() {
            return;
        }
        if let Some(pid) = self.raw_pid() {
            // Itself first: held together with a child of its that has not become a program yet, it would wait for that
            // one in vfork(2), where it is not seen to stand still.
            let _ = kill_process(pid, Signal::STOP);
            let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
            while let Err(Errno::INTR) = waitid(WaitId::Pid(pid), options) {}
            let _ = kill_process_group(pid, Signal::STOP);
        }
    }

    /// Has it go on (SIGCONT).
    pub fn resume(&mut self) {
        if self.ended().is_none() {
            if let Some(pid) = self.raw_pid() {
                let _ = kill_process_group(pid, Signal::CONT);
            }
        }
    }

    /// Bytes that a file of its may have from now on, `u64::MAX` for any number; one that has more keeps them. For one
    /// that was started with [`Limits::file_bytes`]: another would be ended by its next write past them.
    ///
    /// # Errors
    ///
    /// Those of prlimit(2), where it has ended as well.
    pub fn limit_files(&mut self, bytes: u64) -> io::Result<()> {
        let running = self.ended().is_none().then(|| self.raw_pid()).flatten();
        let pid = running.ok_or(io::ErrorKind::NotFound)?;
        prlimit(Some(pid), Resource::Fsize, guard::file_limit(bytes))?;
        Ok(())
    }

    /// What becomes readable at its end (pidfd_open(2)).
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn exit_descriptor(&self) -> io::Result<OwnedFd> {
        Ok(pidfd_open(self.raw_pid().ok_or(io::ErrorKind::NotFound)?, PidfdFlags::empty())?)
    }

    /// Waits for its end, this long at most.
    pub fn wait(&mut self, most: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + most;
        while self.ended().is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        self.ended
    }

    /// The last lines that it said; all of them, if it has ended.
    pub fn log_lines(&self) -> Vec<String> {
        let until = Instant::now() + LOG_DRAIN_TIMEOUT;
        while self.ended.is_some() && !self.reader.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        self.log.lock().unwrap_or_else(PoisonError::into_inner).last.iter().cloned().collect()
    }

    /// What befell it, with the end of what it said.
    pub fn error(&self, what: &str) -> HostError {
        let log_lines = self.log_lines();
        let last =
            log_lines.iter().rev().take(QUOTED_LINES).rev().map(|l| format!("\n  {l}")).collect::<String>();
        let log_lines = if last.is_empty() { "; it said nothing" } else { "; it said last:" };
        HostError::Child { name: self.name.clone(), what: format!("{what}{log_lines}{last}") }
    }

    /// Why it does not keep its limits, if it does not.
    pub fn limit_error(&self, limits: Limits, usage: Usage) -> Option<HostError> {
        if usage.memory_kb > limits.memory_kb {
            let (has, most) = (usage.memory_kb / 1024, limits.memory_kb / 1024);
            return Some(self.error(&format!("took {has} MB of memory, {most} at most are allowed")));
        }
        if usage.descriptors > limits.descriptors {
            let (has, most) = (usage.descriptors, limits.descriptors);
            return Some(self.error(&format!("holds {has} descriptors, {most} at most are allowed")));
        }
        None
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
        let _ = self.process.wait();
    }
}

/// Reads to the end, so that the process never waits for a reader.
fn read_log(from: Option<impl Read>, log: &Mutex<Log>, mut on_line: impl FnMut(&str)) {
    let Some(mut from) = from.map(BufReader::new) else { return };
    let mut bytes = Vec::new();
    while (&mut from).take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes).is_ok_and(|n| n > 0) {
        let mut line = String::from_utf8_lossy(&bytes).trim_end().to_owned();
        bytes.clear();
        on_line(&line);
        let end = (0..=MAX_LOG_LINE_BYTES.min(line.len())).rev().find(|at| line.is_char_boundary(*at));
        line.truncate(end.unwrap_or(0));
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.last.len() == MAX_LOG_LINES {
            log.last.pop_front();
        }
        log.last.push_back(line);
    }
}

#[cfg(test)]
mod tests;
