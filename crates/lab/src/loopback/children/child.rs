//! A child process that runs a proxy, from start to exit.

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

/// Log lines kept in memory (the most recent ones), and the bytes kept of each line.
const MAX_LOG_LINES: usize = 200;
const MAX_LOG_LINE_BYTES: usize = 4096;
/// Longest log line, in bytes, that is read as one line; a longer one is split.
pub const MAX_LINE_BYTES: u64 = 64 << 10;
/// Environment variables that configure a proxy.
const CONFIG_VARIABLES: [&str; 4] = ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"];
/// Log lines quoted in an error about a child.
const QUOTED_LINES: usize = 5;
/// How long to wait for the remaining output of a child that has exited.
const LOG_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// What makes the kernel kill a child whose lab process has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Guard {
    /// The lab binary at this path, through its hidden subcommands.
    Lab(PathBuf),
    /// The test binary at this path, through the ignored test of this name.
    Test(PathBuf, String),
    Unguarded,
}

/// The program that is started as a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    guard: Guard,
    /// `None`: the proxy built into the lab binary.
    program: Option<PathBuf>,
}

impl Program {
    /// The proxy built into the current executable, whose `main` must call [`guard::run_if_child`] first.
    ///
    /// # Errors
    ///
    /// If the path of the current executable cannot be determined.
    pub fn own() -> io::Result<Program> {
        Ok(Program { guard: Guard::Lab(std::env::current_exe()?), program: None })
    }

    /// The proxy built into the lab binary at `lab`, for tests, which are separate executables.
    pub fn of_lab(lab: &Path) -> io::Result<Program> {
        Ok(Program { guard: Guard::Lab(lab.canonicalize()?), program: None })
    }

    /// Another executable, configured as the platform does it: through `NODE_CONFIG` and the related
    /// variables.
    pub fn at(program: &Path) -> io::Result<Program> {
        Program::guarded(&std::env::current_exe()?, program)
    }

    /// Another executable, guarded by the lab binary at `lab`.
    pub fn guarded(lab: &Path, program: &Path) -> io::Result<Program> {
        Ok(Program { guard: Guard::Lab(lab.canonicalize()?), program: Some(program.canonicalize()?) })
    }

    /// Another executable, guarded by the current test binary, whose ignored test `test` calls
    /// [`guard::run_in_test`]: for tests outside the lab's package, which cannot use the lab binary.
    pub fn of_test(program: &Path, test: &str) -> io::Result<Program> {
        let guard = Guard::Test(std::env::current_exe()?, test.to_owned());
        Ok(Program { guard, program: Some(program.canonicalize()?) })
    }

    /// Another executable without a guard: it may outlive a lab that is killed, and its resources are not
    /// limited.
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

/// The most recent lines that a process wrote to standard error.
#[derive(Debug, Default)]
struct Log {
    last: VecDeque<String>,
}

/// A running child process. Dropping it kills the process and waits for it.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    ended: Option<ExitStatus>,
    log: Arc<Mutex<Log>>,
    /// Finishes when all write ends of the process's standard error are closed.
    reader: thread::JoinHandle<()>,
}

impl Child {
    /// Starts a program with these environment variables and arguments in `dir`, which is also its `TMPDIR`.
    /// The calling thread must live as long as the child should.
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

    /// Like [`Child::start`], and also passes every line of standard error, up to [`MAX_LINE_BYTES`] bytes of
    /// it, to `on_line` on a separate thread. `on_line` is dropped when standard error is closed.
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
        // The lab's own environment must not configure its children.
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
        // A separate process group keeps Ctrl-C in the lab's terminal from reaching the child: the lab ends
        // it itself.
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

