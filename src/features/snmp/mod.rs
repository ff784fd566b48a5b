//! The SNMP agent: its socket, the snapshot that it answers from, and the sockets of its notifications. The
//! protocol is implemented by the package `snmp`; the agent has no influence on requests.
//!
//! The serving thread increments counters and publishes a snapshot four times a second. The agent's task runs
//! on the same thread and therefore has a budget of one part in [`CPU_DIVISOR`] of the thread's time, however
//! many requests arrive. Excess requests wait in the socket's buffer and are lost once it is full.

pub(crate) mod boots;
mod settings;
pub mod snapshot_builder;

pub use settings::{SettingLines, Settings};

use crate::core::{Record, Refusal, StreamOutcome};
use crate::interface::Micros;
use crate::net::uninterrupted;
use crate::settings::Site;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use snapshot_builder::{OwnerStatus, SnapshotBuilder};
use snmp::reader::MAX_DATAGRAM;
use snmp::tally::{self, Reason, Stream, Tally};
use snmp::tree::AgentInfo;
use snmp::usm::Engine;
use snmp::watch::Watch;
use snmp::{Agent, Notifier, Snapshot, Tree};
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The agent may use one part in this many of the thread's time; and the maximum of unused time that can be
/// saved up.
const CPU_DIVISOR: u32 = 20;
const MAX_SAVED: Duration = Duration::from_millis(2);
/// Minimum interval between snapshots.
const PUBLISH_INTERVAL: Micros = 200_000;
/// A tree older than this is rebuilt at the next request.
const TREE_MAX_AGE: Micros = 1_000_000;
/// Delay after a socket error.
const ERROR_DELAY: Duration = Duration::from_millis(100);

/// The identity of the proxy that the agent reports.
#[derive(Debug)]
pub struct Identity<'a> {
    pub name: &'a str,
    pub site: Rc<Site>,
    /// Seed of the initialisation vectors and request-ids.
    pub seed: u64,
}

/// The agent of a proxy.
pub struct Snmp {
    settings: Settings,
    agent: RefCell<Agent>,
    notifier: RefCell<Notifier>,
    watch: RefCell<Watch>,
    tally: RefCell<Tally>,
    snapshot_builder: RefCell<SnapshotBuilder>,
    /// Replaced as a whole, never modified.
    published: RefCell<Rc<Snapshot>>,
    /// The tree that the last requests were answered from, and when it was built.
    tree: RefCell<Option<(Micros, Rc<Tree>)>>,
    /// Wakes the task that sends notifications.
    wake: Sender<()>,
    woken: Receiver<()>,
}

/// The agent's bound socket, on an address of the proxy.
pub struct Bound(Async<UdpSocket>);

fn bind_one(address: SocketAddr) -> Result<Async<UdpSocket>, String> {
    Async::<UdpSocket>::bind(address).map_err(|e| format!("cannot listen on {address}, UDP: {e}"))
}

/// Binds the agent's port on the `listen` address.
pub fn bind(ip: IpAddr, settings: &Settings) -> Result<Bound, String> {
    let socket = bind_one(SocketAddr::new(ip, settings.port))?;
    let address = socket.get_ref().local_addr().map_err(|e| format!("snmp: {e}"))?;
    info!(event = "side_port", name = "snmp", %address, "snmp: listening on {address}");
    Ok(Bound(socket))
}

