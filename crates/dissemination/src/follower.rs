//! A proxy's side: it holds two connections to control machines, applies what it is sent, once and in order, and
//! knows by its own clock as of when it holds everything that was acknowledged.
//!
//! What it holds: a number and a digest of each stream, two connections with [`bounds::MAX_CHALLENGES`] challenges and
//! three positions each, of each stream at most one change that is not whole yet; 64 KB at the most, 10 KB as a
//! rule.
//!
//! What it sends: to its primary an ack of 10 to 50 bytes every [`Rules::ack_interval`], and after changes at most one every
//! [`Rules::beat_interval`]; to its secondary an ack of 8 bytes every [`Rules::ack_interval`]. All of it within [`Rules::follower_rate`],
//! except hellos, which are as rare as new connections.
//!
//! Why it is sound: a beat says "who holds all that I showed you is as fresh as your challenge less this age". The
//! age is that of the start of a poll which a majority of the stores answered. The beat was sent after the
//! challenge, so that start is no earlier than the challenge's instant less the age, by the follower's own clock.
//! Clocks may differ in rate by 200 ppm: over a lease that is 1.4 ms, for which the lease has room.

use crate::bucket::Bucket;
use crate::change::{self, Content, Entry, Fit, Head, Piece, Position, SavedState};
use crate::frame::{self, CloseReason};
use crate::message::{Ack, Beat, Hello, Message};
use crate::order::spread;
use crate::rules::InjectedFault;
use crate::{bounds, ControlId, FollowerId, Micros, Rules, StreamId, TopicKind, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Open a connection to a control machine. [`Follower::down`] says that it failed.
    Dial(ControlId),
    /// Send.
    Send(ControlId, Message),
    /// Say why, as [`frame::refusal`], and close, also one that is only being opened. No [`Follower::down`] need
    /// follow.
    Close(ControlId, CloseReason),
    /// Apply this: changes in order, or a mark: whatever is held of the topic from before now is stale.
    Apply(Piece),
    /// What is held of a stream is not what was said by the stores. Of a set's topic, whatever is held from before
    /// now is stale; of a register, the stream's values are void. All of it comes anew.
    Stale(StreamId),
    /// The lease has run out: serve nothing that a change could have touched.
    OutOfService,
    /// Everything acknowledged until lately is held again.
    InService,
}

/// Figures for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Who pushes changes, and who stands by; whether each is up.
    pub primary: Option<(ControlId, bool)>,
    /// See [`Shown::primary`].
    pub secondary: Option<(ControlId, bool)>,
    /// Age of the instant as of which everything acknowledged is held.
    pub age: Option<Micros>,
    /// Since the start: changes applied, marks, changes asked for from the secondary, promotions of it, pieces that
    /// did not fit, streams begun anew.
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
    /// Since the start: bytes of frames that came, and that went.
    pub bytes_in: u64,
    /// See [`Shown::bytes_in`].
    pub bytes_out: u64,
}

/// Figures do nothing: states that differ by them alone go on alike, so they have the same hash.
impl Hash for Shown {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// A claim: who holds this is as fresh as that.
type Claim = (Micros, Position);

#[derive(Clone, Debug, Hash)]
struct Conn {
    up: bool,
    /// When it was asked for, or came up; when it was last heard.
    since: Micros,
    heard: Micros,
    /// Hellos that have not been answered: what is shown until then does not count.
    hellos: u32,
    challenge: u32,
    challenges: VecDeque<(u32, Micros)>,
    /// What it showed; what was told to it.
    shown: Position,
    told: Position,
    /// The freshest instant that it claimed, whether held or not.
    claimed: Option<Micros>,
    /// The claim that is waited for, and the last one: while changes come all the time, the last is never reached.
    waits: Option<Claim>,
    last: Option<Claim>,
    acked: Micros,
    /// How many refusals it was told.
    refused: u64,
    /// Whether it was asked for what lacks: then it is told what has come another way.
    pulled: bool,
}

/// A stream of which more is shown than held.
#[derive(Clone, Debug, Hash)]
struct Lack {
    held: u64,
    part: usize,
    since: Micros,
    asked: Option<Micros>,
}

/// A change that is not whole yet.
#[derive(Clone, Debug, Hash)]
struct Part {
    number: u64,
    key: u32,
    whole: u16,
    check: u32,
    digest: u32,
    bytes: Vec<u8>,
    /// Who sent the first part, and whether another sent any: then nobody is to blame for a wrong byte.
    from: ControlId,
    mixed: bool,
}

/// When a control machine may be dialled again, and how often it has failed.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Wait {
    until: Option<Micros>,
    tries: u32,
}

