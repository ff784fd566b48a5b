//! The engine: what happens next, and to whom.

use super::downstreams::{Downstreams, Way, AGAIN};
use super::links::{Attempt, Link, Ref, Table};
use super::queue::Queue;
use super::site;
use super::subject::{Start, Subject, Subjects};
use martenweir::core::{
    Answer as Said, ConnectionId, DownstreamId, Effect, Input, Job, Message, NewStream as Stream,
};
use martenweir::core::{Reply, Stage};
use martenweir::interface::{ClassId, Key, Micros, Settings, TenantId, Verdict};
use std::iter::Peekable;
use std::rc::Rc;
use world::clients::{Arrivals, RequestSlot, RequestTable, TryEnd};
use world::discovery::ListUpdate;
use world::facts::{Fact, Final, NodeNo, ProxyNo, TryNo, ORIGIN};
use world::node::{Answer, DialOutcome, NodeRequest};
use world::outcome::{ConnectionCounts, Lateness, Run, Sizes};
use world::random::{ms, seconds, seed_of, stream, Map};
use world::world::{NodeAttempt, Occurrence, ProxyChange, World};

/// Discovery gives a sign of life this often.
const LIFE: Micros = 2_000_000;
/// A client closes on a try this long after its time and the proxy's grace are over.
const CLOSE: Micros = 100_000;
/// A planned end, as the program's owner task has it: new connections are taken for this long, and what is open
/// has the longest patience, at most this, and a little more.
const ACCEPTS: Micros = 500_000;
const END_MOST: Micros = 3_000_000;
const END_MORE: Micros = 300_000;
/// One that is told to end has ended by then.
const ENDS: Micros = END_MOST + END_MORE;
/// A run ends this long after the last arrival at the latest, whatever is still open.
const TAIL: Micros = 30_000_000;

#[derive(Clone, Debug)]
enum Event {
    /// A try reaches its proxy.
    Arrives(TryNo),
    /// A client sends its next try.
    Retry(RequestSlot),
    /// A client's time for a try is up; and it closes.
    GivesUp(TryNo),
    Closes(TryNo),
    /// A dial reaches its node; the answer reaches the proxy.
    Dialled(Ref),
    Connected(Ref),
    /// A job reaches its node whole.
    Job(Ref),
    /// A node's answer reaches the proxy.
    Replied(Ref, Ref, Answer),
    /// The proxy hears that a connection broke; the node hears that it was closed.
    Broken(Ref, Stage),
    Closed(Ref),
    Tick(ProxyNo, u32),
    /// A proxy's agent answers a watch.
    Listed(ProxyNo, u32, Option<u64>),
    Told(Box<ListUpdate>),
    /// Something happens to a proxy's connections from clients.
    Downstreams(ProxyNo, u32),
    /// The sizes of the proxies' tables are taken.
    Measure,
}

/// A proxy's process, or its place while there is none.
struct Proxy {
    hall: u16,
    subject: Option<Box<dyn Subject>>,
    settings: Settings,
    /// Counts its starts: what was meant for an earlier one finds another number.
    life: u32,
    links: Map<ConnectionId, Ref>,
    /// Since when it is told to end.
    ending: Option<Micros>,
    /// It starts anew as soon as it has ended.
    again: bool,
    signed: Micros,
    /// Its connections from clients, where the scenario has a crowd; and when it is looked at next.
    downstreams: Option<Downstreams>,
    looks: Micros,
}

pub struct Engine<'a> {
    world: World,
    desk: RequestTable,
    arrivals: Peekable<Arrivals>,
    subjects: &'a dyn Subjects,
    proxies: Vec<Proxy>,
    links: Table<Link>,
    attempts: Table<Attempt>,
    queue: Queue<Event>,
    /// The node that listens at each address, the ledger at 0.
    listens: Vec<NodeNo>,
    /// Nodes whose machines say nothing any more.
    silent: Vec<bool>,
    /// Kept for their room.
    occurrences: Vec<(Micros, Occurrence)>,
    effects: Vec<Effect>,
    grace: Micros,
    /// Of all proxies' lives that are over.
    doorway: ConnectionCounts,
    /// If the scenario asks for them.
    sizes: Option<Sizes>,
}

