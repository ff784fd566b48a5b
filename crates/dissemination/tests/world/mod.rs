//! A few control machines and followers in one process: queues for connections, a clock that goes in hops, and
//! judges that look after every word.
//!
//! In a hop each connection hands over what was queued when the hop began, and machines whose time has come tick.
#![allow(dead_code)]

use dissemination::control::{self, ConnectionKind};
use dissemination::follower;
use dissemination::message::StatusReport;
use dissemination::rules::InjectedFault;
use dissemination::{
    Content, Control, ControlId, Follower, FollowerId, Message, Micros, PeerId, Piece, Record, Rules,
    StreamId, TopicKind,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

pub const HOP: Micros = 20_000;

/// A change's place.
pub type At = (StreamId, u64);

/// Short times, in hops; the relations are those of the defaults.
pub fn rules(controls: u8, stores: u8, injected_fault: Option<InjectedFault>) -> Rules {
    let rules = Rules {
        controls,
        stores,
        topics: vec![TopicKind::Set, TopicKind::Register],
        beat_interval: 5 * HOP,
        poll_interval: 5 * HOP,
        ack_interval: 5 * HOP,
        lease: 35 * HOP,
        silence_timeout: 12 * HOP,
        gap_timeout: 6 * HOP,
        idle_timeout: 25 * HOP,
        min_redial_delay: 5 * HOP,
        max_redial_delay: 20 * HOP,
        primary_rate: 8000,
        secondary_rate: 4000,
        follower_rate: 4000,
        count_timeout: 10 * HOP,
        message_rate: 1000,
        injected_fault,
        ..Rules::default()
    };
    rules.check().expect("sound rules");
    rules
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    Control(usize),
    Follower(usize),
    /// A client, which the world plays.
    Client,
}

#[derive(Clone, Debug, Hash)]
pub struct Wire {
    pub ends: [End; 2],
    /// On the way from the first to the second, and back.
    pub queues: [VecDeque<Rc<Message>>; 2],
    /// Nothing comes through any more, and nobody is told.
    pub hung: [bool; 2],
    /// Hops for which a direction is late.
    pub late: [u8; 2],
    /// The end that has closed it: what it sent before still comes.
    pub closed: Option<usize>,
}

/// What holds for a machine, until it is told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ill {
    /// Does nothing at all.
    pub frozen: bool,
    /// Hears nothing.
    pub deaf: bool,
    /// What it says does not arrive.
    pub mute: bool,
    /// What it carries has wrong bytes.
    pub lies: bool,
}

/// A property, broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Broken {
    /// A change was applied a second time.
    Twice,
    /// A change was applied before one that comes before it, or over a gap.
    Order,
    /// Bytes were applied that nobody submitted as that change.
    Bytes,
    /// An acknowledged number was given to another change.
    Lost,
    /// A follower holds itself fresh as of an instant and lacks what was acknowledged before it.
    Fresh,
    /// A follower serves without what was acknowledged a lease ago.
    Lease,
    /// A status says that all have what some in service have not.
    Count,
    /// A machine refused what an honest one said.
    Quarrel,
    /// Long after a single fault a follower is not in service, or lacks something.
    Stuck,
}

#[derive(Clone, Debug, Hash)]
pub struct Applied {
    /// The last number of each stream, and the bodies since the last mark or start.
    pub upto: BTreeMap<StreamId, u64>,
    pub bodies: BTreeMap<(StreamId, u64), Rc<[u8]>>,
    pub marks: u64,
    pub stale: u64,
}