/// See the file's comment.
#[derive(Clone, Debug, Hash)]
pub struct Follower {
    rules: Rules,
    me: FollowerId,
    life: u64,
    order: Vec<ControlId>,
    epoch: u32,
    heads: BTreeMap<StreamId, Head>,
    position: Position,
    conns: BTreeMap<ControlId, Conn>,
    primary: Option<ControlId>,
    secondary: Option<ControlId>,
    waits: BTreeMap<ControlId, Wait>,
    lacks: BTreeMap<StreamId, Lack>,
    parts: BTreeMap<StreamId, Part>,
    /// Control machines that hold another history of a stream.
    doubts: BTreeMap<StreamId, BTreeSet<ControlId>>,
    refused: VecDeque<(StreamId, u64)>,
    refusals: u64,
    fresh: Option<Micros>,
    service: bool,
    /// Whether anything was applied since the last ack to the primary.
    news: bool,
    /// Whether control machines are to be told at the next tick what is held.
    greets: bool,
    bucket: Bucket,
    ticked: Micros,
    figures: Shown,
}

impl Follower {
    /// One that begins. `order` is as [`order::preference_order`](crate::order::preference_order) gives it; `life` differs from one start
    /// to the next. It fails on rules or an order that do not fit.
    pub fn new(
        now: Micros,
        rules: Rules,
        me: FollowerId,
        order: Vec<ControlId>,
        kept: Option<SavedState>,
        life: u64,
    ) -> Result<Self, &'static str> {
        rules.check()?;
        let distinct: BTreeSet<ControlId> = order.iter().copied().collect();
        if order.is_empty() || distinct.len() < order.len() || order.iter().any(|c| c.0 >= rules.controls) {
            return Err("an order of control machines that is none");
        }
        let kept = kept.unwrap_or_default();
        let known = |(stream, head): &(StreamId, Head)| {
            let sane = (1..=bounds::MAX_NUMBER).contains(&head.number);
            sane && rules.kind(stream.topic).is_some() && rules.is_store(stream.store)
        };
        let heads: BTreeMap<StreamId, Head> = kept.heads.into_iter().filter(known).collect();
        let own = i64::from(rules.follower_rate) * SECOND / (SECOND + rules.beat_interval);
        let depth = i64::from(rules.follower_rate) - own;
        let bytes = |n: i64| u32::try_from(n).unwrap_or(u32::MAX);
        Ok(Follower {
            bucket: Bucket::new(now, bytes(own), bytes(depth)),
            me,
            life,
            order,
            epoch: kept.epoch,
            position: heads.iter().map(|(stream, head)| (*stream, head.number)).collect(),
            heads,
            conns: BTreeMap::new(),
            primary: None,
            secondary: None,
            waits: BTreeMap::new(),
            lacks: BTreeMap::new(),
            parts: BTreeMap::new(),
            doubts: BTreeMap::new(),
            refused: VecDeque::new(),
            refusals: 0,
            fresh: None,
            service: false,
            news: false,
            greets: false,
            ticked: now,
            figures: Shown::default(),
            rules,
        })
    }

    /// A connection that was asked for is up.
    pub fn up(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let Some(conn) = self.conns.get_mut(&control) else {
            return out.push(Output::Close(control, CloseReason::NoLongerNeeded));
        };
        (conn.up, conn.since, conn.heard) = (true, now, now);
        self.greet(now, control, out);
    }

    /// A connection is gone, or could not be opened.
    pub fn down(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        if self.conns.contains_key(&control) {
            self.lose(now, control, false);
            self.arrange(now, out);
        }
    }

    /// A message came. On an error the host says why and closes; no [`Follower::down`] need follow.
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
        self.figures.bytes_in += frame::size(message) as u64;
        let done =
            message.check().map_err(CloseReason::Bounds).and_then(|()| self.hear(now, control, message, out));
        if let Err(why) = &done {
            // Who says what is wrong is asked again last.
            let wrong = !matches!(why, CloseReason::NoCapacity | CloseReason::ByPeer(_));
            self.lose(now, control, wrong);
        }
        self.look(now, out);
        if done.is_err() {
            self.arrange(now, out);
        }
        done
    }

    /// The host could not put a change in force. It counts as applied, and control machines are told.
    pub fn report_refused(&mut self, stream: StreamId, number: u64) {
        self.refused.push_back((stream, number));
        self.refusals += 1;
        if self.refused.len() > bounds::MAX_REFUSED {
            self.refused.pop_front();
        }
        self.news = true;
    }

    /// Time passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.excuse(now);
        self.ticked = now;
        if std::mem::take(&mut self.greets) {
            self.greet_all(now, out);
        }
        self.silence(now, out);
        self.compare(now, out);
        self.seek(now, out);
        self.arrange(now, out);
        self.acks(now, out);
        self.look(now, out);
    }

    /// When [`Follower::tick`] is due.
    pub fn next_tick(&self) -> Micros {
        let beat = self.rules.beat_interval;
        if self.greets {
            return self.ticked + 1000;
        }
        let conns = self.conns.iter().flat_map(|(id, c)| {
            let ack = c.up.then(|| {
                c.acked + if self.news && self.primary == Some(*id) { beat } else { self.rules.ack_interval }
            });
            [Some(c.heard + self.rules.silence_timeout + 1), ack]
        });
        let lacks =
            self.lacks.values().map(|l| l.asked.unwrap_or(l.since).max(l.since) + self.rules.gap_timeout);
        let lease = self.fresh.filter(|_| self.service).map(|f| f + self.rules.lease + 1);
        let open = self.primary.is_none() || self.secondary.is_none();
        let dials = self.order.iter().filter(|c| open && !self.conns.contains_key(c));
        let dials = dials.map(|c| self.waits.get(c).and_then(|w| w.until).unwrap_or(self.ticked));
        let next = conns.flatten().chain(lacks).chain(lease).chain(dials).min();
        // Never at once again: a millisecond is less than anything here takes.
        next.unwrap_or(self.ticked + beat).max(self.ticked + 1000)
    }

    /// Whether it may serve: everything acknowledged a lease ago is applied.
    pub fn in_service(&self, now: Micros) -> bool {
        let lease = self.rules.lease;
        self.fresh.is_some_and(|f| self.rules.is(InjectedFault::NoLease) || now - f <= lease)
    }

    /// What is applied.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Everything acknowledged before this instant is applied.
    pub fn fresh(&self) -> Option<Micros> {
        self.fresh
    }

    /// The epoch of what is applied.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// What it holds, for its next start.
    pub fn saved_state(&self) -> SavedState {
        SavedState { epoch: self.epoch, heads: self.heads.iter().map(|(s, h)| (*s, *h)).collect() }
    }

    /// Figures for logs.
    pub fn stats(&self, now: Micros) -> Shown {
        let who = |c: Option<ControlId>| c.map(|c| (c, self.conns.get(&c).is_some_and(|c| c.up)));
        Shown {
            primary: who(self.primary),
            secondary: who(self.secondary),
            age: self.fresh.map(|f| now - f),
            ..self.figures.clone()
        }
    }

    // Connections.

    /// Fills the two places, nearest in the order first.
    fn arrange(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.primary.is_none() {
            self.promote(now, out);
        }
        for primary in [true, false] {
            let place = if primary { self.primary } else { self.secondary };
            if place.is_some() {
                continue;
            }
            let ready = |c: &&ControlId| {
                let waits = self.waits.get(c).and_then(|w| w.until);
                !self.conns.contains_key(c) && waits.is_none_or(|until| until <= now)
            };
            let Some(next) = self.order.iter().find(ready).copied() else { continue };
            self.conns.insert(next, Conn::new(now));
            *(if primary { &mut self.primary } else { &mut self.secondary }) = Some(next);
            out.push(Output::Dial(next));
        }
    }

    /// Makes the secondary the primary, if it is there.
    fn promote(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(next) = self.secondary.filter(|s| self.conns.get(s).is_some_and(|c| c.up)) else { return };
        (self.primary, self.secondary) = (Some(next), None);
        self.figures.promotions += 1;
        self.ack(now, next, out);
    }

    /// The machine forgets a connection. Its control machine is dialled again after a while, a longer one if it has
    /// failed before or said what is wrong.
    fn lose(&mut self, now: Micros, control: ControlId, wrong: bool) {
        self.conns.remove(&control);
        for place in [&mut self.primary, &mut self.secondary] {
            *place = place.filter(|c| *c != control);
        }
        let wait = self.waits.entry(control).or_default();
        let span = self
            .rules
            .min_redial_delay
            .saturating_mul(1 << wait.tries.min(16))
            .min(self.rules.max_redial_delay);
        let span = if wrong { self.rules.max_redial_delay } else { span };
        wait.until = Some(now + span / 2 + spread((self.me, control, wait.tries), span / 2));
        wait.tries = wait.tries.saturating_add(1);
    }

    fn close(&mut self, now: Micros, control: ControlId, why: CloseReason, out: &mut Vec<Output>) {
        self.lose(now, control, false);
        out.push(Output::Close(control, why));
    }

    /// A host that was held up itself has not heard, though there may be what waits to be read.
    fn excuse(&mut self, now: Micros) {
        let due = self.next_tick().max(self.ticked + self.rules.beat_interval);
        let late = now - due;
        if late > self.rules.beat_interval {
            self.conns.values_mut().for_each(|c| c.heard = (c.heard + late).min(now));
        }
    }

    /// Leaves control machines that say nothing.
    fn silence(&mut self, now: Micros, out: &mut Vec<Output>) {
        let silent = self.conns.iter().filter(|(_, c)| now - c.heard > self.rules.silence_timeout);
        let silent: Vec<ControlId> = silent.map(|(id, _)| *id).collect();
        for control in silent {
            self.close(now, control, CloseReason::Timeout, out);
        }
    }

    /// Leaves a primary that knows much less than the secondary.
    fn compare(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (Some(primary), Some(secondary)) = (self.primary, self.secondary) else { return };
        let (Some(first), Some(second)) = (self.conns.get(&primary), self.conns.get(&secondary)) else {
            return;
        };
        let knows = first.claimed.unwrap_or(first.since);
        if second.claimed.is_some_and(|c| c - knows > 2 * self.rules.silence_timeout) {
            self.close(now, primary, CloseReason::NoLongerNeeded, out);
        }
    }

    /// Asks for what was shown and did not come: the secondary first, which is there for that. If that does not
    /// help either, the secondary becomes the primary.
    fn seek(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut shown = Position::default();
        self.conns.values().filter(|c| c.hellos == 0).for_each(|c| shown.merge(&c.shown));
        self.lacks.retain(|stream, _| shown.get(*stream) > self.position.get(*stream));
        let mut stuck = false;
        for (stream, number) in shown.iter() {
            let held = self.position.get(stream);
            if number <= held {
                continue;
            }
            let part = self.parts.get(&stream).map_or(0, |p| p.bytes.len());
            let lack = self.lacks.entry(stream).or_insert(Lack { held, part, since: now, asked: None });
            if (lack.held, lack.part) != (held, part) {
                *lack = Lack { held, part, since: now, asked: lack.asked };
            }
            let (since, asked) = (lack.since, lack.asked);
            if now - since < self.rules.gap_timeout
                || asked.is_some_and(|at| now - at < self.rules.gap_timeout)
            {
                continue;
            }
            let has = |c: &ControlId| {
                self.conns.get(c).is_some_and(|c| c.hellos == 0 && c.shown.get(stream) > held)
            };
            let second = self.secondary.filter(has);
            stuck |= second.is_some() && now - since >= self.rules.silence_timeout + self.rules.gap_timeout;
            let Some(from) = second.or(self.primary.filter(has)) else { continue };
            lack.asked = Some(now);
            self.figures.pulls += 1;
            if let Some(conn) = self.conns.get_mut(&from) {
                conn.pulled = true;
            }
            self.send(now, from, Message::Pull { stream, after: held }, out);
        }
        if let Some(primary) = self.primary.filter(|_| stuck) {
            self.close(now, primary, CloseReason::NoLongerNeeded, out);
        }
    }

    fn greet(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let position = self.position.clone();
        let Some(conn) = self.conns.get_mut(&control) else { return };
        conn.hellos += 1;
        (conn.shown, conn.told) = (position.clone(), position);
        (conn.waits, conn.last, conn.acked) = (None, None, now);
        let hello = Hello {
            epoch: self.epoch,
            id: self.me,
            life: self.life,
            primary: self.primary == Some(control),
            challenge: conn.challenge(now),
            heads: self.heads.iter().map(|(s, h)| (*s, *h)).collect(),
        };
        self.send(now, control, Message::Hello(hello), out);
    }

    fn send(&mut self, now: Micros, control: ControlId, message: Message, out: &mut Vec<Output>) {
        let bytes = frame::size(&message);
        self.bucket.take(now, bytes);
        self.figures.bytes_out += bytes as u64;
        out.push(Output::Send(control, message));
    }

    fn acks(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due = |(id, c): (&ControlId, &Conn)| {
            let news = self.news && self.primary == Some(*id);
            let every = if news { self.rules.beat_interval } else { self.rules.ack_interval };
            (c.up && now - c.acked >= every).then_some(*id)
        };
        let due: Vec<ControlId> = self.conns.iter().filter_map(due).collect();
        for control in due {
            if self.bucket.level(now) > 0 {
                self.ack(now, control, out);
            }
        }
    }

    fn ack(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let primary = self.primary == Some(control);
        let unsaid =
            |said: u64| self.refused.len() - ((self.refusals - said) as usize).min(self.refused.len());
        let Some(conn) = self.conns.get_mut(&control).filter(|c| c.up) else { return };
        conn.acked = now;
        let mut ack = Ack { primary, challenge: conn.challenge(now), ..Ack::default() };
        if primary || conn.pulled {
            ack.gains = self.position.gains(&conn.told);
            conn.told.merge(&self.position);
            conn.pulled &= !self.lacks.is_empty();
        }
        if primary {
            ack.refused = self.refused.iter().skip(unsaid(conn.refused)).copied().collect();
            conn.refused = self.refusals;
            self.news = false;
        }
        self.send(now, control, Message::Ack(ack), out);
    }

    // Words.

    fn hear(
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
                self.welcome(now, control, *epoch, out)
            }
            Message::Beat(beat) => self.beat(now, control, beat),
            Message::Batch(pieces) => pieces.iter().try_for_each(|p| self.piece(now, control, p, out)),
            Message::Differs { stream, number } => {
                if self.welcomed(control) && self.position.get(*stream) >= *number && *number > 0 {
                    self.doubt(control, *stream, out);
                }
                Ok(())
            }
            other => Err(CloseReason::Unexpected(other.name())),
        }
    }

    fn welcomed(&self, control: ControlId) -> bool {
        self.conns.get(&control).is_some_and(|c| c.hellos == 0)
    }

    fn welcome(
        &mut self,
        now: Micros,
        control: ControlId,
        epoch: u32,
        out: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let Some(conn) = self.conns.get_mut(&control).filter(|c| c.hellos > 0) else {
            return Err(CloseReason::Unexpected("a welcome"));
        };
        (conn.hellos, conn.heard) = (conn.hellos - 1, now);
        if conn.hellos > 0 {
            return Ok(());
        }
        if epoch < self.epoch {
            return Err(CloseReason::Epoch(epoch, self.epoch));
        }
        if epoch > self.epoch {
            let streams: Vec<StreamId> = self.heads.keys().copied().collect();
            self.epoch = epoch;
            self.anew(&streams, out);
            // The others are told as well: they may hold the new epoch, or say that they do not.
            self.greet_all(now, out);
        }
        Ok(())
    }

    fn greet_all(&mut self, now: Micros, out: &mut Vec<Output>) {
        let up: Vec<ControlId> = self.conns.iter().filter(|(_, c)| c.up).map(|(id, _)| *id).collect();
        up.into_iter().for_each(|c| self.greet(now, c, out));
    }

    /// All that is held of streams is void.
    fn anew(&mut self, streams: &[StreamId], out: &mut Vec<Output>) {
        self.fresh = None;
        for stream in streams {
            self.figures.stale += 1;
            self.heads.remove(stream);
            self.position.set(*stream, 0);
            self.parts.remove(stream);
            self.lacks.remove(stream);
            self.doubts.remove(stream);
            out.push(Output::Stale(*stream));
        }
    }

    /// A control machine holds another history of a stream. One may be wrong; two are believed.
    fn doubt(&mut self, control: ControlId, stream: StreamId, out: &mut Vec<Output>) {
        let doubts = self.doubts.entry(stream).or_default();
        doubts.insert(control);
        if doubts.len() >= self.order.len().min(2) {
            self.anew(&[stream], out);
            // At the next tick, for where one stream differs others do as well.
            self.greets = true;
        }
    }

    fn beat(&mut self, now: Micros, control: ControlId, beat: &Beat) -> Result<(), CloseReason> {
        if beat.gains.iter().any(|(stream, _)| !self.knows(*stream)) {
            return Err(CloseReason::Bounds("a stream that there is not"));
        }
        let Some(conn) = self.conns.get_mut(&control) else { return Ok(()) };
        conn.heard = now;
        if conn.hellos > 0 {
            return Ok(());
        }
        conn.shown.gain(&beat.gains);
        let Some(age) = beat.age else { return Ok(()) };
        let Some(sent) = conn.challenges.iter().find(|c| c.0 == beat.echo).map(|c| c.1) else {
            return Ok(());
        };
        let sent = if self.rules.is(InjectedFault::FreshAtBeat) { now } else { sent };
        let instant = sent - Micros::from(age) * 1000;
        conn.claimed = conn.claimed.max(Some(instant));
        conn.last = Some((instant, conn.shown.clone()));
        if let Some(wait) = self.waits.get_mut(&control) {
            wait.tries = 0;
        }
        Ok(())
    }

    fn knows(&self, stream: StreamId) -> bool {
        self.rules.kind(stream.topic).is_some() && self.rules.is_store(stream.store)
    }

    fn piece(
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
            conn.heard = now;
            // What was sent before the hello was heard is shown anew.
            if conn.hellos == 0 && !part {
                conn.shown.raise(stream, piece.upto());
            }
        }
        let fit = self.plant(piece, head);
        match fit {
            Fit::AlreadyHeld => Ok(()),
            Fit::Gap => Ok(()),
            Fit::Part => match self.part(control, piece, head) {
                Some(whole) => self.piece(now, control, &whole, out),
                None => Ok(()),
            },
            Fit::Mismatch => {
                self.figures.misfits += 1;
                self.doubt(control, stream, out);
                Err(CloseReason::HistoryMismatch)
            }
            Fit::Continues(piece, head) => {
                self.figures.applied += piece.changes().count() as u64;
                self.figures.marks += u64::from(piece.is_mark());
                self.heads.insert(stream, head);
                self.position.set(stream, head.number);
                self.parts.remove(&stream);
                self.doubts.remove(&stream);
                self.news = true;
                out.push(Output::Apply(piece));
                Ok(())
            }
        }
    }

    /// How a piece goes on from a head, with what tests plant.
    fn plant(&self, piece: &Piece, head: Head) -> Fit {
        let fit = piece.continue_from(head);
        let end = Head { number: piece.upto(), digest: piece.digest };
        match fit {
            Fit::AlreadyHeld if self.rules.is(InjectedFault::Twice) && end == head => {
                Fit::Continues(piece.clone(), end)
            }
            Fit::Gap if self.rules.is(InjectedFault::Gaps) => Fit::Continues(piece.clone(), end),
            Fit::Mismatch if self.rules.is(InjectedFault::NoDigest) && end.number > head.number => {
                Fit::Continues(piece.clone(), end)
            }
            fit => fit,
        }
    }

    /// Puts a part to those before it; the whole change as a piece if it is the last.
    fn part(&mut self, control: ControlId, piece: &Piece, head: Head) -> Option<Piece> {
        let Content::Part { number, key, whole, offset, check, bytes } = &piece.content else { return None };
        let stream = piece.stream;
        let new = Part {
            number: *number,
            key: *key,
            whole: *whole,
            check: *check,
            digest: piece.digest,
            bytes: Vec::new(),
            from: control,
            mixed: false,
        };
        let same = |held: &Part| {
            (held.number, held.key, held.whole, held.check, held.digest)
                == (new.number, new.key, new.whole, new.check, new.digest)
        };
        if *offset == 0 && !self.parts.get(&stream).is_some_and(same) {
            self.parts.insert(stream, new.clone());
        }
        // Both control machines may send it; what is new in a part is what goes on from here.
        let held = self.parts.get_mut(&stream).filter(|held| same(held))?;
        let known = held.bytes.len().checked_sub(usize::from(*offset))?;
        held.bytes.extend_from_slice(bytes.get(known..)?);
        held.mixed |= held.from != control;
        if held.bytes.len() < usize::from(*whole) {
            return None;
        }
        let held = self.parts.remove(&stream)?;
        let body: Rc<[u8]> = Rc::from(held.bytes);
        let right = crc32fast::hash(&body) == held.check;
        if !right && held.mixed {
            return None;
        }
        // A wrong byte makes a digest that is wrong for certain, also where it could not be computed.
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

    /// As of when everything is held, and whether that is enough.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) {
        for conn in self.conns.values_mut() {
            for _ in 0..2 {
                conn.waits = conn.waits.take().or_else(|| conn.last.take());
                let uncovered = self.rules.is(InjectedFault::FreshUncovered);
                if let Some((instant, _)) = conn.waits.take_if(|w| uncovered || self.position.covers(&w.1)) {
                    self.fresh = self.fresh.max(Some(instant));
                }
            }
        }
        let service = self.in_service(now);
        if service != self.service {
            self.service = service;
            out.push(if service { Output::InService } else { Output::OutOfService });
        }
    }
}

impl Conn {
    fn new(now: Micros) -> Self {
        Conn {
            up: false,
            since: now,
            heard: now,
            hellos: 0,
            challenge: 0,
            challenges: VecDeque::new(),
            shown: Position::default(),
            told: Position::default(),
            claimed: None,
            waits: None,
            last: None,
            acked: now,
            refused: 0,
            pulled: false,
        }
    }

    /// One more challenge, as of now.
    fn challenge(&mut self, now: Micros) -> u32 {
        self.challenge = self.challenge.wrapping_add(1);
        self.challenges.push_back((self.challenge, now));
        if self.challenges.len() > bounds::MAX_CHALLENGES {
            self.challenges.pop_front();
        }
        self.challenge
    }
}
