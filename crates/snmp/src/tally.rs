//! Counts streams as they end: by class and tenant, by reason of refusal, and how long they took. This is all
//! that the request path does for the agent: additions to numbers that are there already.

use crate::snapshot::{Counts, Requests, Times, BUCKETS, REASONS};
use crate::{Micros, SECOND};
use std::rc::Rc;

/// Rows of classes and tenants at the most; tenants that find no room are counted together.
const MAX_ROWS: usize = 1024;
/// Percentiles are of the last minute, in slots of this many seconds.
const SLOT_LEN: Micros = 10 * SECOND;
const SLOTS: usize = 6;
/// Steps between a time and twice that time: a percentile is at most a sixteenth above the true one.
const STEPS_PER_OCTAVE: u64 = 16;
/// Times up to 2^27 us, two minutes, are told apart; the longest request of a client takes seconds.
const OCTAVES: u64 = 23;
const HISTOGRAM_CELLS: usize = (OCTAVES * STEPS_PER_OCTAVE) as usize + STEPS_PER_OCTAVE as usize;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a value or a receipt.
    Served,
    /// Turned away.
    Refused(Reason),
    /// Failed.
    Failed,
    /// Its downstream was gone.
    Left,
}

/// Why a stream was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// As many streams are open as may be.
    Full,
    /// No upstream request was sent: the load was shed, or no node would do.
    NotSent,
    /// It wanted the ledger and found no place there, or no answer in time.
    Ledger,
    /// Its upstream requests came to nothing.
    Attempts,
}

/// A stream that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Its class and its tenant, as positions.
    pub class: usize,
    /// See `class`.
    pub tenant: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub time: Micros,
    /// It took more than one upstream request at caches, or at the ledger.
    pub retried: bool,
    /// It missed, and a cache served it then.
    pub joined: bool,
}

/// The times of one class.
#[derive(Clone, Debug)]
struct Class {
    histogram: [u64; BUCKETS.len()],
    /// Served, the sum of their times, and how many by [`cell_index`], in each slot.
    recent: [(u64, Micros, Vec<u32>); SLOTS],
}

/// Where a time belongs: sixteen steps to an octave, as HDR histograms have it.
fn cell_index(time: Micros) -> usize {
    let t = time.max(0) as u64;
    if t < STEPS_PER_OCTAVE {
        return t as usize;
    }
    let octave = u64::from(63 - t.leading_zeros()) - u64::from(STEPS_PER_OCTAVE.trailing_zeros());
    let step = (t >> octave) - STEPS_PER_OCTAVE;
    ((octave + 1) * STEPS_PER_OCTAVE + step).min(HISTOGRAM_CELLS as u64 - 1) as usize
}

/// The longest time in a cell.
fn cell_upper_bound(cell: usize) -> Micros {
    let (octave, step) = (cell as u64 / STEPS_PER_OCTAVE, cell as u64 % STEPS_PER_OCTAVE);
    match octave {
        0 => step as Micros,
        _ => (((STEPS_PER_OCTAVE + step + 1) << (octave - 1)) - 1) as Micros,
    }
}

/// What has been counted since the start.
#[derive(Clone, Debug)]
pub struct Tally {
    names: (Vec<Rc<str>>, Vec<Rc<str>>),
    counts: Vec<Counts>,
    refusals: [u64; REASONS],
    classes: Vec<Class>,
    /// The slot that is being filled, as a number since the start, and when that began to count.
    slot: Micros,
    started: Micros,
}

impl Tally {
    /// Counts nothing yet, for streams of these classes and tenants.
    pub fn new(now: Micros, classes: &[String], tenants: &[String]) -> Tally {
        let classes: Vec<Rc<str>> = classes.iter().take(MAX_ROWS / 2).map(|n| n.as_str().into()).collect();
        let most = (MAX_ROWS / classes.len().max(1)).max(2);
        let mut tenants: Vec<Rc<str>> = tenants.iter().map(|n| n.as_str().into()).collect();
        if tenants.is_empty() {
            tenants.push("-".into());
        }
        if tenants.len() > most {
            tenants.truncate(most - 1);
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

    /// Empties the slots that have become old since this was called last.
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

    /// A stream has ended.
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

    /// Rows by class and tenant.
    pub fn requests(&self) -> Vec<Requests> {
        let (classes, tenants) = &self.names;
        let names = classes.iter().flat_map(|c| tenants.iter().map(move |t| (c.clone(), t.clone())));
        names.zip(&self.counts).map(|((class, tenant), c)| Requests { class, tenant, counts: *c }).collect()
    }

    /// Refusals by reason.
    pub fn refusals(&self) -> [u64; REASONS] {
        self.refusals
    }

    /// Times by class.
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
            let (wanted, mut seen) = ((recent * per_mille).div_ceil(1000).max(1), 0);
            (0..HISTOGRAM_CELLS).find(|cell| {
                seen += self.recent.iter().map(|r| u64::from(r.2[*cell])).sum::<u64>();
                seen >= wanted
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
