//! The origin that all share: slots and a queue, slow spells, and a stop when it is sent too much for too long.
//!
//! It owns what is between the last byte of a request and its answer, as [`crate::node`] does for a cache node, and
//! speaks in the same [`NodeRequest`]s and [`Event`]s. Keyed requests that it has run are in the table that it shares with
//! the nodes. It keeps no values: that a copy of a written key goes void, and that
//! a read is stored where it missed, is for the host (the world does it).

use crate::dedup::DedupTable;
use crate::node::{begin, Answer, DialOutcome, Event, EventKind, NodeRequest, Script, Step};
use crate::random::{lognormal, ms, seconds, within, Map, Random};
use crate::scenario::{self, Range};
use crate::station::Station;
use crate::window_sum::WindowSum;
use crate::Micros;
use slab::Slab;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Job {
    request: NodeRequest,
    /// Reads that it counts for.
    reads: f64,
    work: f64,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    pub reads: u64,
    pub writes: u64,
    pub served: u64,
    pub refused: u64,
    pub stops: u64,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    rng: Random,
    /// Reads a second.
    capacity: f64,
    service: f64,
    sigma: f64,
    write_work: f64,
    most_waiting: usize,
    crowd_loss: f64,
    drops: bool,
    fall_multiple: f64,
    fall_for: Micros,
    down: Range,
    most_stops: u32,
    most_connections: usize,
    station: Station,
    jobs: Slab<Job>,
    waiting: VecDeque<usize>,
    connections: Map<u64, ()>,
    window_sum: WindowSum,
    slower: f64,
    /// Down until then.
    back: Option<Micros>,
    script: Option<Script>,
    planned: Vec<(Micros, u64, Answer)>,
    counted: Counted,
}

impl Ledger {
    /// `capacity` in reads a second.
    pub fn new(l: &scenario::Ledger, capacity: f64, rng: Random) -> Self {
        let service = l.service_ms * 1e3;
        // As many slots as are busy at full capacity; the rest of it is the speed of each.
        let wanted = capacity * service / 1e6;
        let slots = (wanted.round() as usize).max(1);
        Ledger {
            rng,
            capacity,
            service,
            sigma: l.service_sigma,
            write_work: l.write_work,
            most_waiting: (l.queue_s * capacity).ceil() as usize,
            crowd_loss: l.crowd_loss,
            drops: l.drops_cancelled,
            fall_multiple: l.fall_multiple,
            fall_for: ms(l.fall_for_ms),
            down: l.down_s,
            most_stops: l.most_stops,
            most_connections: l.connections as usize,
            station: Station::new(slots as f64, slots, wanted / slots as f64),
            jobs: Slab::new(),
            waiting: VecDeque::new(),
            connections: Map::default(),
            window_sum: WindowSum::new(ms(l.fall_for_ms)),
            slower: 1.0,
            back: None,
            script: None,
            planned: Vec::new(),
            counted: Counted::default(),
        }
    }

    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    pub fn counted(&self) -> Counted {
        self.counted
    }

    /// In work and waiting.
    pub fn out(&self) -> usize {
        self.station.running() + self.waiting.len()
    }

    pub fn is_up(&self) -> bool {
        self.back.is_none()
    }

    pub fn set_script(&mut self, script: Script) {
        self.script = Some(script);
    }

    /// It runs this many times slower.
    pub fn set_slowdown(&mut self, now: Micros, times: f64, dedup: &mut DedupTable, out: &mut Vec<Event>) {
        self.advance(now, dedup, out);
        self.slower = times.max(0.001);
        self.update_speed(now);
    }

    /// It is down until then; what it had is lost. The host breaks the connections.
    pub fn stop(&mut self, now: Micros, until: Micros) {
        self.station.clear(now);
        self.jobs.clear();
        self.waiting.clear();
        self.connections.clear();
        self.planned.clear();
        self.window_sum.clear();
        self.counted.stops += 1;
        let until = until.max(now + 1);
        self.back = Some(self.back.map_or(until, |back| back.max(until)));
    }

    pub fn connect(&mut self, connection: u64) -> DialOutcome {
        if self.back.is_some() || self.connections.len() >= self.most_connections {
            return DialOutcome::Refused;
        }
        self.connections.insert(connection, ());
        DialOutcome::Accepted
    }

