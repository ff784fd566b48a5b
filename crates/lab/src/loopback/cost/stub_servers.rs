//! Nodes that always hit, and a discovery server whose list never changes: no model, and as little work as
//! possible.

use super::protocol::Protocol;
use crate::loopback::socket::wire;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use martenweir::codec::resp;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Listeners served by their own threads. Dropping it stops the threads.
#[derive(Debug)]
struct ListenerThreads {
    addresses: Vec<SocketAddr>,
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl ListenerThreads {
    /// Distributes the ports over the threads; `serve` handles one connection until it ends.
    fn start<F>(
        threads: usize,
        ports: usize,
        serve: impl Fn(Async<TcpStream>) -> F + Clone + Send + 'static,
    ) -> io::Result<Self>
    where
        F: std::future::Future<Output = ()> + 'static,
    {
        let mut listeners = Vec::new();
        for _ in 0..ports {
            listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let (stop, stopped) = async_channel::bounded::<()>(1);
        // With more threads than ports, all threads accept on every port.
        let mut started = Vec::new();
        for n in 0..threads {
            let mine = listeners.iter().enumerate().filter(|(i, _)| ports < threads || i % threads == n);
            let mine = mine.map(|(_, l)| l.try_clone()).collect::<Result<Vec<_>, _>>()?;
            let (serve, stopped) = (serve.clone(), stopped.clone());
            started.push(thread::spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                for listener in mine {
                    let Ok(listener) = Async::new(listener) else { return };
                    let (serve, inner) = (serve.clone(), executor.clone());
                    executor.spawn(accept(listener, inner, serve)).detach();
                }
                async_io::block_on(executor.run(async {
                    let _ = stopped.recv().await;
                }));
            }));
        }
        Ok(ListenerThreads { addresses, stop: Some(stop), threads: started })
    }
}

async fn accept<F: std::future::Future<Output = ()> + 'static>(
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
    serve: impl Fn(Async<TcpStream>) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.get_ref().set_nodelay(true);
                executor.spawn(serve(socket)).detach();
            }
            Err(_) => drop(Timer::after(Duration::from_millis(5)).await),
        }
    }
}

impl Drop for ListenerThreads {
    fn drop(&mut self) {
        self.stop = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Cache nodes that always hit.
#[derive(Debug)]
pub struct StubNodes(ListenerThreads);

impl StubNodes {
    pub fn start(threads: usize, nodes: usize, protocol: Protocol, value_bytes: usize) -> io::Result<Self> {
        let value = vec![b'v'; value_bytes.clamp(1, resp::MAX_VALUE)];
        ListenerThreads::start(threads, nodes, move |socket| serve_hits(socket, protocol, value.clone()))
            .map(StubNodes)
    }

    pub fn addresses(&self) -> &[SocketAddr] {
        &self.0.addresses
    }
}

async fn serve_hits(mut socket: Async<TcpStream>, protocol: Protocol, value: Vec<u8>) {
    let (mut input, mut bytes, mut out) = (Vec::new(), vec![0; 16 * 1024], Vec::new());
    loop {
        match socket.read(&mut bytes).await {
            Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
            _ => return,
        }
        let mut at = 0;
        while at < input.len() {
            match protocol.answer(&input[at..], &value, &mut out) {
                Ok(Some(taken)) => at += taken,
                Ok(None) => break,
                Err(_) => return,
            }
        }
        input.drain(..at);
        if socket.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
    }
}

/// A discovery server that only sends heartbeats.
#[derive(Debug)]
pub struct StubDiscovery(ListenerThreads);

impl StubDiscovery {
    pub fn start() -> io::Result<Self> {
        ListenerThreads::start(1, 1, watch).map(StubDiscovery)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.addresses[0]
    }
}

async fn watch(mut socket: Async<TcpStream>) {
    let mut bytes = [0; 4096];
    if socket.read(&mut bytes).await.is_err() {
        return;
    }
    let mut out = Vec::new();
    wire::put_stream(&mut out);
    loop {
        wire::put_chunk(&mut out, b"\n");
        if socket.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
        let ended = async {
            let _ = socket.read(&mut bytes).await;
            true
        };
        let life = async {
            Timer::after(Duration::from_secs(2)).await;
            false
        };
        if future::or(ended, life).await {
            return;
        }
    }
}
