//! Upstream requests: an attempt of a stream, or a probe, from its start through the connection that carries
//! it to its outcome. Every request ends in [`Core::finish`] with exactly one verdict.

use super::messages::*;
use super::{Core, TimerEvent, UpstreamId, UpstreamRequest};
use crate::interface::*;
use std::rc::Rc;
use tracing::debug;

/// The value of [`Outcome::note`] for a miss.
const NOTE_MISS: u32 = 2;
/// The shortest timeout an attempt can pass to its node, in us: timeouts are sent in whole ms, rounded down.
const MIN_TIMEOUT: Micros = 1_000;

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
            // The stream is answered or its downstream has closed: the attempt is never sent.
            let attempt = self.abandoned.get_mut(&id).map_or(0, |next| std::mem::replace(next, *next + 1));
            let end = outcome((id, attempt), server, Verdict::Moot, true);
            return self.events.push_back(Event::Outcome(end));
        };
        let attempt = stream.attempts;
        stream.attempts += 1;
        stream.server = Some(server);
        stream.details.retried |= stream.failed;
        if self.node_table.is_origin(server) {
            self.counters.fetched += 1;
            self.counters.spilled += u64::from(!stream.missed && stream.message.value.is_none());
        } else {
            self.counters.cold +=
                u64::from(self.node_table.is_cold(server, now, self.settings.slow_start_duration));
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
            SlowStartText(self.balancer.slow_start_status(server)),
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
        self.emit_node_event(|| NodeEvent::Sent(server));
        let id = match stream {
            Some(attempt) => UpstreamId::attempt(attempt),
            None => UpstreamId::probe(self.next_id()),
        };
        let (turn, connection) = (None, None);
        let sent = now;
        let request = UpstreamRequest { stream, message, server, sent, expires, begin_by, turn, connection };
        self.upstream.insert(id, request);
        self.wheel.insert(expires, TimerEvent::Expired(id));
        self.assign_connection(now, id);
    }

    /// Assigns the most recently used idle connection to an upstream request, or queues the request for the
    /// first connection that becomes free, whether already open or dialled now.
    fn assign_connection(&mut self, now: Micros, id: UpstreamId) {
        let Some(u) = self.upstream.get(&id) else { return };
        let (server, sent, begin_by) = (u.server, u.sent, u.begin_by);
        if !self.is_wanted(u) || self.lacks_time(now, u) {
            return self.finish(now, id, Verdict::Moot, None);
        }
        if let Some(c) = self.take_idle(now, server) {
            // A request already queued for a connection to settle goes first.
            let Some(first) = self.pool.take_waiting(server) else { return self.start_request(now, c, id) };
            self.start_request(now, c, first);
            return self.assign_connection(now, id);
        }
        let Some(turn) = self.pool.wait(server, id) else {
            return self.finish(now, id, Verdict::ConnectFailed, None);
        };
        if let Some(u) = self.upstream.get_mut(&id) {
            u.turn = Some(turn);
        }
        // Inserted before the timer of its dial: when both expire together, the request ends first and causes
        // no new dial.
        let waits = sent + self.settings.connect_timeout;
        let until = begin_by.map_or(waits, |by| waits.min(by - self.settings.period));
        self.wheel.insert(until, TimerEvent::NoConnection(id));
        if self.pool.first_without_dial(server).is_some() {
            match self.pool.dial_delay(server, now) {
                0 => self.dial(now, server),
                wait => self.wheel.insert(now + wait, TimerEvent::Dial(server)),
            }
        }
    }

    /// Takes an idle connection that may carry a job. Connections past their idle time are closed first,
    /// whenever they were last checked: their node may be closing them, and the job would end in a reset.
    pub(super) fn take_idle(&mut self, now: Micros, server: ServerId) -> Option<ConnectionId> {
        while let Some(c) = self.pool.too_old(server, now) {
            self.close(c);
        }
        self.pool.take(server, now)
    }

    pub(super) fn dial(&mut self, now: Micros, server: ServerId) {
        if let Some(evicted) = self.pool.evictable() {
            self.close(evicted);
        }
        let connection = ConnectionId(self.next_id());
        let Some((address, kind)) = self.pool.dial(server, connection) else { return };
        self.counters.dials += 1;
        let origin = Some(kind) == self.settings.origin_kind;
        self.effects.push(Effect::Dial { connection, address, origin });
        self.wheel.insert(now + self.settings.connect_timeout, TimerEvent::DialTimeout(connection));
    }

    /// Gives up a dial that did not complete in time. If the request it was made for is gone and later ones
    /// relied on it, another dial is made for them.
    pub(super) fn dial_timed_out(&mut self, now: Micros, c: ConnectionId) {
        let Some(server) = self.pool.server(c).filter(|_| self.pool.is_dialling(c)) else { return };
        self.close(c);
        if self.pool.first_without_dial(server).is_some() && self.pool.is_ready(server) {
            self.dial(now, server);
        }
    }

    /// Whether it is too late to send something that must begin by `begin_by`; one tick early, to allow for
    /// the way to the node.
    pub(super) fn is_past(&self, now: Micros, begin_by: Option<Micros>) -> bool {
        begin_by.is_some_and(|by| by <= now + self.settings.period)
    }

    /// Whether an attempt has too little time left for an answer: less than the shortest timeout that can be
    /// passed to a node, or, for a further attempt, which the module may make at the last moment, less than
    /// one tick.
    fn lacks_time(&self, now: Micros, u: &UpstreamRequest) -> bool {
        let further = u.stream.is_some_and(|(_, attempt)| attempt > 0);
        let least = if further { self.settings.period.max(MIN_TIMEOUT) } else { MIN_TIMEOUT };
        u.expires - now < least
    }

    /// Starts writing a request. It may have waited, so its stream, its time left and the state of its node
    /// are checked again. Nothing new is sent to a node that is not ready.
    fn start_request(&mut self, now: Micros, c: ConnectionId, id: UpstreamId) {
        let Some(u) = self.upstream.get(&id) else { return };
        let (server, ready) = (u.server, self.pool.is_ready(u.server));
        let not_wanted = self.lacks_time(now, u) || self.is_past(now, u.begin_by) || !self.is_wanted(u);
        if not_wanted || !ready {
            let verdict = if ready { Verdict::Moot } else { Verdict::ConnectFailed };
            self.finish(now, id, verdict, None);
            return self.release_connection(now, server, c);
        }
        let Some(u) = self.upstream.get_mut(&id) else { return };
        u.connection = Some(c);
        let job = match &u.message {
            Some(m) => {
                self.refusal_period.end();
                Job::Stream { message: m.clone(), patience: u.expires - now }
            }
            None => Job::Probe,
        };
        self.pool.busy(c, id);
        self.effects.push(Effect::Write { connection: c, job });
    }

    /// Gives a connection without a job to the next queued request, or makes it idle. It carries nothing
    /// while another answer to its last job could still arrive. At a node that is not ready the queued
    /// requests are ended here.
    pub(super) fn release_connection(&mut self, now: Micros, server: ServerId, c: ConnectionId) {
        if self.pool.process_changed(c) {
            // Queued requests need a connection to the node's present process.
            self.close(c);
            if self.pool.first_without_dial(server).is_some() && self.pool.is_ready(server) {
                self.dial(now, server);
            }
            return;
        }
        if self.pool.is_settled(c, now) || !self.pool.is_ready(server) {
            if let Some(id) = self.pool.take_waiting(server) {
                return self.start_request(now, c, id);
            }
        }
        if !self.pool.make_idle(c, now) {
            self.close(c);
        }
    }

    /// Closes a connection and releases its slot. All slots are released here.
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
        let (carried, dialling) = (self.pool.carried_request(c), self.pool.is_dialling(c));
        self.close(c);
        if let Some(id) = carried {
            let verdict = match stage {
                Stage::Idle => {
                    // The connection closed before any byte of the job was written: the job can be sent on
                    // another connection.
                    if let Some(u) = self.upstream.get_mut(&id) {
                        u.connection = None;
                    }
                    return self.assign_connection(now, id);
                }
                Stage::Writing => Verdict::ConnectFailed,
                Stage::Reading => Verdict::Reset,
            };
            self.counters.resets += u64::from(verdict == Verdict::Reset);
            self.counters.unconnected += u64::from(verdict == Verdict::ConnectFailed);
            self.finish(now, id, verdict, None);
        } else if dialling {
            if let Some(id) = self.pool.first_without_dial(server) {
                self.counters.unconnected += 1;
                self.finish(now, id, Verdict::ConnectFailed, None);
            }
        }
    }

    /// A job was withdrawn before its last byte was written. A connection with a partly written job cannot be
    /// reused.
    pub(super) fn withdrawn(&mut self, now: Micros, c: ConnectionId, stage: Stage) {
        let Some(server) = self.pool.server(c) else { return };
        if let Some(id) = self.pool.carried_request(c) {
            // Jobs are withdrawn here when their downstream has closed: a stream that was answered has none
            // left to withdraw.
            self.counters.left_unsent += 1;
            self.finish(now, id, Verdict::Moot, None);
        }
        match stage {
            Stage::Idle => self.release_connection(now, server, c),
            Stage::Writing | Stage::Reading => self.close(c),
        }
    }

    pub(super) fn replied(&mut self, now: Micros, c: ConnectionId, reply: Reply) {
        let Some(server) = self.pool.server(c) else { return };
        let (carried, keep) = (self.pool.carried_request(c), reply.keep);
        self.pool.mark_alive(server, now);
        match carried {
            Some(id) => self.finish(now, id, reply.verdict, Some(reply)),
            None => self.emit_node_event(|| NodeEvent::LateAnswer(server)),
        }
        if keep {
            let settled = self.pool.start_settling(c, now);
            self.wheel.insert(settled, TimerEvent::Settled(server));
            self.release_connection(now, server, c);
        } else {
            self.close(c);
        }
    }

    pub(super) fn expired(&mut self, now: Micros, id: UpstreamId) {
        let Some(u) = self.upstream.get(&id) else { return };
        // It was never written, so it never ran.
        let verdict = if u.connection.is_none() { Verdict::Moot } else { Verdict::Timeout };
        self.counters.timeouts += u64::from(verdict == Verdict::Timeout);
        self.abandon(now, id, verdict);
    }

    /// Stops waiting for an upstream request. Closing the connection would cost the node a handshake later,
    /// and RESP has no cancel command, so where a second copy of a request is allowed the connection lingers
    /// for a while to read and discard the late answer.
    pub(super) fn abandon(&mut self, now: Micros, id: UpstreamId, verdict: Verdict) {
        if let Some((c, server, sent)) =
            self.upstream.get(&id).and_then(|u| Some((u.connection?, u.server, u.sent)))
        {
            // A node that has sent nothing since may be unreachable: its connections stay open and silent,
            // and only a new one shows that. Its idle connections would swallow the next requests, so they
            // are closed too.
            let silent = verdict == Verdict::Timeout && self.pool.silent_during(server, sent);
            match self.pool.linger(c, now, self.settings.may_copy && !silent) {
                // Writing must stop: if the last byte is not written there is no answer to wait for.
                Some(until) => {
                    self.effects.push(Effect::Withdraw { connection: c });
                    self.wheel.insert(until, TimerEvent::LingerEnded(c));
                }
                None => self.close(c),
            }
            if silent {
                self.close_idle(server);
            }
        }
        self.finish(now, id, verdict, None);
    }

    /// Ends an upstream request and reports its outcome. All upstream requests end here.
    pub(super) fn finish(&mut self, now: Micros, id: UpstreamId, verdict: Verdict, reply: Option<Reply>) {
        let Some(u) = self.upstream.remove(&id) else { return };
        if let Some(turn) = u.turn.filter(|_| u.connection.is_none()) {
            self.pool.stop_waiting(u.server, turn);
        }
        let no_place = reply.as_ref().is_some_and(|r| r.no_place);
        let (value, note, report) = reply.map_or_else(Default::default, |r| (r.value, r.note, r.report));
        let (server, elapsed) = (u.server, now - u.sent);
        let load = if self.wants_node_events { self.utilisation(&report) } else { None };
        self.emit_node_event(|| NodeEvent::Ended { server, verdict, elapsed, load });
        // A miss at the origin is an answer: the key does not exist.
        let kind = self.pool.nodes.get(&server).map(|n| n.kind);
        let absent = verdict == Verdict::Miss && kind.is_some() && kind == self.settings.origin_kind;
        let verdict = if absent { Verdict::Served } else { verdict };
        let Some(stream) = u.stream else {
            return self.events.push_back(Event::Probed { server, verdict, elapsed, report });
        };
        self.node_table.count(server, verdict);
        match verdict {
            Verdict::Miss => self.counters.missed += 1,
            Verdict::Full => self.counters.turned_away += 1,
            Verdict::Error => self.counters.errors += 1,
            Verdict::Moot => self.counters.moot += 1,
            // These are counted where they occur, or through the outcome of their stream.
            Verdict::Served | Verdict::Timeout | Verdict::ConnectFailed | Verdict::Reset => {}
            Verdict::Cancelled => {}
        }
        let may_have_run = may_have_run(verdict);
        if !self.streams.contains_key(&stream.0) {
            u.message.iter().for_each(|message| self.ids.attempt_ended(&message.id, may_have_run));
        }
        if let Some(stream_state) = self.streams.get_mut(&stream.0) {
            stream_state.may_have_run |= may_have_run;
            match verdict {
                Verdict::Served => {
                    stream_state.server = Some(server);
                    stream_state.details.joined = stream_state.missed && !self.node_table.is_origin(server);
                }
                // A node may omit the note; the miss is recorded all the same.
                Verdict::Miss => (stream_state.note, stream_state.missed) = (NOTE_MISS, true),
                Verdict::Moot => {}
                _ => stream_state.failed = true,
            }
            stream_state.note = if note > 0 { note } else { stream_state.note };
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
        // Only after the outcome event: the module must learn of it before what releasing the stream causes.
        if verdict == Verdict::Served {
            self.answer(now, stream.0, if absent { Answer::Absent } else { Answer::Value(value) });
        }
    }
}

/// Displays the slow start state of the server that an attempt goes to.
struct SlowStartText(Option<SlowStartStatus>);

impl std::fmt::Display for SlowStartText {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(status) => write!(f, "slow start: {status}"),
            None => f.write_str("no slow start"),
        }
    }
}

/// Whether an attempt that ended like this may have run, or may yet.
fn may_have_run(verdict: Verdict) -> bool {
    match verdict {
        Verdict::Served | Verdict::Error | Verdict::Timeout | Verdict::Reset | Verdict::Cancelled => true,
        Verdict::Miss | Verdict::Full | Verdict::ConnectFailed | Verdict::Moot => false,
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