#[derive(Clone)]
pub struct World {
    pub now: Micros,
    pub hops: usize,
    pub rules: Rules,
    pub controls: Vec<Option<Control>>,
    pub disks: Vec<Vec<Record>>,
    pub followers: Vec<Option<Follower>>,
    pub orders: Vec<Vec<ControlId>>,
    pub lives: Vec<u64>,
    pub applied: Vec<Applied>,
    pub ills: Vec<Ill>,
    /// Followers of which no connection works.
    pub cut_off: Vec<bool>,
    pub wires: BTreeMap<PeerId, Wire>,
    pub count: PeerId,
    dials: Vec<(End, ControlId)>,
    submitted: BTreeMap<u32, Rc<[u8]>>,
    /// What was acknowledged, and when.
    pub acknowledged: BTreeMap<At, (Rc<[u8]>, Micros)>,
    pub busy: Vec<(u32, u32)>,
    pub told: Vec<StatusReport>,
    /// The bodies that any follower applied, the first time.
    pub seen: BTreeMap<(StreamId, u64), Rc<[u8]>>,
    asked: BTreeMap<u32, (StreamId, u64)>,
    pub liars: bool,
    /// Whether any store has lost its disk.
    pub wiped: bool,
    pub errors: Vec<String>,
    pub bytes_to: Vec<u64>,
    pub verdict: Result<(), Broken>,
}

pub fn body(token: u32) -> Rc<[u8]> {
    let mut bytes = token.to_be_bytes().to_vec();
    bytes.extend([7, 7]);
    Rc::from(bytes)
}

impl World {
    pub fn new(rules: Rules, followers: usize) -> World {
        let controls = usize::from(rules.controls);
        let order = |f: usize| (0..controls).map(|c| ControlId(((c + f) % controls) as u8)).collect();
        let mut world = World {
            now: 1000 * HOP,
            hops: 0,
            controls: vec![None; controls],
            disks: vec![vec![]; controls],
            followers: vec![None; followers],
            orders: (0..followers).map(order).collect(),
            lives: vec![0; followers],
            applied: vec![],
            ills: vec![Ill::default(); controls],
            cut_off: vec![false; followers],
            wires: BTreeMap::new(),
            count: 0,
            dials: vec![],
            submitted: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            busy: vec![],
            told: vec![],
            seen: BTreeMap::new(),
            asked: BTreeMap::new(),
            liars: false,
            wiped: false,
            errors: vec![],
            bytes_to: vec![0; followers],
            verdict: Ok(()),
            rules,
        };
        (0..controls).for_each(|c| world.start_control(c));
        let nothing = Applied { upto: BTreeMap::new(), bodies: BTreeMap::new(), marks: 0, stale: 0 };
        world.applied = vec![nothing; followers];
        (0..followers).for_each(|f| world.start_follower(f, None));
        world
    }

    pub fn start_control(&mut self, c: usize) {
        let roster = (0..self.followers.len()).map(|f| FollowerId(f as u64)).collect();
        let control =
            Control::new(self.now, self.rules.clone(), ControlId(c as u8), roster, self.disks[c].clone());
        self.controls[c] = Some(control.expect("sound rules and records"));
    }

    pub fn start_follower(&mut self, f: usize, kept: Option<dissemination::SavedState>) {
        self.lives[f] += 1;
        let (id, order) = (FollowerId(f as u64), self.orders[f].clone());
        let applied = &mut self.applied[f];
        // What it has forgotten it has to be told again.
        applied.upto =
            kept.iter().flat_map(|k| k.heads.iter().map(|(stream, head)| (*stream, head.number))).collect();
        if kept.is_none() {
            applied.bodies.clear();
        }
        let follower = Follower::new(self.now, self.rules.clone(), id, order, kept, self.lives[f]);
        self.followers[f] = Some(follower.expect("sound rules"));
    }

    /// Ends a control machine. Nobody hears what is on the way.
    pub fn kill_control(&mut self, c: usize) {
        self.controls[c] = None;
        self.drop_wires(End::Control(c));
    }

    pub fn kill_follower(&mut self, f: usize) -> dissemination::SavedState {
        let kept = self.followers[f].take().map(|f| f.saved_state()).unwrap_or_default();
        self.drop_wires(End::Follower(f));
        kept
    }

    fn drop_wires(&mut self, end: End) {
        let of = |w: &Wire| w.ends.contains(&end);
        let ids: Vec<PeerId> = self.wires.iter().filter(|(_, w)| of(w)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.break_wire(id, false));
        self.dials.retain(|d| d.0 != end);
    }

