//! Discovery's stand-in for many watches: a whole list to whoever has none, a change to all at once, and the signs of life
//! that keep watches standing. It counts what it says, those signs apart.

use super::super::roles::lists::{answered, told};
use super::proxies::monotonic;
use crate::loopback::socket::wire::{Command, Dialect};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How often a watch that stands hears that it does.
const LIFE: Duration = Duration::from_secs(2);
/// The longest request.
const REQUEST: usize = 8 * 1024;

/// What was said to hollow proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    pub bytes: u64,
    pub messages: u64,
}

#[derive(Debug, Default)]
struct Counts {
    bytes: AtomicU64,
    messages: AtomicU64,
}

/// See the file's comment. Dropped, it ends.
pub struct Registry {
    hollow: SocketAddr,
    whole: SocketAddr,
    counts: Arc<Counts>,
    /// Told once: the change goes out. Closed: the end.
    change: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What all connections share.
struct Shared {
    answer: Vec<u8>,
    change: Vec<u8>,
    /// Whether the change is out: who calls later has it in another answer.
    news: Receiver<()>,
    counts: Option<Arc<Counts>>,
}

impl Registry {
    /// With the whole list, and a change of it.
    pub fn start(whole: Vec<u8>, change: Vec<u8>) -> io::Result<Registry> {
        let listen = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let (for_hollow, for_whole) = (listen()?, listen()?);
        let (hollow, whole_address) = (for_hollow.local_addr()?, for_whole.local_addr()?);
        let counts = Arc::<Counts>::default();
        let (tell, told_once) = async_channel::bounded::<()>(1);
        let counted = counts.clone();
        let thread = thread::Builder::new().name("registry".into()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            // Each connection waits for the end of this channel: that is the change.
            let (out, news) = async_channel::bounded::<()>(1);
            let shared = |counts| {
                let (answer, change) = (answered(&whole), told(&change));
                Rc::new(Shared { answer, change, news: news.clone(), counts })
            };
            for (listener, counts) in [(for_hollow, Some(counted)), (for_whole, None)] {
                let Ok(listener) = Async::new(listener) else { return };
                executor.spawn(accept(listener, executor.clone(), shared(counts))).detach();
            }
            async_io::block_on(executor.run(async {
                if told_once.recv().await.is_ok() {
                    drop(out);
                    // Till the end.
                    let _ = told_once.recv().await;
                }
            }));
        })?;
        Ok(Registry { hollow, whole: whole_address, counts, change: Some(tell), thread: Some(thread) })
    }

    /// Where hollow proxies find it, whose bytes are counted.
    pub fn hollow(&self) -> SocketAddr {
        self.hollow
    }

    /// Where whole proxies do.
    pub fn whole(&self) -> SocketAddr {
        self.whole
    }

    /// What was said to hollow proxies so far.
    pub fn told(&self) -> Told {
        let of = |n: &AtomicU64| n.load(Ordering::Acquire);
        Told { bytes: of(&self.counts.bytes), messages: of(&self.counts.messages) }
    }

    /// Tells all watches the change; when that began, by the system's steady clock.
    pub fn change(&self) -> i64 {
        let began = monotonic();
        if let Some(change) = &self.change {
            let _ = change.try_send(());
        }
        began
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.change = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.get_ref().set_nodelay(true);
                let shared = shared.clone();
                let serve = async move {
                    // One that has gone is no loss to the others.
                    let _ = serve(socket, &shared).await;
                };
                executor.spawn(serve).detach();
            }
            Err(_) => drop(Timer::after(Duration::from_millis(5)).await),
        }
    }
}

async fn serve(mut socket: Async<TcpStream>, shared: &Shared) -> io::Result<()> {
    let (mut input, mut bytes) = (Vec::new(), [0; 1024]);
    loop {
        match socket.read(&mut bytes).await? {
            0 => return Ok(()),
            n => input.extend_from_slice(&bytes[..n]),
        }
        match Dialect::Discovery.command(&input) {
            Some((Command::Watch { after: None | Some(0) }, _)) => break,
            Some(_) => return Ok(()),
            None if input.len() > REQUEST => return Ok(()),
            None => {}
        }
    }
    shared.say(&mut socket, &shared.answer).await?;
    loop {
        let news = async {
            let _ = shared.news.recv().await;
            true
        };
        let life = async {
            Timer::after(LIFE).await;
            false
        };
        if future::or(news, life).await {
            break;
        }
        socket.write_all(&told(b"\n")).await?;
    }
    shared.say(&mut socket, &shared.change).await?;
    loop {
        Timer::after(LIFE).await;
        socket.write_all(&told(b"\n")).await?;
    }
}

impl Shared {
    async fn say(&self, socket: &mut Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
        // Counted before: whoever has read it may ask for the count.
        if let Some(counts) = &self.counts {
            counts.bytes.fetch_add(bytes.len() as u64, Ordering::AcqRel);
            counts.messages.fetch_add(1, Ordering::AcqRel);
        }
        socket.write_all(bytes).await
    }
}
