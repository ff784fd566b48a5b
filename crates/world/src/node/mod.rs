//! A cache node: cores and slots, a queue, a store, connections, pauses, cold start, load reports, and
//! injected faults.
//!
//! The model covers the time between the last byte of a request and its answer. Delays, bytes and sockets
//! belong to the host: it passes in [`NodeRequest`]s with the time, calls [`Node::advance`] when
//! [`Node::next`] says so, and delivers the resulting [`Event`]s. The host assigns the numbers of jobs and
//! connections; a number can be reused once its job is answered or its connection closed. A node that ended
//! has forgotten all of them: the host itself breaks the connections.

mod machine;
mod reports;
mod script;
mod warmth;

pub use machine::{chance_margin, Limits, Machine, MAX_COUNTED_REQUESTS};
pub use reports::Report;
pub use script::{Script, Step};

use crate::dedup::DedupTable;
use crate::facts::{ClassNo, TryNo};
use crate::initial_contents::InitialContents;
use crate::random::{chance, exponential, factor, Map, Random};
use crate::station::Station;
use crate::store::Store;
use crate::window_sum::WindowSum;
use crate::Micros;
use reports::Reports;
use slab::Slab;
use std::collections::VecDeque;
use warmth::Warmth;

/// A request that has been fully received by a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeRequest {
    /// The number that the host assigned to it.
    pub job: u64,
    pub connection: u64,
    /// The try it belongs to.
    pub of: TryNo,
    pub class: ClassNo,
    pub key: u64,
    pub write: bool,
    /// Work of a hit, in microseconds of a standard core.
    pub work: f64,
    /// Size of the value.
    pub bytes: u64,
    /// The idempotency key, and for how long repeats of it are dropped.
    pub repeat: Option<(u64, Micros)>,
    /// The time at which the sender gives up, as it stated.
    pub expires: Micros,
}

impl NodeRequest {
    /// An empty request, as a base for struct update syntax.
    pub fn nothing(job: u64, connection: u64) -> Self {
        NodeRequest {
            job,
            connection,
            of: TryNo(0),
            class: ClassNo(0),
            key: 0,
            write: false,
            work: 0.0,
            bytes: 0,
            repeat: None,
            expires: Micros::MAX,
        }
    }
}

/// State shared by the nodes and the origin.
#[derive(Clone, Debug)]
pub struct SharedState {
    pub initial_contents: InitialContents,
    /// Keyed requests that any of them executed recently: all of them drop repeats.
    pub dedup: DedupTable,
}

impl Default for SharedState {
    /// For nodes that start empty.
    fn default() -> Self {
        SharedState { initial_contents: InitialContents::none(), dedup: DedupTable::default() }
    }
}

/// An answer of a node or the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The value of a read or the receipt of a write.
    Value,
    /// The node does not have the key. `pending` is set if another request was recently told to fetch it.
    Miss { pending: bool },
    /// It failed and may have been executed.
    Error,
    /// Rejected without being executed.
    Busy,
    /// An unreadable answer, after which the connection ends.
    Corrupted,
    /// The connection is closed instead of an answer.
    Reset,
    /// The answer to a probe.
    Report(Report),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventKind {
    /// Execution of a job began. `key` is its idempotency key. `effect` tells whether it was really executed,
    /// which is false for a miss and for a dropped repeat; `made` whether it produces something that can be
    /// served, which is false for a miss. `writes` is the key that it changes.
    Began {
        job: u64,
        of: TryNo,
        class: ClassNo,
        key: Option<u64>,
        effect: bool,
        made: bool,
        writes: Option<u64>,
    },
    /// A job was answered; `work` was done for it, in microseconds of a standard core.
    Answered { job: u64, answer: Answer, work: f64 },
    /// The cold node crashed from too much work, and stays down.
    OverloadCrash,
    /// The origin has received too much since then; `stopped` tells whether it has stopped because of that.
    Overloaded { since: Micros, stopped: bool },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    pub at: Micros,
    pub kind: EventKind,
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    Accepted,
    /// No process listens, or the connection table is full.
    Refused,
    /// No reply arrives.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No process runs; the machine may still be there.
    Down,
    /// The machine is gone and sends nothing.
    Vanished,
    Up,
    /// Rejects new requests.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    fresh: bool,
    used: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: NodeRequest,
    answer: Answer,
    work: f64,
}