impl Snmp {
    /// Creates the agent. `now` is the Unix time of the start by the owner's clock.
    pub fn new(now: Micros, settings: Settings, identity: Identity) -> Self {
        let (start, why) = boots::count(settings.state.as_deref(), now / 1_000_000, settings.fingerprint);
        if let Some((why, file)) = why.zip(settings.state.as_ref()) {
            let file = file.display().to_string();
            warn!(
                event = "snmp_state",
                file, why, "snmp: {file}: {why}; snmpEngineBoots is derived from the clock"
            );
        }
        let engine = Engine::new(Engine::id_of(settings.enterprise, identity.name), start.boots, now);
        let enterprise = settings.enterprise;
        let agent = Agent::new(now, engine.clone(), enterprise, settings.access.clone(), identity.seed);
        let targets = settings.targets.clone();
        let mut notifier = Notifier::new(enterprise, engine, now, targets, identity.seed ^ 1 << 63);
        notifier.started(now, start.warm);
        let (wake, woken) = async_channel::bounded(1);
        let tally = Tally::new(now, &identity.site.classes, &identity.site.tenants);
        let snapshot_builder = SnapshotBuilder::new(now, identity.name, identity.site, settings.fleet_least);
        let snmp = Snmp {
            agent: RefCell::new(agent),
            notifier: RefCell::new(notifier),
            watch: RefCell::new(Watch::new(now)),
            tally: RefCell::new(tally),
            snapshot_builder: RefCell::new(snapshot_builder),
            published: RefCell::default(),
            tree: RefCell::default(),
            wake,
            woken,
            settings,
        };
        let _ = snmp.wake.try_send(());
        snmp
    }

    /// Records the end of a stream.
    pub fn record(&self, record: &Record) {
        let reason = match record.details.refused {
            Some(Refusal::Full) => Reason::Full,
            Some(Refusal::NotSent) => Reason::NotSent,
            Some(Refusal::Origin) => Reason::Origin,
            Some(Refusal::Attempts) | None => Reason::Attempts,
        };
        let outcome = match record.ended {
            StreamOutcome::Served => tally::Outcome::Served,
            StreamOutcome::Refused => tally::Outcome::Refused(reason),
            StreamOutcome::Failed => tally::Outcome::Failed,
            StreamOutcome::Left => tally::Outcome::Left,
        };
        let stream = Stream {
            class: usize::from(record.class.0),
            tenant: record.tenant.0 as usize,
            outcome,
            time: record.time,
            retried: record.details.retried,
            joined: record.details.joined,
        };
        self.tally.borrow_mut().record(record.at, stream);
    }

    /// Counts a reload of the configuration.
    pub fn reloaded(&self) {
        self.snapshot_builder.borrow_mut().reloads += 1;
    }

    /// Whether the last snapshot is old enough to be replaced.
    pub fn due(&self, now: Micros) -> bool {
        !(0..PUBLISH_INTERVAL).contains(&(now - self.published.borrow().at))
    }

    /// Publishes a snapshot, and queues notifications about what has changed since the last one.
    pub fn publish(&self, now: Micros, survey: crate::core::status::ClusterStatus, owned: OwnerStatus) {
        let mut tally = self.tally.borrow_mut();
        let snapshot = Rc::new(self.snapshot_builder.borrow_mut().take(now, survey, &mut tally, owned));
        if owned.ready {
            // Before the proxy is ready, the list comes from the configuration and may be outdated, and no
            // node has been asked.
            let changes = self.watch.borrow_mut().update(now, &snapshot);
            let mut notifier = self.notifier.borrow_mut();
            changes.iter().for_each(|change| notifier.change(now, change));
            if !changes.is_empty() {
                let _ = self.wake.try_send(());
            }
        }
        self.published.replace(snapshot);
    }

    /// The object instances as of now, or of at most [`TREE_MAX_AGE`] ago.
    fn tree(&self, now: Micros) -> Rc<Tree> {
        let mut kept = self.tree.borrow_mut();
        if let Some((_, tree)) = kept.as_ref().filter(|(at, _)| (0..TREE_MAX_AGE).contains(&(now - at))) {
            return tree.clone();
        }
        let agent = self.agent.borrow();
        let (boots, time) = agent.engine().clock(now);
        let own = AgentInfo {
            enterprise: self.settings.enterprise,
            engine: (agent.engine().id.clone(), boots, time),
            max_message_size: MAX_DATAGRAM as u32,
            contact: self.settings.contact.clone(),
            location: self.settings.location.clone(),
            stats: agent.stats(),
            notifications: self.notifier.borrow().stats(self.watch.borrow().held()),
        };
        let tree = Rc::new(Tree::build(now, &self.published.borrow(), &own));
        *kept = Some((now, tree.clone()));
        tree
    }