impl<'a> Engine<'a> {
    pub fn new(world: World, subjects: &'a dyn Subjects) -> Self {
        let proxies = world.proxies().iter().enumerate().map(|(i, hall)| Proxy {
            hall: *hall,
            subject: None,
            settings: site::settings(&world, ProxyNo(i as u32)),
            life: 0,
            links: Map::default(),
            ending: None,
            again: false,
            signed: 0,
            downstreams: None,
            looks: Micros::MAX,
        });
        let proxies = proxies.collect();
        let mut listens = vec![ORIGIN];
        listens.extend(world.members().iter().map(|m| m.no));
        Engine {
            desk: world.request_table(),
            arrivals: world.arrivals().peekable(),
            proxies,
            links: Table::new(),
            attempts: Table::new(),
            queue: Queue::new(),
            silent: vec![false; listens.len()],
            listens,
            occurrences: Vec::new(),
            effects: Vec::new(),
            grace: ms(world.scenario().rules.answer_grace_ms),
            doorway: ConnectionCounts::default(),
            sizes: world.scenario().sizes_every_s.map(|s| Sizes::new(seconds(s))),
            subjects,
            world,
        }
    }

    pub fn run(mut self, progress: &mut dyn FnMut(f64)) -> Run {
        for i in 0..self.proxies.len() {
            self.start(0, ProxyNo(i as u32));
        }
        let end = seconds(self.world.scenario().seconds);
        if let Some(sizes) = &self.sizes {
            self.queue.plan(sizes.every_us, Event::Measure);
        }
        let (mut now, mut told) = (0, 0);
        loop {
            let (moves, happens) = (self.world.next(), self.queue.next());
            let arrives = self.arrivals.peek().map_or(Micros::MAX, |r| r.at);
            let at = moves.min(happens).min(arrives);
            let over = arrives == Micros::MAX && self.desk.live() == 0 && self.desk.tries() == 0;
            if (over && at >= end) || at > end + TAIL {
                now = now.max(end);
                break;
            }
            now = at;
            if now >= told {
                progress(now as f64 / end as f64);
                told = now + 1_000_000;
            }
            // At one moment first the world moves, then requests come, then messages arrive.
            if moves <= at {
                self.move_world(at);
            } else if arrives <= at {
                if let Some(request) = self.arrivals.next() {
                    let place = self.desk.open(request, &mut self.world.recorder);
                    self.send_try(at, place);
                }
            } else {
                let desk = &self.desk;
                let stands = |e: &Event| match e {
                    Event::GivesUp(of) | Event::Closes(of) => desk.get(*of).is_some(),
                    _ => true,
                };
                if let Some((at, event)) = self.queue.take(at, stands) {
                    self.happen(at, event);
                }
            }
        }
        (0..self.proxies.len()).for_each(|i| self.close_downstreams(ProxyNo(i as u32)));
        let doorway = self.world.scenario().crowd.as_ref().map(|_| self.doorway);
        Run { doorway, sizes: self.sizes, ..self.world.finish(now, Lateness::default()) }
    }

    fn happen(&mut self, at: Micros, event: Event) {
        match event {
            Event::Arrives(of) => self.arrives(at, of),
            Event::Retry(place) => self.send_try(at, place),
            Event::GivesUp(of) => self.gives_up(at, of),
            Event::Closes(of) => self.closes(at, of),
            Event::Dialled(link) => self.dialled(at, link),
            Event::Connected(link) => {
                if let Some(l) = self.links.get(link).filter(|l| l.open && !l.broken).copied() {
                    self.input(at, l.proxy, Input::Connected(l.connection));
                }
            }
            Event::Job(attempt) => self.job(at, attempt),
            Event::Replied(link, attempt, answer) => self.replied(at, link, attempt, answer),
            Event::Broken(link, stage) => {
                if let Some(l) = self.links.get(link).copied() {
                    self.drop_link(link);
                    if l.open && self.proxies[l.proxy.0 as usize].links.remove(&l.connection).is_some() {
                        self.input(at, l.proxy, Input::Broken(l.connection, stage));
                    }
                }
            }
            Event::Closed(link) => self.drop_link(link),
            Event::Tick(proxy, life) => self.tick(at, proxy, life),
            Event::Listed(proxy, life, after) => {
                if self.proxies[proxy.0 as usize].life == life && !self.world.discovery().is_silent() {
                    let (revision, entries) = self.world.discovery().known(proxy, after);
                    let list = site::cluster(&self.world, revision, after.is_none(), &entries);
                    self.input(at, proxy, Input::Cluster(Some(list)));
                }
            }
            Event::Downstreams(proxy, life) => {
                let p = &mut self.proxies[proxy.0 as usize];
                if p.life == life && p.looks <= at {
                    p.looks = Micros::MAX;
                    self.look_after(at, proxy);
                }
            }
            Event::Measure => self.measure(at),
            Event::Told(news) => {
                let list = site::cluster(&self.world, news.revision, false, &[news.entry]);
                self.input(at, news.proxy, Input::Cluster(Some(list)));
            }
        }
    }

