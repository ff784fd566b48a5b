//! The loop: real machines, virtual time. One thread, one seed.
//!
//! The engine does what hosts do: it dials, moves messages with the sizes of their frames, closes what waits too long,
//! writes down what stores persist before what follows goes out, and calls the machines when they are due, each by its
//! own clock. Between control machines and clients messages pass through the real frames; to proxies one message is
//! shared, and only its size is taken from the frame.

use super::clients::*;
use super::judge::{Bounds, Judge};
use super::network::{delay, Clock, Conn, End, Link, Sent};
use super::places::Places;
use super::scenario::{Act, Hang, Keeps, Part, Scenario, FAULT, LOAD, S, WARM};
use super::Node;
use crate::virtual_host::queue::Queue;
use dissemination::control::{ConnectionKind, Output as Told};
use dissemination::follower::Output as Done;
use dissemination::{
    frame, order, Change, Control, ControlId, Follower, FollowerId, Head, Message, Micros, SavedState,
};
use dissemination::{Location, Record, Rules, StreamId, TopicKind};
use rand::RngExt;
use rustix::time::{clock_gettime, ClockId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use world::geography::{Geography, Size, Spot};
use world::random::{exponential, mix, stream, Map, Random};

/// What a store's append and fdatasync take.
const PERSIST: Micros = 2_000;
/// How long a host waits for a connection.
const DIAL: Micros = 3 * S;
/// A SYN that is lost comes again after a second (RFC 6298).
const SYN_AGAIN: Micros = S;
/// Purges a second, and changes of the configuration: 51,000 a day.
pub const PURGES: f64 = 190.0;
/// See [`PURGES`].
pub const CONFIGURED: f64 = 51_000.0 / 86_400.0;
/// A purge is a hash of 6 bytes.
const PURGE: usize = 6;
/// Keys of the configuration, and the bytes of a value: a lognormal of this mean, cut at these.
const KEYS: u32 = 500;
const LARGEST_KEY: u32 = KEYS;
const REFUSED_KEY: u32 = KEYS + 1;
const VALUE: f64 = 200.0;
const VALUES: [f64; 2] = [32.0, 1024.0];
/// One call in so many is timed.
const TIMED: u64 = 13;
/// Proxies start within this.
const START: Micros = 5 * S;
/// A machine that is due at once again and again is called no more often than this.
const AGAIN: Micros = 200;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Setting {
    pub proxies: u32,
    pub seed: u64,
    pub bounds: Bounds,
    /// The machines' rules; the number of control machines is set by the size.
    pub rules: Rules,
}

impl Setting {
    pub fn new(proxies: u32, seed: u64) -> Setting {
        let rules = Rules { controls: Size::of(proxies).controls as u8, ..Rules::default() };
        Setting { proxies, seed, bounds: Bounds::default(), rules }
    }
}

/// Time of calls, taken from some of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    calls: u64,
    timed: u64,
    ns: u64,
}

impl Meter {
    fn run<R>(&mut self, call: impl FnOnce() -> R) -> R {
        self.calls += 1;
        if !self.calls.is_multiple_of(TIMED) {
            return call();
        }
        let now = || {
            let t = clock_gettime(ClockId::ThreadCPUTime);
            t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
        };
        let before = now();
        let result = call();
        self.ns += now().saturating_sub(before);
        self.timed += 1;
        result
    }

    /// Seconds of all calls, by those that were timed.
    pub fn seconds(&self) -> f64 {
        self.ns as f64 / 1e9 * self.calls as f64 / self.timed.max(1) as f64
    }
}

enum Item {
    Message(Rc<Message>, u32),
    End,
}

enum Event {
    Tick(Node, Micros),
    Up(Conn, End),
    Arrive(Conn, End, Item),
    /// No connection came up.
    Failed(Conn, Node, ControlId),
    Full(Conn, End),
    Redial(u16, ControlId),
    Act(usize),
    Purge,
    Configure,
    Patience(u32, u32),
    Ask,
    Trace,
    Roll(usize, bool),
    StartProxy(usize),
}

struct ControlNode {
    machine: Option<Control>,
    clock: Clock,
    spot: Spot,
    disk: Vec<Record>,
    copy: Vec<Record>,
    rules: Rules,
    links: BTreeSet<Conn>,
    tick_at: Micros,
    hang: Option<Hang>,
    inbox: VecDeque<Event>,
    slow: Micros,
    dark: bool,
}

struct ProxyNode {
    machine: Option<Follower>,
    clock: Clock,
    spot: Spot,
    id: FollowerId,
    links: Vec<(ControlId, Conn)>,
    tick_at: Micros,
    life: u64,
    kept: Option<SavedState>,
    note: Option<SavedState>,
    dark: bool,
}

/// Bytes, messages of a control machine, by second.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub messages: u64,
    pub seconds: Vec<u64>,
}

/// See the file's comment.
pub struct World {
    now: Micros,
    queue: Queue<Event>,
    rng: Random,
    load: Random,
    places: Places,
    scenario: Scenario,
    setting: Setting,
    rules: Rules,
    controls: Vec<ControlNode>,
    proxies: Vec<ProxyNode>,
    clients: Vec<Client>,
    links: Map<Conn, Link<Item>>,
    last_link: Conn,
    cuts: Vec<(Part, Part)>,
    pending: BTreeMap<u32, Pending>,
    last_token: u32,
    factor: f64,
    traces: Vec<Trace>,
    questions: BTreeMap<u32, usize>,
    latest: Option<Trace>,
    asked_at: ControlId,
    unanswered: u32,
    poison: Option<(StreamId, u64)>,
    largest: Option<(StreamId, u64)>,
    /// The message that was measured last, and its bytes.
    sized: Option<(Rc<Message>, usize)>,
    outs: Vec<Told>,
    dones: Vec<Done>,
    pub judge: Judge,
    pub meters: [Meter; 3],
    pub lanes: Vec<Lane>,
    pub submitted: hdrhistogram::Histogram<u64>,
    pub busy: u64,
    pub refused: u64,
    pub closed: BTreeMap<String, u64>,
    pub taken: u64,
    pub events: u64,
}

