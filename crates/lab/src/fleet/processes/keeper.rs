//! The keeper thread: the sole owner of the processes, so that their state is neither shared nor locked.
//!
//! It sleeps until a caller submits a job, a process ends (its pidfd becomes readable) or a timed action is
//! due.

use super::home::Home;
use super::{lab_event, Damage, Folder, ProcessError, Restart, Spec, State, Twin, GRACE, MAX_PROCESSES};
use crate::fleet::log::Log;
use crate::loopback::children::Child;
use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, TryRecvError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest delay of a timed action; in effect never.
const NEVER: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// A job that a caller submits to the keeper.
type Job = Box<dyn FnOnce(&mut Keeper) + Send>;

/// The PIDs of the running processes, for observers in other threads.
#[derive(Clone, Debug, Default)]
pub struct Roster(Arc<Mutex<BTreeMap<Arc<str>, u32>>>);

impl Roster {
    pub fn now(&self) -> BTreeMap<Arc<str>, u32> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, name: &Arc<str>, pid: Option<u32>) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match pid {
            Some(pid) => drop(all.insert(name.clone(), pid)),
            None => drop(all.remove(name)),
        }
    }
}

/// How long a process stays stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    Until(Instant),
    UntilResumed,
}

#[derive(Debug)]
struct Running {
    child: Child,
    exit_descriptor: OwnedFd,
    held: Option<Hold>,
}

#[derive(Debug)]
struct Slot {
    name: Arc<str>,
    spec: Spec,
    folder: PathBuf,
    /// Incarnation of the current or the last process.
    life: u32,
    running: Option<Running>,
    last: Option<ExitStatus>,
    /// How to restart the process once it has ended.
    again: Option<Restart>,
}

/// A timed action.
#[derive(Debug)]
enum Due {
    /// End of a pause, and end of the grace period, of that incarnation only.
    Resume(String, u32),
    Kill(String, u32),
    /// A start, if the process that ended is still the last incarnation.
    Start(String, u32, Folder),
    Restart(String, Restart),
}

#[derive(Debug)]
pub(super) struct Keeper {
    log: Log,
    home: Arc<Home>,
    roster: Roster,
    slots: BTreeMap<String, Slot>,
    due: BTreeMap<(Instant, u64), Due>,
    /// Distinguishes actions that are due at the same time.
    next: u64,
}

/// Handle to the keeper thread. Dropping it makes the keeper end all processes, and waits for that.
#[derive(Debug)]
pub(super) struct KeeperHandle {
    jobs: Option<Sender<Job>>,
    wake: Arc<OwnedFd>,
    pub(super) roster: Roster,
    thread: Option<JoinHandle<()>>,
}

impl KeeperHandle {
    /// Runs a job on the keeper thread and waits for its result.
    pub(super) fn ask<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Keeper) -> Result<T, ProcessError> + Send + 'static,
    ) -> Result<T, ProcessError> {
        let (answer, answered) = sync_channel(1);
        let job: Job = Box::new(move |keeper| drop(answer.send(job(keeper))));
        self.jobs
            .as_ref()
            .ok_or(ProcessError::KeeperEnded)?
            .send(job)
            .map_err(|_| ProcessError::KeeperEnded)?;
        self.wake();
        answered.recv().map_err(|_| ProcessError::KeeperEnded)?
    }

    fn wake(&self) {
        let _ = rustix::io::write(&self.wake, &1u64.to_ne_bytes());
    }
}

