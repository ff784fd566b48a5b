//! A control machine: it holds every stream, knows what a majority of the stores holds, and carries that to its
//! followers. The first ones of the list are stores as well: they take submissions and number them.
//!
//! What it holds: of each stream [`Rules::retained_changes`] changes or [`Rules::retained_bytes`], and a register's last
//! values; 64 instants of each stream; [`bounds::MAX_POLLS`] polls. Of each other control machine one connection and a
//! position; of each follower some positions and two buckets, about 1 KB, and no queue: what it is sent comes out
//! of the common log. Of each waiting submission and question one entry.
//!
//! What it sends: to each other control machine a poll and an answer every [`Rules::poll_interval`]. To each follower a beat
//! every [`Rules::beat_interval`], to each primary follower a batch with it, all of it within the rate of its bucket: no
//! second has more than [`Rules::primary_rate`] bytes, or [`Rules::secondary_rate`].
//!
//! What a change costs: at the store that takes it one record, one message to each other control machine, and one
//! word from each other store. At each other control machine one record at most. To each primary follower its
//! bytes, and a share of a piece's head of about 12 bytes. A status costs one message to each other control machine
//! and one or more back, of 8 to 10 bytes a follower.

use crate::bucket::Bucket;
use crate::change::{Content, Position};
use crate::frame::{self, CloseReason};
use crate::log::Log;
use crate::message::{Ack, Beat, Hello, Message, StatusReport};
use crate::quorum::Quorum;
use crate::rules::InjectedFault;
use crate::{
    bounds, ControlId, FollowerId, Head, Micros, PeerId, Piece, Record, Rules, StreamId, TopicKind, SECOND,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Parts of the time between beats at which different followers get theirs, so that the load is even and those of
/// one part share their batches.
const SLOTS: usize = 5;
/// Bytes of a batch between control machines.
const BULK: usize = 32 * 1024;
/// Bytes kept free in a batch for the beat that goes with it: 8, and 5 for each of three streams.
const BEAT: usize = 24;
/// Bytes of a batch before its pieces: the frame's header, the kind, how many.
const BATCH: usize = 5;
/// Sets' backlogs are replaced by marks one by one, the longest first, while all together are more than so many
/// times what one may be, for a follower that was up to date: the largest change is carried beside all that stores
/// take in advance.
const JOINT: u64 = 2;
/// The same for a follower that has not been up to date since its hello, in parts of what one may be: beside what
/// comes in all the time about half of the rate is left for what it lacks.
const CATCHING_UP: u64 = 2;
/// Names of followers that refused a change in an answer.
const REFUSERS: usize = 1024;
/// Changes refused by any follower that are remembered for [`Stats::refused`].
const REFUSED: usize = 64;
/// The lease is over for all after a thousandth more of it: clocks drift by 200 ppm at most.
const DRIFT: Micros = 1000;

/// Who a connection is with, as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionKind {
    /// A control machine that we dialled.
    Control(ControlId),
    /// Somebody who dialled us. What it is, its first message says.
    Accepted,
}

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Open a connection to another control machine. If it fails, nothing need be said: it is asked for again.
    Dial(ControlId),
    /// Send. Batches to several followers are the same `Rc`: encode it once.
    Send(PeerId, Rc<Message>),
    /// Write these down, so that they last (append, then fdatasync), before any output that follows is done. Only
    /// stores say so.
    Persist(Vec<Record>),
    /// Say why, as [`frame::refusal`], and close. No [`Control::down`] need follow.
    Close(PeerId, CloseReason),
}

/// Figures for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// What is held, and what of it a majority of the stores is known to hold.
    pub held: Position,
    /// See [`Stats::held`].
    pub committed: Position,
    /// Everything acknowledged before this instant is held; none if no majority was heard since the start.
    pub fresh: Option<Micros>,
    /// Whether this is a store and takes submissions.
    pub accepting: bool,
    /// Connections: other control machines, followers whose primary this is, whose secondary, clients, and such
    /// that have not said who they are.
    pub controls: usize,
    /// See [`Stats::controls`].
    pub primaries: usize,
    /// See [`Stats::controls`].
    pub secondaries: usize,
    /// See [`Stats::controls`].
    pub clients: usize,
    /// See [`Stats::controls`].
    pub unidentified: usize,
    /// Submissions that wait for a majority.
    pub pending: usize,
    /// Since the start: submissions taken, refused, acknowledged.
    pub accepted: u64,
    /// See [`Stats::accepted`].
    pub busy: u64,
    /// See [`Stats::accepted`].
    pub acknowledged: u64,
    /// Since the start: bytes of frames to followers, marks sent to them, parts of large changes.
    pub bytes: u64,
    /// See [`Stats::bytes`].
    pub marks: u64,
    /// See [`Stats::bytes`].
    pub parts: u64,
    /// Since the start: followers closed for silence, refused for room, and whose history differed.
    pub timed_out: u64,
    /// See [`Stats::timed_out`].
    pub at_capacity: u64,
    /// See [`Stats::timed_out`].
    pub history_mismatches: u64,
    /// Streams of which another control machine sent what does not fit here. It wants an operator.
    pub conflicts: Vec<StreamId>,
    /// Changes that a follower could not put in force, and how many named each; the latest ones.
    pub refused: Vec<(StreamId, u64, u32)>,
}

