//! A planner: takes what forwarders see, publishes plans, carries no traffic. It owns the [`plan::Planner`] and
//! the connections of forwarders, a task each ([`crate::net::framed`]). Nothing is kept over a restart.

use crate::clock::Clock;
use crate::features::addresses::AddressLists;
use crate::interface::Micros;
use crate::net::canonical_address;
use crate::net::framed::{self, Outbox};
use crate::signals::{SignalRequest, Signals};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use plan::frame::{self, Refused};
use plan::ids::ZoneSet;
use plan::planner::{Output, PeerId};
use plan::{Message, Node, Planner, Rules};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// News that may wait, and news taken before what is due is done.
const QUEUE: usize = 1024;
const AT_ONCE: usize = 256;
/// Without a descriptor for a connection: how long until the next is tried.
const CROWDED: Duration = Duration::from_millis(200);
/// How often figures are told, and how many lines about peers and nodes between two of them.
const FIGURES: Micros = 10_000_000;
const LINES: u64 = 20;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// Forwarders that may run at once; without it the configuration says how many proxies there are.
    pub forwarders: Option<u32>,
}

enum News {
    Accepted(Async<TcpStream>, SocketAddr),
    Said(PeerId, Box<Message>),
    Down(PeerId, String),
    /// Told by the accepting task, once in a row.
    Crowded(String),
    End,
}

struct Peer {
    address: SocketAddr,
    outbox: Outbox,
    /// Its last words are on their way: the core knows it no more.
    closing: bool,
    _task: Task<()>,
}

struct Host {
    planner: Planner,
    peers: BTreeMap<PeerId, Peer>,
    last: PeerId,
    lists: AddressLists,
    queue: Sender<News>,
    executor: Rc<LocalExecutor<'static>>,
    lines: u64,
    told: Micros,
    /// Nodes marked, for lines of the log.
    silent: BTreeSet<Node>,
}

/// Serves until SIGTERM or SIGINT. All tasks are spawned on `executor`, whose thread this has to be.
pub async fn run(
    address: SocketAddr,
    rules: Rules,
    lists: AddressLists,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let failed = |e| format!("cannot listen on {address}: {e}");
    let listener = Async::<TcpListener>::bind(address).map_err(failed)?;
    let bound = listener.get_ref().local_addr().map_err(failed)?;
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let (queue, news) = async_channel::bounded(QUEUE);
    let forwarders = rules.forwarders;
    // The clock's milliseconds as the epoch; forwarders correct one that went back.
    let planner = Planner::new(now, rules, now.unsigned_abs() / 1000)?;
    let mut host = Host {
        planner,
        peers: BTreeMap::new(),
        last: 0,
        lists,
        queue: queue.clone(),
        executor: executor.clone(),
        lines: 0,
        told: now,
        silent: BTreeSet::new(),
    };
    info!(
        event = "planning",
        address = %bound,
        forwarders,
        "planner: listening on {bound}, for {forwarders} forwarders"
    );
    let _accept = executor.spawn(accept(listener, queue.clone()));
    let _signals = executor.spawn(async move {
        loop {
            // There is nothing to read again.
            if signals.next().await == SignalRequest::End {
                let _ = queue.send(News::End).await;
            }
        }
    });
    host.work(&clock, &news).await;
    info!(event = "ended", "ended");
    Ok(())
}

async fn accept(listener: Async<TcpListener>, queue: Sender<News>) {
    let mut crowded = false;
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                crowded = false;
                let _ = queue.send(News::Accepted(socket, canonical_address(peer))).await;
            }
            Err(why) => {
                if !std::mem::replace(&mut crowded, true) {
                    let _ = queue.send(News::Crowded(why.to_string())).await;
                }
                Timer::after(CROWDED).await;
            }
        }
    }
}

impl Host {
    async fn work(&mut self, clock: &Clock, news: &Receiver<News>) {
        let mut timer = Timer::at(Instant::now());
        loop {
            let now = clock.now();
            for _ in 0..AT_ONCE {
                let Ok(one) = news.try_recv() else { break };
                if self.hear(now, one) {
                    return;
                }
            }
            if self.planner.next() <= now {
                let mut out = Vec::new();
                self.planner.tick(now, &mut out);
                self.carry_out(out);
                self.tell(now);
            }
            if !news.is_empty() {
                future::yield_now().await;
                continue;
            }
            timer.set_at(clock.instant(self.planner.next()));
            let tick = async {
                (&mut timer).await;
                None
            };
            if let Some(one) = future::or(async { news.recv().await.ok() }, tick).await {
                if self.hear(clock.now(), one) {
                    return;
                }
            }
        }
    }