    // ---- clients

    /// A client sends a try, by way of the front.
    fn send_try(&mut self, at: Micros, place: RequestSlot) {
        let Some(request) = self.desk.request(place) else { return };
        let Some(proxy) = self.world.front().pick(request.zone, request.no.0 ^ (at as u64) << 20) else {
            let next = self.desk.unreached(at, place, &mut self.world.recorder);
            return self.retry(next);
        };
        if let Some(t) = self.desk.send(at, place, proxy, &mut self.world.recorder) {
            let arrives = at + self.world.network.to_client();
            self.queue.plan(arrives, Event::Arrives(t.no));
            self.queue.plan_late(t.until, Event::GivesUp(t.no));
        }
    }

    fn retry(&mut self, next: Option<(Micros, RequestSlot)>) {
        if let Some((at, place)) = next {
            self.queue.plan(at, Event::Retry(place));
        }
    }

    /// A try has ended for its client, which is told at once.
    fn end_try(&mut self, at: Micros, of: TryNo, end: TryEnd) {
        let next = self.desk.end(at, of, end, &mut self.world.recorder);
        self.retry(next);
    }

    fn arrives(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.desk.get(of).copied() else { return };
        let proxy = &self.proxies[t.proxy.0 as usize];
        let takes = proxy.subject.is_some() && proxy.ending.is_none_or(|since| at < since + ACCEPTS);
        if !takes {
            let hears = at + self.world.network.to_client();
            self.end_try(hears.min(t.until), of, TryEnd::Unreached);
            return self.desk.forget(at, of);
        }
        let Some(downstreams) = self.proxies[t.proxy.0 as usize].downstreams.as_mut() else {
            return self.taken(at, of);
        };
        let way = downstreams.asks(at, of);
        match way {
            Way::Taken => self.taken(at, of),
            Way::Waits => {}
            Way::Full => self.queue.plan(at + AGAIN, Event::Arrives(of)),
        }
        self.look_after(at, t.proxy);
    }

    /// What is due at a proxy's connections from clients happens, and is looked at again in time.
    fn look_after(&mut self, at: Micros, proxy: ProxyNo) {
        let p = &mut self.proxies[proxy.0 as usize];
        let Some(downstreams) = p.downstreams.as_mut() else { return };
        let mut taken = Vec::new();
        downstreams.step(at, p.links.len(), &mut taken);
        let (next, life) = (downstreams.next(at), p.life);
        if next < p.looks {
            p.looks = next;
            self.queue.plan(next, Event::Downstreams(proxy, life));
        }
        taken.into_iter().for_each(|of| self.taken(at, of));
    }

    fn close_downstreams(&mut self, proxy: ProxyNo) {
        if let Some(downstreams) = self.proxies[proxy.0 as usize].downstreams.take() {
            self.doorway.merge(&downstreams.counts);
        }
    }

