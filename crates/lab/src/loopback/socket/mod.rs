//! The sockets of stand-ins: ports that can vanish and come back, connections that can fall silent, and the bytes
//! that go over them.
//!
//! A [`port`] is a port of a stand-in; each connection that it accepts becomes a [`link`], a task that owns the
//! descriptor. Both tell the one owner of their thread what happened through one bounded queue of [`SocketEvent`]. Nothing
//! here knows a model or decides anything: not what is answered, nor when a connection breaks.

pub mod link;
pub mod port;
pub mod wire;

use async_io::Async;
use std::net::TcpStream;
use wire::Command;
use world::Micros;

/// Heard things that may wait for the owner before sockets wait in their turn.
pub const QUEUE_LEN: usize = 4096;

/// A connection to a stand-in, numbered by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What sockets tell their owner.
#[derive(Debug)]
pub enum SocketEvent {
    /// Somebody has connected to the door with this number.
    Accepted { port: usize, socket: Async<TcpStream> },
    /// A whole command has come. `first_byte_at` is when its first byte was read, `at` when its last was.
    CommandRead { link: LinkId, command: Command, first_byte_at: Micros, at: Micros },
    /// The other side has closed the connection, ended its sending or broken it. Said once.
    Closed { link: LinkId },
}

pub type Queue = async_channel::Sender<SocketEvent>;
