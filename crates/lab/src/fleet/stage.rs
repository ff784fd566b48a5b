//! The surroundings of a fleet: stand-in cache nodes, discovery, and clients with a small steady load.
//!
//! It owns one thread with all their sockets and records the events of the clients. Nodes answer every
//! request after a fixed time with a value that names its key and request; on command they hang or go away. A
//! client connection carries one request at a time, so that each answer can be attributed. There are no
//! models of machines here: where service times, stores and queues matter, use a scenario
//! ([`crate::loopback`]).

use crate::loopback::socket::wire::{self, Command, Dialect, TryId};
use crate::loopback::Clock;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use martenweir::codec::resp::{self, Reply};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use world::facts::TryNo;
use world::fleet::schedule::NodeAction;
use world::random::{exponential, stream};
use world::Micros;

/// The timeout that clients declare, and how much longer an answer is still accepted.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_millis(1_000);
/// Maximum number of requests in flight per forwarder; further ones are not sent.
const MAX_IN_FLIGHT: usize = 64;
/// Maximum number of events kept.
const MAX_EVENTS: usize = history::MAX_ITEMS;
/// Size of a value in bytes.
const VALUE_BYTES: u32 = 64;
const KEY_COUNT: u32 = 100_000;
/// Interval of the keepalives of discovery.
const DISCOVERY_KEEPALIVE: Duration = Duration::from_secs(2);
/// Number of attempts to listen on an address again.
const LISTEN_TRIES: usize = 100;

/// Parameters of the stage.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub nodes: usize,
    pub forwarders: usize,
    pub service: Duration,
    /// Requests per second to each forwarder.
    pub rate: f64,
    pub seed: u64,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Value,
    /// The answer was an error: `BUSY`, or any other failure.
    Refused,
    Failed,
    /// The connection broke before an answer came.
    Broken,
    /// No answer came in time.
    Late,
}

/// Events of the clients, in order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    Asked {
        id: u64,
        at: Micros,
        forwarder: usize,
    },
    Ended {
        id: u64,
        at: Micros,
        end: End,
    },
    /// Extra data came after the answer, or the answer was for another request.
    Stray {
        id: u64,
        at: Micros,
    },
}

enum Order {
    Node(usize, NodeAction),
    /// Sets the address of a forwarder.
    At(usize, Option<SocketAddr>),
    Begin,
    /// Stops sending requests; replies with the events once all requests in flight have ended.
    End(Sender<Vec<ClientEvent>>),
}

/// See the module documentation. Dropping it ends the thread.
#[derive(Debug)]
pub struct Stage {
    orders: Sender<(Order, Sender<()>)>,
    nodes: Vec<SocketAddr>,
    discovery: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(at)
}

