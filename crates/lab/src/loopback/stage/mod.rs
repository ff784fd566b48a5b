//! The owner of the world: one thread that holds the models and moves them along in real time.
//!
//! Sockets tell it what happened through bounded queues ([`Heard`] from the stand-ins' links, [`Said`] from the
//! clients, [`Notice`]s about processes); it hands that to [`World`] and carries out what comes back. All that takes
//! time on the way (the network's delays, a retry's wait) is on one agenda here, in the order of time, as in the
//! virtual world. Split by what it deals with: [`doors`] (who listens where), [`visits`] (what reaches nodes and
//! the ledger, and their answers), [`listing`] (discovery), [`tries`] (the clients' requests).

mod agenda;
mod doors;
mod listing;
mod tries;
mod visits;

use super::clients::{Clients, Said};
use super::clock::Clock;
use super::settings;
use super::socket::{Heard, LinkId, QUEUE};
use crate::host::HostError;
use agenda::{Agenda, Due};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use doors::Doors;
use futures_lite::future;
use std::collections::{HashMap, HashSet};
use std::iter::Peekable;
use std::net::SocketAddr;
use std::rc::Rc;
use visits::{Connection, Job};
use world::clients::{Arrivals, RequestTable};
use world::facts::{Fact, NodeNo, ProxyNo, TryNo};
use world::outcome::{Latencies, Lateness, Run, SocketTryCounts};
use world::random::seed_of;
use world::world::{Occurrence, ProxyChange, World};
use world::Micros;

/// How late what is due may be, in its 99th percentile and at most, before a run says nothing about the proxy.
pub const LATE_P99: Micros = 20_000;
pub const LATE_MOST: Micros = 1_000_000;
/// Heard things that are taken in a row before what is due has its turn.
const AT_ONCE: usize = 256;
/// The owner looks round at least this often.
const ROUND: Micros = 100_000;
/// After the last request is over, for what still comes (an answer that is too late, a cancelled attempt).
const SETTLE: Micros = 500_000;

/// What the owner has done about the proxies' processes, which belong to another thread.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
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
pub struct Ways {
    pub directives: Sender<Directive>,
    pub notices: Receiver<Notice>,
}

/// The owner's state.
pub struct Stage {
    clock: Clock,
    world: World,
    desk: RequestTable,
    arrivals: Peekable<Arrivals>,
    clients: Clients,
    executor: Rc<LocalExecutor<'static>>,
    queue: Sender<Heard>,
    heard: Receiver<Heard>,
    ways: Ways,
    agenda: Agenda,
    doors: Doors,
    links: HashMap<LinkId, Connection>,
    last_link: u64,
    jobs: HashMap<u64, Job>,
    last_job: u64,
    /// Tries that were told as taken and have not ended.
    taken: HashSet<TryNo>,
    /// Whether each proxy runs, as far as the owner knows: what breaks with one that does not is no fault of its.
    alive: Vec<bool>,
    /// How often each was started.
    lives: Vec<u32>,
    /// Up to when the models were moved along; nothing reaches them earlier.
    reached: Micros,
    occurrences: Vec<(Micros, Occurrence)>,
    late: Latencies,
    begun: bool,
    over: Option<Micros>,
    /// Why the run is void, if a proxy has said what nobody may say.
    fault: Option<HostError>,
    /// What came of the tries on their sockets.
    meetings: SocketTryCounts,
}

/// What a stage is made of.
pub struct Parts {
    pub clock: Clock,
    pub world: World,
    pub proxies: Vec<SocketAddr>,
    pub ways: Ways,
}

