//! What reaches nodes and the ledger, and the ways of their answers: connections, commands, delays, and what the
//! network loses.

use super::agenda::{Due, Then};
use super::doors::Owner;
use super::Stage;
use crate::host::HostError;
use crate::loopback::settings;
use crate::loopback::socket::link::Link;
use crate::loopback::socket::speech::{self, Command, Dialect, Properties, TryId};
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

/// An answer that is owed.
#[derive(Debug)]
struct Owed {
    job: u64,
    /// It is there, and waits for those before it.
    answer: Option<(Vec<u8>, Then)>,
}

/// A connection of a proxy to a stand-in.
#[derive(Debug)]
pub struct Connection {
    pub proxy: ProxyNo,
    /// `None` for discovery.
    pub node: Option<NodeNo>,
    address: u32,
    hall: u16,
    link: Link,
    /// Commands that are not answered yet, in their order, each with its answer if that waits for one before it.
    owed: VecDeque<Owed>,
    /// Nothing overtakes: when the last command, and the last answer, arrives.
    out_at: Micros,
    in_at: Micros,
    held: bool,
    /// Something on it was lost under way: it breaks when the cut is over.
    lost: bool,
    /// It watches discovery.
    pub watches: bool,
}

/// A command at a node.
#[derive(Clone, Debug)]
pub struct Job {
    link: LinkId,
    node: NodeNo,
    what: What,
}

#[derive(Clone, Debug)]
enum What {
    Keyed { visit: NodeAttempt, key: Vec<u8>, id: Vec<u8> },
    Load,
    Ping,
}

/// A read or a write as it was said.
struct Said<'a> {
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

impl Stage {
    pub(super) fn accepted(&mut self, door: usize, socket: Async<TcpStream>) {
        let Some((owner, proxy)) = self.doors.owner(door) else { return };
        self.last_link += 1;
        let id = LinkId(self.last_link);
        let (node, dialect) = match owner {
            Owner::Discovery => (None, Dialect::Discovery),
            Owner::Node { node: ORIGIN, .. } => (Some(ORIGIN), Dialect::Ledger),
            Owner::Node { node, .. } => (Some(node), Dialect::Cache),
        };
        let (executor, clock) = (self.executor.clone(), self.clock.clone());
        let link = Link::new(id, socket, dialect, &executor, clock, self.queue.clone());
        let now = self.reached;
        let (mut address, mut hall) = (0, 0);
        if let Some(node) = node {
            (address, hall) = (self.world.member(node).address, self.world.member(node).zone);
            match self.world.connect(now, node, id.0) {
                DialOutcome::Accepted => {}
                DialOutcome::Refused => {
                    // The table is full, or the process has ended this moment.
                    self.doors.full(&self.world, node, true);
                    return link.reset();
                }
                DialOutcome::Silent => link.hold(true),
            }
        }
        // A handshake crosses the network and comes back before the first command can.
        let there = self.delay(proxy, hall).unwrap_or(0);
        let back = self.delay(proxy, hall).unwrap_or(0);
        let connection = Connection {
            proxy,
            node,
            address,
            hall,
            link,
            owed: VecDeque::new(),
            out_at: now + there + back,
            in_at: now,
            held: false,
            lost: false,
            watches: false,
        };
        self.links.insert(id, connection);
    }

    /// One way between a proxy and a hall; `None` if it is lost.
    fn delay(&mut self, proxy: ProxyNo, hall: u16) -> Option<Micros> {
        let here = self.world.proxies().get(proxy.0 as usize).copied().unwrap_or(0);
        self.world.network.between(here, hall)
    }

    /// When what leaves now arrives at the other end of a connection; `None` if it is lost.
    fn travel(&mut self, at: Micros, id: LinkId, out: bool) -> Option<Micros> {
        let link = self.links.get(&id)?;
        let (proxy, hall, lost) = (link.proxy, link.hall, link.lost);
        let delay = self.delay(proxy, hall).filter(|_| !lost);
        let link = self.links.get_mut(&id)?;
        let Some(delay) = delay else {
            link.lost = true;
            return None;
        };
        let last = if out { &mut link.out_at } else { &mut link.in_at };
        *last = (at + delay).max(*last + 1);
        Some(*last)
    }

