//! A control machine: distributes numbered changes to all proxies and tracks which proxies have them; it
//! carries no client traffic. This module owns the [`Control`] state machine, the connections of followers,
//! other control machines and submitters (one task each, see [`crate::net::framed`]) and a store's file
//! ([`store`]).
//!
//! Outputs of the state machine are executed in order. A store's changes are written on another thread; until
//! they are durable, all later outputs wait, and records that have to be written meanwhile are combined into
//! the next write, so that one fdatasync covers many changes. A failing or hanging disk ends the process, as
//! if the machine had failed; the other machines take over.

pub mod settings;
pub mod store;

pub use settings::{ControlEntry, ControlList, Settings, MAX_CONTROLS};

use crate::clock::Clock;
use crate::features::addresses::AddressLists;
use crate::interface::Micros;
use crate::net::canonical_address;
use crate::net::framed::{self, ConnectionEvent, Outbox};
use crate::signals::{SignalRequest, Signals};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use dissemination::control::{ConnectionKind, Output};
use dissemination::frame::{self, CloseReason};
use dissemination::{Control, ControlId, FollowerId, Message, PeerId, Record, StreamId};
use futures_lite::future;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::{Loaded, Store};
use tracing::{info, warn};

/// Capacity of the event queue, and number of events handled before timers are checked.
const QUEUE_CAPACITY: usize = 1024;
const EVENTS_PER_TURN: usize = 256;
/// Maximum number of outputs that wait for the disk; beyond that, the disk is too slow.
const MAX_PENDING_OUTPUTS: usize = 64 * 1024;
/// Maximum duration of a write in us. It is far longer than the lease, after which no other machine waits for
/// this one.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// Delay before accepting is retried after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between figures in the log, maximum number of log lines about peers within it, and interval
/// between checks for state changes to log.
const FIGURES_INTERVAL: Micros = 10_000_000;
const MAX_LINES: u64 = 20;
const CHECK_INTERVAL: Micros = 200_000;

enum Event {
    Accepted(Async<TcpStream>, SocketAddr),
    Peer(PeerId, ConnectionEvent<Message>),
    /// The records have been written, or the file has been rewritten.
    Written(Result<Box<Store>, String>),
    /// Accepting has failed. Sent once per series of failures.
    AcceptFailed(String),
    /// The list of followers must be read again.
    Reload,
    End,
}

struct Peer {
    address: SocketAddr,
    /// The control machine that this connection was opened to, if it is an outgoing one.
    dialled: Option<ControlId>,
    up: bool,
    outbox: Outbox,
    /// The reason for closing is being sent; the state machine has already dropped the peer.
    closing: bool,
    _task: Task<()>,
}

/// State of the store's disk.
enum Disk {
    /// This machine is not a store.
    None,
    Idle(Box<Store>),
    Writes {
        since: Micros,
        _task: Task<()>,
    },
}

struct Host {
    control: Control,
    settings: Settings,
    peers: BTreeMap<PeerId, Peer>,
    last_peer: PeerId,
    lists: AddressLists,
    queue: Sender<Event>,
    executor: Rc<LocalExecutor<'static>>,
    disk: Disk,
    /// Outputs that have not been executed yet, in order. They all wait while the disk is written.
    pending_outputs: VecDeque<Output>,
    /// Why the process must end.
    fatal_error: Option<String>,
    logged_lines: u64,
    last_figures: Micros,
    last_check: Micros,
    /// The state that was logged last.
    accepting: bool,
    fresh: bool,
    conflicts: BTreeSet<StreamId>,
    refused: BTreeSet<(StreamId, u64)>,
}

/// Initial state of a control machine.
#[derive(Debug)]
pub struct Start {
    pub address: SocketAddr,
    pub settings: Settings,
    pub lists: AddressLists,
    /// The known followers, with their names by id.
    pub roster: BTreeMap<FollowerId, String>,
    /// The content of the store's file.
    pub loaded: Option<Loaded>,
}

