//! The state machine of a proxy. It keeps connections to two control machines, applies the changes that they
//! send exactly once and in order, and knows by its own clock as of when it holds everything acknowledged.
//!
//! Memory: a number and a digest per stream; per connection [`bounds::MAX_CHALLENGES`] challenges and three
//! positions; per stream at most one partially received change. At most 64 KB, usually 10 KB.
//!
//! Traffic: to its primary an ack of 10 to 50 bytes every [`Rules::ack_interval`], and after changes at most
//! one every [`Rules::beat_interval`]; to its secondary an ack of 8 bytes every [`Rules::ack_interval`]. The
//! total is limited to [`Rules::follower_rate`], except for hellos, which are as rare as new connections.
//!
//! Why freshness is sound: a beat states that a follower that holds everything announced is up to date as of
//! its challenge minus an age. The age is that of the start of a poll answered by a majority of the stores.
//! The beat was sent after the challenge, so the poll started no earlier than the send time of the challenge
//! minus the age, by the follower's own clock. Clock rates may differ by 200 ppm, which is 1.4 ms over a
//! lease; the lease has room for that.

use crate::bucket::Bucket;
use crate::change::{self, Content, Entry, Fit, Head, Piece, Position, SavedState};
use crate::frame::{self, CloseReason};
use crate::message::{Ack, Beat, Hello, Message};
use crate::order::hash_jitter;
use crate::rules::InjectedFault;
use crate::{bounds, ControlId, FollowerId, Micros, Rules, StreamId, TopicKind, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Actions for the host, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Open a connection to a control machine. A failure is reported through [`Follower::down`].
    Dial(ControlId),
    /// Send a message.
    Send(ControlId, Message),
    /// Send the reason as [`frame::refusal`] and close, or abort an attempt to connect. [`Follower::down`]
    /// need not be called.
    Close(ControlId, CloseReason),
    /// Apply a piece: changes in order, or a mark, after which everything obtained before now on the topic is
    /// stale.
    Apply(Piece),
    /// The follower's history of a stream differs from that of the stores. On the topic of a set, everything
    /// obtained before now is stale; of a register, the stream's values are void. All changes are sent again.
    Stale(StreamId),
    /// The lease has expired: serve nothing that a change could have affected.
    OutOfService,
    /// The follower is up to date within the lease again.
    InService,
}

/// Statistics for logs. The lab's report prints this type with `Debug`, names included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// The control machine that pushes changes and the one that stands by, and whether each is connected.
    pub primary: Option<(ControlId, bool)>,
    /// See [`Shown::primary`].
    pub secondary: Option<(ControlId, bool)>,
    /// Time since the instant as of which everything acknowledged is held.
    pub age: Option<Micros>,
    /// Since the start: changes applied, marks applied, pull requests, promotions of the secondary, pieces
    /// that did not match the history, and streams that were reset.
    pub applied: u64,
    /// See [`Shown::applied`].
    pub marks: u64,
    /// See [`Shown::applied`].
    pub pulls: u64,
    /// See [`Shown::applied`].
    pub promotions: u64,
    /// See [`Shown::applied`].
    pub misfits: u64,
    /// See [`Shown::applied`].
    pub stale: u64,
    /// Bytes of frames received and sent since the start.
    pub bytes_in: u64,
    /// See [`Shown::bytes_in`].
    pub bytes_out: u64,
}