/// Figures do nothing: states that differ by them alone go on alike, so they have the same hash.
impl Hash for Stats {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// A connection to another control machine.
#[derive(Clone, Debug, Hash)]
struct Link {
    peer: PeerId,
    heard: Micros,
}

/// A follower, as it is carried.
#[derive(Clone, Debug, Hash)]
struct Carried {
    id: FollowerId,
    primary: bool,
    /// Whether it has said hello in our epoch.
    welcome: bool,
    since: Micros,
    heard: Micros,
    challenge: u32,
    /// What it said that it holds; what it was sent; what it was shown.
    told: Position,
    sent: Position,
    shown: Position,
    /// Of the change that goes to it in parts: its number, and how many bytes have gone.
    parts: BTreeMap<StreamId, (u64, u16)>,
    /// What it asked for, up to where.
    pulls: BTreeMap<StreamId, u64>,
    /// What it said at first that it holds, until that is found to be ours, or not.
    unproven: BTreeMap<StreamId, Head>,
    differs: BTreeSet<StreamId>,
    /// Whether it has been sent everything since its hello.
    current: bool,
    refused: VecDeque<(StreamId, u64)>,
    bucket: Bucket,
    words: Bucket,
}

#[derive(Clone, Debug, Hash)]
enum Peer {
    Stranger { since: Micros, dialled: Option<ControlId> },
    Control(ControlId),
    Follower(Box<Carried>),
    Client { heard: Micros, words: Bucket },
}

/// A stream of which a store holds more.
#[derive(Clone, Debug, Hash)]
struct Want {
    held: u64,
    since: Micros,
    asked: Option<Micros>,
    turn: usize,
}

/// A question of status that waits for counts.
#[derive(Clone, Debug, Hash)]
struct Question {
    peer: PeerId,
    token: u32,
    stream: StreamId,
    number: u64,
    from: FollowerId,
    until: Micros,
    have: BTreeSet<FollowerId>,
    refused: BTreeSet<FollowerId>,
    waits: BTreeSet<ControlId>,
    unheard: BTreeSet<ControlId>,
}

/// See the file's comment.
#[derive(Clone, Debug, Hash)]
pub struct Control {
    rules: Rules,
    me: ControlId,
    roster: BTreeSet<FollowerId>,
    logs: BTreeMap<StreamId, Log>,
    held: Position,
    /// What is held and committed: what goes to followers.
    passable: Position,
    quorum: Quorum,
    wants: BTreeMap<StreamId, Want>,
    peers: BTreeMap<PeerId, Peer>,
    links: BTreeMap<ControlId, Link>,
    dials: BTreeMap<ControlId, Micros>,
    slots: [BTreeSet<PeerId>; SLOTS],
    slots_at: [Micros; SLOTS],
    poll_at: Micros,
    /// Whether it began with nothing; whether its answers count for a majority; whether it takes submissions; and
    /// which stores it has heard since its start.
    empty: bool,
    counts: bool,
    takes: bool,
    heard: BTreeSet<ControlId>,
    admission: Bucket,
    depth: usize,
    pending: BTreeMap<StreamId, VecDeque<(u64, PeerId, u32)>>,
    questions: BTreeMap<u32, Question>,
    asked: u32,
    conflicts: BTreeSet<StreamId>,
    refused: VecDeque<(StreamId, u64, u32)>,
    figures: Stats,
}

impl Control {
    /// One that begins. `roster` names the followers that there are; `restored` is what it had written down, in
    /// order. It fails on rules or records that do not fit.
    pub fn new(
        now: Micros,
        rules: Rules,
        me: ControlId,
        roster: Vec<FollowerId>,
        restored: Vec<Record>,
    ) -> Result<Self, &'static str> {
        rules.check()?;
        if me.0 >= rules.controls {
            return Err("a control machine that is not on the list");
        }
        let mut logs = BTreeMap::new();
        for (topic, kind) in (0..).zip(&rules.topics) {
            for store in (0..rules.stores).map(ControlId) {
                let stream = StreamId { topic, store };
                logs.insert(stream, Log::new(stream, *kind));
            }
        }
        let empty = restored.is_empty();
        for record in restored {
            let log = logs.get_mut(&record.stream()).ok_or("a record of a stream that there is not")?;
            log.restore(record)?;
        }
        logs.values_mut().for_each(Log::restored);
        let held = logs.iter().map(|(stream, log)| (*stream, log.head().number)).collect();
        let whole = i64::from(rules.primary_rate) * i64::from(rules.change_share) / 1000;
        let rate = u32::try_from(whole / i64::from(rules.stores)).unwrap_or(u32::MAX).max(1);
        let depth = u32::try_from(i64::from(rate) * rules.max_backlog / SECOND).unwrap_or(u32::MAX).max(1);
        let slot = rules.beat_interval / SLOTS as Micros;
        let mut control = Control {
            me,
            roster: roster.into_iter().collect(),
            logs,
            held,
            passable: Position::default(),
            quorum: Quorum::new(),
            wants: BTreeMap::new(),
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            dials: (0..me.0).map(|c| (ControlId(c), now)).collect(),
            slots: Default::default(),
            slots_at: std::array::from_fn(|s| now + slot * (s as Micros + 1)),
            poll_at: now,
            empty,
            counts: !empty || rules.is(InjectedFault::NoRecovery),
            takes: false,
            heard: BTreeSet::new(),
            admission: Bucket::new(now, rate, depth),
            depth: depth as usize,
            pending: BTreeMap::new(),
            questions: BTreeMap::new(),
            asked: 0,
            conflicts: BTreeSet::new(),
            refused: VecDeque::new(),
            figures: Stats::default(),
            rules,
        };
        if control.rules.is_store(me) {
            for (stream, number) in control.held.clone().iter() {
                control.quorum.report(now, &control.rules, me, stream, number);
            }
        }
        Ok(control)
    }

    /// A connection is up.
    pub fn up(&mut self, now: Micros, peer: PeerId, who: ConnectionKind, out: &mut Vec<Output>) {
        let strangers = self.peers.values().filter(|p| matches!(p, Peer::Stranger { .. })).count();
        let dialled = match who {
            ConnectionKind::Control(id) => Some(id),
            ConnectionKind::Accepted if strangers >= self.rules.max_unidentified => {
                self.figures.at_capacity += 1;
                return out.push(Output::Close(peer, CloseReason::NoCapacity));
            }
            ConnectionKind::Accepted => None,
        };
        self.peers.insert(peer, Peer::Stranger { since: now, dialled });
        if dialled.is_some() {
            out.push(self.hello(peer));
        }
    }

    /// A connection is gone.
    pub fn down(&mut self, now: Micros, peer: PeerId, out: &mut Vec<Output>) {
        self.forget(now, peer);
        self.answer_questions(now, out);
    }

    /// A message came. On an error the host says why and closes; no [`Control::down`] need follow.
    pub fn handle_message(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let done =
            message.check().map_err(CloseReason::Bounds).and_then(|()| self.hear(now, peer, message, out));
        if done.is_err() {
            self.forget(now, peer);
        }
        done
    }