impl Stage {
    /// Opens all ports; tells each proxy's configuration too. To be called on the thread that is to run it.
    pub fn open(parts: Parts) -> Result<(Stage, Vec<String>), HostError> {
        let Parts { clock, world, proxies, ways } = parts;
        let system = |what: &'static str| move |source| HostError::Io { what: what.into(), source };
        let (queue, heard) = async_channel::bounded(QUEUE);
        let clients =
            Clients::start(proxies.clone(), clock.clone()).map_err(system("the clients' thread"))?;
        let executor = Rc::new(LocalExecutor::new());
        let mut doors = Doors::new(&world, proxies).map_err(system("a port for discovery"))?;
        for member in world.members() {
            doors.add(&world, member.no).map_err(system("a port for a node"))?;
        }
        doors.add(&world, world::facts::ORIGIN).map_err(system("a port for the ledger"))?;
        doors.settle(&world, &executor, &queue).map_err(system("a port"))?;
        let mut stage = Stage {
            desk: world.request_table(),
            arrivals: world.arrivals().peekable(),
            alive: vec![true; world.proxies().len()],
            lives: vec![0; world.proxies().len()],
            reached: clock.now(),
            clock,
            world,
            clients,
            executor,
            queue,
            heard,
            ways,
            agenda: Agenda::default(),
            doors,
            links: HashMap::new(),
            last_link: 0,
            jobs: HashMap::new(),
            last_job: 0,
            taken: HashSet::new(),
            occurrences: Vec::new(),
            late: Latencies::default(),
            begun: false,
            over: None,
            fault: None,
            meetings: SocketTryCounts::default(),
        };
        stage.agenda.add(stage.reached, Due::Heartbeat);
        let all = 0..stage.alive.len() as u32;
        let configurations = all.map(|p| stage.configuration(ProxyNo(p))).collect();
        Ok((stage, configurations))
    }

    /// What a proxy that starts now is told.
    fn configuration(&mut self, proxy: ProxyNo) -> String {
        let life = self.lives.get_mut(proxy.0 as usize).map_or(0, |life| {
            *life += 1;
            *life
        });
        let seed = seed_of(self.world.seed(), "proxy", u64::from(proxy.0) | u64::from(life) << 32);
        // What is in its list from the start it has been told.
        let (_, entries) = self.world.discovery().known(proxy, None);
        for e in entries {
            self.world.observe(
                self.reached,
                Fact::Listed { proxy, node: e.node, status: e.status, started: e.started },
            );
        }
        let place = settings::Place {
            proxy,
            listen: self.doors.proxy(proxy),
            discovery: self.doors.discovery(proxy),
            seed,
        };
        settings::configuration(&self.world, place, &self.known(proxy, None)).to_string()
    }

