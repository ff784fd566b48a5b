//! Requests to nodes and the origin, and their answers: connections, commands, network delays, and what the
//! network loses.

use super::ports::Owner;
use super::timers::{AfterWrite, TimerEvent};
use super::EventLoop;
use crate::host::HostError;
use crate::loopback::settings;
use crate::loopback::socket::link::Link;
use crate::loopback::socket::wire::{self, Command, Dialect, Properties, TryId};
use crate::loopback::socket::LinkId;
use async_io::Async;
use martenweir::codec::resp;
use std::collections::VecDeque;
use std::net::TcpStream;
use world::facts::{ClassNo, Fact, NodeNo, ProxyNo, ORIGIN};
use world::node::{Answer, DialOutcome, NodeRequest, Report};
use world::random::ms;
use world::scenario::Repeat;
use world::world::NodeAttempt;
use world::Micros;

/// A command whose answer has not been written.
#[derive(Debug)]
struct PendingAnswer {
    job: u64,
    /// Set when the answer is ready and waits for earlier answers on the connection.
    answer: Option<(Vec<u8>, AfterWrite)>,
}

/// A connection from a proxy to a stand-in.
#[derive(Debug)]
pub struct Connection {
    pub proxy: ProxyNo,
    /// `None` for discovery.
    pub node: Option<NodeNo>,
    address: u32,
    zone: u16,
    link: Link,
    /// Unanswered commands in the order of arrival; an answer that is ready waits here for earlier ones.
    pending: VecDeque<PendingAnswer>,
    /// Arrival times of the last command and the last answer: nothing on a connection overtakes them.
    out_at: Micros,
    in_at: Micros,
    paused: bool,
    /// Something was lost on the connection: it breaks when the network cut ends.
    lost: bool,
    /// Whether it watches discovery.
    pub watches: bool,
}

/// A command at a node.
#[derive(Clone, Debug)]
pub struct Job {
    link: LinkId,
    node: NodeNo,
    kind: JobKind,
}

#[derive(Clone, Debug)]
enum JobKind {
    Keyed { attempt: NodeAttempt, key: Vec<u8>, id: Vec<u8> },
    Load,
    Ping,
}

/// The fields of a read or a write command.
struct KeyedCommand<'a> {
    key: &'a [u8],
    id: &'a [u8],
    properties: &'a [u8],
    write: bool,
}

impl Connection {
    pub fn link(&self) -> &Link {
        &self.link
    }
}

impl EventLoop {
    pub(super) fn handle_accepted(&mut self, port: usize, socket: Async<TcpStream>) {
        let Some((owner, proxy)) = self.ports.owner(port) else { return };
        self.last_link += 1;
        let id = LinkId(self.last_link);
        let (node, dialect) = match owner {
            Owner::Discovery => (None, Dialect::Discovery),
            Owner::Node { node: ORIGIN, .. } => (Some(ORIGIN), Dialect::Origin),
            Owner::Node { node, .. } => (Some(node), Dialect::Cache),
        };
        let (executor, clock) = (self.executor.clone(), self.clock.clone());
        let link = Link::new(id, socket, dialect, &executor, clock, self.queue.clone());
        let now = self.advanced_to;
        let (mut address, mut zone) = (0, 0);
        if let Some(node) = node {
            (address, zone) = (self.world.member(node).address, self.world.member(node).zone);
            match self.world.connect(now, node, id.0) {
                DialOutcome::Accepted => {}
                DialOutcome::Refused => {
                    // The node's connection table is full, or its process has just ended.
                    self.ports.set_full(&self.world, node, true);
                    return link.reset();
                }
                DialOutcome::Silent => link.set_paused(true),
            }
        }
        // The handshake takes one round trip before the first command can leave.
        let outbound = self.delay(proxy, zone).unwrap_or(0);
        let back = self.delay(proxy, zone).unwrap_or(0);
        let connection = Connection {
            proxy,
            node,
            address,
            zone,
            link,
            pending: VecDeque::new(),
            out_at: now + outbound + back,
            in_at: now,
            paused: false,
            lost: false,
            watches: false,
        };
        self.links.insert(id, connection);
    }

    /// One-way delay between a proxy and a zone; `None` if the packet is lost.
    fn delay(&mut self, proxy: ProxyNo, zone: u16) -> Option<Micros> {
        let here = self.world.proxies().get(proxy.0 as usize).copied().unwrap_or(0);
        self.world.network.between(here, zone)
    }