    /// The other side has closed: what waits for nobody is dropped, if it does that.
    pub fn disconnect(&mut self, connection: u64) {
        if self.connections.remove(&connection).is_none() || !self.drops {
            return;
        }
        let jobs = &mut self.jobs;
        self.waiting.retain(|i| {
            let stays = jobs.get(*i).is_some_and(|j| j.request.connection != connection);
            if !stays {
                jobs.try_remove(*i);
            }
            stays
        });
    }

    pub fn arrive(
        &mut self,
        now: Micros,
        request: NodeRequest,
        dedup: &mut DedupTable,
        out: &mut Vec<Event>,
    ) {
        self.advance(now, dedup, out);
        if !self.connections.contains_key(&request.connection) {
            return tell(out, now, request.job, Answer::Reset, 0.0);
        }
        let reads = if request.write { self.write_work } else { 1.0 };
        let counter = if request.write { &mut self.counted.writes } else { &mut self.counted.reads };
        *counter += 1;
        if let Some(Step { answer, after }) = self.script.as_mut().map(Script::take) {
            let Some(answer) = answer else { return };
            if matches!(answer, Answer::Value | Answer::Error) {
                begin(out, now, &request, true, true);
            }
            return self.planned.push((now + after.max(0), request.job, answer));
        }
        let sent = self.window_sum.add(now, reads);
        let able = self.capacity * self.fall_for as f64 / 1e6;
        if self.fall_multiple > 0.0 && sent > self.fall_multiple * able {
            let stopped = self.counted.stops < u64::from(self.most_stops);
            let since = now - self.fall_for;
            out.push(Event { at: now, kind: EventKind::Overloaded { since, stopped } });
            self.window_sum.clear();
            if stopped {
                let down = seconds(within(self.down, &mut self.rng));
                return self.stop(now, now + down);
            }
        }
        if self.waiting.len() >= self.most_waiting && !self.station.is_free() {
            self.counted.refused += 1;
            return tell(out, now, request.job, Answer::Busy, 0.0);
        }
        let job = self.jobs.insert(Job { request, reads, work: 0.0 });
        self.waiting.push_back(job);
        self.fill(now, dedup, out);
        self.update_speed(now);
    }

    /// When it wants to be moved along next.
    pub fn next(&self) -> Option<Micros> {
        let planned = self.planned.iter().map(|p| p.0).min();
        [self.station.next(), self.back, planned].into_iter().flatten().min()
    }

    /// Carries out all that is due by now.
    pub fn advance(&mut self, now: Micros, dedup: &mut DedupTable, out: &mut Vec<Event>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            if let Some((at, job)) = self.station.end(at) {
                if let Some(Job { request, work, .. }) = self.jobs.try_remove(job as usize) {
                    self.counted.served += 1;
                    tell(out, at, request.job, Answer::Value, work);
                }
                self.fill(at, dedup, out);
                self.update_speed(at);
            } else if let Some(i) = self.planned.iter().position(|p| p.0 <= at) {
                let (at, job, answer) = self.planned.remove(i);
                self.counted.served += u64::from(answer == Answer::Value);
                tell(out, at, job, answer, 0.0);
            } else {
                self.back = None;
                self.update_speed(at);
            }
        }
    }

    fn update_speed(&mut self, now: Micros) {
        let crowd = 1.0 + self.crowd_loss * self.waiting.len() as f64 / self.station.slots() as f64;
        let full = self.capacity * self.service / 1e6 / self.station.slots() as f64;
        self.station.set_speed(now, full / crowd / self.slower);
    }

    fn fill(&mut self, now: Micros, dedup: &mut DedupTable, out: &mut Vec<Event>) {
        while self.station.is_free() {
            let Some(i) = self.waiting.pop_front() else { return };
            let Some(Job { request, reads, .. }) = self.jobs.get(i).copied() else { continue };
            if self.drops && request.expires <= now {
                self.jobs.remove(i);
                self.counted.refused += 1;
                tell(out, now, request.job, Answer::Busy, 0.0);
                continue;
            }
            let dropped = request.repeat.is_some_and(|(key, window)| dedup.seen(now, key, window));
            begin(out, now, &request, !dropped, true);
            let work = self.service * reads * lognormal(self.sigma, &mut self.rng);
            self.jobs[i].work = work;
            self.station.start(now, i as u64, work);
        }
    }
}

fn tell(out: &mut Vec<Event>, at: Micros, job: u64, answer: Answer, work: f64) {
    out.push(Event { at, kind: EventKind::Answered { job, answer, work } });
}
