//! The event loop: messages in transit, processing by nodes and the origin, and retries of clients.

use super::cache::Cache;
use super::proxy::{Call, Proxy, QueuePolicy};
use super::random::{fraction, hash};
use super::results::{Results, Trace};
use super::server::{self, LoadMeter, Server};
use super::workload::{Arrival, FaultKind, Workload};
use crate::{Ending, Limit, Micros};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One-way latency within a zone and between zones, in us.
const SAME_ZONE_LATENCY: Micros = 200;
const CROSS_ZONE_LATENCY: Micros = 600;
/// How long a proxy waits for a node, and how many nodes it asks for a read.
const NODE_TIMEOUT: Micros = 400_000;
const MAX_NODES: u32 = 2;
/// The share of a read's work that a miss takes.
const MISS_WORK: f64 = 0.1;
/// How often a proxy checks a non-empty queue, in us.
const QUEUE_CHECK_INTERVAL: Micros = 10_000;
const TICK: Micros = 100_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Served,
    Miss,
    Rejected,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A try reaches its proxy; its client leaves.
    Try(usize),
    Deadline(usize),
    /// An attempt reaches a node or the origin, is done there, its answer is back; the attempt to a node
    /// times out.
    Arrived(usize),
    Done(usize, u32),
    Answered(usize, Reply),
    NodeTimeout(usize),
    /// A proxy checks its queue.
    CheckQueue(usize),
    Restart(usize),
    OriginStops(Micros),
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
    nodes_asked: u32,
    missed: Option<usize>,
    call: Option<Call>,
}

enum Target {
    Node(usize, usize),
    Origin(Call),
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

struct Simulation<'a> {
    workload: &'a Workload,
    policy: QueuePolicy,
    limit: &'a dyn Fn(u32) -> Box<dyn Limit>,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    proxies: Vec<Proxy>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    nodes: Vec<(Server, Cache)>,
    origin: Server,
    origin_epoch: u32,
    down_until: Micros,
    load: LoadMeter,
    results: Results,
}

/// Runs the workload with a limit for each proxy, created from its number, and this queue policy.
pub fn run(workload: &Workload, policy: QueuePolicy, limit: &dyn Fn(u32) -> Box<dyn Limit>) -> Results {
    let s = &workload.setup;
    let proxies =
        (0..s.proxies.max(1)).map(|p| Proxy::new(0, zone_of(workload, p), s.nodes, policy, limit(p)));
    let node = |_| (Server::new(s.node_cores, s.node_queue), Cache::new(s.node_capacity));
    let mut sim = Simulation {
        workload,
        policy,
        limit,
        now: 0,
        events: BinaryHeap::new(),
        count: 0,
        proxies: proxies.collect(),
        tries: Vec::with_capacity(workload.arrivals.len()),
        attempts: Vec::with_capacity(2 * workload.arrivals.len()),
        nodes: (0..s.nodes).map(node).collect(),
        origin: Server::new(s.cores, s.queue),
        origin_epoch: 0,
        down_until: 0,
        load: LoadMeter::new(s.fall_multiple, s.fall_for),
        results: Results::for_length(s.length),
    };
    sim.results.available = f64::from(s.cores) * s.length as f64;
    sim.warm();
    for (i, a) in workload.arrivals.iter().enumerate() {
        let worth = sim.worth(a);
        Results::add_at(&mut sim.results.requested, a.at, worth);
        sim.try_at(a.at, i, s.retries);
    }
    for t in &s.faults {
        match t.kind {
            FaultKind::OriginStop => sim.at(t.from, Event::OriginStops(t.to)),
            FaultKind::ProxyRestart(proxy) => sim.at(t.from, Event::Restart(proxy as usize)),
            _ => {}
        }
    }
    sim.at(0, Event::Tick);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        sim.now = now;
        sim.handle(event);
    }
    sim.results.worst_overload = sim.load.worst;
    sim.results
}

/// When the client of a try leaves.
fn deadline(workload: &Workload, t: &Try) -> Micros {
    t.at + workload.setup.patience[usize::from(workload.arrivals[t.arrival].write)]
}

fn zone_of(workload: &Workload, proxy: u32) -> u32 {
    u32::from(workload.setup.proxies > 1 && proxy >= workload.setup.proxies_in(0).1)
}

