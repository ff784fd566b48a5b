//! A cache node: cores and slots, a waiting room, a store, connections, pauses, a cold start, load reports, and
//! what can go wrong with it.
//!
//! It owns what is between the last byte of a command and its answer. Delays, bytes and sockets are the host's:
//! it hands in [`NodeRequest`]s with the time, calls [`Node::advance`] when [`Node::next`] says so, and carries the
//! [`Event`]s that come out to wherever they belong. Jobs and connections have numbers that the host gives; a
//! number is free again once its job was answered or its connection closed. A node that ended has forgotten all of
//! them: the host breaks the connections itself.

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

/// A command that has reached a node whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeRequest {
    /// The host's number for it.
    pub job: u64,
    pub connection: u64,
    /// Whose try it is.
    pub of: TryNo,
    pub class: ClassNo,
    pub key: u64,
    pub write: bool,
    /// Work of a hit, in microseconds of a standard core.
    pub work: f64,
    /// Size of the value.
    pub bytes: u64,
    /// An idempotency key, and how long a repeat of it is dropped.
    pub repeat: Option<(u64, Micros)>,
    /// When whoever sent it gives up, as it said.
    pub expires: Micros,
}

impl NodeRequest {
    /// One that asks for nothing, to start from.
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

/// What nodes, and the ledger, have in shared.
#[derive(Clone, Debug)]
pub struct SharedState {
    pub initial_contents: InitialContents,
    /// Keyed requests that one of them has run of late: all of them drop repeats.
    pub dedup: DedupTable,
}

impl Default for SharedState {
    /// Nodes that begin empty.
    fn default() -> Self {
        SharedState { initial_contents: InitialContents::none(), dedup: DedupTable::default() }
    }
}

/// What a node or the ledger answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The value of a read or the receipt of a write.
    Value,
    /// The node lacks the key; `pending` if it has told another request of late to fetch it.
    Miss { pending: bool },
    /// It failed, and may have run.
    Error,
    /// Turned away unseen.
    Busy,
    /// Something that cannot be read, after which the connection ends.
    Spoilt,
    /// The connection is closed in place of an answer.
    Reset,
    /// A probe's.
    Report(Report),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventKind {
    /// Work on a job began. `key` is its idempotency key. `effect` tells whether it really ran: not for a miss, nor
    /// for a repeat that was dropped; `made` whether something comes of it that can be served: not of a miss.
    /// `writes` names what it changes.
    Began {
        job: u64,
        of: TryNo,
        class: ClassNo,
        key: Option<u64>,
        effect: bool,
        made: bool,
        writes: Option<u64>,
    },
    /// `work` was done for it, in microseconds of a standard core.
    Answered { job: u64, answer: Answer, work: f64 },
    /// It fell over, cold as it was, and stays down.
    OverloadCrash,
    /// The ledger has been sent too much since then; whether it has stopped for it.
    Overloaded { since: Micros, stopped: bool },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    pub at: Micros,
    pub kind: EventKind,
}

/// How a connection that somebody opens fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    Accepted,
    /// Nobody listens, or the table is full.
    Refused,
    /// Nothing comes back.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its machine may be there, no process is.
    Down,
    /// Nothing comes from there at all.
    Vanished,
    Up,
    /// Turns away what is new.
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

/// While a node is cold its speed is counted anew this often.
const WARMING: Micros = 50_000;
/// How long a miss makes later ones of its key `pending`, and keys that are remembered for it.
const LEASE: Micros = 400_000;
const MAX_LEASES: usize = 4096;
/// Jobs that a node which hangs takes in, each on a connection of its own.
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
    /// Taken in while it hangs.
    hung: bool,
    held: Vec<(NodeRequest, bool)>,
    /// Answers that come at their time whatever the station does: of probes and scripts, by time and order.
    planned: Vec<(Micros, u64, Answer)>,
    probes: usize,
    script: Option<Script>,
    /// Work that probes and handshakes have taken from what runs next.
    debt: f64,
    /// The end of the pause it is in, and when the next one begins.
    paused: Option<Micros>,
    pause_at: Micros,
    speed_update_at: Micros,
    slower: f64,
    errors: f64,
    spoils: f64,
    /// Work done when its load was last asked for, and when that was.
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
            planned: Vec::new(),
            probes: 0,
            script: None,
            debt: 0.0,
            paused: None,
            pause_at: if m.pause > 0.0 { first_pause } else { Micros::MAX },
            speed_update_at: Micros::MAX,
            slower: 1.0,
            errors: 0.0,
            spoils: 0.0,
            measured: (0, 0.0),
            rng,
            machine,
        }
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Work a microsecond when warm, in microseconds of a standard core.
    pub fn capacity(&self) -> f64 {
        f64::from(self.machine.cores) * self.machine.speed
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up | State::Draining)
    }

    /// Listed as ready and running: what takes part in faults drawn by part.
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

    /// Requests held: in work and waiting.
    pub fn held(&self) -> usize {
        self.station.running() + self.waiting.len() + self.held.len()
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    // ---- its life

    /// Its process starts: warm as one that has run for long, or cold and empty.
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

    /// Its process is gone, and with it all that it had.
    pub fn end(&mut self, now: Micros) {
        self.state = State::Down;
        self.station.clear(now);
        self.jobs.clear();
        self.waiting.clear();
        self.store.clear();
        self.connections.clear();
        self.leases.clear();
        self.held.clear();
        self.planned.clear();
        (self.probes, self.debt, self.paused) = (0, 0.0, None);
        self.speed_update_at = Micros::MAX;
    }

    /// Its machine is gone without a word.
    pub fn vanish(&mut self, now: Micros) {
        self.end(now);
        self.state = State::Vanished;
    }

    /// It completes what it has and turns away what is new.
    pub fn drain(&mut self) {
        if self.state == State::Up {
            self.state = State::Draining;
        }
    }

    /// It takes work and answers nothing until told to go on; then it answers what it took.
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

    /// It runs this many times slower.
    pub fn set_slowdown(&mut self, now: Micros, times: f64, shared: &mut SharedState, out: &mut Vec<Event>) {
        self.advance(now, shared, out);
        self.slower = times.max(0.001);
        self.update_speed(now);
    }

    /// The part of its answers that are errors, beside its usual ones; and the part that cannot be read.
    pub fn set_failure_rates(&mut self, errors: f64, spoils: f64) {
        (self.errors, self.spoils) = (errors, spoils);
    }

    /// It loses all that it keeps.
    pub fn forget(&mut self) {
        self.store.clear();
        self.leases.clear();
    }

    /// From now on it answers as it is told, and does no work.
    pub fn set_script(&mut self, script: Script) {
        self.script = Some(script);
    }

    // ---- what reaches it

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

    /// The other side has closed. What waits for nobody is dropped, where the machine does that.
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

    /// A whole command has come.
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
            return tell(out, now, request.job, Answer::Reset);
        };
        if now - connection.used >= self.machine.idle_close {
            self.connections.remove(&request.connection);
            return tell(out, now, request.job, Answer::Reset);
        }
        connection.used = now;
        if std::mem::take(&mut connection.fresh) {
            self.debt += self.machine.handshake;
        }
        if let Some(step) = self.script.as_mut().map(Script::take) {
            return self.scripted(now, request, step, out);
        }
        if self.overrun(now, request.work) {
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
            self.debt += self.machine.turn_away;
            return tell(out, now, request.job, Answer::Busy);
        }
        let job = self.jobs.insert(Job { request, answer: Answer::Value, work: 0.0 });
        self.waiting.push_back(job);
        self.fill(now, shared, out);
        self.update_speed(now);
    }

    /// Somebody asks for its load.
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
            return tell(out, now, job, Answer::Reset);
        };
        c.used = now;
        if std::mem::take(&mut c.fresh) {
            self.debt += self.machine.handshake;
        }
        if self.hung {
            if self.held.len() < MAX_HELD {
                let request = NodeRequest::nothing(job, connection);
                self.held.push((request, true));
            }
            return;
        }
        if self.probes >= self.machine.most_probes {
            return tell(out, now, job, Answer::Busy);
        }
        // Answered beside the queue: its work is taken from what runs next.
        self.debt += self.machine.probe;
        self.probes += 1;
        self.reports.sample(now, self.station.spent().0, &mut self.rng);
        let report = Answer::Report(self.reports.latest(now));
        let after = (self.machine.probe / self.machine.speed) as Micros;
        self.plan(self.paused.unwrap_or(now).max(now) + after.max(1), job, report);
    }

    /// What the ledger answered is kept where it was missed, if it still wants to be.
    pub fn store_value(&mut self, now: Micros, key: u64, bytes: u64) {
        if self.is_up() && self.script.is_none() {
            self.leases.remove(&key);
            self.store.put(now, now, key, bytes);
        }
    }

    /// A key has changed at the ledger.
    pub fn invalidate(&mut self, key: u64) {
        self.store.remove(key);
    }

    // ---- time

    /// When it wants to be moved along next.
    pub fn next(&self) -> Option<Micros> {
        if !self.is_up() {
            return None;
        }
        let planned = self.planned.iter().map(|p| p.0).min();
        let pause = self.paused.unwrap_or(self.pause_at);
        let own = self.speed_update_at.min(pause);
        let next = own.min(self.station.next().unwrap_or(Micros::MAX)).min(planned.unwrap_or(Micros::MAX));
        (next < Micros::MAX).then_some(next)
    }

    /// Carries out all that is due by now.
    pub fn advance(&mut self, now: Micros, shared: &mut SharedState, out: &mut Vec<Event>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            if let Some((at, job)) = self.station.end(at) {
                self.finish(at, job as usize, out);
                self.fill(at, shared, out);
                self.update_speed(at);
            } else if let Some(i) = self.first_planned().filter(|i| self.planned[*i].0 <= at) {
                let (at, job, answer) = self.planned.remove(i);
                self.probes -= usize::from(matches!(answer, Answer::Report(_)));
                tell(out, at, job, answer);
            } else if self.speed_update_at <= at {
                self.update_speed(at);
            } else {
                self.pause(at);
            }
        }
        self.reports.sample(now, self.station.spent().0, &mut self.rng);
    }

    fn first_planned(&self) -> Option<usize> {
        (0..self.planned.len()).min_by_key(|i| self.planned[*i].0)
    }

    fn plan(&mut self, at: Micros, job: u64, answer: Answer) {
        self.planned.push((at, job, answer));
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

    /// Its speed, from all that bears on it.
    fn update_speed(&mut self, now: Micros) {
        self.station.catch_up(now);
        let m = &self.machine;
        let spent = self.station.spent().1;
        let warmth = self.warmth.at(now, spent);
        self.speed_update_at = if warmth < 1.0 { now + WARMING } else { Micros::MAX };
        let held = (self.station.running() + self.waiting.len()) as f64;
        let crowd = 1.0 + m.crowd_loss * (held / f64::from(m.cores) - m.crowd_from).max(0.0);
        let table = 1.0 - m.full_table_loss * self.connections.len() as f64 / m.connections as f64;
        let still = self.hung || self.paused.is_some();
        let speed = if still { 0.0 } else { m.speed * warmth * table.max(0.05) / crowd / self.slower };
        self.station.set_speed(now, speed);
    }

    /// Starts what waits while slots are free.
    fn fill(&mut self, now: Micros, shared: &mut SharedState, out: &mut Vec<Event>) {
        while self.station.is_free() {
            let Some(i) = self.waiting.pop_front() else { return };
            let Some(request) = self.jobs.get(i).map(|j| j.request) else { continue };
            if self.machine.drops_expired && request.expires <= now {
                self.jobs.remove(i);
                tell(out, now, request.job, Answer::Busy);
                continue;
            }
            let answer = self.decide(now, &request, shared);
            let part = if matches!(answer, Answer::Miss { .. }) { self.machine.miss_work } else { 1.0 };
            let work = request.work * part + std::mem::take(&mut self.debt);
            // A repeat of what this or another node has run of late is known, and has no effect.
            let runs = !matches!(answer, Answer::Miss { .. });
            let known = request.repeat.filter(|_| runs);
            let dropped = known.is_some_and(|(key, window)| shared.dedup.seen(now, key, window));
            begin(out, now, &request, runs && !dropped, runs);
            self.jobs[i] = Job { request, answer, work };
            self.station.start(now, i as u64, work);
        }
    }

    fn decide(&mut self, now: Micros, request: &NodeRequest, shared: &mut SharedState) -> Answer {
        if chance(self.machine.error_rate + self.errors, &mut self.rng) {
            return Answer::Error;
        }
        // Writes belong to the ledger.
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
            self.leases.insert(request.key, now + LEASE);
        }
        Answer::Miss { pending }
    }

    fn finish(&mut self, at: Micros, job: usize, out: &mut Vec<Event>) {
        let Some(Job { request, answer, work }) = self.jobs.try_remove(job) else { return };
        let answer = if chance(self.spoils, &mut self.rng) { Answer::Spoilt } else { answer };
        if answer == Answer::Error {
            self.reports.error();
        }
        out.push(Event { at, kind: EventKind::Answered { job: request.job, answer, work } });
    }

    fn scripted(&mut self, now: Micros, request: NodeRequest, step: Step, out: &mut Vec<Event>) {
        let Some(answer) = step.answer else { return };
        let effect = matches!(answer, Answer::Value | Answer::Error);
        if effect || matches!(answer, Answer::Miss { .. }) {
            begin(out, now, &request, effect, effect);
        }
        self.plan(now + step.after.max(0), request.job, answer);
    }

    /// Counts what has come while cold; whether it was too much.
    fn overrun(&mut self, now: Micros, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        let limits = &self.machine.limits;
        let sent = self.window_sum.add(now, limits.counted(work));
        let able = self.capacity() * warmth * limits.fall_for as f64;
        sent > limits.overload(able)
    }

    /// The part of its warm capacity that it used since this was last asked.
    pub fn load(&mut self, now: Micros) -> f64 {
        self.station.catch_up(now.min(self.station.next().unwrap_or(now)));
        let (since, before) = std::mem::replace(&mut self.measured, (now, self.station.spent().1));
        let able = self.capacity() * (now - since).max(1) as f64;
        (self.station.spent().1 - before) / able
    }
}

pub(crate) fn begin(out: &mut Vec<Event>, at: Micros, request: &NodeRequest, effect: bool, made: bool) {
    let NodeRequest { job, of, class, .. } = *request;
    let key = request.repeat.map(|(key, _)| key);
    let writes = Some(request.key).filter(|_| request.write && effect);
    out.push(Event { at, kind: EventKind::Began { job, of, class, key, effect, made, writes } });
}

fn tell(out: &mut Vec<Event>, at: Micros, job: u64, answer: Answer) {
    out.push(Event { at, kind: EventKind::Answered { job, answer, work: 0.0 } });
}