    /// Breaks a connection. What is on the way is lost, or comes before the ends know.
    pub fn break_wire(&mut self, id: PeerId, comes: bool) {
        let Some(mut wire) = self.wires.remove(&id) else { return };
        for dir in 0..2 {
            let queue = std::mem::take(&mut wire.queues[dir]);
            if comes && !wire.hung[dir] {
                queue.into_iter().for_each(|m| self.hand(id, wire.ends[dir], wire.ends[1 - dir], &m));
            }
        }
        for at in 0..2 {
            if wire.closed != Some(at) {
                self.down(id, wire.ends[at], wire.ends[1 - at]);
            }
        }
    }

    fn down(&mut self, id: PeerId, end: End, other: End) {
        match end {
            End::Control(c) => {
                let mut out = vec![];
                if let Some(control) = self.controls[c].as_mut() {
                    control.down(self.now, id, &mut out);
                }
                self.control_does(c, out);
            }
            End::Follower(f) => {
                let mut out = vec![];
                let End::Control(c) = other else { return };
                // Another connection to the same one may have begun: the host keeps them apart.
                let other = self.wires.values().any(|w| w.ends == [end, other] && w.closed.is_none());
                if let Some(follower) = self.followers[f].as_mut().filter(|_| !other) {
                    follower.down(self.now, ControlId(c as u8), &mut out);
                }
                self.follower_does(f, out);
            }
            End::Client => {}
        }
    }

    /// One hop.
    pub fn hop(&mut self) {
        self.now += HOP;
        self.hops += 1;
        for (from, to) in std::mem::take(&mut self.dials) {
            self.dial(from, usize::from(to.0));
        }
        let due: Vec<(PeerId, [usize; 2])> =
            self.wires.iter().map(|(id, w)| (*id, [w.queues[0].len(), w.queues[1].len()])).collect();
        for (id, counts) in due {
            for (dir, count) in counts.into_iter().enumerate() {
                self.deliver(id, dir, count);
            }
        }
        for c in 0..self.controls.len() {
            let mut out = vec![];
            let Some(control) = self.controls[c].as_mut().filter(|_| !self.ills[c].frozen) else { continue };
            if control.next_tick() <= self.now {
                control.tick(self.now, &mut out);
            }
            self.control_does(c, out);
        }
        for f in 0..self.followers.len() {
            let mut out = vec![];
            let Some(follower) = self.followers[f].as_mut() else { continue };
            if follower.next_tick() <= self.now {
                follower.tick(self.now, &mut out);
            }
            self.follower_does(f, out);
        }
        self.judge();
    }

    pub fn run(&mut self, hops: usize) {
        (0..hops).for_each(|_| self.hop());
    }

    fn ill(&self, end: End) -> Ill {
        match end {
            End::Control(c) => self.ills[c],
            _ => Ill::default(),
        }
    }

    fn deliver(&mut self, id: PeerId, dir: usize, count: usize) {
        for _ in 0..count {
            let Some(wire) = self.wires.get_mut(&id) else { return };
            let (from, to) = (wire.ends[dir], wire.ends[1 - dir]);
            if wire.closed == Some(1 - dir) {
                return wire.queues[dir].clear();
            }
            if wire.hung[dir] {
                return;
            }
            if wire.late[dir] > 0 {
                wire.late[dir] -= 1;
                return;
            }
            if self
                .ills
                .get(match to {
                    End::Control(c) => c,
                    _ => usize::MAX,
                })
                .is_some_and(|i| i.frozen)
            {
                return;
            }
            let Some(message) = self.wires.get_mut(&id).and_then(|w| w.queues[dir].pop_front()) else {
                return;
            };
            if !self.ill(from).mute && !self.ill(to).deaf {
                self.hand(id, from, to, &message);
            }
        }
        // Last comes that it was closed.
        if self
            .wires
            .get(&id)
            .is_some_and(|w| w.closed == Some(dir) && w.queues[dir].is_empty() && !w.hung[dir])
        {
            self.break_wire(id, false);
        }
    }