impl Stage {
    /// Opens all ports.
    ///
    /// # Errors
    ///
    /// No socket or no thread is available.
    pub fn start(clock: Clock, setting: Setting) -> io::Result<Stage> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listeners: Vec<Async<TcpListener>> =
            (0..=setting.nodes).map(|_| listen(any)).collect::<Result<_, _>>()?;
        let mut addresses: Vec<SocketAddr> =
            listeners.iter().map(|l| l.get_ref().local_addr()).collect::<Result<_, _>>()?;
        let discovery = addresses.pop().unwrap_or(any);
        let (orders, taken) = async_channel::bounded(64);
        let nodes = addresses.clone();
        let thread = std::thread::Builder::new().name("fleet-stage".into()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let state = StageState::new(clock, setting, addresses, executor.clone());
            async_io::block_on(executor.run(state.work(listeners, taken)));
        })?;
        Ok(Stage { orders, nodes, discovery, thread: Some(thread) })
    }

    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    fn order(&self, order: Order) {
        let (done, wait) = async_channel::bounded(1);
        if self.orders.send_blocking((order, done)).is_ok() {
            let _ = wait.recv_blocking();
        }
    }

    /// Sets the behaviour of a node.
    pub fn node(&self, node: usize, act: NodeAction) {
        self.order(Order::Node(node, act));
    }

    /// Sets the address of a forwarder; `None` if it does not listen.
    pub fn at(&self, forwarder: usize, address: Option<SocketAddr>) {
        self.order(Order::At(forwarder, address));
    }

    /// Starts the clients.
    pub fn begin(&self) {
        self.order(Order::Begin);
    }

    /// Stops the clients; returns their events once no request is in flight.
    pub fn end(&self) -> Vec<ClientEvent> {
        let (events, told) = async_channel::bounded(1);
        self.order(Order::End(events));
        told.recv_blocking().unwrap_or_default()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.orders.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// An idle client connection, and the id of its last request.
type Idle = (Async<TcpStream>, u64);

struct StageState {
    clock: Clock,
    setting: Setting,
    addresses: Vec<SocketAddr>,
    executor: Rc<LocalExecutor<'static>>,
    acts: Vec<Cell<NodeAction>>,
    /// Accept task and connection tasks of each node.
    accept_tasks: RefCell<Vec<Option<Task<()>>>>,
    connection_tasks: RefCell<Vec<Vec<Task<()>>>>,
    forwarders: RefCell<Vec<Option<SocketAddr>>>,
    idle: RefCell<Vec<Vec<Idle>>>,
    out: Cell<usize>,
    next_id: Cell<u64>,
    sending: Cell<bool>,
    events: RefCell<Vec<ClientEvent>>,
}

impl StageState {
    fn new(
        clock: Clock,
        setting: Setting,
        addresses: Vec<SocketAddr>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<StageState> {
        Rc::new(StageState {
            clock,
            setting,
            addresses,
            executor,
            acts: (0..setting.nodes).map(|_| Cell::new(NodeAction::Serve)).collect(),
            accept_tasks: RefCell::new((0..setting.nodes).map(|_| None).collect()),
            connection_tasks: RefCell::new((0..setting.nodes).map(|_| Vec::new()).collect()),
            forwarders: RefCell::new(vec![None; setting.forwarders]),
            idle: RefCell::new((0..setting.forwarders).map(|_| Vec::new()).collect()),
            out: Cell::new(0),
            next_id: Cell::new(0),
            sending: Cell::new(false),
            events: RefCell::default(),
        })
    }

    /// Runs until the order channel closes.
    async fn work(
        self: Rc<Self>,
        mut listeners: Vec<Async<TcpListener>>,
        orders: Receiver<(Order, Sender<()>)>,
    ) {
        let discovery = listeners.pop().map(|l| self.executor.spawn(self.clone().discover(l)));
        for (node, listener) in listeners.into_iter().enumerate() {
            self.open(node, listener);
        }
        let mut clients = Vec::new();
        while let Ok((order, done)) = orders.recv().await {
            match order {
                Order::Node(node, act) => self.act(node, act).await,
                Order::At(forwarder, address) => {
                    if let Some(at) = self.forwarders.borrow_mut().get_mut(forwarder) {
                        *at = address;
                    }
                    if let Some(idle) = self.idle.borrow_mut().get_mut(forwarder) {
                        idle.clear();
                    }
                }
                Order::Begin => {
                    self.sending.set(true);
                    let one = |f| self.executor.spawn(self.clone().clients(f));
                    clients = (0..self.setting.forwarders).map(one).collect();
                }
                Order::End(events) => {
                    self.sending.set(false);
                    let state = self.clone();
                    let end = async move {
                        while state.out.get() > 0 {
                            Timer::after(Duration::from_millis(20)).await;
                        }
                        let _ = events.send(state.events.take()).await;
                    };
                    self.executor.spawn(end).detach();
                }
            }
            let _ = done.send(()).await;
        }
        drop((clients, discovery));
        self.accept_tasks.borrow_mut().clear();
        self.connection_tasks.borrow_mut().clear();
    }

    fn open(self: &Rc<Self>, node: usize, listener: Async<TcpListener>) {
        let task = self.executor.spawn(self.clone().accept_loop(node, listener));
        if let Some(accept_loop) = self.accept_tasks.borrow_mut().get_mut(node) {
            *accept_loop = Some(task);
        }
    }

    async fn act(self: &Rc<Self>, node: usize, act: NodeAction) {
        let (Some(now), Some(address)) = (self.acts.get(node), self.addresses.get(node)) else { return };
        let before = now.replace(act);
        if act == NodeAction::Crash {
            let accept_loop = self.accept_tasks.borrow_mut().get_mut(node).and_then(Option::take);
            let connection_tasks = self.connection_tasks.borrow_mut().get_mut(node).map(std::mem::take);
            drop((accept_loop, connection_tasks));
        } else if before == NodeAction::Crash {
            for _ in 0..LISTEN_TRIES {
                if let Ok(listener) = listen(*address) {
                    return self.open(node, listener);
                }
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }

    async fn accept_loop(self: Rc<Self>, node: usize, listener: Async<TcpListener>) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let _ = socket.get_ref().set_nodelay(true);
            let task = self.executor.spawn(self.clone().serve_connection(node, socket));
            if let Some(connection_tasks) = self.connection_tasks.borrow_mut().get_mut(node) {
                connection_tasks.retain(|t| !t.is_finished());
                connection_tasks.push(task);
            }
        }
    }

    /// Serves a connection to a node until it ends.
    async fn serve_connection(self: Rc<Self>, node: usize, socket: Async<TcpStream>) {
        let (mut socket, mut input, mut bytes) = (socket, Vec::new(), [0; 4096]);
        let hangs = || self.acts.get(node).is_some_and(|a| a.get() == NodeAction::Hang);
        loop {
            while let Some((command, taken)) = Dialect::Cache.command(&input) {
                input.drain(..taken);
                if hangs() {
                    continue;
                }
                let mut out = Vec::new();
                match command {
                    Command::Keyed { key, id, .. } => {
                        Timer::after(self.setting.service).await;
                        let value = wire::value(&key, &id, VALUE_BYTES as usize);
                        wire::put_array(&mut out, [Some(&value), Some(b"hit"), None]);
                    }
                    Command::Load => resp::put_bulk(&mut out, b"util=0.1,eps=0"),
                    Command::Ping => out.extend_from_slice(b"+PONG\r\n"),
                    Command::ClientSetup => out.extend_from_slice(b"+OK\r\n"),
                    _ => return,
                }
                if !hangs() && socket.write_all(&out).await.is_err() {
                    return;
                }
            }
            match socket.read(&mut bytes).await {
                Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Sends keepalives only: the member list is part of the configuration and does not change.
    async fn discover(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Ok((mut socket, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let told = async move {
                let mut out = Vec::new();
                wire::put_stream(&mut out);
                loop {
                    wire::put_chunk(&mut out, b"\n");
                    if socket.write_all(&out).await.is_err() {
                        return;
                    }
                    out.clear();
                    Timer::after(DISCOVERY_KEEPALIVE).await;
                }
            };
            self.executor.spawn(told).detach();
        }
    }

    fn record(&self, events: ClientEvent) {
        let mut all = self.events.borrow_mut();
        if all.len() < MAX_EVENTS {
            all.push(events);
        }
    }

    /// Sends requests to a forwarder at a steady mean rate with exponentially distributed gaps.
    async fn clients(self: Rc<Self>, forwarder: usize) {
        let mut random = stream(self.setting.seed, "clients", forwarder as u64);
        let mut due = self.clock.now();
        let out = Rc::new(Cell::new(0_usize));
        while self.sending.get() {
            due += (exponential(&mut random) * 1e6 / self.setting.rate) as Micros;
            Timer::at(self.clock.instant(due)).await;
            let address = self.forwarders.borrow().get(forwarder).copied().flatten();
            let (Some(address), true) = (address, out.get() < MAX_IN_FLIGHT) else { continue };
            if !self.sending.get() {
                break;
            }
            let id = self.next_id.get();
            self.next_id.set(id + 1);
            let key = format!("{:x}", random.random_range(1..KEY_COUNT));
            let (state, out) = (self.clone(), out.clone());
            out.set(out.get() + 1);
            self.out.set(self.out.get() + 1);
            let request = async move {
                state.request(forwarder, address, id, &key).await;
                out.set(out.get() - 1);
                state.out.set(state.out.get() - 1);
            };
            self.executor.spawn(request).detach();
        }
    }

    /// Takes an idle connection without pending data.
    fn idle(&self, forwarder: usize) -> Option<Async<TcpStream>> {
        loop {
            let (socket, last) = self.idle.borrow_mut().get_mut(forwarder)?.pop()?;
            match socket.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(socket),
                Ok(n) if n > 0 => self.record(ClientEvent::Stray { id: last, at: self.clock.now() }),
                _ => {}
            }
        }
    }

    async fn request(&self, forwarder: usize, address: SocketAddr, id: u64, key: &str) {
        let socket = match self.idle(forwarder) {
            Some(socket) => socket,
            None => match Async::<TcpStream>::connect(address).await {
                Ok(socket) => socket,
                // The request was never sent, so it is not recorded.
                Err(_) => return,
            },
        };
        let _ = socket.get_ref().set_nodelay(true);
        let word = TryId { of: TryNo(id), work: 0, bytes: VALUE_BYTES }.write();
        let properties = format!("c=lookup,d={}", REQUEST_TIMEOUT.as_millis());
        let mut command = Vec::new();
        let words = [&b"CACHE.GET"[..], key.as_bytes(), word.as_bytes(), properties.as_bytes()];
        resp::put_command(&mut command, &words);
        self.record(ClientEvent::Asked { id, at: self.clock.now(), forwarder });
        let late = async {
            Timer::after(REQUEST_TIMEOUT + GRACE).await;
            End::Late
        };
        let mut idle = None;
        let end = future::or(self.exchange(socket, id, key, &command, &mut idle), late).await;
        self.record(ClientEvent::Ended { id, at: self.clock.now(), end });
        let same = self.forwarders.borrow().get(forwarder).copied().flatten() == Some(address);
        if let (Some(socket), true) = (idle, same) {
            if let Some(all) = self.idle.borrow_mut().get_mut(forwarder) {
                all.push((socket, id));
            }
        }
    }

    async fn exchange(
        &self,
        mut socket: Async<TcpStream>,
        id: u64,
        key: &str,
        command: &[u8],
        idle: &mut Option<Async<TcpStream>>,
    ) -> End {
        if socket.write_all(command).await.is_err() {
            return End::Broken;
        }
        let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
        loop {
            match socket.read(&mut bytes).await {
                Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                _ => return End::Broken,
            }
            let Ok(parsed) = resp::reply(&input) else { return End::Failed };
            let Some((reply, taken)) = parsed else { continue };
            if taken < input.len() {
                self.record(ClientEvent::Stray { id, at: self.clock.now() });
            }
            let value = match reply {
                Reply::Bulk(value) => value,
                Reply::Array(items) => items.into_iter().next().flatten(),
                Reply::Error(text) => {
                    *idle = Some(socket);
                    return if text.starts_with(b"BUSY") { End::Refused } else { End::Failed };
                }
                _ => None,
            };
            let Some(value) = value else { return End::Failed };
            if wire::made_for(&value) != Some((key.as_bytes(), TryNo(id))) {
                self.record(ClientEvent::Stray { id, at: self.clock.now() });
            }
            *idle = Some(socket);
            return End::Value;
        }
    }
}
