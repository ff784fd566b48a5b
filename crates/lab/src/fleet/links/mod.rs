//! Links between processes: relays on loopback, one for each ordered pair of processes and each port.
//!
//! [`Links`] owns one thread with all relays, their sockets and the data in flight; dropping it ends all of
//! them. A [`Condition`] sets the faults of a direction, and [`world::fleet::link::Line`] draws the fate of
//! each message. This module starts no processes and does not parse what it carries. It is not used for
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

/// Maximum number of orders queued for the relay thread.
const MAX_PENDING_ORDERS: usize = 64;

/// The relays of a fleet. All methods may be called from any thread and wait for the relay thread: a setting
/// applies to everything that happens after the call returns.
pub struct Links {
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the relay thread. `seed` determines all random draws.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(seed: u64) -> io::Result<Links> {
        let (orders, told) = async_channel::bounded(MAX_PENDING_ORDERS);
        let thread =
            std::thread::Builder::new().name("links".into()).spawn(move || owner::run(seed, &told))?;
        Ok(Links { orders, thread: Some(thread) })
    }

    /// Returns the address to put into `from`'s configuration for `to`'s port; `target` is where `to`
    /// listens. The caller chooses the names. A repeated call with the same three names returns the same
    /// address and replaces the target.
    ///
    /// # Errors
    ///
    /// No socket is available, there are too many relays, or the relay thread has ended.
    pub fn tcp(&self, from: &str, to: &str, port: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.ask(|reply| Order::Tcp(name(from, to, port), target, reply))?
    }

    /// Like [`Links::tcp`], for datagrams. `to` sees them come from a socket of the relay; replies to that
    /// socket go to the address that `from` last sent from.
    ///
    /// # Errors
    ///
    /// As [`Links::tcp`].
    pub fn udp(&self, from: &str, to: &str, port: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.ask(|reply| Order::Udp(name(from, to, port), target, reply))?
    }

    /// For protocols that identify a member by its address: `a` and `b` each have one socket, at `at_a` and
    /// `at_b`. The first returned address is the one `a` sends to and sees `b`'s datagrams come from; the
    /// second is the same for `b`.
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

    /// Sets a new target after `to` was restarted on another address. Reverts [`Links::shut`]. Established
    /// connections are unaffected.
    ///
    /// # Errors
    ///
    /// There is no such link, or the relay thread has ended.
    pub fn aim(&self, to: &str, port: &str, target: SocketAddr) -> io::Result<()> {
        self.ask(|reply| Order::Aim(to.into(), port.into(), Some(target), reply))?
    }

    /// Marks `to`'s port as closed: the operating system refuses new connections, as it does for an ended
    /// process. Without this call they are accepted, and reset when the target refuses them.
    ///
    /// # Errors
    ///
    /// As [`Links::aim`].
    pub fn shut(&self, to: &str, port: &str) -> io::Result<()> {
        self.ask(|reply| Order::Aim(to.into(), port.into(), None, reply))?
    }

    /// Sets the condition for messages from `from` to `to` on every link between the two, whichever opened
    /// it, including links created later.
    ///
    /// # Errors
    ///
    /// The condition is invalid, or the relay thread has ended.
    pub fn set(&self, from: &str, to: &str, condition: Condition) -> io::Result<()> {
        self.ask(|reply| Order::Set(from.into(), to.into(), condition, reply))?
    }

    /// The condition set last; the default condition if none was set.
    pub fn get(&self, from: &str, to: &str) -> Condition {
        self.ask(|reply| Order::Get(from.into(), to.into(), reply)).unwrap_or_default()
    }

    /// Resets, at both ends, all established and pending connections between the two, whoever opened them and
    /// whatever the conditions. Returns how many there were.
    ///
    /// # Errors
    ///
    /// The relay thread has ended.
    pub fn reset(&self, from: &str, to: &str) -> io::Result<u64> {
        self.ask(|reply| Order::Reset(from.into(), to.into(), reply))
    }

    /// Lateness of the relays so far.
    pub fn lateness(&self) -> Lateness {
        self.ask(Order::Lateness).unwrap_or(Lateness::UNKNOWN)
    }

    /// Traffic from `from` to `to` so far.
    pub fn traffic(&self, from: &str, to: &str) -> Traffic {
        self.ask(|reply| Order::Traffic(from.into(), to.into(), reply)).unwrap_or_default()
    }

    fn ask<T>(&self, order: impl FnOnce(Sender<T>) -> Order) -> io::Result<T> {
        let ended = |_| io::Error::other("the relay thread has ended");
        let (reply, answer) = async_channel::bounded(1);
        self.orders.send_blocking(order(reply)).map_err(|_| ended(async_channel::RecvError))?;
        answer.recv_blocking().map_err(ended)
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.orders.close();
        if let Some(thread) = self.thread.take() {
            // A panic has already been printed.
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