impl World {
    /// A fleet that is about to start. It fails on rules that do not fit.
    pub fn new(setting: Setting, scenario: Scenario) -> Result<World, &'static str> {
        let size = Size::of(setting.proxies);
        let geography = Geography::draw(size, setting.seed);
        let mut rng = stream(setting.seed, "network", 0);
        let rules = setting.rules.clone();
        let clock = |rng: &mut Random| Clock {
            off: rng.random_range(0..1_000_000_000_000),
            ppm: rng.random_range(-100..=100),
        };
        let controls: Vec<ControlNode> = geography
            .controls
            .iter()
            .map(|spot| ControlNode {
                machine: None,
                clock: clock(&mut rng),
                spot: *spot,
                disk: Vec::new(),
                copy: Vec::new(),
                rules: rules.clone(),
                links: BTreeSet::new(),
                tick_at: Micros::MAX,
                hang: None,
                inbox: VecDeque::new(),
                slow: 0,
                dark: false,
            })
            .collect();
        let proxies: Vec<ProxyNode> = geography
            .proxies
            .iter()
            .enumerate()
            .map(|(n, spot)| ProxyNode {
                machine: None,
                clock: clock(&mut rng),
                spot: *spot,
                id: FollowerId(mix(n as u64 + 1)),
                links: Vec::new(),
                tick_at: Micros::MAX,
                life: 0,
                kept: None,
                note: None,
                dark: false,
            })
            .collect();
        let clients = (0..=ASKER)
            .map(|_| {
                let spot = geography.proxies[rng.random_range(0..geography.proxies.len())];
                Client { spot, links: BTreeMap::new(), next: rng.random_range(0..rules.stores) }
            })
            .collect();
        let judge =
            Judge::new(setting.bounds, rules.topics.clone(), rules.stores, proxies.len(), rules.epoch, WARM);
        let places = Places::new(geography, rules.stores);
        let lanes = vec![Lane::default(); controls.len()];
        let asked_at = ControlId(controls.len().saturating_sub(1) as u8);
        let mut world = World {
            now: 0,
            queue: Queue::new(),
            load: stream(setting.seed, "load", 0),
            rng,
            places,
            scenario,
            setting,
            rules,
            controls,
            proxies,
            clients,
            links: Map::default(),
            last_link: 0,
            cuts: Vec::new(),
            pending: BTreeMap::new(),
            last_token: 0,
            factor: 1.0,
            traces: Vec::new(),
            questions: BTreeMap::new(),
            latest: None,
            asked_at,
            unanswered: 0,
            poison: None,
            largest: None,
            sized: None,
            outs: Vec::new(),
            dones: Vec::new(),
            judge,
            meters: [Meter::default(); 3],
            lanes,
            submitted: super::judge::histogram(),
            busy: 0,
            refused: 0,
            closed: BTreeMap::new(),
            taken: 0,
            events: 0,
        };
        for control in 0..world.controls.len() {
            world.start_control(control)?;
        }
        for proxy in 0..world.proxies.len() {
            let at = world.rng.random_range(0..START);
            world.queue.plan(at, Event::StartProxy(proxy));
        }
        for client in 0..SUBMITTERS {
            for store in 0..world.rules.stores {
                let at = world.rng.random_range(0..START);
                world.queue.plan(at, Event::Redial(client, ControlId(store)));
            }
        }
        world.queue.plan(START, Event::Redial(ASKER, asked_at));
        world.queue.plan(LOAD, Event::Purge);
        world.queue.plan(LOAD, Event::Configure);
        world.queue.plan(WARM, Event::Trace);
        world.queue.plan(WARM, Event::Ask);
        for (n, (at, _)) in world.scenario.acts.iter().enumerate() {
            world.queue.plan(*at, Event::Act(n));
        }
        Ok(world)
    }

    /// Plays it to its end.
    pub fn play(&mut self) {
        let end = self.scenario.end;
        self.play_until(end);
        for n in 0..self.proxies.len() {
            if self.proxies[n].machine.is_some() {
                self.before(n);
            }
            if let Some(machine) = &self.proxies[n].machine {
                self.judge.position(end, n, &|stream| machine.position().get(stream));
            }
        }
        self.judge.close(end);
    }

    /// Plays it up to an instant.
    pub fn play_until(&mut self, end: Micros) {
        loop {
            let at = self.queue.next();
            if at > end {
                self.now = end;
                return;
            }
            while let Some((at, event)) = self.queue.take(at, |_| true) {
                self.now = self.now.max(at);
                self.events += 1;
                self.handle(event);
            }
        }
    }

    /// Seconds of virtual time in which figures were taken.
    pub fn measured_s(&self) -> f64 {
        (self.scenario.end - WARM) as f64 / 1e6
    }

    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    pub fn traces(&self) -> &[Trace] {
        &self.traces
    }

    /// The change of the largest size, as it was numbered.
    pub fn largest(&self) -> Option<(StreamId, u64)> {
        self.largest
    }

    /// Proxies whose machine runs and that are not in service.
    pub fn out(&self) -> usize {
        self.judge.out()
    }

    /// What a proxy's machine shows; for a line.
    pub fn shown(&self, proxy: usize) -> String {
        let p = &self.proxies[proxy];
        let machine = p.machine.as_ref().map(|m| m.stats(p.clock.local(self.now)));
        format!("proxy {proxy} at {:?}: {machine:?} links {:?}", p.spot, p.links)
    }

    /// Ends the machines of proxies, and then those of control machines; `of` measures what each gives back.
    pub fn end(mut self, of: &dyn Fn(&mut dyn FnMut()) -> Option<u64>) -> (Option<u64>, Option<u64>) {
        self.links.clear();
        self.queue = Queue::new();
        self.sized = None;
        let proxies = of(&mut || self.proxies.iter_mut().for_each(|p| p.machine = None));
        let controls = of(&mut || self.controls.iter_mut().for_each(|c| c.machine = None));
        (proxies, controls)
    }

    /// Streams as places of followers and of control machines.
    fn place(spot: Spot) -> Location {
        Location { region: spot.region, zone: spot.zone, site: spot.site }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, at) => self.tick(node, at),
            Event::Up(conn, end) => self.up(conn, end),
            Event::Arrive(conn, end, item) => self.arrive(conn, end, item),
            Event::Failed(conn, from, to) => self.failed(conn, from, to),
            Event::Full(conn, end) => self.lost(conn, end, "too much waits"),
            Event::Redial(client, control) => {
                if !self.clients[usize::from(client)].links.contains_key(&control) {
                    self.dial(Node::Client(client), control);
                }
            }
            Event::Act(n) => {
                if let Some((_, act)) = self.scenario.acts.get(n).cloned() {
                    self.act(act);
                }
            }
            Event::Purge => {
                let wait = exponential(&mut self.load) * 1e6 / (PURGES * self.factor);
                self.queue.plan(self.now + wait as Micros, Event::Purge);
                let body: [u8; PURGE] = self.load.random();
                self.submit(0, 0, Rc::from(body), What::Usual);
            }
            Event::Configure => {
                let wait = exponential(&mut self.load) * 1e6 / CONFIGURED;
                self.queue.plan(self.now + wait as Micros, Event::Configure);
                let length = VALUE * world::random::lognormal(0.8, &mut self.load);
                let mut body = vec![0u8; length.clamp(VALUES[0], VALUES[1]) as usize];
                self.load.fill(&mut body[..]);
                let key = self.load.random_range(0..KEYS);
                self.submit(1, key, Rc::from(body), What::Usual);
            }
            Event::Patience(token, tries) => {
                let Some(p) = self.pending.get(&token).filter(|p| p.tries == tries) else { return };
                let (client, store) = (p.client, p.store);
                let link = self.clients[usize::from(client)].links.get(&store).copied();
                match link {
                    // It says nothing: another connection, and meanwhile the other stores.
                    Some((conn, true)) if p.sent => {
                        self.close(conn, End::Dialler);
                        self.drop_client(client, store);
                    }
                    _ => self.try_next(token),
                }
            }
            Event::Trace => {
                self.queue.plan(self.now + TRACE_EVERY, Event::Trace);
                // The last ones have no time left to be known.
                if self.now < self.scenario.end - 5 * S {
                    self.traces.extend(self.latest.take());
                }
            }
            Event::Ask => self.ask(),
            Event::Roll(n, on) => {
                if on {
                    self.start_proxy(n, Keeps::Nothing);
                } else {
                    self.kill(Node::Proxy(n as u32), false);
                }
            }
            Event::StartProxy(n) => self.start_proxy(n, Keeps::Nothing),
        }
    }

    // Machines.

    fn start_control(&mut self, n: usize) -> Result<(), &'static str> {
        let roster = self.proxies.iter().map(|p| p.id).collect();
        let c = &mut self.controls[n];
        if c.machine.is_some() {
            return Ok(());
        }
        let restored = c.disk.clone();
        let now = c.clock.local(self.now);
        c.machine = Some(Control::new(now, c.rules.clone(), ControlId(n as u8), roster, restored)?);
        (c.hang, c.slow, c.tick_at) = (None, 0, Micros::MAX);
        c.inbox.clear();
        if std::mem::take(&mut c.dark) {
            self.wake_peers(Node::Control(n as u8));
        }
        self.settle_control(n);
        Ok(())
    }

    fn start_proxy(&mut self, n: usize, keeps: Keeps) {
        if self.proxies[n].machine.is_some() {
            return;
        }
        let places: Vec<Location> = self.controls.iter().map(|c| Self::place(c.spot)).collect();
        let epoch = self.rules.epoch;
        let p = &mut self.proxies[n];
        let kept = match keeps {
            Keeps::Nothing => None,
            Keeps::Same => p.kept.clone(),
            Keeps::Old => p.note.clone(),
            Keeps::Future => p.kept.clone().map(|mut kept| {
                for (_, head) in &mut kept.heads {
                    *head = Head { number: head.number + 1_000, digest: !head.digest };
                }
                kept
            }),
        };
        let held = match keeps {
            // What it believes to have is nothing that was ever applied.
            Keeps::Future => None,
            _ => kept.clone(),
        };
        p.life += 1;
        let life = mix(p.life ^ p.id.0);
        let now = p.clock.local(self.now);
        let order = order::preference_order(p.id, Self::place(p.spot), &places);
        let rules = self.rules.clone();
        let Ok(machine) = Follower::new(now, rules, p.id, order, kept, life) else { return };
        p.machine = Some(machine);
        p.tick_at = Micros::MAX;
        let dark = std::mem::take(&mut p.dark);
        let at = held.as_ref().map_or(epoch, |k| k.epoch);
        let have = |stream| {
            let heads = held.iter().flat_map(|k| &k.heads);
            heads.filter(|(s, _)| *s == stream).map(|(_, head)| head.number).next().unwrap_or(0)
        };
        self.judge.starts(self.now, n, at, &have);
        if dark {
            self.wake_peers(Node::Proxy(n as u32));
        }
        self.after(n);
    }

    /// Peers of a machine that was dark learn at their next retransmission that it knows nothing of them.
    fn wake_peers(&mut self, node: Node) {
        let old = self
            .links
            .iter()
            .filter_map(|(conn, l)| {
                let end = if l.dialler == node { End::Dialler } else { End::Acceptor };
                let gone = l.node(end) == node && !l.is_open(end) && l.is_open(end.other());
                gone.then_some((*conn, end.other()))
            })
            .collect::<BTreeMap<Conn, End>>();
        for (conn, end) in old {
            let at = self.now + self.rng.random_range(0..400_000);
            self.queue.plan(at, Event::Arrive(conn, end, Item::End));
        }
    }

    fn tick(&mut self, node: Node, at: Micros) {
        match node {
            Node::Control(n) => {
                let c = &mut self.controls[usize::from(n)];
                if c.tick_at != at || c.machine.is_none() {
                    return;
                }
                c.tick_at = Micros::MAX;
                if c.hang == Some(Hang::Still) {
                    return;
                }
                let (now, out) = (c.clock.local(self.now), &mut self.outs);
                let Some(machine) = &mut c.machine else { return };
                self.meters[1].run(|| machine.tick(now, out));
                self.settle_control(usize::from(n));
            }
            Node::Proxy(n) => {
                let n = n as usize;
                if self.proxies[n].tick_at != at || self.proxies[n].machine.is_none() {
                    return;
                }
                self.proxies[n].tick_at = Micros::MAX;
                self.before(n);
                let p = &mut self.proxies[n];
                let (now, out) = (p.clock.local(self.now), &mut self.dones);
                let Some(machine) = &mut p.machine else { return };
                self.meters[0].run(|| machine.tick(now, out));
                self.after(n);
            }
            Node::Client(_) => {}
        }
    }

    /// Looks at a proxy before anything happens to it.
    fn before(&mut self, n: usize) {
        let p = &self.proxies[n];
        let Some(machine) = &p.machine else { return };
        let serves = machine.in_service(p.clock.local(self.now));
        let until = match (serves, machine.fresh()) {
            (true, _) | (false, None) => self.now,
            (false, Some(fresh)) => p.clock.instant(fresh + self.rules.lease).min(self.now),
        };
        if self.judge.serves(n) {
            self.judge.check(self.now, n, until);
            if !serves {
                self.judge.service(until, n, false);
            }
        }
    }

    /// Does what a proxy's machine wants.
    fn after(&mut self, n: usize) {
        let mut outs = std::mem::take(&mut self.dones);
        for out in outs.drain(..) {
            match out {
                Done::Dial(control) => self.dial(Node::Proxy(n as u32), control),
                Done::Send(control, message) => {
                    let link = self.proxies[n].links.iter().find(|(c, _)| *c == control).map(|(_, l)| *l);
                    if let Some(conn) = link {
                        let bytes = self.meters[2].run(|| frame::size(&message));
                        self.send(conn, End::Dialler, Rc::new(message), bytes, 0);
                    }
                }
                Done::Close(control, why) => {
                    let p = &mut self.proxies[n];
                    let Some(at) = p.links.iter().position(|(c, _)| *c == control) else { continue };
                    let (_, conn) = p.links.swap_remove(at);
                    *self.closed.entry(format!("by a proxy: {why}")).or_default() += 1;
                    self.refuse(conn, End::Dialler, frame::refusal(&why).len());
                }
                Done::Apply(piece) => {
                    self.judge.applies(self.now, n, &piece);
                    if let Some((stream, number)) = self.poison {
                        let (from, upto) = (piece.after, piece.upto());
                        if stream == piece.stream && from < number && number <= upto && !piece.is_mark() {
                            if let Some(machine) = &mut self.proxies[n].machine {
                                machine.report_refused(stream, number);
                                self.judge.refuses(n);
                            }
                        }
                    }
                }
                Done::Stale(stream) => {
                    let epoch = self.proxies[n].machine.as_ref().map_or(0, |m| m.saved_state().epoch);
                    self.judge.stale(self.now, n, stream, epoch);
                }
                Done::OutOfService | Done::InService => {}
            }
        }
        self.dones = outs;
        let p = &mut self.proxies[n];
        let Some(machine) = &p.machine else { return };
        let local = p.clock.local(self.now);
        let serves = machine.in_service(local);
        let next = p.clock.instant(machine.next_tick()).max(self.now + AGAIN);
        if next < p.tick_at {
            p.tick_at = next;
            self.queue.plan(next, Event::Tick(Node::Proxy(n as u32), next));
        }
        self.judge.service(self.now, n, serves);
    }

    /// Does what a control machine wants.
    fn settle_control(&mut self, n: usize) {
        let mut outs = std::mem::take(&mut self.outs);
        let mut late = 0;
        for out in outs.drain(..) {
            match out {
                Told::Dial(control) => self.dial(Node::Control(n as u8), control),
                Told::Send(peer, message) => self.tell(n, peer, message, late),
                Told::Persist(records) => {
                    late = PERSIST;
                    let epoch = self.controls[n].rules.epoch;
                    for record in &records {
                        if let Record::Change(change, _) = record {
                            self.note(change);
                            if usize::from(change.stream.store.0) == n {
                                let (stream, number) = (change.stream, change.number);
                                self.judge.numbered(
                                    self.now,
                                    epoch,
                                    stream,
                                    number,
                                    change.key,
                                    &change.body,
                                );
                            }
                        }
                    }
                    self.controls[n].disk.extend(records);
                }
                Told::Close(peer, why) => {
                    let end = self.end_of(peer, Node::Control(n as u8));
                    let kind = match self.links.get(&peer).map(|l| l.node(end.other())) {
                        Some(Node::Control(_)) => "a control machine",
                        Some(Node::Proxy(_)) => "a proxy",
                        _ => "a client",
                    };
                    *self.closed.entry(format!("to {kind}: {why}")).or_default() += 1;
                    self.controls[n].links.remove(&peer);
                    self.refuse(peer, end, frame::refusal(&why).len());
                }
            }
        }
        self.outs = outs;
        let c = &mut self.controls[n];
        let Some(machine) = &c.machine else { return };
        let next = c.clock.instant(machine.next_tick()).max(self.now + AGAIN);
        if next < c.tick_at {
            c.tick_at = next;
            self.queue.plan(next, Event::Tick(Node::Control(n as u8), next));
        }
    }

    /// Remembers the numbers of the changes that are out of the ordinary.
    fn note(&mut self, change: &Change) {
        let register = change.stream.topic == 1;
        if register && change.key == LARGEST_KEY {
            self.largest.get_or_insert((change.stream, change.number));
        }
        if register && change.key == REFUSED_KEY {
            self.poison.get_or_insert((change.stream, change.number));
        }
    }

    fn end_of(&self, conn: Conn, node: Node) -> End {
        match self.links.get(&conn) {
            Some(l) if l.dialler == node => End::Dialler,
            _ => End::Acceptor,
        }
    }

    fn size(&mut self, message: &Rc<Message>) -> usize {
        if let Some((last, bytes)) = &self.sized {
            if Rc::ptr_eq(last, message) {
                return *bytes;
            }
        }
        let bytes = self.meters[2].run(|| frame::size(message));
        self.sized = Some((message.clone(), bytes));
        bytes
    }

    /// A control machine sends.
    fn tell(&mut self, n: usize, peer: Conn, message: Rc<Message>, late: Micros) {
        let epoch = self.controls[n].rules.epoch;
        match &*message {
            Message::Submitted { stream, number, .. } => {
                self.judge.acknowledged(self.now, epoch, *stream, *number);
            }
            Message::Told(told) => {
                let of = self.questions.get(&told.token).and_then(|t| self.traces.get(*t));
                if let Some(of) = of.filter(|t| t.epoch == epoch).map(|t| (t.stream, t.number)) {
                    self.judge.status(self.now, epoch, of, told);
                }
            }
            _ => {}
        }
        let bytes = self.size(&message);
        let end = self.end_of(peer, Node::Control(n as u8));
        let late = late + self.controls[n].slow;
        self.send(peer, end, message, bytes, late);
    }

    // Connections.

    fn spot(&self, node: Node) -> Spot {
        match node {
            Node::Client(n) => self.clients[usize::from(n)].spot,
            other => self.places.spot(other),
        }
    }

    fn within(&self, part: &Part, node: Node) -> bool {
        self.places.within(part, node, self.spot(node))
    }

    fn cut(&self, from: Node, to: Node) -> bool {
        self.cuts.iter().any(|(a, b)| self.within(a, from) && self.within(b, to))
    }

    fn blocked(&self, from: Node, to: Node) -> bool {
        let mute = matches!(from, Node::Control(n)
            if self.controls[usize::from(n)].hang == Some(Hang::Mute));
        mute || (!self.cuts.is_empty() && self.cut(from, to))
    }

    /// Sets each direction's state anew after a cut or a mute machine came or went.
    fn reblock(&mut self) {
        let mut conns: Vec<Conn> = self.links.keys().copied().collect();
        conns.sort_unstable();
        for conn in conns {
            let Some(l) = self.links.get(&conn) else { continue };
            let (a, b) = (l.dialler, l.acceptor);
            for (end, on) in [(End::Dialler, self.blocked(a, b)), (End::Acceptor, self.blocked(b, a))] {
                let Some(l) = self.links.get_mut(&conn) else { continue };
                for (at, item) in l.block(self.now, end, on) {
                    self.queue.plan(at, Event::Arrive(conn, end.other(), item));
                }
            }
        }
    }

    fn dial(&mut self, from: Node, to: ControlId) {
        let Some(target) = self.controls.get(usize::from(to.0)) else { return };
        let (runs, dark, spot) = (target.machine.is_some(), target.dark, target.spot);
        let node = Node::Control(to.0);
        self.last_link += 1;
        let conn = self.last_link;
        let way = self.places.geography.one_way_delay(self.spot(from), spot);
        match from {
            Node::Proxy(n) => {
                let links = &mut self.proxies[n as usize].links;
                let old = links.iter().position(|(c, _)| *c == to).map(|at| links.swap_remove(at).1);
                links.push((to, conn));
                if let Some(old) = old {
                    self.close(old, End::Dialler);
                }
            }
            Node::Client(n) => {
                self.clients[usize::from(n)].links.insert(to, (conn, false));
            }
            Node::Control(n) => {
                self.controls[usize::from(n)].links.insert(conn);
            }
        }
        let mut trip = 2 * way + (delay(way, &mut self.rng) - way);
        if world::random::chance(0.001, &mut self.rng) {
            trip += SYN_AGAIN;
        }
        let lost = !self.cuts.is_empty() && (self.cut(from, node) || self.cut(node, from));
        if lost || dark {
            return self.queue.plan(self.now + DIAL, Event::Failed(conn, from, to));
        }
        if !runs {
            return self.queue.plan(self.now + trip, Event::Failed(conn, from, to));
        }
        let accepted = self.now + trip + way;
        let mut link = Link::new((from, self.spot(from)), (node, spot), way, accepted);
        let (there, back) = (self.blocked(from, node), self.blocked(node, from));
        link.from(End::Dialler).blocked = there;
        link.from(End::Acceptor).blocked = back;
        self.links.insert(conn, link);
        self.controls[usize::from(to.0)].links.insert(conn);
        self.queue.plan(self.now + trip, Event::Up(conn, End::Dialler));
        self.queue.plan(accepted, Event::Up(conn, End::Acceptor));
    }

    fn failed(&mut self, conn: Conn, from: Node, to: ControlId) {
        match from {
            Node::Control(n) => drop(self.controls[usize::from(n)].links.remove(&conn)),
            Node::Proxy(n) => self.drop_proxy(n as usize, conn),
            Node::Client(n) => {
                if self.clients[usize::from(n)].links.get(&to).is_some_and(|l| l.0 == conn) {
                    self.drop_client(n, to);
                }
            }
        }
    }

    fn drop_proxy(&mut self, n: usize, conn: Conn) {
        let p = &mut self.proxies[n];
        let Some(at) = p.links.iter().position(|(_, c)| *c == conn) else { return };
        let (control, _) = p.links.swap_remove(at);
        if p.machine.is_none() {
            return;
        }
        self.before(n);
        let p = &mut self.proxies[n];
        let (now, out) = (p.clock.local(self.now), &mut self.dones);
        if let Some(machine) = &mut p.machine {
            self.meters[0].run(|| machine.down(now, control, out));
        }
        self.after(n);
    }

    fn drop_client(&mut self, n: u16, control: ControlId) {
        self.clients[usize::from(n)].links.remove(&control);
        if n == ASKER {
            self.asked_at = ControlId((self.asked_at.0 + 1) % self.controls.len().max(1) as u8);
            let to = self.asked_at;
            return self.queue.plan(self.now + REDIAL, Event::Redial(n, to));
        }
        self.queue.plan(self.now + REDIAL, Event::Redial(n, control));
        let waiting: Vec<u32> = self
            .pending
            .iter()
            .filter(|(_, p)| p.client == n && p.store == control)
            .map(|(token, _)| *token)
            .collect();
        waiting.into_iter().for_each(|token| self.try_next(token));
    }

    /// A connection is up at one end.
    fn up(&mut self, conn: Conn, end: End) {
        let Some(link) = self.links.get(&conn) else { return };
        if !link.is_open(end) {
            return;
        }
        let (node, peer) = (link.node(end), link.node(end.other()));
        match (node, peer) {
            (Node::Control(n), peer) => {
                let c = &mut self.controls[usize::from(n)];
                if c.hang == Some(Hang::Still) {
                    c.inbox.push_back(Event::Up(conn, end));
                    return;
                }
                let who = match (end, peer) {
                    (End::Dialler, Node::Control(other)) => ConnectionKind::Control(ControlId(other)),
                    _ => ConnectionKind::Accepted,
                };
                let (now, out) = (c.clock.local(self.now), &mut self.outs);
                let Some(machine) = &mut c.machine else { return self.close(conn, end) };
                self.meters[1].run(|| machine.up(now, conn, who, out));
                self.settle_control(usize::from(n));
            }
            (Node::Proxy(n), Node::Control(control)) => {
                let n = n as usize;
                if !self.proxies[n].links.contains(&(ControlId(control), conn)) {
                    return self.close(conn, end);
                }
                self.before(n);
                let p = &mut self.proxies[n];
                let (now, out) = (p.clock.local(self.now), &mut self.dones);
                if let Some(machine) = &mut p.machine {
                    self.meters[0].run(|| machine.up(now, ControlId(control), out));
                }
                self.after(n);
            }
            (Node::Client(n), Node::Control(control)) => {
                if let Some(link) = self.clients[usize::from(n)].links.get_mut(&ControlId(control)) {
                    link.1 = true;
                }
            }
            _ => {}
        }
    }

    /// Hands a message over to a connection.
    fn send(&mut self, conn: Conn, from: End, message: Rc<Message>, bytes: usize, late: Micros) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        if !link.is_open(from) {
            return;
        }
        let (node, peer) = (link.node(from), link.node(from.other()));
        let blocked = link.from(from).blocked;
        let heard = link.is_open(from.other());
        let sent =
            link.send(self.now + late, from, Item::Message(message, bytes as u32), bytes, &mut self.rng);
        match sent {
            Sent::Arrives(at, item) if heard => {
                self.queue.plan(at, Event::Arrive(conn, from.other(), item));
            }
            Sent::Arrives(..) | Sent::Held => {}
            Sent::Full => self.queue.plan(self.now, Event::Full(conn, from)),
        }
        let measured = self.now >= WARM;
        match (node, peer) {
            (Node::Proxy(n), _) => {
                self.judge.bytes(self.now, n as usize, bytes);
                self.judge.carried(self.now, n as usize, bytes, false);
            }
            (_, Node::Proxy(n)) if !blocked && heard => self.judge.bytes(self.now, n as usize, bytes),
            _ => {}
        }
        if let (Node::Control(n), true) = (node, measured) {
            let second = ((self.now - WARM) / S) as usize;
            let lane = &mut self.lanes[usize::from(n)];
            lane.bytes_out += bytes as u64;
            lane.messages += 1;
            if lane.seconds.len() <= second {
                lane.seconds.resize(second + 1, 0);
            }
            lane.seconds[second] += bytes as u64;
        }
    }

    /// Says why, and closes.
    fn refuse(&mut self, conn: Conn, end: End, bytes: usize) {
        let Some(link) = self.links.get(&conn) else { return };
        if let (true, Node::Proxy(n)) = (link.is_open(end), link.node(end)) {
            self.judge.bytes(self.now, n as usize, bytes);
            self.judge.carried(self.now, n as usize, bytes, false);
        }
        self.close(conn, end);
    }

    /// Closes one end; the other learns of it in order.
    fn close(&mut self, conn: Conn, end: End) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        if !link.is_open(end) {
            return;
        }
        if link.is_open(end.other()) {
            if let Sent::Arrives(at, item) = link.send(self.now, end, Item::End, 1, &mut self.rng) {
                self.queue.plan(at, Event::Arrive(conn, end.other(), item));
            }
        }
        link.from(end).open = false;
        let node = link.node(end);
        if !link.is_open(end.other()) {
            self.links.remove(&conn);
        }
        self.forget(conn, node);
    }

    fn forget(&mut self, conn: Conn, node: Node) {
        match node {
            Node::Control(n) => drop(self.controls[usize::from(n)].links.remove(&conn)),
            Node::Proxy(n) => self.proxies[n as usize].links.retain(|(_, c)| *c != conn),
            Node::Client(_) => {}
        }
    }

    /// The host of one end finds a connection broken.
    fn lost(&mut self, conn: Conn, end: End, why: &str) {
        let Some(link) = self.links.get(&conn) else { return };
        if !link.is_open(end) {
            return;
        }
        let (node, peer) = (link.node(end), link.node(end.other()));
        if !why.is_empty() {
            *self.closed.entry(format!("by the host: {why}")).or_default() += 1;
        }
        match (node, peer) {
            (Node::Control(n), _) => {
                self.close(conn, end);
                let c = &mut self.controls[usize::from(n)];
                let (now, out) = (c.clock.local(self.now), &mut self.outs);
                if let Some(machine) = &mut c.machine {
                    self.meters[1].run(|| machine.down(now, conn, out));
                }
                self.settle_control(usize::from(n));
            }
            (Node::Proxy(n), _) => {
                // The machine is told before its list forgets the connection.
                let known = self.proxies[n as usize].links.iter().any(|(_, c)| *c == conn);
                if known {
                    self.drop_proxy(n as usize, conn);
                }
                self.close(conn, end);
            }
            (Node::Client(n), Node::Control(control)) => {
                self.close(conn, end);
                let current = self.clients[usize::from(n)].links.get(&ControlId(control));
                if current.is_some_and(|l| l.0 == conn) {
                    self.drop_client(n, ControlId(control));
                }
            }
            _ => {}
        }
    }

    /// Something arrives at an end.
    fn arrive(&mut self, conn: Conn, end: End, item: Item) {
        let Some(link) = self.links.get(&conn) else { return };
        if !link.is_open(end) {
            return;
        }
        let (node, peer) = (link.node(end), link.node(end.other()));
        if let Node::Control(n) = node {
            let c = &mut self.controls[usize::from(n)];
            if c.hang == Some(Hang::Still) {
                c.inbox.push_back(Event::Arrive(conn, end, item));
                return;
            }
        }
        let (message, bytes) = match item {
            Item::Message(message, bytes) => (message, bytes as usize),
            Item::End => return self.lost(conn, end, ""),
        };
        match (node, peer) {
            (Node::Control(n), peer) => {
                // What a control machine keeps of it is its own: it passes through the frame.
                let message = match peer {
                    Node::Proxy(_) => message,
                    _ => Rc::new(self.through_frame(&message)),
                };
                let c = &mut self.controls[usize::from(n)];
                if self.now >= WARM {
                    let lane = &mut self.lanes[usize::from(n)];
                    lane.bytes_in += bytes as u64;
                    lane.messages += 1;
                }
                let (now, out) = (c.clock.local(self.now), &mut self.outs);
                let Some(machine) = &mut c.machine else { return };
                let taken = self.meters[1].run(|| machine.handle_message(now, conn, &message, out));
                self.settle_control(usize::from(n));
                if let Err(why) = taken {
                    let kind = match peer {
                        Node::Control(_) => "a control machine",
                        Node::Proxy(_) => "a proxy",
                        Node::Client(_) => "a client",
                    };
                    *self.closed.entry(format!("to {kind}: {why}")).or_default() += 1;
                    self.refuse(conn, end, frame::refusal(&why).len());
                }
            }
            (Node::Proxy(n), Node::Control(control)) => {
                let n = n as usize;
                self.judge.carried(self.now, n, bytes, true);
                if !self.proxies[n].links.contains(&(ControlId(control), conn)) {
                    return;
                }
                self.before(n);
                let p = &mut self.proxies[n];
                let (now, out) = (p.clock.local(self.now), &mut self.dones);
                let Some(machine) = &mut p.machine else { return };
                let taken =
                    self.meters[0].run(|| machine.handle_message(now, ControlId(control), &message, out));
                if let Err(why) = &taken {
                    *self.closed.entry(format!("by a proxy: {why}")).or_default() += 1;
                    self.refuse(conn, end, frame::refusal(why).len());
                }
                self.after(n);
            }
            (Node::Client(n), Node::Control(control)) => self.answered(n, ControlId(control), &message),
            _ => {}
        }
    }

    /// What the other side reads.
    fn through_frame(&mut self, message: &Message) -> Message {
        let whole = frame::encode(message).ok().and_then(|bytes| {
            let mut rest = &bytes[..];
            frame::Reader::default().read(&mut rest).ok().flatten()
        });
        // A message that its own frame does not give back is counted, and shows as a closed connection would not.
        whole.unwrap_or_else(|| {
            *self.closed.entry("a frame that does not give its message back".into()).or_default() += 1;
            message.clone()
        })
    }

    // Clients.

    fn submit(&mut self, topic: u8, key: u32, body: Rc<[u8]>, what: What) {
        self.last_token += 1;
        let token = self.last_token;
        let client = (token % u32::from(SUBMITTERS)) as u16;
        let c = &mut self.clients[usize::from(client)];
        c.next = (c.next + 1) % self.rules.stores;
        let store = ControlId(c.next);
        let pending = Pending {
            client,
            topic,
            key,
            body,
            first: self.now,
            store,
            tries: 0,
            busy: 0,
            sent: false,
            what,
        };
        self.pending.insert(token, pending);
        self.try_now(token);
    }

    fn try_next(&mut self, token: u32) {
        let stores = self.rules.stores;
        let Some(p) = self.pending.get_mut(&token) else { return };
        p.store = ControlId((p.store.0 + 1) % stores);
        self.try_now(token);
    }

    fn try_now(&mut self, token: u32) {
        let Some(p) = self.pending.get_mut(&token) else { return };
        p.tries += 1;
        p.sent = false;
        let (client, store, tries) = (p.client, p.store, p.tries);
        let message = Message::Submit { token, topic: p.topic, key: p.key, body: p.body.clone() };
        let link = self.clients[usize::from(client)].links.get(&store).copied();
        let Some((conn, true)) = link else {
            // Not now; with no store at all it waits for one.
            let wait = if tries % u32::from(self.rules.stores) == 0 { REDIAL } else { 0 };
            return self.queue.plan(self.now + wait, Event::Patience(token, tries));
        };
        p.sent = true;
        self.queue.plan(self.now + PATIENCE, Event::Patience(token, tries));
        let bytes = frame::size(&message);
        self.send(conn, End::Dialler, Rc::new(message), bytes, 0);
    }

    fn answered(&mut self, n: u16, from: ControlId, message: &Message) {
        match message {
            Message::Submitted { token, stream, number } => {
                let Some(p) = self.pending.remove(token) else { return };
                if self.now >= WARM {
                    self.submitted.saturating_record((self.now - p.first) as u64);
                    self.taken += 1;
                }
                let epoch = self.rules.epoch;
                let (stream, number) = (*stream, *number);
                let (all, lapsed) = (None, None);
                let trace =
                    Trace { stream, number, epoch, acked: self.now, all, lapsed, what: p.what, refused: 0 };
                match p.what {
                    What::Usual => self.latest = Some(trace),
                    What::Largest | What::Refused => self.traces.push(trace),
                }
            }
            Message::Busy { token, .. } => {
                self.busy += 1;
                let stores = u32::from(self.rules.stores);
                let Some(p) = self.pending.get_mut(token).filter(|p| p.store == from) else { return };
                p.busy += 1;
                if p.busy >= stores && p.what == What::Usual {
                    self.pending.remove(token);
                    self.refused += 1;
                } else {
                    self.try_next(*token);
                }
            }
            Message::Told(told) => {
                self.unanswered = 0;
                let Some(at) = self.questions.remove(&told.token) else { return };
                let now = self.now;
                if told.unheard.len() > self.controls.len() / 2 {
                    // It is cut off itself: another one is asked from now on.
                    self.unanswered = u32::MAX / 2;
                }
                let Some(trace) = self.traces.get_mut(at) else { return };
                trace.refused = trace.refused.max(told.refused.len());
                if told.all() {
                    trace.all.get_or_insert(now);
                }
                if told.committed && told.lapsed {
                    trace.lapsed.get_or_insert(now);
                }
            }
            _ => {
                *self.closed.entry(format!("client {n} was told {}", message.name())).or_default() += 1;
            }
        }
    }

    fn ask(&mut self) {
        self.queue.plan(self.now + ASK_EVERY, Event::Ask);
        let to = self.asked_at;
        let Some((conn, true)) = self.clients[usize::from(ASKER)].links.get(&to).copied() else { return };
        if self.unanswered > 8 {
            // It is silent: the next one.
            self.unanswered = 0;
            self.questions.clear();
            self.close(conn, End::Dialler);
            return self.drop_client(ASKER, to);
        }
        let epoch = self.rules.epoch;
        let open: Vec<usize> = (0..self.traces.len())
            .rev()
            .filter(|t| {
                let t = &self.traces[*t];
                let young = self.now - t.acked < 12 * S;
                t.epoch == epoch && young && (t.all.is_none() || t.what == What::Refused)
            })
            .take(8)
            .collect();
        for at in open {
            self.last_token += 1;
            let token = self.last_token;
            self.questions.insert(token, at);
            let t = &self.traces[at];
            let (stream, number) = (t.stream, t.number);
            let message = Message::Status { token, stream, number, from: FollowerId(0) };
            self.unanswered += 1;
            let bytes = frame::size(&message);
            self.send(conn, End::Dialler, Rc::new(message), bytes, 0);
        }
    }

    // Faults.

    fn act(&mut self, act: Act) {
        match act {
            Act::Cut { from, to, on } => {
                if on {
                    self.cuts.push((from, to));
                } else if let Some(at) = self.cuts.iter().position(|c| *c == (from.clone(), to.clone())) {
                    self.cuts.remove(at);
                }
                self.reblock();
            }
            Act::Kill(part) => self.places.members(&part).into_iter().for_each(|node| self.kill(node, false)),
            Act::Dark(part) => self.places.members(&part).into_iter().for_each(|node| self.kill(node, true)),
            Act::Start(part, keeps) => {
                for node in self.places.members(&part) {
                    match node {
                        Node::Control(n) => {
                            // The rules fitted at the first start.
                            if let Err(why) = self.start_control(usize::from(n)) {
                                *self.closed.entry(format!("no start: {why}")).or_default() += 1;
                            }
                        }
                        Node::Proxy(n) => self.start_proxy(n as usize, keeps),
                        Node::Client(_) => {}
                    }
                }
            }
            Act::Hang(control, hang) => {
                let n = usize::from(control.0);
                self.controls[n].hang = hang;
                self.reblock();
                let waiting = std::mem::take(&mut self.controls[n].inbox);
                for event in waiting {
                    self.handle(event);
                }
                if hang.is_none() && self.controls[n].machine.is_some() {
                    self.settle_control(n);
                }
            }
            Act::Slow(control, by) => self.controls[usize::from(control.0)].slow = by,
            Act::Roll { every, down } => {
                for n in 0..self.proxies.len() {
                    let at = self.now + every * n as Micros;
                    self.queue.plan(at, Event::Roll(n, false));
                    self.queue.plan(at + down, Event::Roll(n, true));
                }
            }
            Act::Note(n) => {
                self.proxies[n].note = self.proxies[n].machine.as_ref().map(Follower::saved_state);
            }
            Act::Copy => self.controls.iter_mut().for_each(|c| c.copy = c.disk.clone()),
            Act::Restore => {
                (0..self.controls.len()).for_each(|n| self.kill(Node::Control(n as u8), false));
                self.rules.epoch += 1;
                let epoch = self.rules.epoch;
                for c in &mut self.controls {
                    c.rules.epoch = epoch;
                    c.disk = c.copy.clone();
                }
                let ends: BTreeMap<StreamId, u64> = self
                    .controls
                    .iter()
                    .flat_map(|c| &c.disk)
                    .map(|r| match r {
                        Record::Change(change, _) => (change.stream, change.number),
                        Record::Horizon(stream, head) => (*stream, head.number),
                    })
                    .fold(BTreeMap::new(), |mut ends, (stream, number)| {
                        let end: &mut u64 = ends.entry(stream).or_default();
                        *end = number.max(*end);
                        ends
                    });
                self.judge.restored(epoch, &|stream| ends.get(&stream).copied().unwrap_or(0));
                for n in 0..self.controls.len() {
                    if let Err(why) = self.start_control(n) {
                        *self.closed.entry(format!("no start: {why}")).or_default() += 1;
                    }
                }
            }
            Act::Load(factor) => self.factor = factor,
            Act::Largest => {
                let mut body = vec![0u8; self.rules.max_change_bytes];
                self.load.fill(&mut body[..]);
                self.submit(1, LARGEST_KEY, Rc::from(body), What::Largest);
            }
            Act::Refused => {
                let body: [u8; 64] = self.load.random();
                self.submit(1, REFUSED_KEY, Rc::from(body), What::Refused);
            }
        }
    }

    /// Ends a machine: `dark` tells nobody.
    fn kill(&mut self, node: Node, dark: bool) {
        let links: Vec<Conn> = match node {
            Node::Control(n) => {
                let c = &mut self.controls[usize::from(n)];
                c.machine = None;
                c.inbox.clear();
                c.dark = dark;
                std::mem::take(&mut c.links).into_iter().collect()
            }
            Node::Proxy(n) => {
                self.before(n as usize);
                let p = &mut self.proxies[n as usize];
                if let Some(machine) = p.machine.take() {
                    p.kept = Some(machine.saved_state());
                }
                p.dark = dark;
                self.judge.ends(self.now, n as usize);
                std::mem::take(&mut self.proxies[n as usize].links).into_iter().map(|(_, c)| c).collect()
            }
            Node::Client(_) => return,
        };
        for conn in links {
            let end = self.end_of(conn, node);
            if !dark {
                self.close(conn, end);
                continue;
            }
            let Some(link) = self.links.get_mut(&conn) else { continue };
            link.from(end).open = false;
            link.drop_held(end);
            if !link.is_open(end.other()) {
                self.links.remove(&conn);
            }
        }
    }

    /// Where faults of the scenarios begin.
    pub fn fault_at() -> Micros {
        FAULT
    }

    /// The kinds of topics.
    pub fn topics(&self) -> &[TopicKind] {
        &self.rules.topics
    }

    /// What is played.
    pub fn setting(&self) -> &Setting {
        &self.setting
    }
}
