//! Detects whether the machine that the fleet runs on, rather than the program, explains what was observed.
//!
//! It owns two threads. One wakes up at a fixed interval and records how late it was, which reveals a machine
//! without a spare core or one that paused (the lab was stopped, a laptop slept). The other samples how long
//! the fleet's processes were runnable without a core (schedstat), and the load. A run that exceeds [`Bound`]
//! is void: it gives no verdict on the program. The lateness of the link relays is measured by the relays
//! themselves.

use super::processes::Roster;
use crate::loopback::children::Usage;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use world::outcome::Latencies;
use world::Micros;

/// Intervals between two beats and between two samples of the processes.
const BEAT_INTERVAL: Duration = Duration::from_millis(10);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits beyond which a run is void.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Bound {
    /// Lateness of a beat, 99th percentile and maximum, in microseconds.
    pub p99_us: u64,
    pub worst_us: u64,
    /// Maximum time that one process, summed over its threads, may wait for a core within two samples.
    pub starved_us: u64,
}

impl Default for Bound {
    /// The lateness limits are those of the loopback host. A process that lacks a core for a quarter of a
    /// second may miss the timeouts of its peers.
    fn default() -> Self {
        Bound { p99_us: 20_000, worst_us: 1_000_000, starved_us: 250_000 }
    }
}

/// Observations of the machine so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Seen {
    pub beats: u64,
    pub p99_us: u64,
    pub worst_us: u64,
    /// The process that waited longest for a core within two samples, and that time in microseconds.
    pub starved: Option<(String, u64)>,
    /// The highest one-minute load average seen (`/proc/loadavg`), and the number of cores.
    pub load: f64,
    pub cores: usize,
}

impl Seen {
    /// Returns why the run is void, if it is.
    pub fn void(&self, bound: &Bound) -> Option<String> {
        let mut why = Vec::new();
        let ms = |us: u64| us as f64 / 1000.0;
        if self.p99_us > bound.p99_us {
            why.push(format!("the lab's beat was {:.0} ms late at p99", ms(self.p99_us)));
        }
        if self.worst_us > bound.worst_us {
            why.push(format!("the lab's beat was {:.0} ms late once", ms(self.worst_us)));
        }
        if let Some((name, us)) = self.starved.as_ref().filter(|(_, us)| *us > bound.starved_us) {
            why.push(format!("{name} waited {:.0} ms for a core", ms(*us)));
        }
        let why = (!why.is_empty()).then(|| why.join(", "))?;
        Some(format!("void: the machine is the cause: {why} (load {:.1} on {} cores)", self.load, self.cores))
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (p99, worst) = (self.p99_us as f64 / 1000.0, self.worst_us as f64 / 1000.0);
        write!(f, "beats late by {p99:.1} ms at p99, {worst:.1} ms at worst; ")?;
        if let Some((name, us)) = &self.starved {
            write!(f, "{name} waited {:.1} ms for a core; ", *us as f64 / 1000.0)?;
        }
        write!(f, "load {:.1} on {} cores", self.load, self.cores)
    }
}

#[derive(Debug, Default)]
struct Shared {
    late: Latencies,
    worst_us: u64,
    starved: Option<(Arc<str>, u64)>,
    load: f64,
}

/// Observes the machine until it is dropped.
#[derive(Debug)]
pub struct Machine {
    shared: Arc<Mutex<Shared>>,
    /// Dropping the senders ends the threads.
    ends: Vec<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Machine {
    /// Starts observing the machine and, if given, the processes of `roster`.
    ///
    /// # Errors
    ///
    /// A thread cannot be started.
    pub fn watch(roster: Option<Roster>) -> io::Result<Machine> {
        let shared = Arc::<Mutex<Shared>>::default();
        let mut machine = Machine { shared: shared.clone(), ends: Vec::new(), threads: Vec::new() };
        let for_beat = shared.clone();
        machine.spawn("beat", move |end| beat(end, &for_beat))?;
        machine.spawn("look", move |end| sample(end, &shared, roster.as_ref()))?;
        Ok(machine)
    }

    fn spawn(&mut self, name: &str, work: impl FnOnce(&Receiver<()>) + Send + 'static) -> io::Result<()> {
        let (end, ended) = channel();
        let thread = thread::Builder::new().name(name.into()).spawn(move || work(&ended))?;
        self.ends.push(end);
        self.threads.push(thread);
        Ok(())
    }

    /// Returns the observations so far.
    pub fn seen(&self) -> Seen {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        Seen {
            beats: shared.late.count(),
            p99_us: shared.late.quantile(0.99).map_or(0, |us| us.unsigned_abs()),
            worst_us: shared.worst_us,
            starved: shared.starved.as_ref().map(|(name, us)| (name.to_string(), *us)),
            load: shared.load,
            cores: thread::available_parallelism().map_or(1, usize::from),
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.ends.clear();
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Waits until `at`; returns false if the thread is to end.
fn until(at: Instant, end: &Receiver<()>) -> bool {
    let left = at.saturating_duration_since(Instant::now());
    matches!(end.recv_timeout(left), Err(RecvTimeoutError::Timeout))
}

fn beat(end: &Receiver<()>, shared: &Mutex<Shared>) {
    let mut due = Instant::now() + BEAT_INTERVAL;
    while until(due, end) {
        let late = due.elapsed();
        let us = late.as_micros() as Micros;
        let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
        // Beats missed during a pause count as late too, each by one interval less than the one before.
        let missed = (late.as_micros() / BEAT_INTERVAL.as_micros()).min(100_000) as Micros;
        (0..=missed).for_each(|n| shared.late.add(us - n * BEAT_INTERVAL.as_micros() as Micros));
        shared.worst_us = shared.worst_us.max(us.unsigned_abs());
        due += BEAT_INTERVAL * (missed as u32 + 1);
    }
}

fn sample(end: &Receiver<()>, shared: &Mutex<Shared>, roster: Option<&Roster>) {
    /// Total wait of each process at the last sample, and what it gained in that sample.
    type Waited = BTreeMap<(Arc<str>, u32), (Duration, Duration)>;
    let mut before = Waited::new();
    loop {
        let mut worst: Option<(Arc<str>, Duration)> = None;
        let mut now = Waited::new();
        for (name, pid) in roster.map(Roster::now).unwrap_or_default() {
            let Some(waited) = Usage::of(pid).map(|u| u.waited) else { continue };
            let (last, added) = before.get(&(name.clone(), pid)).copied().unwrap_or((waited, Duration::ZERO));
            let new = waited.saturating_sub(last);
            // A wait may span the border between two samples, so the two are added.
            if worst.as_ref().is_none_or(|(_, most)| new + added > *most) {
                worst = Some((name.clone(), new + added));
            }
            now.insert((name, pid), (waited, new));
        }
        before = now;
        let load = std::fs::read_to_string("/proc/loadavg").ok();
        let load = load.and_then(|l| l.split(' ').next()?.parse().ok()).unwrap_or(0.0);
        {
            let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
            shared.load = shared.load.max(load);
            if let Some((name, waited)) = worst {
                let us = waited.as_micros() as u64;
                if shared.starved.as_ref().is_none_or(|(_, most)| us > *most) {
                    shared.starved = Some((name, us));
                }
            }
        }
        if !until(Instant::now() + SAMPLE_INTERVAL, end) {
            return;
        }
    }
}
