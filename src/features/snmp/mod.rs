//! SNMP: the agent's socket, the snapshot that it answers from, and the sockets of its notifications. What is
//! said on them is the package `snmp`'s; nothing of it decides about requests.
//!
//! The thread that serves bumps counters and publishes a snapshot four times a second. The agent's task runs on
//! the same thread, so it has a budget: the part [`SHARE`] of the thread's time and no more, whoever asks
//! however often; what comes beyond that waits in the socket's buffer, and is lost when that is full.

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

/// The part of the thread's time that the agent may take, one in so many, and how much of it may be saved up.
const SHARE: u32 = 20;
const SAVED: Duration = Duration::from_millis(2);
/// A snapshot is published no more often than this.
const PUBLISH: Micros = 200_000;
/// A tree is built anew when somebody asks and it is older than this.
const TREE: Micros = 1_000_000;
/// After an error of a socket.
const PAUSE: Duration = Duration::from_millis(100);

/// Who the proxy is, for the agent.
#[derive(Debug)]
pub struct Identity<'a> {
    pub name: &'a str,
    pub site: Rc<Site>,
    /// Where initialisation vectors and request-ids begin.
    pub seed: u64,
}

/// The agent of one proxy.
pub struct Snmp {
    settings: Settings,
    agent: RefCell<Agent>,
    notifier: RefCell<Notifier>,
    watch: RefCell<Watch>,
    tally: RefCell<Tally>,
    snapshot_builder: RefCell<SnapshotBuilder>,
    /// Swapped, never changed.
    published: RefCell<Rc<Snapshot>>,
    /// What the last requests were answered from, and when it was built.
    tree: RefCell<Option<(Micros, Rc<Tree>)>>,
    /// Something is to be sent.
    wake: Sender<()>,
    woken: Receiver<()>,
}

/// The agent's socket, bound on an address of the proxy's.
pub struct Bound(Async<UdpSocket>);

fn bind_one(address: SocketAddr) -> Result<Async<UdpSocket>, String> {
    Async::<UdpSocket>::bind(address).map_err(|e| format!("cannot listen on {address}, UDP: {e}"))
}

/// Binds the agent's port on the address of `listen`.
pub fn bind(ip: IpAddr, settings: &Settings) -> Result<Bound, String> {
    let socket = bind_one(SocketAddr::new(ip, settings.port))?;
    let address = socket.get_ref().local_addr().map_err(|e| format!("snmp: {e}"))?;
    info!(event = "side_port", name = "snmp", %address, "snmp: listening on {address}");
    Ok(Bound(socket))
}

impl Snmp {
    /// `now` is Unix time at the start, as the owner's clock has it.
    pub fn new(now: Micros, settings: Settings, identity: Identity) -> Self {
        let (start, why) = boots::count(settings.state.as_deref(), now / 1_000_000, settings.fingerprint);
        if let Some((why, file)) = why.zip(settings.state.as_ref()) {
            let file = file.display().to_string();
            warn!(event = "snmp_state", file, why, "snmp: {file}: {why}; boots go by the clock");
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

    /// A stream has ended.
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

    /// The configuration was read again.
    pub fn reloaded(&self) {
        self.snapshot_builder.borrow_mut().reloads += 1;
    }

    /// Whether the last snapshot is old enough for another.
    pub fn due(&self, now: Micros) -> bool {
        !(0..PUBLISH).contains(&(now - self.published.borrow().at))
    }

    /// Publishes what there is to see, and hands on what changed since.
    pub fn publish(&self, now: Micros, survey: crate::core::status::ClusterStatus, owned: OwnerStatus) {
        let mut tally = self.tally.borrow_mut();
        let snapshot = Rc::new(self.snapshot_builder.borrow_mut().take(now, survey, &mut tally, owned));
        if owned.ready {
            // Before that the list is as old as the configuration, and nothing was asked yet.
            let changes = self.watch.borrow_mut().update(now, &snapshot);
            let mut notifier = self.notifier.borrow_mut();
            changes.iter().for_each(|change| notifier.change(now, change));
            if !changes.is_empty() {
                let _ = self.wake.try_send(());
            }
        }
        self.published.replace(snapshot);
    }

    /// The instances of now, or of a moment ago.
    fn tree(&self, now: Micros) -> Rc<Tree> {
        let mut kept = self.tree.borrow_mut();
        if let Some((_, tree)) = kept.as_ref().filter(|(at, _)| (0..TREE).contains(&(now - at))) {
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

    /// Answers datagrams, for ever; `clock` is the owner's.
    pub async fn answer(self: Rc<Self>, bound: Bound, clock: impl Fn() -> Micros) {
        let socket = bound.0;
        // A byte more than is read: what fills it was longer.
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        let mut budget = Budget::new(Instant::now());
        loop {
            let Ok((n, from)) = receive(&socket, &mut buffer).await else {
                Timer::after(PAUSE).await;
                continue;
            };
            let began = Instant::now();
            let now = clock();
            let tree = self.tree(now);
            let answer = self.agent.borrow_mut().answer(now, from.ip(), &buffer[..n], &tree);
            if let Some(answer) = answer {
                // What the socket does not take is lost, as any datagram may be.
                let _ = socket.get_ref().send_to(&answer, from);
            }
            let ended = Instant::now();
            match budget.spend(ended, ended - began) {
                Some(rest) => drop(Timer::after(rest).await),
                None => future::yield_now().await,
            }
        }
    }

    /// Sends notifications, for ever.
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
            let heard = future::or(heard(&four), heard(&six));
            match future::or(future::or(woken, due), async { Some(heard.await) }).await {
                Some(Ok((from, datagram))) => self.notifier.borrow_mut().receive(clock(), from, &datagram),
                Some(Err(_)) => drop(Timer::after(PAUSE).await),
                None => {}
            }
        }
    }
}

/// The next datagram: its length, and who sent it.
async fn receive(socket: &Async<UdpSocket>, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
    socket.read_with(|s| uninterrupted(|| s.recv_from(buffer))).await
}

/// The next datagram that comes back, if there is a socket for any.
async fn heard(socket: &Option<Async<UdpSocket>>) -> io::Result<(SocketAddr, Vec<u8>)> {
    let Some(socket) = socket else { return future::pending().await };
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    let (n, from) = receive(socket, &mut buffer).await?;
    buffer.truncate(n);
    Ok((from, buffer))
}

/// The time that may be spent: a part of what passes, saved up to a bound.
struct Budget {
    saved: Duration,
    owed: Duration,
    at: Instant,
}

impl Budget {
    fn new(at: Instant) -> Self {
        Budget { saved: SAVED, owed: Duration::ZERO, at }
    }

    /// Spends; comes back with how long to rest, if more was spent than there was.
    fn spend(&mut self, now: Instant, spent: Duration) -> Option<Duration> {
        let gained = (now - self.at) / SHARE;
        self.at = now;
        let paid = gained.min(self.owed);
        (self.owed, self.saved) = (self.owed - paid, (self.saved + gained - paid).min(SAVED));
        let free = spent.min(self.saved);
        (self.saved, self.owed) = (self.saved - free, self.owed + spent - free);
        (self.owed > Duration::ZERO).then(|| self.owed * SHARE)
    }
}

#[cfg(test)]
mod tests;
