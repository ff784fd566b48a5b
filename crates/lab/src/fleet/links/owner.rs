//! The relay thread: owns all relays, their sockets and tasks, and executes one order at a time.

use super::context::{Lateness, RelayContext};
use super::direction::{Direction, Traffic};
use super::tcp;
use super::udp::UdpDirection;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use socket2::{Domain, SockAddr, Socket, Type};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use world::fleet::link::Condition;

/// Maximum number of relays of one [`super::Links`].
pub const MAX_RELAYS: usize = 8192;
/// Maximum number of established and pending connections through one relay.
pub const MAX_CONNECTIONS: usize = 1024;
/// Listen backlog of a relay.
const BACKLOG: i32 = 1024;
/// Maximum number of queued events from relay tasks; beyond it the tasks wait.
const MAX_PENDING_EVENTS: usize = 1024;

/// The two ends of a link and the name of its port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    pub from: String,
    pub to: String,
    pub port: String,
}

pub enum Order {
    Tcp(Name, SocketAddr, Sender<io::Result<SocketAddr>>),
    Udp(Name, SocketAddr, Sender<io::Result<SocketAddr>>),
    UdpPair(Name, [SocketAddr; 2], Sender<io::Result<(SocketAddr, SocketAddr)>>),
    /// Sets the target; `None` means that nobody listens there.
    Aim(String, String, Option<SocketAddr>, Sender<io::Result<()>>),
    Set(String, String, Condition, Sender<io::Result<()>>),
    Get(String, String, Sender<Condition>),
    Reset(String, String, Sender<u64>),
    Lateness(Sender<Lateness>),
    Traffic(String, String, Sender<Traffic>),
    /// Blocks the thread for this long.
    #[cfg(test)]
    Sleep(Duration, Sender<()>),
}

enum RelayEvent {
    Accepted(Name, Async<TcpStream>),
    Ended(u64),
}

struct TcpRelay {
    target: Rc<Cell<SocketAddr>>,
    /// Reserves the port number while nobody listens.
    _held: Socket,
    address: SocketAddr,
    /// The listener and its accept task, which holds the other handle.
    listens: Option<(Rc<Async<TcpListener>>, Task<()>)>,
    /// Whether the target process is known not to listen any more.
    shut: bool,
    up: usize,
    forward: Rc<Direction>,
    backward: Rc<Direction>,
}

struct UdpRelay {
    near: SocketAddr,
    far: SocketAddr,
    /// Addresses of the processes `from` and `to`.
    at_from: Rc<Cell<Option<SocketAddr>>>,
    at_to: Rc<Cell<Option<SocketAddr>>>,
    /// Whether `at_from` follows the source address of the last datagram.
    learns: bool,
    _tasks: [Task<()>; 2],
}

struct Connection {
    relay: Name,
    task: Task<()>,
}

/// Runs until the order channel closes. Remaining tasks are dropped with the executor.
pub fn run(seed: u64, orders: &Receiver<Order>) {
    let Some(context) = RelayContext::new() else { return };
    let executor = LocalExecutor::new();
    let context = Rc::new(context);
    let (events, heard) = async_channel::bounded(MAX_PENDING_EVENTS);
    let beat = executor.spawn({
        let context = context.clone();
        async move { context.beat().await }
    });
    let mut owner = Owner {
        executor: &executor,
        seed,
        context,
        directions: BTreeMap::new(),
        tcp: BTreeMap::new(),
        udp: BTreeMap::new(),
        connections: HashMap::new(),
        count: 0,
        events,
    };
    async_io::block_on(executor.run(owner.run(orders, &heard)));
    drop(beat);
}

struct Owner<'a> {
    executor: &'a LocalExecutor<'static>,
    seed: u64,
    context: Rc<RelayContext>,
    directions: BTreeMap<(String, String), Rc<Direction>>,
    tcp: BTreeMap<Name, TcpRelay>,
    udp: BTreeMap<Name, UdpRelay>,
    connections: HashMap<u64, Connection>,
    count: u64,
    events: Sender<RelayEvent>,
}