    /// When data that leaves now arrives at the other end of a connection; `None` if it is lost.
    fn travel(&mut self, at: Micros, id: LinkId, out: bool) -> Option<Micros> {
        let link = self.links.get(&id)?;
        let (proxy, zone, lost) = (link.proxy, link.zone, link.lost);
        let delay = self.delay(proxy, zone).filter(|_| !lost);
        let link = self.links.get_mut(&id)?;
        let Some(delay) = delay else {
            link.lost = true;
            return None;
        };
        let last = if out { &mut link.out_at } else { &mut link.in_at };
        *last = (at + delay).max(*last + 1);
        Some(*last)
    }

    pub(super) fn handle_command(&mut self, id: LinkId, command: Command, first_byte_at: Micros, at: Micros) {
        let Some(connection) = self.links.get_mut(&id) else { return };
        let proxy = connection.proxy;
        let Some(node) = connection.node else { return self.handle_discovery_command(id, command) };
        self.last_job += 1;
        let job = self.last_job;
        connection.pending.push_back(PendingAnswer { job, answer: None });
        let dialect = if node == ORIGIN { Dialect::Origin } else { Dialect::Cache };
        let kind = match command {
            Command::Load => JobKind::Load,
            Command::Ping => JobKind::Ping,
            Command::ClientSetup => return self.write(id, job, b"+OK\r\n".to_vec(), AfterWrite::KeepOpen),
            Command::Unknown => {
                let bytes = answer(dialect, &JobKind::Ping, Answer::Error);
                return self.write(id, job, bytes, AfterWrite::KeepOpen);
            }
            Command::Keyed { key, id: name, properties, value } => {
                let keyed_command =
                    KeyedCommand { key: &key, id: &name, properties: &properties, write: value.is_some() };
                match self.node_attempt(id, job, at, &keyed_command) {
                    Some(attempt) => JobKind::Keyed { attempt, key, id: name },
                    None => {
                        return self.malformed(
                            id,
                            job,
                            proxy,
                            "a key, id or property list that no client sent",
                        )
                    }
                }
            }
            Command::Malformed(why) => return self.malformed(id, job, proxy, why),
            Command::List | Command::Watch { .. } => {
                return self.malformed(id, job, proxy, "a discovery request")
            }
        };
        if let JobKind::Keyed { attempt, .. } = &kind {
            let of = attempt.request.of;
            self.taken(first_byte_at, of);
            self.world.observe(first_byte_at, Fact::AttemptBegun { proxy, node, of });
            let here = self.world.proxies().get(proxy.0 as usize).copied();
            let crosses = here != Some(self.world.member(node).zone);
            let counts = self.world.recorder.work();
            counts.attempts += 1;
            counts.crossings += u64::from(crosses);
        }
        let keyed = matches!(kind, JobKind::Keyed { .. });
        self.jobs.insert(job, Job { link: id, node, kind });
        if let Some(arrives) = self.travel(at, id, true) {
            self.timers.add(arrives, TimerEvent::CommandArrives { job });
            if keyed && self.world.network.breaks() {
                if let Some(breaks) = self.travel(arrives, id, false) {
                    self.timers.add(breaks, TimerEvent::BreakConnection { link: id });
                }
            }
        }
    }

    /// The models' view of a command; `None` if no client sent such a command.
    fn node_attempt(
        &self,
        link: LinkId,
        job: u64,
        at: Micros,
        keyed_command: &KeyedCommand,
    ) -> Option<NodeAttempt> {
        let Connection { proxy, node, .. } = self.links.get(&link)?;
        let (id, p) = (TryId::read(keyed_command.id)?, Properties::read(keyed_command.properties)?);
        let key = u64::from_str_radix(std::str::from_utf8(keyed_command.key).ok()?, 16).ok()?;
        let classes = &self.world.scenario().clients.classes;
        let class = classes.iter().position(|c| c.name == p.class)?;
        let class_config = classes.get(class)?;
        let class = ClassNo(class as u16);
        if class_config.write != keyed_command.write
            || (class_config.repeat == Repeat::Keyed) != p.repeat.is_some()
        {
            return None;
        }
        let sent = self.requests.find_recent(id.of);
        if let Some(r) = sent.map(|t| &t.request) {
            let repeat = p.repeat.is_none_or(|key| key == r.repeat_key());
            if (r.key, r.class) != (key, class) || !repeat {
                return None;
            }
        }
        let request = NodeRequest {
            job,
            connection: link.0,
            of: id.of,
            class,
            key,
            write: keyed_command.write,
            work: f64::from(id.work),
            bytes: u64::from(id.bytes),
            repeat: p.repeat.map(|key| (key, ms(class_config.window_ms))),
            expires: at + p.patience,
        };
        let after = sent.and_then(|t| t.after).filter(|_| *node == Some(ORIGIN));
        Some(NodeAttempt { proxy: *proxy, request, after })
    }

