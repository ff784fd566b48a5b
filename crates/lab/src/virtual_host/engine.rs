//! The discrete-event engine: takes the next event in virtual time and dispatches it.

use super::downstreams::{Admittance, Downstreams, SYN_RETRY};
use super::links::{Attempt, Handle, Link, SlotTable};
use super::queue::Queue;
use super::site;
use super::subject::{Start, Subject, Subjects};
use martenweir::core::{
    Answer as CoreAnswer, ConnectionId, DownstreamId, Effect, Input, Job, Message, NewStream as Stream,
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

/// How often discovery sends a keep-alive.
const DISCOVERY_KEEP_ALIVE: Micros = 2_000_000;
/// A client closes the connection of an unanswered try this long after its timeout and the proxy's answer
/// grace.
const CLOSE_DELAY: Micros = 100_000;
/// Times of a graceful shutdown, as in the program's owner task: new connections are accepted for
/// `SHUTDOWN_ACCEPTS`; open streams get the longest limit of all classes, at most `MAX_DRAIN`, plus
/// `DRAIN_MARGIN`.
const SHUTDOWN_ACCEPTS: Micros = 500_000;
const MAX_DRAIN: Micros = 3_000_000;
const DRAIN_MARGIN: Micros = 300_000;
/// A proxy that was told to shut down has ended after this long.
const MAX_SHUTDOWN: Micros = MAX_DRAIN + DRAIN_MARGIN;
/// A run ends at the latest this long after the scenario's end, whatever is still open.
const MAX_OVERTIME: Micros = 30_000_000;

#[derive(Clone, Debug)]
enum Event {
    /// A try reaches its proxy.
    TryArrives(TryNo),
    /// A client sends its next try.
    Retry(RequestSlot),
    /// A client's timeout for a try expires; later, the client closes the connection.
    TryTimedOut(TryNo),
    ClientCloses(TryNo),
    /// A connection attempt reaches its node; its acceptance reaches the proxy.
    DialArrives(Handle),
    Connected(Handle),
    /// The whole command of an attempt or a probe reaches its node.
    CommandArrives(Handle),
    /// A node's answer reaches the proxy.
    Replied(Handle, Handle, Answer),
    /// The proxy detects that a connection broke; the node detects that the proxy closed one.
    Broken(Handle, Stage),
    Closed(Handle),
    Tick(ProxyNo, u32),
    /// The discovery agent of a proxy answers a watch.
    Listed(ProxyNo, u32, Option<u64>),
    /// An update of discovery's list reaches a proxy.
    ListUpdateArrives(Box<ListUpdate>),
    /// The downstream connections of a proxy are due for processing.
    DownstreamsDue(ProxyNo, u32),
    /// The sizes of the proxies' tables are sampled.
    SampleSizes,
}

/// A proxy of the scenario and its process, if one runs.
struct Proxy {
    zone: u16,
    subject: Option<Box<dyn Subject>>,
    settings: Settings,
    /// Changes at each start and end of the process, so that events for an earlier process are recognised and
    /// dropped.
    incarnation: u32,
    links: Map<ConnectionId, Handle>,
    /// When the process was told to shut down.
    shutting_down_since: Option<Micros>,
    /// Whether the process is restarted as soon as it has ended.
    restart_when_ended: bool,
    /// When discovery last sent a keep-alive.
    last_keep_alive: Micros,
    /// The downstream connections, in scenarios with a crowd, and the time of the next event planned for
    /// them.
    downstreams: Option<Downstreams>,
    downstreams_due: Micros,
}

/// The state of one run.
pub struct Engine<'a> {
    world: World,
    requests: RequestTable,
    arrivals: Peekable<Arrivals>,
    subjects: &'a dyn Subjects,
    proxies: Vec<Proxy>,
    links: SlotTable<Link>,
    attempts: SlotTable<Attempt>,
    queue: Queue<Event>,
    /// The node that listens at each address; the origin is at 0.
    listening: Vec<NodeNo>,
    /// By node number: whether the machine vanished, so that nothing reaches it or comes back from it.
    silent: Vec<bool>,
    /// Buffers, kept to reuse their allocations.
    occurrences: Vec<(Micros, Occurrence)>,
    effects: Vec<Effect>,
    grace: Micros,
    /// Connection counts of all proxy processes that have ended.
    connection_counts: ConnectionCounts,
    /// Sizes of the proxies' tables, if the scenario asks for them.
    sizes: Option<Sizes>,
}

