//! A planner: collects the reports of forwarders and publishes plans; it carries no client traffic. This
//! module owns the [`plan::Planner`] state machine and the connections of forwarders (one task each, see
//! [`crate::net::framed`]). Nothing is persisted over a restart.

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

/// Capacity of the event queue, and number of events handled before timers are checked.
const QUEUE_CAPACITY: usize = 1024;
const EVENTS_PER_TURN: usize = 256;
/// Delay before accepting is retried after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between figures in the log, and maximum number of log lines about peers and nodes within it.
const FIGURES_INTERVAL: Micros = 10_000_000;
const MAX_LINES: u64 = 20;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// Maximum number of forwarders at a time; defaults to the number of proxies in the configuration.
    pub forwarders: Option<u32>,
}

enum Event {
    Accepted(Async<TcpStream>, SocketAddr),
    Message(PeerId, Box<Message>),
    Down(PeerId, String),
    /// Accepting has failed. Sent once per series of failures.
    AcceptFailed(String),
    End,
}

struct Peer {
    address: SocketAddr,
    outbox: Outbox,
    /// The reason for closing is being sent; the state machine has already dropped the peer.
    closing: bool,
    _task: Task<()>,
}

struct Host {
    planner: Planner,
    peers: BTreeMap<PeerId, Peer>,
    last_peer: PeerId,
    lists: AddressLists,
    queue: Sender<Event>,
    executor: Rc<LocalExecutor<'static>>,
    logged_lines: u64,
    last_figures: Micros,
    /// Nodes that were logged as silent.
    logged_silent: BTreeSet<Node>,
}

/// Runs until SIGTERM or SIGINT. All tasks are spawned on `executor`, which must run on the current thread.
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
    let (queue, events) = async_channel::bounded(QUEUE_CAPACITY);
    let forwarders = rules.forwarders;
    // The clock's milliseconds are the epoch; forwarders correct an epoch that has gone back.
    let planner = Planner::new(now, rules, now.unsigned_abs() / 1000)?;
    let mut host = Host {
        planner,
        peers: BTreeMap::new(),
        last_peer: 0,
        lists,
        queue: queue.clone(),
        executor: executor.clone(),
        logged_lines: 0,
        last_figures: now,
        logged_silent: BTreeSet::new(),
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
            // A planner has no configuration to reload.
            if signals.next().await == SignalRequest::End {
                let _ = queue.send(Event::End).await;
            }
        }
    });
    host.run_loop(&clock, &events).await;
    info!(event = "ended", "ended");
    Ok(())
}