    fn hand(&mut self, id: PeerId, from: End, to: End, message: &Rc<Message>) {
        let message = if self.ill(from).lies { Rc::new(lie(message)) } else { message.clone() };
        match to {
            End::Control(c) => {
                let mut out = vec![];
                let Some(control) = self.controls[c].as_mut() else { return };
                let done = control.handle_message(self.now, id, &message, &mut out);
                self.control_does(c, out);
                if let Err(why) = done {
                    self.quarrel(format!("{to:?} of {from:?}: {why}"));
                    self.closed(id, to);
                }
            }
            End::Follower(f) => {
                let End::Control(c) = from else { return };
                let mut out = vec![];
                let Some(follower) = self.followers[f].as_mut() else { return };
                self.bytes_to[f] += dissemination::frame::size(&message) as u64;
                let done = follower.handle_message(self.now, ControlId(c as u8), &message, &mut out);
                self.follower_does(f, out);
                if let Err(why) = done {
                    self.quarrel(format!("{to:?} of {from:?}: {why}"));
                    self.closed(id, to);
                }
            }
            End::Client => self.client(&message),
        }
    }

    fn quarrel(&mut self, what: String) {
        self.errors.push(what);
        if !self.liars {
            self.breaks(Broken::Quarrel);
        }
    }

    pub fn breaks(&mut self, what: Broken) {
        self.verdict = self.verdict.and(Err(what));
    }

    /// One end closed it; the other hears so after what is on the way.
    fn closed(&mut self, id: PeerId, by: End) {
        let Some(wire) = self.wires.get_mut(&id) else { return };
        let at = usize::from(wire.ends[0] != by);
        if wire.closed.is_some() {
            self.wires.remove(&id);
        } else {
            wire.closed = Some(at);
            wire.queues[1 - at].clear();
        }
    }

    fn dial(&mut self, from: End, to: usize) {
        let fails = match from {
            End::Follower(f) => self.cut_off[f],
            End::Control(c) => self.ills[c].frozen,
            End::Client => false,
        };
        // Those cut off are not even told that it failed.
        if fails {
            return;
        }
        if self.controls[to].is_none() {
            if let End::Follower(f) = from {
                let mut out = vec![];
                if let Some(follower) = self.followers[f].as_mut() {
                    follower.down(self.now, ControlId(to as u8), &mut out);
                }
                self.follower_does(f, out);
            }
            return;
        }
        self.count += 1;
        let id = self.count;
        let wire = Wire {
            ends: [from, End::Control(to)],
            queues: Default::default(),
            hung: [false; 2],
            late: [0; 2],
            closed: None,
        };
        self.wires.insert(id, wire);
        let mut out = vec![];
        if let Some(control) = self.controls[to].as_mut() {
            control.up(self.now, id, ConnectionKind::Accepted, &mut out);
        }
        self.control_does(to, out);
        match from {
            End::Control(c) => {
                let mut out = vec![];
                if let Some(control) = self.controls[c].as_mut() {
                    control.up(self.now, id, ConnectionKind::Control(ControlId(to as u8)), &mut out);
                }
                self.control_does(c, out);
            }
            End::Follower(f) => {
                let mut out = vec![];
                if let Some(follower) = self.followers[f].as_mut() {
                    follower.up(self.now, ControlId(to as u8), &mut out);
                }
                self.follower_does(f, out);
            }
            End::Client => {}
        }
    }

    fn send(&mut self, id: PeerId, from: End, message: Rc<Message>) {
        if let Some(wire) = self.wires.get_mut(&id).filter(|w| w.closed.is_none()) {
            let dir = usize::from(wire.ends[0] != from);
            if wire.ends[1 - dir] == End::Client {
                return self.client(&message);
            }
            wire.queues[dir].push_back(message);
        }
    }

    fn control_does(&mut self, c: usize, out: Vec<control::Output>) {
        for o in out {
            match o {
                control::Output::Dial(to) => self.dials.push((End::Control(c), to)),
                control::Output::Send(id, message) => self.send(id, End::Control(c), message),
                control::Output::Persist(records) => self.disks[c].extend(records),
                control::Output::Close(id, _) => self.closed(id, End::Control(c)),
            }
        }
    }

    fn wire_of(&self, f: usize, to: ControlId) -> Option<PeerId> {
        let ends = [End::Follower(f), End::Control(usize::from(to.0))];
        self.wires.iter().rev().find(|(_, w)| w.ends == ends && w.closed.is_none()).map(|(id, _)| *id)
    }

