//! Connections of clients to one proxy that are idle.

use async_io::Async;
use std::io;
use std::net::TcpStream;

/// More than this are not kept.
const MAX_IDLE: usize = 4096;

#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Async<TcpStream>>,
}

impl Pool {
    /// The one that was used last and is still open; the proxy may have closed some meanwhile.
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
