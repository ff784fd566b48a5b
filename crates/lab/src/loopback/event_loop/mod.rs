//! The event loop: one thread that owns the models and advances them in real time.
//!
//! It receives [`SocketEvent`]s from the stand-ins' connections, [`ClientEvent`]s from the clients and
//! [`Notice`]s about processes through bounded queues, passes them to [`World`] and carries out the resulting
//! actions. Everything that takes time (network delays, the wait before a retry) is kept in one timer queue
//! in the order of time, as in the virtual world. Split by subject: [`ports`] (listening sockets),
//! [`node_requests`] (requests to nodes and the origin, and their answers), [`discovery`], [`tries`] (the
//! clients' requests).

mod discovery;
mod node_requests;
mod ports;
mod timers;
mod tries;

use super::clients::{ClientEvent, Clients};
use super::clock::Clock;
use super::settings;
use super::socket::{LinkId, SocketEvent, QUEUE_LEN};
use crate::host::HostError;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use node_requests::{Connection, Job};
use ports::PortTable;
use std::collections::{HashMap, HashSet};
use std::iter::Peekable;
use std::net::SocketAddr;
use std::rc::Rc;
use timers::{TimerEvent, TimerQueue};
use world::clients::{Arrivals, RequestTable};
use world::facts::{Fact, NodeNo, ProxyNo, TryNo};
use world::outcome::{Latencies, Lateness, Run, SocketTryCounts};
use world::random::seed_of;
use world::world::{Occurrence, ProxyChange, World};
use world::Micros;

/// Bounds on the lateness of timers, for the 99th percentile and the maximum; beyond them a run says nothing
/// about the proxy.
pub const LATE_P99: Micros = 20_000;
pub const LATE_MAX: Micros = 1_000_000;
/// Queued events handled in a row before timers are checked.
const EVENT_BATCH: usize = 256;
/// Longest sleep of the event loop.
const MAX_SLEEP: Micros = 100_000;
/// Time after the last request for what may still come (a late answer, a cancelled attempt).
const END_GRACE: Micros = 500_000;

/// A change to a proxy process, carried out by the thread that owns the processes.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessCommand {
    pub proxy: ProxyNo,
    pub change: ProxyChange,
    /// Configuration of a process to start; empty otherwise.
    pub configuration: String,
}

/// What the thread that owns the processes tells the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// All proxies are ready: client traffic starts.
    Begin,
    /// A process is gone: it was killed, or exited after it was asked to.
    Ended { proxy: ProxyNo, planned: bool },
    /// The run is cancelled.
    Stop,
}

/// Channels between the event loop and the thread that owns the processes.
#[derive(Clone, Debug)]
pub struct Channels {
    pub process_commands: Sender<ProcessCommand>,
    pub notices: Receiver<Notice>,
}

/// State of the event loop.
pub struct EventLoop {
    clock: Clock,
    world: World,
    requests: RequestTable,
    arrivals: Peekable<Arrivals>,
    clients: Clients,
    executor: Rc<LocalExecutor<'static>>,
    queue: Sender<SocketEvent>,
    socket_events: Receiver<SocketEvent>,
    channels: Channels,
    timers: TimerQueue,
    ports: PortTable,
    links: HashMap<LinkId, Connection>,
    last_link: u64,
    jobs: HashMap<u64, Job>,
    last_job: u64,
    /// Tries that were recorded as taken by a proxy and have not ended.
    taken: HashSet<TryNo>,
    /// Whether each proxy runs, as far as the event loop knows; a connection that breaks because its proxy is
    /// down is not the proxy's fault.
    alive: Vec<bool>,
    /// Number of starts of each proxy.
    start_counts: Vec<u32>,
    /// Time up to which the models were advanced; no event reaches them with an earlier time.
    advanced_to: Micros,
    occurrences: Vec<(Micros, Occurrence)>,
    late: Latencies,
    clients_started: bool,
    ends_at: Option<Micros>,
    /// Why the run is void, if a proxy violated the protocol.
    fatal_error: Option<HostError>,
    /// Outcomes of the tries on their sockets.
    socket_tries: SocketTryCounts,
}

