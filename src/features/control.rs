//! A control machine: carries numbered changes to every proxy, and knows which have them; carries no traffic. It owns
//! the [`Control`], the connections of followers, of other control machines and of whoever submits, a task each
//! ([`crate::net::framed`]), and a store's file ([`store`]).
//!
//! What the machine wants done is done in its order. A store's changes are written off this thread; until they last,
//! all that is to be done after them waits, and what else is to be written by then goes with the next write: one
//! fdatasync for many changes. A disk that fails or hangs ends the process, as if the machine had died: others go on.

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

/// News that may wait, and news taken before what is due is done.
const QUEUE: usize = 1024;
const AT_ONCE: usize = 256;
/// What may wait for the disk, in things to be done. Past that it does not keep up.
const WAITING: usize = 64 * 1024;
/// How long a write may take, in us: far more than the lease, after which nobody waits for this machine.
const WRITE: Micros = 10_000_000;
/// Without a descriptor for a connection: how long until the next is tried.
const CROWDED: Duration = Duration::from_millis(200);
/// How often figures are told, and how many lines about peers between two of them; how often it is looked whether there
/// is something else to tell.
const FIGURES: Micros = 10_000_000;
const LINES: u64 = 20;
const LOOK: Micros = 200_000;

enum News {
    Accepted(Async<TcpStream>, SocketAddr),
    Peer(PeerId, ConnectionEvent<Message>),
    /// The disk has the records, or the file anew.
    Written(Result<Box<Store>, String>),
    /// Told by the accepting task, once in a row.
    Crowded(String),
    /// The list of followers is to be read again.
    Reload,
    End,
}

struct Peer {
    address: SocketAddr,
    /// A control machine that we dialled.
    dialled: Option<ControlId>,
    up: bool,
    outbox: Outbox,
    /// Its last words are on their way: the core knows it no more.
    closing: bool,
    _task: Task<()>,
}

/// A store's disk.
enum Disk {
    /// It is no store.
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
    last: PeerId,
    lists: AddressLists,
    queue: Sender<News>,
    executor: Rc<LocalExecutor<'static>>,
    disk: Disk,
    /// What is to be done, in order. While the disk writes nothing of it is.
    todo: VecDeque<Output>,
    /// Why it cannot go on.
    failed: Option<String>,
    lines: u64,
    told: Micros,
    looked: Micros,
    /// What was told of last.
    takes: bool,
    fresh: bool,
    conflicts: BTreeSet<StreamId>,
    refused: BTreeSet<(StreamId, u64)>,
}

/// What a control machine starts with.
#[derive(Debug)]
pub struct Start {
    pub address: SocketAddr,
    pub settings: Settings,
    pub lists: AddressLists,
    /// The followers that there are, by their names' numbers.
    pub roster: BTreeMap<FollowerId, String>,
    /// A store's file as it was found.
    pub loaded: Option<Loaded>,
}

