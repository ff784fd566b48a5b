//! Links between processes: relays of our own on loopback, one for each ordered pair of processes and each port.
//!
//! [`Links`] owns one thread with all relays, their sockets and what is on its way; dropped, all of it ends. What
//! befalls a direction is a [`Condition`], and what becomes of each message is drawn by [`world::fleet::link::Line`].
//! It starts no process and reads nothing that it carries: frames, names and meanings are unknown to it. Not for
//! stand-ins, which have a network of their own ([`crate::loopback`]).

mod owner;
mod way;

pub use way::{Lateness, Traffic, VOID_P99_US, VOID_WORST_US};
pub use world::fleet::link::{Condition, Delay};

use async_channel::Sender;
use owner::{Answer, Order};
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// The relays of a fleet. All methods may be called from any thread, and wait for the relays' thread: what
/// is set holds for all that happens after the call.
#[derive(Debug)]
pub struct Links {
    orders: Sender<(Order, Sender<Answer>)>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the thread of the relays. `seed` decides all that is drawn.
    ///
    /// # Errors
    ///
    /// The system gives no thread.
    pub fn start(_seed: u64) -> io::Result<Links> {
        todo!()
    }

    /// The address that `from`'s configuration names for `to`'s port; `target` is where `to` listens. Names are the
    /// caller's. Asked again for the same three, it is the same address with another target.
    ///
    /// # Errors
    ///
    /// No socket to be had, too many relays, or the relays' thread has ended.
    pub fn tcp(&self, _from: &str, _to: &str, _port: &str, _target: SocketAddr) -> io::Result<SocketAddr> {
        todo!()
    }

    /// As [`Links::tcp`] for datagrams. `to` sees them come from a socket of the relay's own; what it sends there goes
    /// to the socket that `from` sent from last.
    ///
    /// # Errors
    ///
    /// As [`Links::tcp`].
    pub fn udp(&self, _from: &str, _to: &str, _port: &str, _target: SocketAddr) -> io::Result<SocketAddr> {
        todo!()
    }

    /// For protocols in which an address names a member: `a` and `b` each have one socket, at `at_a` and `at_b`. The
    /// first address is what `a` sends to, and what `a` sees `b`'s datagrams come from; the second is the same for `b`.
    ///
    /// # Errors
    ///
    /// As [`Links::tcp`].
    pub fn udp_pair(
        &self,
        _a: &str,
        _b: &str,
        _port: &str,
        _at_a: SocketAddr,
        _at_b: SocketAddr,
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        todo!()
    }

    /// `to` was started anew and listens elsewhere. Ends a [`Links::shut`]. Connections that are up stay as they are.
    ///
    /// # Errors
    ///
    /// There is no such link, or the relays' thread has ended.
    pub fn aim(&self, _to: &str, _port: &str, _target: SocketAddr) -> io::Result<()> {
        todo!()
    }

    /// Nobody listens on `to`'s port: new connections are refused by the system itself, as where the process has
    /// ended. Without it they come up, and are reset when the target refuses them.
    ///
    /// # Errors
    ///
    /// As [`Links::aim`].
    pub fn shut(&self, _to: &str, _port: &str) -> io::Result<()> {
        todo!()
    }

    /// What befalls messages from `from` to `to` from now on, on every link between the two, whichever of them opened
    /// it; links that are made later too.
    ///
    /// # Errors
    ///
    /// The condition makes no sense, or the relays' thread has ended.
    pub fn set(&self, _from: &str, _to: &str, _condition: Condition) -> io::Result<()> {
        todo!()
    }

    /// What was set last; a whole link if nothing was.
    pub fn get(&self, _from: &str, _to: &str) -> Condition {
        todo!()
    }

    /// Resets the connections between the two that are up or coming up, at both ends, whoever opened them, whatever the
    /// conditions; how many.
    ///
    /// # Errors
    ///
    /// The relays' thread has ended.
    pub fn reset(&self, _from: &str, _to: &str) -> io::Result<u64> {
        todo!()
    }

    /// How late the relays were so far.
    pub fn lateness(&self) -> Lateness {
        todo!()
    }

    /// What went from `from` to `to` so far.
    pub fn traffic(&self, _from: &str, _to: &str) -> Traffic {
        todo!()
    }
}