impl<'a> Engine<'a> {
    pub fn new(world: World, subjects: &'a dyn Subjects) -> Self {
        let proxies = world.proxies().iter().enumerate().map(|(i, zone)| Proxy {
            zone: *zone,
            subject: None,
            settings: site::settings(&world, ProxyNo(i as u32)),
            incarnation: 0,
            links: Map::default(),
            shutting_down_since: None,
            restart_when_ended: false,
            last_keep_alive: 0,
            downstreams: None,
            downstreams_due: Micros::MAX,
        });
        let proxies = proxies.collect();
        let mut listening = vec![ORIGIN];
        listening.extend(world.members().iter().map(|m| m.no));
        Engine {
            requests: world.request_table(),
            arrivals: world.arrivals().peekable(),
            proxies,
            links: SlotTable::new(),
            attempts: SlotTable::new(),
            queue: Queue::new(),
            silent: vec![false; listening.len()],
            listening,
            occurrences: Vec::new(),
            effects: Vec::new(),
            grace: ms(world.scenario().rules.answer_grace_ms),
            connection_counts: ConnectionCounts::default(),
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
            self.queue.plan(sizes.every_us, Event::SampleSizes);
        }
        let (mut now, mut next_progress) = (0, 0);
        loop {
            let (world_next, queue_next) = (self.world.next(), self.queue.next());
            let arrives = self.arrivals.peek().map_or(Micros::MAX, |r| r.at);
            let at = world_next.min(queue_next).min(arrives);
            let over = arrives == Micros::MAX && self.requests.live() == 0 && self.requests.tries() == 0;
            if (over && at >= end) || at > end + MAX_OVERTIME {
                now = now.max(end);
                break;
            }
            now = at;
            if now >= next_progress {
                progress(now as f64 / end as f64);
                next_progress = now + 1_000_000;
            }
            // The order at equal times: changes of the world, then new requests, then planned events.
            if world_next <= at {
                self.advance_world(at);
            } else if arrives <= at {
                if let Some(request) = self.arrivals.next() {
                    let slot = self.requests.open(request, &mut self.world.recorder);
                    self.send_try(at, slot);
                }
            } else {
                let requests = &self.requests;
                let still_relevant = |e: &Event| match e {
                    Event::TryTimedOut(of) | Event::ClientCloses(of) => requests.get(*of).is_some(),
                    _ => true,
                };
                if let Some((at, event)) = self.queue.take(at, still_relevant) {
                    self.handle(at, event);
                }
            }
        }
        (0..self.proxies.len()).for_each(|i| self.close_downstreams(ProxyNo(i as u32)));
        let doorway = self.world.scenario().crowd.as_ref().map(|_| self.connection_counts);
        Run { doorway, sizes: self.sizes, ..self.world.finish(now, Lateness::default()) }
    }

    fn handle(&mut self, at: Micros, event: Event) {
        match event {
            Event::TryArrives(of) => self.try_arrives(at, of),
            Event::Retry(slot) => self.send_try(at, slot),
            Event::TryTimedOut(of) => self.try_timed_out(at, of),
            Event::ClientCloses(of) => self.client_closes(at, of),
            Event::DialArrives(link) => self.dial_arrives(at, link),
            Event::Connected(link) => {
                if let Some(l) = self.links.get(link).filter(|l| l.open && !l.broken).copied() {
                    self.input(at, l.proxy, Input::Connected(l.connection));
                }
            }
            Event::CommandArrives(attempt) => self.command_arrives(at, attempt),
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
            Event::Tick(proxy, incarnation) => self.tick(at, proxy, incarnation),
            Event::Listed(proxy, incarnation, after) => {
                if self.proxies[proxy.0 as usize].incarnation == incarnation
                    && !self.world.discovery().is_silent()
                {
                    let (revision, entries) = self.world.discovery().known(proxy, after);
                    let list = site::cluster(&self.world, revision, after.is_none(), &entries);
                    self.input(at, proxy, Input::Cluster(Some(list)));
                }
            }
            Event::DownstreamsDue(proxy, incarnation) => {
                let p = &mut self.proxies[proxy.0 as usize];
                if p.incarnation == incarnation && p.downstreams_due <= at {
                    p.downstreams_due = Micros::MAX;
                    self.process_downstreams(at, proxy);
                }
            }
            Event::SampleSizes => self.sample_sizes(at),
            Event::ListUpdateArrives(update) => {
                let list = site::cluster(&self.world, update.revision, false, &[update.entry]);
                self.input(at, update.proxy, Input::Cluster(Some(list)));
            }
        }
    }