    /// Time passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.poll_at {
            self.poll_at = now + self.rules.poll_interval;
            self.sweep(now, out);
            self.poll(now, out);
            self.seek(now, out);
            self.settle(now, out);
        }
        for slot in 0..SLOTS {
            if now >= self.slots_at[slot] {
                self.slots_at[slot] = now + self.rules.beat_interval;
                self.serve(now, slot, out);
            }
        }
        self.answer_questions(now, out);
    }

    /// When [`Control::tick`] is due.
    pub fn next_tick(&self) -> Micros {
        let questions = self.questions.values().map(|q| q.until);
        self.slots_at.into_iter().chain([self.poll_at]).chain(questions).min().unwrap_or(self.poll_at)
    }

    /// The list of followers has changed.
    pub fn set_roster(&mut self, roster: Vec<FollowerId>) {
        self.roster = roster.into_iter().collect();
    }

    /// Who it is.
    pub fn id(&self) -> ControlId {
        self.me
    }

    /// What is held, as records: what a store's file need hold, for a host that writes it anew.
    pub fn records(&self) -> Vec<Record> {
        self.logs.values().flat_map(Log::records).collect()
    }

    /// How far a stream is held.
    pub fn head(&self, stream: StreamId) -> Head {
        self.logs.get(&stream).map(Log::head).unwrap_or_default()
    }

    /// Figures for logs.
    pub fn stats(&self, _now: Micros) -> Stats {
        let followers = || {
            self.peers.values().filter_map(|p| match p {
                Peer::Follower(c) => Some(c.primary),
                _ => None,
            })
        };
        Stats {
            held: self.held.clone(),
            committed: self.quorum.committed().clone(),
            fresh: self.quorum.fresh(),
            accepting: self.takes,
            controls: self.links.len(),
            primaries: followers().filter(|p| *p).count(),
            secondaries: followers().filter(|p| !*p).count(),
            clients: self.clients(),
            unidentified: self.peers.values().filter(|p| matches!(p, Peer::Stranger { .. })).count(),
            pending: self.pending.values().map(VecDeque::len).sum(),
            conflicts: self.conflicts.iter().copied().collect(),
            refused: self.refused.iter().copied().collect(),
            ..self.figures.clone()
        }
    }

    fn hello(&self, peer: PeerId) -> Output {
        Output::Send(peer, Rc::new(Message::Control { epoch: self.rules.epoch, id: self.me }))
    }

    fn clients(&self) -> usize {
        self.peers.values().filter(|p| matches!(p, Peer::Client { .. })).count()
    }

    fn forget(&mut self, now: Micros, peer: PeerId) {
        match self.peers.remove(&peer) {
            Some(Peer::Control(id)) => {
                if self.links.get(&id).is_some_and(|l| l.peer == peer) {
                    self.links.remove(&id);
                    self.dials.entry(id).and_modify(|at| *at = now);
                }
                for q in self.questions.values_mut().filter(|q| q.waits.contains(&id)) {
                    q.waits.remove(&id);
                    q.unheard.insert(id);
                }
            }
            Some(Peer::Follower(_)) => {
                self.slots[slot(peer)].remove(&peer);
            }
            Some(Peer::Client { .. }) => self.questions.retain(|_, q| q.peer != peer),
            Some(Peer::Stranger { .. }) | None => {}
        }
    }

    fn close(&mut self, now: Micros, peer: PeerId, why: CloseReason, out: &mut Vec<Output>) {
        self.forget(now, peer);
        out.push(Output::Close(peer, why));
    }

    /// Closes who has been silent for too long, and dials control machines.
    fn sweep(&mut self, now: Micros, out: &mut Vec<Output>) {
        let gone = self.rules.idle_timeout;
        let silent = |p: &Peer| match p {
            Peer::Stranger { since, .. } => now - since > gone,
            Peer::Control(id) => self.links.get(id).is_none_or(|l| now - l.heard > gone),
            Peer::Follower(c) => now - c.heard > gone,
            // A client may think for a while between two questions.
            Peer::Client { heard, .. } => now - heard > 12 * gone,
        };
        let silent: Vec<PeerId> = self.peers.iter().filter(|(_, p)| silent(p)).map(|(id, _)| *id).collect();
        for peer in silent {
            if matches!(self.peers.get(&peer), Some(Peer::Follower(_))) {
                self.figures.timed_out += 1;
            }
            self.close(now, peer, CloseReason::Timeout, out);
        }
        for (id, at) in &mut self.dials {
            if *at <= now && !self.links.contains_key(id) {
                *at = now + self.rules.min_redial_delay;
                out.push(Output::Dial(*id));
            }
        }
    }

    fn poll(&mut self, now: Micros, out: &mut Vec<Output>) {
        let token = self.quorum.begin(now);
        if self.rules.is_store(self.me) {
            self.quorum.answer(now, &self.rules, token, self.me, self.counts, &self.held);
        }
        let message = Rc::new(Message::Poll { token });
        out.extend(self.links.values().map(|l| Output::Send(l.peer, message.clone())));
    }

    /// Asks for what stores hold and this machine has lacked for some time.
    fn seek(&mut self, now: Micros, out: &mut Vec<Output>) {
        for stream in self.quorum.streams() {
            let held = self.held.get(stream);
            if self.quorum.most(stream) <= held {
                self.wants.remove(&stream);
                continue;
            }
            let new = Want { held, since: now, asked: None, turn: usize::from(self.me.0) };
            let want = self.wants.entry(stream).or_insert(new);
            if want.held != held {
                (want.held, want.since) = (held, now);
            }
            let due = now - want.since >= self.rules.poll_interval;
            if due && want.asked.is_none_or(|at| now - at >= self.rules.gap_timeout) {
                self.pull(now, stream, None, out);
            }
        }
    }

    /// Asks a store for what comes after what is held; the one named, or the next that has it.
    fn pull(&mut self, now: Micros, stream: StreamId, from: Option<ControlId>, out: &mut Vec<Output>) {
        let held = self.held.get(stream);
        let has = |id: &ControlId| self.quorum.reported(*id).is_some_and(|p| p.get(stream) > held);
        let lively =
            self.links.iter().filter(|(id, l)| now - l.heard <= self.rules.silence_timeout && has(id));
        let lively: Vec<(ControlId, PeerId)> = lively.map(|(id, l)| (*id, l.peer)).collect();
        let Some(want) = self.wants.get_mut(&stream) else { return };
        let named = lively.iter().find(|l| Some(l.0) == from);
        let next = lively.get(want.turn % lively.len().max(1));
        let Some((_, peer)) = named.or(next) else { return };
        want.turn = want.turn.wrapping_add(1);
        want.asked = Some(now);
        out.push(Output::Send(*peer, Rc::new(Message::Pull { stream, after: held })));
    }

    fn hear(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let unexpected = Err(CloseReason::Unexpected(message.name()));
        match self.peers.get_mut(&peer) {
            None => unexpected,
            Some(Peer::Stranger { dialled, .. }) => {
                let dialled = *dialled;
                match message {
                    Message::Control { epoch, id } => self.link(now, peer, dialled, *epoch, *id, out),
                    Message::Hello(_) if dialled.is_none() => {
                        let (taken, rate) = (self.followers(), self.rules.secondary_rate);
                        if taken >= self.rules.max_followers {
                            self.figures.at_capacity += 1;
                            return Err(CloseReason::NoCapacity);
                        }
                        let carried = Carried::new(now, &self.rules, self.bucket(now, rate));
                        self.peers.insert(peer, Peer::Follower(Box::new(carried)));
                        self.slots[slot(peer)].insert(peer);
                        self.follower(now, peer, message, out)
                    }
                    Message::Submit { .. } | Message::Status { .. } if dialled.is_none() => {
                        if self.clients() >= self.rules.max_clients {
                            self.figures.at_capacity += 1;
                            return Err(CloseReason::NoCapacity);
                        }
                        let words = Bucket::new(now, self.rules.message_rate, self.rules.message_rate);
                        self.peers.insert(peer, Peer::Client { heard: now, words });
                        self.client(now, peer, message, out)
                    }
                    _ => unexpected,
                }
            }
            Some(Peer::Control(id)) => {
                let id = *id;
                if let Some(link) = self.links.get_mut(&id) {
                    link.heard = now;
                }
                self.control(now, id, peer, message, out)
            }
            Some(Peer::Follower(carried)) => {
                carried.heard = now;
                if carried.words.level(now) < 1 {
                    return Err(CloseReason::TooManyMessages);
                }
                carried.words.take(now, 1);
                self.follower(now, peer, message, out)
            }
            Some(Peer::Client { heard, words }) => {
                *heard = now;
                // A submission has a bucket of its own, which does not close.
                if !matches!(message, Message::Submit { .. }) {
                    if words.level(now) < 1 {
                        return Err(CloseReason::TooManyMessages);
                    }
                    words.take(now, 1);
                }
                self.client(now, peer, message, out)
            }
        }
    }

    fn followers(&self) -> usize {
        self.slots.iter().map(BTreeSet::len).sum()
    }

    /// What is sent to a follower goes at instants that are a beat apart at least, so no second has more of them
    /// than beats, and no more bytes than the rate. It begins with a debt, for another control machine may have sent
    /// its last a moment ago.
    fn bucket(&self, now: Micros, rate: u32) -> Bucket {
        let depth = i64::from(rate) * self.rules.beat_interval / SECOND;
        Bucket::owing(now, rate, u32::try_from(depth).unwrap_or(u32::MAX))
    }

    // Other control machines.

    fn link(
        &mut self,
        now: Micros,
        peer: PeerId,
        dialled: Option<ControlId>,
        epoch: u32,
        id: ControlId,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        if epoch != self.rules.epoch {
            return Err(CloseReason::Epoch(epoch, self.rules.epoch));
        }
        if id.0 >= self.rules.controls || id == self.me || dialled.is_some_and(|d| d != id) {
            return Err(CloseReason::Bounds("not the control machine that should be there"));
        }
        if let Some(old) = self.links.get(&id).map(|l| l.peer) {
            self.close(now, old, CloseReason::Replaced, out);
        }
        self.peers.insert(peer, Peer::Control(id));
        self.links.insert(id, Link { peer, heard: now });
        if dialled.is_none() {
            out.push(self.hello(peer));
        }
        if self.quorum.token() > 0 {
            out.push(Output::Send(peer, Rc::new(Message::Poll { token: self.quorum.token() })));
        }
        Ok(())
    }

    fn control(
        &mut self,
        now: Micros,
        id: ControlId,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        match message {
            Message::Poll { token } => {
                let (token, counts, position) = (*token, self.counts, self.held.clone());
                out.push(Output::Send(peer, Rc::new(Message::Polled { token, counts, position })));
            }
            Message::Polled { token, counts, position } => {
                if position.iter().any(|(stream, _)| !self.logs.contains_key(&stream)) {
                    return Err(CloseReason::Bounds("a stream that there is not"));
                }
                if self.rules.is_store(id) {
                    self.quorum.answer(now, &self.rules, *token, id, *counts, position);
                    self.heard.insert(id);
                    self.settle(now, out);
                }
            }
            Message::Holds { stream, number } => {
                if !self.logs.contains_key(stream) || !self.rules.is_store(id) {
                    return Err(CloseReason::Bounds("a stream that there is not"));
                }
                self.quorum.report(now, &self.rules, id, *stream, *number);
                self.settle(now, out);
            }
            Message::Batch(pieces) => self.batch(now, id, pieces, out)?,
            Message::Pull { stream, after } => {
                let log = self.logs.get(stream).ok_or(CloseReason::Bounds("a stream that there is not"))?;
                if let Some(piece) = log.piece(*after, log.head().number, BULK, None) {
                    out.push(Output::Send(peer, Rc::new(Message::Batch(vec![piece]))));
                }
            }
            Message::Count { token, stream, number } => {
                let (have, refused) = self.count(*stream, *number);
                let refused: Vec<FollowerId> = refused.into_iter().take(REFUSERS).collect();
                let chunks = have.len().div_ceil(bounds::MAX_NAMES).max(1);
                for chunk in 0..chunks {
                    let have = have
                        .iter()
                        .skip(chunk * bounds::MAX_NAMES)
                        .take(bounds::MAX_NAMES)
                        .copied()
                        .collect();
                    let refused = if chunk == 0 { refused.clone() } else { Vec::new() };
                    let (token, last) = (*token, chunk + 1 == chunks);
                    out.push(Output::Send(peer, Rc::new(Message::Counted { token, have, refused, last })));
                }
            }
            Message::Counted { token, have, refused, last } => {
                // One that comes too late belongs to no question any more.
                if let Some(q) = self.questions.get_mut(token).filter(|q| q.waits.contains(&id)) {
                    q.have.extend(have.iter().filter(|f| self.roster.contains(f)));
                    q.refused.extend(refused.iter().filter(|f| self.roster.contains(f)));
                    if *last {
                        q.waits.remove(&id);
                    }
                }
                self.answer_questions(now, out);
            }
            other => return Err(CloseReason::Unexpected(other.name())),
        }
        Ok(())
    }

    /// Changes from another control machine.
    fn batch(
        &mut self,
        now: Micros,
        id: ControlId,
        pieces: &[Piece],
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        for piece in pieces {
            let stream = piece.stream;
            let log = self.logs.get_mut(&stream).ok_or(CloseReason::Bounds("a stream that there is not"))?;
            // What this store numbers it takes from others only until it numbers on.
            let own = stream.store == self.me && self.takes;
            let before = log.head().number;
            let records = match log.take(piece) {
                Ok(records) if !own || records.is_empty() => records,
                Ok(_) | Err(_) => {
                    self.conflicts.insert(stream);
                    continue;
                }
            };
            let number = log.head().number;
            if number == before {
                continue;
            }
            self.held.set(stream, number);
            if self.rules.is_store(self.me) {
                self.leave_room(now, &records);
                out.push(Output::Persist(records));
                self.quorum.report(now, &self.rules, self.me, stream, number);
                if let Some(owner) = self.links.get(&stream.store) {
                    out.push(Output::Send(owner.peer, Rc::new(Message::Holds { stream, number })));
                }
            }
            let more = self.quorum.reported(id).is_some_and(|p| p.get(stream) > number);
            if more && self.wants.get(&stream).is_some_and(|w| w.asked.is_some()) {
                self.pull(now, stream, Some(id), out);
            }
        }
        self.settle(now, out);
        Ok(())
    }

    /// Draws the conclusions from what has come to be held or known.
    fn settle(&mut self, now: Micros, out: &mut Vec<Output>) {
        let committed = self.quorum.committed();
        for (stream, held) in self.held.iter() {
            let uncommitted = self.rules.is(InjectedFault::Uncommitted);
            let passable = if uncommitted { held } else { held.min(committed.get(stream)) };
            self.passable.raise(stream, passable);
        }
        self.quorum.settle(now, &self.rules, &self.passable);
        for (stream, log) in &mut self.logs {
            log.compact(&self.rules, self.quorum.committed().get(*stream));
        }
        self.recover();
        let (quorum, peers, figures) = (&self.quorum, &self.peers, &mut self.figures);
        for (stream, waiting) in &mut self.pending {
            let upto = quorum.committed().get(*stream);
            while let Some((number, peer, token)) = waiting.front().copied().filter(|w| w.0 <= upto) {
                waiting.pop_front();
                figures.acknowledged += 1;
                if peers.contains_key(&peer) {
                    let stream = *stream;
                    out.push(Output::Send(peer, Rc::new(Message::Submitted { token, stream, number })));
                }
            }
        }
    }

    /// A store numbers on when it has heard a majority since its start and holds all that they hold of its own
    /// streams. One that began with nothing needs a majority without itself, and all that they hold: before that
    /// its answers count for nothing, for what it has lost may have been acknowledged by its word.
    fn recover(&mut self) {
        if self.takes || !self.rules.is_store(self.me) {
            return;
        }
        let need = self.rules.majority() - usize::from(!self.empty);
        let need = need.min(usize::from(self.rules.stores) - 1);
        let holds = |own: bool| {
            self.heard.iter().filter_map(|id| self.quorum.reported(*id)).all(|p| {
                let mine = |s: &(StreamId, u64)| !own || s.0.store == self.me;
                p.iter().filter(mine).all(|(stream, number)| self.held.get(stream) >= number)
            })
        };
        if self.rules.is(InjectedFault::NoRecovery) || (self.heard.len() >= need && holds(!self.empty)) {
            (self.takes, self.counts) = (true, true);
        }
    }

    // Clients.

    fn client(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        match message {
            Message::Submit { token, topic, key, body } if self.rules.is_store(self.me) => {
                let stream = StreamId { topic: *topic, store: self.me };
                let kind = self.rules.kind(*topic).ok_or(CloseReason::Bounds("a topic that there is not"))?;
                if body.len() > self.rules.max_change_bytes {
                    return Err(CloseReason::Bounds("a change too large"));
                }
                match self.admit(now, stream, kind, *key, body.len()) {
                    Ok(()) => self.take(now, stream, kind, *key, body, (peer, *token), out),
                    Err(wait) => {
                        self.figures.busy += 1;
                        let after = ms(wait);
                        out.push(Output::Send(peer, Rc::new(Message::Busy { token: *token, after })));
                    }
                }
                Ok(())
            }
            Message::Status { token, stream, number, from } => {
                self.question(now, peer, (*token, *stream, *number, *from), out);
                Ok(())
            }
            other => Err(CloseReason::Unexpected(other.name())),
        }
    }

    /// Whether there is room for one more change, else when there may be.
    fn admit(
        &mut self,
        now: Micros,
        stream: StreamId,
        kind: TopicKind,
        key: u32,
        bytes: usize,
    ) -> Result<(), Micros> {
        let lively = self
            .links
            .iter()
            .filter(|(id, l)| self.rules.is_store(**id) && now - l.heard <= self.rules.silence_timeout);
        if !self.takes || lively.count() + 1 < self.rules.majority() {
            return Err(self.rules.silence_timeout);
        }
        let Some(log) = self.logs.get(&stream) else { return Err(self.rules.silence_timeout) };
        if kind == TopicKind::Register && log.keys() >= self.rules.max_keys && !log.has_key(key) {
            return Err(60 * SECOND);
        }
        if self.pending.values().map(VecDeque::len).sum::<usize>() >= self.rules.max_pending {
            return Err(self.rules.poll_interval);
        }
        let cost = cost(kind, bytes);
        if cost > self.depth && !self.takes_large(now) {
            return Err(self.rules.silence_timeout);
        }
        match self.admission.wait(now, cost) {
            0 => {
                self.admission.take(now, cost);
                Ok(())
            }
            wait => Err(wait),
        }
    }

    /// A large change that another store took is carried beside what this one takes: it leaves its share of the room.
    fn leave_room(&mut self, now: Micros, records: &[Record]) {
        for record in records {
            let Record::Change(change, _) = record else { continue };
            let Some(kind) = self.rules.kind(change.stream.topic) else { continue };
            let cost = cost(kind, change.body.len());
            // Not for each of many that come at once, as they do to one that was away.
            if cost > self.depth && self.admission.level(now) >= 0 {
                self.admission.take(now, cost / usize::from(self.rules.stores));
            }
        }
    }

    /// Whether this store takes changes that are larger than what it takes in advance: the first that is heard
    /// does. One at a time is carried well within the lease, beside all else; five at once would not be.
    fn takes_large(&self, now: Micros) -> bool {
        let lively = |l: &Link| now - l.heard <= self.rules.silence_timeout;
        !(0..self.me.0).any(|id| self.links.get(&ControlId(id)).is_some_and(lively))
    }

    #[allow(clippy::too_many_arguments)]
    fn take(
        &mut self,
        now: Micros,
        stream: StreamId,
        kind: TopicKind,
        key: u32,
        body: &Rc<[u8]>,
        client: (PeerId, u32),
        out: &mut Vec<Output>,
    ) {
        let Some(log) = self.logs.get_mut(&stream) else { return };
        let key = if kind == TopicKind::Register { key } else { 0 };
        let record = log.append(key, body.clone());
        let number = log.head().number;
        self.figures.accepted += 1;
        self.held.set(stream, number);
        out.push(Output::Persist(vec![record]));
        if let Some(piece) = log.piece(number - 1, number, BULK, None) {
            let message = Rc::new(Message::Batch(vec![piece]));
            out.extend(self.links.values().map(|l| Output::Send(l.peer, message.clone())));
        }
        self.pending.entry(stream).or_default().push_back((number, client.0, client.1));
        self.quorum.report(now, &self.rules, self.me, stream, number);
        self.settle(now, out);
    }

    fn question(
        &mut self,
        now: Micros,
        peer: PeerId,
        (token, stream, number, from): (u32, StreamId, u64, FollowerId),
        out: &mut Vec<Output>,
    ) {
        if self.questions.len() >= self.rules.max_status_queries {
            let after = ms(self.rules.count_timeout);
            return out.push(Output::Send(peer, Rc::new(Message::Busy { token, after })));
        }
        self.asked = self.asked.wrapping_add(1);
        let (have, refused) = self.count(stream, number);
        let listed = |f: &FollowerId| self.roster.contains(f);
        let count = Rc::new(Message::Count { token: self.asked, stream, number });
        out.extend(self.links.values().map(|l| Output::Send(l.peer, count.clone())));
        let others = (0..self.rules.controls).map(ControlId).filter(|c| *c != self.me);
        let (waits, unheard) = others.partition(|c| self.links.contains_key(c));
        let question = Question {
            peer,
            token,
            stream,
            number,
            from,
            until: now + self.rules.count_timeout,
            have: have.into_iter().filter(listed).collect(),
            refused: refused.into_iter().filter(listed).collect(),
            waits,
            unheard,
        };
        self.questions.insert(self.asked, question);
        self.answer_questions(now, out);
    }

    /// Followers whose primary is here and that said that they have a change; of them, those that refused it.
    fn count(&self, stream: StreamId, number: u64) -> (Vec<FollowerId>, Vec<FollowerId>) {
        let (mut have, mut refused) = (Vec::new(), Vec::new());
        for peer in self.peers.values() {
            let Peer::Follower(c) = peer else { continue };
            let proven = c.welcome && !c.unproven.contains_key(&stream) && !c.differs.contains(&stream);
            let holds = if self.rules.is(InjectedFault::CountsSent) { &c.sent } else { &c.told };
            if c.primary && proven && holds.get(stream) >= number {
                have.push(c.id);
                if c.refused.contains(&(stream, number)) {
                    refused.push(c.id);
                }
            }
        }
        (have, refused)
    }

    /// Answers questions for which all have counted, or whose time is over.
    fn answer_questions(&mut self, now: Micros, out: &mut Vec<Output>) {
        let done = |q: &Question| q.waits.is_empty() || q.until <= now;
        let done: Vec<u32> = self.questions.iter().filter(|(_, q)| done(q)).map(|(t, _)| *t).collect();
        for token in done {
            let Some(q) = self.questions.remove(&token) else { continue };
            let age = self.quorum.age(now, q.stream, q.number);
            let missing = self.roster.range(q.from..).filter(|f| !q.have.contains(f));
            let told = StatusReport {
                token: q.token,
                committed: age.is_some(),
                since: ms(age.unwrap_or(0)),
                followers: self.roster.len() as u32,
                have: q.have.len() as u32,
                lapsed: age.is_some_and(|a| a > self.rules.lease + self.rules.lease / DRIFT),
                missing: missing.copied().take(bounds::MAX_NAMES).collect(),
                refused: q.refused.into_iter().take(REFUSERS).collect(),
                unheard: q.unheard.union(&q.waits).copied().collect(),
            };
            out.push(Output::Send(q.peer, Rc::new(Message::Told(told))));
        }
    }

    // Followers.

    fn follower(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        match message {
            Message::Hello(hello) => self.greet(now, peer, hello, out),
            Message::Ack(ack) => self.ack(now, peer, ack),
            Message::Pull { stream, after } => {
                let (limit, known) = (self.passable.get(*stream), self.logs.contains_key(stream));
                let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return Ok(()) };
                if !known {
                    return Err(CloseReason::Bounds("a stream that there is not"));
                }
                if !c.differs.contains(stream) {
                    c.parts.remove(stream);
                    c.sent.set(*stream, *after);
                    c.pulls.insert(*stream, limit);
                }
                Ok(())
            }
            other => Err(CloseReason::Unexpected(other.name())),
        }
    }

    fn greet(
        &mut self,
        now: Micros,
        peer: PeerId,
        hello: &Hello,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        if hello.heads.iter().any(|(stream, _)| !self.logs.contains_key(stream)) {
            return Err(CloseReason::Bounds("a stream that there is not"));
        }
        let same = |(id, p): (&PeerId, &Peer)| {
            matches!(p, Peer::Follower(c) if c.id == hello.id && c.welcome && *id != peer).then_some(*id)
        };
        if let Some(old) = self.peers.iter().find_map(same) {
            self.close(now, old, CloseReason::Replaced, out);
        }
        let rate = if hello.primary { self.rules.primary_rate } else { self.rules.secondary_rate };
        let (epoch, bucket) = (self.rules.epoch, self.bucket(now, rate));
        let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return Ok(()) };
        let heads = hello.heads.iter().copied();
        let held: Position = heads.clone().map(|(stream, head)| (stream, head.number)).collect();
        if c.primary != hello.primary {
            (c.primary, c.bucket) = (hello.primary, bucket);
        }
        (c.id, c.challenge, c.since, c.welcome) = (hello.id, hello.challenge, now, hello.epoch == epoch);
        (c.told, c.sent, c.shown) = (held.clone(), held.clone(), held);
        c.unproven = heads.filter(|(_, head)| head.number > 0).collect();
        (c.parts, c.pulls, c.differs, c.current) = Default::default();
        let welcome = Message::Welcome { epoch, control: self.me };
        c.bucket.take(now, frame::size(&welcome));
        out.push(Output::Send(peer, Rc::new(welcome)));
        self.prove(now, peer, out);
        Ok(())
    }

    /// Compares what a follower said that it holds with what is held here.
    fn prove(&mut self, now: Micros, peer: PeerId, out: &mut Vec<Output>) {
        let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return };
        if !c.welcome || c.unproven.is_empty() {
            return;
        }
        let fresh = self.quorum.fresh().is_some_and(|f| f > c.since);
        let mut differs = Vec::new();
        c.unproven.retain(|stream, head| {
            let Some(log) = self.logs.get(stream) else { return false };
            let known = log.digest(head.number);
            let ours = if self.passable.get(*stream) >= head.number {
                // Of a set what is unknown is so old that a mark comes; of a register nothing would mend it.
                known
                    .map(|d| d == head.digest)
                    .or(Some(self.rules.kind(stream.topic) == Some(TopicKind::Set)))
            } else {
                Some(false).filter(|_| fresh)
            };
            if ours == Some(false) {
                differs.push((*stream, head.number));
            }
            ours.is_none()
        });
        for (stream, number) in differs {
            self.figures.history_mismatches += 1;
            c.differs.insert(stream);
            let message = Message::Differs { stream, number };
            c.bucket.take(now, frame::size(&message));
            out.push(Output::Send(peer, Rc::new(message)));
        }
    }

    fn ack(&mut self, now: Micros, peer: PeerId, ack: &Ack) -> Result<(), CloseReason> {
        let unknown = |(stream, _): &(StreamId, u64)| !self.logs.contains_key(stream);
        if ack.gains.iter().any(unknown) || ack.refused.iter().any(unknown) {
            return Err(CloseReason::Bounds("a stream that there is not"));
        }
        let rate = if ack.primary { self.rules.primary_rate } else { self.rules.secondary_rate };
        let bucket = self.bucket(now, rate);
        let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return Ok(()) };
        c.challenge = ack.challenge;
        c.told.gain(&ack.gains);
        // What it asked for may have come another way.
        let (told, sent, parts) = (&c.told, &mut c.sent, &mut c.parts);
        c.pulls.retain(|stream, limit| {
            let holds = told.get(*stream);
            if holds > sent.get(*stream) {
                sent.set(*stream, holds);
                parts.remove(stream);
            }
            holds < *limit
        });
        if c.primary != ack.primary {
            (c.primary, c.bucket) = (ack.primary, bucket);
            c.sent = c.told.clone();
            (c.parts, c.pulls) = Default::default();
            // Another has carried it until now.
            c.current = true;
        }
        for (stream, number) in &ack.refused {
            if c.refused.contains(&(*stream, *number)) {
                continue;
            }
            c.refused.push_back((*stream, *number));
            if c.refused.len() > bounds::MAX_REFUSED {
                c.refused.pop_front();
            }
            match self.refused.iter_mut().find(|r| (r.0, r.1) == (*stream, *number)) {
                Some(known) => known.2 = known.2.saturating_add(1),
                None => self.refused.push_back((*stream, *number, 1)),
            }
            if self.refused.len() > REFUSED {
                self.refused.pop_front();
            }
        }
        Ok(())
    }

    /// Sends batches and beats to the followers of a slot.
    fn serve(&mut self, now: Micros, slot: usize, out: &mut Vec<Output>) {
        let mut common = HashMap::new();
        let peers: Vec<PeerId> = self.slots[slot].iter().copied().collect();
        for peer in peers {
            self.prove(now, peer, out);
            let Some(Peer::Follower(mut c)) = self.peers.remove(&peer) else { continue };
            if c.welcome {
                self.carry(now, peer, &mut c, &mut common, out);
                self.beat(now, peer, &mut c, out);
            }
            self.peers.insert(peer, Peer::Follower(c));
        }
    }

    /// Sends what a follower lacks, as far as its bucket allows.
    fn carry(
        &mut self,
        now: Micros,
        peer: PeerId,
        c: &mut Carried,
        common: &mut HashMap<Position, (Rc<Message>, usize)>,
        out: &mut Vec<Output>,
    ) {
        if !c.primary && c.pulls.is_empty() {
            return;
        }
        c.current |= c.primary && c.sent.covers(&self.passable);
        let budget = usize::try_from(c.bucket.level(now)).unwrap_or(0).saturating_sub(BEAT + BATCH);
        // Those that are at the same place, as most are, get the same.
        let plain = c.primary && c.current && c.parts.is_empty() && c.differs.is_empty();
        let known = common.get(&c.sent).filter(|k| plain && k.1 <= budget + BATCH);
        let (message, bytes) = match known {
            Some((message, bytes)) => (message.clone(), *bytes),
            None => {
                let pieces = self.plan(c, budget);
                if pieces.is_empty() {
                    return;
                }
                let message = Rc::new(Message::Batch(pieces));
                let bytes = frame::size(&message);
                if plain && self.completes(&c.sent, &message) {
                    common.insert(c.sent.clone(), (message.clone(), bytes));
                }
                (message, bytes)
            }
        };
        let Message::Batch(pieces) = &*message else { return };
        for piece in pieces {
            let stream = piece.stream;
            if let Content::Part { number, whole, offset, bytes, .. } = &piece.content {
                self.figures.parts += 1;
                let sent = *offset + bytes.len() as u16;
                if sent < *whole {
                    c.parts.insert(stream, (*number, sent));
                    continue;
                }
            }
            self.figures.marks += u64::from(piece.is_mark());
            let upto = piece.upto();
            c.parts.remove(&stream);
            c.sent.raise(stream, upto);
            c.shown.raise(stream, upto);
            if c.pulls.get(&stream).is_some_and(|limit| *limit <= upto) {
                c.pulls.remove(&stream);
            }
        }
        c.bucket.take(now, bytes);
        self.figures.bytes += bytes as u64;
        out.push(Output::Send(peer, message));
    }

    /// The pieces that a follower is to get now, in so many bytes at most. Streams share them evenly, and what one
    /// does not need goes to the others.
    fn plan(&self, c: &Carried, budget: usize) -> Vec<Piece> {
        let limit = |stream: StreamId| {
            let passable = self.passable.get(stream);
            if c.primary {
                passable
            } else {
                c.pulls.get(&stream).copied().unwrap_or(0).min(passable)
            }
        };
        let rate = if c.primary { self.rules.primary_rate } else { self.rules.secondary_rate };
        let behind = i64::from(rate).saturating_mul(self.rules.max_backlog) / SECOND;
        let behind = u64::try_from(behind).unwrap_or(0);
        let lacks = self.logs.iter().filter(|(s, _)| c.sent.get(**s) < limit(**s) && !c.differs.contains(s));
        let mut lacks: Vec<(u64, &StreamId, &Log)> =
            lacks.map(|(s, log)| (log.bytes(c.sent.get(*s), limit(*s)), s, log)).collect();
        lacks.sort_by_key(|l| (l.0, *l.1));
        let is_set = |s: &StreamId| self.rules.kind(s.topic) == Some(TopicKind::Set);
        let mut backlog: u64 = lacks.iter().filter(|l| is_set(l.1)).map(|l| l.0).sum();
        let joint = if c.current { behind.saturating_mul(JOINT) } else { behind / CATCHING_UP };
        let mut marks = BTreeSet::new();
        for (bytes, stream, _) in lacks.iter().rev().filter(|l| is_set(l.1)) {
            if *bytes > behind || backlog > joint {
                backlog -= bytes;
                marks.insert(**stream);
            }
        }
        // A mark is small and spares the others' room.
        lacks.sort_by_key(|l| (!marks.contains(l.1), l.0, *l.1));
        let (mut left, count, mut pieces) = (budget, lacks.len(), Vec::new());
        for (at, (_, stream, log)) in lacks.into_iter().enumerate() {
            let (after, upto) = (c.sent.get(*stream), limit(*stream));
            let share = left / (count - at);
            let piece = if marks.contains(stream) {
                log.mark(after, upto).filter(|_| left >= MARK)
            } else {
                log.piece(after, upto, share, c.parts.get(stream).copied())
            };
            let Some(piece) = piece else { continue };
            left = left.saturating_sub(piece_size(&piece));
            pieces.push(piece);
        }
        pieces
    }

    /// Whether a batch brings a primary follower up to all that may be passed on.
    fn completes(&self, sent: &Position, message: &Message) -> bool {
        let Message::Batch(pieces) = message else { return false };
        let mut sent = sent.clone();
        let whole = |p: &&Piece| !matches!(p.content, Content::Part { .. });
        pieces.iter().filter(whole).for_each(|p| sent.raise(p.stream, p.upto()));
        sent.covers(&self.passable)
    }

    fn beat(&mut self, now: Micros, peer: PeerId, c: &mut Carried, out: &mut Vec<Output>) {
        let proven = c.unproven.is_empty() && c.differs.is_empty();
        let fresh = self.quorum.fresh().filter(|_| proven);
        let gains = self.passable.gains(&c.shown);
        c.shown.merge(&self.passable);
        // Rounded up; one that is too old for a number is none.
        let age = fresh.and_then(|f| u32::try_from((now - f).max(0) / 1000 + 1).ok());
        let message = Message::Beat(Beat { echo: c.challenge, age, gains });
        let bytes = frame::size(&message);
        c.bucket.take(now, bytes);
        self.figures.bytes += bytes as u64;
        out.push(Output::Send(peer, Rc::new(message)));
    }
}

