//! The sockets of stand-ins: ports that can vanish and come back, connections that can fall silent, and their
//! wire formats.
//!
//! A [`port`] is a listening port of a stand-in; each connection that it accepts becomes a [`link`], a task
//! that owns the descriptor. Both report to the one owner of their thread through one bounded queue of
//! [`SocketEvent`]s. This module knows no model and makes no decisions: neither what is answered, nor when a
//! connection breaks.

pub mod link;
pub mod port;
pub mod wire;

use async_io::Async;
use std::net::TcpStream;
use wire::Command;
use world::Micros;

/// Capacity of the event queue; sockets block when it is full.
pub const QUEUE_LEN: usize = 4096;

/// A connection to a stand-in, numbered by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Events that sockets report to their owner.
#[derive(Debug)]
pub enum SocketEvent {
    /// A connection was accepted on the port with this number.
    Accepted { port: usize, socket: Async<TcpStream> },
    /// A complete command was read. `first_byte_at` is when its first byte was read, `at` when its last was.
    CommandRead { link: LinkId, command: Command, first_byte_at: Micros, at: Micros },
    /// The other side closed, half-closed or reset the connection. Reported once.
    Closed { link: LinkId },
}

pub type Queue = async_channel::Sender<SocketEvent>;
