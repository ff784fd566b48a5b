//! Liveness check of a proxy: a periodic `PING` on a connection of its own.

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between checks, before the proxy is ready and after.
const STARTUP_INTERVAL: Duration = Duration::from_millis(20);
const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Answered {
    /// When the proxy last answered `+PONG`.
    last: Cell<Option<Instant>>,
}

/// Checks one proxy process until it is dropped.
#[derive(Debug)]
pub struct HealthCheck {
    since: Instant,
    answered: Rc<Answered>,
    _task: Task<()>,
}

impl HealthCheck {
    pub fn watch(address: SocketAddr, executor: &LocalExecutor<'_>) -> Self {
        let answered = Rc::<Answered>::default();
        let task = executor.spawn(watch(address, answered.clone()));
        HealthCheck { since: Instant::now(), answered, _task: task }
    }

    /// Whether the proxy has answered at least once.
    pub fn is_ready(&self) -> bool {
        self.answered.last.get().is_some()
    }

    /// Time since the last answer, or since the start of the check.
    pub fn silent_for(&self) -> Duration {
        self.answered.last.get().unwrap_or(self.since).elapsed()
    }
}

async fn watch(address: SocketAddr, answered: Rc<Answered>) {
    loop {
        // A missing answer ends only this check, so that one lost connection is not taken for a hang.
        let timeout = async {
            Timer::after(Duration::from_secs(2)).await;
            None
        };
        if let Some(()) = future::or(ping(address), timeout).await {
            answered.last.set(Some(Instant::now()));
        }
        Timer::after(if answered.last.get().is_some() { INTERVAL } else { STARTUP_INTERVAL }).await;
    }
}

async fn ping(address: SocketAddr) -> Option<()> {
    let mut socket = Async::<TcpStream>::connect(address).await.ok()?;
    socket.write_all(b"*1\r\n$4\r\nPING\r\n").await.ok()?;
    let mut answer = [0; 7];
    socket.read_exact(&mut answer).await.ok()?;
    (&answer == b"+PONG\r\n").then_some(())
}
