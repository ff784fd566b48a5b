//! The proxy core without I/O and without a clock: streams, upstream requests, connection slots, timers, and
//! the [`Balancer`] that makes the decisions. The host that talks to downstreams and nodes passes in
//! [`Input`]s and carries out the resulting [`Effect`]s. The core knows no wire protocol, so any protocol can
//! be put in front of it.

mod messages;
mod pool;
mod request_ids;
mod slow_start;
mod start_times;
pub mod status;
mod upstream;
mod watch;
mod wheel;

use crate::choice::Balancer;
use crate::codec::discovery::{Cluster, Listed};
use crate::id_map::IdMap;
use crate::interface::*;
pub use messages::*;
use pool::{Pool, Turn};
use request_ids::RequestIds;
use slow_start::SlowStartLog;
use start_times::StartTimes;
use status::{ClusterStatus, NodeTable, RefusalPeriod};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tracing::debug;
use watch::WatchSchedule;
use wheel::Wheel;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct UpstreamId(u64);

impl UpstreamId {
    /// The id of a stream's attempt: the stream's id, which no probe shares, and the attempt's number.
    fn attempt((stream, attempt): (RequestId, u8)) -> Self {
        UpstreamId(stream.0 << 8 | u64::from(attempt))
    }

    /// The id of a probe, made from a number taken from the same counter as stream ids.
    fn probe(number: u64) -> Self {
        UpstreamId(number << 8)
    }
}

enum TimerEvent {
    Module(Token),
    /// The upstream request has reached its timeout.
    Expired(UpstreamId),
    /// The upstream request has waited for a connection for the dial timeout, or until it may no longer
    /// begin.
    NoConnection(UpstreamId),
    DialTimeout(ConnectionId),
    /// A request may have waited long enough for a busy connection of this node; dial another one.
    Dial(ServerId),
    /// A lingering connection has waited long enough for the answer to an abandoned request.
    LingerEnded(ConnectionId),
    /// A connection of this node has settled after its last answer and may carry another job.
    Settled(ServerId),
    /// The stream's downstream has stopped waiting.
    Overdue(RequestId),
    /// Close idle connections and drop outdated node rows.
    Sweep,
    /// The discovery watch may have been silent for too long; carries the number of the call that opened it.
    WatchSilent(u64),
    CallDiscovery,
}

struct Stream {
    downstream: DownstreamId,
    place: u64,
    class: ClassId,
    tenant: TenantId,
    taken: Micros,
    deadline: Micros,
    attempts: u8,
    /// For its record: the node that served the stream or was tried last, and the node's note on how the read
    /// went.
    server: Option<ServerId>,
    note: u32,
    /// Whether an upstream request of this stream missed, or failed.
    missed: bool,
    failed: bool,
    /// Whether one that has ended may have run.
    may_have_run: bool,
    details: StreamDetails,
    message: Rc<Message>,
}

/// One attempt of a stream, or a probe (which has no stream).
struct UpstreamRequest {
    stream: Option<(RequestId, u8)>,
    message: Option<Rc<Message>>,
    server: ServerId,
    sent: Micros,
    expires: Micros,
    /// If set, the request's first byte is written before this time or not at all.
    begin_by: Option<Micros>,
    /// Its position in the node's queue while it waits for a connection.
    turn: Option<Turn>,
    /// The connection that carries it, once one is assigned.
    connection: Option<ConnectionId>,
}

/// A node whose probe takes longer than this counts as stuck.
const PROBE_TIMEOUT: Micros = 400_000;
const SWEEP_INTERVAL: Micros = 500_000;
/// How long after the downstream's timeout a stream without an answer is failed by the core, whatever the
/// module does.
const OVERDUE_AFTER: Micros = 30_000;

