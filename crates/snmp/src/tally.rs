//! Counters of completed streams: by class and tenant, by reason of refusal, and their durations. This is all
//! the request path does for the agent: it only adds to counters that are already allocated.

use crate::snapshot::{Counts, Requests, Times, BUCKETS, REASONS};
use crate::{Micros, SECOND};
use std::rc::Rc;

/// Maximum number of rows of class and tenant. Tenants beyond it are counted together.
const MAX_ROWS: usize = 1024;
/// Percentiles cover the last minute, in slots of this length (10 s).
const SLOT_LEN: Micros = 10 * SECOND;
const SLOTS: usize = 6;
/// Steps per doubling of the duration. A reported percentile is at most one sixteenth above the true value.
const STEPS_PER_OCTAVE: u64 = 16;
/// Durations are distinguished up to 2^27 us, about two minutes. The longest requests of clients take
/// seconds.
const OCTAVES: u64 = 23;
const HISTOGRAM_CELLS: usize = (OCTAVES * STEPS_PER_OCTAVE) as usize + STEPS_PER_OCTAVE as usize;

/// Outcome of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a value or a receipt.
    Served,
    /// Refused by a local reply.
    Refused(Reason),
    /// Failed.
    Failed,
    /// The downstream disconnected before it completed.
    Left,
}

/// Why a stream was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The limit on open streams was reached.
    Full,
    /// No upstream request was sent: the load was shed, or no node was usable.
    NotSent,
    /// It needed the origin and got no place there, or no response in time.
    Origin,
    /// All of its upstream requests failed.
    Attempts,
}

/// A completed stream.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Its outcome.
    pub outcome: Outcome,
    /// Its duration.
    pub time: Micros,
    /// Whether it took more than one upstream request to caches or to the origin.
    pub retried: bool,
    /// Whether it missed and was then served by a cache.
    pub joined: bool,
}

/// Durations of the streams of one class.
#[derive(Clone, Debug)]
struct Class {
    histogram: [u64; BUCKETS.len()],
    /// For each slot: the number of streams served, the sum of their durations, and their number by
    /// [`cell_index`].
    recent: [(u64, Micros, Vec<u32>); SLOTS],
}

/// The histogram cell of a duration: sixteen cells per octave, as in HDR histograms.
fn cell_index(time: Micros) -> usize {
    let t = time.max(0) as u64;
    if t < STEPS_PER_OCTAVE {
        return t as usize;
    }
    let octave = u64::from(63 - t.leading_zeros()) - u64::from(STEPS_PER_OCTAVE.trailing_zeros());
    let step = (t >> octave) - STEPS_PER_OCTAVE;
    ((octave + 1) * STEPS_PER_OCTAVE + step).min(HISTOGRAM_CELLS as u64 - 1) as usize
}

/// The longest duration that falls into a cell.
fn cell_upper_bound(cell: usize) -> Micros {
    let (octave, step) = (cell as u64 / STEPS_PER_OCTAVE, cell as u64 % STEPS_PER_OCTAVE);
    match octave {
        0 => step as Micros,
        _ => (((STEPS_PER_OCTAVE + step + 1) << (octave - 1)) - 1) as Micros,
    }
}

/// Counters since the start of the program.
#[derive(Clone, Debug)]
pub struct Tally {
    names: (Vec<Rc<str>>, Vec<Rc<str>>),
    counts: Vec<Counts>,
    refusals: [u64; REASONS],
    classes: Vec<Class>,
    /// Number of the current slot, counted from `started`, and the time when counting began.
    slot: Micros,
    started: Micros,
}

