//! The origin that all proxies share: slots and a queue, slow periods, and an outage when it receives too
//! much for too long.
//!
//! It covers the time between the last byte of a request and its answer, as [`crate::node`] does for a cache
//! node, and uses the same [`NodeRequest`]s and [`Event`]s. The table of keyed requests that were executed is
//! shared with the nodes. The origin stores no values: invalidating the copies of a written key, and storing
//! a read where it missed, is up to the host ([`crate::world`] does it).

use crate::dedup::DedupTable;
use crate::node::{push_began, Answer, DialOutcome, Event, EventKind, NodeRequest, Script, Step};
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
    /// Cost in reads.
    reads: f64,
    work: f64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub reads: u64,
    pub writes: u64,
    pub served: u64,
    pub refused: u64,
    pub stops: u64,
}

#[derive(Clone, Debug)]
pub struct Origin {
    rng: Random,
    /// Reads per second.
    capacity: f64,
    service: f64,
    sigma: f64,
    write_work: f64,
    max_waiting: usize,
    crowd_loss: f64,
    drops_cancelled: bool,
    fall_multiple: f64,
    fall_for: Micros,
    down: Range,
    most_stops: u32,
    max_connections: usize,
    station: Station,
    jobs: Slab<Job>,
    waiting: VecDeque<usize>,
    connections: Map<u64, ()>,
    window_sum: WindowSum,
    slowdown: f64,
    /// Down until this time.
    down_until: Option<Micros>,
    script: Option<Script>,
    scheduled: Vec<(Micros, u64, Answer)>,
    counted: Counters,
}

impl Origin {
    /// `capacity` is in reads per second.
    pub fn new(l: &scenario::Origin, capacity: f64, rng: Random) -> Self {
        let service = l.service_ms * 1e3;
        // The number of slots that are busy at full capacity; the rounding is compensated by the speed of
        // each slot.
        let wanted = capacity * service / 1e6;
        let slots = (wanted.round() as usize).max(1);
        Origin {
            rng,
            capacity,
            service,
            sigma: l.service_sigma,
            write_work: l.write_work,
            max_waiting: (l.queue_s * capacity).ceil() as usize,
            crowd_loss: l.crowd_loss,
            drops_cancelled: l.drops_cancelled,
            fall_multiple: l.fall_multiple,
            fall_for: ms(l.fall_for_ms),
            down: l.down_s,
            most_stops: l.most_stops,
            max_connections: l.connections as usize,
            station: Station::new(slots as f64, slots, wanted / slots as f64),
            jobs: Slab::new(),
            waiting: VecDeque::new(),
            connections: Map::default(),
            window_sum: WindowSum::new(ms(l.fall_for_ms)),
            slowdown: 1.0,
            down_until: None,
            script: None,
            scheduled: Vec::new(),
            counted: Counters::default(),
        }
    }

    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    pub fn counted(&self) -> Counters {
        self.counted
    }

    /// Requests being executed or waiting.
    pub fn out(&self) -> usize {
        self.station.running() + self.waiting.len()
    }

    pub fn is_up(&self) -> bool {
        self.down_until.is_none()
    }

    pub fn set_script(&mut self, script: Script) {
        self.script = Some(script);
    }

    /// Runs this many times slower than normal.
    pub fn set_slowdown(&mut self, now: Micros, times: f64, dedup: &mut DedupTable, out: &mut Vec<Event>) {
        self.advance(now, dedup, out);
        self.slowdown = times.max(0.001);
        self.update_speed(now);
    }

    /// It is down until then and loses all requests. The host breaks the connections.
    pub fn stop(&mut self, now: Micros, until: Micros) {
        self.station.clear(now);
        self.jobs.clear();
        self.waiting.clear();
        self.connections.clear();
        self.scheduled.clear();
        self.window_sum.clear();
        self.counted.stops += 1;
        let until = until.max(now + 1);
        self.down_until = Some(self.down_until.map_or(until, |down_until| down_until.max(until)));
    }

    pub fn connect(&mut self, connection: u64) -> DialOutcome {
        if self.down_until.is_some() || self.connections.len() >= self.max_connections {
            return DialOutcome::Refused;
        }
        self.connections.insert(connection, ());
        DialOutcome::Accepted
    }