/// What an event loop is built from.
pub struct EventLoopParts {
    pub clock: Clock,
    pub world: World,
    pub proxies: Vec<SocketAddr>,
    pub channels: Channels,
}

impl EventLoop {
    /// Opens all ports and returns each proxy's configuration as well. Must be called on the thread that runs
    /// the loop.
    pub fn open(parts: EventLoopParts) -> Result<(EventLoop, Vec<String>), HostError> {
        let EventLoopParts { clock, world, proxies, channels } = parts;
        let system = |what: &'static str| move |source| HostError::Io { what: what.into(), source };
        let (queue, socket_events) = async_channel::bounded(QUEUE_LEN);
        let clients = Clients::start(proxies.clone(), clock.clone())
            .map_err(system("cannot start the clients' thread"))?;
        let executor = Rc::new(LocalExecutor::new());
        let mut ports =
            PortTable::new(&world, proxies).map_err(system("cannot reserve a port for discovery"))?;
        for member in world.members() {
            ports.add(&world, member.no).map_err(system("cannot reserve a port for a node"))?;
        }
        ports.add(&world, world::facts::ORIGIN).map_err(system("cannot reserve a port for the origin"))?;
        ports.apply(&world, &executor, &queue).map_err(system("cannot open a port"))?;
        let mut event_loop = EventLoop {
            requests: world.request_table(),
            arrivals: world.arrivals().peekable(),
            alive: vec![true; world.proxies().len()],
            start_counts: vec![0; world.proxies().len()],
            advanced_to: clock.now(),
            clock,
            world,
            clients,
            executor,
            queue,
            socket_events,
            channels,
            timers: TimerQueue::default(),
            ports,
            links: HashMap::new(),
            last_link: 0,
            jobs: HashMap::new(),
            last_job: 0,
            taken: HashSet::new(),
            occurrences: Vec::new(),
            late: Latencies::default(),
            clients_started: false,
            ends_at: None,
            fatal_error: None,
            socket_tries: SocketTryCounts::default(),
        };
        event_loop.timers.add(event_loop.advanced_to, TimerEvent::Heartbeat);
        let all = 0..event_loop.alive.len() as u32;
        let configurations = all.map(|p| event_loop.configuration(ProxyNo(p))).collect();
        Ok((event_loop, configurations))
    }

    /// Configuration of a proxy that starts now.
    fn configuration(&mut self, proxy: ProxyNo) -> String {
        let start_count = self.start_counts.get_mut(proxy.0 as usize).map_or(0, |start_count| {
            *start_count += 1;
            *start_count
        });
        let seed = seed_of(self.world.seed(), "proxy", u64::from(proxy.0) | u64::from(start_count) << 32);
        // The proxy learns the entries of its initial list from its configuration.
        let (_, entries) = self.world.discovery().known(proxy, None);
        for e in entries {
            self.world.observe(
                self.advanced_to,
                Fact::Listed { proxy, node: e.node, status: e.status, started: e.started },
            );
        }
        let start = settings::ProxyStart {
            proxy,
            listen: self.ports.proxy(proxy),
            discovery: self.ports.discovery(proxy),
            seed,
        };
        settings::configuration(&self.world, start, &self.known(proxy, None)).to_string()
    }

