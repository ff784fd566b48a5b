//! The state machine of a control machine. It holds every stream, tracks what a majority of the stores has
//! persisted, and sends that to its followers. The first control machines of the list are also stores: they
//! accept submissions and number them.
//!
//! Memory: per stream, [`Rules::retained_changes`] changes or [`Rules::retained_bytes`], the last values of a
//! register, and 64 commit times; [`bounds::MAX_POLLS`] polls; per other control machine one connection and a
//! position; per follower some positions and two buckets, about 1 KB, and no send queue, because what it is
//! sent is read from the shared log; one entry per pending submission and status query.
//!
//! Traffic: to each other control machine a poll and an answer every [`Rules::poll_interval`]; to each
//! follower a beat every [`Rules::beat_interval`], and to each primary follower a batch with it. A token
//! bucket per follower limits the traffic to [`Rules::primary_rate`] or [`Rules::secondary_rate`] bytes in
//! any second.
//!
//! Cost of a change: at the store that accepts it, one record, one message to each other control machine and
//! one answer from each other store; at each other control machine, at most one record; to each primary
//! follower, its bytes and a share of a piece header of about 12 bytes. A status query costs one message to
//! each other control machine and one or more answers of 8 to 10 bytes per follower.

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

/// Offsets within the beat interval at which followers are served. This spreads the load evenly, and
/// followers of the same slot share batches.
const SLOTS: usize = 5;
/// Bytes of a batch between control machines.
const CONTROL_BATCH_BYTES: usize = 32 * 1024;
/// Bytes reserved in a batch for the beat that accompanies it: 8, and 5 for each of three streams.
const BEAT_RESERVE: usize = 24;
/// Bytes of a batch before its pieces: the frame header, the message kind and the count.
const BATCH_HEADER: usize = 5;
/// For a follower that was up to date: while the backlogs of all sets together exceed this multiple of the
/// limit for one, the longest is replaced by a mark. 2 leaves space for the largest change in addition to the
/// burst that stores admit.
const TOTAL_BACKLOG_FACTOR: u64 = 2;
/// The same for a follower that has not been up to date since its hello, as a divisor of the limit for one.
/// It leaves about half of the rate for what the follower is missing, next to new changes.
const CATCH_UP_DIVISOR: u64 = 2;
/// Followers listed in one answer as having refused a change.
const MAX_REFUSERS: usize = 1024;
/// Changes refused by any follower that are remembered for [`Stats::refused`].
const MAX_REFUSED_CHANGES: usize = 64;
/// A lease counts as expired everywhere after an additional thousandth of it; clocks drift by 200 ppm at
/// most.
const LEASE_MARGIN_DIVISOR: Micros = 1000;

/// What the host knows about the peer of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionKind {
    /// A control machine that this one dialled.
    Control(ControlId),
    /// A peer that dialled this machine. Its first message identifies it.
    Accepted,
}

/// Actions for the host, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Open a connection to another control machine. A failure need not be reported: the connection is
    /// requested again.
    Dial(ControlId),
    /// Send a message. Batches to several followers are the same `Rc`, so that they can be encoded once.
    Send(PeerId, Rc<Message>),
    /// Persist these records (append, then fdatasync) before carrying out any later output. Only stores
    /// request this.
    Persist(Vec<Record>),
    /// Send the reason as [`frame::refusal`] and close. [`Control::down`] need not be called.
    Close(PeerId, CloseReason),
}

/// Statistics for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// The held position, and the part of it that a majority of the stores is known to hold.
    pub held: Position,
    /// See [`Stats::held`].
    pub committed: Position,
    /// Everything acknowledged before this instant is held; none if no majority has been heard since the
    /// start.
    pub fresh: Option<Micros>,
    /// Whether this is a store that accepts submissions.
    pub accepting: bool,
    /// Number of connections: to other control machines, to followers as primary and as secondary, to
    /// clients, and to peers that have not identified themselves.
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
    /// Submissions accepted, rejected as busy, and acknowledged since the start.
    pub accepted: u64,
    /// See [`Stats::accepted`].
    pub busy: u64,
    /// See [`Stats::accepted`].
    pub acknowledged: u64,
    /// Bytes of frames, marks, and fragments of large changes sent to followers since the start.
    pub bytes: u64,
    /// See [`Stats::bytes`].
    pub marks: u64,
    /// See [`Stats::bytes`].
    pub parts: u64,
    /// Followers closed because they were silent, connections refused because a limit was reached, and
    /// streams whose history differed at a follower, since the start.
    pub timed_out: u64,
    /// See [`Stats::timed_out`].
    pub at_capacity: u64,
    /// See [`Stats::timed_out`].
    pub history_mismatches: u64,
    /// Streams for which another control machine sent changes that conflict with the log here. An operator
    /// must resolve this.
    pub conflicts: Vec<StreamId>,
    /// The latest changes that a follower could not put into effect, and how many followers reported each.
    pub refused: Vec<(StreamId, u64, u32)>,
}