    // ---- clients

    /// Sends a client's try to the proxy that the load balancer picks.
    fn send_try(&mut self, at: Micros, slot: RequestSlot) {
        let Some(request) = self.requests.request(slot) else { return };
        let Some(proxy) = self.world.front().pick(request.zone, request.no.0 ^ (at as u64) << 20) else {
            let next = self.requests.unreached(at, slot, &mut self.world.recorder);
            return self.retry(next);
        };
        if let Some(t) = self.requests.send(at, slot, proxy, &mut self.world.recorder) {
            let arrives = at + self.world.network.to_client();
            self.queue.plan(arrives, Event::TryArrives(t.no));
            self.queue.plan_late(t.until, Event::TryTimedOut(t.no));
        }
    }

    fn retry(&mut self, next: Option<(Micros, RequestSlot)>) {
        if let Some((at, slot)) = next {
            self.queue.plan(at, Event::Retry(slot));
        }
    }

    /// Ends a try for its client and plans the next one, if there is one.
    fn end_try(&mut self, at: Micros, of: TryNo, end: TryEnd) {
        let next = self.requests.end(at, of, end, &mut self.world.recorder);
        self.retry(next);
    }

    fn try_arrives(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.requests.get(of).copied() else { return };
        let proxy = &self.proxies[t.proxy.0 as usize];
        let accepts = proxy.subject.is_some()
            && proxy.shutting_down_since.is_none_or(|since| at < since + SHUTDOWN_ACCEPTS);
        if !accepts {
            let delivered_at = at + self.world.network.to_client();
            self.end_try(delivered_at.min(t.until), of, TryEnd::Unreached);
            return self.requests.forget(at, of);
        }
        let Some(downstreams) = self.proxies[t.proxy.0 as usize].downstreams.as_mut() else {
            return self.try_read(at, of);
        };
        let admittance = downstreams.request_connection(at, of);
        match admittance {
            Admittance::Assigned => self.try_read(at, of),
            Admittance::Queued => {}
            Admittance::BacklogFull => self.queue.plan(at + SYN_RETRY, Event::TryArrives(of)),
        }
        self.process_downstreams(at, t.proxy);
    }

    /// Processes what is due at a proxy's downstream connections and plans the next event for them.
    fn process_downstreams(&mut self, at: Micros, proxy: ProxyNo) {
        let p = &mut self.proxies[proxy.0 as usize];
        let Some(downstreams) = p.downstreams.as_mut() else { return };
        let mut assigned = Vec::new();
        downstreams.step(at, p.links.len(), &mut assigned);
        let (next, incarnation) = (downstreams.next(at), p.incarnation);
        if next < p.downstreams_due {
            p.downstreams_due = next;
            self.queue.plan(next, Event::DownstreamsDue(proxy, incarnation));
        }
        assigned.into_iter().for_each(|of| self.try_read(at, of));
    }

    fn close_downstreams(&mut self, proxy: ProxyNo) {
        if let Some(downstreams) = self.proxies[proxy.0 as usize].downstreams.take() {
            self.connection_counts.merge(&downstreams.counts);
        }
    }

