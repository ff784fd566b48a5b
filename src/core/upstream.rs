//! Upstream requests: an attempt of a stream, or a probe, from its launch over the connection that carries it to its
//! outcome. Each ends in one place, with one verdict.

use super::messages::*;
use super::{Core, Due, UpstreamId, UpstreamRequest};
use crate::interface::*;
use std::rc::Rc;
use tracing::debug;

/// What [`Outcome::note`] says of a miss.
const MISS: u32 = 2;
/// The least time that an attempt can tell its node, in us: times are told in whole ms, and never more than is left.
const LEAST_TOLD: Micros = 1_000;

impl Core {
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        begin_by: Option<Micros>,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else {
            // The final answer is out, or its downstream is gone: the attempt never goes.
            let attempt = self.left.get_mut(&id).map_or(0, |next| std::mem::replace(next, *next + 1));
            let end = outcome((id, attempt), server, Verdict::Moot, true);
            return self.events.push_back(Event::Outcome(end));
        };
        let attempt = stream.attempts;
        stream.attempts += 1;
        stream.server = Some(server);
        stream.details.retried |= stream.failed;
        if self.marks.is_origin(server) {
            self.counters.fetched += 1;
            self.counters.spilled += u64::from(!stream.missed && stream.message.value.is_none());
        } else {
            self.counters.cold +=
                u64::from(self.marks.is_cold(server, now, self.settings.slow_start_duration));
        }
        let balancer = &self.balancer;
        self.slow_starts.sent(now, server, || balancer.slow_start_status(server));
        let expires = timeout.map_or(stream.deadline, |t| stream.deadline.min(now + t));
        let message = stream.message.clone();
        self.counters.upstream += 1;
        debug!(
            event = "attempt",
            "attempt {attempt} of {} to {} within {} ms; {}",
            String::from_utf8_lossy(&message.id),
            self.pool.nodes.get(&server).map_or("?", |n| &n.name),
            (expires - now) / 1_000,
            Ramp(self.balancer.slow_start_status(server)),
        );
        self.launch(now, Some((id, attempt)), Some(message), server, expires, begin_by);
    }

    pub(super) fn launch(
        &mut self,
        now: Micros,
        stream: Option<(RequestId, u8)>,
        message: Option<Rc<Message>>,
        server: ServerId,
        expires: Micros,
        begin_by: Option<Micros>,
    ) {
        self.see(|| NodeEvent::Sent(server));
        let id = match stream {
            Some(attempt) => UpstreamId::attempt(attempt),
            None => UpstreamId::probe(self.id()),
        };
        let (turn, connection) = (None, None);
        let sent = now;
        let request = UpstreamRequest { stream, message, server, sent, expires, begin_by, turn, connection };
        self.upstream.insert(id, request);
        self.wheel.insert(expires, Due::Expired(id));
        self.place(now, id);
    }

    /// Gives an upstream request the idle connection used last, or lets it wait for the first that gets free,
    /// an old one or one that is dialled now.
    fn place(&mut self, now: Micros, id: UpstreamId) {
        let Some(u) = self.upstream.get(&id) else { return };
        let (server, sent, begin_by) = (u.server, u.sent, u.begin_by);
        if !self.is_wanted(u) || self.is_vain(now, u) {
            return self.end(now, id, Verdict::Moot, None);
        }
        if let Some(c) = self.take(now, server) {
            // One that waits already, for a connection to settle, goes before it.
            let Some(first) = self.pool.next_waiting(server) else { return self.begin(now, c, id) };
            self.begin(now, c, first);
            return self.place(now, id);
        }
        let Some(turn) = self.pool.wait(server, id) else {
            return self.end(now, id, Verdict::ConnectFailed, None);
        };
        if let Some(u) = self.upstream.get_mut(&id) {
            u.turn = Some(turn);
        }
        // Before its dial: when both run out of time the request goes first, and asks for no other.
        let waits = sent + self.settings.connect_timeout;
        let until = begin_by.map_or(waits, |by| waits.min(by - self.settings.period));
        self.wheel.insert(until, Due::Unconnected(id));
        if self.pool.lacking(server).is_some() {
            match self.pool.before_dial(server, now) {
                0 => self.dial(now, server),
                wait => self.wheel.insert(now + wait, Due::Dial(server)),
            }
        }
    }

    /// Takes an idle connection out that may carry a job. Those past their time are closed first, whenever they were
    /// looked at last: their node may be closing them, and the job would be a reset.
    pub(super) fn take(&mut self, now: Micros, server: ServerId) -> Option<ConnectionId> {
        while let Some(c) = self.pool.aged(server, now) {
            self.close(c);
        }
        self.pool.take(server, now)
    }

    pub(super) fn dial(&mut self, now: Micros, server: ServerId) {
        if let Some(spare) = self.pool.spare() {
            self.close(spare);
        }
        let connection = ConnectionId(self.id());
        let Some((address, kind)) = self.pool.dial(server, connection) else { return };
        self.counters.dials += 1;
        let origin = Some(kind) == self.settings.origin_kind;
        self.effects.push(Effect::Dial { connection, address, origin });
        self.wheel.insert(now + self.settings.connect_timeout, Due::Undialled(connection));
    }

    /// A dial that did not come up in time is given up. Who came later and relied on it, since whoever it was made for is
    /// gone, is dialled for anew.
    pub(super) fn undialled(&mut self, now: Micros, c: ConnectionId) {
        let Some(server) = self.pool.server(c).filter(|_| self.pool.is_dialling(c)) else { return };
        self.close(c);
        if self.pool.lacking(server).is_some() && self.pool.is_ready(server) {
            self.dial(now, server);
        }
    }

    /// Whether nothing may go out any more that is sent only before a moment: a tick early, for the way to the node.
    pub(super) fn is_past(&self, now: Micros, begin_by: Option<Micros>) -> bool {
        begin_by.is_some_and(|by| by <= now + self.settings.period)
    }

    /// Whether an attempt has too little time left for an answer: less than can be told to a node, and for a further
    /// one, which the module may make at the last moment, less than a tick.
    fn is_vain(&self, now: Micros, u: &UpstreamRequest) -> bool {
        let further = u.stream.is_some_and(|(_, attempt)| attempt > 0);
        let least = if further { self.settings.period.max(LEAST_TOLD) } else { LEAST_TOLD };
        u.expires - now < least
    }

    /// Right before the first byte: the request may have waited, so whether anybody waits for it, its time and its
    /// node are looked at again. Nothing new goes to a node that is not ready.
    fn begin(&mut self, now: Micros, c: ConnectionId, id: UpstreamId) {
        let Some(u) = self.upstream.get(&id) else { return };
        let (server, ready) = (u.server, self.pool.is_ready(u.server));
        let over = self.is_vain(now, u) || self.is_past(now, u.begin_by) || !self.is_wanted(u);
        if over || !ready {
            let verdict = if ready { Verdict::Moot } else { Verdict::ConnectFailed };
            self.end(now, id, verdict, None);
            return self.free(now, server, c);
        }
        let Some(u) = self.upstream.get_mut(&id) else { return };
        u.connection = Some(c);
        let job = match &u.message {
            Some(m) => {
                self.spell.over();
                Job::Stream { message: m.clone(), patience: u.expires - now }
            }
            None => Job::Probe,
        };
        self.pool.busy(c, id);
        self.effects.push(Effect::Write { connection: c, job });
    }

    /// A connection without a job: the next that waits takes it, or it idles. It carries nothing while an answer
    /// to its last job could still follow; at a node that is not ready those that wait are ended here.
    pub(super) fn free(&mut self, now: Micros, server: ServerId, c: ConnectionId) {
        if self.pool.leads_elsewhere(c) {
            // Who waits there wants the node where it is now.
            self.close(c);
            if self.pool.lacking(server).is_some() && self.pool.is_ready(server) {
                self.dial(now, server);
            }
            return;
        }
        if self.pool.is_settled(c, now) || !self.pool.is_ready(server) {
            if let Some(id) = self.pool.next_waiting(server) {
                return self.begin(now, c, id);
            }
        }
        if !self.pool.rest(c, now) {
            self.close(c);
        }
    }

    /// The one place where a connection's slot is given back.
    pub(super) fn close(&mut self, c: ConnectionId) {
        if self.pool.remove(c) {
            self.effects.push(Effect::Close { connection: c });
        }
    }

    pub(super) fn close_idle(&mut self, server: ServerId) {
        for c in self.pool.idle(server) {
            self.close(c);
        }
    }

    pub(super) fn broken(&mut self, now: Micros, c: ConnectionId, stage: Stage) {
        let Some(server) = self.pool.server(c) else { return };
        let (carried, dialling) = (self.pool.carried(c), self.pool.is_dialling(c));
        self.close(c);
        if let Some(id) = carried {
            let verdict = match stage {
                Stage::Idle => {
                    // Closed before a byte of the job: it is whole, and goes on another connection.
                    if let Some(u) = self.upstream.get_mut(&id) {
                        u.connection = None;
                    }
                    return self.place(now, id);
                }
                Stage::Writing => Verdict::ConnectFailed,
                Stage::Reading => Verdict::Reset,
            };
            self.counters.resets += u64::from(verdict == Verdict::Reset);
            self.counters.unconnected += u64::from(verdict == Verdict::ConnectFailed);
            self.end(now, id, verdict, None);
        } else if dialling {
            if let Some(id) = self.pool.lacking(server) {
                self.counters.unconnected += 1;
                self.end(now, id, Verdict::ConnectFailed, None);
            }
        }
    }

    /// A job was taken back before its last byte was out. Half a job is of no use to the next one.
    pub(super) fn withdrawn(&mut self, now: Micros, c: ConnectionId, stage: Stage) {
        let Some(server) = self.pool.server(c) else { return };
        if let Some(id) = self.pool.carried(c) {
            // Its stream was given back with its downstream: one that was answered has nothing out.
            self.counters.left_unsent += 1;
            self.end(now, id, Verdict::Moot, None);
        }
        match stage {
            Stage::Idle => self.free(now, server, c),
            Stage::Writing | Stage::Reading => self.close(c),
        }
    }

    pub(super) fn replied(&mut self, now: Micros, c: ConnectionId, reply: Reply) {
        let Some(server) = self.pool.server(c) else { return };
        let (carried, keep) = (self.pool.carried(c), reply.keep);
        self.pool.heard(server, now);
        match carried {
            Some(id) => self.end(now, id, reply.verdict, Some(reply)),
            None => self.see(|| NodeEvent::LateAnswer(server)),
        }
        if keep {
            let settled = self.pool.answered(c, now);
            self.wheel.insert(settled, Due::Settled(server));
            self.free(now, server, c);
        } else {
            self.close(c);
        }
    }

    pub(super) fn expired(&mut self, now: Micros, id: UpstreamId) {
        let Some(u) = self.upstream.get(&id) else { return };
        // Never written: it never ran.
        let verdict = if u.connection.is_none() { Verdict::Moot } else { Verdict::Timeout };
        self.counters.timeouts += u64::from(verdict == Verdict::Timeout);
        self.abandon(now, id, verdict);
    }

    /// Stops waiting for an upstream request. Closing costs the node a handshake later on, and RESP has no
    /// cancel: where a second copy is allowed, the connection waits a while for the answer to throw it away.
    pub(super) fn abandon(&mut self, now: Micros, id: UpstreamId, verdict: Verdict) {
        if let Some((c, server, sent)) =
            self.upstream.get(&id).and_then(|u| Some((u.connection?, u.server, u.sent)))
        {
            // A node that has said nothing since may be cut off: its connections stay open and silent, and only
            // a new one tells. What idles there would swallow the next requests.
            let silent = verdict == Verdict::Timeout && self.pool.silent_since(server, sent);
            match self.pool.linger(c, now, self.settings.may_copy && !silent) {
                // Not to be written on meanwhile: where the last byte is not out there is no answer to wait for.
                Some(until) => {
                    self.effects.push(Effect::Withdraw { connection: c });
                    self.wheel.insert(until, Due::Lingered(c));
                }
                None => self.close(c),
            }
            if silent {
                self.close_idle(server);
            }
        }
        self.end(now, id, verdict, None);
    }

    /// The one place where an upstream request is given back, with its outcome.
    pub(super) fn end(&mut self, now: Micros, id: UpstreamId, verdict: Verdict, reply: Option<Reply>) {
        let Some(u) = self.upstream.remove(&id) else { return };
        if let Some(turn) = u.turn.filter(|_| u.connection.is_none()) {
            self.pool.wait_no_more(u.server, turn);
        }
        let no_place = reply.as_ref().is_some_and(|r| r.no_place);
        let (value, note, report) = reply.map_or_else(Default::default, |r| (r.value, r.note, r.report));
        let (server, elapsed) = (u.server, now - u.sent);
        let load = if self.wants_node_events { self.load(&report) } else { None };
        self.see(|| NodeEvent::Ended { server, verdict, elapsed, load });
        // A miss of the origin is an answer: nobody has such a key.
        let kind = self.pool.nodes.get(&server).map(|n| n.kind);
        let absent = verdict == Verdict::Miss && kind.is_some() && kind == self.settings.origin_kind;
        let verdict = if absent { Verdict::Served } else { verdict };
        let Some(stream) = u.stream else {
            return self.events.push_back(Event::Probed { server, verdict, elapsed, report });
        };
        self.marks.count(server, verdict);
        match verdict {
            Verdict::Miss => self.counters.missed += 1,
            Verdict::Full => self.counters.turned_away += 1,
            Verdict::Error => self.counters.errors += 1,
            Verdict::Moot => self.counters.moot += 1,
            // Counted where they come about, or by what became of their stream.
            Verdict::Served | Verdict::Timeout | Verdict::ConnectFailed | Verdict::Reset => {}
            Verdict::Cancelled => {}
        }
        if let Some(asked) = self.streams.get_mut(&stream.0) {
            match verdict {
                Verdict::Served => {
                    asked.server = Some(server);
                    asked.details.joined = asked.missed && !self.marks.is_origin(server);
                }
                // A node that does not say how a miss came about has missed all the same.
                Verdict::Miss => (asked.note, asked.missed) = (MISS, true),
                Verdict::Moot => {}
                _ => asked.failed = true,
            }
            asked.note = if note > 0 { note } else { asked.note };
        }
        let finished = verdict == Verdict::Served || !self.streams.contains_key(&stream.0);
        debug!(
            event = "attempt_ended",
            "attempt {} of {} ended: {verdict:?} after {} ms{}",
            stream.1,
            u.message.as_ref().map_or_else(Default::default, |m| String::from_utf8_lossy(&m.id)),
            elapsed / 1_000,
            if no_place { ", the node has no place for a connection" } else { "" },
        );
        let end = Outcome { elapsed, no_place, note, report, ..outcome(stream, server, verdict, finished) };
        self.events.push_back(Event::Outcome(end));
        // Behind the outcome: what the stream gives back is told after what served it.
        if verdict == Verdict::Served {
            self.answer(now, stream.0, if absent { Answer::Absent } else { Answer::Value(value) });
        }
    }
}

/// What the module makes of the server that an attempt goes to, if that is in slow start.
struct Ramp(Option<SlowStartStatus>);

impl std::fmt::Display for Ramp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(sight) => write!(f, "slow start: {sight}"),
            None => f.write_str("no slow start"),
        }
    }
}

fn outcome(stream: (RequestId, u8), server: ServerId, verdict: Verdict, finished: bool) -> Outcome {
    let (request, attempt) = stream;
    Outcome {
        request,
        attempt,
        server,
        verdict,
        elapsed: 0,
        finished,
        no_place: false,
        note: 0,
        report: Vec::new(),
    }
}
