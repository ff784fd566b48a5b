//! The order of events: what is on its way, what nodes and the ledger do with it, and when clients come back.

use super::cache::Cache;
use super::day::{Arrival, Day, What};
use super::draw::{fraction, hash};
use super::figures::{Figures, Trace};
use super::proxy::{Call, Line, Proxy};
use super::station::{self, Pressure, Station};
use crate::{Ending, Limit, Micros};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One way within a hall and between halls, in us.
const NEAR: Micros = 200;
const FAR: Micros = 600;
/// How long a proxy waits for a node, and how many it asks for a read.
const NODE_PATIENCE: Micros = 400_000;
const NODES_ASKED: u32 = 2;
/// The part of a read's work that a miss takes.
const MISS_WORK: f64 = 0.1;
/// How often a proxy looks at a line that waits, in us.
const LOOK: Micros = 10_000;
const TENTH: Micros = 100_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Served,
    Miss,
    Full,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A try reaches its proxy; its client leaves.
    Try(usize),
    Deadline(usize),
    /// An attempt reaches a node or the ledger, is done there, its answer is back; it is given up.
    There(usize),
    Done(usize, u32),
    Back(usize, Reply),
    Patience(usize),
    /// A proxy looks at its line.
    Look(usize),
    Restart(usize),
    LedgerStops(Micros),
    Tick,
}

/// A try of a client.
struct Try {
    arrival: usize,
    at: Micros,
    proxy: usize,
    epoch: u32,
    retries: u32,
    over: bool,
    asked: u32,
    missed: Option<usize>,
    call: Option<Call>,
}

enum Target {
    Node(usize, usize),
    Ledger(Call),
}

/// An upstream request.
struct Attempt {
    proxy: usize,
    epoch: u32,
    to: Target,
    sent: Micros,
    out: u32,
    over: bool,
    work: f64,
    write: bool,
}

struct World<'a> {
    day: &'a Day,
    line: Line,
    limit: &'a dyn Fn(u32) -> Box<dyn Limit>,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    proxies: Vec<Proxy>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    nodes: Vec<(Station, Cache)>,
    ledger: Station,
    ledger_epoch: u32,
    down_until: Micros,
    pressure: Pressure,
    figures: Figures,
}

/// Plays the day with a limit for each proxy, made by its number, and this line before each.
pub fn run(day: &Day, line: Line, limit: &dyn Fn(u32) -> Box<dyn Limit>) -> Figures {
    let s = &day.setup;
    let proxies = (0..s.proxies.max(1)).map(|p| Proxy::new(0, hall_of(day, p), s.nodes, line, limit(p)));
    let node = |_| (Station::new(s.node_cores, s.node_places), Cache::new(s.room));
    let mut world = World {
        day,
        line,
        limit,
        now: 0,
        events: BinaryHeap::new(),
        count: 0,
        proxies: proxies.collect(),
        tries: Vec::with_capacity(day.arrivals.len()),
        attempts: Vec::with_capacity(2 * day.arrivals.len()),
        nodes: (0..s.nodes).map(node).collect(),
        ledger: Station::new(s.cores, s.places),
        ledger_epoch: 0,
        down_until: 0,
        pressure: Pressure::new(s.fall_multiple, s.fall_for),
        figures: Figures::for_length(s.length),
    };
    world.figures.cores = f64::from(s.cores) * s.length as f64;
    world.warm();
    for (i, a) in day.arrivals.iter().enumerate() {
        let worth = world.worth(a);
        Figures::add(&mut world.figures.asked, a.at, worth);
        world.try_at(a.at, i, s.retries);
    }
    for t in &s.troubles {
        match t.what {
            What::Stop => world.at(t.from, Event::LedgerStops(t.to)),
            What::Restart(proxy) => world.at(t.from, Event::Restart(proxy as usize)),
            _ => {}
        }
    }
    world.at(0, Event::Tick);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.now = now;
        world.happens(event);
    }
    world.figures.worst_pressure = world.pressure.worst;
    world.figures
}

/// When the client of a try leaves.
fn leaves(day: &Day, t: &Try) -> Micros {
    t.at + day.setup.patience[usize::from(day.arrivals[t.arrival].write)]
}

fn hall_of(day: &Day, proxy: u32) -> u32 {
    u32::from(day.setup.proxies > 1 && proxy >= day.setup.proxies_of(0).1)
}