    pub(super) fn asked(&mut self, id: LinkId, command: Command, begun: Micros, at: Micros) {
        let Some(connection) = self.links.get_mut(&id) else { return };
        let proxy = connection.proxy;
        let Some(node) = connection.node else { return self.asked_list(id, command) };
        self.last_job += 1;
        let job = self.last_job;
        connection.owed.push_back(Owed { job, answer: None });
        let dialect = if node == ORIGIN { Dialect::Ledger } else { Dialect::Cache };
        let what = match command {
            Command::Load => What::Load,
            Command::Ping => What::Ping,
            Command::Courtesy => return self.write(id, job, b"+OK\r\n".to_vec(), Then::Keep),
            Command::Unknown => {
                let bytes = answer(dialect, &What::Ping, Answer::Error);
                return self.write(id, job, bytes, Then::Keep);
            }
            Command::Keyed { key, id: name, properties, value } => {
                let said = Said { key: &key, id: &name, properties: &properties, write: value.is_some() };
                match self.visit(id, job, at, &said) {
                    Some(visit) => What::Keyed { visit, key, id: name },
                    None => return self.malformed(id, job, proxy, "a key, id or list that no client sent"),
                }
            }
            Command::Malformed(why) => return self.malformed(id, job, proxy, why),
            Command::List | Command::Watch { .. } => return self.malformed(id, job, proxy, "no command"),
        };
        if let What::Keyed { visit, .. } = &what {
            let of = visit.request.of;
            self.taken(begun, of);
            self.world.observe(begun, Fact::AttemptBegun { proxy, node, of });
            let here = self.world.proxies().get(proxy.0 as usize).copied();
            let crosses = here != Some(self.world.member(node).zone);
            let counts = self.world.recorder.work();
            counts.attempts += 1;
            counts.crossings += u64::from(crosses);
        }
        let keyed = matches!(what, What::Keyed { .. });
        self.jobs.insert(job, Job { link: id, node, what });
        if let Some(arrives) = self.travel(at, id, true) {
            self.agenda.add(arrives, Due::Arrive { job });
            if keyed && self.world.network.breaks() {
                if let Some(breaks) = self.travel(arrives, id, false) {
                    self.agenda.add(breaks, Due::Break { link: id });
                }
            }
        }
    }

