//! The signals that tell a program of this package to end or to read its files again.
//!
//! It owns the handlers and the socket pair that wakes whoever waits for a signal; what a signal means is decided elsewhere.
//! A handler raises a flag before it writes to the socket pair, and the bytes written say nothing: one that is lost to an
//! interrupted or a full system call costs a signal no more than [`LOOK`].

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the flags are looked at while nothing wakes who waits.
const LOOK: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT.
    End,
    /// SIGHUP.
    Reload,
}

/// Signals that have come and were not told yet. Several of a kind that come before the first is told are one.
#[derive(Debug)]
pub struct Signals {
    end: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    woken: Async<UnixStream>,
}

impl Signals {
    /// Takes the signals over from the system: from here on they no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// Where the system has no descriptor left, or refuses a handler.
    pub fn new() -> io::Result<Self> {
        let (read, write) = UnixStream::pair()?;
        let signals = Signals { end: Arc::default(), reload: Arc::default(), woken: Async::new(read)? };
        for (signal, raised) in [(SIGTERM, &signals.end), (SIGINT, &signals.end), (SIGHUP, &signals.reload)] {
            // Handlers of a signal run in the order in which they are registered: who is woken finds the flag raised.
            flag::register(signal, raised.clone())?;
            pipe::register(signal, write.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Waits for the next one; an end comes before a reload.
    pub async fn next(&self) -> SignalRequest {
        loop {
            if self.end.swap(false, Ordering::SeqCst) {
                return SignalRequest::End;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return SignalRequest::Reload;
            }
            let look = async {
                Timer::after(LOOK).await;
            };
            future::or(self.wake(), look).await;
        }
    }

    /// Waits until a handler has written. What cannot be read wakes nobody, who looks at the flags in time all the same.
    async fn wake(&self) {
        let read = self.woken.read_with(|mut socket| socket.read(&mut [0; 64])).await;
        if !matches!(read, Ok(1..)) {
            future::pending::<()>().await;
        }
    }
}