/// Bytes of a mark, at most: stream, two numbers, digest, kind.
const MARK: usize = 24;

impl Carried {
    fn new(now: Micros, rules: &Rules, bucket: Bucket) -> Self {
        Carried {
            id: FollowerId(0),
            primary: false,
            welcome: false,
            since: now,
            heard: now,
            challenge: 0,
            told: Position::default(),
            sent: Position::default(),
            shown: Position::default(),
            parts: BTreeMap::new(),
            pulls: BTreeMap::new(),
            unproven: BTreeMap::new(),
            differs: BTreeSet::new(),
            current: false,
            refused: VecDeque::new(),
            bucket,
            words: Bucket::new(now, rules.message_rate, rules.message_rate),
        }
    }
}

/// Bytes that a change takes on its way to a follower, less the head of its piece.
fn cost(kind: TopicKind, bytes: usize) -> usize {
    match kind {
        TopicKind::Set => bytes + 1,
        // Offset, key, digest and length.
        TopicKind::Register => bytes + 12,
    }
}

fn piece_size(piece: &Piece) -> usize {
    let flavor = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(piece, flavor).unwrap_or(bounds::MAX_FRAME_BYTES)
}

fn slot(peer: PeerId) -> usize {
    (peer % SLOTS as PeerId) as usize
}

/// Rounded up.
fn ms(span: Micros) -> u32 {
    u32::try_from(span.max(0).saturating_add(999) / 1000).unwrap_or(u32::MAX)
}
