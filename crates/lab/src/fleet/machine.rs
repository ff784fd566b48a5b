//! Whether the machine that a fleet runs on is the cause of what was seen.
//!
//! It owns two threads. One wakes up at an even pace and notes how late it came: a machine without a core to spare, or one that stood
//! still (the lab stopped, a laptop asleep), shows there. The other asks the system how long the fleet's processes could
//! have run and had no core (schedstat); and the load. A run with more of that than [`Bound`] allows is void: what was
//! seen in it is no verdict on the program. Not the lateness of the links' relays, which tell their own.

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

/// Between two beats, and between two looks at the processes.
const BEAT_INTERVAL: Duration = Duration::from_millis(10);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// What the machine may do to a run before it is void.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Bound {
    /// Lateness of a beat, the 99th percentile and the worst, in microseconds.
    pub p99_us: u64,
    pub worst_us: u64,
    /// The longest that one process, all its threads together, waits for a core within two looks.
    pub starved_us: u64,
}

impl Default for Bound {
    /// The lateness is that which voids runs of the loopback host. A process that lacks a core for a quarter of a second may
    /// miss the time-outs of its peers.
    fn default() -> Self {
        Bound { p99_us: 20_000, worst_us: 1_000_000, starved_us: 250_000 }
    }
}

/// What was seen of the machine so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Seen {
    pub beats: u64,
    pub p99_us: u64,
    pub worst_us: u64,
    /// The process that waited longest for a core within two looks, and how long.
    pub starved: Option<(String, u64)>,
    /// The highest load of the last minute (`/proc/loadavg`), and the cores there are.
    pub load: f64,
    pub cores: usize,
}

impl Seen {
    /// Why the run is void, if it is.
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

/// Watches the machine until it is dropped.
#[derive(Debug)]
pub struct Machine {
    shared: Arc<Mutex<Shared>>,
    /// Dropped, it ends the threads.
    ends: Vec<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Machine {
    /// Begins to watch the machine, and the processes of `roster` where there is one.
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

    /// What was seen so far.
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

/// Waits until then; whether it goes on.
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
        // Beats that it slept through were late as well, each by less than the one before.
        let missed = (late.as_micros() / BEAT_INTERVAL.as_micros()).min(100_000) as Micros;
        (0..=missed).for_each(|n| shared.late.add(us - n * BEAT_INTERVAL.as_micros() as Micros));
        shared.worst_us = shared.worst_us.max(us.unsigned_abs());
        due += BEAT_INTERVAL * (missed as u32 + 1);
    }
}

fn sample(end: &Receiver<()>, shared: &Mutex<Shared>, roster: Option<&Roster>) {
    /// Time for which a process had waited at the last look, and what was added then.
    type Waited = BTreeMap<(Arc<str>, u32), (Duration, Duration)>;
    let mut before = Waited::new();
    loop {
        let mut worst: Option<(Arc<str>, Duration)> = None;
        let mut now = Waited::new();
        for (name, pid) in roster.map(Roster::now).unwrap_or_default() {
            let Some(waited) = Usage::of(pid).map(|u| u.waited) else { continue };
            let (last, added) = before.get(&(name.clone(), pid)).copied().unwrap_or((waited, Duration::ZERO));
            let new = waited.saturating_sub(last);
            // A wait may lie across the border between two looks.
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