    /// Passes a try that a proxy has read to its core.
    fn try_read(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.requests.get(of).copied() else { return };
        let patience = (t.until - t.sent).max(1);
        let (class, r) = (t.request.class, t.request);
        self.world.observe(at, Fact::Taken { proxy: t.proxy, of, class, deadline: at + patience });
        let write = self.requests.class(&r).is_some_and(|c| c.write);
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

    /// Handles a client's timeout for a try. The client keeps its connection open until the proxy's answer is
    /// overdue by the rules of the scenario.
    fn try_timed_out(&mut self, at: Micros, of: TryNo) {
        if self.requests.get(of).is_some() {
            self.end_try(at, of, TryEnd::Left);
            self.queue.plan(at + self.grace + CLOSE_DELAY, Event::ClientCloses(of));
        }
    }

    fn client_closes(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.requests.get(of).copied() else { return };
        self.requests.forget(at, of);
        if let Some(downstreams) = self.proxies[t.proxy.0 as usize].downstreams.as_mut() {
            downstreams.left(of);
        }
        self.world.observe(at, Fact::Left { proxy: t.proxy, of });
        self.input(at, t.proxy, Input::DownstreamClosed(DownstreamId(of.0)));
    }

    /// Records a proxy's answer to a try and delivers it to the client.
    fn try_answered(&mut self, at: Micros, proxy: ProxyNo, of: TryNo, answer: CoreAnswer) {
        let made_for = |value: &[u8]| value.try_into().ok().map(|id| TryNo(u64::from_be_bytes(id)));
        let (how, end) = match &answer {
            CoreAnswer::Value(value) => (Final::Served { made_for: made_for(value) }, TryEnd::Served),
            CoreAnswer::Busy(after) => (Final::Refused, TryEnd::Refused(*after)),
            // Every key exists in the simulated world, so an answer that a key is absent is a failure.
            CoreAnswer::Absent
            | CoreAnswer::Failed
            | CoreAnswer::Late
            | CoreAnswer::DuplicateId
            | CoreAnswer::RepeatedId => (Final::Failed, TryEnd::Failed),
        };
        self.world.observe(at, Fact::Answered { proxy, of, how });
        if let Some(downstreams) = self.proxies[proxy.0 as usize].downstreams.as_mut() {
            if let Some(next) = downstreams.answered(at, of) {
                self.try_read(at, next);
            }
            self.process_downstreams(at, proxy);
        }
        let Some(t) = self.requests.get(of).copied() else { return };
        // The client does not see an answer that arrives after its timeout: for it the try ends at the
        // timeout.
        let delivered_at = at + self.world.network.to_client();
        if delivered_at <= t.until {
            self.end_try(delivered_at, of, end);
        } else {
            self.end_try(t.until, of, TryEnd::Left);
        }
        self.requests.forget(at, of);
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
        p.incarnation += 1;
        let seed = seed_of(self.world.seed(), "proxy", u64::from(proxy.0) | u64::from(p.incarnation) << 32);
        let settings = p.settings.clone();
        (p.shutting_down_since, p.last_keep_alive) = (None, at);
        p.subject =
            Some(self.subjects.start(Start { proxy, now: at, settings, seed, max_node_connections, known }));
        let incarnation = p.incarnation;
        let s = self.world.scenario();
        let (crowd, n) = (s.crowd.as_ref(), u64::from(proxy.0) | u64::from(incarnation) << 32);
        let rng = stream(self.world.seed(), "crowd", n);
        p.downstreams = crowd
            .map(|c| Downstreams::new(c, s.proxies.count, s.proxies.sockets, s.proxies.memory_mb, rng, at));
        p.downstreams_due = Micros::MAX;
        self.plan_tick(at, proxy, incarnation);
        self.process_downstreams(at, proxy);
        self.apply_effects(at, proxy);
    }

    fn plan_tick(&mut self, at: Micros, proxy: ProxyNo, incarnation: u32) {
        let period = self.proxies[proxy.0 as usize].settings.period.max(1_000);
        self.queue.plan((at / period + 1) * period, Event::Tick(proxy, incarnation));
    }

    fn tick(&mut self, at: Micros, proxy: ProxyNo, incarnation: u32) {
        let p = &mut self.proxies[proxy.0 as usize];
        if p.incarnation != incarnation {
            return;
        }
        let Some(subject) = p.subject.as_mut() else { return };
        subject.tick(at);
        if at - p.last_keep_alive >= DISCOVERY_KEEP_ALIVE && !self.world.discovery().is_silent() {
            p.last_keep_alive = at;
            subject.input(at, Input::Cluster(None));
        }
        let done_shutting_down = p.shutting_down_since.is_some_and(|since| {
            let longest = p.settings.classes.iter().map(|c| c.limit).max().unwrap_or(MAX_DRAIN);
            let drained = subject.open_streams() == 0 && at >= since + SHUTDOWN_ACCEPTS;
            drained || at >= since + longest.min(MAX_DRAIN) + DRAIN_MARGIN
        });
        self.apply_effects(at, proxy);
        if done_shutting_down {
            self.end(at, proxy, true);
            if std::mem::take(&mut self.proxies[proxy.0 as usize].restart_when_ended) {
                self.start(at, proxy);
            }
            return;
        }
        self.plan_tick(at, proxy, incarnation);
    }

    /// Ends a proxy's process: its connections to nodes are closed, its open tries fail.
    fn end(&mut self, at: Micros, proxy: ProxyNo, planned: bool) {
        let p = &mut self.proxies[proxy.0 as usize];
        if p.subject.take().is_none() {
            return;
        }
        p.incarnation += 1;
        p.shutting_down_since = None;
        self.close_downstreams(proxy);
        let p = &mut self.proxies[proxy.0 as usize];
        let mut links: Vec<(ConnectionId, Handle)> = p.links.drain().collect();
        links.sort_unstable();
        self.world.observe(at, Fact::ProxyEnded { proxy, planned });
        for (_, link) in links {
            self.close(at, link);
        }
        for of in self.requests.at(proxy) {
            let delivered_at = at + self.world.network.to_client();
            if let Some(t) = self.requests.get(of).copied() {
                self.end_try(delivered_at.min(t.until), of, TryEnd::Failed);
                self.requests.forget(at, of);
            }
        }
    }

    fn input(&mut self, at: Micros, proxy: ProxyNo, input: Input) {
        if let Some(subject) = self.proxies[proxy.0 as usize].subject.as_mut() {
            subject.input(at, input);
            self.apply_effects(at, proxy);
        }
    }

    fn apply_effects(&mut self, at: Micros, proxy: ProxyNo) {
        let p = &mut self.proxies[proxy.0 as usize];
        let (incarnation, Some(subject)) = (p.incarnation, p.subject.as_mut()) else { return };
        let mut effects = std::mem::take(&mut self.effects);
        subject.take_effects(&mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Answer { downstream, answer, .. } => {
                    self.try_answered(at, proxy, TryNo(downstream.0), answer);
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
                Effect::Watch { after } => self.queue.plan(at + 1, Event::Listed(proxy, incarnation, after)),
                // Here a job is written at once and whole, so none can be withdrawn.
                Effect::Withdraw { .. } | Effect::Note(_) | Effect::StreamEnded(_) | Effect::NodeEvent(_) => {
                }
            }
        }
        self.effects = effects;
    }

    /// Samples the sizes of the proxies' tables and plans the next sample, until the scenario's end.
    fn sample_sizes(&mut self, at: Micros) {
        let end = seconds(self.world.scenario().seconds);
        let Some(sizes) = self.sizes.as_mut() else { return };
        let running = self.proxies.iter().filter_map(|p| p.subject.as_ref());
        sizes.take(running.flat_map(|s| s.sizes()));
        let next = at + sizes.every_us;
        if next <= end {
            self.queue.plan(next, Event::SampleSizes);
        }
    }

    // ---- connections

    /// Returns when a message on a connection arrives at the other end, or `None` if it is lost. From a loss
    /// on, the connection carries nothing.
    fn transmit(&mut self, at: Micros, link: Handle, out: bool) -> Option<Micros> {
        let l = self.links.get_mut(link)?;
        let (here, there) = (self.proxies[l.proxy.0 as usize].zone, self.world.member(l.node).zone);
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
        let node = self.listening.get(address as usize).copied().unwrap_or(ORIGIN);
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
        if let Some(arrives) = self.transmit(at, link, true) {
            self.queue.plan(arrives, Event::DialArrives(link));
        }
    }

    fn dial_arrives(&mut self, at: Micros, link: Handle) {
        let Some(l) = self.links.get(link).filter(|l| l.open).copied() else { return };
        match self.world.connect(at, l.node, link.number()) {
            DialOutcome::Accepted => {
                if let Some(l) = self.links.get_mut(link) {
                    l.accepted = true;
                }
                if let Some(arrives) = self.transmit(at, link, false) {
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
        let mut node_request = NodeRequest::nothing(0, link.number());
        let (mut of, mut after) = (None, None);
        if let Job::Stream { message, patience } = job {
            let id = message.id.as_slice().try_into().map_or(0, u64::from_be_bytes);
            let Some(t) = self.requests.find_recent(TryNo(id)).copied() else { return };
            let (r, class) = (t.request, self.requests.class(&t.request));
            let keyed = class.filter(|c| c.repeat == world::scenario::Repeat::Keyed);
            node_request.of = t.no;
            node_request.class = r.class;
            node_request.key = r.key;
            node_request.write = message.value.is_some();
            node_request.work = r.work;
            node_request.bytes = r.bytes;
            node_request.repeat = keyed.map(|c| (r.repeat_key(), ms(c.window_ms)));
            node_request.expires = at + patience;
            (of, after) = (Some(t.no), t.after.filter(|_| l.node == ORIGIN));
            self.world.observe(at, Fact::AttemptBegun { proxy, node: l.node, of: t.no });
            let crosses_zones = self.proxies[proxy.0 as usize].zone != self.world.member(l.node).zone;
            let counts = self.world.recorder.work();
            counts.attempts += 1;
            counts.crossings += u64::from(crosses_zones);
        }
        let attempt = self.attempts.insert(Attempt { link, of, node_request, after });
        if let Some(a) = self.attempts.get_mut(attempt) {
            a.node_request.job = attempt.number();
        }
        if let Some(l) = self.links.get_mut(link) {
            l.attempt = Some(attempt);
        }
        if let Some(arrives) = self.transmit(at, link, true) {
            self.queue.plan(arrives, Event::CommandArrives(attempt));
            if self.world.network.breaks() {
                self.break_link(arrives, link, Stage::Reading);
            }
        }
    }

    /// Passes a command that has reached its node to the world.
    fn command_arrives(&mut self, at: Micros, attempt: Handle) {
        let Some(a) = self.attempts.get(attempt).copied() else { return };
        let Some(l) = self.links.get(a.link).copied() else { return };
        let mut out = std::mem::take(&mut self.occurrences);
        match a.of {
            Some(_) => {
                let node_attempt = NodeAttempt { proxy: l.proxy, request: a.node_request, after: a.after };
                self.world.arrive(at, l.node, &node_attempt, &mut out);
            }
            None => self.world.probe(at, l.node, a.node_request.job, a.node_request.connection, &mut out),
        }
        self.handle_occurrences(out);
    }

    fn replied(&mut self, at: Micros, link: Handle, attempt: Handle, answer: Answer) {
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
                reply.value = a.node_request.of.0.to_be_bytes().to_vec();
                reply.note = u32::from(node != ORIGIN);
            }
            Answer::Miss { pending } => {
                (reply.verdict, reply.note) = (Verdict::Miss, 2 + u32::from(pending));
                if let Some(of) = a.of {
                    self.requests.missed(of, node);
                }
            }
            Answer::Error => reply.verdict = Verdict::Error,
            Answer::Busy => reply.verdict = Verdict::Full,
            Answer::Report(report) => reply.report = vec![report.errors_per_s, report.util],
            Answer::Corrupted | Answer::Reset => return,
        }
        self.input(at, proxy, Input::Replied(connection, reply));
    }

    /// Closes a connection on the proxy's side; the node detects it after the network delay, or once a cut is
    /// over.
    fn close(&mut self, at: Micros, link: Handle) {
        let Some(l) = self.links.get_mut(link) else { return };
        l.open = false;
        let (broken, never_accepted) = (l.broken, !l.accepted && l.lost);
        let silent = self.silent.get(l.node.0 as usize).is_some_and(|s| *s);
        if broken || never_accepted || silent {
            return self.drop_link(link);
        }
        if let Some(arrives) = self.transmit(at, link, true) {
            self.queue.plan(arrives, Event::Closed(link));
        }
    }

    /// Plans the moment at which the proxy detects that a connection broke on the node's side.
    fn break_link(&mut self, at: Micros, link: Handle, stage: Stage) {
        if let Some(arrives) = self.transmit(at, link, false) {
            self.queue.plan(arrives, Event::Broken(link, stage));
        }
    }

    /// Removes a connection and the attempt on it. No other code removes a connection.
    fn drop_link(&mut self, link: Handle) {
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

    fn advance_world(&mut self, at: Micros) {
        let mut out = std::mem::take(&mut self.occurrences);
        self.world.advance(at, &mut out);
        self.handle_occurrences(out);
    }

    fn handle_occurrences(&mut self, mut occurrences: Vec<(Micros, Occurrence)>) {
        for (at, what) in occurrences.drain(..) {
            match what {
                Occurrence::Answered { node, job, answer, work } => {
                    self.node_answered(at, node, Handle::from(job), answer, work);
                }
                Occurrence::Ended { node } => self.node_ended(at, node),
                Occurrence::Vanished { node } => {
                    if let Some(silent) = self.silent.get_mut(node.0 as usize) {
                        *silent = true;
                    }
                }
                Occurrence::Started { node } => self.node_started(node),
                Occurrence::ListUpdated(update) => {
                    self.queue.plan(at, Event::ListUpdateArrives(Box::new(update)))
                }
                Occurrence::CutOver { .. } => self.cut_ended(at),
                Occurrence::Proxy { proxy, change } => match change {
                    ProxyChange::End => {
                        if let Some(p) = self.proxies.get_mut(proxy.0 as usize) {
                            p.shutting_down_since = p.shutting_down_since.or(Some(at));
                        }
                    }
                    ProxyChange::Die => self.end(at, proxy, false),
                    // A running process goes on. One that shuts down is restarted when it has ended, or is
                    // killed now if its time for that is over.
                    ProxyChange::Start => {
                        let p = self.proxies.get(proxy.0 as usize);
                        if p.is_some_and(|p| {
                            p.subject.is_none()
                                || p.shutting_down_since.is_some_and(|s| at >= s + MAX_SHUTDOWN)
                        }) {
                            self.end(at, proxy, true);
                            self.start(at, proxy);
                        } else if let Some(p) = self.proxies.get_mut(proxy.0 as usize) {
                            p.restart_when_ended = p.shutting_down_since.is_some();
                        }
                    }
                },
            }
        }
        // Handling an occurrence may have stored a new buffer in the meantime; the larger of the two is kept.
        if occurrences.capacity() > self.occurrences.capacity() {
            self.occurrences = occurrences;
        }
    }

    fn node_answered(&mut self, at: Micros, node: NodeNo, attempt: Handle, answer: Answer, work: f64) {
        let wasted = |engine: &mut Self| {
            if node != ORIGIN {
                engine.world.recorder.work().wasted_us += work;
            }
        };
        let Some(a) = self.attempts.get(attempt).copied() else { return wasted(self) };
        let open = self.links.get(a.link).is_some_and(|l| l.open && !l.lost);
        let try_open = a.of.is_some_and(|of| self.requests.get(of).is_some());
        if node == ORIGIN && answer == Answer::Value && !a.node_request.write && open {
            if let Some(missed) = a.of.and_then(|of| self.requests.get(of)).map(|t| t.missed) {
                self.world.store_value(at, &missed, a.node_request.key, a.node_request.bytes);
            }
        }
        if !open || !try_open || answer == Answer::Error {
            wasted(self);
        }
        if matches!(answer, Answer::Corrupted | Answer::Reset) {
            if let Some(l) = self.links.get_mut(a.link) {
                l.broken = true;
            }
            self.world.disconnect(node, a.link.number());
            return self.break_link(at, a.link, Stage::Reading);
        }
        if let Some(arrives) = self.transmit(at, a.link, false) {
            self.queue.plan(arrives, Event::Replied(a.link, attempt, answer));
        }
    }

    /// Breaks all connections of a node whose process ended.
    fn node_ended(&mut self, at: Micros, node: NodeNo) {
        for link in self.links.find_all(|l| l.node == node && !l.broken) {
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
        if self.listening.len() <= address {
            self.listening.resize(address + 1, ORIGIN);
        }
        self.listening[address] = node;
        let no = node.0 as usize;
        if self.silent.len() <= no {
            self.silent.resize(no + 1, false);
        }
        self.silent[no] = false;
    }

    /// Breaks the connections that lost a message while a zone was cut off, now that the cut is over.
    fn cut_ended(&mut self, at: Micros) {
        let world = &self.world;
        let proxies = &self.proxies;
        let restored = |l: &Link| {
            let (here, there) = (proxies[l.proxy.0 as usize].zone, world.member(l.node).zone);
            l.lost && !world.network.is_cut(here, there)
        };
        for link in self.links.find_all(restored) {
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
