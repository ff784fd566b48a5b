//! Simulates a few control machines and followers in one process, with queues for connections and a clock
//! that advances in steps. Invariants are checked after every step.
//!
//! In a step each connection delivers what was queued when the step began, and machines that are due tick.
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

pub const STEP: Micros = 20_000;

/// Identifies a change.
pub type ChangeId = (StreamId, u64);

/// Short times, in steps, with the same relations as the defaults.
pub fn rules(controls: u8, stores: u8, injected_fault: Option<InjectedFault>) -> Rules {
    let rules = Rules {
        controls,
        stores,
        topics: vec![TopicKind::Set, TopicKind::Register],
        beat_interval: 5 * STEP,
        poll_interval: 5 * STEP,
        ack_interval: 5 * STEP,
        lease: 35 * STEP,
        silence_timeout: 12 * STEP,
        gap_timeout: 6 * STEP,
        idle_timeout: 25 * STEP,
        min_redial_delay: 5 * STEP,
        max_redial_delay: 20 * STEP,
        primary_rate: 8000,
        secondary_rate: 4000,
        follower_rate: 4000,
        count_timeout: 10 * STEP,
        message_rate: 1000,
        injected_fault,
        ..Rules::default()
    };
    rules.check().expect("valid rules");
    rules
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    Control(usize),
    Follower(usize),
    /// A client, played by the simulation.
    Client,
}

#[derive(Clone, Debug, Hash)]
pub struct Connection {
    pub ends: [Endpoint; 2],
    /// Messages in transit from the first end to the second, and back.
    pub queues: [VecDeque<Rc<Message>>; 2],
    /// Nothing is delivered any more, and neither end is notified.
    pub stalled: [bool; 2],
    /// Steps for which a direction is delayed.
    pub late: [u8; 2],
    /// The end that has closed the connection. What it sent before is still delivered.
    pub closed: Option<usize>,
}

/// Faults of a machine that last until they are cleared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MachineFault {
    /// Does not run at all.
    pub frozen: bool,
    /// Drops incoming messages.
    pub deaf: bool,
    /// Its outgoing messages are dropped.
    pub mute: bool,
    /// Corrupts the changes that it sends.
    pub corrupts: bool,
}

/// A violated property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// A change was applied a second time.
    Twice,
    /// A change was applied out of order or across a gap.
    Order,
    /// Bytes were applied that were not submitted as that change.
    Bytes,
    /// The number of an acknowledged change was assigned to another change.
    Lost,
    /// A follower claims to be up to date as of an instant but is missing a change acknowledged before it.
    Fresh,
    /// A follower is in service without a change that was acknowledged more than a lease ago.
    Lease,
    /// A status report counts a change as present on a follower that is in service without it.
    Count,
    /// A machine rejected a valid message from a correct peer.
    UnexpectedRejection,
    /// Long after a single fault a follower is out of service or missing a change.
    Stuck,
}

#[derive(Clone, Debug, Hash)]
pub struct Applied {
    /// The last number of each stream, and the bodies applied since the last mark or restart.
    pub upto: BTreeMap<StreamId, u64>,
    pub bodies: BTreeMap<(StreamId, u64), Rc<[u8]>>,
    pub marks: u64,
    pub stale: u64,
}