/// Interval at which the speed of a cold node is updated.
const WARM_UP_STEP: Micros = 50_000;
/// How long a miss makes later misses of its key `pending`, and the number of keys remembered for that.
const LEASE_TIME: Micros = 400_000;
const MAX_LEASES: usize = 4096;
/// Requests that a hung node accepts, each on a connection of its own.
const MAX_HELD: usize = 4096;

#[derive(Clone, Debug)]
pub struct Node {
    machine: Machine,
    rng: Random,
    state: State,
    station: Station,
    jobs: Slab<Job>,
    waiting: VecDeque<usize>,
    store: Store,
    connections: Map<u64, Connection>,
    warmth: Warmth,
    window_sum: WindowSum,
    reports: Reports,
    leases: Map<u64, Micros>,
    /// Requests accepted while hung; the flag marks probes.
    hung: bool,
    held: Vec<(NodeRequest, bool)>,
    /// Answers scheduled for a fixed time, independent of the station: those of probes and scripts, with time
    /// and job.
    scheduled: Vec<(Micros, u64, Answer)>,
    probes: usize,
    script: Option<Script>,
    /// Work of probes and handshakes, added to the next job that starts.
    pending_overhead: f64,
    /// End of the current pause, and start of the next one.
    paused: Option<Micros>,
    pause_at: Micros,
    speed_update_at: Micros,
    slowdown: f64,
    extra_error_rate: f64,
    corruption_rate: f64,
    /// When the load was last measured, and the work done until then.
    measured: (Micros, f64),
}

impl Node {
    /// A node that does not run yet.
    pub fn new(machine: Machine, mut rng: Random) -> Self {
        let m = &machine;
        let station = Station::new(f64::from(m.cores), m.slots, 0.0);
        let first_pause = (exponential(&mut rng) * m.pause_every as f64) as Micros;
        Node {
            state: State::Down,
            station,
            jobs: Slab::new(),
            waiting: VecDeque::new(),
            store: Store::new(m.store_bytes, m.keep_for),
            connections: Map::default(),
            warmth: Warmth::warm(m),
            window_sum: WindowSum::new(m.limits.fall_for),
            reports: Reports::new(m),
            leases: Map::default(),
            hung: false,
            held: Vec::new(),
            scheduled: Vec::new(),
            probes: 0,
            script: None,
            pending_overhead: 0.0,
            paused: None,
            pause_at: if m.pause > 0.0 { first_pause } else { Micros::MAX },
            speed_update_at: Micros::MAX,
            slowdown: 1.0,
            extra_error_rate: 0.0,
            corruption_rate: 0.0,
            measured: (0, 0.0),
            rng,
            machine,
        }
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Work per microsecond when warm, in microseconds of a standard core.
    pub fn capacity(&self) -> f64 {
        f64::from(self.machine.cores) * self.machine.speed
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up | State::Draining)
    }

    /// Running and listed as ready. Faults that affect a part of the nodes choose among these.
    pub fn serves(&self) -> bool {
        self.state == State::Up
    }

