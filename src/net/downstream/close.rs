//! The end of a connection: noticing that the peer has closed while nothing is read, and closing without
//! destroying what it has not read yet.

use super::{Link, Wakeup};
use crate::net::{peek_read, read, READ};
use async_io::{Async, Timer};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How often a paused peer with unread bytes is checked for its close: no attempt may begin more than 0.1 s
/// after it.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes that a downstream may still send after it was told that nothing more is read.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Waits while nothing is read, until the peer closes, or until what it has sent is to be read past. No event
/// reports a close behind unread bytes, so it is polled for.
pub(super) async fn wait_without_room(
    link: &Link,
    waits_for_command: bool,
    skip_at: Option<Instant>,
) -> Wakeup {
    while let Ok(unread @ 1..) = peek_read(&link.socket).await {
        if link.socket.peer_has_closed() {
            break;
        }
        let now = Instant::now();
        // The close of a client with less unread than this cannot be waiting at its machine.
        let much = waits_for_command || unread >= READ;
        if much && skip_at.is_some_and(|at| at <= now) {
            return Wakeup::NoInputRoom;
        }
        if waits_for_command {
            link.input_memory.revoke_longest(now);
        }
        let next = now + CLOSE_POLL_INTERVAL;
        Timer::at(skip_at.filter(|at| *at > now).map_or(next, |at| at.min(next))).await;
    }
    Wakeup::Read(Ok(0))
}

/// Shuts down the sending side and reads on until the peer has closed too: closing with unread bytes would
/// reset the connection and could destroy an answer. A peer that goes on sending is cut off.
pub(crate) async fn farewell(socket: &Async<TcpStream>) {
    let _ = socket.get_ref().shutdown(std::net::Shutdown::Write);
    let mut left = MAX_DISCARDED_BYTES;
    let mut input = Vec::new();
    while let Ok(n @ 1..) = read(socket, &mut input).await {
        input.clear();
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}