impl Simulation<'_> {
    fn at(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at.max(self.now), self.count, event)));
    }

    fn arrival(&self, try_: usize) -> Arrival {
        self.workload.arrivals[self.tries[try_].arrival]
    }

    fn worth(&self, a: &Arrival) -> f64 {
        if a.write {
            self.workload.setup.worth
        } else {
            1.0
        }
    }

    /// Warms the caches with the most popular keys of each node.
    fn warm(&mut self) {
        for rank in (0..self.workload.setup.keys as u64).rev() {
            let key = hash(rank) | 1;
            if let Some(node) = self.ranked(key).next() {
                self.nodes[node].1.insert(key);
            }
        }
    }

    /// The first two nodes by rendezvous hashing (Thaler and Ravishankar, 1998).
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

    fn handle(&mut self, event: Event) {
        match event {
            Event::Try(t) => self.try_arrives(t),
            Event::Deadline(t) => self.client_leaves(t),
            Event::Arrived(a) => self.arrived(a),
            Event::Done(a, epoch) => self.done(a, epoch),
            Event::Answered(a, reply) => self.answered(a, reply),
            Event::NodeTimeout(a) => self.node_timed_out(a),
            Event::CheckQueue(p) => {
                self.proxies[p].check_scheduled = false;
                self.drain(p);
            }
            Event::Restart(p) => self.restart(p),
            Event::OriginStops(until) => self.stop(until),
            Event::Tick => {
                let limit_of = |p: &Proxy| p.limit.limit(self.now);
                let origin_requests = f64::from(self.origin.busy) + self.origin.queue.len() as f64;
                let (first, last) = (limit_of(&self.proxies[0]), self.proxies.last().map_or(0.0, limit_of));
                let limits = self.proxies.iter().map(limit_of).sum();
                if self.results.trace.len() % 2 == 0 {
                    let now = self.now;
                    self.proxies.iter_mut().for_each(|p| p.limit.observe_in_flight(now, p.out));
                }
                self.results.trace.push(Trace { limits, first, last, origin_requests });
                if self.now + TICK < self.workload.setup.length {
                    self.at(self.now + TICK, Event::Tick);
                }
            }
        }
    }

    // ---- clients

    fn try_at(&mut self, at: Micros, arrival: usize, retries: u32) {
        let id = self.tries.len();
        let a = self.workload.arrivals[arrival];
        let proxy = self.workload.pick_proxy(a.zone, id as u64) as usize;
        let (over, nodes_asked, missed, call) = (false, 0, None, None);
        self.tries.push(Try { arrival, at, proxy, epoch: 0, retries, over, nodes_asked, missed, call });
        self.at(at, Event::Try(id));
    }

    fn try_arrives(&mut self, t: usize) {
        self.results.tries += 1;
        let a = self.arrival(t);
        self.tries[t].epoch = self.proxies[self.tries[t].proxy].epoch;
        self.at(self.now + self.workload.setup.patience[usize::from(a.write)], Event::Deadline(t));
        if a.write {
            self.request_origin(t, Call::Write(t));
        } else {
            self.ask_node(t);
        }
    }

    /// The try is over. A client that got nothing retries if it has retries left.
    fn try_ended(&mut self, t: usize, served: Option<bool>) {
        let a = self.arrival(t);
        let worth = self.worth(&a);
        let s = &self.workload.setup;
        let try_ = &mut self.tries[t];
        if std::mem::replace(&mut try_.over, true) {
            return;
        }
        let wait = match served {
            Some(true) => {
                if self.now - try_.at <= s.target[usize::from(a.write)] {
                    Results::add_at(&mut self.results.served, a.at, worth);
                }
                return;
            }
            // Refused: retried when told, after 0.3 to 0.6 s. Failed: after 30 to 240 ms.
            Some(false) => {
                self.results.refused += 1;
                300_000.0 + 300_000.0 * fraction(t as u64)
            }
            None => {
                self.results.failed += 1;
                30_000.0 + 210_000.0 * fraction(t as u64)
            }
        };
        let (arrival, left) = (try_.arrival, try_.retries);
        if left > 0 {
            self.try_at(self.now + wait as Micros, arrival, left - 1);
        }
    }

    /// The client stops waiting.
    fn client_leaves(&mut self, t: usize) {
        let Try { over, proxy, call, .. } = self.tries[t];
        if over {
            return;
        }
        self.try_ended(t, None);
        let Some(call) = call else { return };
        let (attempt, others) = self.proxies[proxy].abandon(call, t);
        let Some(a) = attempt else { return };
        self.attempts[a].over = true;
        let Attempt { sent, out, .. } = self.attempts[a];
        self.results.abandoned += 1;
        self.proxies[proxy].ended(self.now, sent, out, Ending::Abandoned);
        // The other tries that wait for it get an attempt of their own.
        if let Some(refused) = others.then(|| self.proxies[proxy].enqueue(self.now, call)).flatten() {
            self.finish_call(proxy, refused, false);
        }
        self.drain(proxy);
    }

    // ---- nodes

    fn ask_node(&mut self, t: usize) {
        let Try { proxy, nodes_asked, .. } = self.tries[t];
        let key = self.arrival(t).key;
        let p = &self.proxies[proxy];
        let node = self.ranked(key).filter(|n| p.can_use(self.now, *n)).nth(nodes_asked as usize);
        match node.filter(|_| nodes_asked < MAX_NODES) {
            None => self.request_origin(t, Call::Read(key)),
            Some(node) => {
                self.tries[t].nodes_asked += 1;
                let work = self.arrival(t).node_work;
                let a = self.attempt(proxy, Target::Node(node, t), 0, work, false);
                self.at(self.now + NODE_TIMEOUT, Event::NodeTimeout(a));
            }
        }
    }

    fn node_timed_out(&mut self, a: usize) {
        if self.stale(a) {
            return;
        }
        let Target::Node(node, t) = self.attempts[a].to else { return };
        self.attempts[a].over = true;
        self.proxies[self.attempts[a].proxy].node_ended(self.now, node, true);
        if !self.tries[t].over {
            self.ask_node(t);
        }
    }

    // ---- messages

    fn attempt(&mut self, proxy: usize, to: Target, out: u32, work: f64, write: bool) -> usize {
        let id = self.attempts.len();
        let epoch = self.proxies[proxy].epoch;
        self.attempts.push(Attempt { proxy, epoch, to, sent: self.now, out, over: false, work, write });
        self.deliver(id, Event::Arrived(id), 0);
        id
    }

    /// Delivers a message one way, if the zones are connected.
    fn deliver(&mut self, a: usize, event: Event, delay: Micros) {
        let zone = self.proxies[self.attempts[a].proxy].zone;
        let other = match self.attempts[a].to {
            Target::Node(node, _) => node as u32 % 2,
            Target::Origin(_) => 0,
        };
        if self.workload.setup.connected(self.now, zone, other) {
            self.at(
                self.now + delay + if zone == other { SAME_ZONE_LATENCY } else { CROSS_ZONE_LATENCY },
                event,
            );
        }
    }

    /// Whether nobody at its proxy waits for the attempt any more.
    fn stale(&self, a: usize) -> bool {
        let attempt = &self.attempts[a];
        attempt.over || self.proxies[attempt.proxy].epoch != attempt.epoch
    }

    fn arrived(&mut self, a: usize) {
        let arrival = match self.attempts[a].to {
            Target::Node(node, _) => self.nodes[node].0.arrive(a),
            Target::Origin(_) => {
                if self.now < self.down_until {
                    return;
                }
                let capacity =
                    f64::from(self.workload.setup.cores) / self.workload.setup.slowdown(self.now, false);
                if self.load.add(self.now, self.attempts[a].work, capacity) {
                    self.results.stops += 1;
                    return self.stop(self.now + self.workload.setup.fall_stop);
                }
                self.origin.arrive(a)
            }
        };
        match arrival {
            server::Admission::Started => self.start_work(a),
            server::Admission::Queued => {}
            server::Admission::Rejected => self.deliver(a, Event::Answered(a, Reply::Rejected), 0),
        }
    }

    fn start_work(&mut self, a: usize) {
        let Attempt { work, write, .. } = self.attempts[a];
        let time = match self.attempts[a].to {
            Target::Node(node, t) => {
                let key = self.arrival(t).key;
                work * if self.nodes[node].1.get(key) { 1.0 } else { MISS_WORK }
            }
            Target::Origin(_) => {
                let queue_fill = self.origin.queue.len() as f64 / self.workload.setup.queue.max(1) as f64;
                let time = work
                    * self.workload.setup.slowdown(self.now, write)
                    * (1.0 + self.workload.setup.contention * queue_fill);
                self.results.busy += time;
                time
            }
        };
        self.at(self.now + time as Micros, Event::Done(a, self.origin_epoch));
    }

    fn done(&mut self, a: usize, epoch: u32) {
        let (next, reply, delay) = match self.attempts[a].to {
            Target::Node(node, t) => {
                let key = self.arrival(t).key;
                let (server, cache) = &mut self.nodes[node];
                (server.finish(), if cache.get(key) { Reply::Served } else { Reply::Miss }, 0)
            }
            Target::Origin(call) => {
                if epoch != self.origin_epoch {
                    return;
                }
                if let Call::Write(t) = call {
                    let key = self.arrival(t).key;
                    self.nodes.iter_mut().for_each(|(_, cache)| cache.remove(key));
                }
                if self.stale(a) {
                    let Attempt { work, write, .. } = self.attempts[a];
                    self.results.wasted += work * self.workload.setup.slowdown(self.now, write);
                }
                (self.origin.finish(), Reply::Served, self.answer_delay(a))
            }
        };
        self.deliver(a, Event::Answered(a, reply), delay);
        next.into_iter().for_each(|next| self.start_work(next));
    }

    /// Delay of the origin's answer by an injected fault.
    fn answer_delay(&self, a: usize) -> Micros {
        let sample = fraction(a as u64 ^ hash(self.workload.seed));
        let delay = |what| match what {
            FaultKind::DelayedAnswers(part, by) if sample < part => by,
            _ => 0,
        };
        self.workload.setup.active_faults(self.now).map(delay).sum()
    }

    fn answered(&mut self, a: usize, reply: Reply) {
        if self.stale(a) {
            return;
        }
        let Attempt { proxy, sent, out, .. } = self.attempts[a];
        self.attempts[a].over = true;
        match self.attempts[a].to {
            Target::Node(node, t) => {
                self.proxies[proxy].node_ended(self.now, node, false);
                if self.tries[t].over {
                    return;
                }
                match reply {
                    Reply::Served => self.try_ended(t, Some(true)),
                    Reply::Rejected => self.ask_node(t),
                    Reply::Miss => {
                        self.tries[t].missed = Some(node);
                        self.request_origin(t, Call::Read(self.arrival(t).key));
                    }
                }
            }
            Target::Origin(call) => {
                let ending = match reply {
                    Reply::Rejected => Ending::Refused,
                    _ if self.now - sent < self.policy.slow_after => Ending::InTime,
                    _ => Ending::Slow,
                };
                self.results.turned_away += u64::from(ending == Ending::Refused);
                self.proxies[proxy].in_flight.remove(&call);
                self.proxies[proxy].ended(self.now, sent, out, ending);
                self.finish_call(proxy, call, ending.answered());
                self.drain(proxy);
            }
        }
    }

    // ---- origin

    fn request_origin(&mut self, t: usize, call: Call) {
        let p = self.tries[t].proxy;
        self.tries[t].call = Some(call);
        if let Some(refused) = self.proxies[p].request(self.now, call, t) {
            self.finish_call(p, refused, false);
        }
        self.drain(p);
    }

    /// Ends a call: all tries that waited for it are served, or refused.
    fn finish_call(&mut self, p: usize, call: Call, served: bool) {
        for t in self.proxies[p].calls.remove(&call).unwrap_or_default() {
            if let (true, Call::Read(key), Some(node)) = (served, call, self.tries[t].missed) {
                self.nodes[node].1.insert(key);
            }
            self.try_ended(t, Some(served));
        }
    }

    /// Sends what the limit allows, and refuses what has waited too long.
    fn drain(&mut self, p: usize) {
        while let Some(call) = self.proxies[p].shed(self.now) {
            self.finish_call(p, call, false);
        }
        while let Some(call) = self.policy.refuse_hopeless.then(|| self.take_hopeless(p)).flatten() {
            self.finish_call(p, call, false);
        }
        loop {
            let (tries, workload) = (&self.tries, self.workload);
            let deadlines = |t: &usize| deadline(workload, &tries[*t]);
            let Some((call, first, out)) = self.proxies[p].send(self.now, deadlines) else { break };
            let a = self.arrival(first);
            self.results.sent += 1;
            let attempt = self.attempt(p, Target::Origin(call), out, a.work, a.write);
            self.proxies[p].in_flight.insert(call, (attempt, first));
        }
        if self.proxies[p].has_queued() && !std::mem::replace(&mut self.proxies[p].check_scheduled, true) {
            self.at(self.now + QUEUE_CHECK_INTERVAL, Event::CheckQueue(p));
        }
    }

    fn take_hopeless(&mut self, p: usize) -> Option<Call> {
        let (tries, workload) = (&self.tries, self.workload);
        self.proxies[p].take_hopeless(self.now, |t| deadline(workload, &tries[*t]))
    }

    fn stop(&mut self, until: Micros) {
        self.origin.stop();
        self.load.clear();
        self.origin_epoch += 1;
        self.down_until = self.down_until.max(until);
    }

    fn restart(&mut self, p: usize) {
        let Some(before) = self.proxies.get(p) else { return };
        let (epoch, zone, nodes) = (before.epoch + 1, before.zone, self.workload.setup.nodes);
        self.proxies[p] = Proxy::new(epoch, zone, nodes, self.policy, (self.limit)(p as u32));
        let lost: Vec<usize> = (0..self.tries.len())
            .filter(|t| {
                let t = &self.tries[*t];
                t.proxy == p && !t.over && t.at <= self.now && t.epoch < epoch
            })
            .collect();
        lost.into_iter().for_each(|t| self.try_ended(t, None));
    }
}