impl Owner<'_> {
    async fn run(&mut self, orders: &Receiver<Order>, heard: &Receiver<RelayEvent>) {
        enum Next {
            Order(Option<Order>),
            RelayEvent(Option<RelayEvent>),
        }
        loop {
            let order = async { Next::Order(orders.recv().await.ok()) };
            let hears = async { Next::RelayEvent(heard.recv().await.ok()) };
            match future::or(order, hears).await {
                Next::Order(None) | Next::RelayEvent(None) => return,
                Next::RelayEvent(Some(heard)) => self.handle_event(heard),
                Next::Order(Some(order)) => {
                    // Handle events that preceded the order first, so that the order applies to them too.
                    while let Ok(heard) = heard.try_recv() {
                        self.handle_event(heard);
                    }
                    self.carry_out(order).await;
                }
            }
        }
    }

    fn handle_event(&mut self, heard: RelayEvent) {
        match heard {
            RelayEvent::Accepted(name, socket) => self.accepted(name, socket),
            RelayEvent::Ended(id) => {
                if let Some(relay) = self.connections.remove(&id).and_then(|c| self.tcp.get_mut(&c.relay)) {
                    relay.up -= 1;
                }
            }
        }
    }

    async fn carry_out(&mut self, order: Order) {
        match order {
            Order::Tcp(name, target, reply) => answer(&reply, self.open_tcp(name, target).await),
            Order::Udp(name, target, reply) => {
                answer(&reply, self.open_udp(name, None, target).map(|(near, _)| near));
            }
            Order::UdpPair(name, [from, to], reply) => answer(&reply, self.open_udp(name, Some(from), to)),
            Order::Aim(to, port, target, reply) => answer(&reply, self.aim(&to, &port, target).await),
            Order::Set(from, to, condition, reply) => answer(&reply, self.set(from, to, condition).await),
            Order::Get(from, to, reply) => {
                answer(&reply, self.directions.get(&(from, to)).map(|w| w.condition()).unwrap_or_default());
            }
            Order::Reset(from, to, reply) => answer(&reply, self.reset(&from, &to).await),
            Order::Lateness(reply) => answer(&reply, self.context.lateness()),
            Order::Traffic(from, to, reply) => {
                answer(&reply, self.directions.get(&(from, to)).map(|w| w.traffic()).unwrap_or_default());
            }
            #[cfg(test)]
            Order::Sleep(time, reply) => {
                std::thread::sleep(time);
                answer(&reply, ());
            }
        }
    }

    fn direction(&mut self, from: &str, to: &str) -> Rc<Direction> {
        let seed = self.seed;
        let direction = self.directions.entry((from.to_owned(), to.to_owned()));
        direction.or_insert_with(|| Rc::new(Direction::new(seed, from, to))).clone()
    }

    fn has_room(&self) -> io::Result<()> {
        if self.tcp.len() + self.udp.len() >= MAX_RELAYS {
            return Err(io::Error::other(format!("too many links: at most {MAX_RELAYS} are allowed")));
        }
        Ok(())
    }

    async fn open_tcp(&mut self, name: Name, target: SocketAddr) -> io::Result<SocketAddr> {
        if let Some(relay) = self.tcp.get_mut(&name) {
            relay.target.set(target);
            relay.shut = false;
            let address = relay.address;
            self.update_listener(&name).await?;
            return Ok(address);
        }
        self.has_room()?;
        // Two sockets share the port: this one reserves it, the listening one is opened and closed as needed.
        let held = bound(0)?;
        let address = held.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let relay = TcpRelay {
            target: Rc::new(Cell::new(target)),
            _held: held,
            address,
            listens: None,
            shut: false,
            up: 0,
            forward: self.direction(&name.from, &name.to),
            backward: self.direction(&name.to, &name.from),
        };
        self.tcp.insert(name.clone(), relay);
        self.update_listener(&name).await?;
        Ok(address)
    }

    /// Opens or closes the listener to match the current state of the relay.
    async fn update_listener(&mut self, name: &Name) -> io::Result<()> {
        let Some(relay) = self.tcp.get_mut(name) else { return Ok(()) };
        let listens = !relay.shut && !relay.forward.refuses();
        if listens == relay.listens.is_some() {
            return Ok(());
        }
        if let Some((listener, task)) = relay.listens.take() {
            task.cancel().await;
            drop(listener);
            return Ok(());
        }
        let socket = bound(relay.address.port())?;
        socket.listen(BACKLOG)?;
        let listener = Rc::new(Async::new(TcpListener::from(socket))?);
        let task = self.executor.spawn(accept(listener.clone(), name.clone(), self.events.clone()));
        relay.listens = Some((listener, task));
        Ok(())
    }

    fn accepted(&mut self, name: Name, socket: Async<TcpStream>) {
        let Some(relay) = self.tcp.get_mut(&name) else { return };
        relay.forward.count(|t| t.connections += 1);
        if relay.listens.is_none() || relay.up >= MAX_CONNECTIONS {
            // Dropping the socket resets the connection.
            relay.forward.count(|t| t.refused += 1);
            return;
        }
        relay.up += 1;
        self.count += 1;
        let (id, events) = (self.count, self.events.clone());
        let (forward, backward) = (relay.forward.clone(), relay.backward.clone());
        // Evaluated here because the condition may be lifted before the task first runs.
        let held = forward.blocks_all() || backward.blocks_all();
        let work =
            tcp::connection(socket, held, relay.target.clone(), forward, backward, self.context.clone());
        let task = self.executor.spawn(async move {
            work.await;
            let _ = events.send(RelayEvent::Ended(id)).await;
        });
        self.connections.insert(id, Connection { relay: name, task });
    }

    fn open_udp(
        &mut self,
        name: Name,
        from: Option<SocketAddr>,
        to: SocketAddr,
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        if let Some(relay) = self.udp.get_mut(&name) {
            if relay.learns == from.is_some() {
                return Err(io::Error::other(
                    "a UDP link with these names exists already, but of the other kind (single or pair)",
                ));
            }
            relay.at_to.set(Some(to));
            if from.is_some() {
                relay.at_from.set(from);
            }
            return Ok((relay.near, relay.far));
        }
        self.has_room()?;
        let socket = || Async::<UdpSocket>::bind((Ipv4Addr::LOCALHOST, 0)).map(Rc::new);
        let (near, far) = (socket()?, socket()?);
        let addresses = (near.get_ref().local_addr()?, far.get_ref().local_addr()?);
        let (at_from, at_to) = (Rc::new(Cell::new(from)), Rc::new(Cell::new(Some(to))));
        let forward = UdpDirection {
            from: near.clone(),
            by: far.clone(),
            to: at_to.clone(),
            learn: from.is_none().then(|| at_from.clone()),
            direction: self.direction(&name.from, &name.to),
            context: self.context.clone(),
        };
        let backward = UdpDirection {
            from: far,
            by: near,
            to: at_from.clone(),
            learn: None,
            direction: self.direction(&name.to, &name.from),
            context: self.context.clone(),
        };
        let tasks = [self.executor.spawn(forward.run()), self.executor.spawn(backward.run())];
        let (near, far) = addresses;
        let relay = UdpRelay { near, far, at_from, at_to, learns: from.is_none(), _tasks: tasks };
        self.udp.insert(name, relay);
        Ok(addresses)
    }

    async fn aim(&mut self, to: &str, port: &str, target: Option<SocketAddr>) -> io::Result<()> {
        let mut found = false;
        let mut update_listener = Vec::new();
        for (name, relay) in self.tcp.iter_mut().filter(|(n, _)| n.to == to && n.port == port) {
            found = true;
            relay.shut = target.is_none();
            if let Some(target) = target {
                relay.target.set(target);
            }
            update_listener.push(name.clone());
        }
        for (_, relay) in self.udp.iter().filter(|(n, _)| n.to == to && n.port == port) {
            found = true;
            relay.at_to.set(target);
        }
        let pairs = self.udp.iter().filter(|(n, r)| !r.learns && n.from == to && n.port == port);
        for (_, relay) in pairs {
            found = true;
            relay.at_from.set(target);
        }
        if !found {
            return Err(io::Error::other(format!("there is no link to port {port} of {to}")));
        }
        for name in update_listener {
            self.update_listener(&name).await?;
        }
        Ok(())
    }

    async fn set(&mut self, from: String, to: String, condition: Condition) -> io::Result<()> {
        condition.check().map_err(io::Error::other)?;
        self.direction(&from, &to).set(condition);
        let of: Vec<Name> = self.tcp.keys().filter(|n| n.from == from && n.to == to).cloned().collect();
        for name in of {
            self.update_listener(&name).await?;
        }
        Ok(())
    }

    async fn reset(&mut self, from: &str, to: &str) -> u64 {
        let between = |n: &Name| (n.from == from && n.to == to) || (n.from == to && n.to == from);
        // Connections not yet accepted here are already established for their opener.
        let mut count = 0;
        for (_, relay) in self.tcp.iter().filter(|(n, _)| between(n)) {
            let Some((listener, _)) = &relay.listens else { continue };
            while let Ok((socket, _)) = listener.get_ref().accept() {
                relay.forward.count(|t| t.connections += 1);
                tcp::prepare(&socket);
                count += 1;
            }
        }
        let ids: Vec<u64> =
            self.connections.iter().filter(|(_, c)| between(&c.relay)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(connection) = self.connections.remove(&id) else { continue };
            if let Some(relay) = self.tcp.get_mut(&connection.relay) {
                relay.up -= 1;
            }
            // A connection that has just ended by itself does not count.
            count += u64::from(connection.task.cancel().await.is_none());
        }
        count
    }
}

/// Sends a reply; it is dropped if the caller has gone.
fn answer<T>(reply: &Sender<T>, with: T) {
    let _ = reply.try_send(with);
}

/// Binds a socket to a port of 127.0.0.1 that others may share as long as only one of them listens.
fn bound(port: u16) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(SocketAddr::from((Ipv4Addr::LOCALHOST, port))))?;
    Ok(socket)
}

async fn accept(listener: Rc<Async<TcpListener>>, name: Name, events: Sender<RelayEvent>) {
    let mut incoming = Box::pin(listener.incoming());
    while let Some(socket) = incoming.next().await {
        match socket {
            Ok(socket) => {
                tcp::prepare(socket.get_ref());
                if events.send(RelayEvent::Accepted(name.clone(), socket)).await.is_err() {
                    return;
                }
            }
            // Out of descriptors, or the connection has already been aborted: try again after a pause.
            Err(_) => drop(Timer::after(Duration::from_millis(5)).await),
        }
    }
}