    /// The exit status, or `None` while it runs. When the process has exited, the rest of its process group
    /// is killed.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_some() {
            return self.ended;
        }
        // WNOWAIT leaves the zombie in place, so that its process id and group id cannot be reused before the
        // group is killed.
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

    /// Requests a graceful exit (SIGTERM).
    pub fn terminate(&mut self) {
        if self.ended().is_none() {
            if let Some(pid) = self.raw_pid() {
                let _ = kill_process(pid, Signal::TERM);
            }
        }
    }

    /// Kills the process and its process group (SIGKILL).
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

    /// Kills the process and waits for it.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.kill();
        if self.ended.is_none() {
            self.ended = self.process.wait().ok();
        }
        self.ended
    }

    /// Suspends the process group (SIGSTOP); returns once the process is stopped or has exited.
    pub fn stop(&mut self) {
        if self.ended().is_some() {
            return;
        }
        if let Some(pid) = self.raw_pid() {
            // The process is stopped before its group. If both were stopped together while a child of the
            // process had not called execve(2) yet, the process would block in vfork(2) and never be reported
            // as stopped.
            let _ = kill_process(pid, Signal::STOP);
            let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
            while let Err(Errno::INTR) = waitid(WaitId::Pid(pid), options) {}
            let _ = kill_process_group(pid, Signal::STOP);
        }
    }

    /// Resumes the process group (SIGCONT).
    pub fn resume(&mut self) {
        if self.ended().is_none() {
            if let Some(pid) = self.raw_pid() {
                let _ = kill_process_group(pid, Signal::CONT);
            }
        }
    }

    /// Limits the size of the files that the process writes from now on, in bytes; `u64::MAX` removes the
    /// limit. A file that is already larger keeps its size. Only for a process started with
    /// [`Limits::file_bytes`]: any other is killed by SIGXFSZ at its next write past the limit.
    ///
    /// # Errors
    ///
    /// Those of prlimit(2), also if the process has exited.
    pub fn limit_files(&mut self, bytes: u64) -> io::Result<()> {
        let running = self.ended().is_none().then(|| self.raw_pid()).flatten();
        let pid = running.ok_or(io::ErrorKind::NotFound)?;
        prlimit(Some(pid), Resource::Fsize, guard::file_limit(bytes))?;
        Ok(())
    }

    /// A descriptor that becomes readable when the process exits (pidfd_open(2)).
    ///
    /// # Errors
    ///
    /// Those of pidfd_open(2).
    pub fn exit_descriptor(&self) -> io::Result<OwnedFd> {
        Ok(pidfd_open(self.raw_pid().ok_or(io::ErrorKind::NotFound)?, PidfdFlags::empty())?)
    }

    /// Waits at most this long for the process to exit.
    pub fn wait(&mut self, most: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + most;
        while self.ended().is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        self.ended
    }

    /// The most recent lines of standard error; if the process has exited, up to its last one.
    pub fn log_lines(&self) -> Vec<String> {
        let until = Instant::now() + LOG_DRAIN_TIMEOUT;
        while self.ended.is_some() && !self.reader.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        self.log.lock().unwrap_or_else(PoisonError::into_inner).last.iter().cloned().collect()
    }

    /// An error about this process that quotes the end of its log.
    pub fn error(&self, what: &str) -> HostError {
        let log_lines = self.log_lines();
        let last =
            log_lines.iter().rev().take(QUOTED_LINES).rev().map(|l| format!("\n  {l}")).collect::<String>();
        let log_lines = if last.is_empty() { "; it logged nothing" } else { "; last log lines:" };
        HostError::Child { name: self.name.clone(), what: format!("{what}{log_lines}{last}") }
    }

    /// The error to report if the process exceeds its limits.
    pub fn limit_error(&self, limits: Limits, usage: Usage) -> Option<HostError> {
        if usage.memory_kb > limits.memory_kb {
            let (has, most) = (usage.memory_kb / 1024, limits.memory_kb / 1024);
            return Some(self.error(&format!("uses {has} MB of memory, the limit is {most} MB")));
        }
        if usage.descriptors > limits.descriptors {
            let (has, most) = (usage.descriptors, limits.descriptors);
            return Some(self.error(&format!("holds {has} descriptors, the limit is {most}")));
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

/// Reads standard error to its end, so that the process never blocks on a full pipe.
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