    /// What the models need of a command; `None` if no client ever sent it like this.
    fn visit(&self, link: LinkId, job: u64, at: Micros, said: &Said) -> Option<NodeAttempt> {
        let Connection { proxy, node, .. } = self.links.get(&link)?;
        let (id, p) = (TryId::read(said.id)?, Properties::read(said.properties)?);
        let key = u64::from_str_radix(std::str::from_utf8(said.key).ok()?, 16).ok()?;
        let classes = &self.world.scenario().clients.classes;
        let class = classes.iter().position(|c| c.name == p.class)?;
        let words = classes.get(class)?;
        let class = ClassNo(class as u16);
        if words.write != said.write || (words.repeat == Repeat::Keyed) != p.repeat.is_some() {
            return None;
        }
        let sent = self.desk.find_recent(id.of);
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
            write: said.write,
            work: f64::from(id.work),
            bytes: u64::from(id.bytes),
            repeat: p.repeat.map(|key| (key, ms(words.window_ms))),
            expires: at + p.patience,
        };
        let after = sent.and_then(|t| t.after).filter(|_| *node == Some(ORIGIN));
        Some(NodeAttempt { proxy: *proxy, request, after })
    }

    /// Answered as the protocol says, and the run is void.
    fn malformed(&mut self, id: LinkId, job: u64, proxy: ProxyNo, why: &str) {
        self.write(id, job, b"-SYNTAX\r\n".to_vec(), Then::Finish);
        let what = format!("sent a node what no client may send: {why}");
        let name = settings::name(proxy);
        self.fault.get_or_insert(HostError::Child { name, what });
    }

    /// A whole command is at its node.
    pub(super) fn arrive(&mut self, at: Micros, job: u64) {
        let Some(Job { link, node, what, .. }) = self.jobs.get(&job) else { return };
        let (link, node) = (*link, *node);
        let mut out = std::mem::take(&mut self.occurrences);
        match what {
            What::Keyed { visit, .. } => self.world.arrive(at, node, visit, &mut out),
            What::Load | What::Ping => self.world.probe(at, node, job, link.0, &mut out),
        }
        self.carry_occurrences(&mut out);
        self.occurrences = out;
    }

    pub(super) fn answered(&mut self, at: Micros, node: NodeNo, number: u64, said: Answer, work: f64) {
        let job = self.jobs.remove(&number);
        let open = job.as_ref().and_then(|j| self.links.get(&j.link)).is_some_and(|l| !l.lost);
        let mut useful = open && said != Answer::Error;
        if let Some(Job { what: What::Keyed { visit, .. }, .. }) = &job {
            let waits = self.desk.get(visit.request.of);
            useful &= waits.is_some();
            let missed = waits.filter(|_| open).map(|t| t.missed);
            if node == ORIGIN && said == Answer::Value {
                if visit.request.write {
                    self.world.invalidate_copies(visit.request.key);
                } else if let Some(missed) = missed {
                    self.world.store_value(at, &missed, visit.request.key, visit.request.bytes);
                }
            }
            if matches!(said, Answer::Miss { .. }) {
                if let Some(t) = self.desk.get_mut(visit.request.of) {
                    t.missed_at(node);
                }
            }
        }
        if !useful && node != ORIGIN {
            self.world.recorder.work().wasted_us += work;
        }
        let Some(Job { link, what, .. }) = job else { return };
        if said == Answer::Reset {
            return self.agenda.add(at, Due::Break { link });
        }
        let dialect = if node == ORIGIN { Dialect::Ledger } else { Dialect::Cache };
        let bytes = answer(dialect, &what, said);
        let then = if said == Answer::Corrupted { Then::Finish } else { Then::Keep };
        if let Some(arrives) = self.travel(at, link, false) {
            self.agenda.add(arrives, Due::Write { link, job: number, bytes, then });
        }
    }

    /// An answer goes out, and those that waited for it.
    pub(super) fn write(&mut self, id: LinkId, job: u64, bytes: Vec<u8>, then: Then) {
        let Some(connection) = self.links.get_mut(&id) else { return };
        if let Some(owed) = connection.owed.iter_mut().find(|o| o.job == job) {
            owed.answer = Some((bytes, then));
        }
        while connection.owed.front().is_some_and(|o| o.answer.is_some()) {
            let Some((bytes, then)) = connection.owed.pop_front().and_then(|o| o.answer) else { break };
            connection.link.answer(bytes);
            if then == Then::Finish {
                connection.link.finish();
            }
        }
    }

    /// A connection is gone for the proxy: the node hears of it, and what it had asked is forgotten.
    pub(super) fn link_ended(&mut self, id: LinkId) {
        if let Some(connection) = self.drop_link(id) {
            if let Some(node) = connection.node {
                let hears = self.delay(connection.proxy, connection.hall).unwrap_or(0);
                self.agenda.add(self.reached + hears, Due::Disconnect { node, link: id });
            }
        }
    }

    /// The one place where a connection is given back.
    fn drop_link(&mut self, id: LinkId) -> Option<Connection> {
        let connection = self.links.remove(&id)?;
        for owed in &connection.owed {
            self.jobs.remove(&owed.job);
        }
        if let Some(node) = connection.node {
            self.doors.full(&self.world, node, false);
        }
        Some(connection)
    }

    /// The node's end breaks.
    pub(super) fn break_link(&mut self, id: LinkId) {
        if let Some(connection) = self.drop_link(id) {
            if let Some(node) = connection.node {
                self.world.disconnect(node, id.0);
            }
            connection.link.reset();
        }
    }

    // ---- nodes come, go and fall silent

    fn links_of(&self, wanted: impl Fn(&Connection) -> bool) -> Vec<LinkId> {
        let mut links: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| wanted(l)).map(|(id, _)| *id).collect();
        links.sort_unstable();
        links
    }

    pub(super) fn node_ended(&mut self, node: NodeNo) {
        self.doors.up(&self.world, node, false);
        for id in self.links_of(|l| l.node == Some(node)) {
            self.break_link(id);
        }
    }

    pub(super) fn node_vanished(&mut self, node: NodeNo) {
        self.doors.vanished(&self.world, node);
    }

    pub(super) fn node_started(&mut self, node: NodeNo) {
        if let Err(source) = self.doors.add(&self.world, node) {
            let what = "a port for a node".into();
            self.fault.get_or_insert(HostError::Io { what, source });
        }
    }

    /// Holds the connections that are silent now, and lets go of the others.
    pub(super) fn hold_links(&mut self) {
        for connection in self.links.values_mut() {
            let Some(node) = connection.node else { continue };
            let (proxy, hall) = (connection.proxy, connection.hall);
            let silent = self.doors.is_silent(proxy, hall, connection.address, node);
            if silent != connection.held {
                connection.held = silent;
                // One that lost something goes when the cut is over; until then it stays silent.
                connection.link.hold(silent || connection.lost);
            }
        }
    }

    /// Connections that lost something while a hall was cut off break, now that it is back.
    pub(super) fn cut_over(&mut self) {
        self.doors.watch(&self.world);
        let doors = &self.doors;
        let back = |l: &Connection| {
            l.node.is_some_and(|node| {
                l.held
                    && !doors.is_silent(l.proxy, l.hall, l.address, node)
                    && (l.lost || l.link.is_spoken_to())
            })
        };
        for id in self.links_of(back) {
            self.break_link(id);
        }
        self.hold_links();
    }
}