pub struct Core {
    balancer: Balancer,
    settings: Settings,
    wheel: Wheel<TimerEvent>,
    streams: IdMap<RequestId, Stream>,
    by_downstream: BTreeSet<(DownstreamId, RequestId)>,
    ids: RequestIds,
    upstream: IdMap<UpstreamId, UpstreamRequest>,
    pool: Pool,
    /// Per-node state and counters for monitoring.
    node_table: NodeTable,
    slow_starts: SlowStartLog,
    start_times: StartTimes,
    refusal_period: RefusalPeriod,
    /// Events not yet passed to the module.
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Streams whose downstream has closed, with the number of their next attempt, until the module has been
    /// told.
    abandoned: BTreeMap<RequestId, u8>,
    /// Buffer for the module's actions; drained at once and kept to reuse its allocation.
    actions: Vec<Action>,
    last_id: u64,
    /// The last revision received from the discovery service being watched, or known at the start.
    revision: Option<u64>,
    watch: WatchSchedule,
    has_list: bool,
    /// When discovery last sent anything, and the value of that time before the list being applied arrived.
    last_heard: Option<Micros>,
    previous_heard: Option<Micros>,
    /// During a planned shutdown, the time by which every stream has its answer.
    shutdown_at: Option<Micros>,
    pub counters: Counters,
    /// Emit an [`Effect::StreamEnded`] for each stream.
    pub wants_records: bool,
    /// Emit an [`Effect::NodeEvent`] for each event at a node.
    pub wants_node_events: bool,
}