    /// Whether it is to end.
    fn hear(&mut self, now: Micros, news: News) -> bool {
        match news {
            News::Accepted(socket, address) => self.accepted(now, socket, address),
            News::Said(peer, message) => {
                let mut out = Vec::new();
                let known = self.peers.get(&peer).is_some_and(|p| !p.closing);
                if known {
                    if let Err(why) = self.planner.message(now, peer, &message, &mut out) {
                        self.planner.down(peer);
                        self.refuse(peer, &why);
                    }
                }
                self.carry_out(out);
            }
            News::Down(peer, why) => {
                self.planner.down(peer);
                if let Some(p) = self.peers.remove(&peer).filter(|p| !p.closing) {
                    let address = p.address;
                    self.line(|| info!(event = "peer_left", client = %address, why, "{address} left: {why}"));
                }
            }
            News::Crowded(why) => warn!(event = "accept_failed", why, "accept failed: {why}"),
            News::End => return true,
        }
        false
    }

    fn accepted(&mut self, now: Micros, socket: Async<TcpStream>, address: SocketAddr) {
        if !self.lists.admits(address.ip()) {
            return self.line(
                || warn!(event = "refused", client = %address, "{address} refused by the address lists"),
            );
        }
        let _ = socket.get_ref().set_nodelay(true);
        self.last += 1;
        let (peer, (outbox, inbox), queue) = (self.last, framed::outbox(), self.queue.clone());
        let task = self.executor.spawn(async move {
            let why =
                framed::run_connection(&socket, inbox, &queue, |message| News::Said(peer, message)).await;
            drop(socket);
            let _ = queue.send(News::Down(peer, why)).await;
        });
        self.peers.insert(peer, Peer { address, outbox, closing: false, _task: task });
        if let Err(why) = self.planner.up(now, peer) {
            self.refuse(peer, &why);
        }
    }

    /// Tells a peer why its connection is closed; the core knows it no more.
    fn refuse(&mut self, peer: PeerId, why: &Refused) {
        let Some(p) = self.peers.get_mut(&peer) else { return };
        let (address, said) = (p.address, p.outbox.last(frame::refusal(why)));
        p.closing = true;
        if !said {
            self.peers.remove(&peer);
        }
        let why = why.to_string();
        self.line(|| warn!(event = "peer_refused", client = %address, why, "{address} closed: {why}"));
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(peer, message) => self.send(&[peer], &message),
                Output::Terms(peers, message) => self.send(&peers, &message),
                Output::Close(peer, why) => self.refuse(peer, &why),
            }
        }
    }

    fn send(&mut self, peers: &[PeerId], message: &Message) {
        let frame: Rc<[u8]> = match frame::encode(message) {
            Ok(bytes) => bytes.into(),
            Err(why) => {
                return self.line(|| warn!(event = "not_told", why = why.to_string(), "not told: {why}"))
            }
        };
        for peer in peers {
            let slow = self.peers.get(peer).is_some_and(|p| !p.closing && !p.outbox.push(frame.clone()));
            if !slow {
                continue;
            }
            if let Some(p) = self.peers.remove(peer) {
                self.planner.down(*peer);
                let address = p.address;
                self.line(
                    || warn!(event = "peer_cut", client = %address, "{address} cut, it reads too slowly"),
                );
            }
        }
    }

    /// A line of which there could be many.
    fn line(&mut self, tell: impl FnOnce()) {
        self.lines += 1;
        if self.lines <= LINES {
            tell();
        }
    }

    /// Lines about nodes that are marked or no longer, and the figures.
    fn tell(&mut self, now: Micros) {
        let marks: BTreeMap<Node, (u16, ZoneSet)> =
            self.planner.findings().silent.iter().map(|m| (m.node, (m.witnesses, m.zones))).collect();
        for node in marks.keys().filter(|n| !self.silent.contains(n)).copied().collect::<Vec<_>>() {
            let (witnesses, halls) = marks.get(&node).copied().unwrap_or_default();
            let for_all = if halls == ZoneSet::ALL { "all" } else { "some halls" };
            let id = node.id;
            self.line(|| {
                warn!(
                    event = "silent",
                    node = id,
                    witnesses,
                    "node {id:016x} is silent for {for_all}, {witnesses} witnesses"
                );
            });
        }
        for node in self.silent.iter().filter(|n| !marks.contains_key(n)).copied().collect::<Vec<_>>() {
            let id = node.id;
            self.line(|| info!(event = "lives", node = id, "node {id:016x} is silent no more"));
        }
        self.silent = marks.into_keys().collect();
        if now - self.told < FIGURES {
            return;
        }
        self.told = now;
        let shown = self.planner.shown(now);
        let (plan, peers) = (&shown.plan, self.peers.len());
        let number = format!("{}.{}", plan.number.epoch, plan.number.count);
        let (forwarders, witnesses) = (plan.evidence.forwarders, plan.evidence.witnesses);
        let (silent, cuts, warm) = (plan.silent.len(), plan.cuts.len(), plan.evidence.warm);
        info!(
            event = "figures",
            number,
            warm,
            forwarders,
            witnesses,
            silent,
            cuts,
            peers,
            "plan {number} warm {warm} forwarders {forwarders} witnesses {witnesses} silent {silent} \
             cuts {cuts}; open: peers {peers}"
        );
        let left = std::mem::take(&mut self.lines).saturating_sub(LINES);
        if left > 0 {
            warn!(event = "left_out", lines = left, "{left} more lines left out");
        }
    }
}