/// Statistics do not influence behaviour. They are left out of the hash so that states that differ only in
/// them compare as equal.
impl Hash for Shown {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// A freshness claim: a follower that holds this position is up to date as of this instant.
type Claim = (Micros, Position);

#[derive(Clone, Debug, Hash)]
struct Connection {
    up: bool,
    /// When the connection was requested or established, and when a beat, batch or welcome last arrived.
    since: Micros,
    last_heard: Micros,
    /// Hellos without an answer. Announcements are ignored while there are any.
    unanswered_hellos: u32,
    challenge: u32,
    challenges: VecDeque<(u32, Micros)>,
    /// What the control machine has announced, and what has been confirmed to it.
    announced: Position,
    acked: Position,
    /// The latest instant claimed by the control machine, whether the claimed position is held or not.
    freshest_claim: Option<Micros>,
    /// The claim that is waited for, and the latest one. While changes keep coming, the latest claim is never
    /// reached, so an older one is kept until it is covered.
    pending_claim: Option<Claim>,
    latest_claim: Option<Claim>,
    last_ack: Micros,
    /// How many refusals have been reported on this connection.
    refused: u64,
    /// Whether missing changes were requested here. The control machine is then told what arrived through the
    /// other connection.
    pulled: bool,
}

/// A stream of which more has been announced than is held.
#[derive(Clone, Debug, Hash)]
struct MissingChanges {
    held: u64,
    part: usize,
    since: Micros,
    asked: Option<Micros>,
}

/// A change of which only some fragments have been received.
#[derive(Clone, Debug, Hash)]
struct PartialChange {
    number: u64,
    key: u32,
    whole: u16,
    check: u32,
    digest: u32,
    bytes: Vec<u8>,
    /// Who sent the first fragment, and whether another machine sent some as well. In that case a wrong byte
    /// cannot be attributed.
    from: ControlId,
    mixed: bool,
}

/// When a control machine may be dialled again, and how often it has failed.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Backoff {
    retry_at: Option<Micros>,
    failures: u32,
}

/// The state machine of a proxy; see the module documentation.
#[derive(Clone, Debug, Hash)]
pub struct Follower {
    rules: Rules,
    me: FollowerId,
    life: u64,
    order: Vec<ControlId>,
    epoch: u32,
    heads: BTreeMap<StreamId, Head>,
    position: Position,
    conns: BTreeMap<ControlId, Connection>,
    primary: Option<ControlId>,
    secondary: Option<ControlId>,
    backoffs: BTreeMap<ControlId, Backoff>,
    missing: BTreeMap<StreamId, MissingChanges>,
    partial_changes: BTreeMap<StreamId, PartialChange>,
    /// Control machines that reported a different history of a stream.
    mismatch_reports: BTreeMap<StreamId, BTreeSet<ControlId>>,
    refused: VecDeque<(StreamId, u64)>,
    refused_total: u64,
    fresh: Option<Micros>,
    serving: bool,
    /// Whether anything was applied since the last ack to the primary.
    unacked: bool,
    /// Whether to send a hello to all control machines at the next tick.
    hello_due: bool,
    bucket: Bucket,
    last_tick: Micros,
    stats: Shown,
}