    fn follower_does(&mut self, f: usize, out: Vec<follower::Output>) {
        for o in out {
            match o {
                follower::Output::Dial(to) => self.dials.push((End::Follower(f), to)),
                follower::Output::Send(to, message) => {
                    if let Some(id) = self.wire_of(f, to) {
                        self.send(id, End::Follower(f), Rc::new(message));
                    }
                }
                follower::Output::Close(to, _) => {
                    self.dials.retain(|d| *d != (End::Follower(f), to));
                    if let Some(id) = self.wire_of(f, to) {
                        self.closed(id, End::Follower(f));
                    }
                }
                follower::Output::Apply(piece) => self.apply(f, &piece),
                follower::Output::Stale(stream) => {
                    let applied = &mut self.applied[f];
                    applied.stale += 1;
                    applied.upto.remove(&stream);
                    applied.bodies.retain(|k, _| k.0 != stream);
                }
                follower::Output::OutOfService | follower::Output::InService => {}
            }
        }
        let Some(follower) = &self.followers[f] else { return };
        let held: BTreeMap<StreamId, u64> = follower.position().iter().collect();
        assert_eq!(held, self.applied[f].upto, "what it says that it holds is what it was given to apply");
    }

    fn apply(&mut self, f: usize, piece: &Piece) {
        assert!(!matches!(piece.content, Content::Part { .. }), "hosts see no parts");
        let applied = &mut self.applied[f];
        let upto = applied.upto.entry(piece.stream).or_insert(0);
        let mut broken = None;
        if piece.upto() <= *upto {
            broken = Some(Broken::Twice);
        }
        if piece.after > *upto {
            broken = Some(Broken::Order);
        }
        *upto = piece.upto();
        applied.marks += u64::from(piece.is_mark());
        let mut last = piece.after;
        for (number, _, body) in piece.changes() {
            let at = (piece.stream, number);
            if number <= last {
                broken = broken.or(Some(Broken::Order));
            }
            last = number;
            let body: Rc<[u8]> = Rc::from(body);
            if applied.bodies.insert(at, body.clone()).is_some() {
                broken = broken.or(Some(Broken::Twice));
            }
            let first = self.seen.entry(at).or_insert(body.clone());
            if *first != body || self.acknowledged.get(&at).is_some_and(|a| a.0 != body) {
                broken = broken.or(Some(Broken::Bytes));
            }
        }
        if let Some(what) = broken {
            self.breaks(what);
        }
    }

    // The client.

    fn client_wire(&mut self, c: usize) -> Option<PeerId> {
        self.controls[c].as_ref()?;
        let ends = [End::Client, End::Control(c)];
        let known = self.wires.iter().find(|(_, w)| w.ends == ends && w.closed.is_none()).map(|(id, _)| *id);
        Some(known.unwrap_or_else(|| {
            self.dial(End::Client, c);
            self.count
        }))
    }

    pub fn submit(&mut self, c: usize, topic: u8, key: u32, token: u32) {
        self.submit_body(c, topic, key, token, body(token));
    }

    pub fn submit_body(&mut self, c: usize, topic: u8, key: u32, token: u32, body: Rc<[u8]>) {
        let Some(id) = self.client_wire(c).filter(|_| !self.ills[c].frozen) else { return };
        self.submitted.insert(token, body.clone());
        self.hand(id, End::Client, End::Control(c), &Rc::new(Message::Submit { token, topic, key, body }));
    }

    pub fn ask(&mut self, c: usize, stream: StreamId, number: u64, token: u32) {
        let Some(id) = self.client_wire(c).filter(|_| !self.ills[c].frozen) else { return };
        self.asked.insert(token, (stream, number));
        let message = Message::Status { token, stream, number, from: FollowerId(0) };
        self.hand(id, End::Client, End::Control(c), &Rc::new(message));
    }