fn load(report: Report) -> String {
    format!("eps={:.3},util={:.4}", report.errors_per_s, report.util)
}

/// An answer as bytes.
fn answer(dialect: Dialect, what: &What, said: Answer) -> Vec<u8> {
    let mut out = Vec::new();
    if said == Answer::Corrupted {
        return b"?\x00 no answer\r\n".to_vec();
    }
    match (dialect, what, said) {
        (Dialect::Cache, What::Keyed { visit, key, id }, Answer::Value) => {
            let value = speech::value(key, id, visit.request.bytes as usize);
            speech::put_array(&mut out, [Some(&value), Some(b"hit"), None]);
        }
        (Dialect::Cache, _, Answer::Miss { pending }) => {
            let how: &[u8] = if pending { b"pending" } else { b"miss" };
            speech::put_array(&mut out, [None, Some(how), None]);
        }
        (Dialect::Cache, What::Ping, Answer::Report(_)) => out.extend_from_slice(b"+PONG\r\n"),
        (Dialect::Cache, _, Answer::Report(report)) => resp::put_bulk(&mut out, load(report).as_bytes()),
        (Dialect::Cache, _, Answer::Busy) => resp::put_error(&mut out, "BUSY"),
        (Dialect::Cache, ..) => resp::put_error(&mut out, "ERR failed"),
        (_, What::Keyed { visit, key, id }, Answer::Value) => {
            let bytes = if visit.request.write { 0 } else { visit.request.bytes as usize };
            speech::put_response(&mut out, 200, &[], &speech::value(key, id, bytes));
        }
        (_, _, Answer::Report(report)) => {
            speech::put_response(&mut out, 200, &[("Endpoint-Load-Metrics", &load(report))], b"");
        }
        (_, _, Answer::Busy) => speech::put_response(&mut out, 503, &[("X-Never-Ran", "1")], b""),
        _ => speech::put_response(&mut out, 500, &[], b""),
    }
    out
}
