//! Closed-loop clients: each connection sends its next request once the previous one is answered.

use super::protocol::{Protocol, Read};
use super::{Plan, CLIENT_TIMEOUT, TENANT};
use crate::loopback::socket::wire::{Properties, TryId};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;
use world::facts::TryNo;
use world::outcome::Latencies;
use world::random::mix;

/// Number of keys, requested in uniform distribution.
const KEY_COUNT: u64 = 20_000;

#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    pub served: u64,
    pub failed: u64,
    pub latency: Latencies,
}

#[derive(Debug, Default)]
struct Shared {
    counts: AtomicBool,
    ends: AtomicBool,
    requests: AtomicU64,
}

#[derive(Debug)]
pub struct LoadGenerator {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<LoadCounts>>,
}

impl LoadGenerator {
    pub fn start(address: SocketAddr, threads: usize, plan: Plan) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let mut load = LoadGenerator { shared: shared.clone(), threads: Vec::new() };
        for n in 0..threads {
            let connections = (plan.connections + threads - 1 - n) / threads;
            let shared = shared.clone();
            let run = move || {
                let counted = Rc::<RefCell<LoadCounts>>::default();
                let executor = LocalExecutor::new();
                let all: Vec<_> = (0..connections)
                    .map(|_| {
                        executor.spawn(connection(address, plan.clients, shared.clone(), counted.clone()))
                    })
                    .collect();
                async_io::block_on(executor.run(async {
                    for one in all {
                        one.await;
                    }
                }));
                counted.take()
            };
            load.threads.push(thread::Builder::new().name("clients".into()).spawn(run)?);
        }
        Ok(load)
    }

    /// Sets whether answers are counted from now on.
    pub fn count(&self, counts: bool) {
        self.shared.counts.store(counts, Ordering::Relaxed);
    }

    /// Stops all clients once each has its answer, and returns the totals.
    pub fn end(mut self) -> LoadCounts {
        self.shared.ends.store(true, Ordering::Relaxed);
        let mut all = LoadCounts::default();
        for counted in self.threads.drain(..).filter_map(|t| t.join().ok()) {
            all.served += counted.served;
            all.failed += counted.failed;
            all.latency.merge(&counted.latency);
        }
        all
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
    }
}

/// Sends requests until the end of the measurement; a broken connection counts as a failure and is replaced.
async fn connection(
    address: SocketAddr,
    protocol: Protocol,
    shared: Arc<Shared>,
    counted: Rc<RefCell<LoadCounts>>,
) {
    let properties = Properties {
        class: "lookup".into(),
        tenant: TENANT.into(),
        patience: CLIENT_TIMEOUT.as_micros() as i64,
        ..Properties::default()
    };
    let properties = properties.write();
    while !shared.ends.load(Ordering::Relaxed) {
        let Ok(mut socket) = Async::<TcpStream>::connect(address).await else {
            futures_lite::future::yield_now().await;
            continue;
        };
        let _ = socket.get_ref().set_nodelay(true);
        while !shared.ends.load(Ordering::Relaxed) {
            let no = shared.requests.fetch_add(1, Ordering::Relaxed);
            let since = Instant::now();
            let answer = exchange(&mut socket, protocol, no, &properties).await;
            let (broken, served) = (answer.is_none(), answer == Some(true));
            if shared.counts.load(Ordering::Relaxed) {
                let mut counted = counted.borrow_mut();
                counted.served += u64::from(served);
                counted.failed += u64::from(!served);
                counted.latency.add(since.elapsed().as_micros() as i64);
            }
            if broken {
                break;
            }
        }
    }
}

/// Reads one key and tells whether a value came; `None` if the connection can no longer be used.
async fn exchange(
    socket: &mut Async<TcpStream>,
    protocol: Protocol,
    no: u64,
    properties: &str,
) -> Option<bool> {
    let key = format!("{:016x}", mix(no % KEY_COUNT + 1));
    let id = TryId { of: TryNo(no + 1), work: 0, bytes: 0 }.write();
    let mut out = Vec::new();
    // The low bits are unique among recent requests on this connection.
    let read = Read { number: no as u32, key: &key, id: &id, properties };
    protocol.put_read(&mut out, &read).ok()?;
    socket.write_all(&out).await.ok()?;
    let (mut input, mut bytes) = (Vec::new(), [0; 8192]);
    loop {
        match socket.read(&mut bytes).await {
            Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
            _ => return None,
        }
        if let Some(served) = protocol.served(&input, &read).ok()? {
            return Some(served);
        }
    }
}
