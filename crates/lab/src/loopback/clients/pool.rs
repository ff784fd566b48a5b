//! Idle client connections to one proxy.

use async_io::Async;
use std::io;
use std::net::TcpStream;

/// Further connections are closed instead of being kept.
const MAX_IDLE: usize = 4096;

#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Async<TcpStream>>,
}

impl Pool {
    /// The most recently used connection that is still open; connections that the proxy has closed are
    /// discarded.
    pub fn take(&mut self) -> Option<Async<TcpStream>> {
        while let Some(socket) = self.idle.pop() {
            let peeked = socket.get_ref().peek(&mut [0]);
            if matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
                return Some(socket);
            }
        }
        None
    }

    pub fn put(&mut self, socket: Async<TcpStream>) {
        if self.idle.len() < MAX_IDLE {
            self.idle.push(socket);
        }
    }
}