/// Runs until SIGTERM or SIGINT; SIGHUP reloads the list of followers. All tasks are spawned on `executor`,
/// which must run on the current thread. The error says why the machine cannot continue.
pub async fn run(start: Start, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let Start { address, settings, lists, roster, loaded } = start;
    let failed = |e| format!("cannot listen on {address}: {e}");
    let listener = Async::<TcpListener>::bind(address).map_err(failed)?;
    let bound = listener.get_ref().local_addr().map_err(failed)?;
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let (queue, events) = async_channel::bounded(QUEUE_CAPACITY);
    let (me, rules) = (settings.me(), settings.controls.rules()?);
    let (stores, followers) = (rules.stores, roster.len());
    let (records, disk) = match loaded {
        None => (Vec::new(), Disk::None),
        Some(Loaded { store, records, torn, older }) => {
            log_loaded(&settings, records.len(), torn, older);
            (records, Disk::Idle(Box::new(store)))
        }
    };
    let ids = roster.into_keys().collect();
    let control = Control::new(now, rules, me, ids, records).map_err(|why| {
        let file = settings.store.as_ref().map(|p| format!("{}: ", p.display()));
        format!("control: {}{why}", file.unwrap_or_default())
    })?;
    let (number, epoch) = (me.0, settings.controls.epoch);
    info!(
        event = "controlling",
        address = %bound,
        number,
        stores,
        followers,
        epoch,
        "control machine {number}: listening on {bound}, {stores} stores, {followers} followers, epoch {epoch}"
    );
    let mut host = Host {
        control,
        settings,
        peers: BTreeMap::new(),
        last_peer: 0,
        lists,
        queue: queue.clone(),
        executor: executor.clone(),
        disk,
        pending_outputs: VecDeque::new(),
        fatal_error: None,
        logged_lines: 0,
        last_figures: now,
        last_check: now,
        accepting: false,
        fresh: false,
        conflicts: BTreeSet::new(),
        refused: BTreeSet::new(),
    };
    let _accept = executor.spawn(accept(listener, queue.clone()));
    let _signals = executor.spawn(async move {
        loop {
            let event = match signals.next().await {
                SignalRequest::Reload => Event::Reload,
                SignalRequest::End => Event::End,
            };
            let _ = queue.send(event).await;
        }
    });
    host.run_loop(&clock, &events).await;
    if let Some(why) = host.fatal_error {
        return Err(why);
    }
    info!(event = "ended", "ended");
    Ok(())
}