    /// Answers with an error as the protocol requires, and makes the run void.
    fn malformed(&mut self, id: LinkId, job: u64, proxy: ProxyNo, why: &str) {
        self.write(id, job, b"-SYNTAX\r\n".to_vec(), AfterWrite::Close);
        let what = format!("sent a malformed command to a node: {why}");
        let name = settings::name(proxy);
        self.fatal_error.get_or_insert(HostError::Child { name, what });
    }

    /// A complete command arrives at its node.
    pub(super) fn arrive(&mut self, at: Micros, job: u64) {
        let Some(Job { link, node, kind, .. }) = self.jobs.get(&job) else { return };
        let (link, node) = (*link, *node);
        let mut out = std::mem::take(&mut self.occurrences);
        match kind {
            JobKind::Keyed { attempt, .. } => self.world.arrive(at, node, attempt, &mut out),
            JobKind::Load | JobKind::Ping => self.world.probe(at, node, job, link.0, &mut out),
        }
        self.handle_occurrences(&mut out);
        self.occurrences = out;
    }

    pub(super) fn answered(&mut self, at: Micros, node: NodeNo, number: u64, reply: Answer, work: f64) {
        let job = self.jobs.remove(&number);
        let open = job.as_ref().and_then(|j| self.links.get(&j.link)).is_some_and(|l| !l.lost);
        let mut useful = open && reply != Answer::Error;
        if let Some(Job { kind: JobKind::Keyed { attempt, .. }, .. }) = &job {
            let waits = self.requests.get(attempt.request.of);
            useful &= waits.is_some();
            let missed = waits.filter(|_| open).map(|t| t.missed);
            if node == ORIGIN && reply == Answer::Value {
                if attempt.request.write {
                    self.world.invalidate_copies(attempt.request.key);
                } else if let Some(missed) = missed {
                    self.world.store_value(at, &missed, attempt.request.key, attempt.request.bytes);
                }
            }
            if matches!(reply, Answer::Miss { .. }) {
                if let Some(t) = self.requests.get_mut(attempt.request.of) {
                    t.missed_at(node);
                }
            }
        }
        if !useful && node != ORIGIN {
            self.world.recorder.work().wasted_us += work;
        }
        let Some(Job { link, kind, .. }) = job else { return };
        if reply == Answer::Reset {
            return self.timers.add(at, TimerEvent::BreakConnection { link });
        }
        let dialect = if node == ORIGIN { Dialect::Origin } else { Dialect::Cache };
        let bytes = answer(dialect, &kind, reply);
        let then = if reply == Answer::Corrupted { AfterWrite::Close } else { AfterWrite::KeepOpen };
        if let Some(arrives) = self.travel(at, link, false) {
            self.timers.add(arrives, TimerEvent::WriteAnswer { link, job: number, bytes, then });
        }
    }

    /// Writes an answer, and later answers that waited for it.
    pub(super) fn write(&mut self, id: LinkId, job: u64, bytes: Vec<u8>, then: AfterWrite) {
        let Some(connection) = self.links.get_mut(&id) else { return };
        if let Some(pending) = connection.pending.iter_mut().find(|o| o.job == job) {
            pending.answer = Some((bytes, then));
        }
        while connection.pending.front().is_some_and(|o| o.answer.is_some()) {
            let Some((bytes, then)) = connection.pending.pop_front().and_then(|o| o.answer) else { break };
            connection.link.answer(bytes);
            if then == AfterWrite::Close {
                connection.link.finish();
            }
        }
    }

    /// The proxy's end of a connection closed: the node is told, and pending commands are dropped.
    pub(super) fn link_ended(&mut self, id: LinkId) {
        if let Some(connection) = self.drop_link(id) {
            if let Some(node) = connection.node {
                let hears = self.delay(connection.proxy, connection.zone).unwrap_or(0);
                self.timers.add(self.advanced_to + hears, TimerEvent::Disconnect { node, link: id });
            }
        }
    }