impl Tally {
    /// Zeroed counters for streams of these classes and tenants.
    pub fn new(now: Micros, classes: &[String], tenants: &[String]) -> Tally {
        let classes: Vec<Rc<str>> = classes.iter().take(MAX_ROWS / 2).map(|n| n.as_str().into()).collect();
        let max_tenants = (MAX_ROWS / classes.len().max(1)).max(2);
        let mut tenants: Vec<Rc<str>> = tenants.iter().map(|n| n.as_str().into()).collect();
        if tenants.is_empty() {
            tenants.push("-".into());
        }
        if tenants.len() > max_tenants {
            tenants.truncate(max_tenants - 1);
            tenants.push("(others)".into());
        }
        let slot = || (0, 0, vec![0; HISTOGRAM_CELLS]);
        let class = || Class { histogram: [0; BUCKETS.len()], recent: [(); SLOTS].map(|()| slot()) };
        Tally {
            counts: vec![Counts::default(); classes.len() * tenants.len()],
            refusals: [0; REASONS],
            classes: classes.iter().map(|_| class()).collect(),
            names: (classes, tenants),
            slot: 0,
            started: now,
        }
    }

    /// Clears the slots that expired since the last call.
    fn expire_slots(&mut self, now: Micros) {
        let slot = ((now - self.started) / SLOT_LEN).max(self.slot);
        let old = (slot - self.slot).min(SLOTS as Micros);
        for i in 1..=old {
            let at = ((self.slot + i) % SLOTS as Micros) as usize;
            for class in &mut self.classes {
                let (served, sum, cells) = &mut class.recent[at];
                (*served, *sum) = (0, 0);
                cells.fill(0);
            }
        }
        self.slot = slot;
    }

    /// Counts a completed stream.
    pub fn record(&mut self, now: Micros, stream: Stream) {
        self.expire_slots(now);
        let tenants = self.names.1.len();
        let at = stream.class * tenants + stream.tenant.min(tenants - 1);
        let Some(counts) = self.counts.get_mut(at) else { return };
        match stream.outcome {
            Outcome::Served => counts.served += 1,
            Outcome::Refused(reason) => {
                counts.refused += 1;
                self.refusals[reason as usize] += 1;
            }
            Outcome::Failed => counts.failed += 1,
            Outcome::Left => counts.left += 1,
        }
        counts.retried += u64::from(stream.retried);
        counts.joined += u64::from(stream.joined);
        if stream.outcome != Outcome::Served {
            return;
        }
        let Some(class) = self.classes.get_mut(stream.class) else { return };
        let ms = (stream.time.max(0) / 1000) as u64;
        let bucket = BUCKETS.iter().position(|up_to| ms < u64::from(*up_to)).unwrap_or(BUCKETS.len() - 1);
        class.histogram[bucket] += 1;
        let (served, sum, cells) = &mut class.recent[(self.slot % SLOTS as Micros) as usize];
        (*served, *sum) = (*served + 1, *sum + stream.time.max(0));
        cells[cell_index(stream.time)] += 1;
    }

    /// Counters by class and tenant.
    pub fn requests(&self) -> Vec<Requests> {
        let (classes, tenants) = &self.names;
        let names = classes.iter().flat_map(|c| tenants.iter().map(move |t| (c.clone(), t.clone())));
        names.zip(&self.counts).map(|((class, tenant), c)| Requests { class, tenant, counts: *c }).collect()
    }

    /// Number of refusals by reason.
    pub fn refusals(&self) -> [u64; REASONS] {
        self.refusals
    }

    /// Durations by class.
    pub fn times(&mut self, now: Micros) -> Vec<Times> {
        self.expire_slots(now);
        self.names.0.iter().zip(&self.classes).map(|(name, class)| class.times(name)).collect()
    }
}

impl Class {
    fn times(&self, name: &Rc<str>) -> Times {
        let recent: u64 = self.recent.iter().map(|r| r.0).sum();
        let sum: Micros = self.recent.iter().map(|r| r.1).sum();
        let percentile = |per_mille: u64| {
            let (rank, mut seen) = ((recent * per_mille).div_ceil(1000).max(1), 0);
            (0..HISTOGRAM_CELLS).find(|cell| {
                seen += self.recent.iter().map(|r| u64::from(r.2[*cell])).sum::<u64>();
                seen >= rank
            })
        };
        let percentiles = match recent {
            0 => [0; 4],
            _ => [500, 900, 990, 999].map(|p| percentile(p).map_or(0, cell_upper_bound)),
        };
        let mean = sum / (recent.max(1) as Micros);
        Times { class: name.clone(), recent, mean, percentiles, histogram: self.histogram }
    }
}

#[cfg(test)]
mod tests;
