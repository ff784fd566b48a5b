//! Sockets. Each connection is a task that owns its descriptor. It receives messages from the owner of the
//! core through one bounded queue and reports through another. Dropping the task closes the descriptor.
//!
//! This module knows no feature: what a port speaks is a [`protocol::Protocol`], and which addresses may
//! connect is decided by a function passed to [`accept::accept`].

pub mod accept;
mod activity;
mod answer_queue;
pub mod cluster;
pub mod command;
pub mod downstream;
mod events;
pub mod framed;
mod input_buffer;
pub mod memcached;
pub mod origin;
pub mod protocol;
pub mod turns;
pub mod upstream;

pub(crate) use events::send_event;
pub use events::{canonical_address, Caller, EventSender, LogEntry, NetEvent, PortIndex, WatchEvent};

use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The maximum number of bytes read at once.
const READ: usize = 16 * 1024;

thread_local! {
    /// The read buffer of all sockets: they share one thread, read one at a time, and keep only what has
    /// arrived.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

/// Appends available bytes to `input`; returns 0 at the end of the stream. Yields after a full read, so that
/// a peer that sends without pause doesn't starve other tasks.
pub(crate) async fn read(socket: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    read_at_most(socket, input, READ).await
}

/// As [`read`], but reads `limit` bytes at most.
pub(crate) async fn read_at_most(
    socket: &Async<TcpStream>,
    input: &mut Vec<u8>,
    limit: usize,
) -> io::Result<usize> {
    let n = read_scratch(socket, input, limit).await?;
    if n == READ {
        future::yield_now().await;
    }
    Ok(n)
}

async fn read_scratch(socket: &Async<TcpStream>, input: &mut Vec<u8>, limit: usize) -> io::Result<usize> {
    let n = read_to_scratch(socket, limit).await?;
    with_scratch(n, |bytes| input.extend_from_slice(bytes));
    Ok(n)
}

/// Reads at most `limit` available bytes into the buffer that all sockets share, where [`with_scratch`] finds
/// them until another task runs. The caller has to yield once [`READ`] bytes have arrived.
pub(crate) async fn read_to_scratch(socket: &Async<TcpStream>, limit: usize) -> io::Result<usize> {
    socket
        .read_with(|mut s| {
            SCRATCH.with_borrow_mut(|scratch| uninterrupted(|| s.read(&mut scratch[..limit.min(READ)])))
        })
        .await
}

/// Passes on the first `n` bytes of the buffer that all sockets share.
pub(crate) fn with_scratch<T>(n: usize, take: impl FnOnce(&[u8]) -> T) -> T {
    SCRATCH.with_borrow(|scratch| take(&scratch[..n]))
}

/// Repeats a system call while a signal interrupts it (EINTR), which says nothing about the connection.
pub(crate) fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Waits until bytes or the end of the stream have arrived, without consuming them; returns 0 at the end.
pub(crate) async fn peek(socket: &Async<TcpStream>) -> io::Result<usize> {
    socket.read_with(|s| uninterrupted(|| s.peek(&mut [0; 1]))).await
}

/// As [`peek`], but returns how much could be read at once, up to [`READ`] bytes.
pub(crate) async fn peek_read(socket: &Async<TcpStream>) -> io::Result<usize> {
    socket.read_with(|s| SCRATCH.with_borrow_mut(|scratch| uninterrupted(|| s.peek(scratch)))).await
}

/// Writes as much as the socket accepts.
pub(crate) async fn write(socket: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    socket.write_with(|mut s| uninterrupted(|| s.write(bytes))).await
}

/// Writes all bytes and retries interrupted calls, which the socket's own `write_all` returns as errors.
pub(crate) async fn write_all(socket: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(socket, bytes).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => bytes = &bytes[n..],
        }
    }
    Ok(())
}

/// Removes the first `n` bytes, and frees the memory of a long message once it is consumed.
pub(crate) fn consume(input: &mut Vec<u8>, n: usize) {
    input.drain(..n);
    if input.is_empty() && input.capacity() > READ / 4 {
        *input = Vec::new();
    }
}