    /// Plays the run to its end.
    pub fn run(mut self) -> Result<Run, HostError> {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(self.work()))?;
        let late = self.lateness();
        let now = self.reached.max(self.clock.now());
        Ok(Run { meetings: Some(self.meetings), ..self.world.finish(now, late) })
    }

    fn lateness(&self) -> Lateness {
        let (p99_us, max_us) = (self.late.quantile(0.99).unwrap_or(0), self.late.max().unwrap_or(0));
        Lateness { p99_us, max_us, void: p99_us > LATE_P99 || max_us > LATE_MOST }
    }

    async fn work(&mut self) -> Result<(), HostError> {
        let (heard, said) = (self.heard.clone(), self.clients.said().clone());
        let notices = self.ways.notices.clone();
        enum Woken {
            Heard(Option<Heard>),
            Said(Option<Said>),
            Notice(Option<Notice>),
            Time,
        }
        loop {
            while let Ok(one) = notices.try_recv() {
                self.notice(one)?;
            }
            for _ in 0..AT_ONCE {
                let Ok(one) = heard.try_recv() else { break };
                self.hear(one);
            }
            for _ in 0..AT_ONCE {
                let Ok(one) = said.try_recv() else { break };
                self.said(one);
            }
            self.advance(self.clock.now())?;
            if let Some(fault) = self.fault.take() {
                return Err(fault);
            }
            let now = self.clock.now();
            if self.over.is_some_and(|at| now >= at) {
                return Ok(());
            }
            if !heard.is_empty() || !said.is_empty() {
                future::yield_now().await;
                continue;
            }
            let next = self.next().min(now + ROUND);
            let time = async {
                Timer::at(self.clock.instant(next)).await;
                Woken::Time
            };
            let heard = async { Woken::Heard(heard.recv().await.ok()) };
            let said = async { Woken::Said(said.recv().await.ok()) };
            let notice = async { Woken::Notice(notices.recv().await.ok()) };
            match future::or(future::or(notice, heard), future::or(said, time)).await {
                Woken::Heard(Some(one)) => self.hear(one),
                Woken::Said(Some(one)) => self.said(one),
                Woken::Notice(one) => self.notice(one.unwrap_or(Notice::Stop))?,
                Woken::Said(None) | Woken::Heard(None) => {
                    return Err(HostError::Unplayable("a thread of the stand-ins has ended".into()));
                }
                Woken::Time => {}
            }
        }
    }

    fn notice(&mut self, notice: Notice) -> Result<(), HostError> {
        match notice {
            Notice::Begin => {
                self.clock.forward(0);
                self.begun = true;
            }
            Notice::Ended { proxy, planned } => self.proxy_ended(proxy, planned),
            Notice::Stop => return Err(HostError::Interrupted),
        }
        Ok(())
    }

    /// When something is due next.
    fn next(&mut self) -> Micros {
        let arrival = self.arrivals.peek().map_or(Micros::MAX, |r| r.at);
        let agenda = self.agenda.next().unwrap_or(Micros::MAX);
        if self.begun {
            arrival.min(agenda).min(self.world.next())
        } else {
            agenda.min(self.world.next())
        }
    }

    /// Carries out all that is due by now, in the order of time.
    fn advance(&mut self, now: Micros) -> Result<(), HostError> {
        loop {
            let at = self.next();
            if at > now {
                break;
            }
            self.reached = self.reached.max(at);
            self.advance_world();
            if self.agenda.next().is_some_and(|due| due <= at) {
                if let Some((at, due)) = self.agenda.take() {
                    self.carry_out(at.max(self.reached), due);
                }
            } else if self.begun {
                if let Some(request) = self.arrivals.next_if(|r| r.at <= at) {
                    let place = self.desk.open(request, &mut self.world.recorder);
                    self.send(request.at, place);
                }
            }
        }
        self.reached = self.reached.max(now);
        self.advance_world();
        self.doors.watch(&self.world);
        if self.doors.changed() {
            self.hold_links();
            let settled = self.doors.settle(&self.world, &self.executor, &self.queue);
            settled.map_err(|source| HostError::Io { what: "a port".into(), source })?;
        }
        if self.over.is_none() && self.begun && self.arrivals.peek().is_none() && self.desk.live() == 0 {
            self.over = Some(now + SETTLE);
        }
        Ok(())
    }

    /// Moves the models along to where the owner is, and carries out what happened.
    fn advance_world(&mut self) {
        let mut occurrences = std::mem::take(&mut self.occurrences);
        self.world.advance(self.reached, &mut occurrences);
        self.carry_occurrences(&mut occurrences);
        self.occurrences = occurrences;
    }

    fn carry_occurrences(&mut self, occurrences: &mut Vec<(Micros, Occurrence)>) {
        for (at, occurrence) in occurrences.drain(..) {
            match occurrence {
                Occurrence::Answered { node, job, answer, work } => {
                    self.answered(at, node, job, answer, work)
                }
                Occurrence::Ended { node } => self.node_ended(node),
                Occurrence::Vanished { node } => self.node_vanished(node),
                Occurrence::Started { node } => self.node_started(node),
                Occurrence::ListUpdated(news) => self.tell_watchers(&news),
                Occurrence::CutOver { .. } => self.cut_over(),
                Occurrence::Proxy { proxy, change } => self.change_proxy(at, proxy, change),
            }
        }
    }

    fn carry_out(&mut self, at: Micros, due: Due) {
        match due {
            Due::Arrive { job } => self.arrive(at, job),
            Due::Write { link, job, bytes, then } => self.write(link, job, bytes, then),
            Due::Disconnect { node, link } => self.world.disconnect(node, link.0),
            Due::Break { link } => self.break_link(link),
            Due::Retry(place) => self.send(at, place),
            Due::GivesUp(of) => self.gives_up(at, of),
            Due::Heartbeat => self.heartbeat(at),
        }
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Accepted { door, socket } => self.accepted(door, socket),
            Heard::Asked { link, command, begun, at } => self.asked(link, command, begun, at),
            Heard::Ended { link } => self.link_ended(link),
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
        let _ = self.ways.directives.try_send(Directive { proxy, change, configuration });
    }

    fn proxy_ended(&mut self, proxy: ProxyNo, planned: bool) {
        if let Some(alive) = self.alive.get_mut(proxy.0 as usize).filter(|a| **a) {
            *alive = false;
            // What it said last is on its way: it counts before its end does.
            self.world.observe(self.reached, Fact::ProxyEnded { proxy, planned });
        }
    }

    /// The address of the door at which a proxy finds a node, for lists.
    fn address(&self, proxy: ProxyNo, node: NodeNo) -> SocketAddr {
        self.doors.address(self.world.member(node).address, proxy)
    }
}