    /// A proxy has read a try.
    fn taken(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.desk.get(of).copied() else { return };
        let patience = (t.until - t.sent).max(1);
        let (class, r) = (t.request.class, t.request);
        self.world.observe(at, Fact::Taken { proxy: t.proxy, of, class, deadline: at + patience });
        let write = self.desk.class(&r).is_some_and(|c| c.write);
        let message =
            Message { id: of.0.to_be_bytes().to_vec(), value: write.then(Vec::new), ..Message::default() };
        let stream = Stream {
            downstream: DownstreamId(of.0),
            place: 0,
            class: ClassId(class.0),
            tenant: TenantId(r.tenant),
            key: Key(r.key),
            repeat: t.retry,
            patience,
            hint: None,
            message: Rc::new(message),
        };
        self.input(at, t.proxy, Input::Stream(stream));
    }

    /// A client's time for a try is up. It holds on to its connection until the proxy owes it nothing.
    fn gives_up(&mut self, at: Micros, of: TryNo) {
        if self.desk.get(of).is_some() {
            self.end_try(at, of, TryEnd::Left);
            self.queue.plan(at + self.grace + CLOSE, Event::Closes(of));
        }
    }

    fn closes(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.desk.get(of).copied() else { return };
        self.desk.forget(at, of);
        if let Some(downstreams) = self.proxies[t.proxy.0 as usize].downstreams.as_mut() {
            downstreams.left(of);
        }
        self.world.observe(at, Fact::Left { proxy: t.proxy, of });
        self.input(at, t.proxy, Input::DownstreamClosed(DownstreamId(of.0)));
    }

    /// A proxy has answered a try.
    fn answered(&mut self, at: Micros, proxy: ProxyNo, of: TryNo, said: Said) {
        let made_for = |value: &[u8]| value.try_into().ok().map(|id| TryNo(u64::from_be_bytes(id)));
        let (how, end) = match &said {
            Said::Value(value) => (Final::Served { made_for: made_for(value) }, TryEnd::Served),
            Said::Busy(after) => (Final::Refused, TryEnd::Refused(*after)),
            // Every key exists in this world: that one is nowhere is no good answer.
            Said::Absent | Said::Failed | Said::Late | Said::DuplicateId => (Final::Failed, TryEnd::Failed),
        };
        self.world.observe(at, Fact::Answered { proxy, of, how });
        if let Some(downstreams) = self.proxies[proxy.0 as usize].downstreams.as_mut() {
            if let Some(next) = downstreams.answered(at, of) {
                self.taken(at, next);
            }
            self.look_after(at, proxy);
        }
        let Some(t) = self.desk.get(of).copied() else { return };
        // What comes after the client has given up finds nobody: that end is told when its time is up.
        let hears = at + self.world.network.to_client();
        if hears <= t.until {
            self.end_try(hears, of, end);
        } else {
            self.end_try(t.until, of, TryEnd::Left);
        }
        self.desk.forget(at, of);
    }

    // ---- proxies

    fn start(&mut self, at: Micros, proxy: ProxyNo) {
        let (revision, entries) = self.world.discovery().known(proxy, None);
        let known = site::cluster(&self.world, revision, true, &entries);
        for e in &entries {
            self.world
                .observe(at, Fact::Listed { proxy, node: e.node, status: e.status, started: e.started });
        }
        let max_node_connections = site::max_node_connections(&self.world.scenario().proxies);
        let p = &mut self.proxies[proxy.0 as usize];
        p.life += 1;
        let seed = seed_of(self.world.seed(), "proxy", u64::from(proxy.0) | u64::from(p.life) << 32);
        let settings = p.settings.clone();
        (p.ending, p.signed) = (None, at);
        p.subject =
            Some(self.subjects.start(Start { proxy, now: at, settings, seed, max_node_connections, known }));
        let life = p.life;
        let s = self.world.scenario();
        let (crowd, n) = (s.crowd.as_ref(), u64::from(proxy.0) | u64::from(life) << 32);
        let rng = stream(self.world.seed(), "crowd", n);
        p.downstreams = crowd
            .map(|c| Downstreams::new(c, s.proxies.count, s.proxies.sockets, s.proxies.memory_mb, rng, at));
        p.looks = Micros::MAX;
        self.plan_tick(at, proxy, life);
        self.look_after(at, proxy);
        self.carry_out(at, proxy);
    }

