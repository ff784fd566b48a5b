//! What stands today, under the same faults: three planners that send their plans straight to every forwarder.
//!
//! It is no way to carry a change: a plan is a view that the next one replaces, and nobody knows who has it. What can
//! be set beside a dissemination is how old the newest plan is that a proxy acts by, and what that costs. There is no
//! lease, so a proxy that is cut off goes on with what it has: its age counts as long as the proxy runs. A planner
//! serves [`plan::bounds::FORWARDERS`] forwarders; the rest of a larger fleet is turned away, and counted.

use super::engine::Setting;
use super::figures::Times;
use super::judge::histogram;
use super::network::delay;
use super::places::Places;
use super::scenario::{Act, Hang, Part, Scenario, S, WARM};
use super::Node;
use crate::virtual_host::queue::Queue;
use plan::planner::Output as Said;
use plan::{bounds, forwarder, frame, Forwarder, ForwarderId, Message, Planner, Rules, Zone};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use world::geography::{Geography, Size};
use world::random::{mix, stream, Random};
use world::Micros;

/// Planners, in the places of the first control machines. A fault at another control machine is one at the planner of
/// its number modulo this.
pub const PLANNERS: usize = 3;
/// A connection without a word for this long is closed, as the proxy does.
const SILENCE: Micros = 5 * S;
/// How long a host waits for a connection.
const DIAL: Micros = 3 * S;
/// How often ages are taken.
const LOOK: Micros = 250_000;

/// What a run comes to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub proxies: u32,
    pub planners: u32,
    /// Forwarders that one planner takes at most, and those that none took at the end.
    pub bound: u32,
    pub without: u64,
    /// Age of the newest plan that a running forwarder with one acts by, at looks four times a second.
    pub age: Times,
    /// The oldest of them over all forwarders, at each look: until when a plan is everywhere.
    pub oldest: Times,
    pub proxy_bytes_per_s: f64,
    pub planner_bytes_out_per_s: f64,
    pub planner_messages_per_s: f64,
}

enum Event {
    Planner(usize),
    Forwarder(usize, Micros),
    Up(usize, usize, u64),
    Failed(usize, usize, u64),
    ToPlanner(usize, usize, u64, Rc<Message>),
    ToForwarder(usize, usize, u64, Rc<Message>, Micros),
    Gone(usize, usize, u64),
    Act(usize),
    Start(usize),
    Roll(usize, bool),
    Look,
}

#[derive(Clone, Copy, Default)]
struct Link {
    /// 0 is none.
    conn: u64,
    up: bool,
    heard: Micros,
}

struct Proxy {
    machine: Option<Forwarder>,
    links: [Link; PLANNERS],
    due: Micros,
    /// When the newest plan was made that it took.
    plan: Option<Micros>,
    life: u64,
}

struct World {
    now: Micros,
    queue: Queue<Event>,
    rng: Random,
    places: Places,
    scenario: Scenario,
    rules: Rules,
    planners: Vec<Option<Planner>>,
    hung: [bool; PLANNERS],
    proxies: Vec<Proxy>,
    cuts: Vec<(Part, Part)>,
    conn: u64,
    owners: BTreeMap<u64, usize>,
    last: BTreeMap<(u64, bool), Micros>,
    bytes: [u64; 2],
    messages: u64,
    sized: Option<(Rc<Message>, usize)>,
    age: hdrhistogram::Histogram<u64>,
    oldest: hdrhistogram::Histogram<u64>,
}