    /// The part of its capacity that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        self.warmth.at(now, self.station.spent().1)
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.is_up() && self.warmth(now) < 1.0
    }

    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Requests being executed, waiting, or held while hung.
    pub fn held(&self) -> usize {
        self.station.running() + self.waiting.len() + self.held.len()
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    // ---- lifecycle

    /// Starts the process: warm as if it had run for a long time, or cold and empty.
    pub fn start(&mut self, now: Micros, cold: bool) {
        self.end(now);
        self.state = State::Up;
        let spent = self.station.spent().1;
        self.warmth =
            if cold { Warmth::cold(&self.machine, now, spent) } else { Warmth::warm(&self.machine) };
        self.window_sum.clear();
        self.hung = false;
        self.pause_at = self.pause_at.max(now);
        self.update_speed(now);
    }

    /// The process ends and loses all of its state.
    pub fn end(&mut self, now: Micros) {
        self.state = State::Down;
        self.station.clear(now);
        self.jobs.clear();
        self.waiting.clear();
        self.store.clear();
        self.connections.clear();
        self.leases.clear();
        self.held.clear();
        self.scheduled.clear();
        (self.probes, self.pending_overhead, self.paused) = (0, 0.0, None);
        self.speed_update_at = Micros::MAX;
    }

    /// The machine disappears without notice.
    pub fn vanish(&mut self, now: Micros) {
        self.end(now);
        self.state = State::Vanished;
    }

    /// It completes what it has accepted and rejects new requests.
    pub fn drain(&mut self) {
        if self.state == State::Up {
            self.state = State::Draining;
        }
    }

    /// While hung it accepts requests and answers nothing; when released it processes what it accepted.
    pub fn set_hung(&mut self, now: Micros, hangs: bool, shared: &mut SharedState, out: &mut Vec<Event>) {
        self.advance(now, shared, out);
        self.hung = hangs;
        self.update_speed(now);
        if !hangs {
            for (request, probe) in std::mem::take(&mut self.held) {
                match probe {
                    true => self.probe(now, request.job, request.connection, shared, out),
                    false => self.arrive(now, request, shared, out),
                }
            }
        }
    }

    /// Runs this many times slower than normal.
    pub fn set_slowdown(&mut self, now: Micros, times: f64, shared: &mut SharedState, out: &mut Vec<Event>) {
        self.advance(now, shared, out);
        self.slowdown = times.max(0.001);
        self.update_speed(now);
    }

    /// Sets the part of the answers that are errors, in addition to the machine's error rate, and the part
    /// that is unreadable.
    pub fn set_failure_rates(&mut self, extra_error_rate: f64, corruption_rate: f64) {
        (self.extra_error_rate, self.corruption_rate) = (extra_error_rate, corruption_rate);
    }

    /// Drops everything in its store.
    pub fn forget(&mut self) {
        self.store.clear();
        self.leases.clear();
    }

    /// From now on it answers by the script and executes nothing.
    pub fn set_script(&mut self, script: Script) {
        self.script = Some(script);
    }

    // ---- requests

    pub fn connect(&mut self, now: Micros, connection: u64) -> DialOutcome {
        match self.state {
            State::Vanished => DialOutcome::Silent,
            State::Down => DialOutcome::Refused,
            _ if self.connections.len() >= self.machine.connections => DialOutcome::Refused,
            _ => {
                self.connections.insert(connection, Connection { fresh: true, used: now });
                DialOutcome::Accepted
            }
        }
    }

    /// The peer has closed the connection. Its waiting requests are dropped if the machine is configured to
    /// do so.
    pub fn disconnect(&mut self, connection: u64) {
        if self.connections.remove(&connection).is_none() || !self.machine.drops_cancelled {
            return;
        }
        self.held.retain(|(request, _)| request.connection != connection);
        let jobs = &mut self.jobs;
        self.waiting.retain(|i| {
            let stays = jobs.get(*i).is_some_and(|j| j.request.connection != connection);
            if !stays {
                jobs.try_remove(*i);
            }
            stays
        });
    }

    /// A complete request has arrived.
    pub fn arrive(
        &mut self,
        now: Micros,
        request: NodeRequest,
        shared: &mut SharedState,
        out: &mut Vec<Event>,
    ) {
        self.advance(now, shared, out);
        let Some(connection) =
            self.connections.get_mut(&request.connection).filter(|_| self.state != State::Down)
        else {
            return push_answer(out, now, request.job, Answer::Reset);
        };
        if now - connection.used >= self.machine.idle_close {
            self.connections.remove(&request.connection);
            return push_answer(out, now, request.job, Answer::Reset);
        }
        connection.used = now;
        if std::mem::take(&mut connection.fresh) {
            self.pending_overhead += self.machine.handshake;
        }
        if let Some(step) = self.script.as_mut().map(Script::take) {
            return self.answer_by_script(now, request, step, out);
        }
        if self.exceeds_overload_limit(now, request.work) {
            self.end(now);
            return out.push(Event { at: now, kind: EventKind::OverloadCrash });
        }
        if self.hung {
            if self.held.len() < MAX_HELD {
                self.held.push((request, false));
            }
            return;
        }
        let room = self.waiting.len() < self.machine.waiting || self.station.is_free();
        if self.state == State::Draining || !room {
            self.pending_overhead += self.machine.reject_work;
            return push_answer(out, now, request.job, Answer::Busy);
        }
        let job = self.jobs.insert(Job { request, answer: Answer::Value, work: 0.0 });
        self.waiting.push_back(job);
        self.start_waiting(now, shared, out);
        self.update_speed(now);
    }

    /// A request for the current load.
    pub fn probe(
        &mut self,
        now: Micros,
        job: u64,
        connection: u64,
        shared: &mut SharedState,
        out: &mut Vec<Event>,
    ) {
        self.advance(now, shared, out);
        let Some(c) = self.connections.get_mut(&connection) else {
            return push_answer(out, now, job, Answer::Reset);
        };
        c.used = now;
        if std::mem::take(&mut c.fresh) {
            self.pending_overhead += self.machine.handshake;
        }
        if self.hung {
            if self.held.len() < MAX_HELD {
                let request = NodeRequest::nothing(job, connection);
                self.held.push((request, true));
            }
            return;
        }
        if self.probes >= self.machine.max_probes {
            return push_answer(out, now, job, Answer::Busy);
        }
        // Probes bypass the queue: their work is added to the next job.
        self.pending_overhead += self.machine.probe;
        self.probes += 1;
        self.reports.sample(now, self.station.spent().0, &mut self.rng);
        let report = Answer::Report(self.reports.latest(now));
        let after = (self.machine.probe / self.machine.speed) as Micros;
        self.schedule_answer(self.paused.unwrap_or(now).max(now) + after.max(1), job, report);
    }

    /// Stores a value that the origin returned after a miss here.
    pub fn store_value(&mut self, now: Micros, key: u64, bytes: u64) {
        if self.is_up() && self.script.is_none() {
            self.leases.remove(&key);
            self.store.put(now, now, key, bytes);
        }
    }

    /// A key was written at the origin: drops the copy.
    pub fn invalidate(&mut self, key: u64) {
        self.store.remove(key);
    }

    // ---- time

    /// When it needs to be advanced next.
    pub fn next(&self) -> Option<Micros> {
        if !self.is_up() {
            return None;
        }
        let scheduled = self.scheduled.iter().map(|p| p.0).min();
        let pause = self.paused.unwrap_or(self.pause_at);
        let own = self.speed_update_at.min(pause);
        let next = own.min(self.station.next().unwrap_or(Micros::MAX)).min(scheduled.unwrap_or(Micros::MAX));
        (next < Micros::MAX).then_some(next)
    }

    /// Processes everything due by now.
    pub fn advance(&mut self, now: Micros, shared: &mut SharedState, out: &mut Vec<Event>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            if let Some((at, job)) = self.station.end(at) {
                self.finish(at, job as usize, out);
                self.start_waiting(at, shared, out);
                self.update_speed(at);
            } else if let Some(i) = self.first_scheduled().filter(|i| self.scheduled[*i].0 <= at) {
                let (at, job, answer) = self.scheduled.remove(i);
                self.probes -= usize::from(matches!(answer, Answer::Report(_)));
                push_answer(out, at, job, answer);
            } else if self.speed_update_at <= at {
                self.update_speed(at);
            } else {
                self.pause(at);
            }
        }
        self.reports.sample(now, self.station.spent().0, &mut self.rng);
    }

    fn first_scheduled(&self) -> Option<usize> {
        (0..self.scheduled.len()).min_by_key(|i| self.scheduled[*i].0)
    }

    fn schedule_answer(&mut self, at: Micros, job: u64, answer: Answer) {
        self.scheduled.push((at, job, answer));
    }

    fn pause(&mut self, at: Micros) {
        match self.paused.take() {
            Some(_) => {
                let gap = exponential(&mut self.rng) * self.machine.pause_every as f64;
                self.pause_at = at + (gap as Micros).max(1);
            }
            None => {
                let length = self.machine.pause * factor(0.5, &mut self.rng);
                self.paused = Some(at + (length as Micros).max(1));
            }
        }
        self.update_speed(at);
    }

    /// Updates the speed from warmth, load, connections, pauses and injected slowness.
    fn update_speed(&mut self, now: Micros) {
        self.station.catch_up(now);
        let m = &self.machine;
        let spent = self.station.spent().1;
        let warmth = self.warmth.at(now, spent);
        self.speed_update_at = if warmth < 1.0 { now + WARM_UP_STEP } else { Micros::MAX };
        let held = (self.station.running() + self.waiting.len()) as f64;
        let crowding = 1.0 + m.crowd_loss * (held / f64::from(m.cores) - m.crowd_from).max(0.0);
        let table_factor = 1.0 - m.full_table_loss * self.connections.len() as f64 / m.connections as f64;
        let still = self.hung || self.paused.is_some();
        let speed =
            if still { 0.0 } else { m.speed * warmth * table_factor.max(0.05) / crowding / self.slowdown };
        self.station.set_speed(now, speed);
    }

    /// Starts waiting requests while slots are free.
    fn start_waiting(&mut self, now: Micros, shared: &mut SharedState, out: &mut Vec<Event>) {
        while self.station.is_free() {
            let Some(i) = self.waiting.pop_front() else { return };
            let Some(request) = self.jobs.get(i).map(|j| j.request) else { continue };
            if self.machine.drops_expired && request.expires <= now {
                self.jobs.remove(i);
                push_answer(out, now, request.job, Answer::Busy);
                continue;
            }
            let answer = self.decide(now, &request, shared);
            let part = if matches!(answer, Answer::Miss { .. }) { self.machine.miss_work } else { 1.0 };
            let work = request.work * part + std::mem::take(&mut self.pending_overhead);
            // A repeat of something that this or another node executed recently is detected and has no
            // effect.
            let runs = !matches!(answer, Answer::Miss { .. });
            let known = request.repeat.filter(|_| runs);
            let dropped = known.is_some_and(|(key, window)| shared.dedup.seen(now, key, window));
            push_began(out, now, &request, runs && !dropped, runs);
            self.jobs[i] = Job { request, answer, work };
            self.station.start(now, i as u64, work);
        }
    }

    fn decide(&mut self, now: Micros, request: &NodeRequest, shared: &mut SharedState) -> Answer {
        if chance(self.machine.error_rate + self.extra_error_rate, &mut self.rng) {
            return Answer::Error;
        }
        // Writes are executed by the origin.
        if request.write {
            return Answer::Miss { pending: false };
        }
        if self.store.get(now, request.key) {
            return Answer::Value;
        }
        let before = self.warmth.was_always_warm().then(|| shared.initial_contents.claim(now, request.key));
        if let Some(made) = before.flatten() {
            self.store.put(now, made, request.key, request.bytes);
            return Answer::Value;
        }
        if self.leases.len() >= MAX_LEASES {
            self.leases.retain(|_, until| *until > now);
        }
        let pending = self.leases.get(&request.key).is_some_and(|until| *until > now);
        if !pending && self.leases.len() < MAX_LEASES {
            self.leases.insert(request.key, now + LEASE_TIME);
        }
        Answer::Miss { pending }
    }

    fn finish(&mut self, at: Micros, job: usize, out: &mut Vec<Event>) {
        let Some(Job { request, answer, work }) = self.jobs.try_remove(job) else { return };
        let answer = if chance(self.corruption_rate, &mut self.rng) { Answer::Corrupted } else { answer };
        if answer == Answer::Error {
            self.reports.error();
        }
        out.push(Event { at, kind: EventKind::Answered { job: request.job, answer, work } });
    }

    fn answer_by_script(&mut self, now: Micros, request: NodeRequest, step: Step, out: &mut Vec<Event>) {
        let Some(answer) = step.answer else { return };
        let effect = matches!(answer, Answer::Value | Answer::Error);
        if effect || matches!(answer, Answer::Miss { .. }) {
            push_began(out, now, &request, effect, effect);
        }
        self.schedule_answer(now + step.after.max(0), request.job, answer);
    }

    /// Adds work that arrived while cold; returns whether it was too much.
    fn exceeds_overload_limit(&mut self, now: Micros, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        let limits = &self.machine.limits;
        let sent = self.window_sum.add(now, limits.counted(work));
        let capacity_in_window = self.capacity() * warmth * limits.fall_for as f64;
        sent > limits.overload(capacity_in_window)
    }

    /// The part of its warm capacity that it used since the last call.
    pub fn load(&mut self, now: Micros) -> f64 {
        self.station.catch_up(now.min(self.station.next().unwrap_or(now)));
        let (since, before) = std::mem::replace(&mut self.measured, (now, self.station.spent().1));
        let capacity_in_window = self.capacity() * (now - since).max(1) as f64;
        (self.station.spent().1 - before) / capacity_in_window
    }
}

pub(crate) fn push_began(out: &mut Vec<Event>, at: Micros, request: &NodeRequest, effect: bool, made: bool) {
    let NodeRequest { job, of, class, .. } = *request;
    let key = request.repeat.map(|(key, _)| key);
    let writes = Some(request.key).filter(|_| request.write && effect);
    out.push(Event { at, kind: EventKind::Began { job, of, class, key, effect, made, writes } });
}

fn push_answer(out: &mut Vec<Event>, at: Micros, job: u64, answer: Answer) {
    out.push(Event { at, kind: EventKind::Answered { job, answer, work: 0.0 } });
}
