//! Links between processes: relays of our own on loopback, one for each ordered pair of processes and each port.
//!
//! [`Links`] owns one thread with all relays, their sockets and what is on its way; dropped, all of it ends. What
//! befalls a direction is a [`Condition`], and what becomes of each message is drawn by [`world::fleet::link::Line`].
//! It starts no process and reads nothing that it carries: frames, names and meanings are unknown to it. Not for
//! stand-ins, which have a network of their own ([`crate::loopback`]).

mod context;
mod direction;
mod owner;
mod tcp;
mod udp;

pub use context::{Lateness, VOID_P99_US, VOID_WORST_US};
pub use direction::Traffic;
pub use world::fleet::link::{Condition, Delay};

use async_channel::Sender;
use owner::{Name, Order};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// Orders that may wait for the relays' thread.
const MAX_PENDING_ORDERS: usize = 64;

/// The relays of a fleet. All methods may be called from any thread, and wait for the relays' thread: what
/// is set holds for all that happens after the call.
pub struct Links {
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the thread of the relays. `seed` decides all that is drawn.
    ///
    /// # Errors
    ///
    /// The system gives no thread.
    pub fn start(seed: u64) -> io::Result<Links> {
        let (orders, told) = async_channel::bounded(MAX_PENDING_ORDERS);
        let thread =
            std::thread::Builder::new().name("links".into()).spawn(move || owner::run(seed, &told))?;
        Ok(Links { orders, thread: Some(thread) })
    }

    /// The address that `from`'s configuration names for `to`'s port; `target` is where `to` listens. Names are the
    /// caller's. Asked again for the same three, it is the same address with another target.
    ///
    /// # Errors
    ///
    /// No socket to be had, too many relays, or the relays' thread has ended.
    pub fn tcp(&self, from: &str, to: &str, port: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.ask(|reply| Order::Tcp(name(from, to, port), target, reply))?
    }

    /// As [`Links::tcp`] for datagrams. `to` sees them come from a socket of the relay's own; what it sends there goes
    /// to the socket that `from` sent from last.
    ///
    /// # Errors
    ///
    /// As [`Links::tcp`].
    pub fn udp(&self, from: &str, to: &str, port: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.ask(|reply| Order::Udp(name(from, to, port), target, reply))?
    }

    /// For protocols in which an address names a member: `a` and `b` each have one socket, at `at_a` and `at_b`. The
    /// first address is what `a` sends to, and what `a` sees `b`'s datagrams come from; the second is the same for `b`.
    ///
    /// # Errors
    ///
    /// As [`Links::tcp`].
    pub fn udp_pair(
        &self,
        a: &str,
        b: &str,
        port: &str,
        at_a: SocketAddr,
        at_b: SocketAddr,
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        self.ask(|reply| Order::UdpPair(name(a, b, port), [at_a, at_b], reply))?
    }

    /// `to` was started anew and listens elsewhere. Ends a [`Links::shut`]. Connections that are up stay as they are.
    ///
    /// # Errors
    ///
    /// There is no such link, or the relays' thread has ended.
    pub fn aim(&self, to: &str, port: &str, target: SocketAddr) -> io::Result<()> {
        self.ask(|reply| Order::Aim(to.into(), port.into(), Some(target), reply))?
    }

    /// Nobody listens on `to`'s port: new connections are refused by the system itself, as where the process has
    /// ended. Without it they come up, and are reset when the target refuses them.
    ///
    /// # Errors
    ///
    /// As [`Links::aim`].
    pub fn shut(&self, to: &str, port: &str) -> io::Result<()> {
        self.ask(|reply| Order::Aim(to.into(), port.into(), None, reply))?
    }

    /// What befalls messages from `from` to `to` from now on, on every link between the two, whichever of them opened
    /// it; links that are made later too.
    ///
    /// # Errors
    ///
    /// The condition makes no sense, or the relays' thread has ended.
    pub fn set(&self, from: &str, to: &str, condition: Condition) -> io::Result<()> {
        self.ask(|reply| Order::Set(from.into(), to.into(), condition, reply))?
    }

    /// What was set last; a whole link if nothing was.
    pub fn get(&self, from: &str, to: &str) -> Condition {
        self.ask(|reply| Order::Get(from.into(), to.into(), reply)).unwrap_or_default()
    }

    /// Resets the connections between the two that are up or coming up, at both ends, whoever opened them, whatever the
    /// conditions; how many.
    ///
    /// # Errors
    ///
    /// The relays' thread has ended.
    pub fn reset(&self, from: &str, to: &str) -> io::Result<u64> {
        self.ask(|reply| Order::Reset(from.into(), to.into(), reply))
    }

    /// How late the relays were so far.
    pub fn lateness(&self) -> Lateness {
        self.ask(Order::Lateness).unwrap_or(Lateness::UNKNOWN)
    }

    /// What went from `from` to `to` so far.
    pub fn traffic(&self, from: &str, to: &str) -> Traffic {
        self.ask(|reply| Order::Traffic(from.into(), to.into(), reply)).unwrap_or_default()
    }

    fn ask<T>(&self, order: impl FnOnce(Sender<T>) -> Order) -> io::Result<T> {
        let ended = |_| io::Error::other("the thread of the links has ended");
        let (reply, answer) = async_channel::bounded(1);
        self.orders.send_blocking(order(reply)).map_err(|_| ended(async_channel::RecvError))?;
        answer.recv_blocking().map_err(ended)
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.orders.close();
        if let Some(thread) = self.thread.take() {
            // One that panicked has said so.
            let _ = thread.join();
        }
    }
}

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links").finish_non_exhaustive()
    }
}

fn name(from: &str, to: &str, port: &str) -> Name {
    Name { from: from.into(), to: to.into(), port: port.into() }
}

#[cfg(test)]
mod tests;