/// Plays a scenario for planners and forwarders. It fails on rules that do not fit.
pub fn play(setting: &Setting, scenario: Scenario) -> Result<Report, &'static str> {
    let geography = Geography::draw(Size::of(setting.proxies), setting.seed);
    let places = Places::new(geography, setting.rules.stores);
    let rules = Rules { forwarders: setting.proxies.min(bounds::FORWARDERS as u32), ..Rules::default() };
    let mut world = World {
        now: 0,
        queue: Queue::new(),
        rng: stream(setting.seed, "network of planners", 0),
        places,
        scenario,
        rules,
        planners: Vec::new(),
        hung: [false; PLANNERS],
        proxies: Vec::new(),
        cuts: Vec::new(),
        conn: 0,
        owners: BTreeMap::new(),
        last: BTreeMap::new(),
        bytes: [0; 2],
        messages: 0,
        sized: None,
        age: histogram(),
        oldest: histogram(),
    };
    for n in 0..PLANNERS {
        world.planners.push(Some(Planner::new(0, world.rules.clone(), 1_000)?));
        world.queue.plan(0, Event::Planner(n));
    }
    for n in 0..setting.proxies as usize {
        let links = [Link::default(); PLANNERS];
        world.proxies.push(Proxy { machine: None, links, due: Micros::MAX, plan: None, life: 0 });
        let at = world.rng.random_range(0..5 * S);
        world.queue.plan(at, Event::Start(n));
    }
    for n in 0..world.scenario.acts.len() {
        world.queue.plan(world.scenario.acts[n].0, Event::Act(n));
    }
    world.queue.plan(WARM, Event::Look);
    let end = world.scenario.end;
    while world.queue.next() <= end {
        let at = world.queue.next();
        while let Some((at, event)) = world.queue.take(at, |_| true) {
            world.now = at;
            world.handle(event);
        }
    }
    let span = (end - WARM) as f64 / 1e6;
    let proxies = f64::from(setting.proxies);
    Ok(Report {
        scenario: world.scenario.name.into(),
        proxies: setting.proxies,
        planners: PLANNERS as u32,
        bound: bounds::FORWARDERS as u32,
        without: world.proxies.iter().filter(|p| p.plan.is_none()).count() as u64,
        age: Times::of(&world.age),
        oldest: Times::of(&world.oldest),
        proxy_bytes_per_s: (world.bytes[0] + world.bytes[1]) as f64 / span / proxies,
        planner_bytes_out_per_s: world.bytes[0] as f64 / span / PLANNERS as f64,
        planner_messages_per_s: world.messages as f64 / span / PLANNERS as f64,
    })
}

