//! A TCP connection through a relay: its two sockets and, for each direction, the bytes read and not yet
//! written.
//!
//! Bytes are never lost, duplicated or reordered, whatever the conditions. The end of one direction is
//! forwarded as a half-close and does not affect the other. Both sockets have a zero linger time, so that
//! dropping a connection resets it; only a connection ended by both sides is closed normally.

use super::context::{RelayContext, READ_SIZE};
use super::direction::Direction;
use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use world::fleet::link::{garble, ChunkFate};
use world::Micros;

/// Maximum number of bytes that a relay buffers per direction; beyond it the relay stops reading, and the
/// sender's socket buffers fill up.
pub const MAX_BUFFERED: usize = 256 * 1024;
/// Socket buffer size of a relay in each direction. Linux doubles the value for its own overhead.
const SOCKET_BUFFER: usize = 128 * 1024;
/// While a handshake is held back, how often to check whether the opener is still there.
const HELD_CHECK_US: Micros = 200_000;

/// Configures a socket: small buffers, no Nagle delay, reset on drop.
pub fn prepare(socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    let s = SockRef::from(socket);
    let _ = s.set_linger(Some(Duration::ZERO));
    let _ = s.set_recv_buffer_size(SOCKET_BUFFER);
    let _ = s.set_send_buffer_size(SOCKET_BUFFER);
}

/// Like [`Async::connect`], but configures the socket before connecting: the target may accept the connection
/// before the relay learns that it is established.
async fn dial(target: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    let socket = TcpStream::from(socket);
    prepare(&socket);
    socket.set_nonblocking(true)?;
    match SockRef::from(&socket).connect(&target.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => return Err(e),
        _ => {}
    }
    let socket = Async::new(socket)?;
    socket.writable().await?;
    match socket.get_ref().take_error()? {
        Some(e) => Err(e),
        None => Ok(socket),
    }
}

/// Whether the peer has closed its direction or the whole connection, even if unread bytes precede that.
fn peer_has_closed(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    rustix::event::poll(&mut fds, Some(&now)).is_ok_and(|n| n > 0)
}

/// Relays an accepted connection until it ends. `forward` is the direction from its opener; `held` tells
/// whether a handshake could not have passed when it was accepted.
pub async fn connection(
    near: Async<TcpStream>,
    held: bool,
    target: Rc<Cell<SocketAddr>>,
    forward: Rc<Direction>,
    backward: Rc<Direction>,
    context: Rc<RelayContext>,
) {
    if !complete_handshake(&near, held, &forward, &backward, &context).await {
        return;
    }
    let Ok(far) = dial(target.get()).await else {
        // The refusal is subject to the conditions of the way back, like an answer.
        backward.pass(&context).await;
        forward.count(|t| t.refused += 1);
        return;
    };
    let ends = Ends::default();
    let near = End { socket: &near, dead: &ends.near_dead, done: &ends.near_done };
    let far = End { socket: &far, dead: &ends.far_dead, done: &ends.far_done };
    let forward = async {
        // The opener may send once the handshake's answer has passed.
        backward.pass(&context).await;
        Stream::new(near, far, &ends.changed, &forward, &context).run().await
    };
    let backward = Stream::new(far, near, &ends.changed, &backward, &context).run();
    if future::try_zip(forward, backward).await.is_ok() {
        let _ = SockRef::from(near.socket.get_ref()).set_linger(None);
        let _ = SockRef::from(far.socket.get_ref()).set_linger(None);
    }
}

/// Waits until the handshake has passed in both directions. Returns false if the opener left while it was
/// held.
async fn complete_handshake(
    near: &Async<TcpStream>,
    mut held: bool,
    forward: &Direction,
    backward: &Direction,
    context: &RelayContext,
) -> bool {
    loop {
        if forward.blocks_all() || backward.blocks_all() {
            held = true;
            let look = context.until(Some(context.now() + HELD_CHECK_US));
            future::or(future::or(forward.changes(), backward.changes()), look).await;
            if peer_has_closed(near.get_ref()) {
                return false;
            }
            continue;
        }
        let passed = async {
            forward.pass(context).await;
            true
        };
        let cut = async {
            backward.changes().await;
            false
        };
        if future::or(passed, cut).await && !forward.blocks_all() && !backward.blocks_all() {
            return !held || !peer_has_closed(near.get_ref());
        }
    }
}