impl World<'_> {
    fn at(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at.max(self.now), self.count, event)));
    }

    fn arrival(&self, try_: usize) -> Arrival {
        self.day.arrivals[self.tries[try_].arrival]
    }

    fn worth(&self, a: &Arrival) -> f64 {
        if a.write {
            self.day.setup.worth
        } else {
            1.0
        }
    }

    /// Nodes hold what was asked for lately: the most popular of their keys.
    fn warm(&mut self) {
        for rank in (0..self.day.setup.keys as u64).rev() {
            let key = hash(rank) | 1;
            if let Some(node) = self.ranked(key).next() {
                self.nodes[node].1.keep(key);
            }
        }
    }

    /// Nodes by rendezvous hashing (Thaler and Ravishankar, 1998), the first two.
    fn ranked(&self, key: u64) -> impl Iterator<Item = usize> {
        let mut best: [Option<(u64, usize)>; 2] = [None; 2];
        for node in 0..self.nodes.len() {
            let rank = Some((hash(key ^ hash(node as u64 + 1)), node));
            if rank > best[0] {
                best = [rank, best[0]];
            } else if rank > best[1] {
                best[1] = rank;
            }
        }
        best.into_iter().flatten().map(|(_, node)| node)
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Try(t) => self.arrives(t),
            Event::Deadline(t) => self.leaves(t),
            Event::There(a) => self.there(a),
            Event::Done(a, epoch) => self.done(a, epoch),
            Event::Back(a, reply) => self.back(a, reply),
            Event::Patience(a) => self.silent_node(a),
            Event::Look(p) => {
                self.proxies[p].looks = false;
                self.drain(p);
            }
            Event::Restart(p) => self.restart(p),
            Event::LedgerStops(until) => self.stop(until),
            Event::Tick => {
                let one = |p: &Proxy| p.limit.limit(self.now);
                let held = f64::from(self.ledger.busy) + self.ledger.waiting.len() as f64;
                let (first, last) = (one(&self.proxies[0]), self.proxies.last().map_or(0.0, one));
                let limits = self.proxies.iter().map(one).sum();
                if self.figures.trace.len() % 2 == 0 {
                    let now = self.now;
                    self.proxies.iter_mut().for_each(|p| p.limit.observe_in_flight(now, p.out));
                }
                self.figures.trace.push(Trace { limits, first, last, held });
                if self.now + TENTH < self.day.setup.length {
                    self.at(self.now + TENTH, Event::Tick);
                }
            }
        }
    }

    // ---- clients

    fn try_at(&mut self, at: Micros, arrival: usize, retries: u32) {
        let id = self.tries.len();
        let a = self.day.arrivals[arrival];
        let proxy = self.day.front(a.hall, id as u64) as usize;
        let (over, asked, missed, call) = (false, 0, None, None);
        self.tries.push(Try { arrival, at, proxy, epoch: 0, retries, over, asked, missed, call });
        self.at(at, Event::Try(id));
    }

    fn arrives(&mut self, t: usize) {
        self.figures.tries += 1;
        let a = self.arrival(t);
        self.tries[t].epoch = self.proxies[self.tries[t].proxy].epoch;
        self.at(self.now + self.day.setup.patience[usize::from(a.write)], Event::Deadline(t));
        if a.write {
            self.wants(t, Call::Write(t));
        } else {
            self.ask_node(t);
        }
    }

    /// The try is over. A client that got nothing comes back, if it still may.
    fn over(&mut self, t: usize, served: Option<bool>) {
        let a = self.arrival(t);
        let worth = self.worth(&a);
        let s = &self.day.setup;
        let try_ = &mut self.tries[t];
        if std::mem::replace(&mut try_.over, true) {
            return;
        }
        let wait = match served {
            Some(true) => {
                if self.now - try_.at <= s.aim[usize::from(a.write)] {
                    Figures::add(&mut self.figures.served, a.at, worth);
                }
                return;
            }
            // Refused: it comes back when told, within 0.3 to 0.6 s. Failed: after 30 to 240 ms.
            Some(false) => {
                self.figures.refused += 1;
                300_000.0 + 300_000.0 * fraction(t as u64)
            }
            None => {
                self.figures.failed += 1;
                30_000.0 + 210_000.0 * fraction(t as u64)
            }
        };
        let (arrival, left) = (try_.arrival, try_.retries);
        if left > 0 {
            self.try_at(self.now + wait as Micros, arrival, left - 1);
        }
    }

    /// The client's patience is over.
    fn leaves(&mut self, t: usize) {
        let Try { over, proxy, call, .. } = self.tries[t];
        if over {
            return;
        }
        self.over(t, None);
        let Some(call) = call else { return };
        let (attempt, others) = self.proxies[proxy].gives_up(call, t);
        let Some(a) = attempt else { return };
        self.attempts[a].over = true;
        let Attempt { sent, out, .. } = self.attempts[a];
        self.figures.silent += 1;
        self.proxies[proxy].ended(self.now, sent, out, Ending::Abandoned);
        // Who waits behind it gets an attempt of its own.
        if let Some(refused) = others.then(|| self.proxies[proxy].lines_up(self.now, call)).flatten() {
            self.finish_call(proxy, refused, false);
        }
        self.drain(proxy);
    }

    // ---- nodes

    fn ask_node(&mut self, t: usize) {
        let Try { proxy, asked, .. } = self.tries[t];
        let key = self.arrival(t).key;
        let p = &self.proxies[proxy];
        let node = self.ranked(key).filter(|n| p.uses(self.now, *n)).nth(asked as usize);
        match node.filter(|_| asked < NODES_ASKED) {
            None => self.wants(t, Call::Read(key)),
            Some(node) => {
                self.tries[t].asked += 1;
                let work = self.arrival(t).node_work;
                let a = self.attempt(proxy, Target::Node(node, t), 0, work, false);
                self.at(self.now + NODE_PATIENCE, Event::Patience(a));
            }
        }
    }

    fn silent_node(&mut self, a: usize) {
        if self.stale(a) {
            return;
        }
        let Target::Node(node, t) = self.attempts[a].to else { return };
        self.attempts[a].over = true;
        self.proxies[self.attempts[a].proxy].heard(self.now, node, true);
        if !self.tries[t].over {
            self.ask_node(t);
        }
    }

    // ---- what is on its way

    fn attempt(&mut self, proxy: usize, to: Target, out: u32, work: f64, write: bool) -> usize {
        let id = self.attempts.len();
        let epoch = self.proxies[proxy].epoch;
        self.attempts.push(Attempt { proxy, epoch, to, sent: self.now, out, over: false, work, write });
        self.carry(id, Event::There(id), 0);
        id
    }

    /// Takes a message one way, if the halls hear each other.
    fn carry(&mut self, a: usize, event: Event, late: Micros) {
        let hall = self.proxies[self.attempts[a].proxy].hall;
        let other = match self.attempts[a].to {
            Target::Node(node, _) => node as u32 % 2,
            Target::Ledger(_) => 0,
        };
        if self.day.setup.linked(self.now, hall, other) {
            self.at(self.now + late + if hall == other { NEAR } else { FAR }, event);
        }
    }

    /// Whether nobody at its proxy waits for the attempt any more.
    fn stale(&self, a: usize) -> bool {
        let attempt = &self.attempts[a];
        attempt.over || self.proxies[attempt.proxy].epoch != attempt.epoch
    }

    fn there(&mut self, a: usize) {
        let arrival = match self.attempts[a].to {
            Target::Node(node, _) => self.nodes[node].0.arrive(a),
            Target::Ledger(_) => {
                if self.now < self.down_until {
                    return;
                }
                let able = f64::from(self.day.setup.cores) / self.day.setup.slower(self.now, false);
                if self.pressure.asked(self.now, self.attempts[a].work, able) {
                    self.figures.stops += 1;
                    return self.stop(self.now + self.day.setup.fall_stop);
                }
                self.ledger.arrive(a)
            }
        };
        match arrival {
            station::Arrival::Begins => self.begin(a),
            station::Arrival::Waits => {}
            station::Arrival::Full => self.carry(a, Event::Back(a, Reply::Full), 0),
        }
    }

    fn begin(&mut self, a: usize) {
        let Attempt { work, write, .. } = self.attempts[a];
        let time = match self.attempts[a].to {
            Target::Node(node, t) => {
                let key = self.arrival(t).key;
                work * if self.nodes[node].1.uses(key) { 1.0 } else { MISS_WORK }
            }
            Target::Ledger(_) => {
                let held = self.ledger.waiting.len() as f64 / self.day.setup.places.max(1) as f64;
                let time =
                    work * self.day.setup.slower(self.now, write) * (1.0 + self.day.setup.thrash * held);
                self.figures.busy += time;
                time
            }
        };
        self.at(self.now + time as Micros, Event::Done(a, self.ledger_epoch));
    }

    fn done(&mut self, a: usize, epoch: u32) {
        let (next, reply, late) = match self.attempts[a].to {
            Target::Node(node, t) => {
                let key = self.arrival(t).key;
                let (station, cache) = &mut self.nodes[node];
                (station.next(), if cache.uses(key) { Reply::Served } else { Reply::Miss }, 0)
            }
            Target::Ledger(call) => {
                if epoch != self.ledger_epoch {
                    return;
                }
                if let Call::Write(t) = call {
                    let key = self.arrival(t).key;
                    self.nodes.iter_mut().for_each(|(_, cache)| cache.drop(key));
                }
                if self.stale(a) {
                    let Attempt { work, write, .. } = self.attempts[a];
                    self.figures.wasted += work * self.day.setup.slower(self.now, write);
                }
                (self.ledger.next(), Reply::Served, self.strays(a))
            }
        };
        self.carry(a, Event::Back(a, reply), late);
        next.into_iter().for_each(|next| self.begin(next));
    }

    /// How much later the ledger's answer comes, for no reason.
    fn strays(&self, a: usize) -> Micros {
        let luck = fraction(a as u64 ^ hash(self.day.seed));
        let late = |what| match what {
            What::Stray(part, by) if luck < part => by,
            _ => 0,
        };
        self.day.setup.wrong(self.now).map(late).sum()
    }

    fn back(&mut self, a: usize, reply: Reply) {
        if self.stale(a) {
            return;
        }
        let Attempt { proxy, sent, out, .. } = self.attempts[a];
        self.attempts[a].over = true;
        match self.attempts[a].to {
            Target::Node(node, t) => {
                self.proxies[proxy].heard(self.now, node, false);
                if self.tries[t].over {
                    return;
                }
                match reply {
                    Reply::Served => self.over(t, Some(true)),
                    Reply::Full => self.ask_node(t),
                    Reply::Miss => {
                        self.tries[t].missed = Some(node);
                        self.wants(t, Call::Read(self.arrival(t).key));
                    }
                }
            }
            Target::Ledger(call) => {
                let ending = match reply {
                    Reply::Full => Ending::Refused,
                    _ if self.now - sent < self.line.late => Ending::InTime,
                    _ => Ending::Slow,
                };
                self.figures.turned_away += u64::from(ending == Ending::Refused);
                self.proxies[proxy].flying.remove(&call);
                self.proxies[proxy].ended(self.now, sent, out, ending);
                self.finish_call(proxy, call, ending.answered());
                self.drain(proxy);
            }
        }
    }

    // ---- the way to the ledger

    fn wants(&mut self, t: usize, call: Call) {
        let p = self.tries[t].proxy;
        self.tries[t].call = Some(call);
        if let Some(refused) = self.proxies[p].wants(self.now, call, t) {
            self.finish_call(p, refused, false);
        }
        self.drain(p);
    }

    /// Ends a call: all that waited for it are served, or refused.
    fn finish_call(&mut self, p: usize, call: Call, served: bool) {
        for t in self.proxies[p].calls.remove(&call).unwrap_or_default() {
            if let (true, Call::Read(key), Some(node)) = (served, call, self.tries[t].missed) {
                self.nodes[node].1.keep(key);
            }
            self.over(t, Some(served));
        }
    }

    /// Sends what there is room for, and refuses what has waited too long.
    fn drain(&mut self, p: usize) {
        while let Some(call) = self.proxies[p].shed(self.now) {
            self.finish_call(p, call, false);
        }
        while let Some(call) = self.line.gives_up.then(|| self.hopeless(p)).flatten() {
            self.finish_call(p, call, false);
        }
        loop {
            let (tries, day) = (&self.tries, self.day);
            let patience = |t: &usize| leaves(day, &tries[*t]);
            let Some((call, first, out)) = self.proxies[p].send(self.now, patience) else { break };
            let a = self.arrival(first);
            self.figures.sent += 1;
            let attempt = self.attempt(p, Target::Ledger(call), out, a.work, a.write);
            self.proxies[p].flying.insert(call, (attempt, first));
        }
        if self.proxies[p].waits() && !std::mem::replace(&mut self.proxies[p].looks, true) {
            self.at(self.now + LOOK, Event::Look(p));
        }
    }

    fn hopeless(&mut self, p: usize) -> Option<Call> {
        let (tries, day) = (&self.tries, self.day);
        self.proxies[p].hopeless(self.now, |t| leaves(day, &tries[*t]))
    }

    fn stop(&mut self, until: Micros) {
        self.ledger.stop();
        self.pressure.clear();
        self.ledger_epoch += 1;
        self.down_until = self.down_until.max(until);
    }

    fn restart(&mut self, p: usize) {
        let Some(before) = self.proxies.get(p) else { return };
        let (epoch, hall, nodes) = (before.epoch + 1, before.hall, self.day.setup.nodes);
        self.proxies[p] = Proxy::new(epoch, hall, nodes, self.line, (self.limit)(p as u32));
        let lost: Vec<usize> = (0..self.tries.len())
            .filter(|t| {
                let t = &self.tries[*t];
                t.proxy == p && !t.over && t.at <= self.now && t.epoch < epoch
            })
            .collect();
        lost.into_iter().for_each(|t| self.over(t, None));
    }
}
