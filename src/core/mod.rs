//! The proxy without sockets and without a clock: streams, upstream requests, connections as slots, timers,
//! and the [`Balancer`] that decides. Whatever speaks with downstreams or nodes hands in [`Input`]s and
//! carries out [`Effect`]s; nothing in here knows a protocol, so another one can be put in front.

mod messages;
mod pool;
mod slow_start;
mod starts;
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
use slow_start::SlowStartLog;
use starts::Starts;
use status::{ClusterStatus, Marks, Spell};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;
use tracing::debug;
use watch::Watch;
use wheel::Wheel;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct UpstreamId(u64);

impl UpstreamId {
    /// That of a stream's attempt: the stream's number, which no probe has, and the attempt's.
    fn attempt((stream, attempt): (RequestId, u8)) -> Self {
        UpstreamId(stream.0 << 8 | u64::from(attempt))
    }

    /// That of a probe, of a number of its own.
    fn probe(number: u64) -> Self {
        UpstreamId(number << 8)
    }
}

enum Due {
    Module(Token),
    /// The upstream request's time is up.
    Expired(UpstreamId),
    /// It has waited for a connection for the dial time-out, or until it may not begin any more.
    Unconnected(UpstreamId),
    Undialled(ConnectionId),
    /// A request may have waited long enough for a connection of this node that is busy.
    Dial(ServerId),
    /// A connection has waited long enough for an answer that nobody wants.
    Lingered(ConnectionId),
    /// A connection of this node that answered may carry another job.
    Settled(ServerId),
    /// A stream's downstream has given up.
    Overdue(RequestId),
    /// Idle connections are looked at.
    Sweep,
    /// The watch may have been silent for too long, by the call that opened it.
    Silent(u64),
    Rewatch,
}

struct Stream {
    downstream: DownstreamId,
    place: u64,
    class: ClassId,
    tenant: TenantId,
    taken: Micros,
    deadline: Micros,
    attempts: u8,
    /// For its record: the node that served it or was tried last, and how the read went there.
    server: Option<ServerId>,
    note: u32,
    /// An upstream request missed, or failed; and what comes of that.
    missed: bool,
    failed: bool,
    details: StreamDetails,
    message: Rc<Message>,
}

/// One attempt, or a probe (without a stream).
struct UpstreamRequest {
    stream: Option<(RequestId, u8)>,
    message: Option<Rc<Message>>,
    server: ServerId,
    sent: Micros,
    expires: Micros,
    /// Its first byte goes out before then or never.
    begin_by: Option<Micros>,
    /// Its turn while it waits for a connection.
    turn: Option<Turn>,
    /// The connection that carries it, once it has one.
    connection: Option<ConnectionId>,
}

/// A probe that takes longer than this tells that the node is stuck.
const PROBE_TIMEOUT: Micros = 400_000;
const SWEEP: Micros = 500_000;
/// How long after its downstream's patience a stream without an answer is failed here, whatever the module does.
const OVERDUE: Micros = 30_000;

pub struct Core {
    balancer: Balancer,
    settings: Settings,
    wheel: Wheel<Due>,
    streams: IdMap<RequestId, Stream>,
    by_downstream: BTreeSet<(DownstreamId, RequestId)>,
    /// The ids of open streams as downstreams gave them; none where a protocol has no ids.
    ids: HashSet<Vec<u8>>,
    upstream: IdMap<UpstreamId, UpstreamRequest>,
    pool: Pool,
    /// What is known of each node for those who watch.
    marks: Marks,
    slow_starts: SlowStartLog,
    starts: Starts,
    spell: Spell,
    /// What the module has yet to hear.
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Streams whose downstream has left, with the number of their next attempt, until the module has heard of it.
    left: BTreeMap<RequestId, u8>,
    /// What the module answers, taken out at once; kept for its room.
    actions: Vec<Action>,
    last_id: u64,
    /// The last revision told by the discovery that is watched now, or known at the start.
    revision: Option<u64>,
    watch: Watch,
    told: bool,
    /// When discovery was last heard of, and before the list that is taken over now.
    heard: Option<Micros>,
    list_heard: Option<Micros>,
    /// By when all have their answers, once the proxy ends.
    ends: Option<Micros>,
    pub counters: Counters,
    /// Somebody wants the records of streams.
    pub wants_records: bool,
    /// Somebody wants to hear what goes on at nodes.
    pub wants_node_events: bool,
}