    /// Answers requests forever; `clock` is the owner's clock.
    pub async fn answer(self: Rc<Self>, bound: Bound, clock: impl Fn() -> Micros) {
        let socket = bound.0;
        // One byte more than the maximum size, to detect longer datagrams.
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        let mut budget = Budget::new(Instant::now());
        loop {
            let Ok((n, from)) = receive(&socket, &mut buffer).await else {
                Timer::after(ERROR_DELAY).await;
                continue;
            };
            let began = Instant::now();
            let now = clock();
            let tree = self.tree(now);
            let answer = self.agent.borrow_mut().answer(now, from.ip(), &buffer[..n], &tree);
            if let Some(answer) = answer {
                // If the socket does not accept the answer it is lost, as any datagram may be.
                let _ = socket.get_ref().send_to(&answer, from);
            }
            let ended = Instant::now();
            match budget.spend(ended, ended - began) {
                Some(rest) => drop(Timer::after(rest).await),
                None => future::yield_now().await,
            }
        }
    }

    /// Sends notifications forever.
    pub async fn notify(self: Rc<Self>, clock: impl Fn() -> Micros) {
        let (mut four, mut six) = (None, None);
        loop {
            loop {
                let next = self.notifier.borrow_mut().send(clock());
                let Some((to, datagram)) = next else { break };
                let (socket, any) = match to {
                    SocketAddr::V4(_) => (&mut four, IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED)),
                    SocketAddr::V6(_) => (&mut six, IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED)),
                };
                if socket.is_none() {
                    *socket = bind_one(SocketAddr::new(any, 0)).ok();
                }
                if let Some(socket) = socket {
                    let _ = socket.get_ref().send_to(&datagram, to);
                }
                future::yield_now().await;
            }
            let due = self.notifier.borrow().next();
            let due = async {
                match due {
                    Some(at) => drop(Timer::after(Duration::from_micros((at - clock()).max(0) as u64)).await),
                    None => future::pending().await,
                }
                None
            };
            let woken = async {
                let _ = self.woken.recv().await;
                None
            };
            let received = future::or(receive_on(&four), receive_on(&six));
            match future::or(future::or(woken, due), async { Some(received.await) }).await {
                Some(Ok((from, datagram))) => self.notifier.borrow_mut().receive(clock(), from, &datagram),
                Some(Err(_)) => drop(Timer::after(ERROR_DELAY).await),
                None => {}
            }
        }
    }
}

/// Receives a datagram; returns its length and sender.
async fn receive(socket: &Async<UdpSocket>, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
    socket.read_with(|s| uninterrupted(|| s.recv_from(buffer))).await
}

/// Receives a datagram on a socket that may not exist yet.
async fn receive_on(socket: &Option<Async<UdpSocket>>) -> io::Result<(SocketAddr, Vec<u8>)> {
    let Some(socket) = socket else { return future::pending().await };
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    let (n, from) = receive(socket, &mut buffer).await?;
    buffer.truncate(n);
    Ok((from, buffer))
}

/// Limits the CPU time of the agent to a share of the elapsed time; unused time is saved up to a bound.
struct Budget {
    saved: Duration,
    owed: Duration,
    at: Instant,
}

impl Budget {
    fn new(at: Instant) -> Self {
        Budget { saved: MAX_SAVED, owed: Duration::ZERO, at }
    }

    /// Accounts for spent time. Returns how long to pause if it exceeds the budget.
    fn spend(&mut self, now: Instant, spent: Duration) -> Option<Duration> {
        let gained = (now - self.at) / CPU_DIVISOR;
        self.at = now;
        let paid = gained.min(self.owed);
        (self.owed, self.saved) = (self.owed - paid, (self.saved + gained - paid).min(MAX_SAVED));
        let free = spent.min(self.saved);
        (self.saved, self.owed) = (self.saved - free, self.owed + spent - free);
        (self.owed > Duration::ZERO).then(|| self.owed * CPU_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