    /// Releases a connection; no other code does.
    fn drop_link(&mut self, id: LinkId) -> Option<Connection> {
        let connection = self.links.remove(&id)?;
        for pending in &connection.pending {
            self.jobs.remove(&pending.job);
        }
        if let Some(node) = connection.node {
            self.ports.set_full(&self.world, node, false);
        }
        Some(connection)
    }

    /// The node's end of a connection breaks.
    pub(super) fn break_link(&mut self, id: LinkId) {
        if let Some(connection) = self.drop_link(id) {
            if let Some(node) = connection.node {
                self.world.disconnect(node, id.0);
            }
            connection.link.reset();
        }
    }

    // ---- node lifecycle and reachability

    fn links_of(&self, wanted: impl Fn(&Connection) -> bool) -> Vec<LinkId> {
        let mut links: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| wanted(l)).map(|(id, _)| *id).collect();
        links.sort_unstable();
        links
    }

    pub(super) fn node_ended(&mut self, node: NodeNo) {
        self.ports.set_up(&self.world, node, false);
        for id in self.links_of(|l| l.node == Some(node)) {
            self.break_link(id);
        }
    }

    pub(super) fn node_vanished(&mut self, node: NodeNo) {
        self.ports.set_vanished(&self.world, node);
    }

    pub(super) fn node_started(&mut self, node: NodeNo) {
        if let Err(source) = self.ports.add(&self.world, node) {
            let what = "cannot reserve a port for a node".into();
            self.fatal_error.get_or_insert(HostError::Io { what, source });
        }
    }

    /// Pauses the connections that are silent now and resumes the others.
    pub(super) fn update_paused_links(&mut self) {
        for connection in self.links.values_mut() {
            let Some(node) = connection.node else { continue };
            let (proxy, zone) = (connection.proxy, connection.zone);
            let silent = self.ports.is_silent(proxy, zone, connection.address, node);
            if silent != connection.paused {
                connection.paused = silent;
                // A connection that lost data stays silent until the cut ends and it is broken.
                connection.link.set_paused(silent || connection.lost);
            }
        }
    }

    /// Breaks the connections that lost data while a zone was cut off, now that it is reachable again.
    pub(super) fn end_cut(&mut self) {
        self.ports.refresh(&self.world);
        let ports = &self.ports;
        let back = |l: &Connection| {
            l.node.is_some_and(|node| {
                l.paused
                    && !ports.is_silent(l.proxy, l.zone, l.address, node)
                    && (l.lost || l.link.has_unread_input())
            })
        };
        for id in self.links_of(back) {
            self.break_link(id);
        }
        self.update_paused_links();
    }
}

fn load(report: Report) -> String {
    format!("eps={:.3},util={:.4}", report.errors_per_s, report.util)
}

/// Encodes an answer.
fn answer(dialect: Dialect, kind: &JobKind, reply: Answer) -> Vec<u8> {
    let mut out = Vec::new();
    if reply == Answer::Corrupted {
        return b"?\x00 no answer\r\n".to_vec();
    }
    match (dialect, kind, reply) {
        (Dialect::Cache, JobKind::Keyed { attempt, key, id }, Answer::Value) => {
            let value = wire::value(key, id, attempt.request.bytes as usize);
            wire::put_array(&mut out, [Some(&value), Some(b"hit"), None]);
        }
        (Dialect::Cache, _, Answer::Miss { pending }) => {
            let how: &[u8] = if pending { b"pending" } else { b"miss" };
            wire::put_array(&mut out, [None, Some(how), None]);
        }
        (Dialect::Cache, JobKind::Ping, Answer::Report(_)) => out.extend_from_slice(b"+PONG\r\n"),
        (Dialect::Cache, _, Answer::Report(report)) => resp::put_bulk(&mut out, load(report).as_bytes()),
        (Dialect::Cache, _, Answer::Busy) => resp::put_error(&mut out, "BUSY"),
        (Dialect::Cache, ..) => resp::put_error(&mut out, "ERR failed"),
        (_, JobKind::Keyed { attempt, key, id }, Answer::Value) => {
            let bytes = if attempt.request.write { 0 } else { attempt.request.bytes as usize };
            wire::put_response(&mut out, 200, &[], &wire::value(key, id, bytes));
        }
        (_, _, Answer::Report(report)) => {
            wire::put_response(&mut out, 200, &[("Endpoint-Load-Metrics", &load(report))], b"");
        }
        (_, _, Answer::Busy) => wire::put_response(&mut out, 503, &[("X-Never-Ran", "1")], b""),
        _ => wire::put_response(&mut out, 500, &[], b""),
    }
    out
}