impl Core {
    pub fn new(now: Micros, settings: Settings, seed: u64, max_connections: usize, known: Cluster) -> Self {
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), seed),
            wheel: Wheel::new(settings.period, now),
            streams: IdMap::default(),
            by_downstream: BTreeSet::new(),
            ids: RequestIds::default(),
            upstream: IdMap::default(),
            pool: Pool::new(max_connections, &settings),
            node_table: NodeTable::default(),
            slow_starts: SlowStartLog::new(settings.slow_start_duration, settings.overload_window),
            start_times: StartTimes::new(settings.slow_start_duration),
            refusal_period: RefusalPeriod::default(),
            events: VecDeque::new(),
            effects: Vec::new(),
            abandoned: BTreeMap::new(),
            actions: Vec::new(),
            last_id: 0,
            revision: Some(known.revision),
            watch: WatchSchedule::new(now, &settings, seed),
            has_list: false,
            last_heard: None,
            previous_heard: None,
            shutdown_at: None,
            counters: Counters::default(),
            wants_records: false,
            wants_node_events: false,
            settings,
        };
        core.effects.push(Effect::Note(core.settings_line()));
        core.apply_list(now, known, ListForm::Cached);
        core.wheel.insert(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        core.call_discovery(now, core.revision);
        core.run_module(now);
        core
    }

    /// A log line with the slow start and fleet settings.
    fn settings_line(&self) -> String {
        let s = &self.settings;
        format!(
            "settings: {} proxies, this is number {}; slow start from {:.2} over {:.1} s, at most {:.2} times the capacity \
             within {:.1} s",
            s.routers,
            s.router_index,
            s.slow_start_from,
            s.slow_start_duration as f64 / 1e6,
            s.overload_multiple,
            s.overload_window as f64 / 1e6,
        )
    }

    /// When `tick` is to be called next.
    pub fn next(&self) -> Micros {
        self.wheel.next()
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Like [`Core::take_effects`], but swaps in the caller's cleared buffer so that its allocation is
    /// reused.
    pub fn swap_effects(&mut self, taken: &mut Vec<Effect>) {
        taken.clear();
        std::mem::swap(&mut self.effects, taken);
    }

    /// Whether discovery has sent a list since the start.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// The number of nodes listed as ready.
    pub fn serving(&self) -> usize {
        self.pool.nodes.values().filter(|n| n.phase == Phase::Ready).count()
    }

    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    pub fn open_connections(&self) -> usize {
        self.pool.len()
    }

    /// The node a connection belongs to and its kind, which select the protocol spoken on it.
    pub fn node(&self, connection: ConnectionId) -> Option<(ServerId, KindId)> {
        let server = self.pool.server(connection)?;
        Some((server, self.pool.nodes.get(&server)?.kind))
    }

    /// Sets the limit on open connections to nodes; connections already open stay.
    pub fn limit_connections(&mut self, limit: usize) {
        self.pool.max_connections = limit;
    }

    /// Whether a downstream has unanswered streams.
    pub fn busy(&self, downstream: DownstreamId) -> bool {
        self.open_streams_of(downstream) > 0
    }

    /// How many unanswered streams a downstream has.
    pub fn open_streams_of(&self, downstream: DownstreamId) -> usize {
        let from = (downstream, RequestId(0));
        self.by_downstream.range(from..).take_while(|(d, _)| *d == downstream).count()
    }

    /// The present state of the cluster for monitoring.
    pub fn status(&self, now: Micros) -> ClusterStatus {
        let statuses = self.balancer.server_statuses(now).map(|s| (s.server, s)).collect();
        let origin = self.balancer.origin_status(now);
        self.node_table.status(&statuses, origin, &self.pool.held(), self.revision)
    }

    pub fn input(&mut self, now: Micros, input: Input) {
        match input {
            Input::Plan(plan) => self.events.push_back(Event::Plan(plan)),
            Input::Stream(new) => self.start_stream(now, new),
            Input::DownstreamClosed(id) => {
                let abandoned = self.by_downstream.range((id, RequestId(0))..).take_while(|(d, _)| *d == id);
                let abandoned: Vec<RequestId> = abandoned.map(|(_, s)| *s).collect();
                // Announce all departures before releasing any stream, so that no freed place goes to another
                // stream of the same downstream.
                self.events.extend(abandoned.iter().map(|s| Event::ClientLeft(*s)));
                for id in abandoned {
                    self.counters.left += 1;
                    self.counters.left_unsent += u64::from(!self.has_connection(id));
                    let Some(stream) = self.end_stream(now, id) else { continue };
                    self.abandoned.insert(id, stream.attempts);
                    self.record_end(now, &stream, StreamOutcome::Left);
                }
            }
            Input::Connected(c) => {
                if let Some(server) = self.pool.connected(c, now) {
                    self.release_connection(now, server, c);
                }
            }
            Input::Broken(c, stage) => self.broken(now, c, stage),
            Input::Withdrawn(c, stage) => self.withdrawn(now, c, stage),
            Input::Replied(c, reply) => self.replied(now, c, reply),
            Input::Cluster(list) => {
                self.previous_heard = self.last_heard.replace(now);
                self.watch.heard(now);
                self.node_table.heard(now, list.is_some());
                if let Some(list) = list {
                    self.has_list = true;
                    self.counters.lists += 1;
                    let form = list_form(&list);
                    let earlier = self.revision.is_some_and(|known| list.revision < known);
                    self.apply_list(now, list, form);
                    if earlier && form == ListForm::Delta {
                        // Revisions of one discovery service only grow: this is another one at its address.
                        self.effects
                            .push(Effect::Note("discovery has begun anew: asking for the whole list".into()));
                        self.watch.moved(now);
                        self.revision = None;
                        self.call_discovery(now, None);
                    }
                }
            }
            Input::PreviousWatch(list) => {
                // The list is applied, but its revision may belong to another discovery service, and it does
                // not show that the present watch is alive.
                self.counters.lists += 1;
                let (form, revision) = (list_form(&list), self.revision);
                self.apply_list(now, list, form);
                self.revision = revision;
            }
            Input::WatchEnded => {
                self.counters.watches_ended += 1;
                if self.settings.must_subscribe {
                    self.events.push_back(Event::Members { form: ListForm::Failed, entries: Vec::new() });
                }
                self.schedule_call(now);
            }
            Input::DiscoveryMoved => {
                // The new discovery service has its own revision numbers, so ask for the whole list.
                self.watch.moved(now);
                self.revision = None;
                self.call_discovery(now, None);
            }
            Input::ShutdownBy(at) => self.shorten_deadlines(now, at),
        }
        self.run_module(now);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Micros) {
        for due in self.wheel.due(now) {
            match due {
                TimerEvent::Module(token) => self.events.push_back(Event::Timer(token)),
                TimerEvent::Expired(id) => self.expired(now, id),
                TimerEvent::NoConnection(id) => {
                    if let Some(u) = self.upstream.get(&id).filter(|u| u.connection.is_none()) {
                        let past = self.is_past(now, u.begin_by);
                        self.counters.unconnected += u64::from(!past);
                        let verdict = if past { Verdict::Moot } else { Verdict::ConnectFailed };
                        self.finish(now, id, verdict, None);
                    }
                }
                TimerEvent::Dial(server) => match self.pool.first_without_dial(server) {
                    Some(_) if self.pool.is_ready(server) => self.dial(now, server),
                    Some(id) => self.finish(now, id, Verdict::ConnectFailed, None),
                    None => {}
                },
                TimerEvent::DialTimeout(c) => self.dial_timed_out(now, c),
                TimerEvent::LingerEnded(c) => {
                    if self.pool.linger_ended(c, now) {
                        self.close(c);
                    }
                }
                TimerEvent::Settled(server) => {
                    while self.pool.has_waiting(server) {
                        let Some(c) = self.take_idle(now, server) else { break };
                        self.release_connection(now, server, c);
                    }
                }
                TimerEvent::Overdue(id) => {
                    if self.streams.contains_key(&id) {
                        // The module answers every timeout; if it ever fails to, the downstream must not be
                        // left waiting.
                        self.counters.overdue += 1;
                        self.effects.push(Effect::Note(format!(
                            "stream {} had no answer after its deadline: failed",
                            id.0
                        )));
                        self.answer(now, id, Answer::Late);
                        self.events.push_back(Event::ClientLeft(id));
                    }
                }
                TimerEvent::Sweep => {
                    for c in self.pool.idle_too_long(now) {
                        self.close(c);
                    }
                    self.node_table.remove_expired(now);
                    self.ids.expire(now);
                    self.start_times.retain(|id| self.node_table.is_known(*id));
                    let lines = self.slow_starts.sweep(now);
                    self.effects.extend(lines.into_iter().map(Effect::Note));
                    self.wheel.insert(now + SWEEP_INTERVAL, TimerEvent::Sweep);
                }
                TimerEvent::WatchSilent(call) => {
                    // Timers of earlier calls are ignored; the present call has its own.
                    if call == self.counters.calls {
                        if self.watch.is_silent(now) {
                            if !self.watch.has_failed() {
                                self.effects.push(Effect::Note(
                                    "discovery has gone silent: opening a new watch".into(),
                                ));
                            }
                            self.schedule_call(now);
                        }
                        self.wheel.insert(self.watch.next_check(now), TimerEvent::WatchSilent(call));
                    }
                }
                TimerEvent::CallDiscovery => {
                    if self.watch.due(now) {
                        self.call_discovery(now, self.revision);
                    }
                }
            }
            self.run_module(now);
        }
    }

    /// Calls discovery. All calls go through here so that they are counted.
    fn call_discovery(&mut self, now: Micros, after: Option<u64>) {
        self.counters.calls += 1;
        self.wheel.insert(self.watch.next_check(now), TimerEvent::WatchSilent(self.counters.calls));
        self.effects.push(Effect::Watch { after });
    }

    /// The watch has ended or gone silent: schedules the next call to discovery.
    fn schedule_call(&mut self, now: Micros) {
        let at = self.watch.ended(now);
        self.wheel.insert(at, TimerEvent::CallDiscovery);
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Passes queued events to the module and applies the actions it returns.
    fn run_module(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action);
            }
        }
        self.actions = actions;
        self.abandoned.clear();
    }

    fn apply_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, timeout, begin_by } => {
                self.send(now, request, server, timeout, begin_by)
            }
            Action::Cancel { request, attempt } => {
                let id = UpstreamId::attempt((request, attempt));
                if self.upstream.contains_key(&id) {
                    self.abandon(now, id, Verdict::Cancelled);
                }
            }
            Action::Refuse { request, retry_after } => self.answer(now, request, Answer::Busy(retry_after)),
            Action::Fail { request } => {
                // With no more than one tick left, no attempt could still be written.
                let period = self.settings.period;
                let late = self.streams.get(&request).is_some_and(|s| s.deadline - now <= period);
                self.answer(now, request, if late { Answer::Late } else { Answer::Failed });
            }
            Action::Timer { after, token } => {
                self.wheel.insert(now + after.max(1), TimerEvent::Module(token));
            }
            Action::Probe { server } => {
                self.counters.probes += 1;
                self.launch(now, None, None, server, now + PROBE_TIMEOUT, None);
            }
            Action::Release { server } => self.close_idle(server),
            Action::List => {
                self.watch.called(now);
                self.call_discovery(now, None);
            }
            // The core always keeps a watch open and renews it itself; the module asks again only when told
            // that it ended.
            Action::Subscribe => {}
        }
    }

    // Streams.

    fn start_stream(&mut self, now: Micros, new: NewStream) {
        let id = RequestId(self.next_id());
        self.counters.taken += 1;
        let patience = self.shutdown_at.map_or(new.patience, |at| new.patience.min(at - now));
        // One tick early: timers are coarse, and the answer has to travel to the downstream.
        let deadline = now + (patience - self.settings.period).max(0);
        let write = new.message.value.is_some();
        self.emit_node_event(|| NodeEvent::StreamTaken { class: new.class, tenant: new.tenant, write });
        let (downstream, place, message) = (new.downstream, new.place, new.message);
        let stream = Stream {
            downstream,
            place,
            class: new.class,
            tenant: new.tenant,
            taken: now,
            deadline,
            attempts: 0,
            server: None,
            note: 0,
            missed: false,
            failed: false,
            may_have_run: false,
            details: StreamDetails::default(),
            message: message.clone(),
        };
        // A node would take the second stream for a repeat of the first, and either could receive the other's
        // answer.
        if self.ids.is_open(&message.id) {
            return self.reply(now, &stream, Answer::DuplicateId);
        }
        if self.ids.may_have_run(&message.id) {
            self.counters.repeated_ids += 1;
            return self.reply(now, &stream, Answer::RepeatedId);
        }
        if self.streams.len() >= self.settings.max_open as usize {
            let full = StreamDetails { refused: Some(Refusal::Full), ..StreamDetails::default() };
            let stream = Stream { details: full, ..stream };
            return self.reply(now, &stream, Answer::Busy(self.settings.max_retry_after));
        }
        self.ids.open(&message.id);
        self.streams.insert(id, stream);
        self.by_downstream.insert((downstream, id));
        self.wheel.insert(now + patience.max(0) + OVERDUE_AFTER, TimerEvent::Overdue(id));
        self.events.push_back(Event::Request(Request {
            id,
            class: new.class,
            tenant: new.tenant,
            key: new.key,
            write,
            repeat: new.repeat,
            deadline,
            hint: new.hint,
        }));
    }

    /// Limits the deadlines of all open streams, and of later ones, to `at`.
    fn shorten_deadlines(&mut self, now: Micros, at: Micros) {
        self.shutdown_at = Some(at);
        let deadline = (at - self.settings.period).max(now);
        let mut late: Vec<RequestId> =
            self.streams.iter().filter(|(_, s)| s.deadline > deadline).map(|(id, _)| *id).collect();
        // Sort by arrival: the iteration order of the map differs between processes.
        late.sort_unstable();
        for id in late {
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            stream.deadline = deadline;
            for attempt in 0..stream.attempts {
                let id = UpstreamId::attempt((id, attempt));
                if let Some(u) = self.upstream.get_mut(&id).filter(|u| u.expires > deadline) {
                    u.expires = deadline;
                    self.wheel.insert(deadline, TimerEvent::Expired(id));
                }
            }
            self.wheel.insert(at + OVERDUE_AFTER, TimerEvent::Overdue(id));
            self.events.push_back(Event::Sooner(id, deadline));
        }
    }

    /// Emits a node event if the host wants them.
    fn emit_node_event(&mut self, event: impl FnOnce() -> NodeEvent) {
        if self.wants_node_events {
            self.effects.push(Effect::NodeEvent(event()));
        }
    }

    fn utilisation(&self, report: &[f32]) -> Option<f32> {
        let at = self.settings.columns.iter().position(|c| *c == Column::Utilisation)?;
        report.get(at).copied()
    }

    /// Removes a stream. Attempts whose last byte has not been written are withdrawn, since nobody waits for
    /// them. This is independent of whether attempts may be cancelled, which is about work already sent. All
    /// streams are removed here.
    fn end_stream(&mut self, now: Micros, id: RequestId) -> Option<Stream> {
        let stream = self.streams.remove(&id)?;
        self.by_downstream.remove(&(stream.downstream, id));
        self.close_request_id(now, id, &stream);
        for attempt in (0..stream.attempts).map(|n| UpstreamId::attempt((id, n))) {
            let Some(u) = self.upstream.get(&attempt) else { continue };
            match u.connection {
                Some(connection) => self.effects.push(Effect::Withdraw { connection }),
                None => self.finish(now, attempt, Verdict::Moot, None),
            }
        }
        Some(stream)
    }

    /// Ends the use of a stream's request id, which is kept where the request must not run twice.
    fn close_request_id(&mut self, now: Micros, id: RequestId, stream: &Stream) {
        self.ids.close(&stream.message.id);
        let in_flight = |n: &u8| self.upstream.contains_key(&UpstreamId::attempt((id, *n)));
        let in_flight = (0..stream.attempts).filter(in_flight).count() as u8;
        let class = self.settings.classes.get(usize::from(stream.class.0));
        let repeatable = class.is_none_or(|class| class.repeat == Repeat::Retryable);
        if !repeatable {
            self.ids.keep(now, &stream.message.id, in_flight, stream.may_have_run);
        }
    }

    /// Whether any attempt of a stream has a connection.
    fn has_connection(&self, id: RequestId) -> bool {
        let mut attempts = (0..self.streams.get(&id).map_or(0, |s| s.attempts)).map(|n| (id, n));
        attempts.any(|a| self.upstream.get(&UpstreamId::attempt(a)).is_some_and(|u| u.connection.is_some()))
    }

    /// Whether anything waits for an upstream request: a probe always counts, an attempt while its stream is
    /// open.
    fn is_wanted(&self, u: &UpstreamRequest) -> bool {
        u.stream.is_none_or(|(stream, _)| self.streams.contains_key(&stream))
    }

    fn answer(&mut self, now: Micros, id: RequestId, answer: Answer) {
        if let Some(stream) = self.end_stream(now, id) {
            self.reply(now, &stream, answer);
        }
    }

    /// Counts the reason if the stream was refused, and emits its record if the host wants records.
    fn record_end(&mut self, now: Micros, stream: &Stream, ended: StreamOutcome) {
        let refused = self.refusal(stream, ended);
        let counter = match refused {
            Some(Refusal::Full) => Some(&mut self.counters.refused_full),
            Some(Refusal::NotSent) => Some(&mut self.counters.refused_unsent),
            Some(Refusal::Origin) => Some(&mut self.counters.refused_origin),
            Some(Refusal::Attempts) => Some(&mut self.counters.refused_attempts),
            None => None,
        };
        counter.into_iter().for_each(|c| *c += 1);
        debug!(
            event = "stream_ended",
            "{} {} after {} ms and {} attempts{}",
            String::from_utf8_lossy(&stream.message.id),
            ended.name(),
            (now - stream.taken) / 1_000,
            stream.attempts,
            refused.map(|why| format!(": {why:?}")).unwrap_or_default(),
        );
        if !self.wants_records {
            return;
        }
        let node = stream.server.and_then(|s| self.pool.nodes.get(&s));
        self.effects.push(Effect::StreamEnded(Record {
            class: stream.class,
            tenant: stream.tenant,
            message: stream.message.clone(),
            node: node.map(|n| n.name.clone()),
            note: stream.note,
            ended,
            details: StreamDetails { refused, ..stream.details },
            time: now - stream.taken,
            at: now,
        }));
    }

    /// Why a stream was refused, or `None` if it ended otherwise.
    fn refusal(&self, stream: &Stream, ended: StreamOutcome) -> Option<Refusal> {
        let write = stream.message.value.is_some() && self.settings.origin_kind.is_some();
        // A read can reach the origin without a miss when its cache nodes are full.
        let asked = stream.missed || stream.server.is_some_and(|s| self.node_table.is_origin(s));
        let why = match stream.attempts {
            _ if write || asked => Refusal::Origin,
            0 => Refusal::NotSent,
            _ => Refusal::Attempts,
        };
        (ended == StreamOutcome::Refused).then(|| stream.details.refused.unwrap_or(why))
    }

    /// Counts a final answer and sends it to the downstream.
    fn reply(&mut self, now: Micros, stream: &Stream, answer: Answer) {
        let (ended, counter) = match answer {
            Answer::Value(_) | Answer::Absent => (StreamOutcome::Served, &mut self.counters.served),
            Answer::Busy(_) => (StreamOutcome::Refused, &mut self.counters.refused),
            Answer::Failed | Answer::Late | Answer::DuplicateId | Answer::RepeatedId => {
                (StreamOutcome::Failed, &mut self.counters.failed)
            }
        };
        *counter += 1;
        match ended {
            StreamOutcome::Refused | StreamOutcome::Failed => {
                self.counters.refused_all += u64::from(self.refusal_period.record_rejection(now));
            }
            StreamOutcome::Served | StreamOutcome::Left => {}
        }
        self.record_end(now, stream, ended);
        let (downstream, place) = (stream.downstream, stream.place);
        self.effects.push(Effect::Answer { downstream, place, answer });
    }

    // The cluster.

    fn apply_list(&mut self, now: Micros, mut list: Cluster, form: ListForm) {
        let (first, previous_heard) = (form == ListForm::Cached, self.previous_heard);
        for listed in &mut list.nodes {
            self.start_times.correct(now, &mut listed.member, first, previous_heard);
        }
        let replaced = self.pool.replaced(&mut list.nodes);
        for id in replaced {
            if let Some(gone) = self.pool.gone_entry(id) {
                self.effects
                    .push(Effect::Note(format!("cluster: {} is gone, another has its address", gone.name)));
                list.nodes.push(gone);
            }
        }
        self.revision = Some(list.revision);
        let named = |l: &Listed| (l.member.clone(), l.name.clone());
        self.emit_node_event(|| NodeEvent::Listed {
            revision: list.revision,
            form,
            nodes: list.nodes.iter().map(named).collect(),
        });
        self.node_table.apply_list(now, &list.nodes, form != ListForm::Delta, self.settings.origin_kind);
        let lines = self.slow_starts.apply_list(now, &list.nodes, form != ListForm::Delta);
        self.effects.extend(lines.into_iter().map(Effect::Note));
        for c in self.pool.apply_list(&list.nodes, form != ListForm::Delta) {
            self.close(c);
        }
        let entries: Vec<Member> = list.nodes.into_iter().map(|l| l.member).collect();
        if form == ListForm::Full {
            // A complete list without new entries still removes the nodes it lacks; the module does that.
            self.effects.push(Effect::Note(format!("cluster: whole list, {} nodes", entries.len())));
        } else if form == ListForm::Delta && !entries.is_empty() {
            self.effects.push(Effect::Note(format!("cluster: {} changed", entries.len())));
        }
        self.events.push_back(Event::Members { form, entries });
    }
}

fn list_form(list: &Cluster) -> ListForm {
    if list.complete {
        ListForm::Full
    } else {
        ListForm::Delta
    }
}