impl World {
    fn is_cut(&self, from: Node, to: Node) -> bool {
        let within = |part: &Part, node: Node| {
            let as_planner = |p: &Part| match p {
                Part::Control(c) => Part::Control(dissemination::ControlId(c.0 % PLANNERS as u8)),
                other => other.clone(),
            };
            let part = match part {
                Part::Outside(inner) => Part::Outside(Box::new(as_planner(inner))),
                other => as_planner(other),
            };
            self.places.within(&part, node, self.places.spot(node))
        };
        self.cuts.iter().any(|(a, b)| within(a, from) && within(b, to))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Planner(n) => {
                let Some(planner) = &mut self.planners[n] else { return };
                let mut out = Vec::new();
                planner.tick(self.now, &mut out);
                let next = planner.next().max(self.now + 1_000);
                self.queue.plan(next, Event::Planner(n));
                self.settle(n, out);
            }
            Event::Forwarder(n, due) => {
                if self.proxies[n].due != due {
                    return;
                }
                for slot in 0..PLANNERS {
                    let link = self.proxies[n].links[slot];
                    if link.up && self.now - link.heard > SILENCE {
                        self.drop_link(n, slot, link.conn);
                    }
                }
                let Some(machine) = &mut self.proxies[n].machine else { return };
                let mut out = Vec::new();
                machine.tick(self.now, &mut out);
                self.after(n, out);
            }
            Event::Up(n, slot, conn) => {
                if self.proxies[n].links[slot].conn != conn {
                    return;
                }
                let accepted = self.planners[slot].as_mut().is_some_and(|p| p.up(self.now, conn).is_ok());
                if !accepted {
                    return self.drop_link(n, slot, conn);
                }
                self.proxies[n].links[slot] = Link { conn, up: true, heard: self.now };
                let Some(machine) = &mut self.proxies[n].machine else { return };
                let mut out = Vec::new();
                machine.up(self.now, slot, &mut out);
                self.after(n, out);
            }
            Event::Failed(n, slot, conn) => self.drop_link(n, slot, conn),
            Event::ToPlanner(n, slot, conn, message) => {
                if self.proxies[n].links[slot].conn != conn || self.hung[slot] {
                    return;
                }
                let Some(planner) = &mut self.planners[slot] else { return };
                let mut out = Vec::new();
                if planner.message(self.now, conn, &message, &mut out).is_err() {
                    planner.down(conn);
                    self.drop_link(n, slot, conn);
                }
                self.settle(slot, out);
            }
            Event::ToForwarder(n, slot, conn, message, sent) => {
                let p = &mut self.proxies[n];
                if p.links[slot].conn != conn {
                    return;
                }
                p.links[slot].heard = self.now;
                let Some(machine) = &mut p.machine else { return };
                let mut out = Vec::new();
                let before = machine.merge().number(slot);
                // A refusal is the forwarder's own business here.
                let taken = machine.message(self.now, slot, &message, &mut out);
                if taken.is_ok() && machine.merge().number(slot) > before {
                    p.plan = p.plan.max(Some(sent));
                }
                self.after(n, out);
            }
            Event::Gone(n, slot, conn) => self.drop_link(n, slot, conn),
            Event::Act(n) => self.act(n),
            Event::Start(n) => self.start(n),
            Event::Roll(n, on) => {
                if on {
                    self.start(n);
                } else {
                    self.end(n);
                }
            }
            Event::Look => {
                self.queue.plan(self.now + LOOK, Event::Look);
                let mut oldest = None;
                for p in self.proxies.iter().filter(|p| p.machine.is_some()) {
                    let Some(at) = p.plan else { continue };
                    let age = (self.now - at).max(0);
                    self.age.saturating_record(age as u64);
                    oldest = Some(oldest.unwrap_or(0).max(age));
                }
                if let Some(age) = oldest {
                    self.oldest.saturating_record(age as u64);
                }
            }
        }
    }

    fn start(&mut self, n: usize) {
        let p = &mut self.proxies[n];
        if p.machine.is_some() {
            return;
        }
        p.life += 1;
        let id = ForwarderId(mix(n as u64 + 1));
        let zone = Zone((self.places.spot(Node::Proxy(n as u32)).zone % 64) as u8);
        let config = forwarder::Config {
            id,
            life: mix(p.life ^ id.0),
            zone,
            tenants: 0,
            classes: 0,
            planners: PLANNERS,
            seed: mix(id.0 ^ p.life),
        };
        p.machine = Forwarder::new(self.now, self.rules.clone(), config).ok();
        self.after(n, Vec::new());
    }

    fn end(&mut self, n: usize) {
        for slot in 0..PLANNERS {
            let link = self.proxies[n].links[slot];
            if link.conn != 0 {
                self.drop_link(n, slot, link.conn);
            }
        }
        let p = &mut self.proxies[n];
        (p.machine, p.plan, p.due) = (None, None, Micros::MAX);
    }

    /// A connection is over, at both ends; a planner that is hung or gone learns nothing.
    fn drop_link(&mut self, n: usize, slot: usize, conn: u64) {
        let p = &mut self.proxies[n];
        if p.links[slot].conn != conn || conn == 0 {
            return;
        }
        p.links[slot] = Link::default();
        self.owners.remove(&conn);
        self.last.remove(&(conn, true));
        self.last.remove(&(conn, false));
        if let Some(planner) = &mut self.planners[slot] {
            planner.down(conn);
        }
        if let Some(machine) = &mut self.proxies[n].machine {
            machine.down(self.now, slot);
        }
        self.after(n, Vec::new());
    }

    fn after(&mut self, n: usize, out: Vec<forwarder::Output>) {
        for output in out {
            match output {
                forwarder::Output::Dial(slot) => self.dial(n, slot),
                forwarder::Output::Send(slot, message) => {
                    let link = self.proxies[n].links[slot];
                    if link.up {
                        self.send(n, slot, link.conn, true, Rc::new(message));
                    }
                }
                forwarder::Output::GuidanceChanged | forwarder::Output::Refused(..) => {}
            }
        }
        let p = &mut self.proxies[n];
        let Some(machine) = &p.machine else { return };
        let due = machine.next(self.now).max(self.now + 1_000);
        if due < p.due || p.due <= self.now {
            p.due = due;
            self.queue.plan(due, Event::Forwarder(n, due));
        }
    }

    fn settle(&mut self, slot: usize, out: Vec<Said>) {
        for output in out {
            match output {
                Said::Send(conn, message) => self.said(slot, conn, Rc::new(message)),
                Said::Terms(conns, message) => {
                    let message = Rc::new(message);
                    conns.into_iter().for_each(|conn| self.said(slot, conn, message.clone()));
                }
                Said::Close(conn, _) => {
                    if let Some(n) = self.owners.get(&conn).copied() {
                        self.queue.plan(self.now + 1_000, Event::Gone(n, slot, conn));
                    }
                }
            }
        }
    }

    fn said(&mut self, slot: usize, conn: u64, message: Rc<Message>) {
        if self.hung[slot] {
            return;
        }
        if let Some(n) = self.owners.get(&conn).copied() {
            self.send(n, slot, conn, false, message);
        }
    }

    fn dial(&mut self, n: usize, slot: usize) {
        self.conn += 1;
        let conn = self.conn;
        self.proxies[n].links[slot] = Link { conn, up: false, heard: self.now };
        self.owners.insert(conn, n);
        let (proxy, planner) = (Node::Proxy(n as u32), Node::Control(slot as u8));
        let way = self.places.geography.one_way_delay(self.places.spot(proxy), self.places.spot(planner));
        let cut = !self.cuts.is_empty() && (self.is_cut(proxy, planner) || self.is_cut(planner, proxy));
        let (at, event) = if cut {
            (DIAL, Event::Failed(n, slot, conn))
        } else if self.planners[slot].is_none() {
            (2 * way, Event::Failed(n, slot, conn))
        } else {
            (2 * way, Event::Up(n, slot, conn))
        };
        self.queue.plan(self.now + at, event);
    }

    fn send(&mut self, n: usize, slot: usize, conn: u64, up: bool, message: Rc<Message>) {
        let bytes = match &self.sized {
            Some((last, bytes)) if Rc::ptr_eq(last, &message) => *bytes,
            _ => {
                let bytes = frame::encode(&message).map_or(0, |b| b.len());
                self.sized = Some((message.clone(), bytes));
                bytes
            }
        };
        if self.now >= WARM {
            self.bytes[usize::from(up)] += bytes as u64;
            self.messages += 1;
        }
        let (proxy, planner) = (Node::Proxy(n as u32), Node::Control(slot as u8));
        let (from, to) = if up { (proxy, planner) } else { (planner, proxy) };
        if !self.cuts.is_empty() && self.is_cut(from, to) {
            // What a cut holds comes too late to matter to a view; the next one replaces it.
            return;
        }
        let way = self.places.geography.one_way_delay(self.places.spot(from), self.places.spot(to));
        let last = self.last.entry((conn, up)).or_default();
        *last = (*last).max(self.now + delay(way, &mut self.rng));
        let event = match up {
            true => Event::ToPlanner(n, slot, conn, message),
            false => Event::ToForwarder(n, slot, conn, message, self.now),
        };
        self.queue.plan(*last, event);
    }

    fn planners_of(&self, part: &Part) -> BTreeSet<usize> {
        match part {
            Part::Control(c) | Part::Rack(c) => BTreeSet::from([usize::from(c.0) % PLANNERS]),
            other => {
                let of = self.places.members(other);
                (0..PLANNERS).filter(|n| of.contains(&Node::Control(*n as u8))).collect()
            }
        }
    }

    fn act(&mut self, n: usize) {
        let Some((_, act)) = self.scenario.acts.get(n).cloned() else { return };
        match act {
            Act::Cut { from, to, on: true } => self.cuts.push((from, to)),
            Act::Cut { from, to, on: false } => self.cuts.retain(|c| *c != (from.clone(), to.clone())),
            Act::Kill(part) | Act::Dark(part) => {
                for slot in self.planners_of(&part) {
                    self.planners[slot] = None;
                    for n in 0..self.proxies.len() {
                        let link = self.proxies[n].links[slot];
                        if link.conn != 0 {
                            self.queue.plan(self.now + 1_000, Event::Gone(n, slot, link.conn));
                        }
                    }
                }
                for node in self.places.members(&part) {
                    if let Node::Proxy(n) = node {
                        self.end(n as usize);
                    }
                }
            }
            Act::Start(part, _) => {
                self.start_planners(self.planners_of(&part));
                for node in self.places.members(&part) {
                    if let Node::Proxy(n) = node {
                        self.start(n as usize);
                    }
                }
            }
            Act::Restore => {
                let all: BTreeSet<usize> = (0..PLANNERS).collect();
                all.iter().for_each(|n| self.planners[*n] = None);
                self.start_planners(all);
            }
            Act::Hang(control, hang) => {
                self.hung[usize::from(control.0) % PLANNERS] = matches!(hang, Some(Hang::Mute | Hang::Still));
            }
            Act::Roll { every, down } => {
                for n in 0..self.proxies.len() {
                    let at = self.now + every * n as Micros;
                    self.queue.plan(at, Event::Roll(n, false));
                    self.queue.plan(at + down, Event::Roll(n, true));
                }
            }
            // Planners carry no changes, and no position.
            Act::Slow(..) | Act::Note(_) | Act::Copy | Act::Load(_) | Act::Largest | Act::Refused => {}
        }
    }

    fn start_planners(&mut self, slots: BTreeSet<usize>) {
        for slot in slots {
            if self.planners[slot].is_none() {
                let epoch = 1_000 + self.now as u64 / 1_000;
                self.planners[slot] = Planner::new(self.now, self.rules.clone(), epoch).ok();
                self.queue.plan(self.now, Event::Planner(slot));
            }
        }
    }
}