async fn accept(listener: Async<TcpListener>, queue: Sender<Event>) {
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                failing = false;
                let _ = queue.send(Event::Accepted(socket, canonical_address(peer))).await;
            }
            Err(why) => {
                if !std::mem::replace(&mut failing, true) {
                    let _ = queue.send(Event::AcceptFailed(why.to_string())).await;
                }
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

impl Host {
    async fn run_loop(&mut self, clock: &Clock, events: &Receiver<Event>) {
        let mut timer = Timer::at(Instant::now());
        loop {
            let now = clock.now();
            for _ in 0..EVENTS_PER_TURN {
                let Ok(event) = events.try_recv() else { break };
                if self.handle_event(now, event) {
                    return;
                }
            }
            if self.planner.next() <= now {
                let mut out = Vec::new();
                self.planner.tick(now, &mut out);
                self.carry_out(out);
                self.log_changes(now);
            }
            if !events.is_empty() {
                future::yield_now().await;
                continue;
            }
            timer.set_at(clock.instant(self.planner.next()));
            let tick = async {
                (&mut timer).await;
                None
            };
            if let Some(event) = future::or(async { events.recv().await.ok() }, tick).await {
                if self.handle_event(clock.now(), event) {
                    return;
                }
            }
        }
    }

    /// Handles an event. Returns whether the process must end.
    fn handle_event(&mut self, now: Micros, event: Event) -> bool {
        match event {
            Event::Accepted(socket, address) => self.accepted(now, socket, address),
            Event::Message(peer, message) => {
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
            Event::Down(peer, why) => {
                self.planner.down(peer);
                if let Some(p) = self.peers.remove(&peer).filter(|p| !p.closing) {
                    let address = p.address;
                    self.log_limited(
                        || info!(event = "peer_left", client = %address, why, "{address} left: {why}"),
                    );
                }
            }
            Event::AcceptFailed(why) => warn!(event = "accept_failed", why, "accept failed: {why}"),
            Event::End => return true,
        }
        false
    }

    fn accepted(&mut self, now: Micros, socket: Async<TcpStream>, address: SocketAddr) {
        if !self.lists.admits(address.ip()) {
            return self.log_limited(
                || warn!(event = "refused", client = %address, "{address} refused by the address lists"),
            );
        }
        let _ = socket.get_ref().set_nodelay(true);
        self.last_peer += 1;
        let (peer, (outbox, inbox), queue) = (self.last_peer, framed::outbox(), self.queue.clone());
        let task = self.executor.spawn(async move {
            let why =
                framed::run_connection(&socket, inbox, &queue, |message| Event::Message(peer, message)).await;
            drop(socket);
            let _ = queue.send(Event::Down(peer, why)).await;
        });
        self.peers.insert(peer, Peer { address, outbox, closing: false, _task: task });
        if let Err(why) = self.planner.up(now, peer) {
            self.refuse(peer, &why);
        }
    }

    /// Sends the reason for closing to a peer and closes the connection; the state machine has already
    /// dropped it.
    fn refuse(&mut self, peer: PeerId, why: &Refused) {
        let Some(p) = self.peers.get_mut(&peer) else { return };
        let (address, sent) = (p.address, p.outbox.last(frame::refusal(why)));
        p.closing = true;
        if !sent {
            self.peers.remove(&peer);
        }
        let why = why.to_string();
        self.log_limited(|| warn!(event = "peer_refused", client = %address, why, "{address} closed: {why}"));
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
                return self.log_limited(|| {
                    warn!(event = "not_told", why = why.to_string(), "message not sent: {why}")
                })
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
                self.log_limited(
                    || warn!(event = "peer_cut", client = %address, "{address} disconnected, it reads too slowly"),
                );
            }
        }
    }

    /// Logs a line of a kind that can be frequent, up to [`MAX_LINES`] per interval.
    fn log_limited(&mut self, log: impl FnOnce()) {
        self.logged_lines += 1;
        if self.logged_lines <= MAX_LINES {
            log();
        }
    }

    /// Logs nodes that have become silent or answer again and, once per interval, the figures.
    fn log_changes(&mut self, now: Micros) {
        let marks: BTreeMap<Node, (u16, ZoneSet)> =
            self.planner.findings().silent.iter().map(|m| (m.node, (m.witnesses, m.zones))).collect();
        for node in marks.keys().filter(|n| !self.logged_silent.contains(n)).copied().collect::<Vec<_>>() {
            let (witnesses, halls) = marks.get(&node).copied().unwrap_or_default();
            let for_all = if halls == ZoneSet::ALL { "all" } else { "some halls" };
            let id = node.id;
            self.log_limited(|| {
                warn!(
                    event = "silent",
                    node = id,
                    witnesses,
                    "node {id:016x} is silent for {for_all}, {witnesses} witnesses"
                );
            });
        }
        for node in self.logged_silent.iter().filter(|n| !marks.contains_key(n)).copied().collect::<Vec<_>>()
        {
            let id = node.id;
            self.log_limited(|| info!(event = "lives", node = id, "node {id:016x} is no longer silent"));
        }
        self.logged_silent = marks.into_keys().collect();
        if now - self.last_figures < FIGURES_INTERVAL {
            return;
        }
        self.last_figures = now;
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
        let left = std::mem::take(&mut self.logged_lines).saturating_sub(MAX_LINES);
        if left > 0 {
            warn!(event = "left_out", lines = left, "{left} more log lines suppressed");
        }
    }
}
