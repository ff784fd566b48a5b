//! A port that the proxy listens on: takes connections and hands them to the owner.
//!
//! Who may connect is a question to the caller's `admits`, since lists of addresses are a feature and no part
//! of the sockets.

use super::{canonical_address, send_event, uninterrupted, EventSender, LogEntry, NetEvent, PortIndex};
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

/// "Too many open files" of this process, by errno(3); the standard library has no name for it.
const EMFILE: i32 = 24;
/// How long after an accept that failed the next is tried.
const ACCEPT_AGAIN: Duration = Duration::from_millis(5);

/// How many connections may be open, of each sort of port and in all, and how many are, from accept until the
/// descriptor is given back.
#[derive(Debug, Default)]
pub struct ConnectionLimiter {
    most: Cell<[usize; 2]>,
    all: Cell<usize>,
    open: Cell<[usize; 2]>,
    /// No more are waited for, at any port.
    shut: Cell<bool>,
    /// Wake who waits, one at each port.
    room: RefCell<Vec<Sender<()>>>,
}

impl ConnectionLimiter {
    /// The way in of one more port.
    pub fn for_port(self: &Rc<Self>, side: PortKind) -> PortLimiter {
        let (wake, room) = async_channel::bounded(1);
        self.room.borrow_mut().push(wake);
        PortLimiter { gate: self.clone(), side, room }
    }

    /// Of each side.
    pub fn open(&self) -> [usize; 2] {
        self.open.get()
    }

    /// So many may be open from now on, of each side and in all; those that are stay.
    pub fn set_limits(&self, most: [usize; 2], all: usize) {
        if (self.most.replace(most), self.all.replace(all)) != (most, all) {
            self.wake();
        }
    }

    /// Who waits tries again, whoever may have given a descriptor back.
    pub fn wake(&self) {
        for room in self.room.borrow().iter() {
            let _ = room.try_send(());
        }
    }

    /// No more are waited for: what the kernel has accepted by now comes in, then the ports are given back.
    pub fn stop_accepting(&self) {
        if !self.shut.replace(true) {
            self.wake();
        }
    }

    fn is_full(&self, side: PortKind) -> bool {
        let (open, side) = (self.open.get(), side as usize);
        open[side] >= self.most.get()[side] || open.iter().sum::<usize>() >= self.all.get()
    }

    fn count(&self, side: PortKind, change: isize) {
        let mut open = self.open.get();
        open[side as usize] = open[side as usize].saturating_add_signed(change);
        self.open.set(open);
    }
}

/// The way in of one port.
#[derive(Debug)]
pub struct PortLimiter {
    gate: Rc<ConnectionLimiter>,
    side: PortKind,
    room: Receiver<()>,
}

/// A connection that was accepted. Its descriptor and its place behind the gate are given back together.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    gate: Rc<ConnectionLimiter>,
    side: PortKind,
}

impl Socket {
    /// Takes a place behind the gate, whether or not there is one left.
    pub fn new(stream: Async<TcpStream>, gate: &Rc<ConnectionLimiter>, side: PortKind) -> Self {
        gate.count(side, 1);
        Socket { stream, gate: gate.clone(), side }
    }

    /// Something can be read: bytes, or the end.
    pub fn is_readable(&self) -> bool {
        !matches!(self.look(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Nothing has come that was not read; a peer that has closed says nothing more.
    pub fn has_nothing_unread(&self) -> bool {
        !matches!(self.look(), Ok(1..))
    }

    /// The peer has closed, or has said that it sends no more, whatever waits to be read in front of that.
    pub fn peer_has_closed(&self) -> bool {
        // An event of its own: a read, or a look at what has come, shows an end only once nothing is in front of it.
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut looked = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let result = retry_on_intr(|| poll(&mut looked, Some(&Timespec::default())));
        result.is_ok() && looked[0].revents().intersects(ended)
    }

    /// Looks at what has come without a wait.
    fn look(&self) -> io::Result<usize> {
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
        self.gate.count(self.side, -1);
        self.gate.wake();
    }
}

/// Accepts connections until the gate of `entry` is shut, and none while it is full. Whom `admits` turns away is
/// closed at once.
pub async fn accept(
    listener: Async<TcpListener>,
    port: PortIndex,
    queue: EventSender,
    entry: PortLimiter,
    admits: impl Fn(SocketAddr) -> bool,
) {
    let PortLimiter { gate, side, room } = entry;
    let mut failing = false;
    loop {
        while gate.is_full(side) {
            // What comes now waits in the backlog: accepted and turned away, its requests would be lost.
            let _ = room.recv().await;
        }
        let next = match gate.shut.get() {
            // The kernel resets what still waits at a port that closes, requests and all: first it comes in.
            true => listener.get_ref().accept().and_then(|(s, peer)| Ok((Async::new(s)?, peer))),
            false => {
                let woken = async {
                    let _ = room.recv().await;
                    Err(io::ErrorKind::Interrupted.into())
                };
                future::or(listener.accept(), woken).await
            }
        };
        match next {
            Ok((socket, peer)) if admits(canonical_address(peer)) => {
                failing = false;
                let socket = Socket::new(socket, &gate, side);
                send_event(&queue, NetEvent::Accepted(socket, canonical_address(peer), port)).await;
                // A full backlog taken in one go must not keep the others from their turn.
                future::yield_now().await;
            }
            // Closed, and no downstream; who connects again at once must not keep the others from their turn.
            Ok(refused) => {
                drop(refused);
                future::yield_now().await;
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                // The connection stays in the backlog. Only where this process has no descriptor left does it help to
                // close one; what the system lacks is back in a moment, or not through us.
                if !std::mem::replace(&mut failing, true) {
                    let note = LogEntry::new("accept_failed", format!("accept failed: {e}")).why(&e);
                    send_event(&queue, note).await;
                }
                if e.raw_os_error() == Some(EMFILE) {
                    send_event(&queue, NetEvent::OutOfDescriptors).await;
                }
                let again = async {
                    Timer::after(ACCEPT_AGAIN).await;
                };
                let woken = async {
                    let _ = room.recv().await;
                };
                future::or(woken, again).await;
            }
        }
    }
}