impl Core {
    pub fn new(now: Micros, settings: Settings, seed: u64, most_connections: usize, known: Cluster) -> Self {
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), seed),
            wheel: Wheel::new(settings.period, now),
            streams: IdMap::default(),
            by_downstream: BTreeSet::new(),
            ids: HashSet::new(),
            upstream: IdMap::default(),
            pool: Pool::new(most_connections, &settings),
            marks: Marks::default(),
            slow_starts: SlowStartLog::new(settings.slow_start_duration, settings.overload_window),
            starts: Starts::new(settings.slow_start_duration),
            spell: Spell::default(),
            events: VecDeque::new(),
            effects: Vec::new(),
            left: BTreeMap::new(),
            actions: Vec::new(),
            last_id: 0,
            revision: Some(known.revision),
            watch: Watch::new(now, &settings, seed),
            told: false,
            heard: None,
            list_heard: None,
            ends: None,
            counters: Counters::default(),
            wants_records: false,
            wants_node_events: false,
            settings,
        };
        core.effects.push(Effect::Note(core.settings_line()));
        core.cluster(now, known, ListForm::Cached);
        core.wheel.insert(now + SWEEP, Due::Sweep);
        core.call(now, core.revision);
        core.settle(now);
        core
    }

    /// What the settings say of slow start and the fleet, for the log.
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

    /// When `tick` wants to be called next.
    pub fn next(&self) -> Micros {
        self.wheel.next()
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// As [`Core::take_effects`], into an empty list whose room the core has back for the next ones.
    pub fn swap_effects(&mut self, taken: &mut Vec<Effect>) {
        taken.clear();
        std::mem::swap(&mut self.effects, taken);
    }

    /// Discovery has told the list since the start.
    pub fn has_list(&self) -> bool {
        self.told
    }

    /// Nodes that are listed as ready.
    pub fn serving(&self) -> usize {
        self.pool.nodes.values().filter(|n| n.phase == Phase::Ready).count()
    }

    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    pub fn open_connections(&self) -> usize {
        self.pool.len()
    }

    /// Whose a connection is, for what is spoken there.
    pub fn node(&self, connection: ConnectionId) -> Option<(ServerId, KindId)> {
        let server = self.pool.server(connection)?;
        Some((server, self.pool.nodes.get(&server)?.kind))
    }

    /// So many connections to nodes may be open from now on; those that are stay.
    pub fn limit_connections(&mut self, most: usize) {
        self.pool.most = most;
    }

    /// Whether a downstream has a stream without its answer.
    pub fn busy(&self, downstream: DownstreamId) -> bool {
        self.open_streams_of(downstream) > 0
    }

    /// How many streams without their answer a downstream has.
    pub fn open_streams_of(&self, downstream: DownstreamId) -> usize {
        let from = (downstream, RequestId(0));
        self.by_downstream.range(from..).take_while(|(d, _)| *d == downstream).count()
    }

    /// What there is to see now.
    pub fn status(&self, now: Micros) -> ClusterStatus {
        let sights = self.balancer.server_statuses(now).map(|s| (s.server, s)).collect();
        let origin = self.balancer.origin_status(now);
        self.marks.status(&sights, origin, &self.pool.held(), self.revision)
    }

    pub fn input(&mut self, now: Micros, input: Input) {
        match input {
            Input::Plan(plan) => self.events.push_back(Event::Plan(plan)),
            Input::Stream(ask) => self.ask(now, ask),
            Input::DownstreamClosed(id) => {
                let mine = self.by_downstream.range((id, RequestId(0))..).take_while(|(d, _)| *d == id);
                let mine: Vec<RequestId> = mine.map(|(_, s)| *s).collect();
                // All of them before what they give back: no place that gets free is for another of them.
                self.events.extend(mine.iter().map(|s| Event::ClientLeft(*s)));
                for id in mine {
                    self.counters.left += 1;
                    self.counters.left_unsent += u64::from(!self.is_out(id));
                    let Some(stream) = self.end_stream(now, id) else { continue };
                    self.left.insert(id, stream.attempts);
                    self.record(now, &stream, StreamOutcome::Left);
                }
            }
            Input::Connected(c) => {
                if let Some(server) = self.pool.connected(c, now) {
                    self.free(now, server, c);
                }
            }
            Input::Broken(c, stage) => self.broken(now, c, stage),
            Input::Withdrawn(c, stage) => self.withdrawn(now, c, stage),
            Input::Replied(c, reply) => self.replied(now, c, reply),
            Input::Cluster(list) => {
                self.list_heard = self.heard.replace(now);
                self.watch.heard(now);
                self.marks.heard(now, list.is_some());
                if let Some(list) = list {
                    self.told = true;
                    self.counters.lists += 1;
                    let form = form(&list);
                    self.cluster(now, list, form);
                }
            }
            Input::PreviousWatch(list) => {
                // Told all the same; but its revision may be another discovery's, and it is no sign of life.
                self.counters.lists += 1;
                let (form, revision) = (form(&list), self.revision);
                self.cluster(now, list, form);
                self.revision = revision;
            }
            Input::WatchEnded => {
                self.counters.watches_ended += 1;
                if self.settings.must_subscribe {
                    self.events.push_back(Event::Members { form: ListForm::Failed, entries: Vec::new() });
                }
                self.rewatch(now);
            }
            Input::DiscoveryMoved => {
                // The new one counts its revisions for itself, so the whole list is asked for.
                self.watch.moved(now);
                self.revision = None;
                self.call(now, None);
            }
            Input::ShutdownBy(at) => self.end_by(now, at),
        }
        self.settle(now);
    }

    /// Carries out the timers that are due.
    pub fn tick(&mut self, now: Micros) {
        for due in self.wheel.due(now) {
            match due {
                Due::Module(token) => self.events.push_back(Event::Timer(token)),
                Due::Expired(id) => self.expired(now, id),
                Due::Unconnected(id) => {
                    if let Some(u) = self.upstream.get(&id).filter(|u| u.connection.is_none()) {
                        let past = self.is_past(now, u.begin_by);
                        self.counters.unconnected += u64::from(!past);
                        let verdict = if past { Verdict::Moot } else { Verdict::ConnectFailed };
                        self.end(now, id, verdict, None);
                    }
                }
                Due::Dial(server) => match self.pool.lacking(server) {
                    Some(_) if self.pool.is_ready(server) => self.dial(now, server),
                    Some(id) => self.end(now, id, Verdict::ConnectFailed, None),
                    None => {}
                },
                Due::Undialled(c) => self.undialled(now, c),
                Due::Lingered(c) => {
                    if self.pool.has_lingered(c, now) {
                        self.close(c);
                    }
                }
                Due::Settled(server) => {
                    while self.pool.is_awaited(server) {
                        let Some(c) = self.take(now, server) else { break };
                        self.free(now, server, c);
                    }
                }
                Due::Overdue(id) => {
                    if self.streams.contains_key(&id) {
                        // The module has an answer to every time-out; should it ever owe one, a downstream
                        // must not wait for it.
                        self.counters.overdue += 1;
                        self.effects.push(Effect::Note(format!("stream {} was overdue: failed", id.0)));
                        self.answer(now, id, Answer::Late);
                        self.events.push_back(Event::ClientLeft(id));
                    }
                }
                Due::Sweep => {
                    for c in self.pool.stale(now) {
                        self.close(c);
                    }
                    self.marks.forget(now);
                    self.starts.retain(|id| self.marks.is_known(*id));
                    let lines = self.slow_starts.sweep(now);
                    self.effects.extend(lines.into_iter().map(Effect::Note));
                    self.wheel.insert(now + SWEEP, Due::Sweep);
                }
                Due::Silent(call) => {
                    // That of an earlier call: the present one has its own.
                    if call == self.counters.calls {
                        if self.watch.is_silent(now) {
                            if !self.watch.fails() {
                                self.effects.push(Effect::Note("discovery is silent: watching anew".into()));
                            }
                            self.rewatch(now);
                        }
                        self.wheel.insert(self.watch.look(now), Due::Silent(call));
                    }
                }
                Due::Rewatch => {
                    if self.watch.due(now) {
                        self.call(now, self.revision);
                    }
                }
            }
            self.settle(now);
        }
    }

    /// Calls discovery: the one place where that is counted.
    fn call(&mut self, now: Micros, after: Option<u64>) {
        self.counters.calls += 1;
        self.wheel.insert(self.watch.look(now), Due::Silent(self.counters.calls));
        self.effects.push(Effect::Watch { after });
    }

    /// The watch has ended, or says nothing more: discovery is called again in a while.
    fn rewatch(&mut self, now: Micros) {
        let at = self.watch.ended(now);
        self.wheel.insert(at, Due::Rewatch);
    }

    fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Tells the module all that happened and carries out what it answers.
    fn settle(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.actions = actions;
        self.left.clear();
    }

    fn act(&mut self, now: Micros, action: Action) {
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
                // What is left by then is a tick: no attempt could still go out in it.
                let period = self.settings.period;
                let late = self.streams.get(&request).is_some_and(|s| s.deadline - now <= period);
                self.answer(now, request, if late { Answer::Late } else { Answer::Failed });
            }
            Action::Timer { after, token } => {
                self.wheel.insert(now + after.max(1), Due::Module(token));
            }
            Action::Probe { server } => {
                self.counters.probes += 1;
                self.launch(now, None, None, server, now + PROBE_TIMEOUT, None);
            }
            Action::Release { server } => self.close_idle(server),
            Action::List => {
                self.watch.called(now);
                self.call(now, None);
            }
            // Sockets always watch; a module that asks again has heard that the watch ended.
            Action::Subscribe => {}
        }
    }

    // ---- streams

    fn ask(&mut self, now: Micros, ask: NewStream) {
        let id = RequestId(self.id());
        self.counters.taken += 1;
        let patience = self.ends.map_or(ask.patience, |at| ask.patience.min(at - now));
        // A tick early: timers are coarse, and the answer has a way to go.
        let deadline = now + (patience - self.settings.period).max(0);
        let write = ask.message.value.is_some();
        self.see(|| NodeEvent::StreamTaken { class: ask.class, tenant: ask.tenant, write });
        let (downstream, place, message) = (ask.downstream, ask.place, ask.message);
        let stream = Stream {
            downstream,
            place,
            class: ask.class,
            tenant: ask.tenant,
            taken: now,
            deadline,
            attempts: 0,
            server: None,
            note: 0,
            missed: false,
            failed: false,
            details: StreamDetails::default(),
            message: message.clone(),
        };
        // A node would take the second for a repeat, and one's answer could come to the other.
        if self.ids.contains(&message.id) {
            return self.reply(now, &stream, Answer::DuplicateId);
        }
        if self.streams.len() >= self.settings.max_open as usize {
            let full = StreamDetails { refused: Some(Refusal::Full), ..StreamDetails::default() };
            let stream = Stream { details: full, ..stream };
            return self.reply(now, &stream, Answer::Busy(self.settings.max_retry_after));
        }
        if !message.id.is_empty() {
            self.ids.insert(message.id.clone());
        }
        self.streams.insert(id, stream);
        self.by_downstream.insert((downstream, id));
        self.wheel.insert(now + patience.max(0) + OVERDUE, Due::Overdue(id));
        self.events.push_back(Event::Request(Request {
            id,
            class: ask.class,
            tenant: ask.tenant,
            key: ask.key,
            write,
            repeat: ask.repeat,
            deadline,
            hint: ask.hint,
        }));
    }

    /// Gives all that is open no more time than till then, and what comes later neither.
    fn end_by(&mut self, now: Micros, at: Micros) {
        self.ends = Some(at);
        let deadline = (at - self.settings.period).max(now);
        let mut late: Vec<RequestId> =
            self.streams.iter().filter(|(_, s)| s.deadline > deadline).map(|(id, _)| *id).collect();
        // In the order in which they were taken: that of the table differs from one process to the next.
        late.sort_unstable();
        for id in late {
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            stream.deadline = deadline;
            for attempt in 0..stream.attempts {
                let id = UpstreamId::attempt((id, attempt));
                if let Some(u) = self.upstream.get_mut(&id).filter(|u| u.expires > deadline) {
                    u.expires = deadline;
                    self.wheel.insert(deadline, Due::Expired(id));
                }
            }
            self.wheel.insert(at + OVERDUE, Due::Overdue(id));
            self.events.push_back(Event::Sooner(id, deadline));
        }
    }

    /// Tells what goes on at nodes to whoever watches.
    fn see(&mut self, seen: impl FnOnce() -> NodeEvent) {
        if self.wants_node_events {
            self.effects.push(Effect::NodeEvent(seen()));
        }
    }

    fn load(&self, report: &[f32]) -> Option<f32> {
        let at = self.settings.columns.iter().position(|c| *c == Column::Utilisation)?;
        report.get(at).copied()
    }

    /// The one place where a stream is given back, and with it each of its attempts of which the last byte is not out:
    /// nobody waits for it. Whether an attempt may be cancelled is another matter: that is of work already sent.
    fn end_stream(&mut self, now: Micros, id: RequestId) -> Option<Stream> {
        let stream = self.streams.remove(&id)?;
        self.by_downstream.remove(&(stream.downstream, id));
        self.ids.remove(&stream.message.id);
        for attempt in (0..stream.attempts).map(|n| UpstreamId::attempt((id, n))) {
            let Some(u) = self.upstream.get(&attempt) else { continue };
            match u.connection {
                Some(connection) => self.effects.push(Effect::Withdraw { connection }),
                None => self.end(now, attempt, Verdict::Moot, None),
            }
        }
        Some(stream)
    }

    /// Whether an attempt of a stream has a connection.
    fn is_out(&self, id: RequestId) -> bool {
        let mut attempts = (0..self.streams.get(&id).map_or(0, |s| s.attempts)).map(|n| (id, n));
        attempts.any(|a| self.upstream.get(&UpstreamId::attempt(a)).is_some_and(|u| u.connection.is_some()))
    }

    /// Whether anybody waits for an upstream request: the stream of an attempt is open.
    fn is_wanted(&self, u: &UpstreamRequest) -> bool {
        u.stream.is_none_or(|(stream, _)| self.streams.contains_key(&stream))
    }

    fn answer(&mut self, now: Micros, id: RequestId, answer: Answer) {
        if let Some(stream) = self.end_stream(now, id) {
            self.reply(now, &stream, answer);
        }
    }

    /// Counts why a stream was refused, if it was, and tells of its end whoever listens.
    fn record(&mut self, now: Micros, stream: &Stream, ended: StreamOutcome) {
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

    /// Why a stream was refused, if it was.
    fn refusal(&self, stream: &Stream, ended: StreamOutcome) -> Option<Refusal> {
        let write = stream.message.value.is_some() && self.settings.origin_kind.is_some();
        // A read may get there without a miss, where its nodes are full.
        let asked = stream.missed || stream.server.is_some_and(|s| self.marks.is_origin(s));
        let why = match stream.attempts {
            _ if write || asked => Refusal::Origin,
            0 => Refusal::NotSent,
            _ => Refusal::Attempts,
        };
        (ended == StreamOutcome::Refused).then(|| stream.details.refused.unwrap_or(why))
    }

    /// A final answer on its way to its downstream, counted.
    fn reply(&mut self, now: Micros, stream: &Stream, answer: Answer) {
        let (ended, counter) = match answer {
            Answer::Value(_) | Answer::Absent => (StreamOutcome::Served, &mut self.counters.served),
            Answer::Busy(_) => (StreamOutcome::Refused, &mut self.counters.refused),
            Answer::Failed | Answer::Late | Answer::DuplicateId => {
                (StreamOutcome::Failed, &mut self.counters.failed)
            }
        };
        *counter += 1;
        match ended {
            StreamOutcome::Refused | StreamOutcome::Failed => {
                self.counters.refused_all += u64::from(self.spell.turned_away(now));
            }
            StreamOutcome::Served | StreamOutcome::Left => {}
        }
        self.record(now, stream, ended);
        let (downstream, place) = (stream.downstream, stream.place);
        self.effects.push(Effect::Answer { downstream, place, answer });
    }

    // ---- the cluster

    fn cluster(&mut self, now: Micros, mut list: Cluster, form: ListForm) {
        let (first, heard) = (form == ListForm::Cached, self.list_heard);
        for listed in &mut list.nodes {
            self.starts.correct(now, &mut listed.member, first, heard);
        }
        self.revision = Some(list.revision);
        let named = |l: &Listed| (l.member.clone(), l.name.clone());
        self.see(|| NodeEvent::Listed {
            revision: list.revision,
            form,
            nodes: list.nodes.iter().map(named).collect(),
        });
        self.marks.listed(now, &list.nodes, form != ListForm::Delta, self.settings.origin_kind);
        let lines = self.slow_starts.listed(now, &list.nodes, form != ListForm::Delta);
        self.effects.extend(lines.into_iter().map(Effect::Note));
        for c in self.pool.listed(&list.nodes, form != ListForm::Delta) {
            self.close(c);
        }
        let entries: Vec<Member> = list.nodes.into_iter().map(|l| l.member).collect();
        if form == ListForm::Full {
            // A whole list that names nothing new still removes what it lacks: the module does that.
            self.effects.push(Effect::Note(format!("cluster: whole list, {} nodes", entries.len())));
        } else if form == ListForm::Delta && !entries.is_empty() {
            self.effects.push(Effect::Note(format!("cluster: {} changed", entries.len())));
        }
        self.events.push_back(Event::Members { form, entries });
    }
}

fn form(list: &Cluster) -> ListForm {
    if list.complete {
        ListForm::Full
    } else {
        ListForm::Delta
    }
}