impl Follower {
    /// Creates a follower. `order` comes from [`order::preference_order`](crate::order::preference_order);
    /// `life` differs between process starts. Fails if rules or order are invalid.
    pub fn new(
        now: Micros,
        rules: Rules,
        me: FollowerId,
        order: Vec<ControlId>,
        saved: Option<SavedState>,
        life: u64,
    ) -> Result<Self, &'static str> {
        rules.check()?;
        let distinct: BTreeSet<ControlId> = order.iter().copied().collect();
        if order.is_empty() || distinct.len() < order.len() || order.iter().any(|c| c.0 >= rules.controls) {
            return Err("the order of control machines is empty, names one twice, or names an unknown one");
        }
        let saved = saved.unwrap_or_default();
        let known = |(stream, head): &(StreamId, Head)| {
            let sane = (1..=bounds::MAX_NUMBER).contains(&head.number);
            sane && rules.kind(stream.topic).is_some() && rules.is_store(stream.store)
        };
        let heads: BTreeMap<StreamId, Head> = saved.heads.into_iter().filter(known).collect();
        let steady_rate = i64::from(rules.follower_rate) * SECOND / (SECOND + rules.beat_interval);
        let depth = i64::from(rules.follower_rate) - steady_rate;
        let bytes = |n: i64| u32::try_from(n).unwrap_or(u32::MAX);
        Ok(Follower {
            bucket: Bucket::new(now, bytes(steady_rate), bytes(depth)),
            me,
            life,
            order,
            epoch: saved.epoch,
            position: heads.iter().map(|(stream, head)| (*stream, head.number)).collect(),
            heads,
            conns: BTreeMap::new(),
            primary: None,
            secondary: None,
            backoffs: BTreeMap::new(),
            missing: BTreeMap::new(),
            partial_changes: BTreeMap::new(),
            mismatch_reports: BTreeMap::new(),
            refused: VecDeque::new(),
            refused_total: 0,
            fresh: None,
            serving: false,
            unacked: false,
            hello_due: false,
            last_tick: now,
            stats: Shown::default(),
            rules,
        })
    }

    /// A requested connection was established.
    pub fn up(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let Some(conn) = self.conns.get_mut(&control) else {
            return out.push(Output::Close(control, CloseReason::NoLongerNeeded));
        };
        (conn.up, conn.since, conn.last_heard) = (true, now, now);
        self.send_hello(now, control, out);
    }

    /// A connection was lost or could not be established.
    pub fn down(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        if self.conns.contains_key(&control) {
            self.drop_connection(now, control, false);
            self.fill_connections(now, out);
        }
    }

    /// Handles a message. On an error the host sends the reason and closes; [`Follower::down`] need not be
    /// called.
    pub fn handle_message(
        &mut self,
        now: Micros,
        control: ControlId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        if !self.conns.get(&control).is_some_and(|c| c.up) {
            return Err(CloseReason::Unexpected(message.name()));
        }
        self.stats.bytes_in += frame::size(message) as u64;
        let result = message
            .check()
            .map_err(CloseReason::Bounds)
            .and_then(|()| self.dispatch(now, control, message, out));
        if let Err(reason) = &result {
            // A control machine that sent something wrong is tried again last.
            let misbehaved = !matches!(reason, CloseReason::NoCapacity | CloseReason::ByPeer(_));
            self.drop_connection(now, control, misbehaved);
        }
        self.update_freshness(now, out);
        if result.is_err() {
            self.fill_connections(now, out);
        }
        result
    }

    /// The host could not put a change into effect. It counts as applied, and the control machines are told.
    pub fn report_refused(&mut self, stream: StreamId, number: u64) {
        self.refused.push_back((stream, number));
        self.refused_total += 1;
        if self.refused.len() > bounds::MAX_REFUSED {
            self.refused.pop_front();
        }
        self.unacked = true;
    }

    /// Performs everything that is due at `now`.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.adjust_for_stall(now);
        self.last_tick = now;
        if std::mem::take(&mut self.hello_due) {
            self.send_hello_to_all(now, out);
        }
        self.close_silent(now, out);
        self.leave_stale_primary(now, out);
        self.request_missing(now, out);
        self.fill_connections(now, out);
        self.send_due_acks(now, out);
        self.update_freshness(now, out);
    }

    /// When [`Follower::tick`] must be called next.
    pub fn next_tick(&self) -> Micros {
        let beat = self.rules.beat_interval;
        if self.hello_due {
            return self.last_tick + 1000;
        }
        let conns = self.conns.iter().flat_map(|(id, c)| {
            let ack = c.up.then(|| {
                c.last_ack
                    + if self.unacked && self.primary == Some(*id) { beat } else { self.rules.ack_interval }
            });
            [Some(c.last_heard + self.rules.silence_timeout + 1), ack]
        });
        let gaps =
            self.missing.values().map(|l| l.asked.unwrap_or(l.since).max(l.since) + self.rules.gap_timeout);
        let lease = self.fresh.filter(|_| self.serving).map(|f| f + self.rules.lease + 1);
        let open = self.primary.is_none() || self.secondary.is_none();
        let dials = self.order.iter().filter(|c| open && !self.conns.contains_key(c));
        let dials = dials.map(|c| self.backoffs.get(c).and_then(|w| w.retry_at).unwrap_or(self.last_tick));
        let next = conns.flatten().chain(gaps).chain(lease).chain(dials).min();
        // Wait at least a millisecond, which is shorter than any timeout here, to avoid a busy loop.
        next.unwrap_or(self.last_tick + beat).max(self.last_tick + 1000)
    }

    /// Whether it may serve: everything acknowledged before the last lease interval is applied.
    pub fn in_service(&self, now: Micros) -> bool {
        let lease = self.rules.lease;
        self.fresh.is_some_and(|f| self.rules.has_fault(InjectedFault::NoLease) || now - f <= lease)
    }

    /// The applied position.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Everything acknowledged before this instant is applied.
    pub fn fresh(&self) -> Option<Micros> {
        self.fresh
    }

    /// The epoch of the applied changes.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// The state to save for the next start.
    pub fn saved_state(&self) -> SavedState {
        SavedState { epoch: self.epoch, heads: self.heads.iter().map(|(s, h)| (*s, *h)).collect() }
    }

    /// Statistics for logs.
    pub fn stats(&self, now: Micros) -> Shown {
        let with_state = |c: Option<ControlId>| c.map(|c| (c, self.conns.get(&c).is_some_and(|c| c.up)));
        Shown {
            primary: with_state(self.primary),
            secondary: with_state(self.secondary),
            age: self.fresh.map(|f| now - f),
            ..self.stats.clone()
        }
    }

    // Connection management.

    /// Dials control machines for an empty primary or secondary slot, in order of preference.
    fn fill_connections(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.primary.is_none() {
            self.promote(now, out);
        }
        for primary in [true, false] {
            let place = if primary { self.primary } else { self.secondary };
            if place.is_some() {
                continue;
            }
            let ready = |c: &&ControlId| {
                let waits = self.backoffs.get(c).and_then(|w| w.retry_at);
                !self.conns.contains_key(c) && waits.is_none_or(|until| until <= now)
            };
            let Some(next) = self.order.iter().find(ready).copied() else { continue };
            self.conns.insert(next, Connection::new(now));
            *(if primary { &mut self.primary } else { &mut self.secondary }) = Some(next);
            out.push(Output::Dial(next));
        }
    }

    /// Makes the secondary the primary, if it is connected.
    fn promote(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(next) = self.secondary.filter(|s| self.conns.get(s).is_some_and(|c| c.up)) else { return };
        (self.primary, self.secondary) = (Some(next), None);
        self.stats.promotions += 1;
        self.send_ack(now, next, out);
    }

    /// Forgets a connection. The control machine is dialled again after a delay, which is longer if it has
    /// failed before or has sent something wrong.
    fn drop_connection(&mut self, now: Micros, control: ControlId, misbehaved: bool) {
        self.conns.remove(&control);
        for place in [&mut self.primary, &mut self.secondary] {
            *place = place.filter(|c| *c != control);
        }
        let backoff = self.backoffs.entry(control).or_default();
        let span = self
            .rules
            .min_redial_delay
            .saturating_mul(1 << backoff.failures.min(16))
            .min(self.rules.max_redial_delay);
        let span = if misbehaved { self.rules.max_redial_delay } else { span };
        backoff.retry_at = Some(now + span / 2 + hash_jitter((self.me, control, backoff.failures), span / 2));
        backoff.failures = backoff.failures.saturating_add(1);
    }

    fn close(&mut self, now: Micros, control: ControlId, reason: CloseReason, out: &mut Vec<Output>) {
        self.drop_connection(now, control, false);
        out.push(Output::Close(control, reason));
    }

    /// If the host itself was stalled, messages may be waiting to be read; extends the silence timeouts by
    /// the delay.
    fn adjust_for_stall(&mut self, now: Micros) {
        let due = self.next_tick().max(self.last_tick + self.rules.beat_interval);
        let late = now - due;
        if late > self.rules.beat_interval {
            self.conns.values_mut().for_each(|c| c.last_heard = (c.last_heard + late).min(now));
        }
    }

    /// Leaves control machines that have been silent for too long.
    fn close_silent(&mut self, now: Micros, out: &mut Vec<Output>) {
        let silent = self.conns.iter().filter(|(_, c)| now - c.last_heard > self.rules.silence_timeout);
        let silent: Vec<ControlId> = silent.map(|(id, _)| *id).collect();
        for control in silent {
            self.close(now, control, CloseReason::Timeout, out);
        }
    }

    /// Leaves a primary whose claims are far older than those of the secondary.
    fn leave_stale_primary(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (Some(primary), Some(secondary)) = (self.primary, self.secondary) else { return };
        let (Some(first), Some(second)) = (self.conns.get(&primary), self.conns.get(&secondary)) else {
            return;
        };
        let knows = first.freshest_claim.unwrap_or(first.since);
        if second.freshest_claim.is_some_and(|c| c - knows > 2 * self.rules.silence_timeout) {
            self.close(now, primary, CloseReason::NoLongerNeeded, out);
        }
    }

    /// Requests changes that were announced but did not arrive, preferably from the secondary, whose purpose
    /// this is. If that does not help, the secondary becomes the primary.
    fn request_missing(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut shown = Position::default();
        self.conns.values().filter(|c| c.unanswered_hellos == 0).for_each(|c| shown.merge(&c.announced));
        self.missing.retain(|stream, _| shown.get(*stream) > self.position.get(*stream));
        let mut stuck = false;
        for (stream, number) in shown.iter() {
            let held = self.position.get(stream);
            if number <= held {
                continue;
            }
            let part = self.partial_changes.get(&stream).map_or(0, |p| p.bytes.len());
            let missing =
                self.missing.entry(stream).or_insert(MissingChanges { held, part, since: now, asked: None });
            if (missing.held, missing.part) != (held, part) {
                *missing = MissingChanges { held, part, since: now, asked: missing.asked };
            }
            let (since, asked) = (missing.since, missing.asked);
            if now - since < self.rules.gap_timeout
                || asked.is_some_and(|at| now - at < self.rules.gap_timeout)
            {
                continue;
            }
            let has = |c: &ControlId| {
                self.conns.get(c).is_some_and(|c| c.unanswered_hellos == 0 && c.announced.get(stream) > held)
            };
            let second = self.secondary.filter(has);
            stuck |= second.is_some() && now - since >= self.rules.silence_timeout + self.rules.gap_timeout;
            let Some(from) = second.or(self.primary.filter(has)) else { continue };
            missing.asked = Some(now);
            self.stats.pulls += 1;
            if let Some(conn) = self.conns.get_mut(&from) {
                conn.pulled = true;
            }
            self.send(now, from, Message::Pull { stream, after: held }, out);
        }
        if let Some(primary) = self.primary.filter(|_| stuck) {
            self.close(now, primary, CloseReason::NoLongerNeeded, out);
        }
    }

    fn send_hello(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let position = self.position.clone();
        let Some(conn) = self.conns.get_mut(&control) else { return };
        conn.unanswered_hellos += 1;
        (conn.announced, conn.acked) = (position.clone(), position);
        (conn.pending_claim, conn.latest_claim, conn.last_ack) = (None, None, now);
        let hello = Hello {
            epoch: self.epoch,
            id: self.me,
            life: self.life,
            primary: self.primary == Some(control),
            challenge: conn.next_challenge(now),
            heads: self.heads.iter().map(|(s, h)| (*s, *h)).collect(),
        };
        self.send(now, control, Message::Hello(hello), out);
    }

    fn send(&mut self, now: Micros, control: ControlId, message: Message, out: &mut Vec<Output>) {
        let bytes = frame::size(&message);
        self.bucket.take(now, bytes);
        self.stats.bytes_out += bytes as u64;
        out.push(Output::Send(control, message));
    }

    fn send_due_acks(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due = |(id, c): (&ControlId, &Connection)| {
            let news = self.unacked && self.primary == Some(*id);
            let every = if news { self.rules.beat_interval } else { self.rules.ack_interval };
            (c.up && now - c.last_ack >= every).then_some(*id)
        };
        let due: Vec<ControlId> = self.conns.iter().filter_map(due).collect();
        for control in due {
            if self.bucket.level(now) > 0 {
                self.send_ack(now, control, out);
            }
        }
    }

    fn send_ack(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let primary = self.primary == Some(control);
        let unreported = |reported: u64| {
            self.refused.len() - ((self.refused_total - reported) as usize).min(self.refused.len())
        };
        let Some(conn) = self.conns.get_mut(&control).filter(|c| c.up) else { return };
        conn.last_ack = now;
        let mut ack = Ack { primary, challenge: conn.next_challenge(now), ..Ack::default() };
        if primary || conn.pulled {
            ack.gains = self.position.gains(&conn.acked);
            conn.acked.merge(&self.position);
            conn.pulled &= !self.missing.is_empty();
        }
        if primary {
            ack.refused = self.refused.iter().skip(unreported(conn.refused)).copied().collect();
            conn.refused = self.refused_total;
            self.unacked = false;
        }
        self.send(now, control, Message::Ack(ack), out);
    }

    // Message handling.

    fn dispatch(
        &mut self,
        now: Micros,
        control: ControlId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        match message {
            Message::Welcome { epoch, control: id } => {
                if *id != control {
                    return Err(CloseReason::Bounds("not the control machine that should be there"));
                }
                self.handle_welcome(now, control, *epoch, out)
            }
            Message::Beat(beat) => self.handle_beat(now, control, beat),
            Message::Batch(pieces) => pieces.iter().try_for_each(|p| self.handle_piece(now, control, p, out)),
            Message::Differs { stream, number } => {
                if self.welcomed(control) && self.position.get(*stream) >= *number && *number > 0 {
                    self.record_mismatch(control, *stream, out);
                }
                Ok(())
            }
            other => Err(CloseReason::Unexpected(other.name())),
        }
    }

    fn welcomed(&self, control: ControlId) -> bool {
        self.conns.get(&control).is_some_and(|c| c.unanswered_hellos == 0)
    }

    fn handle_welcome(
        &mut self,
        now: Micros,
        control: ControlId,
        epoch: u32,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let Some(conn) = self.conns.get_mut(&control).filter(|c| c.unanswered_hellos > 0) else {
            return Err(CloseReason::Unexpected("a welcome"));
        };
        (conn.unanswered_hellos, conn.last_heard) = (conn.unanswered_hellos - 1, now);
        if conn.unanswered_hellos > 0 {
            return Ok(());
        }
        if epoch < self.epoch {
            return Err(CloseReason::Epoch(epoch, self.epoch));
        }
        if epoch > self.epoch {
            let streams: Vec<StreamId> = self.heads.keys().copied().collect();
            self.epoch = epoch;
            self.reset_streams(&streams, out);
            // Tell the others too: they may already have the new epoch, or reply that they do not.
            self.send_hello_to_all(now, out);
        }
        Ok(())
    }

    fn send_hello_to_all(&mut self, now: Micros, out: &mut Vec<Output>) {
        let up: Vec<ControlId> = self.conns.iter().filter(|(_, c)| c.up).map(|(id, _)| *id).collect();
        up.into_iter().for_each(|c| self.send_hello(now, c, out));
    }

    /// Discards everything held of these streams.
    fn reset_streams(&mut self, streams: &[StreamId], out: &mut Vec<Output>) {
        self.fresh = None;
        for stream in streams {
            self.stats.stale += 1;
            self.heads.remove(stream);
            self.position.set(*stream, 0);
            self.partial_changes.remove(stream);
            self.missing.remove(stream);
            self.mismatch_reports.remove(stream);
            out.push(Output::Stale(*stream));
        }
    }

    /// Records that a control machine has a different history of a stream. A single one may be wrong; two are
    /// believed.
    fn record_mismatch(&mut self, control: ControlId, stream: StreamId, out: &mut Vec<Output>) {
        let doubts = self.mismatch_reports.entry(stream).or_default();
        doubts.insert(control);
        if doubts.len() >= self.order.len().min(2) {
            self.reset_streams(&[stream], out);
            // Sent at the next tick, because other streams usually differ as well.
            self.hello_due = true;
        }
    }

    fn handle_beat(&mut self, now: Micros, control: ControlId, beat: &Beat) -> Result<(), CloseReason> {
        if beat.gains.iter().any(|(stream, _)| !self.is_known_stream(*stream)) {
            return Err(CloseReason::Bounds("a stream that there is not"));
        }
        let Some(conn) = self.conns.get_mut(&control) else { return Ok(()) };
        conn.last_heard = now;
        if conn.unanswered_hellos > 0 {
            return Ok(());
        }
        conn.announced.gain(&beat.gains);
        let Some(age) = beat.age else { return Ok(()) };
        let Some(sent) = conn.challenges.iter().find(|c| c.0 == beat.echo).map(|c| c.1) else {
            return Ok(());
        };
        let sent = if self.rules.has_fault(InjectedFault::FreshAtBeat) { now } else { sent };
        let instant = sent - Micros::from(age) * 1000;
        conn.freshest_claim = conn.freshest_claim.max(Some(instant));
        conn.latest_claim = Some((instant, conn.announced.clone()));
        if let Some(backoff) = self.backoffs.get_mut(&control) {
            backoff.failures = 0;
        }
        Ok(())
    }

    fn is_known_stream(&self, stream: StreamId) -> bool {
        self.rules.kind(stream.topic).is_some() && self.rules.is_store(stream.store)
    }

    fn handle_piece(
        &mut self,
        now: Micros,
        control: ControlId,
        piece: &Piece,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let kind = self.rules.kind(piece.stream.topic).filter(|_| self.rules.is_store(piece.stream.store));
        let fits = match (&piece.content, kind) {
            (_, None) => return Err(CloseReason::Bounds("a stream that there is not")),
            (Content::Entries { .. }, kind) => kind == Some(TopicKind::Register),
            (Content::Part { .. }, _) => true,
            (_, kind) => kind == Some(TopicKind::Set),
        };
        if !fits {
            return Err(CloseReason::Bounds("a piece of another kind of topic"));
        }
        let stream = piece.stream;
        let head = self.heads.get(&stream).copied().unwrap_or_default();
        let part = matches!(piece.content, Content::Part { .. });
        if let Some(conn) = self.conns.get_mut(&control) {
            conn.last_heard = now;
            // What was sent before the hello arrived is announced again.
            if conn.unanswered_hellos == 0 && !part {
                conn.announced.raise(stream, piece.upto());
            }
        }
        let fit = self.fit_with_fault(piece, head);
        match fit {
            Fit::AlreadyHeld => Ok(()),
            Fit::Gap => Ok(()),
            Fit::Part => match self.assemble_part(control, piece, head) {
                Some(whole) => self.handle_piece(now, control, &whole, out),
                None => Ok(()),
            },
            Fit::Mismatch => {
                self.stats.misfits += 1;
                self.record_mismatch(control, stream, out);
                Err(CloseReason::HistoryMismatch)
            }
            Fit::Continues(piece, head) => {
                self.stats.applied += piece.changes().count() as u64;
                self.stats.marks += u64::from(piece.is_mark());
                self.heads.insert(stream, head);
                self.position.set(stream, head.number);
                self.partial_changes.remove(&stream);
                self.mismatch_reports.remove(&stream);
                self.unacked = true;
                out.push(Output::Apply(piece));
                Ok(())
            }
        }
    }

    /// Determines how a piece relates to a head, applying an injected fault.
    fn fit_with_fault(&self, piece: &Piece, head: Head) -> Fit {
        let fit = piece.continue_from(head);
        let end = Head { number: piece.upto(), digest: piece.digest };
        match fit {
            Fit::AlreadyHeld if self.rules.has_fault(InjectedFault::Twice) && end == head => {
                Fit::Continues(piece.clone(), end)
            }
            Fit::Gap if self.rules.has_fault(InjectedFault::Gaps) => Fit::Continues(piece.clone(), end),
            Fit::Mismatch if self.rules.has_fault(InjectedFault::NoDigest) && end.number > head.number => {
                Fit::Continues(piece.clone(), end)
            }
            fit => fit,
        }
    }

    /// Appends a fragment to those received; returns the whole change as a piece after the last one.
    fn assemble_part(&mut self, control: ControlId, piece: &Piece, head: Head) -> Option<Piece> {
        let Content::Part { number, key, whole, offset, check, bytes } = &piece.content else { return None };
        let stream = piece.stream;
        let new = PartialChange {
            number: *number,
            key: *key,
            whole: *whole,
            check: *check,
            digest: piece.digest,
            bytes: Vec::new(),
            from: control,
            mixed: false,
        };
        let same = |held: &PartialChange| {
            (held.number, held.key, held.whole, held.check, held.digest)
                == (new.number, new.key, new.whole, new.check, new.digest)
        };
        if *offset == 0 && !self.partial_changes.get(&stream).is_some_and(same) {
            self.partial_changes.insert(stream, new.clone());
        }
        // Both control machines may send fragments; only bytes beyond those received are new.
        let held = self.partial_changes.get_mut(&stream).filter(|held| same(held))?;
        let known = held.bytes.len().checked_sub(usize::from(*offset))?;
        held.bytes.extend_from_slice(bytes.get(known..)?);
        held.mixed |= held.from != control;
        if held.bytes.len() < usize::from(*whole) {
            return None;
        }
        let held = self.partial_changes.remove(&stream)?;
        let body: Rc<[u8]> = Rc::from(held.bytes);
        let right = crc32fast::hash(&body) == held.check;
        if !right && held.mixed {
            return None;
        }
        // On a wrong checksum, use a digest that is certain not to match, including where digests cannot be
        // recomputed.
        let digest = if right { held.digest } else { !held.digest };
        let content = match self.rules.kind(stream.topic)? {
            TopicKind::Set => Content::Bodies(vec![body]),
            TopicKind::Register => {
                let offset = u32::try_from(held.number - head.number).ok()?;
                let entries = vec![Entry { offset, key: held.key, digest, body }];
                Content::Entries { check: change::entries_checksum(&entries), entries }
            }
        };
        Some(Piece { stream, after: head.number, digest: held.digest, content })
    }

    /// Updates the fresh instant, and reports when the follower enters or leaves service.
    fn update_freshness(&mut self, now: Micros, out: &mut Vec<Output>) {
        for conn in self.conns.values_mut() {
            for _ in 0..2 {
                conn.pending_claim = conn.pending_claim.take().or_else(|| conn.latest_claim.take());
                let uncovered = self.rules.has_fault(InjectedFault::FreshUncovered);
                if let Some((instant, _)) =
                    conn.pending_claim.take_if(|w| uncovered || self.position.covers(&w.1))
                {
                    self.fresh = self.fresh.max(Some(instant));
                }
            }
        }
        let serving = self.in_service(now);
        if serving != self.serving {
            self.serving = serving;
            out.push(if serving { Output::InService } else { Output::OutOfService });
        }
    }
}

impl Connection {
    fn new(now: Micros) -> Self {
        Connection {
            up: false,
            since: now,
            last_heard: now,
            unanswered_hellos: 0,
            challenge: 0,
            challenges: VecDeque::new(),
            announced: Position::default(),
            acked: Position::default(),
            freshest_claim: None,
            pending_claim: None,
            latest_claim: None,
            last_ack: now,
            refused: 0,
            pulled: false,
        }
    }

    /// Creates a challenge and remembers when it was sent.
    fn next_challenge(&mut self, now: Micros) -> u32 {
        self.challenge = self.challenge.wrapping_add(1);
        self.challenges.push_back((self.challenge, now));
        if self.challenges.len() > bounds::MAX_CHALLENGES {
            self.challenges.pop_front();
        }
        self.challenge
    }
}