    fn plan_tick(&mut self, at: Micros, proxy: ProxyNo, life: u32) {
        let period = self.proxies[proxy.0 as usize].settings.period.max(1_000);
        self.queue.plan((at / period + 1) * period, Event::Tick(proxy, life));
    }

    fn tick(&mut self, at: Micros, proxy: ProxyNo, life: u32) {
        let p = &mut self.proxies[proxy.0 as usize];
        if p.life != life {
            return;
        }
        let Some(subject) = p.subject.as_mut() else { return };
        subject.tick(at);
        if at - p.signed >= LIFE && !self.world.discovery().is_silent() {
            p.signed = at;
            subject.input(at, Input::Cluster(None));
        }
        let ended = p.ending.is_some_and(|since| {
            let longest = p.settings.classes.iter().map(|c| c.limit).max().unwrap_or(END_MOST);
            let done = subject.open_streams() == 0 && at >= since + ACCEPTS;
            done || at >= since + longest.min(END_MOST) + END_MORE
        });
        self.carry_out(at, proxy);
        if ended {
            self.end(at, proxy, true);
            if std::mem::take(&mut self.proxies[proxy.0 as usize].again) {
                self.start(at, proxy);
            }
            return;
        }
        self.plan_tick(at, proxy, life);
    }

    /// A proxy's process is gone.
    fn end(&mut self, at: Micros, proxy: ProxyNo, planned: bool) {
        let p = &mut self.proxies[proxy.0 as usize];
        if p.subject.take().is_none() {
            return;
        }
        p.life += 1;
        p.ending = None;
        self.close_downstreams(proxy);
        let p = &mut self.proxies[proxy.0 as usize];
        let mut links: Vec<(ConnectionId, Ref)> = p.links.drain().collect();
        links.sort_unstable();
        self.world.observe(at, Fact::ProxyEnded { proxy, planned });
        for (_, link) in links {
            self.close(at, link);
        }
        for of in self.desk.at(proxy) {
            let hears = at + self.world.network.to_client();
            if let Some(t) = self.desk.get(of).copied() {
                self.end_try(hears.min(t.until), of, TryEnd::Failed);
                self.desk.forget(at, of);
            }
        }
    }

    fn input(&mut self, at: Micros, proxy: ProxyNo, input: Input) {
        if let Some(subject) = self.proxies[proxy.0 as usize].subject.as_mut() {
            subject.input(at, input);
            self.carry_out(at, proxy);
        }
    }