/// State shared by the two directions.
#[derive(Default)]
struct Ends {
    near_dead: Cell<bool>,
    far_dead: Cell<bool>,
    near_done: Cell<bool>,
    far_done: Cell<bool>,
    changed: Event,
}

/// A socket and its state.
#[derive(Clone, Copy)]
struct End<'a> {
    socket: &'a Async<TcpStream>,
    /// Writing to it failed: the peer has reset it.
    dead: &'a Cell<bool>,
    /// Everything the peer sent, including the end of its stream, has been forwarded.
    done: &'a Cell<bool>,
}

/// Error: the connection has to be reset.
struct Reset;

enum ItemKind {
    Bytes { bytes: Vec<u8>, written: usize, garbled: Option<usize> },
    End,
    Reset,
}

struct Item {
    /// Time at which it is due; `None` while it is held.
    due_us: Option<Micros>,
    /// Whether it had to wait, so that its lateness is recorded.
    delayed: bool,
    what: ItemKind,
}

impl Item {
    fn len(&self) -> usize {
        match &self.what {
            ItemKind::Bytes { bytes, written, .. } => bytes.len() - written,
            ItemKind::End | ItemKind::Reset => 0,
        }
    }
}

/// One direction of a connection.
struct Stream<'a> {
    from: End<'a>,
    to: End<'a>,
    changed: &'a Event,
    direction: &'a Direction,
    context: &'a RelayContext,
    version: u64,
    queue: VecDeque<Item>,
    /// Number of bytes in the queue.
    waiting: usize,
    /// Due time of the last item of the queue.
    last_us: Micros,
    /// Whether the sender may still send.
    open: bool,
}

/// Result of one attempt to write.
enum Turn {
    /// Progress was made; there may be more to do.
    Moved,
    /// The receiver's socket is full.
    Full,
    /// Nothing to do until the first item is due or some other event occurs.
    Idle,
    Ended,
}

impl Drop for Stream<'_> {
    fn drop(&mut self) {
        let waiting = self.waiting as u64;
        self.direction.count(|t| t.waiting -= waiting);
    }
}

impl<'a> Stream<'a> {
    fn new(
        from: End<'a>,
        to: End<'a>,
        changed: &'a Event,
        direction: &'a Direction,
        context: &'a RelayContext,
    ) -> Self {
        Stream {
            from,
            to,
            changed,
            direction,
            context,
            version: direction.version(),
            queue: VecDeque::new(),
            waiting: 0,
            last_us: Micros::MIN,
            open: true,
        }
    }

    async fn run(mut self) -> Result<(), Reset> {
        loop {
            let moved = self.read();
            match self.write()? {
                Turn::Ended => break,
                // Others have their turn.
                Turn::Moved => future::yield_now().await,
                _ if moved => future::yield_now().await,
                Turn::Full => self.wait(true).await,
                Turn::Idle => self.wait(false).await,
            }
        }
        self.from.done.set(true);
        self.changed.notify(usize::MAX);
        // The sender may still reset the connection.
        while !self.to.done.get() {
            if self.from.dead.get() {
                self.direction.pass(self.context).await;
                return Err(Reset);
            }
            self.changed.listen().await;
        }
        Ok(())
    }