/// Statistics do not influence behaviour. They are left out of the hash so that states that differ only in
/// them compare as equal.
impl Hash for Stats {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// A connection to another control machine.
#[derive(Clone, Debug, Hash)]
struct ControlLink {
    peer: PeerId,
    last_heard: Micros,
}

/// A connected follower and what it has been sent.
#[derive(Clone, Debug, Hash)]
struct FollowerState {
    id: FollowerId,
    primary: bool,
    /// Whether it has sent a hello with the current epoch.
    welcomed: bool,
    since: Micros,
    last_heard: Micros,
    challenge: u32,
    /// What the follower has confirmed, what it has been sent, and what has been announced to it.
    acked: Position,
    sent: Position,
    announced: Position,
    /// Per stream, the change that is being sent in fragments: its number and the bytes already sent.
    parts: BTreeMap<StreamId, (u64, u16)>,
    /// Per stream that the follower has requested, the number up to which to send.
    pulls: BTreeMap<StreamId, u64>,
    /// Heads from its hello that have not been compared with the log yet.
    unverified: BTreeMap<StreamId, Head>,
    mismatched: BTreeSet<StreamId>,
    /// Whether it has been sent everything since its hello.
    caught_up: bool,
    refused: VecDeque<(StreamId, u64)>,
    bucket: Bucket,
    message_budget: Bucket,
}

#[derive(Clone, Debug, Hash)]
enum Peer {
    Unidentified { since: Micros, dialled: Option<ControlId> },
    Control(ControlId),
    Follower(Box<FollowerState>),
    Client { last_heard: Micros, message_budget: Bucket },
}

/// A stream of which a store holds more than this machine.
#[derive(Clone, Debug, Hash)]
struct MissingChanges {
    held: u64,
    since: Micros,
    asked: Option<Micros>,
    turn: usize,
}

/// A status query that waits for counts.
#[derive(Clone, Debug, Hash)]
struct StatusQuery {
    peer: PeerId,
    token: u32,
    stream: StreamId,
    number: u64,
    from: FollowerId,
    deadline: Micros,
    have: BTreeSet<FollowerId>,
    refused: BTreeSet<FollowerId>,
    awaited: BTreeSet<ControlId>,
    unheard: BTreeSet<ControlId>,
}

/// The state machine of a control machine; see the module documentation.
#[derive(Clone, Debug, Hash)]
pub struct Control {
    rules: Rules,
    me: ControlId,
    roster: BTreeSet<FollowerId>,
    logs: BTreeMap<StreamId, Log>,
    held: Position,
    /// What is both held and committed, and may be sent to followers.
    deliverable: Position,
    quorum: Quorum,
    missing: BTreeMap<StreamId, MissingChanges>,
    peers: BTreeMap<PeerId, Peer>,
    links: BTreeMap<ControlId, ControlLink>,
    dials: BTreeMap<ControlId, Micros>,
    slots: [BTreeSet<PeerId>; SLOTS],
    slots_at: [Micros; SLOTS],
    poll_at: Micros,
    /// Whether it started without records, whether its answers to polls count towards a majority, whether it
    /// accepts submissions, and which stores have answered since the start.
    empty: bool,
    counts: bool,
    accepting: bool,
    stores_heard: BTreeSet<ControlId>,
    admission: Bucket,
    depth: usize,
    pending: BTreeMap<StreamId, VecDeque<(u64, PeerId, u32)>>,
    status_queries: BTreeMap<u32, StatusQuery>,
    last_query_token: u32,
    conflicts: BTreeSet<StreamId>,
    refused: VecDeque<(StreamId, u64, u32)>,
    stats: Stats,
}

impl Control {
    /// Creates a control machine. `roster` lists all followers; `restored` contains the persisted records in
    /// the order in which they were written. Fails if rules or records are inconsistent.
    pub fn new(
        now: Micros,
        rules: Rules,
        me: ControlId,
        roster: Vec<FollowerId>,
        restored: Vec<Record>,
    ) -> Result<Self, &'static str> {
        rules.check()?;
        if me.0 >= rules.controls {
            return Err("the number of this control machine exceeds the list of control machines");
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
            let log = logs.get_mut(&record.stream()).ok_or("a record belongs to an unknown stream")?;
            log.restore(record)?;
        }
        logs.values_mut().for_each(Log::finish_restore);
        let held = logs.iter().map(|(stream, log)| (*stream, log.head().number)).collect();
        let change_rate = i64::from(rules.primary_rate) * i64::from(rules.change_share) / 1000;
        let rate = u32::try_from(change_rate / i64::from(rules.stores)).unwrap_or(u32::MAX).max(1);
        let depth = u32::try_from(i64::from(rate) * rules.max_backlog / SECOND).unwrap_or(u32::MAX).max(1);
        let slot = rules.beat_interval / SLOTS as Micros;
        let mut control = Control {
            me,
            roster: roster.into_iter().collect(),
            logs,
            held,
            deliverable: Position::default(),
            quorum: Quorum::new(),
            missing: BTreeMap::new(),
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            dials: (0..me.0).map(|c| (ControlId(c), now)).collect(),
            slots: Default::default(),
            slots_at: std::array::from_fn(|s| now + slot * (s as Micros + 1)),
            poll_at: now,
            empty,
            counts: !empty || rules.has_fault(InjectedFault::NoRecovery),
            accepting: false,
            stores_heard: BTreeSet::new(),
            admission: Bucket::new(now, rate, depth),
            depth: depth as usize,
            pending: BTreeMap::new(),
            status_queries: BTreeMap::new(),
            last_query_token: 0,
            conflicts: BTreeSet::new(),
            refused: VecDeque::new(),
            stats: Stats::default(),
            rules,
        };
        if control.rules.is_store(me) {
            for (stream, number) in control.held.clone().iter() {
                control.quorum.report_persisted(now, &control.rules, me, stream, number);
            }
        }
        Ok(control)
    }

    /// A connection was established.
    pub fn up(&mut self, now: Micros, peer: PeerId, kind: ConnectionKind, out: &mut Vec<Output>) {
        let unidentified = self.peers.values().filter(|p| matches!(p, Peer::Unidentified { .. })).count();
        let dialled = match kind {
            ConnectionKind::Control(id) => Some(id),
            ConnectionKind::Accepted if unidentified >= self.rules.max_unidentified => {
                self.stats.at_capacity += 1;
                return out.push(Output::Close(peer, CloseReason::NoCapacity));
            }
            ConnectionKind::Accepted => None,
        };
        self.peers.insert(peer, Peer::Unidentified { since: now, dialled });
        if dialled.is_some() {
            out.push(self.control_hello(peer));
        }
    }