    /// Runs the loop until the run ends.
    pub fn run(mut self) -> Result<Run, HostError> {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(self.run_loop()))?;
        let late = self.lateness();
        let now = self.advanced_to.max(self.clock.now());
        Ok(Run { meetings: Some(self.socket_tries), ..self.world.finish(now, late) })
    }

    fn lateness(&self) -> Lateness {
        let (p99_us, max_us) = (self.late.quantile(0.99).unwrap_or(0), self.late.max().unwrap_or(0));
        Lateness { p99_us, max_us, void: p99_us > LATE_P99 || max_us > LATE_MAX }
    }

    async fn run_loop(&mut self) -> Result<(), HostError> {
        let (socket_events, client_events) = (self.socket_events.clone(), self.clients.events().clone());
        let notices = self.channels.notices.clone();
        enum Wakeup {
            Socket(Option<SocketEvent>),
            Client(Option<ClientEvent>),
            Notice(Option<Notice>),
            Time,
        }
        loop {
            while let Ok(event) = notices.try_recv() {
                self.handle_notice(event)?;
            }
            for _ in 0..EVENT_BATCH {
                let Ok(event) = socket_events.try_recv() else { break };
                self.handle_socket_event(event);
            }
            for _ in 0..EVENT_BATCH {
                let Ok(event) = client_events.try_recv() else { break };
                self.handle_client_event(event);
            }
            self.advance(self.clock.now())?;
            if let Some(fatal_error) = self.fatal_error.take() {
                return Err(fatal_error);
            }
            let now = self.clock.now();
            if self.ends_at.is_some_and(|at| now >= at) {
                return Ok(());
            }
            if !socket_events.is_empty() || !client_events.is_empty() {
                future::yield_now().await;
                continue;
            }
            let next = self.next().min(now + MAX_SLEEP);
            let time = async {
                Timer::at(self.clock.instant(next)).await;
                Wakeup::Time
            };
            let socket_events = async { Wakeup::Socket(socket_events.recv().await.ok()) };
            let client_events = async { Wakeup::Client(client_events.recv().await.ok()) };
            let notice = async { Wakeup::Notice(notices.recv().await.ok()) };
            match future::or(future::or(notice, socket_events), future::or(client_events, time)).await {
                Wakeup::Socket(Some(event)) => self.handle_socket_event(event),
                Wakeup::Client(Some(event)) => self.handle_client_event(event),
                Wakeup::Notice(event) => self.handle_notice(event.unwrap_or(Notice::Stop))?,
                Wakeup::Client(None) | Wakeup::Socket(None) => {
                    return Err(HostError::Unplayable(
                        "an event queue of the stand-ins closed unexpectedly".into(),
                    ));
                }
                Wakeup::Time => {}
            }
        }
    }

    fn handle_notice(&mut self, notice: Notice) -> Result<(), HostError> {
        match notice {
            Notice::Begin => {
                self.clock.advance_to(0);
                self.clients_started = true;
            }
            Notice::Ended { proxy, planned } => self.proxy_ended(proxy, planned),
            Notice::Stop => return Err(HostError::Interrupted),
        }
        Ok(())
    }

    /// Time of the next event.
    fn next(&mut self) -> Micros {
        let arrival = self.arrivals.peek().map_or(Micros::MAX, |r| r.at);
        let timers = self.timers.next().unwrap_or(Micros::MAX);
        if self.clients_started {
            arrival.min(timers).min(self.world.next())
        } else {
            timers.min(self.world.next())
        }
    }

    /// Handles everything that is due by now, in the order of time.
    fn advance(&mut self, now: Micros) -> Result<(), HostError> {
        loop {
            let at = self.next();
            if at > now {
                break;
            }
            self.advanced_to = self.advanced_to.max(at);
            self.advance_world();
            if self.timers.next().is_some_and(|due| due <= at) {
                if let Some((at, due)) = self.timers.take() {
                    self.handle_timer(at.max(self.advanced_to), due);
                }
            } else if self.clients_started {
                if let Some(request) = self.arrivals.next_if(|r| r.at <= at) {
                    let slot = self.requests.open(request, &mut self.world.recorder);
                    self.send(request.at, slot);
                }
            }
        }
        self.advanced_to = self.advanced_to.max(now);
        self.advance_world();
        self.ports.refresh(&self.world);
        if self.ports.changed() {
            self.update_paused_links();
            let applied = self.ports.apply(&self.world, &self.executor, &self.queue);
            applied.map_err(|source| HostError::Io { what: "cannot open or close a port".into(), source })?;
        }
        if self.ends_at.is_none()
            && self.clients_started
            && self.arrivals.peek().is_none()
            && self.requests.live() == 0
        {
            self.ends_at = Some(now + END_GRACE);
        }
        Ok(())
    }

    /// Advances the models to the current time of the loop and handles what happened.
    fn advance_world(&mut self) {
        let mut occurrences = std::mem::take(&mut self.occurrences);
        self.world.advance(self.advanced_to, &mut occurrences);
        self.handle_occurrences(&mut occurrences);
        self.occurrences = occurrences;
    }

    fn handle_occurrences(&mut self, occurrences: &mut Vec<(Micros, Occurrence)>) {
        for (at, occurrence) in occurrences.drain(..) {
            match occurrence {
                Occurrence::Answered { node, job, answer, work } => {
                    self.answered(at, node, job, answer, work)
                }
                Occurrence::Ended { node } => self.node_ended(node),
                Occurrence::Vanished { node } => self.node_vanished(node),
                Occurrence::Started { node } => self.node_started(node),
                Occurrence::ListUpdated(update) => self.send_to_watchers(&update),
                Occurrence::CutOver { .. } => self.end_cut(),
                Occurrence::Proxy { proxy, change } => self.change_proxy(at, proxy, change),
            }
        }
    }

    fn handle_timer(&mut self, at: Micros, due: TimerEvent) {
        match due {
            TimerEvent::CommandArrives { job } => self.arrive(at, job),
            TimerEvent::WriteAnswer { link, job, bytes, then } => self.write(link, job, bytes, then),
            TimerEvent::Disconnect { node, link } => self.world.disconnect(node, link.0),
            TimerEvent::BreakConnection { link } => self.break_link(link),
            TimerEvent::Retry(slot) => self.send(at, slot),
            TimerEvent::TryTimeout(of) => self.time_out_try(at, of),
            TimerEvent::Heartbeat => self.heartbeat(at),
        }
    }

    fn handle_socket_event(&mut self, socket_events: SocketEvent) {
        match socket_events {
            SocketEvent::Accepted { port, socket } => self.handle_accepted(port, socket),
            SocketEvent::CommandRead { link, command, first_byte_at, at } => {
                self.handle_command(link, command, first_byte_at, at)
            }
            SocketEvent::Closed { link } => self.link_ended(link),
        }
    }

    // ---- proxies

    fn change_proxy(&mut self, at: Micros, proxy: ProxyNo, change: ProxyChange) {
        let alive = self.alive.get_mut(proxy.0 as usize);
        match change {
            ProxyChange::Die => {
                // Whatever breaks from here on is caused by the crash, whoever notices it first.
                alive.into_iter().for_each(|a| *a = false);
                self.world.observe(at, Fact::ProxyEnded { proxy, planned: false });
            }
            ProxyChange::Start => alive.into_iter().for_each(|a| *a = true),
            ProxyChange::End => {}
        }
        let configuration = match change {
            ProxyChange::Start => self.configuration(proxy),
            _ => String::new(),
        };
        // Commands are few and read at once; if the other thread does not read them, it is about to end the
        // run.
        let _ = self.channels.process_commands.try_send(ProcessCommand { proxy, change, configuration });
    }

    fn proxy_ended(&mut self, proxy: ProxyNo, planned: bool) {
        if let Some(alive) = self.alive.get_mut(proxy.0 as usize).filter(|a| **a) {
            *alive = false;
            // Data that the proxy sent before it ended is still queued and is handled before its end counts.
            self.world.observe(self.advanced_to, Fact::ProxyEnded { proxy, planned });
        }
    }

    /// The address at which a proxy reaches a node, for discovery lists.
    fn address(&self, proxy: ProxyNo, node: NodeNo) -> SocketAddr {
        self.ports.address(self.world.member(node).address, proxy)
    }
}