impl Drop for KeeperHandle {
    fn drop(&mut self) {
        drop(self.jobs.take());
        self.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Logs, when the child's reader drops it, that no more output can come.
struct OutputEndNotice(Log, Arc<str>, u32);

impl Drop for OutputEndNotice {
    fn drop(&mut self) {
        self.0.push_event(&self.1, self.2, lab_event::OUTPUT_ENDED, String::new());
    }
}

fn io(what: &Path) -> impl FnOnce(io::Error) -> ProcessError {
    let what = what.display().to_string();
    move |source| ProcessError::Io { what, source }
}

/// Removes a folder with its contents; a missing folder is no error.
fn remove(folder: &Path) -> Result<(), ProcessError> {
    match fs::remove_dir_all(folder) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(io(folder)(e)),
        _ => Ok(()),
    }
}

impl Keeper {
    pub(super) fn start(log: Log, home: Arc<Home>) -> io::Result<KeeperHandle> {
        let (jobs, asked) = channel();
        let wake = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let (roster, woken) = (Roster::default(), wake.clone());
        let (slots, due) = (BTreeMap::new(), BTreeMap::new());
        let mut keeper = Keeper { log, home, roster: roster.clone(), slots, due, next: 0 };
        let thread = thread::Builder::new().name("keeper".into()).spawn(move || {
            keeper.run(&asked, &woken);
        })?;
        Ok(KeeperHandle { jobs: Some(jobs), wake, roster, thread: Some(thread) })
    }