#[derive(Clone)]
pub struct World {
    pub now: Micros,
    pub steps: usize,
    pub rules: Rules,
    pub controls: Vec<Option<Control>>,
    pub disks: Vec<Vec<Record>>,
    pub followers: Vec<Option<Follower>>,
    pub orders: Vec<Vec<ControlId>>,
    pub incarnations: Vec<u64>,
    pub applied: Vec<Applied>,
    pub machine_faults: Vec<MachineFault>,
    /// Followers without any working connection.
    pub isolated: Vec<bool>,
    pub connections: BTreeMap<PeerId, Connection>,
    pub count: PeerId,
    dials: Vec<(Endpoint, ControlId)>,
    submitted: BTreeMap<u32, Rc<[u8]>>,
    /// Acknowledged changes, with the time of the acknowledgement.
    pub acknowledged: BTreeMap<ChangeId, (Rc<[u8]>, Micros)>,
    pub busy: Vec<(u32, u32)>,
    pub status_reports: Vec<StatusReport>,
    /// The body with which each change was first applied by any follower.
    pub first_applied: BTreeMap<(StreamId, u64), Rc<[u8]>>,
    status_queries: BTreeMap<u32, (StreamId, u64)>,
    pub corruption_expected: bool,
    /// Whether any store has lost its disk.
    pub store_wiped: bool,
    pub errors: Vec<String>,
    pub bytes_received: Vec<u64>,
    pub result: Result<(), Violation>,
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
            now: 1000 * STEP,
            steps: 0,
            controls: vec![None; controls],
            disks: vec![vec![]; controls],
            followers: vec![None; followers],
            orders: (0..followers).map(order).collect(),
            incarnations: vec![0; followers],
            applied: vec![],
            machine_faults: vec![MachineFault::default(); controls],
            isolated: vec![false; followers],
            connections: BTreeMap::new(),
            count: 0,
            dials: vec![],
            submitted: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            busy: vec![],
            status_reports: vec![],
            first_applied: BTreeMap::new(),
            status_queries: BTreeMap::new(),
            corruption_expected: false,
            store_wiped: false,
            errors: vec![],
            bytes_received: vec![0; followers],
            result: Ok(()),
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
        self.controls[c] = Some(control.expect("valid rules and records"));
    }

    pub fn start_follower(&mut self, f: usize, saved: Option<dissemination::SavedState>) {
        self.incarnations[f] += 1;
        let (id, order) = (FollowerId(f as u64), self.orders[f].clone());
        let applied = &mut self.applied[f];
        // A follower without its saved state must receive everything again.
        applied.upto =
            saved.iter().flat_map(|k| k.heads.iter().map(|(stream, head)| (*stream, head.number))).collect();
        if saved.is_none() {
            applied.bodies.clear();
        }
        let follower = Follower::new(self.now, self.rules.clone(), id, order, saved, self.incarnations[f]);
        self.followers[f] = Some(follower.expect("valid rules"));
    }

    /// Stops a control machine. Messages in transit are lost.
    pub fn kill_control(&mut self, c: usize) {
        self.controls[c] = None;
        self.drop_connections(Endpoint::Control(c));
    }

    pub fn kill_follower(&mut self, f: usize) -> dissemination::SavedState {
        let saved = self.followers[f].take().map(|f| f.saved_state()).unwrap_or_default();
        self.drop_connections(Endpoint::Follower(f));
        saved
    }

    fn drop_connections(&mut self, end: Endpoint) {
        let of = |w: &Connection| w.ends.contains(&end);
        let ids: Vec<PeerId> = self.connections.iter().filter(|(_, w)| of(w)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.break_connection(id, false));
        self.dials.retain(|d| d.0 != end);
    }

    /// Breaks a connection. Messages in transit are lost, or delivered before the ends notice.
    pub fn break_connection(&mut self, id: PeerId, comes: bool) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        for dir in 0..2 {
            let queue = std::mem::take(&mut connection.queues[dir]);
            if comes && !connection.stalled[dir] {
                queue.into_iter().for_each(|m| {
                    self.deliver_message(id, connection.ends[dir], connection.ends[1 - dir], &m)
                });
            }
        }
        for at in 0..2 {
            if connection.closed != Some(at) {
                self.down(id, connection.ends[at], connection.ends[1 - at]);
            }
        }
    }

    fn down(&mut self, id: PeerId, end: Endpoint, other: Endpoint) {
        match end {
            Endpoint::Control(c) => {
                let mut out = vec![];
                if let Some(control) = self.controls[c].as_mut() {
                    control.down(self.now, id, &mut out);
                }
                self.run_control_outputs(c, out);
            }
            Endpoint::Follower(f) => {
                let mut out = vec![];
                let Endpoint::Control(c) = other else { return };
                // There may already be a new connection to the same machine; the host tells them apart.
                let other = self.connections.values().any(|w| w.ends == [end, other] && w.closed.is_none());
                if let Some(follower) = self.followers[f].as_mut().filter(|_| !other) {
                    follower.down(self.now, ControlId(c as u8), &mut out);
                }
                self.run_follower_outputs(f, out);
            }
            Endpoint::Client => {}
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        for (from, to) in std::mem::take(&mut self.dials) {
            self.dial(from, usize::from(to.0));
        }
        let due: Vec<(PeerId, [usize; 2])> =
            self.connections.iter().map(|(id, w)| (*id, [w.queues[0].len(), w.queues[1].len()])).collect();
        for (id, counts) in due {
            for (dir, count) in counts.into_iter().enumerate() {
                self.deliver(id, dir, count);
            }
        }
        for c in 0..self.controls.len() {
            let mut out = vec![];
            let Some(control) = self.controls[c].as_mut().filter(|_| !self.machine_faults[c].frozen) else {
                continue;
            };
            if control.next_tick() <= self.now {
                control.tick(self.now, &mut out);
            }
            self.run_control_outputs(c, out);
        }
        for f in 0..self.followers.len() {
            let mut out = vec![];
            let Some(follower) = self.followers[f].as_mut() else { continue };
            if follower.next_tick() <= self.now {
                follower.tick(self.now, &mut out);
            }
            self.run_follower_outputs(f, out);
        }
        self.check_invariants();
    }

    pub fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    fn fault_of(&self, end: Endpoint) -> MachineFault {
        match end {
            Endpoint::Control(c) => self.machine_faults[c],
            _ => MachineFault::default(),
        }
    }

    fn deliver(&mut self, id: PeerId, dir: usize, count: usize) {
        for _ in 0..count {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let (from, to) = (connection.ends[dir], connection.ends[1 - dir]);
            if connection.closed == Some(1 - dir) {
                return connection.queues[dir].clear();
            }
            if connection.stalled[dir] {
                return;
            }
            if connection.late[dir] > 0 {
                connection.late[dir] -= 1;
                return;
            }
            if self
                .machine_faults
                .get(match to {
                    Endpoint::Control(c) => c,
                    _ => usize::MAX,
                })
                .is_some_and(|i| i.frozen)
            {
                return;
            }
            let Some(message) = self.connections.get_mut(&id).and_then(|w| w.queues[dir].pop_front()) else {
                return;
            };
            if !self.fault_of(from).mute && !self.fault_of(to).deaf {
                self.deliver_message(id, from, to, &message);
            }
        }
        // The close is delivered after all messages.
        if self
            .connections
            .get(&id)
            .is_some_and(|w| w.closed == Some(dir) && w.queues[dir].is_empty() && !w.stalled[dir])
        {
            self.break_connection(id, false);
        }
    }

    fn deliver_message(&mut self, id: PeerId, from: Endpoint, to: Endpoint, message: &Rc<Message>) {
        let message =
            if self.fault_of(from).corrupts { Rc::new(corrupted(message)) } else { message.clone() };
        match to {
            Endpoint::Control(c) => {
                let mut out = vec![];
                let Some(control) = self.controls[c].as_mut() else { return };
                let done = control.handle_message(self.now, id, &message, &mut out);
                self.run_control_outputs(c, out);
                if let Err(reason) = done {
                    self.record_rejection(format!("{to:?} of {from:?}: {reason}"));
                    self.closed(id, to);
                }
            }
            Endpoint::Follower(f) => {
                let Endpoint::Control(c) = from else { return };
                let mut out = vec![];
                let Some(follower) = self.followers[f].as_mut() else { return };
                self.bytes_received[f] += dissemination::frame::size(&message) as u64;
                let done = follower.handle_message(self.now, ControlId(c as u8), &message, &mut out);
                self.run_follower_outputs(f, out);
                if let Err(reason) = done {
                    self.record_rejection(format!("{to:?} of {from:?}: {reason}"));
                    self.closed(id, to);
                }
            }
            Endpoint::Client => self.client(&message),
        }
    }

    fn record_rejection(&mut self, what: String) {
        self.errors.push(what);
        if !self.corruption_expected {
            self.record_violation(Violation::UnexpectedRejection);
        }
    }

    pub fn record_violation(&mut self, what: Violation) {
        self.result = self.result.and(Err(what));
    }

    /// One end closed the connection; the other is notified after the messages in transit.
    fn closed(&mut self, id: PeerId, by: Endpoint) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let at = usize::from(connection.ends[0] != by);
        if connection.closed.is_some() {
            self.connections.remove(&id);
        } else {
            connection.closed = Some(at);
            connection.queues[1 - at].clear();
        }
    }

    fn dial(&mut self, from: Endpoint, to: usize) {
        let fails = match from {
            Endpoint::Follower(f) => self.isolated[f],
            Endpoint::Control(c) => self.machine_faults[c].frozen,
            Endpoint::Client => false,
        };
        // An isolated follower is not even notified that the attempt failed.
        if fails {
            return;
        }
        if self.controls[to].is_none() {
            if let Endpoint::Follower(f) = from {
                let mut out = vec![];
                if let Some(follower) = self.followers[f].as_mut() {
                    follower.down(self.now, ControlId(to as u8), &mut out);
                }
                self.run_follower_outputs(f, out);
            }
            return;
        }
        self.count += 1;
        let id = self.count;
        let connection = Connection {
            ends: [from, Endpoint::Control(to)],
            queues: Default::default(),
            stalled: [false; 2],
            late: [0; 2],
            closed: None,
        };
        self.connections.insert(id, connection);
        let mut out = vec![];
        if let Some(control) = self.controls[to].as_mut() {
            control.up(self.now, id, ConnectionKind::Accepted, &mut out);
        }
        self.run_control_outputs(to, out);
        match from {
            Endpoint::Control(c) => {
                let mut out = vec![];
                if let Some(control) = self.controls[c].as_mut() {
                    control.up(self.now, id, ConnectionKind::Control(ControlId(to as u8)), &mut out);
                }
                self.run_control_outputs(c, out);
            }
            Endpoint::Follower(f) => {
                let mut out = vec![];
                if let Some(follower) = self.followers[f].as_mut() {
                    follower.up(self.now, ControlId(to as u8), &mut out);
                }
                self.run_follower_outputs(f, out);
            }
            Endpoint::Client => {}
        }
    }

    fn send(&mut self, id: PeerId, from: Endpoint, message: Rc<Message>) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|w| w.closed.is_none()) {
            let dir = usize::from(connection.ends[0] != from);
            if connection.ends[1 - dir] == Endpoint::Client {
                return self.client(&message);
            }
            connection.queues[dir].push_back(message);
        }
    }

    fn run_control_outputs(&mut self, c: usize, out: Vec<control::Output>) {
        for o in out {
            match o {
                control::Output::Dial(to) => self.dials.push((Endpoint::Control(c), to)),
                control::Output::Send(id, message) => self.send(id, Endpoint::Control(c), message),
                control::Output::Persist(records) => self.disks[c].extend(records),
                control::Output::Close(id, _) => self.closed(id, Endpoint::Control(c)),
            }
        }
    }

    fn connection_of(&self, f: usize, to: ControlId) -> Option<PeerId> {
        let ends = [Endpoint::Follower(f), Endpoint::Control(usize::from(to.0))];
        self.connections.iter().rev().find(|(_, w)| w.ends == ends && w.closed.is_none()).map(|(id, _)| *id)
    }

    fn run_follower_outputs(&mut self, f: usize, out: Vec<follower::Output>) {
        for o in out {
            match o {
                follower::Output::Dial(to) => self.dials.push((Endpoint::Follower(f), to)),
                follower::Output::Send(to, message) => {
                    if let Some(id) = self.connection_of(f, to) {
                        self.send(id, Endpoint::Follower(f), Rc::new(message));
                    }
                }
                follower::Output::Close(to, _) => {
                    self.dials.retain(|d| *d != (Endpoint::Follower(f), to));
                    if let Some(id) = self.connection_of(f, to) {
                        self.closed(id, Endpoint::Follower(f));
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
        assert_eq!(held, self.applied[f].upto, "the reported position matches the applied changes");
    }

    fn apply(&mut self, f: usize, piece: &Piece) {
        assert!(!matches!(piece.content, Content::Part { .. }), "fragments never reach the host");
        let applied = &mut self.applied[f];
        let upto = applied.upto.entry(piece.stream).or_insert(0);
        let mut broken = None;
        if piece.upto() <= *upto {
            broken = Some(Violation::Twice);
        }
        if piece.after > *upto {
            broken = Some(Violation::Order);
        }
        *upto = piece.upto();
        applied.marks += u64::from(piece.is_mark());
        let mut last = piece.after;
        for (number, _, body) in piece.changes() {
            let at = (piece.stream, number);
            if number <= last {
                broken = broken.or(Some(Violation::Order));
            }
            last = number;
            let body: Rc<[u8]> = Rc::from(body);
            if applied.bodies.insert(at, body.clone()).is_some() {
                broken = broken.or(Some(Violation::Twice));
            }
            let first = self.first_applied.entry(at).or_insert(body.clone());
            if *first != body || self.acknowledged.get(&at).is_some_and(|a| a.0 != body) {
                broken = broken.or(Some(Violation::Bytes));
            }
        }
        if let Some(what) = broken {
            self.record_violation(what);
        }
    }

    // The client.

    fn client_connection(&mut self, c: usize) -> Option<PeerId> {
        self.controls[c].as_ref()?;
        let ends = [Endpoint::Client, Endpoint::Control(c)];
        let known =
            self.connections.iter().find(|(_, w)| w.ends == ends && w.closed.is_none()).map(|(id, _)| *id);
        Some(known.unwrap_or_else(|| {
            self.dial(Endpoint::Client, c);
            self.count
        }))
    }

    pub fn submit(&mut self, c: usize, topic: u8, key: u32, token: u32) {
        self.submit_body(c, topic, key, token, body(token));
    }

    pub fn submit_body(&mut self, c: usize, topic: u8, key: u32, token: u32, body: Rc<[u8]>) {
        let Some(id) = self.client_connection(c).filter(|_| !self.machine_faults[c].frozen) else { return };
        self.submitted.insert(token, body.clone());
        self.deliver_message(
            id,
            Endpoint::Client,
            Endpoint::Control(c),
            &Rc::new(Message::Submit { token, topic, key, body }),
        );
    }

    pub fn ask(&mut self, c: usize, stream: StreamId, number: u64, token: u32) {
        let Some(id) = self.client_connection(c).filter(|_| !self.machine_faults[c].frozen) else { return };
        self.status_queries.insert(token, (stream, number));
        let message = Message::Status { token, stream, number, from: FollowerId(0) };
        self.deliver_message(id, Endpoint::Client, Endpoint::Control(c), &Rc::new(message));
    }

    fn client(&mut self, message: &Message) {
        match message {
            Message::Submitted { token, stream, number } => {
                let body = self.submitted[token].clone();
                let at = (*stream, *number);
                let known = self.first_applied.get(&at).is_some_and(|b| *b != body);
                let before = self.acknowledged.insert(at, (body, self.now));
                if before.is_some() || known {
                    self.record_violation(Violation::Lost);
                }
            }
            Message::Busy { token, after } => self.busy.push((*token, *after)),
            Message::Told(report) => {
                let (stream, number) = self.status_queries[&report.token];
                let is_missing = |f: usize| {
                    let Some(follower) = &self.followers[f] else { return false };
                    follower.in_service(self.now)
                        && self.applied[f].upto.get(&stream).copied().unwrap_or(0) < number
                };
                let named = |f: usize| report.missing.contains(&FollowerId(f as u64));
                let unnamed = (0..self.followers.len()).any(|f| is_missing(f) && !named(f));
                if unnamed || (report.lapsed && (0..self.followers.len()).any(is_missing)) {
                    self.record_violation(Violation::Count);
                }
                self.status_reports.push(report.clone());
            }
            other => panic!("a client does not expect {}", other.name()),
        }
    }

    // Invariants.

    fn check_invariants(&mut self) {
        let lease = self.rules.lease;
        let mut broken = None;
        for (f, follower) in self.followers.iter().enumerate() {
            let Some(follower) = follower else { continue };
            let holds =
                |at: &(StreamId, u64)| self.applied[f].upto.get(&at.0).is_some_and(|upto| *upto >= at.1);
            for (at, (_, when)) in &self.acknowledged {
                if !holds(at) && follower.fresh().is_some_and(|fresh| *when < fresh) {
                    broken = broken.or(Some(Violation::Fresh));
                }
                if !holds(at) && follower.in_service(self.now) && *when < self.now - lease {
                    broken = broken.or(Some(Violation::Lease));
                }
            }
        }
        if let Some(what) = broken {
            self.record_violation(what);
        }
    }

    /// Checks that control machines still hold every acknowledged change under its number.
    pub fn check_held(&mut self) {
        for control in self.controls.iter().flatten() {
            for record in control.records() {
                let Record::Change(change, _) = record else { continue };
                let at = (change.stream, change.number);
                if self.acknowledged.get(&at).is_some_and(|a| a.0 != change.body) {
                    self.result = self.result.and(Err(Violation::Lost));
                }
            }
        }
    }

    /// Checks that every follower that is not isolated is in service and has everything acknowledged.
    pub fn check_converged(&mut self) {
        self.check_held();
        for (f, follower) in self.followers.iter().enumerate() {
            let Some(follower) = follower.as_ref().filter(|_| !self.isolated[f]) else { continue };
            let upto = &self.applied[f].upto;
            let holds = self.acknowledged.keys().all(|at| upto.get(&at.0).is_some_and(|u| *u >= at.1));
            if !holds || !follower.in_service(self.now) {
                self.result = self.result.and(Err(Violation::Stuck));
            }
        }
    }

    pub fn hash(&self) -> u64 {
        let mut h = DefaultHasher::new();
        (self.now, &self.controls, &self.disks, &self.followers, &self.applied, &self.machine_faults)
            .hash(&mut h);
        (&self.isolated, &self.connections, &self.acknowledged, &self.incarnations, &self.first_applied)
            .hash(&mut h);
        (&self.dials, self.store_wiped, self.corruption_expected).hash(&mut h);
        h.finish()
    }

    pub fn streams(&self) -> BTreeSet<StreamId> {
        self.acknowledged.keys().map(|a| a.0).collect()
    }
}

/// A copy of a message with one wrong byte in its first change.
fn corrupted(message: &Message) -> Message {
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
