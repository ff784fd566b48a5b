//! Accepts the connections of one listening port and hands them to the owner. The caller's `admits` decides
//! which addresses may connect, because address lists are a feature and not part of the sockets.

use super::{canonical_address, send_event, uninterrupted, EventSender, LogEntry, NetEvent, PortIndex, READ};
use crate::admission::PortKind;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::retry_on_intr;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

/// "Too many open files" of this process, see errno(3); the standard library has no name for it.
const EMFILE: i32 = 24;
/// The delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Connections accepted before other tasks run.
const ACCEPTS_PER_TURN: usize = 8;

/// Limits the open connections of each kind of port and in total. A connection counts from accept until its
/// descriptor is released.
#[derive(Debug, Default)]
pub struct ConnectionLimiter {
    limits: Cell<[usize; 2]>,
    total_limit: Cell<usize>,
    open: Cell<[usize; 2]>,
    /// Whether accepting has stopped at all ports.
    stopping: Cell<bool>,
    /// One sender for each port, to wake its accept loop.
    wakers: RefCell<Vec<Sender<()>>>,
}

impl ConnectionLimiter {
    /// Adds a port that shares these limits.
    pub fn for_port(self: &Rc<Self>, side: PortKind) -> PortLimiter {
        let (wake, wakeups) = async_channel::bounded(1);
        self.wakers.borrow_mut().push(wake);
        PortLimiter { limiter: self.clone(), side, wakeups }
    }

    /// The number of open connections of each kind of port.
    pub fn open(&self) -> [usize; 2] {
        self.open.get()
    }

    /// Sets the limits of each kind and in total. Connections that are already open stay.
    pub fn set_limits(&self, limits: [usize; 2], total: usize) {
        if (self.limits.replace(limits), self.total_limit.replace(total)) != (limits, total) {
            self.wake();
        }
    }

    /// Makes every accept loop check the limits again, whoever may have released a descriptor.
    pub fn wake(&self) {
        for waker in self.wakers.borrow().iter() {
            let _ = waker.try_send(());
        }
    }

    /// Stops accepting: connections that the kernel has completed by now are still taken, then the ports are
    /// closed.
    pub fn stop_accepting(&self) {
        if !self.stopping.replace(true) {
            self.wake();
        }
    }

    fn is_full(&self, side: PortKind) -> bool {
        let (open, side) = (self.open.get(), side as usize);
        open[side] >= self.limits.get()[side] || open.iter().sum::<usize>() >= self.total_limit.get()
    }

    fn count(&self, side: PortKind, change: isize) {
        let mut open = self.open.get();
        open[side as usize] = open[side as usize].saturating_add_signed(change);
        self.open.set(open);
    }
}

/// The share of one port in a [`ConnectionLimiter`].
#[derive(Debug)]
pub struct PortLimiter {
    limiter: Rc<ConnectionLimiter>,
    side: PortKind,
    wakeups: Receiver<()>,
}

/// An accepted connection. Its descriptor and its slot in the limiter are released together.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    limiter: Rc<ConnectionLimiter>,
    side: PortKind,
}

impl Socket {
    /// Takes a slot of the limiter, even if none is free.
    pub fn new(stream: Async<TcpStream>, limiter: &Rc<ConnectionLimiter>, side: PortKind) -> Self {
        limiter.count(side, 1);
        Socket { stream, limiter: limiter.clone(), side }
    }

    /// Whether a read would return at once, with bytes or the end of the stream.
    pub fn is_readable(&self) -> bool {
        !matches!(self.peek_now(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether no unread bytes have arrived; a peer that has closed counts as having nothing unread.
    pub fn has_nothing_unread(&self) -> bool {
        !matches!(self.peek_now(), Ok(1..))
    }

    /// Whether the peer has closed or shut down its sending side, whatever bytes are still unread before
    /// that.
    pub fn peer_has_closed(&self) -> bool {
        // POLLRDHUP is reported on its own; a read or a peek shows the end only once no bytes are in front of
        // it.
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let result = retry_on_intr(|| poll(&mut polled, Some(&Timespec::default())));
        result.is_ok() && polled[0].revents().intersects(ended)
    }

    /// Whether at least this many unread bytes have arrived, of [`READ`] at the most.
    pub fn has_unread(&self, bytes: usize) -> bool {
        let mut buffer = [0; READ];
        let wanted = bytes.clamp(1, READ);
        let unread = uninterrupted(|| self.stream.get_ref().peek(&mut buffer[..wanted]));
        matches!(unread, Ok(unread) if unread == wanted)
    }

    /// Peeks at the socket without waiting.
    fn peek_now(&self) -> io::Result<usize> {
        uninterrupted(|| self.stream.get_ref().peek(&mut [0; 1]))
    }
}

impl Deref for Socket {
    type Target = Async<TcpStream>;

    fn deref(&self) -> &Async<TcpStream> {
        &self.stream
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.limiter.count(self.side, -1);
        self.limiter.wake();
    }
}

/// Accepts connections until the limiter stops, and none while it is full. A connection that `admits` rejects
/// is closed at once.
pub async fn accept(
    listener: Async<TcpListener>,
    port: PortIndex,
    queue: EventSender,
    port_limiter: PortLimiter,
    admits: impl Fn(SocketAddr) -> bool,
) {
    let PortLimiter { limiter, side, wakeups } = port_limiter;
    let mut failing = false;
    let mut accepted = 0;
    loop {
        while limiter.is_full(side) {
            // New connections wait in the backlog; if they were accepted and closed, their requests would be
            // lost.
            let _ = wakeups.recv().await;
        }
        let next = match limiter.stopping.get() {
            // The kernel resets connections still in the backlog when the listener closes, including their
            // requests, so they are accepted first.
            true => listener.get_ref().accept().and_then(|(s, peer)| Ok((Async::new(s)?, peer))),
            false => {
                let woken = async {
                    let _ = wakeups.recv().await;
                    Err(io::ErrorKind::Interrupted.into())
                };
                future::or(listener.accept(), woken).await
            }
        };
        match next {
            Ok((socket, peer)) if admits(canonical_address(peer)) => {
                failing = false;
                let socket = Socket::new(socket, &limiter, side);
                send_event(&queue, NetEvent::Accepted(socket, canonical_address(peer), port)).await;
                // Yields so that accepting a full backlog in one go doesn't starve other tasks.
                accepted += 1;
                if accepted % ACCEPTS_PER_TURN == 0 {
                    future::yield_now().await;
                }
            }
            // A rejected connection is closed and never becomes a downstream. Yields so that a peer that
            // reconnects at once doesn't starve other tasks.
            Ok(refused) => {
                drop(refused);
                future::yield_now().await;
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                // The connection stays in the backlog. Closing something helps only if this process is out of
                // descriptors (EMFILE); a shortage of the system ends after a moment, or not through us.
                if !std::mem::replace(&mut failing, true) {
                    let entry = LogEntry::new("accept_failed", format!("accept failed: {e}")).why(&e);
                    send_event(&queue, entry).await;
                }
                if e.raw_os_error() == Some(EMFILE) {
                    send_event(&queue, NetEvent::OutOfDescriptors).await;
                }
                let retry = async {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                };
                let woken = async {
                    let _ = wakeups.recv().await;
                };
                future::or(woken, retry).await;
            }
        }
    }
}
