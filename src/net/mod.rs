//! Sockets. Each connection is a task that owns its descriptor; it hears from the owner of the core through a
//! bounded queue and tells it through another. Dropping the task closes the descriptor.
//!
//! Nothing here knows a feature: what is spoken on a port is a [`protocol::Protocol`], who may connect a
//! function that [`accept::accept`] is given.

pub mod accept;
pub mod cluster;
pub mod command;
pub mod downstream;
mod events;
pub mod framed;
pub mod memcached;
pub mod origin;
pub mod protocol;
pub mod upstream;

pub(crate) use events::send_event;
pub use events::{canonical_address, Caller, EventSender, LogEntry, NetEvent, PortIndex, WatchEvent};

use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Most bytes read at once.
const READ: usize = 16 * 1024;

thread_local! {
    /// Where all sockets read: one at a time does, on the one thread, and keeps only what has come.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

/// Appends what has come to `input`; 0 at the end. A peer that sends without a pause must not keep the others
/// from their turn.
pub(crate) async fn read(socket: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    let n = read_without_yield(socket, input).await?;
    if n == READ {
        future::yield_now().await;
    }
    Ok(n)
}

/// As [`read`], but the caller gives the others their turn once [`READ`] bytes have come.
pub(crate) async fn read_without_yield(socket: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    socket
        .read_with(|mut s| {
            SCRATCH.with_borrow_mut(|scratch| {
                let n = uninterrupted(|| s.read(scratch))?;
                input.extend_from_slice(&scratch[..n]);
                Ok(n)
            })
        })
        .await
}

/// Makes a system call again for as long as a signal interrupts it: that says nothing of the connection.
pub(crate) fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Waits until something has come, or the end, and leaves it there; 0 at the end.
pub(crate) async fn peek(socket: &Async<TcpStream>) -> io::Result<usize> {
    socket.read_with(|s| uninterrupted(|| s.peek(&mut [0; 1]))).await
}

/// Writes as much as the socket takes.
pub(crate) async fn write(socket: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    socket.write_with(|mut s| uninterrupted(|| s.write(bytes))).await
}

/// Writes all of it, interrupted or not: what the socket's own `write_all` gives back as an error.
pub(crate) async fn write_all(socket: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(socket, bytes).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => bytes = &bytes[n..],
        }
    }
    Ok(())
}

/// Takes `n` bytes off the front, and gives back what a long message took once it is read.
pub(crate) fn consume(input: &mut Vec<u8>, n: usize) {
    input.drain(..n);
    if input.is_empty() && input.capacity() > READ / 4 {
        *input = Vec::new();
    }
}