    /// Runs until all handles are dropped.
    fn run(&mut self, asked: &Receiver<Job>, woken: &OwnedFd) {
        loop {
            loop {
                match asked.try_recv() {
                    Ok(job) => job(self),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            self.reap();
            self.carry_out();
            self.sleep(woken);
        }
    }

    fn sleep(&self, woken: &OwnedFd) {
        let ends = self.slots.values().filter_map(|s| s.running.as_ref()).map(|r| r.exit_descriptor.as_fd());
        let all = [woken.as_fd()].into_iter().chain(ends);
        let mut all: Vec<PollFd> = all.map(|fd| PollFd::from_borrowed_fd(fd, PollFlags::IN)).collect();
        let left = self.due.keys().next().map(|(at, _)| at.saturating_duration_since(Instant::now()));
        // Rounded up slightly to avoid waking up repeatedly just before the deadline.
        let left = left.map(|left| left + Duration::from_micros(50));
        let left = left.map(|l| Timespec { tv_sec: l.as_secs() as i64, tv_nsec: l.subsec_nanos().into() });
        let _ = poll(&mut all, left.as_ref());
        let _ = rustix::io::read(woken, &mut [0; 8]);
    }

    /// Detects processes that have ended.
    fn reap(&mut self) {
        let names: Vec<String> = self.slots.keys().cloned().collect();
        for name in names {
            let Some(slot) = self.slots.get_mut(&name) else { continue };
            if let Some(status) = slot.running.as_mut().and_then(|r| r.child.ended()) {
                self.ended(&name, status);
            }
        }
    }

    /// Handles the end of a process; the only place where a running process is released.
    fn ended(&mut self, name: &str, status: ExitStatus) {
        let Some(slot) = self.slots.get_mut(name) else { return };
        slot.running = None;
        slot.last = Some(status);
        self.roster.set(&slot.name, None);
        self.log.push_event(&slot.name, slot.life, lab_event::ENDED, status.to_string());
        let Some(again) = slot.again.take() else { return };
        let (life, folder) = (slot.life, slot.folder.clone());
        let label = slot.name.clone();
        if let Some(program) = again.program {
            slot.spec.program = program;
        }
        if again.folder == Folder::Lost {
            let (event, said) = match remove(&folder) {
                Ok(()) => (lab_event::FOLDER_REMOVED, String::new()),
                Err(why) => (lab_event::FAILED, why.to_string()),
            };
            self.log.push_event(&label, life, event, said);
        }
        self.at(again.down, Due::Start(name.to_owned(), life, again.folder));
    }

    fn at(&mut self, after: Duration, due: Due) {
        self.next += 1;
        self.due.insert((Instant::now() + after.min(NEVER), self.next), due);
    }

    fn carry_out(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > Instant::now() {
                return;
            }
            let done = match entry.remove() {
                Due::Resume(name, life) => {
                    self.resume_if_due(&name, life);
                    Ok(())
                }
                Due::Kill(name, life) => match self.slots.get(&name) {
                    Some(slot) if slot.life == life && slot.running.is_some() => self.kill(&name),
                    _ => Ok(()),
                },
                Due::Start(name, life, folder) => self.start_again(&name, life, folder),
                Due::Restart(name, how) => {
                    let done = self.restart(&name, how);
                    done.inspect_err(|why| self.failed(&name, why))
                }
            };
            // Callers get errors as results; timed actions have no caller, so their errors only go to the
            // log.
            let _ = done;
        }
    }

    fn failed(&self, name: &str, why: &ProcessError) {
        if let Some(slot) = self.slots.get(name) {
            self.log.push_event(&slot.name, slot.life, lab_event::FAILED, why.to_string());
        }
    }

    fn slot(&mut self, name: &str) -> Result<&mut Slot, ProcessError> {
        self.slots.get_mut(name).ok_or_else(|| ProcessError::Unknown(name.to_owned()))
    }

    /// Returns the slot of a running process.
    fn running(&mut self, name: &str) -> Result<(&Log, &mut Slot), ProcessError> {
        // It may have ended since the last check.
        if let Some(status) = self.slot(name)?.running.as_mut().and_then(|r| r.child.ended()) {
            self.ended(name, status);
        }
        let slot = self.slots.get_mut(name).filter(|s| s.running.is_some());
        slot.map(|slot| (&self.log, slot)).ok_or_else(|| ProcessError::Down(name.to_owned()))
    }

    /// Returns another running process that uses this folder.
    fn shares(&self, name: &str, folder: &Path) -> Option<String> {
        let mut others = self.slots.iter().filter(|(other, slot)| *other != name && slot.running.is_some());
        others.find(|(_, slot)| slot.folder == folder).map(|(other, _)| other.clone())
    }

    fn spawn(&mut self, name: &str) -> Result<u32, ProcessError> {
        let (log, roster) = (self.log.clone(), self.roster.clone());
        let slot = self.slot(name)?;
        fs::create_dir_all(&slot.folder).map_err(io(&slot.folder))?;
        slot.life += 1;
        slot.last = None;
        slot.again = None;
        let (label, life) = (slot.name.clone(), slot.life);
        // Logged before the process can write anything; a failed start is followed by `FAILED`.
        log.push_event(&label, life, lab_event::STARTED, String::new());
        let notice = OutputEndNotice(log.clone(), label.clone(), life);
        let on_line = move |line: &str| notice.0.push_output(&notice.1, notice.2, line);
        let Spec { program, arguments, variables, limits, .. } = &slot.spec;
        let variables: Vec<(&str, String)> = variables.iter().map(|(k, v)| (&**k, v.clone())).collect();
        let child = Child::start_with_line_handler(
            name,
            program,
            *limits,
            &slot.folder,
            &variables,
            arguments,
            on_line,
        )?;
        let exit_descriptor =
            child.exit_descriptor().map_err(|source| ProcessError::Io { what: name.to_owned(), source })?;
        roster.set(&label, Some(child.pid()));
        slot.running = Some(Running { child, exit_descriptor, held: None });
        Ok(life)
    }

    pub(super) fn start_one(&mut self, spec: Spec) -> Result<u32, ProcessError> {
        let name = spec.name.clone();
        self.free(&name)?;
        match self.slots.get_mut(&name) {
            Some(slot) => {
                slot.spec = spec;
                slot.again = None;
            }
            None => {
                let folder = self.home.folder(&name);
                self.add(&name, spec, folder)?;
            }
        }
        self.spawn(&name).inspect_err(|why| self.failed(&name, why))
    }

    /// Checks that no process of this name is running.
    fn free(&mut self, name: &str) -> Result<(), ProcessError> {
        match self.slots.contains_key(name) && self.running(name).is_ok() {
            true => Err(ProcessError::Runs(name.to_owned())),
            false => Ok(()),
        }
    }

    fn add(&mut self, name: &str, spec: Spec, folder: PathBuf) -> Result<(), ProcessError> {
        if self.slots.len() >= MAX_PROCESSES {
            return Err(ProcessError::TooMany);
        }
        let (label, running, last, again) = (name.into(), None, None, None);
        self.slots.insert(name.to_owned(), Slot { name: label, spec, folder, life: 0, running, last, again });
        Ok(())
    }

    pub(super) fn start_many(&mut self, specs: Vec<Spec>) -> Result<Duration, ProcessError> {
        for spec in &specs {
            self.free(&spec.name)?;
        }
        let since = Instant::now();
        specs.into_iter().try_for_each(|spec| self.start_one(spec).map(drop))?;
        Ok(since.elapsed())
    }

    pub(super) fn twin(
        &mut self,
        name: &str,
        with: Option<Spec>,
        folder: Twin,
    ) -> Result<String, ProcessError> {
        let (_, first) = self.running(name)?;
        let (shared, spec) = (first.folder.clone(), first.spec.clone());
        let taken = |n: &u32| self.slots.contains_key(&format!("{name}~{n}"));
        let label = format!("{name}~{}", (2..).find(|n| !taken(n)).unwrap_or(u32::MAX));
        let folder = match folder {
            Twin::SameFolder => shared,
            Twin::OwnFolder => self.home.folder(&label),
        };
        self.add(&label, with.unwrap_or(spec), folder)?;
        self.spawn(&label).inspect_err(|why| self.failed(&label, why))?;
        Ok(label)
    }

    pub(super) fn terminate(&mut self, name: &str) -> Result<(), ProcessError> {
        let (log, slot) = self.running(name)?;
        log.push_event(&slot.name, slot.life, lab_event::TERMINATED, String::new());
        slot.running.iter_mut().for_each(|r| r.child.terminate());
        Ok(())
    }

    pub(super) fn kill(&mut self, name: &str) -> Result<(), ProcessError> {
        let (log, slot) = self.running(name)?;
        log.push_event(&slot.name, slot.life, lab_event::KILLED, String::new());
        match slot.running.as_mut().and_then(|r| r.child.end()) {
            Some(status) => self.ended(name, status),
            None => return Err(ProcessError::Runs(name.to_owned())),
        }
        Ok(())
    }

    pub(super) fn stop(&mut self, name: &str, how_long: Option<Duration>) -> Result<(), ProcessError> {
        let (log, slot) = self.running(name)?;
        let (life, label) = (slot.life, slot.name.clone());
        let Some(running) = &mut slot.running else { return Ok(()) };
        let new =
            how_long.map_or(Hold::UntilResumed, |how_long| Hold::Until(Instant::now() + how_long.min(NEVER)));
        let hold = match (running.held, new) {
            (Some(Hold::UntilResumed), _) => Hold::UntilResumed,
            (Some(Hold::Until(old)), Hold::Until(new)) => Hold::Until(old.max(new)),
            (_, new) => new,
        };
        if running.held.replace(hold).is_none() {
            running.child.stop();
            log.push_event(&label, life, lab_event::STOPPED, String::new());
        }
        if let Some(how_long) = how_long {
            self.at(how_long, Due::Resume(name.to_owned(), life));
        }
        Ok(())
    }

    fn resume_if_due(&mut self, name: &str, life: u32) {
        let Some(slot) = self.slots.get(name).filter(|s| s.life == life) else { return };
        match slot.running.as_ref().and_then(|r| r.held) {
            Some(Hold::Until(at)) if at <= Instant::now() => drop(self.resume(name)),
            _ => {}
        }
    }

    pub(super) fn resume(&mut self, name: &str) -> Result<(), ProcessError> {
        let (log, slot) = self.running(name)?;
        let Some(running) = &mut slot.running else { return Ok(()) };
        if running.held.take().is_some() {
            // Logged first, so that the output of the process comes after it.
            log.push_event(&slot.name, slot.life, lab_event::RESUMED, String::new());
            running.child.resume();
        }
        Ok(())
    }

    pub(super) fn restart(&mut self, name: &str, how: Restart) -> Result<(), ProcessError> {
        let folder = self.slot(name)?.folder.clone();
        if how.folder != Folder::Kept {
            if let Some(other) = self.shares(name, &folder) {
                return Err(ProcessError::Runs(other));
            }
        }
        let told = how.told;
        let runs = self.running(name).is_ok();
        let slot = self.slot(name)?;
        let life = slot.life;
        slot.again = Some(how);
        match (runs, told) {
            (true, false) => self.kill(name),
            (true, true) => {
                self.terminate(name)?;
                self.at(GRACE, Due::Kill(name.to_owned(), life));
                Ok(())
            }
            (false, _) => {
                // The process is not running: proceed as if it had ended now.
                let Some(again) = slot.again.take() else { return Ok(()) };
                if let Some(program) = again.program {
                    slot.spec.program = program;
                }
                if again.folder == Folder::Lost {
                    remove(&folder)?;
                }
                self.at(again.down, Due::Start(name.to_owned(), life, again.folder));
                Ok(())
            }
        }
    }

    /// Performs the start that was scheduled after an end.
    fn start_again(&mut self, name: &str, life: u32, folder: Folder) -> Result<(), ProcessError> {
        let slot = self.slot(name)?;
        if slot.life != life || slot.running.is_some() {
            return Ok(());
        }
        let path = slot.folder.clone();
        let emptied = match folder {
            Folder::Empty => remove(&path),
            Folder::Kept | Folder::Lost => Ok(()),
        };
        let done = emptied.and_then(|()| self.spawn(name).map(drop));
        done.inspect_err(|why| self.failed(name, why))
    }

    pub(super) fn roll(
        &mut self,
        names: Vec<String>,
        every: Duration,
        how: Restart,
    ) -> Result<(), ProcessError> {
        names.iter().try_for_each(|name| self.slot(name).map(drop))?;
        for (step, name) in names.into_iter().enumerate() {
            let after = every.saturating_mul(u32::try_from(step).unwrap_or(u32::MAX));
            self.at(after, Due::Restart(name, how.clone()));
        }
        self.carry_out();
        Ok(())
    }

    pub(super) fn limit_files(&mut self, name: &str, bytes: Option<u64>) -> Result<(), ProcessError> {
        let (log, slot) = self.running(name)?;
        if slot.spec.limits.file_bytes.is_none() {
            return Err(ProcessError::Unlimited(name.to_owned()));
        }
        let Some(running) = &mut slot.running else { return Ok(()) };
        let limited = running.child.limit_files(bytes.unwrap_or(u64::MAX));
        limited.map_err(|source| ProcessError::Io { what: format!("file size limit of {name}"), source })?;
        let said = match bytes {
            Some(bytes) => format!("file size limit set to {bytes} bytes"),
            None => "file size limit removed".to_owned(),
        };
        log.push_event(&slot.name, slot.life, lab_event::DISK, said);
        Ok(())
    }

    pub(super) fn damage(&mut self, name: &str, damage: &Damage) -> Result<(), ProcessError> {
        if self.running(name).is_ok() {
            return Err(ProcessError::Runs(name.to_owned()));
        }
        let folder = self.slot(name)?.folder.clone();
        if let Some(other) = self.shares(name, &folder) {
            return Err(ProcessError::Runs(other));
        }
        let done = damage.apply(&folder)?;
        let slot = self.slot(name)?;
        let (label, life) = (slot.name.clone(), slot.life);
        self.log.push_event(&label, life, lab_event::DAMAGED, done);
        Ok(())
    }

    pub(super) fn state(&mut self, name: &str) -> Result<State, ProcessError> {
        let _ = self.running(name);
        let slot = self.slot(name)?;
        match (&slot.running, slot.last) {
            (Some(running), _) if running.held.is_some() => Ok(State::Stopped),
            (Some(_), _) => Ok(State::Runs),
            (None, Some(status)) => Ok(State::Ended(status)),
            // The start failed.
            (None, None) => Err(ProcessError::Down(name.to_owned())),
        }
    }

    pub(super) fn life(&mut self, name: &str) -> Result<u32, ProcessError> {
        Ok(self.slot(name)?.life)
    }

    /// Cancels all timed actions and sends SIGTERM to all processes; returns those that were running.
    pub(super) fn terminate_all(&mut self) -> Vec<(String, u32)> {
        self.due.clear();
        self.slots.values_mut().for_each(|slot| slot.again = None);
        let names: Vec<String> = self.slots.keys().cloned().collect();
        let mut told = Vec::new();
        for name in names {
            if self.resume(&name).and_then(|()| self.terminate(&name)).is_ok() {
                told.extend(self.slots.get(&name).map(|slot| (name, slot.life)));
            }
        }
        told
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        // Signal all first; dropping each one waits for its end.
        for running in self.slots.values_mut().filter_map(|s| s.running.as_mut()) {
            running.child.kill();
        }
        self.slots.clear();
    }
}
