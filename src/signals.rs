//! The signals that ask a program of this package to shut down or to reload its files.
//!
//! This module installs the handlers and holds the socket pair that wakes the waiting task; what a signal
//! means is decided elsewhere. A handler sets a flag before it writes to the socket pair, and the bytes
//! written carry no information: if one is lost to an interrupted or failed system call, the signal is
//! delayed by at most [`POLL_INTERVAL`].

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the flags are checked without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT.
    End,
    /// SIGHUP.
    Reload,
}

/// Received signals that have not been returned yet. Several of one kind count as one until the first is
/// returned.
#[derive(Debug)]
pub struct Signals {
    end: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_socket: Async<UnixStream>,
}

impl Signals {
    /// Installs the handlers: from here on the signals no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// If no descriptor is available or a handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        let (read, write) = UnixStream::pair()?;
        let signals = Signals { end: Arc::default(), reload: Arc::default(), wake_socket: Async::new(read)? };
        for (signal, raised) in [(SIGTERM, &signals.end), (SIGINT, &signals.end), (SIGHUP, &signals.reload)] {
            // Handlers of a signal run in the order of registration, so the flag is set before the waiting
            // task is woken.
            flag::register(signal, raised.clone())?;
            pipe::register(signal, write.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Waits for the next signal; a shutdown is returned before a reload.
    pub async fn next(&self) -> SignalRequest {
        loop {
            if self.end.swap(false, Ordering::SeqCst) {
                return SignalRequest::End;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return SignalRequest::Reload;
            }
            let poll = async {
                Timer::after(POLL_INTERVAL).await;
            };
            future::or(self.wake(), poll).await;
        }
    }

    /// Waits until a handler has written. On a read error it waits forever; the caller still checks the flags
    /// periodically.
    async fn wake(&self) {
        let read = self.wake_socket.read_with(|mut socket| socket.read(&mut [0; 64])).await;
        if !matches!(read, Ok(1..)) {
            future::pending::<()>().await;
        }
    }
}