    /// The peer has closed the connection: its waiting requests are dropped, if so configured.
    pub fn disconnect(&mut self, connection: u64) {
        if self.connections.remove(&connection).is_none() || !self.drops_cancelled {
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
            return push_answer(out, now, request.job, Answer::Reset, 0.0);
        }
        let reads = if request.write { self.write_work } else { 1.0 };
        let counter = if request.write { &mut self.counted.writes } else { &mut self.counted.reads };
        *counter += 1;
        if let Some(Step { answer, after }) = self.script.as_mut().map(Script::take) {
            let Some(answer) = answer else { return };
            if matches!(answer, Answer::Value | Answer::Error) {
                push_began(out, now, &request, true, true);
            }
            return self.scheduled.push((now + after.max(0), request.job, answer));
        }
        let sent = self.window_sum.add(now, reads);
        let capacity_in_window = self.capacity * self.fall_for as f64 / 1e6;
        if self.fall_multiple > 0.0 && sent > self.fall_multiple * capacity_in_window {
            let stopped = self.counted.stops < u64::from(self.most_stops);
            let since = now - self.fall_for;
            out.push(Event { at: now, kind: EventKind::Overloaded { since, stopped } });
            self.window_sum.clear();
            if stopped {
                let down = seconds(within(self.down, &mut self.rng));
                return self.stop(now, now + down);
            }
        }
        if self.waiting.len() >= self.max_waiting && !self.station.is_free() {
            self.counted.refused += 1;
            return push_answer(out, now, request.job, Answer::Busy, 0.0);
        }
        let job = self.jobs.insert(Job { request, reads, work: 0.0 });
        self.waiting.push_back(job);
        self.start_waiting(now, dedup, out);
        self.update_speed(now);
    }

    /// When it needs to be advanced next.
    pub fn next(&self) -> Option<Micros> {
        let scheduled = self.scheduled.iter().map(|p| p.0).min();
        [self.station.next(), self.down_until, scheduled].into_iter().flatten().min()
    }

    /// Processes everything due by now.
    pub fn advance(&mut self, now: Micros, dedup: &mut DedupTable, out: &mut Vec<Event>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            if let Some((at, job)) = self.station.end(at) {
                if let Some(Job { request, work, .. }) = self.jobs.try_remove(job as usize) {
                    self.counted.served += 1;
                    push_answer(out, at, request.job, Answer::Value, work);
                }
                self.start_waiting(at, dedup, out);
                self.update_speed(at);
            } else if let Some(i) = self.scheduled.iter().position(|p| p.0 <= at) {
                let (at, job, answer) = self.scheduled.remove(i);
                self.counted.served += u64::from(answer == Answer::Value);
                push_answer(out, at, job, answer, 0.0);
            } else {
                self.down_until = None;
                self.update_speed(at);
            }
        }
    }

    fn update_speed(&mut self, now: Micros) {
        let crowd = 1.0 + self.crowd_loss * self.waiting.len() as f64 / self.station.slots() as f64;
        let full = self.capacity * self.service / 1e6 / self.station.slots() as f64;
        self.station.set_speed(now, full / crowd / self.slowdown);
    }

    fn start_waiting(&mut self, now: Micros, dedup: &mut DedupTable, out: &mut Vec<Event>) {
        while self.station.is_free() {
            let Some(i) = self.waiting.pop_front() else { return };
            let Some(Job { request, reads, .. }) = self.jobs.get(i).copied() else { continue };
            if self.drops_cancelled && request.expires <= now {
                self.jobs.remove(i);
                self.counted.refused += 1;
                push_answer(out, now, request.job, Answer::Busy, 0.0);
                continue;
            }
            let dropped = request.repeat.is_some_and(|(key, window)| dedup.seen(now, key, window));
            push_began(out, now, &request, !dropped, true);
            let work = self.service * reads * lognormal(self.sigma, &mut self.rng);
            self.jobs[i].work = work;
            self.station.start(now, i as u64, work);
        }
    }
}

fn push_answer(out: &mut Vec<Event>, at: Micros, job: u64, answer: Answer, work: f64) {
    out.push(Event { at, kind: EventKind::Answered { job, answer, work } });
}