    fn carry_out(&mut self, at: Micros, proxy: ProxyNo) {
        let p = &mut self.proxies[proxy.0 as usize];
        let (life, Some(subject)) = (p.life, p.subject.as_mut()) else { return };
        let mut effects = std::mem::take(&mut self.effects);
        subject.take_effects(&mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Answer { downstream, answer, .. } => {
                    self.answered(at, proxy, TryNo(downstream.0), answer);
                }
                Effect::Dial { connection, address, .. } => {
                    let number = site::address_number(address).unwrap_or(u32::MAX);
                    self.dial(at, proxy, connection, number);
                }
                Effect::Write { connection, job } => self.write(at, proxy, connection, job),
                Effect::Close { connection } => {
                    if let Some(link) = self.proxies[proxy.0 as usize].links.remove(&connection) {
                        self.close(at, link);
                    }
                }
                Effect::Watch { after } => self.queue.plan(at + 1, Event::Listed(proxy, life, after)),
                // A job is written whole at once here.
                Effect::Withdraw { .. } | Effect::Note(_) | Effect::StreamEnded(_) | Effect::NodeEvent(_) => {
                }
            }
        }
        self.effects = effects;
    }

    /// Looks at what the proxies keep, now and then while clients arrive.
    fn measure(&mut self, at: Micros) {
        let end = seconds(self.world.scenario().seconds);
        let Some(sizes) = self.sizes.as_mut() else { return };
        let running = self.proxies.iter().filter_map(|p| p.subject.as_ref());
        sizes.take(running.flat_map(|s| s.sizes()));
        let next = at + sizes.every_us;
        if next <= end {
            self.queue.plan(next, Event::Measure);
        }
    }

    // ---- connections

    /// When a message on a connection arrives at the other end; `None` if it is lost, and the connection silent.
    fn travel(&mut self, at: Micros, link: Ref, out: bool) -> Option<Micros> {
        let l = self.links.get_mut(link)?;
        let (here, there) = (self.proxies[l.proxy.0 as usize].hall, self.world.member(l.node).zone);
        let silent = l.lost || self.silent.get(l.node.0 as usize).is_some_and(|s| *s);
        let Some(delay) = self.world.network.between(here, there).filter(|_| !silent) else {
            l.lost = true;
            return None;
        };
        let last = if out { &mut l.out_at } else { &mut l.in_at };
        *last = (at + delay).max(*last + 1);
        Some(*last)
    }

    fn dial(&mut self, at: Micros, proxy: ProxyNo, connection: ConnectionId, address: u32) {
        let node = self.listens.get(address as usize).copied().unwrap_or(ORIGIN);
        let link = self.links.insert(Link {
            proxy,
            connection,
            node,
            open: true,
            accepted: false,
            lost: false,
            broken: false,
            attempt: None,
            out_at: at,
            in_at: at,
        });
        self.proxies[proxy.0 as usize].links.insert(connection, link);
        if let Some(arrives) = self.travel(at, link, true) {
            self.queue.plan(arrives, Event::Dialled(link));
        }
    }

    fn dialled(&mut self, at: Micros, link: Ref) {
        let Some(l) = self.links.get(link).filter(|l| l.open).copied() else { return };
        match self.world.connect(at, l.node, link.number()) {
            DialOutcome::Accepted => {
                if let Some(l) = self.links.get_mut(link) {
                    l.accepted = true;
                }
                if let Some(arrives) = self.travel(at, link, false) {
                    self.queue.plan(arrives, Event::Connected(link));
                }
            }
            DialOutcome::Refused => self.break_link(at, link, Stage::Idle),
            DialOutcome::Silent => {
                if let Some(l) = self.links.get_mut(link) {
                    l.lost = true;
                }
            }
        }
    }

    fn write(&mut self, at: Micros, proxy: ProxyNo, connection: ConnectionId, job: Job) {
        let Some(link) = self.proxies[proxy.0 as usize].links.get(&connection).copied() else { return };
        let Some(l) = self.links.get(link).copied() else { return };
        let mut ask = NodeRequest::nothing(0, link.number());
        let (mut of, mut after) = (None, None);
        if let Job::Stream { message, patience } = job {
            let id = message.id.as_slice().try_into().map_or(0, u64::from_be_bytes);
            let Some(t) = self.desk.find_recent(TryNo(id)).copied() else { return };
            let (r, class) = (t.request, self.desk.class(&t.request));
            let keyed = class.filter(|c| c.repeat == world::scenario::Repeat::Keyed);
            ask.of = t.no;
            ask.class = r.class;
            ask.key = r.key;
            ask.write = message.value.is_some();
            ask.work = r.work;
            ask.bytes = r.bytes;
            ask.repeat = keyed.map(|c| (r.repeat_key(), ms(c.window_ms)));
            ask.expires = at + patience;
            (of, after) = (Some(t.no), t.after.filter(|_| l.node == ORIGIN));
            self.world.observe(at, Fact::AttemptBegun { proxy, node: l.node, of: t.no });
            let crosses = self.proxies[proxy.0 as usize].hall != self.world.member(l.node).zone;
            let counts = self.world.recorder.work();
            counts.attempts += 1;
            counts.crossings += u64::from(crosses);
        }
        let attempt = self.attempts.insert(Attempt { link, of, ask, after });
        if let Some(a) = self.attempts.get_mut(attempt) {
            a.ask.job = attempt.number();
        }
        if let Some(l) = self.links.get_mut(link) {
            l.attempt = Some(attempt);
        }
        if let Some(arrives) = self.travel(at, link, true) {
            self.queue.plan(arrives, Event::Job(attempt));
            if self.world.network.breaks() {
                self.break_link(arrives, link, Stage::Reading);
            }
        }
    }

    /// A whole command reaches its node.
    fn job(&mut self, at: Micros, attempt: Ref) {
        let Some(a) = self.attempts.get(attempt).copied() else { return };
        let Some(l) = self.links.get(a.link).copied() else { return };
        let mut out = std::mem::take(&mut self.occurrences);
        match a.of {
            Some(_) => {
                let visit = NodeAttempt { proxy: l.proxy, request: a.ask, after: a.after };
                self.world.arrive(at, l.node, &visit, &mut out);
            }
            None => self.world.probe(at, l.node, a.ask.job, a.ask.connection, &mut out),
        }
        self.carry_occurrences(out);
    }

    fn replied(&mut self, at: Micros, link: Ref, attempt: Ref, answer: Answer) {
        let Some(l) = self.links.get_mut(link).filter(|l| l.open && !l.broken) else { return };
        l.attempt = l.attempt.filter(|a| *a != attempt);
        let (proxy, connection, node) = (l.proxy, l.connection, l.node);
        let Some(a) = self.attempts.remove(attempt) else { return };
        let mut reply = Reply {
            verdict: Verdict::Served,
            value: Vec::new(),
            note: 0,
            report: Vec::new(),
            keep: true,
            no_place: false,
        };
        match answer {
            Answer::Value => {
                reply.value = a.ask.of.0.to_be_bytes().to_vec();
                reply.note = u32::from(node != ORIGIN);
            }
            Answer::Miss { pending } => {
                (reply.verdict, reply.note) = (Verdict::Miss, 2 + u32::from(pending));
                if let Some(of) = a.of {
                    self.desk.missed(of, node);
                }
            }
            Answer::Error => reply.verdict = Verdict::Error,
            Answer::Busy => reply.verdict = Verdict::Full,
            Answer::Report(report) => reply.report = vec![report.errors_per_s, report.util],
            Answer::Corrupted | Answer::Reset => return,
        }
        self.input(at, proxy, Input::Replied(connection, reply));
    }

    /// The proxy closes a connection; the node hears of it, now or when a cut is over.
    fn close(&mut self, at: Micros, link: Ref) {
        let Some(l) = self.links.get_mut(link) else { return };
        l.open = false;
        let (broken, never) = (l.broken, !l.accepted && l.lost);
        let silent = self.silent.get(l.node.0 as usize).is_some_and(|s| *s);
        if broken || never || silent {
            return self.drop_link(link);
        }
        if let Some(arrives) = self.travel(at, link, true) {
            self.queue.plan(arrives, Event::Closed(link));
        }
    }

    /// The node's end of a connection is gone, as the proxy will hear.
    fn break_link(&mut self, at: Micros, link: Ref, stage: Stage) {
        if let Some(arrives) = self.travel(at, link, false) {
            self.queue.plan(arrives, Event::Broken(link, stage));
        }
    }

    /// The one place where a connection is given back, and with it what was asked on it.
    fn drop_link(&mut self, link: Ref) {
        if let Some(l) = self.links.remove(link) {
            if l.accepted && !l.broken {
                self.world.disconnect(l.node, link.number());
            }
            if let Some(attempt) = l.attempt {
                self.attempts.remove(attempt);
            }
        }
    }

    // ---- the world

    fn move_world(&mut self, at: Micros) {
        let mut out = std::mem::take(&mut self.occurrences);
        self.world.advance(at, &mut out);
        self.carry_occurrences(out);
    }

    fn carry_occurrences(&mut self, mut occurrences: Vec<(Micros, Occurrence)>) {
        for (at, what) in occurrences.drain(..) {
            match what {
                Occurrence::Answered { node, job, answer, work } => {
                    self.node_answered(at, node, Ref::from(job), answer, work);
                }
                Occurrence::Ended { node } => self.node_ended(at, node),
                Occurrence::Vanished { node } => {
                    if let Some(silent) = self.silent.get_mut(node.0 as usize) {
                        *silent = true;
                    }
                }
                Occurrence::Started { node } => self.node_started(node),
                Occurrence::ListUpdated(news) => self.queue.plan(at, Event::Told(Box::new(news))),
                Occurrence::CutOver { .. } => self.cut_over(at),
                Occurrence::Proxy { proxy, change } => match change {
                    ProxyChange::End => {
                        if let Some(p) = self.proxies.get_mut(proxy.0 as usize) {
                            p.ending = p.ending.or(Some(at));
                        }
                    }
                    ProxyChange::Die => self.end(at, proxy, false),
                    // One that runs runs on; one that ends has had its time, and is killed with all that it had.
                    ProxyChange::Start => {
                        let p = self.proxies.get(proxy.0 as usize);
                        if p.is_some_and(|p| p.subject.is_none() || p.ending.is_some_and(|s| at >= s + ENDS))
                        {
                            self.end(at, proxy, true);
                            self.start(at, proxy);
                        } else if let Some(p) = self.proxies.get_mut(proxy.0 as usize) {
                            p.again = p.ending.is_some();
                        }
                    }
                },
            }
        }
        // What was carried out may have brought a table of its own; the larger one is kept for the next time.
        if occurrences.capacity() > self.occurrences.capacity() {
            self.occurrences = occurrences;
        }
    }

    fn node_answered(&mut self, at: Micros, node: NodeNo, attempt: Ref, answer: Answer, work: f64) {
        let wasted = |engine: &mut Self| {
            if node != ORIGIN {
                engine.world.recorder.work().wasted_us += work;
            }
        };
        let Some(a) = self.attempts.get(attempt).copied() else { return wasted(self) };
        let open = self.links.get(a.link).is_some_and(|l| l.open && !l.lost);
        let waited = a.of.is_some_and(|of| self.desk.get(of).is_some());
        if node == ORIGIN && answer == Answer::Value && !a.ask.write && open {
            if let Some(missed) = a.of.and_then(|of| self.desk.get(of)).map(|t| t.missed) {
                self.world.store_value(at, &missed, a.ask.key, a.ask.bytes);
            }
        }
        if !open || !waited || answer == Answer::Error {
            wasted(self);
        }
        if matches!(answer, Answer::Corrupted | Answer::Reset) {
            if let Some(l) = self.links.get_mut(a.link) {
                l.broken = true;
            }
            self.world.disconnect(node, a.link.number());
            return self.break_link(at, a.link, Stage::Reading);
        }
        if let Some(arrives) = self.travel(at, a.link, false) {
            self.queue.plan(arrives, Event::Replied(a.link, attempt, answer));
        }
    }

    /// A process is gone: all its connections break.
    fn node_ended(&mut self, at: Micros, node: NodeNo) {
        for link in self.links.which(|l| l.node == node && !l.broken) {
            let Some(l) = self.links.get_mut(link) else { continue };
            l.broken = true;
            let stage = if l.attempt.is_some() { Stage::Reading } else { Stage::Idle };
            if let Some(attempt) = l.attempt.take() {
                self.attempts.remove(attempt);
            }
            self.break_link(at, link, stage);
        }
    }

    fn node_started(&mut self, node: NodeNo) {
        let address = self.world.member(node).address as usize;
        if self.listens.len() <= address {
            self.listens.resize(address + 1, ORIGIN);
        }
        self.listens[address] = node;
        let no = node.0 as usize;
        if self.silent.len() <= no {
            self.silent.resize(no + 1, false);
        }
        self.silent[no] = false;
    }

    /// Connections that lost something while a hall was cut off are broken, now that it is back.
    fn cut_over(&mut self, at: Micros) {
        let world = &self.world;
        let proxies = &self.proxies;
        let back = |l: &Link| {
            let (here, there) = (proxies[l.proxy.0 as usize].hall, world.member(l.node).zone);
            l.lost && !world.network.is_cut(here, there)
        };
        for link in self.links.which(back) {
            let Some(l) = self.links.get_mut(link) else { continue };
            if self.silent.get(l.node.0 as usize).is_some_and(|s| *s) {
                continue;
            }
            l.lost = false;
            if !l.open {
                self.drop_link(link);
                continue;
            }
            let stage = if l.attempt.is_some() { Stage::Reading } else { Stage::Idle };
            let accepted = l.accepted && !l.broken;
            let node = l.node;
            l.broken = true;
            if accepted {
                self.world.disconnect(node, link.number());
            }
            self.break_link(at, link, stage);
        }
    }
}