/// Logs what was found in the store's file.
fn log_loaded(settings: &Settings, records: usize, torn: u64, older: Option<u32>) {
    let file = settings.store.as_ref().map(|p| p.display().to_string()).unwrap_or_default();
    info!(event = "loaded", file, records, "{file}: {records} records");
    if torn > 0 {
        warn!(
            event = "torn",
            file,
            bytes = torn,
            "{file}: dropped an incomplete record of {torn} bytes at the end"
        );
    }
    if let Some(older) = older {
        let epoch = settings.controls.epoch;
        warn!(
            event = "epoch_raised",
            file, older, epoch, "{file}: written in epoch {older}, now it is {epoch}"
        );
    }
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

/// The name of a stream in log lines: its topic and the store that numbers it.
pub fn stream_name(of: StreamId) -> String {
    format!("{}.{}", of.topic, of.store.0)
}

impl Host {
    async fn run_loop(&mut self, clock: &Clock, events: &Receiver<Event>) {
        let mut timer = Timer::at(Instant::now());
        while self.fatal_error.is_none() {
            let now = clock.now();
            for _ in 0..EVENTS_PER_TURN {
                let Ok(event) = events.try_recv() else { break };
                if self.handle_event(now, event) {
                    return;
                }
            }
            if self.control.next_tick() <= now {
                let mut out = Vec::new();
                self.control.tick(now, &mut out);
                self.carry_out(now, out);
            }
            self.watch_disk(now);
            self.log_changes(now);
            if !events.is_empty() {
                future::yield_now().await;
                continue;
            }
            timer.set_at(clock.instant(self.control.next_tick().min(now + CHECK_INTERVAL)));
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
        let mut out = Vec::new();
        match event {
            Event::Accepted(socket, address) => self.accepted(now, socket, address, &mut out),
            Event::Peer(peer, word) => self.peer(now, peer, word, &mut out),
            Event::Written(Ok(store)) => self.disk = Disk::Idle(store),
            Event::Written(Err(why)) => self.fatal_error = Some(why),
            Event::AcceptFailed(why) => warn!(event = "accept_failed", why, "accept failed: {why}"),
            Event::Reload => self.reload(),
            Event::End => return true,
        }
        self.carry_out(now, out);
        false
    }

    fn peer(&mut self, now: Micros, peer: PeerId, word: ConnectionEvent<Message>, out: &mut Vec<Output>) {
        let Some(p) = self.peers.get_mut(&peer) else { return };
        match word {
            ConnectionEvent::Up => {
                p.up = true;
                if let Some(control) = p.dialled {
                    self.control.up(now, peer, ConnectionKind::Control(control), out);
                }
            }
            ConnectionEvent::Message(_) if p.closing => {}
            ConnectionEvent::Message(message) => {
                if let Err(why) = self.control.handle_message(now, peer, &message, out) {
                    self.refuse(peer, &why);
                }
            }
            ConnectionEvent::Down(why) => {
                let (address, dialled, known) = (p.address, p.dialled, p.up && !p.closing);
                self.peers.remove(&peer);
                if known {
                    self.control.down(now, peer, out);
                }
                if known || dialled.is_some() {
                    self.log_limited(
                        || info!(event = "peer_left", client = %address, why, "{address} left: {why}"),
                    );
                }
            }
        }
    }

    fn accepted(
        &mut self,
        now: Micros,
        socket: Async<TcpStream>,
        address: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        if !self.lists.admits(address.ip()) {
            return self.log_limited(
                || warn!(event = "refused", client = %address, "{address} refused by the address lists"),
            );
        }
        let _ = socket.get_ref().set_nodelay(true);
        self.last_peer += 1;
        let (peer, (outbox, inbox), queue) =
            (self.last_peer, framed::outbox_for::<Message>(), self.queue.clone());
        let task = self.executor.spawn(async move {
            let on_message = |message| Event::Peer(peer, ConnectionEvent::Message(message));
            let why = framed::run_connection(&socket, inbox, &queue, on_message).await;
            drop(socket);
            let _ = queue.send(Event::Peer(peer, ConnectionEvent::Down(why))).await;
        });
        let new = Peer { address, dialled: None, up: true, outbox, closing: false, _task: task };
        self.peers.insert(peer, new);
        self.control.up(now, peer, ConnectionKind::Accepted, out);
    }

    /// Connects to another control machine. A connection to it that is not established yet is dropped.
    fn dial(&mut self, control: ControlId) {
        let Some(listed) = self.settings.controls.listed.get(usize::from(control.0)) else { return };
        let address = listed.address;
        self.peers.retain(|_, p| p.up || p.dialled != Some(control));
        self.last_peer += 1;
        let (peer, (outbox, inbox)) = (self.last_peer, framed::outbox_for::<Message>());
        let word = move |word| Event::Peer(peer, word);
        let task = self.executor.spawn(framed::dial(address, inbox, self.queue.clone(), word));
        let new = Peer { address, dialled: Some(control), up: false, outbox, closing: false, _task: task };
        self.peers.insert(peer, new);
    }

    /// Sends the reason for closing to a peer and closes the connection; the state machine has already
    /// dropped it.
    fn refuse(&mut self, peer: PeerId, why: &CloseReason) {
        let Some(p) = self.peers.get_mut(&peer) else { return };
        let (address, sent) = (p.address, p.outbox.last(frame::refusal(why)));
        p.closing = true;
        if !sent {
            self.peers.remove(&peer);
        }
        let why = why.to_string();
        self.log_limited(|| warn!(event = "peer_refused", client = %address, why, "{address} closed: {why}"));
    }

    /// Executes outputs, except those that have to wait for the disk.
    fn carry_out(&mut self, now: Micros, out: Vec<Output>) {
        self.pending_outputs.extend(out);
        if self.pending_outputs.len() > MAX_PENDING_OUTPUTS {
            self.fatal_error = Some(self.disk_failed("writing does not keep up with the changes"));
            return;
        }
        // The last encoded message, which is reused because batches to many followers share it.
        let mut last: Option<(Rc<Message>, Rc<[u8]>)> = None;
        while !matches!(self.disk, Disk::Writes { .. }) {
            match self.pending_outputs.pop_front() {
                None => return self.rewrite(now),
                Some(Output::Persist(records)) => self.persist(now, records),
                Some(Output::Dial(control)) => self.dial(control),
                Some(Output::Close(peer, why)) => self.refuse(peer, &why),
                Some(Output::Send(peer, message)) => {
                    let frame = match &last {
                        Some((of, frame)) if Rc::ptr_eq(of, &message) => frame.clone(),
                        _ => match frame::encode(&message) {
                            Ok(bytes) => bytes.into(),
                            Err(why) => {
                                let why = why.to_string();
                                self.log_limited(|| {
                                    warn!(event = "not_told", why, "message not sent: {why}")
                                });
                                continue;
                            }
                        },
                    };
                    self.send(now, peer, frame.clone());
                    last = Some((message, frame));
                }
            }
        }
    }

    fn send(&mut self, now: Micros, peer: PeerId, frame: Rc<[u8]>) {
        let slow = self.peers.get(&peer).is_some_and(|p| !p.closing && !p.outbox.push(frame));
        let Some(p) = self.peers.get(&peer).filter(|_| slow) else { return };
        let address = p.address;
        self.peers.remove(&peer);
        let mut out = Vec::new();
        self.control.down(now, peer, &mut out);
        self.pending_outputs.extend(out);
        self.log_limited(
            || warn!(event = "peer_cut", client = %address, "{address} disconnected, it reads too slowly"),
        );
    }

    /// Writes these records together with all others that are waiting to be written, earlier than they have
    /// to be.
    fn persist(&mut self, now: Micros, mut records: Vec<Record>) {
        for output in &mut self.pending_outputs {
            if let Output::Persist(more) = output {
                records.append(more);
            }
        }
        if records.is_empty() {
            return;
        }
        let Disk::Idle(mut store) = std::mem::replace(&mut self.disk, Disk::None) else {
            // Only stores write records, and a store does not start without a file.
            self.fatal_error = Some("control: a store without a controlstore".into());
            return;
        };
        let (queue, failed, bytes) = (self.queue.clone(), self.disk_failed(""), store::encode(&records));
        let task = self.executor.spawn(async move {
            let write = move || bytes.and_then(|bytes| store.append(&bytes)).map(|()| store);
            let written = blocking::unblock(write).await;
            let _ = queue.send(Event::Written(written.map_err(|e| format!("{failed}{e}")))).await;
        });
        self.disk = Disk::Writes { since: now, _task: task };
    }

    /// Rewrites the file if it has grown too much. At this point everything the machine holds is durable.
    fn rewrite(&mut self, now: Micros) {
        let Disk::Idle(store) = &self.disk else { return };
        if !store.needs_rewrite() {
            return;
        }
        let Disk::Idle(store) = std::mem::replace(&mut self.disk, Disk::None) else { return };
        let bytes = store::encode(&self.control.records());
        let (queue, failed) = (self.queue.clone(), self.disk_failed(""));
        let task = self.executor.spawn(async move {
            let written = blocking::unblock(move || bytes.and_then(|bytes| store.rewrite(&bytes))).await;
            let written = written.map(Box::new).map_err(|e| format!("{failed}{e}"));
            let _ = queue.send(Event::Written(written)).await;
        });
        self.disk = Disk::Writes { since: now, _task: task };
    }

    fn watch_disk(&mut self, now: Micros) {
        if matches!(self.disk, Disk::Writes { since, .. } if now - since > WRITE_TIMEOUT) {
            self.fatal_error = Some(self.disk_failed("a write takes too long, the disk hangs"));
        }
    }

    fn disk_failed(&self, why: &str) -> String {
        let file = self.settings.store.as_ref().map(|p| p.display().to_string());
        format!("control: {}: {why}", file.unwrap_or_default())
    }

    /// Reloads the list of followers.
    fn reload(&mut self) {
        let Some(path) = self.settings.followers.clone() else { return };
        match settings::roster(&path) {
            Ok(names) => {
                let followers = names.len();
                info!(event = "reloaded", followers, "reloaded: {followers} followers");
                self.control.set_roster(names.into_keys().collect());
            }
            Err(why) => {
                warn!(event = "not_reloaded", why, "not reloaded, keeping the old list of followers: {why}")
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

    /// Logs state changes and, once per interval, the figures.
    fn log_changes(&mut self, now: Micros) {
        if now - self.last_check < CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let stats = self.control.stats(now);
        if stats.accepting != std::mem::replace(&mut self.accepting, stats.accepting) {
            match stats.accepting {
                true => info!(event = "takes", "accepting submissions"),
                false => warn!(event = "takes_none", "not accepting submissions"),
            }
        }
        // 2 s is well within the lease; without a fresh instant this machine is of no use to followers.
        let fresh = stats.fresh.is_some_and(|at| now - at < 2_000_000);
        if fresh != std::mem::replace(&mut self.fresh, fresh) {
            match fresh {
                true => info!(event = "fresh", "in contact with a majority of the stores"),
                false => warn!(event = "not_fresh", "not in contact with a majority of the stores"),
            }
        }
        for of in stats.conflicts.iter().filter(|s| !self.conflicts.contains(s)).copied().collect::<Vec<_>>()
        {
            let name = stream_name(of);
            self.log_limited(|| {
                warn!(
                    event = "conflict",
                    stream = name,
                    "stream {name}: another control machine has a conflicting history; see docs/dissemination.md"
                );
            });
        }
        self.conflicts = stats.conflicts.iter().copied().collect();
        let refused: BTreeSet<_> =
            stats.refused.iter().map(|(stream, number, _)| (*stream, *number)).collect();
        for (of, number) in refused.difference(&self.refused).copied().collect::<Vec<_>>() {
            let name = stream_name(of);
            self.log_limited(|| {
                warn!(
                    event = "change_refused",
                    stream = name,
                    number,
                    "a follower could not apply change {name}.{number}"
                );
            });
        }
        self.refused = refused;
        if now - self.last_figures < FIGURES_INTERVAL {
            return;
        }
        self.last_figures = now;
        self.figures(now);
    }

    fn figures(&mut self, now: Micros) {
        let s = self.control.stats(now);
        let age_ms = s.fresh.map(|at| (now - at) / 1000);
        let held: u64 = s.held.iter().map(|(_, number)| number).sum();
        let committed: u64 = s.committed.iter().map(|(_, number)| number).sum();
        let age = age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
        info!(
            event = "figures",
            held,
            committed,
            age_ms,
            takes = s.accepting,
            controls = s.controls,
            primaries = s.primaries,
            secondaries = s.secondaries,
            clients = s.clients,
            strangers = s.unidentified,
            pending = s.pending,
            taken = s.accepted,
            busy = s.busy,
            acknowledged = s.acknowledged,
            bytes = s.bytes,
            marks = s.marks,
            silent = s.timed_out,
            room = s.at_capacity,
            differs = s.history_mismatches,
            "held {held} committed {committed} fresh {age}; taken {} busy {} acknowledged {} pending {}; \
             to followers: bytes {} marks {}; closed: silent {} room {} differs {}; open: controls {} primaries {} \
             secondaries {} clients {} strangers {}",
            s.accepted,
            s.busy,
            s.acknowledged,
            s.pending,
            s.bytes,
            s.marks,
            s.timed_out,
            s.at_capacity,
            s.history_mismatches,
            s.controls,
            s.primaries,
            s.secondaries,
            s.clients,
            s.unidentified,
        );
        let left = std::mem::take(&mut self.logged_lines).saturating_sub(MAX_LINES);
        if left > 0 {
            warn!(event = "left_out", lines = left, "{left} more log lines suppressed");
        }
    }
}

/// Opens the store's file, if this machine is a store.
///
/// # Errors
///
/// A one-line message if no file is configured or the file cannot be used.
pub fn load(settings: &Settings) -> Result<Option<Loaded>, String> {
    let rules = settings.controls.rules()?;
    if !rules.is_store(settings.me()) {
        return Ok(None);
    }
    let path = settings.store.as_ref().ok_or("no controlstore, though it is a store")?;
    Store::open(path, settings.me(), rules.epoch).map(Some)
}