    fn client(&mut self, message: &Message) {
        match message {
            Message::Submitted { token, stream, number } => {
                let body = self.submitted[token].clone();
                let at = (*stream, *number);
                let known = self.seen.get(&at).is_some_and(|b| *b != body);
                let before = self.acknowledged.insert(at, (body, self.now));
                if before.is_some() || known {
                    self.breaks(Broken::Lost);
                }
            }
            Message::Busy { token, after } => self.busy.push((*token, *after)),
            Message::Told(told) => {
                let (stream, number) = self.asked[&told.token];
                let lacks = |f: usize| {
                    let Some(follower) = &self.followers[f] else { return false };
                    follower.in_service(self.now)
                        && self.applied[f].upto.get(&stream).copied().unwrap_or(0) < number
                };
                let named = |f: usize| told.missing.contains(&FollowerId(f as u64));
                let unnamed = (0..self.followers.len()).any(|f| lacks(f) && !named(f));
                if unnamed || (told.lapsed && (0..self.followers.len()).any(lacks)) {
                    self.breaks(Broken::Count);
                }
                self.told.push(told.clone());
            }
            other => panic!("a client does not expect {}", other.name()),
        }
    }

    // Judges.

    fn judge(&mut self) {
        let lease = self.rules.lease;
        let mut broken = None;
        for (f, follower) in self.followers.iter().enumerate() {
            let Some(follower) = follower else { continue };
            let holds =
                |at: &(StreamId, u64)| self.applied[f].upto.get(&at.0).is_some_and(|upto| *upto >= at.1);
            for (at, (_, when)) in &self.acknowledged {
                if !holds(at) && follower.fresh().is_some_and(|fresh| *when < fresh) {
                    broken = broken.or(Some(Broken::Fresh));
                }
                if !holds(at) && follower.in_service(self.now) && *when < self.now - lease {
                    broken = broken.or(Some(Broken::Lease));
                }
            }
        }
        if let Some(what) = broken {
            self.breaks(what);
        }
    }

    /// Whether what was acknowledged is still what control machines hold under its number.
    pub fn judge_held(&mut self) {
        for control in self.controls.iter().flatten() {
            for record in control.records() {
                let Record::Change(change, _) = record else { continue };
                let at = (change.stream, change.number);
                if self.acknowledged.get(&at).is_some_and(|a| a.0 != change.body) {
                    self.verdict = self.verdict.and(Err(Broken::Lost));
                }
            }
        }
    }

    /// Whether every follower that can be is in service, and has all that was acknowledged.
    pub fn judge_whole(&mut self) {
        self.judge_held();
        for (f, follower) in self.followers.iter().enumerate() {
            let Some(follower) = follower.as_ref().filter(|_| !self.cut_off[f]) else { continue };
            let upto = &self.applied[f].upto;
            let holds = self.acknowledged.keys().all(|at| upto.get(&at.0).is_some_and(|u| *u >= at.1));
            if !holds || !follower.in_service(self.now) {
                self.verdict = self.verdict.and(Err(Broken::Stuck));
            }
        }
    }

    pub fn hash(&self) -> u64 {
        let mut h = DefaultHasher::new();
        (self.now, &self.controls, &self.disks, &self.followers, &self.applied, &self.ills).hash(&mut h);
        (&self.cut_off, &self.wires, &self.acknowledged, &self.lives, &self.seen).hash(&mut h);
        (&self.dials, self.wiped, self.liars).hash(&mut h);
        h.finish()
    }

    pub fn streams(&self) -> BTreeSet<StreamId> {
        self.acknowledged.keys().map(|a| a.0).collect()
    }
}

/// The same with one wrong byte in the first change that it carries.
fn lie(message: &Message) -> Message {
    let flip = |b: &Rc<[u8]>| {
        let mut bytes = b.to_vec();
        if let Some(last) = bytes.last_mut() {
            *last ^= 1;
        }
        Rc::from(bytes)
    };
    let Message::Batch(pieces) = message else { return message.clone() };
    let mut pieces = pieces.clone();
    if let Some(piece) = pieces.first_mut() {
        match &mut piece.content {
            Content::Even { bytes, .. } | Content::Part { bytes, .. } => *bytes = flip(bytes),
            Content::Bodies(bodies) => bodies.iter_mut().take(1).for_each(|b| *b = flip(b)),
            Content::Entries { entries, .. } => {
                entries.iter_mut().take(1).for_each(|e| e.body = flip(&e.body))
            }
            Content::Mark { .. } => {}
        }
    }
    Message::Batch(pieces)
}