    /// A connection was lost.
    pub fn down(&mut self, now: Micros, peer: PeerId, out: &mut Vec<Output>) {
        self.remove_peer(now, peer);
        self.answer_status_queries(now, out);
    }

    /// Handles a message. On an error the host sends the reason and closes; [`Control::down`] need not be
    /// called.
    pub fn handle_message(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let result = message
            .check()
            .map_err(CloseReason::Bounds)
            .and_then(|()| self.dispatch(now, peer, message, out));
        if result.is_err() {
            self.remove_peer(now, peer);
        }
        result
    }

    /// Performs everything that is due at `now`.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.poll_at {
            self.poll_at = now + self.rules.poll_interval;
            self.close_idle_and_dial(now, out);
            self.start_poll(now, out);
            self.request_missing(now, out);
            self.update_commits(now, out);
        }
        for slot in 0..SLOTS {
            if now >= self.slots_at[slot] {
                self.slots_at[slot] = now + self.rules.beat_interval;
                self.serve_slot(now, slot, out);
            }
        }
        self.answer_status_queries(now, out);
    }

    /// When [`Control::tick`] must be called next.
    pub fn next_tick(&self) -> Micros {
        let deadlines = self.status_queries.values().map(|q| q.deadline);
        self.slots_at.into_iter().chain([self.poll_at]).chain(deadlines).min().unwrap_or(self.poll_at)
    }

    /// Replaces the list of followers.
    pub fn set_roster(&mut self, roster: Vec<FollowerId>) {
        self.roster = roster.into_iter().collect();
    }

    /// The id of this control machine.
    pub fn id(&self) -> ControlId {
        self.me
    }

    /// Everything held, as records, for a host that rewrites the file of a store.
    pub fn records(&self) -> Vec<Record> {
        self.logs.values().flat_map(Log::records).collect()
    }

    /// The head of a stream.
    pub fn head(&self, stream: StreamId) -> Head {
        self.logs.get(&stream).map(Log::head).unwrap_or_default()
    }

    /// Statistics for logs.
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
            accepting: self.accepting,
            controls: self.links.len(),
            primaries: followers().filter(|p| *p).count(),
            secondaries: followers().filter(|p| !*p).count(),
            clients: self.client_count(),
            unidentified: self.peers.values().filter(|p| matches!(p, Peer::Unidentified { .. })).count(),
            pending: self.pending.values().map(VecDeque::len).sum(),
            conflicts: self.conflicts.iter().copied().collect(),
            refused: self.refused.iter().copied().collect(),
            ..self.stats.clone()
        }
    }

    fn control_hello(&self, peer: PeerId) -> Output {
        Output::Send(peer, Rc::new(Message::Control { epoch: self.rules.epoch, id: self.me }))
    }

    fn client_count(&self) -> usize {
        self.peers.values().filter(|p| matches!(p, Peer::Client { .. })).count()
    }

    fn remove_peer(&mut self, now: Micros, peer: PeerId) {
        match self.peers.remove(&peer) {
            Some(Peer::Control(id)) => {
                if self.links.get(&id).is_some_and(|l| l.peer == peer) {
                    self.links.remove(&id);
                    self.dials.entry(id).and_modify(|at| *at = now);
                }
                for q in self.status_queries.values_mut().filter(|q| q.awaited.contains(&id)) {
                    q.awaited.remove(&id);
                    q.unheard.insert(id);
                }
            }
            Some(Peer::Follower(_)) => {
                self.slots[slot_of(peer)].remove(&peer);
            }
            Some(Peer::Client { .. }) => self.status_queries.retain(|_, q| q.peer != peer),
            Some(Peer::Unidentified { .. }) | None => {}
        }
    }

    fn close(&mut self, now: Micros, peer: PeerId, reason: CloseReason, out: &mut Vec<Output>) {
        self.remove_peer(now, peer);
        out.push(Output::Close(peer, reason));
    }

    /// Closes connections that have been silent for too long, and dials control machines.
    fn close_idle_and_dial(&mut self, now: Micros, out: &mut Vec<Output>) {
        let idle_timeout = self.rules.idle_timeout;
        let idle = |p: &Peer| match p {
            Peer::Unidentified { since, .. } => now - since > idle_timeout,
            Peer::Control(id) => self.links.get(id).is_none_or(|l| now - l.last_heard > idle_timeout),
            Peer::Follower(c) => now - c.last_heard > idle_timeout,
            // Clients may pause between two queries.
            Peer::Client { last_heard, .. } => now - last_heard > 12 * idle_timeout,
        };
        let idle: Vec<PeerId> = self.peers.iter().filter(|(_, p)| idle(p)).map(|(id, _)| *id).collect();
        for peer in idle {
            if matches!(self.peers.get(&peer), Some(Peer::Follower(_))) {
                self.stats.timed_out += 1;
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

    fn start_poll(&mut self, now: Micros, out: &mut Vec<Output>) {
        let token = self.quorum.begin_poll(now);
        if self.rules.is_store(self.me) {
            self.quorum.record_answer(now, &self.rules, token, self.me, self.counts, &self.held);
        }
        let message = Rc::new(Message::Poll { token });
        out.extend(self.links.values().map(|l| Output::Send(l.peer, message.clone())));
    }

    /// Requests changes that a store holds and that this machine has been missing for some time.
    fn request_missing(&mut self, now: Micros, out: &mut Vec<Output>) {
        for stream in self.quorum.streams() {
            let held = self.held.get(stream);
            if self.quorum.highest_reported(stream) <= held {
                self.missing.remove(&stream);
                continue;
            }
            let new = MissingChanges { held, since: now, asked: None, turn: usize::from(self.me.0) };
            let missing = self.missing.entry(stream).or_insert(new);
            if missing.held != held {
                (missing.held, missing.since) = (held, now);
            }
            let due = now - missing.since >= self.rules.poll_interval;
            if due && missing.asked.is_none_or(|at| now - at >= self.rules.gap_timeout) {
                self.send_pull(now, stream, None, out);
            }
        }
    }

    /// Requests the changes after the held position from the store `from`, or else from the next store that
    /// has them.
    fn send_pull(&mut self, now: Micros, stream: StreamId, from: Option<ControlId>, out: &mut Vec<Output>) {
        let held = self.held.get(stream);
        let has = |id: &ControlId| self.quorum.reported(*id).is_some_and(|p| p.get(stream) > held);
        let live =
            self.links.iter().filter(|(id, l)| now - l.last_heard <= self.rules.silence_timeout && has(id));
        let live: Vec<(ControlId, PeerId)> = live.map(|(id, l)| (*id, l.peer)).collect();
        let Some(missing) = self.missing.get_mut(&stream) else { return };
        let named = live.iter().find(|l| Some(l.0) == from);
        let next = live.get(missing.turn % live.len().max(1));
        let Some((_, peer)) = named.or(next) else { return };
        missing.turn = missing.turn.wrapping_add(1);
        missing.asked = Some(now);
        out.push(Output::Send(*peer, Rc::new(Message::Pull { stream, after: held })));
    }

    fn dispatch(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let unexpected = Err(CloseReason::Unexpected(message.name()));
        match self.peers.get_mut(&peer) {
            None => unexpected,
            Some(Peer::Unidentified { dialled, .. }) => {
                let dialled = *dialled;
                match message {
                    Message::Control { epoch, id } => {
                        self.accept_control(now, peer, dialled, *epoch, *id, out)
                    }
                    Message::Hello(_) if dialled.is_none() => {
                        let (taken, rate) = (self.follower_count(), self.rules.secondary_rate);
                        if taken >= self.rules.max_followers {
                            self.stats.at_capacity += 1;
                            return Err(CloseReason::NoCapacity);
                        }
                        let follower = FollowerState::new(now, &self.rules, self.new_bucket(now, rate));
                        self.peers.insert(peer, Peer::Follower(Box::new(follower)));
                        self.slots[slot_of(peer)].insert(peer);
                        self.handle_follower(now, peer, message, out)
                    }
                    Message::Submit { .. } | Message::Status { .. } if dialled.is_none() => {
                        if self.client_count() >= self.rules.max_clients {
                            self.stats.at_capacity += 1;
                            return Err(CloseReason::NoCapacity);
                        }
                        let message_budget =
                            Bucket::new(now, self.rules.message_rate, self.rules.message_rate);
                        self.peers.insert(peer, Peer::Client { last_heard: now, message_budget });
                        self.handle_client(now, peer, message, out)
                    }
                    _ => unexpected,
                }
            }
            Some(Peer::Control(id)) => {
                let id = *id;
                if let Some(link) = self.links.get_mut(&id) {
                    link.last_heard = now;
                }
                self.handle_control(now, id, peer, message, out)
            }
            Some(Peer::Follower(follower)) => {
                follower.last_heard = now;
                if follower.message_budget.level(now) < 1 {
                    return Err(CloseReason::TooManyMessages);
                }
                follower.message_budget.take(now, 1);
                self.handle_follower(now, peer, message, out)
            }
            Some(Peer::Client { last_heard, message_budget }) => {
                *last_heard = now;
                // Submissions are limited by the admission bucket, which does not close the connection.
                if !matches!(message, Message::Submit { .. }) {
                    if message_budget.level(now) < 1 {
                        return Err(CloseReason::TooManyMessages);
                    }
                    message_budget.take(now, 1);
                }
                self.handle_client(now, peer, message, out)
            }
        }
    }

    fn follower_count(&self) -> usize {
        self.slots.iter().map(BTreeSet::len).sum()
    }

    /// Messages to a follower are sent at least a beat apart, so no second contains more of them than beats,
    /// nor more bytes than the rate. The bucket starts in debt, because another control machine may have sent
    /// to the follower just before.
    fn new_bucket(&self, now: Micros, rate: u32) -> Bucket {
        let depth = i64::from(rate) * self.rules.beat_interval / SECOND;
        Bucket::new_in_debt(now, rate, u32::try_from(depth).unwrap_or(u32::MAX))
    }

    // Messages from other control machines.

    fn accept_control(
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
        self.links.insert(id, ControlLink { peer, last_heard: now });
        if dialled.is_none() {
            out.push(self.control_hello(peer));
        }
        if self.quorum.token() > 0 {
            out.push(Output::Send(peer, Rc::new(Message::Poll { token: self.quorum.token() })));
        }
        Ok(())
    }

    fn handle_control(
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
                    self.quorum.record_answer(now, &self.rules, *token, id, *counts, position);
                    self.stores_heard.insert(id);
                    self.update_commits(now, out);
                }
            }
            Message::Holds { stream, number } => {
                if !self.logs.contains_key(stream) || !self.rules.is_store(id) {
                    return Err(CloseReason::Bounds("a stream that there is not"));
                }
                self.quorum.report_persisted(now, &self.rules, id, *stream, *number);
                self.update_commits(now, out);
            }
            Message::Batch(pieces) => self.handle_batch(now, id, pieces, out)?,
            Message::Pull { stream, after } => {
                let log = self.logs.get(stream).ok_or(CloseReason::Bounds("a stream that there is not"))?;
                if let Some(piece) = log.piece(*after, log.head().number, CONTROL_BATCH_BYTES, None) {
                    out.push(Output::Send(peer, Rc::new(Message::Batch(vec![piece]))));
                }
            }
            Message::Count { token, stream, number } => {
                let (have, refused) = self.followers_holding(*stream, *number);
                let refused: Vec<FollowerId> = refused.into_iter().take(MAX_REFUSERS).collect();
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
                // A late answer belongs to no query any more.
                if let Some(q) = self.status_queries.get_mut(token).filter(|q| q.awaited.contains(&id)) {
                    q.have.extend(have.iter().filter(|f| self.roster.contains(f)));
                    q.refused.extend(refused.iter().filter(|f| self.roster.contains(f)));
                    if *last {
                        q.awaited.remove(&id);
                    }
                }
                self.answer_status_queries(now, out);
            }
            other => return Err(CloseReason::Unexpected(other.name())),
        }
        Ok(())
    }

    /// Handles changes from another control machine.
    fn handle_batch(
        &mut self,
        now: Micros,
        id: ControlId,
        pieces: &[Piece],
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        for piece in pieces {
            let stream = piece.stream;
            let log = self.logs.get_mut(&stream).ok_or(CloseReason::Bounds("a stream that there is not"))?;
            // A store takes changes of its own streams from others only until it accepts submissions again.
            let own = stream.store == self.me && self.accepting;
            let before = log.head().number;
            let records = match log.apply_piece(piece) {
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
                self.reserve_for_large(now, &records);
                out.push(Output::Persist(records));
                self.quorum.report_persisted(now, &self.rules, self.me, stream, number);
                if let Some(owner) = self.links.get(&stream.store) {
                    out.push(Output::Send(owner.peer, Rc::new(Message::Holds { stream, number })));
                }
            }
            let more = self.quorum.reported(id).is_some_and(|p| p.get(stream) > number);
            if more && self.missing.get(&stream).is_some_and(|w| w.asked.is_some()) {
                self.send_pull(now, stream, Some(id), out);
            }
        }
        self.update_commits(now, out);
        Ok(())
    }

    /// Updates everything that depends on what is held and committed: deliverable changes, freshness,
    /// retention, recovery, and pending submissions.
    fn update_commits(&mut self, now: Micros, out: &mut Vec<Output>) {
        let committed = self.quorum.committed();
        for (stream, held) in self.held.iter() {
            let uncommitted_too = self.rules.has_fault(InjectedFault::Uncommitted);
            let deliverable = if uncommitted_too { held } else { held.min(committed.get(stream)) };
            self.deliverable.raise(stream, deliverable);
        }
        self.quorum.advance_fresh(now, &self.rules, &self.deliverable);
        for (stream, log) in &mut self.logs {
            log.compact(&self.rules, self.quorum.committed().get(*stream));
        }
        self.finish_recovery();
        let (quorum, peers, stats) = (&self.quorum, &self.peers, &mut self.stats);
        for (stream, waiting) in &mut self.pending {
            let upto = quorum.committed().get(*stream);
            while let Some((number, peer, token)) = waiting.front().copied().filter(|w| w.0 <= upto) {
                waiting.pop_front();
                stats.acknowledged += 1;
                if peers.contains_key(&peer) {
                    let stream = *stream;
                    out.push(Output::Send(peer, Rc::new(Message::Submitted { token, stream, number })));
                }
            }
        }
    }

    /// A restarted store accepts submissions again when it has heard a majority since its start, and holds
    /// everything that they hold of its own streams. A store that started empty needs a majority without
    /// itself and everything that they hold. Before that its answers do not count, because it may have lost
    /// changes that were acknowledged on the strength of its confirmation.
    fn finish_recovery(&mut self) {
        if self.accepting || !self.rules.is_store(self.me) {
            return;
        }
        let required = self.rules.majority() - usize::from(!self.empty);
        let required = required.min(usize::from(self.rules.stores) - 1);
        let holds = |own: bool| {
            self.stores_heard.iter().filter_map(|id| self.quorum.reported(*id)).all(|p| {
                let mine = |s: &(StreamId, u64)| !own || s.0.store == self.me;
                p.iter().filter(mine).all(|(stream, number)| self.held.get(stream) >= number)
            })
        };
        if self.rules.has_fault(InjectedFault::NoRecovery)
            || (self.stores_heard.len() >= required && holds(!self.empty))
        {
            (self.accepting, self.counts) = (true, true);
        }
    }

    // Messages from clients.

    fn handle_client(
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
                    Ok(()) => self.append_submission(now, stream, kind, *key, body, (peer, *token), out),
                    Err(wait) => {
                        self.stats.busy += 1;
                        let after = ceil_ms(wait);
                        out.push(Output::Send(peer, Rc::new(Message::Busy { token: *token, after })));
                    }
                }
                Ok(())
            }
            Message::Status { token, stream, number, from } => {
                self.start_status_query(now, peer, (*token, *stream, *number, *from), out);
                Ok(())
            }
            other => Err(CloseReason::Unexpected(other.name())),
        }
    }

    /// Admits a change of this size; on rejection, returns the time after which to try again.
    fn admit(
        &mut self,
        now: Micros,
        stream: StreamId,
        kind: TopicKind,
        key: u32,
        bytes: usize,
    ) -> Result<(), Micros> {
        let live = self
            .links
            .iter()
            .filter(|(id, l)| self.rules.is_store(**id) && now - l.last_heard <= self.rules.silence_timeout);
        if !self.accepting || live.count() + 1 < self.rules.majority() {
            return Err(self.rules.silence_timeout);
        }
        let Some(log) = self.logs.get(&stream) else { return Err(self.rules.silence_timeout) };
        if kind == TopicKind::Register && log.key_count() >= self.rules.max_keys && !log.has_key(key) {
            return Err(60 * SECOND);
        }
        if self.pending.values().map(VecDeque::len).sum::<usize>() >= self.rules.max_pending {
            return Err(self.rules.poll_interval);
        }
        let cost = change_cost(kind, bytes);
        if cost > self.depth && !self.accepts_large(now) {
            return Err(self.rules.silence_timeout);
        }
        match self.admission.time_until_available(now, cost) {
            0 => {
                self.admission.take(now, cost);
                Ok(())
            }
            wait => Err(wait),
        }
    }

    /// A large change accepted by another store is sent along with the changes accepted here, so this store
    /// reserves its share of the bandwidth for it.
    fn reserve_for_large(&mut self, now: Micros, records: &[Record]) {
        for record in records {
            let Record::Change(change, _) = record else { continue };
            let Some(kind) = self.rules.kind(change.stream.topic) else { continue };
            let cost = change_cost(kind, change.body.len());
            // Not for each of the many changes that arrive at once after an absence.
            if cost > self.depth && self.admission.level(now) >= 0 {
                self.admission.take(now, cost / usize::from(self.rules.stores));
            }
        }
    }

    /// Whether this store accepts changes larger than its burst size: only the first reachable store does.
    /// One large change at a time is delivered well within the lease next to all other traffic; five at once
    /// would not be.
    fn accepts_large(&self, now: Micros) -> bool {
        let live = |l: &ControlLink| now - l.last_heard <= self.rules.silence_timeout;
        !(0..self.me.0).any(|id| self.links.get(&ControlId(id)).is_some_and(live))
    }

    #[allow(clippy::too_many_arguments)]
    fn append_submission(
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
        self.stats.accepted += 1;
        self.held.set(stream, number);
        out.push(Output::Persist(vec![record]));
        if let Some(piece) = log.piece(number - 1, number, CONTROL_BATCH_BYTES, None) {
            let message = Rc::new(Message::Batch(vec![piece]));
            out.extend(self.links.values().map(|l| Output::Send(l.peer, message.clone())));
        }
        self.pending.entry(stream).or_default().push_back((number, client.0, client.1));
        self.quorum.report_persisted(now, &self.rules, self.me, stream, number);
        self.update_commits(now, out);
    }

    fn start_status_query(
        &mut self,
        now: Micros,
        peer: PeerId,
        (token, stream, number, from): (u32, StreamId, u64, FollowerId),
        out: &mut Vec<Output>,
    ) {
        if self.status_queries.len() >= self.rules.max_status_queries {
            let after = ceil_ms(self.rules.count_timeout);
            return out.push(Output::Send(peer, Rc::new(Message::Busy { token, after })));
        }
        self.last_query_token = self.last_query_token.wrapping_add(1);
        let (have, refused) = self.followers_holding(stream, number);
        let listed = |f: &FollowerId| self.roster.contains(f);
        let count = Rc::new(Message::Count { token: self.last_query_token, stream, number });
        out.extend(self.links.values().map(|l| Output::Send(l.peer, count.clone())));
        let others = (0..self.rules.controls).map(ControlId).filter(|c| *c != self.me);
        let (awaited, unheard) = others.partition(|c| self.links.contains_key(c));
        let question = StatusQuery {
            peer,
            token,
            stream,
            number,
            from,
            deadline: now + self.rules.count_timeout,
            have: have.into_iter().filter(listed).collect(),
            refused: refused.into_iter().filter(listed).collect(),
            awaited,
            unheard,
        };
        self.status_queries.insert(self.last_query_token, question);
        self.answer_status_queries(now, out);
    }

    /// Followers that use this machine as primary and have confirmed a change, and those among them that
    /// refused it.
    fn followers_holding(&self, stream: StreamId, number: u64) -> (Vec<FollowerId>, Vec<FollowerId>) {
        let (mut have, mut refused) = (Vec::new(), Vec::new());
        for peer in self.peers.values() {
            let Peer::Follower(c) = peer else { continue };
            let proven = c.welcomed && !c.unverified.contains_key(&stream) && !c.mismatched.contains(&stream);
            let holds = if self.rules.has_fault(InjectedFault::CountsSent) { &c.sent } else { &c.acked };
            if c.primary && proven && holds.get(stream) >= number {
                have.push(c.id);
                if c.refused.contains(&(stream, number)) {
                    refused.push(c.id);
                }
            }
        }
        (have, refused)
    }

    /// Answers status queries that have all counts or have timed out.
    fn answer_status_queries(&mut self, now: Micros, out: &mut Vec<Output>) {
        let done = |q: &StatusQuery| q.awaited.is_empty() || q.deadline <= now;
        let done: Vec<u32> = self.status_queries.iter().filter(|(_, q)| done(q)).map(|(t, _)| *t).collect();
        for token in done {
            let Some(q) = self.status_queries.remove(&token) else { continue };
            let age = self.quorum.committed_for(now, q.stream, q.number);
            let missing = self.roster.range(q.from..).filter(|f| !q.have.contains(f));
            let report = StatusReport {
                token: q.token,
                committed: age.is_some(),
                since: ceil_ms(age.unwrap_or(0)),
                followers: self.roster.len() as u32,
                have: q.have.len() as u32,
                lapsed: age.is_some_and(|a| a > self.rules.lease + self.rules.lease / LEASE_MARGIN_DIVISOR),
                missing: missing.copied().take(bounds::MAX_NAMES).collect(),
                refused: q.refused.into_iter().take(MAX_REFUSERS).collect(),
                unheard: q.unheard.union(&q.awaited).copied().collect(),
            };
            out.push(Output::Send(q.peer, Rc::new(Message::Told(report))));
        }
    }

    // Messages from and to followers.

    fn handle_follower(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        match message {
            Message::Hello(hello) => self.handle_hello(now, peer, hello, out),
            Message::Ack(ack) => self.handle_ack(now, peer, ack),
            Message::Pull { stream, after } => {
                let (limit, known) = (self.deliverable.get(*stream), self.logs.contains_key(stream));
                let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return Ok(()) };
                if !known {
                    return Err(CloseReason::Bounds("a stream that there is not"));
                }
                if !c.mismatched.contains(stream) {
                    c.parts.remove(stream);
                    c.sent.set(*stream, *after);
                    c.pulls.insert(*stream, limit);
                }
                Ok(())
            }
            other => Err(CloseReason::Unexpected(other.name())),
        }
    }

    fn handle_hello(
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
            matches!(p, Peer::Follower(c) if c.id == hello.id && c.welcomed && *id != peer).then_some(*id)
        };
        if let Some(old) = self.peers.iter().find_map(same) {
            self.close(now, old, CloseReason::Replaced, out);
        }
        let rate = if hello.primary { self.rules.primary_rate } else { self.rules.secondary_rate };
        let (epoch, bucket) = (self.rules.epoch, self.new_bucket(now, rate));
        let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return Ok(()) };
        let heads = hello.heads.iter().copied();
        let held: Position = heads.clone().map(|(stream, head)| (stream, head.number)).collect();
        if c.primary != hello.primary {
            (c.primary, c.bucket) = (hello.primary, bucket);
        }
        (c.id, c.challenge, c.since, c.welcomed) = (hello.id, hello.challenge, now, hello.epoch == epoch);
        (c.acked, c.sent, c.announced) = (held.clone(), held.clone(), held);
        c.unverified = heads.filter(|(_, head)| head.number > 0).collect();
        (c.parts, c.pulls, c.mismatched, c.caught_up) = Default::default();
        let welcome = Message::Welcome { epoch, control: self.me };
        c.bucket.take(now, frame::size(&welcome));
        out.push(Output::Send(peer, Rc::new(welcome)));
        self.verify_heads(now, peer, out);
        Ok(())
    }

    /// Compares the heads from a follower's hello with the log here.
    fn verify_heads(&mut self, now: Micros, peer: PeerId, out: &mut Vec<Output>) {
        let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return };
        if !c.welcomed || c.unverified.is_empty() {
            return;
        }
        let fresh = self.quorum.fresh().is_some_and(|f| f > c.since);
        let mut differs = Vec::new();
        c.unverified.retain(|stream, head| {
            let Some(log) = self.logs.get(stream) else { return false };
            let known = log.digest(head.number);
            let ours = if self.deliverable.get(*stream) >= head.number {
                // Of a set, an unknown digest is so old that a mark will replace the history. Of a register
                // nothing would correct it, so it counts as a mismatch.
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
            self.stats.history_mismatches += 1;
            c.mismatched.insert(stream);
            let message = Message::Differs { stream, number };
            c.bucket.take(now, frame::size(&message));
            out.push(Output::Send(peer, Rc::new(message)));
        }
    }

    fn handle_ack(&mut self, now: Micros, peer: PeerId, ack: &Ack) -> Result<(), CloseReason> {
        let unknown = |(stream, _): &(StreamId, u64)| !self.logs.contains_key(stream);
        if ack.gains.iter().any(unknown) || ack.refused.iter().any(unknown) {
            return Err(CloseReason::Bounds("a stream that there is not"));
        }
        let rate = if ack.primary { self.rules.primary_rate } else { self.rules.secondary_rate };
        let bucket = self.new_bucket(now, rate);
        let Some(Peer::Follower(c)) = self.peers.get_mut(&peer) else { return Ok(()) };
        c.challenge = ack.challenge;
        c.acked.gain(&ack.gains);
        // The follower may have received the requested changes from elsewhere.
        let (acked, sent, parts) = (&c.acked, &mut c.sent, &mut c.parts);
        c.pulls.retain(|stream, limit| {
            let holds = acked.get(*stream);
            if holds > sent.get(*stream) {
                sent.set(*stream, holds);
                parts.remove(stream);
            }
            holds < *limit
        });
        if c.primary != ack.primary {
            (c.primary, c.bucket) = (ack.primary, bucket);
            c.sent = c.acked.clone();
            (c.parts, c.pulls) = Default::default();
            // Another control machine was its primary until now.
            c.caught_up = true;
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
            if self.refused.len() > MAX_REFUSED_CHANGES {
                self.refused.pop_front();
            }
        }
        Ok(())
    }

    /// Sends batches and beats to the followers of a slot.
    fn serve_slot(&mut self, now: Micros, slot: usize, out: &mut Vec<Output>) {
        let mut shared = HashMap::new();
        let peers: Vec<PeerId> = self.slots[slot].iter().copied().collect();
        for peer in peers {
            self.verify_heads(now, peer, out);
            let Some(Peer::Follower(mut c)) = self.peers.remove(&peer) else { continue };
            if c.welcomed {
                self.send_batch(now, peer, &mut c, &mut shared, out);
                self.send_beat(now, peer, &mut c, out);
            }
            self.peers.insert(peer, Peer::Follower(c));
        }
    }

    /// Sends missing changes to a follower, as far as its bucket allows.
    fn send_batch(
        &mut self,
        now: Micros,
        peer: PeerId,
        c: &mut FollowerState,
        shared: &mut HashMap<Position, (Rc<Message>, usize)>,
        out: &mut Vec<Output>,
    ) {
        if !c.primary && c.pulls.is_empty() {
            return;
        }
        c.caught_up |= c.primary && c.sent.covers(&self.deliverable);
        let budget =
            usize::try_from(c.bucket.level(now)).unwrap_or(0).saturating_sub(BEAT_RESERVE + BATCH_HEADER);
        // Followers at the same position, as most are, share one batch.
        let shareable = c.primary && c.caught_up && c.parts.is_empty() && c.mismatched.is_empty();
        let known = shared.get(&c.sent).filter(|k| shareable && k.1 <= budget + BATCH_HEADER);
        let (message, bytes) = match known {
            Some((message, bytes)) => (message.clone(), *bytes),
            None => {
                let pieces = self.plan_batch(c, budget);
                if pieces.is_empty() {
                    return;
                }
                let message = Rc::new(Message::Batch(pieces));
                let bytes = frame::size(&message);
                if shareable && self.completes_delivery(&c.sent, &message) {
                    shared.insert(c.sent.clone(), (message.clone(), bytes));
                }
                (message, bytes)
            }
        };
        let Message::Batch(pieces) = &*message else { return };
        for piece in pieces {
            let stream = piece.stream;
            if let Content::Part { number, whole, offset, bytes, .. } = &piece.content {
                self.stats.parts += 1;
                let sent = *offset + bytes.len() as u16;
                if sent < *whole {
                    c.parts.insert(stream, (*number, sent));
                    continue;
                }
            }
            self.stats.marks += u64::from(piece.is_mark());
            let upto = piece.upto();
            c.parts.remove(&stream);
            c.sent.raise(stream, upto);
            c.announced.raise(stream, upto);
            if c.pulls.get(&stream).is_some_and(|limit| *limit <= upto) {
                c.pulls.remove(&stream);
            }
        }
        c.bucket.take(now, bytes);
        self.stats.bytes += bytes as u64;
        out.push(Output::Send(peer, message));
    }

    /// Selects the pieces to send to a follower within `budget` bytes. Streams share the budget evenly, and
    /// what one does not need goes to the others.
    fn plan_batch(&self, c: &FollowerState, budget: usize) -> Vec<Piece> {
        let limit = |stream: StreamId| {
            let deliverable = self.deliverable.get(stream);
            if c.primary {
                deliverable
            } else {
                c.pulls.get(&stream).copied().unwrap_or(0).min(deliverable)
            }
        };
        let rate = if c.primary { self.rules.primary_rate } else { self.rules.secondary_rate };
        let backlog_limit = i64::from(rate).saturating_mul(self.rules.max_backlog) / SECOND;
        let backlog_limit = u64::try_from(backlog_limit).unwrap_or(0);
        let pending_streams =
            self.logs.iter().filter(|(s, _)| c.sent.get(**s) < limit(**s) && !c.mismatched.contains(s));
        let mut pending_streams: Vec<(u64, &StreamId, &Log)> =
            pending_streams.map(|(s, log)| (log.bytes(c.sent.get(*s), limit(*s)), s, log)).collect();
        pending_streams.sort_by_key(|l| (l.0, *l.1));
        let is_set = |s: &StreamId| self.rules.kind(s.topic) == Some(TopicKind::Set);
        let mut backlog: u64 = pending_streams.iter().filter(|l| is_set(l.1)).map(|l| l.0).sum();
        let total_limit = if c.caught_up {
            backlog_limit.saturating_mul(TOTAL_BACKLOG_FACTOR)
        } else {
            backlog_limit / CATCH_UP_DIVISOR
        };
        let mut marks = BTreeSet::new();
        for (bytes, stream, _) in pending_streams.iter().rev().filter(|l| is_set(l.1)) {
            if *bytes > backlog_limit || backlog > total_limit {
                backlog -= bytes;
                marks.insert(**stream);
            }
        }
        // Marks come first: they are small and leave the budget to the others.
        pending_streams.sort_by_key(|l| (!marks.contains(l.1), l.0, *l.1));
        let (mut left, count, mut pieces) = (budget, pending_streams.len(), Vec::new());
        for (at, (_, stream, log)) in pending_streams.into_iter().enumerate() {
            let (after, upto) = (c.sent.get(*stream), limit(*stream));
            let share = left / (count - at);
            let piece = if marks.contains(stream) {
                log.mark(after, upto).filter(|_| left >= MARK_BYTES)
            } else {
                log.piece(after, upto, share, c.parts.get(stream).copied())
            };
            let Some(piece) = piece else { continue };
            left = left.saturating_sub(piece_size(&piece));
            pieces.push(piece);
        }
        pieces
    }

    /// Whether a batch brings a primary follower up to everything that is deliverable.
    fn completes_delivery(&self, sent: &Position, message: &Message) -> bool {
        let Message::Batch(pieces) = message else { return false };
        let mut sent = sent.clone();
        let is_complete = |p: &&Piece| !matches!(p.content, Content::Part { .. });
        pieces.iter().filter(is_complete).for_each(|p| sent.raise(p.stream, p.upto()));
        sent.covers(&self.deliverable)
    }

    fn send_beat(&mut self, now: Micros, peer: PeerId, c: &mut FollowerState, out: &mut Vec<Output>) {
        let proven = c.unverified.is_empty() && c.mismatched.is_empty();
        let fresh = self.quorum.fresh().filter(|_| proven);
        let gains = self.deliverable.gains(&c.announced);
        c.announced.merge(&self.deliverable);
        // Rounded up; none if the age does not fit the field.
        let age = fresh.and_then(|f| u32::try_from((now - f).max(0) / 1000 + 1).ok());
        let message = Message::Beat(Beat { echo: c.challenge, age, gains });
        let bytes = frame::size(&message);
        c.bucket.take(now, bytes);
        self.stats.bytes += bytes as u64;
        out.push(Output::Send(peer, Rc::new(message)));
    }
}

/// Upper bound of the size of a mark: stream, two numbers, digest, kind.
const MARK_BYTES: usize = 24;

impl FollowerState {
    fn new(now: Micros, rules: &Rules, bucket: Bucket) -> Self {
        FollowerState {
            id: FollowerId(0),
            primary: false,
            welcomed: false,
            since: now,
            last_heard: now,
            challenge: 0,
            acked: Position::default(),
            sent: Position::default(),
            announced: Position::default(),
            parts: BTreeMap::new(),
            pulls: BTreeMap::new(),
            unverified: BTreeMap::new(),
            mismatched: BTreeSet::new(),
            caught_up: false,
            refused: VecDeque::new(),
            bucket,
            message_budget: Bucket::new(now, rules.message_rate, rules.message_rate),
        }
    }
}

/// Bytes that a change takes in a batch, without the piece header.
fn change_cost(kind: TopicKind, bytes: usize) -> usize {
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

fn slot_of(peer: PeerId) -> usize {
    (peer % SLOTS as PeerId) as usize
}

/// Converts to milliseconds, rounding up.
fn ceil_ms(span: Micros) -> u32 {
    u32::try_from(span.max(0).saturating_add(999) / 1000).unwrap_or(u32::MAX)
}
