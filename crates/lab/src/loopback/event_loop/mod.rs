//! The owner of the world: one thread that holds the models and moves them along in real time.
//!
//! Sockets tell it what happened through bounded queues ([`SocketEvent`] from the stand-ins' links, [`ClientEvent`] from the
//! clients, [`Notice`]s about processes); it hands that to [`World`] and carries out what comes back. All that takes
//! time on the way (the network's delays, a retry's wait) is on one agenda here, in the order of time, as in the
//! virtual world. Split by what it deals with: [`ports`] (who listens where), [`node_requests`] (what reaches nodes and
//! the ledger, and their answers), [`discovery`] (discovery), [`tries`] (the clients' requests).

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

/// How late what is due may be, in its 99th percentile and at most, before a run says nothing about the proxy.
pub const LATE_P99: Micros = 20_000;
pub const LATE_MAX: Micros = 1_000_000;
/// Heard things that are taken in a row before what is due has its turn.
const EVENT_BATCH: usize = 256;
/// The owner looks round at least this often.
const MAX_SLEEP: Micros = 100_000;
/// After the last request is over, for what still comes (an answer that is too late, a cancelled attempt).
const END_GRACE: Micros = 500_000;

/// What the owner has done about the proxies' processes, which belong to another thread.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessCommand {
    pub proxy: ProxyNo,
    pub change: ProxyChange,
    /// Of one that is to start.
    pub configuration: String,
}

/// What the processes' thread tells the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// All proxies are ready: clients begin to come.
    Begin,
    /// A process is gone: by itself once it was told to end, or killed.
    Ended { proxy: ProxyNo, planned: bool },
    /// Nobody wants the run any more.
    Stop,
}

/// How the owner is reached from outside.
#[derive(Clone, Debug)]
pub struct Channels {
    pub process_commands: Sender<ProcessCommand>,
    pub notices: Receiver<Notice>,
}

/// The owner's state.
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
    /// Tries that were told as taken and have not ended.
    taken: HashSet<TryNo>,
    /// Whether each proxy runs, as far as the owner knows: what breaks with one that does not is no fault of its.
    alive: Vec<bool>,
    /// How often each was started.
    start_counts: Vec<u32>,
    /// Up to when the models were moved along; nothing reaches them earlier.
    advanced_to: Micros,
    occurrences: Vec<(Micros, Occurrence)>,
    late: Latencies,
    clients_started: bool,
    ends_at: Option<Micros>,
    /// Why the run is void, if a proxy has said what nobody may say.
    fatal_error: Option<HostError>,
    /// What came of the tries on their sockets.
    socket_tries: SocketTryCounts,
}

/// What a stage is made of.
pub struct EventLoopParts {
    pub clock: Clock,
    pub world: World,
    pub proxies: Vec<SocketAddr>,
    pub channels: Channels,
}

impl EventLoop {
    /// Opens all ports; tells each proxy's configuration too. To be called on the thread that is to run it.
    pub fn open(parts: EventLoopParts) -> Result<(EventLoop, Vec<String>), HostError> {
        let EventLoopParts { clock, world, proxies, channels } = parts;
        let system = |what: &'static str| move |source| HostError::Io { what: what.into(), source };
        let (queue, socket_events) = async_channel::bounded(QUEUE_LEN);
        let clients =
            Clients::start(proxies.clone(), clock.clone()).map_err(system("the clients' thread"))?;
        let executor = Rc::new(LocalExecutor::new());
        let mut ports = PortTable::new(&world, proxies).map_err(system("a port for discovery"))?;
        for member in world.members() {
            ports.add(&world, member.no).map_err(system("a port for a node"))?;
        }
        ports.add(&world, world::facts::LEDGER).map_err(system("a port for the ledger"))?;
        ports.apply(&world, &executor, &queue).map_err(system("a port"))?;
        let mut stage = EventLoop {
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
        stage.timers.add(stage.advanced_to, TimerEvent::Heartbeat);
        let all = 0..stage.alive.len() as u32;
        let configurations = all.map(|p| stage.configuration(ProxyNo(p))).collect();
        Ok((stage, configurations))
    }

    /// What a proxy that starts now is told.
    fn configuration(&mut self, proxy: ProxyNo) -> String {
        let start_count = self.start_counts.get_mut(proxy.0 as usize).map_or(0, |start_count| {
            *start_count += 1;
            *start_count
        });
        let seed = seed_of(self.world.seed(), "proxy", u64::from(proxy.0) | u64::from(start_count) << 32);
        // What is in its list from the start it has been told.
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

    /// Plays the run to its end.
    pub fn run(mut self) -> Result<Run, HostError> {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(self.event_loop()))?;
        let late = self.lateness();
        let now = self.advanced_to.max(self.clock.now());
        Ok(Run { meetings: Some(self.socket_tries), ..self.world.finish(now, late) })
    }

    fn lateness(&self) -> Lateness {
        let (p99_us, max_us) = (self.late.quantile(0.99).unwrap_or(0), self.late.max().unwrap_or(0));
        Lateness { p99_us, max_us, void: p99_us > LATE_P99 || max_us > LATE_MAX }
    }

    async fn event_loop(&mut self) -> Result<(), HostError> {
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
                    return Err(HostError::Unplayable("a thread of the stand-ins has ended".into()));
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

    /// When something is due next.
    fn next(&mut self) -> Micros {
        let arrival = self.arrivals.peek().map_or(Micros::MAX, |r| r.at);
        let timers = self.timers.next().unwrap_or(Micros::MAX);
        if self.clients_started {
            arrival.min(timers).min(self.world.next())
        } else {
            timers.min(self.world.next())
        }
    }

    /// Carries out all that is due by now, in the order of time.
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
            applied.map_err(|source| HostError::Io { what: "a port".into(), source })?;
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

    /// Moves the models along to where the owner is, and carries out what happened.
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
                // What breaks from here on is the crash's doing, whoever notices first.
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
        // Few, and read at once; a thread that does not is about to end the run.
        let _ = self.channels.process_commands.try_send(ProcessCommand { proxy, change, configuration });
    }

    fn proxy_ended(&mut self, proxy: ProxyNo, planned: bool) {
        if let Some(alive) = self.alive.get_mut(proxy.0 as usize).filter(|a| **a) {
            *alive = false;
            // What it said last is on its way: it counts before its end does.
            self.world.observe(self.advanced_to, Fact::ProxyEnded { proxy, planned });
        }
    }

    /// The address of the door at which a proxy finds a node, for lists.
    fn address(&self, proxy: ProxyNo, node: NodeNo) -> SocketAddr {
        self.ports.address(self.world.member(node).address, proxy)
    }
}