/// Serves until SIGTERM or SIGINT; SIGHUP has it read the list of followers again. All tasks are spawned on
/// `executor`, whose thread this has to be. An error says why it cannot serve.
pub async fn run(start: Start, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let Start { address, settings, lists, roster, loaded } = start;
    let failed = |e| format!("cannot listen on {address}: {e}");
    let listener = Async::<TcpListener>::bind(address).map_err(failed)?;
    let bound = listener.get_ref().local_addr().map_err(failed)?;
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let (queue, news) = async_channel::bounded(QUEUE);
    let (me, rules) = (settings.me(), settings.controls.rules()?);
    let (stores, followers) = (rules.stores, roster.len());
    let (records, disk) = match loaded {
        None => (Vec::new(), Disk::None),
        Some(Loaded { store, records, torn, older }) => {
            tell_loaded(&settings, records.len(), torn, older);
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
        last: 0,
        lists,
        queue: queue.clone(),
        executor: executor.clone(),
        disk,
        todo: VecDeque::new(),
        failed: None,
        lines: 0,
        told: now,
        looked: now,
        takes: false,
        fresh: false,
        conflicts: BTreeSet::new(),
        refused: BTreeSet::new(),
    };
    let _accept = executor.spawn(accept(listener, queue.clone()));
    let _signals = executor.spawn(async move {
        loop {
            let news = match signals.next().await {
                SignalRequest::Reload => News::Reload,
                SignalRequest::End => News::End,
            };
            let _ = queue.send(news).await;
        }
    });
    host.work(&clock, &news).await;
    if let Some(why) = host.failed {
        return Err(why);
    }
    info!(event = "ended", "ended");
    Ok(())
}

/// What was found in a store's file.
fn tell_loaded(settings: &Settings, records: usize, torn: u64, older: Option<u32>) {
    let file = settings.store.as_ref().map(|p| p.display().to_string()).unwrap_or_default();
    info!(event = "loaded", file, records, "{file}: {records} records");
    if torn > 0 {
        warn!(
            event = "torn",
            file,
            bytes = torn,
            "{file}: a last record of {torn} bytes was torn and is gone"
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

/// A stream as lines name it: its topic and the store that numbers it.
pub fn stream_name(of: StreamId) -> String {
    format!("{}.{}", of.topic, of.store.0)
}

impl Host {
    async fn work(&mut self, clock: &Clock, news: &Receiver<News>) {
        let mut timer = Timer::at(Instant::now());
        while self.failed.is_none() {
            let now = clock.now();
            for _ in 0..AT_ONCE {
                let Ok(one) = news.try_recv() else { break };
                if self.hear(now, one) {
                    return;
                }
            }
            if self.control.next_tick() <= now {
                let mut out = Vec::new();
                self.control.tick(now, &mut out);
                self.carry_out(now, out);
            }
            self.watch_disk(now);
            self.tell(now);
            if !news.is_empty() {
                future::yield_now().await;
                continue;
            }
            timer.set_at(clock.instant(self.control.next_tick().min(now + LOOK)));
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
        let mut out = Vec::new();
        match news {
            News::Accepted(socket, address) => self.accepted(now, socket, address, &mut out),
            News::Peer(peer, word) => self.peer(now, peer, word, &mut out),
            News::Written(Ok(store)) => self.disk = Disk::Idle(store),
            News::Written(Err(why)) => self.failed = Some(why),
            News::Crowded(why) => warn!(event = "accept_failed", why, "accept failed: {why}"),
            News::Reload => self.reload(),
            News::End => return true,
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
                    self.line(|| info!(event = "peer_left", client = %address, why, "{address} left: {why}"));
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
            return self.line(
                || warn!(event = "refused", client = %address, "{address} refused by the address lists"),
            );
        }
        let _ = socket.get_ref().set_nodelay(true);
        self.last += 1;
        let (peer, (outbox, inbox), queue) = (self.last, framed::outbox_for::<Message>(), self.queue.clone());
        let task = self.executor.spawn(async move {
            let said = |message| News::Peer(peer, ConnectionEvent::Message(message));
            let why = framed::run_connection(&socket, inbox, &queue, said).await;
            drop(socket);
            let _ = queue.send(News::Peer(peer, ConnectionEvent::Down(why))).await;
        });
        let new = Peer { address, dialled: None, up: true, outbox, closing: false, _task: task };
        self.peers.insert(peer, new);
        self.control.up(now, peer, ConnectionKind::Accepted, out);
    }

    /// Opens a connection to another control machine; one that is only being opened there gives way.
    fn dial(&mut self, control: ControlId) {
        let Some(listed) = self.settings.controls.listed.get(usize::from(control.0)) else { return };
        let address = listed.address;
        self.peers.retain(|_, p| p.up || p.dialled != Some(control));
        self.last += 1;
        let (peer, (outbox, inbox)) = (self.last, framed::outbox_for::<Message>());
        let word = move |word| News::Peer(peer, word);
        let task = self.executor.spawn(framed::dial(address, inbox, self.queue.clone(), word));
        let new = Peer { address, dialled: Some(control), up: false, outbox, closing: false, _task: task };
        self.peers.insert(peer, new);
    }

    /// Tells a peer why its connection is closed; the core knows it no more.
    fn refuse(&mut self, peer: PeerId, why: &CloseReason) {
        let Some(p) = self.peers.get_mut(&peer) else { return };
        let (address, said) = (p.address, p.outbox.last(frame::refusal(why)));
        p.closing = true;
        if !said {
            self.peers.remove(&peer);
        }
        let why = why.to_string();
        self.line(|| warn!(event = "peer_refused", client = %address, why, "{address} closed: {why}"));
    }

    /// Does what is to be done, as far as the disk lets it.
    fn carry_out(&mut self, now: Micros, out: Vec<Output>) {
        self.todo.extend(out);
        if self.todo.len() > WAITING {
            self.failed = Some(self.disk_failed("it does not keep up"));
            return;
        }
        // What was encoded last: batches to many followers are the same message.
        let mut last: Option<(Rc<Message>, Rc<[u8]>)> = None;
        while !matches!(self.disk, Disk::Writes { .. }) {
            match self.todo.pop_front() {
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
                                self.line(|| warn!(event = "not_told", why, "not told: {why}"));
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
        self.todo.extend(out);
        self.line(|| warn!(event = "peer_cut", client = %address, "{address} cut, it reads too slowly"));
    }

    /// Writes these records and all others that wait to be written: earlier than they need.
    fn persist(&mut self, now: Micros, mut records: Vec<Record>) {
        for output in &mut self.todo {
            if let Output::Persist(more) = output {
                records.append(more);
            }
        }
        if records.is_empty() {
            return;
        }
        let Disk::Idle(mut store) = std::mem::replace(&mut self.disk, Disk::None) else {
            // Only stores have something to write, and none starts without a file.
            self.failed = Some("control: a store without a controlstore".into());
            return;
        };
        let (queue, failed, bytes) = (self.queue.clone(), self.disk_failed(""), store::encode(&records));
        let task = self.executor.spawn(async move {
            let write = move || bytes.and_then(|bytes| store.append(&bytes)).map(|()| store);
            let written = blocking::unblock(write).await;
            let _ = queue.send(News::Written(written.map_err(|e| format!("{failed}{e}")))).await;
        });
        self.disk = Disk::Writes { since: now, _task: task };
    }

    /// Has the file written anew if it has grown. All that the machine holds lasts by now.
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
            let _ = queue.send(News::Written(written)).await;
        });
        self.disk = Disk::Writes { since: now, _task: task };
    }

    fn watch_disk(&mut self, now: Micros) {
        if matches!(self.disk, Disk::Writes { since, .. } if now - since > WRITE) {
            self.failed = Some(self.disk_failed("it hangs"));
        }
    }

    fn disk_failed(&self, why: &str) -> String {
        let file = self.settings.store.as_ref().map(|p| p.display().to_string());
        format!("control: {}: {why}", file.unwrap_or_default())
    }

    /// Reads the list of followers again.
    fn reload(&mut self) {
        let Some(path) = self.settings.followers.clone() else { return };
        match settings::roster(&path) {
            Ok(names) => {
                let followers = names.len();
                info!(event = "reloaded", followers, "reloaded: {followers} followers");
                self.control.set_roster(names.into_keys().collect());
            }
            Err(why) => warn!(event = "not_reloaded", why, "not reloaded, the old list stays: {why}"),
        }
    }

    /// A line of which there could be many.
    fn line(&mut self, tell: impl FnOnce()) {
        self.lines += 1;
        if self.lines <= LINES {
            tell();
        }
    }

    /// Lines about what has changed, and the figures.
    fn tell(&mut self, now: Micros) {
        if now - self.looked < LOOK {
            return;
        }
        self.looked = now;
        let stats = self.control.stats(now);
        if stats.accepting != std::mem::replace(&mut self.takes, stats.accepting) {
            match stats.accepting {
                true => info!(event = "takes", "takes submissions"),
                false => warn!(event = "takes_none", "takes no submissions"),
            }
        }
        // Known within the lease: who has no fresh instant is of no use to followers.
        let fresh = stats.fresh.is_some_and(|at| now - at < 2_000_000);
        if fresh != std::mem::replace(&mut self.fresh, fresh) {
            match fresh {
                true => info!(event = "fresh", "hears a majority of the stores"),
                false => warn!(event = "not_fresh", "hears no majority of the stores"),
            }
        }
        for of in stats.conflicts.iter().filter(|s| !self.conflicts.contains(s)).copied().collect::<Vec<_>>()
        {
            let name = stream_name(of);
            self.line(|| {
                warn!(
                    event = "conflict",
                    stream = name,
                    "stream {name}: another control machine has another history; see docs/dissemination.md"
                );
            });
        }
        self.conflicts = stats.conflicts.iter().copied().collect();
        let refused: BTreeSet<_> =
            stats.refused.iter().map(|(stream, number, _)| (*stream, *number)).collect();
        for (of, number) in refused.difference(&self.refused).copied().collect::<Vec<_>>() {
            let name = stream_name(of);
            self.line(|| {
                warn!(
                    event = "change_refused",
                    stream = name,
                    number,
                    "change {name}.{number} could not be put in force at a follower"
                );
            });
        }
        self.refused = refused;
        if now - self.told < FIGURES {
            return;
        }
        self.told = now;
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
        let left = std::mem::take(&mut self.lines).saturating_sub(LINES);
        if left > 0 {
            warn!(event = "left_out", lines = left, "{left} more lines left out");
        }
    }
}

/// Opens a store's file, for one that is a store.
///
/// # Errors
///
/// One line: a store without a file, a file that cannot be used.
pub fn load(settings: &Settings) -> Result<Option<Loaded>, String> {
    let rules = settings.controls.rules()?;
    if !rules.is_store(settings.me()) {
        return Ok(None);
    }
    let path = settings.store.as_ref().ok_or("no controlstore, though it is a store")?;
    Store::open(path, settings.me(), rules.epoch).map(Some)
}