    /// Reads once if the buffer has space. Returns whether anything was read.
    fn read(&mut self) -> bool {
        self.apply_new_condition();
        if !self.open || self.to.dead.get() || self.waiting >= MAX_BUFFERED {
            return false;
        }
        let context = self.context;
        let mut scratch = context.scratch.borrow_mut();
        let most = self.direction.max_chunk_len(READ_SIZE).min(MAX_BUFFERED - self.waiting);
        let what = match self.from.socket.get_ref().read(&mut scratch[..most]) {
            Ok(0) if self.from.dead.get() => ItemKind::Reset,
            Ok(0) => ItemKind::End,
            Ok(n) => {
                self.direction.count(|t| t.waiting += n as u64);
                self.waiting += n;
                ItemKind::Bytes { bytes: scratch[..n].to_vec(), written: 0, garbled: None }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return true,
            Err(_) => ItemKind::Reset,
        };
        self.open = matches!(what, ItemKind::Bytes { .. });
        let mut item = Item { due_us: None, delayed: false, what };
        self.last_us = plan(&mut item, self.direction, context.now(), self.last_us);
        self.queue.push_back(item);
        true
    }

    /// After a change of condition, reschedules everything that has not arrived.
    fn apply_new_condition(&mut self) {
        if self.version == self.direction.version() {
            return;
        }
        self.version = self.direction.version();
        self.last_us = Micros::MIN;
        let now = self.context.now();
        for item in &mut self.queue {
            self.last_us = plan(item, self.direction, now, self.last_us);
        }
    }

    /// Writes the first item if it is due, as far as the receiver's socket accepts it.
    fn write(&mut self) -> Result<Turn, Reset> {
        self.apply_new_condition();
        let now = self.context.now();
        let Some(item) = self.queue.front_mut() else { return Ok(Turn::Idle) };
        let Some(due) = item.due_us.filter(|due| *due <= now) else { return Ok(Turn::Idle) };
        let delayed = std::mem::take(&mut item.delayed);
        let (whole, turn) = match &mut item.what {
            ItemKind::Reset => return Err(Reset),
            ItemKind::End => {
                let _ = self.to.socket.get_ref().shutdown(Shutdown::Write);
                (true, Turn::Ended)
            }
            ItemKind::Bytes { bytes, written, garbled } => {
                if let Some(at) = garbled.take() {
                    garble(bytes, at);
                    self.direction.count(|t| t.garbled += 1);
                }
                match self.to.socket.get_ref().write(&bytes[*written..]) {
                    Ok(n) => {
                        *written += n;
                        self.waiting -= n;
                        self.direction
                            .count(|t| (t.bytes, t.waiting) = (t.bytes + n as u64, t.waiting - n as u64));
                        (*written == bytes.len(), Turn::Moved)
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => (false, Turn::Full),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => (false, Turn::Moved),
                    Err(_) => {
                        // The reset travels in the opposite direction under the conditions there. Nothing
                        // more can be sent in this one.
                        self.to.dead.set(true);
                        self.changed.notify(usize::MAX);
                        self.discard_queue();
                        return Ok(Turn::Idle);
                    }
                }
            }
        };
        if delayed {
            self.context.done(due);
        }
        if whole {
            self.queue.pop_front();
        }
        Ok(turn)
    }

    fn discard_queue(&mut self) {
        let waiting = std::mem::take(&mut self.waiting) as u64;
        self.direction.count(|t| t.waiting -= waiting);
        self.queue.clear();
        self.open = false;
    }

    /// Waits until there may be something to do.
    async fn wait(&self, full: bool) {
        let reads = self.open && !self.to.dead.get() && self.waiting < MAX_BUFFERED;
        let readable = async {
            match reads {
                // An error is reported by the next read.
                true => drop(self.from.socket.readable().await),
                false => future::pending().await,
            }
        };
        let writable = async {
            match full {
                true => drop(self.to.socket.writable().await),
                false => future::pending().await,
            }
        };
        let due = self.queue.front().and_then(|i| i.due_us).filter(|_| !full);
        let due = self.context.until(due);
        let other = async { self.changed.listen().await };
        let io = future::or(readable, writable);
        future::or(future::or(io, due), future::or(self.direction.changes(), other)).await;
    }
}

/// Schedules an item that departs now and returns its due time; an item never overtakes the one before it.
fn plan(item: &mut Item, direction: &Direction, now_us: Micros, behind_us: Micros) -> Micros {
    match direction.chunk(now_us, item.len(), behind_us) {
        ChunkFate::Held => {
            item.due_us = None;
            behind_us
        }
        ChunkFate::Due(delivery) => {
            item.due_us = Some(delivery.at_us);
            item.delayed = delivery.at_us > now_us;
            if let ItemKind::Bytes { written, garbled, .. } = &mut item.what {
                *garbled = delivery.garbled.map(|at| at + *written);
            }
            delivery.at_us
        }
    }
}
