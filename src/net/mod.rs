//! Sockets. Each connection is a task that owns its descriptor; it hears from the owner of the core through a
//! bounded queue and tells it through another. Dropping the task closes the descriptor.

pub mod cluster;
pub mod downstream;
pub mod origin;
pub mod upstream;

use crate::core::Input;
use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};

/// Most bytes read at once.
const READ: usize = 16 * 1024;

thread_local! {
    /// Where all sockets read: one at a time does, on the one thread, and keeps only what has come.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

/// Who is at the other end, as lines of the log name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    pub client: SocketAddr,
    /// The front that it came through.
    pub via: Option<SocketAddr>,
}

impl std::fmt::Display for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "client={}", self.client)?;
        self.via.map_or(Ok(()), |via| write!(f, " via={via}"))
    }
}

/// What is spoken on a port that the proxy listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Where clients connect.
    Main,
    Multiget,
    Tap,
}

/// What sockets tell the one task that owns the core.
#[derive(Debug)]
pub enum News {
    Core(Input),
    Accepted(Async<TcpStream>, SocketAddr, Port),
    /// A front has said for whom a connection is; told in the log, each of them.
    Fronted(Caller),
    /// No descriptor was left for a connection: something idle has to go.
    Crowded,
    /// A local fault worth a line in the log.
    Note(String),
    /// A planned end.
    End,
    /// The configuration has been replaced.
    Reload,
}

pub type Queue = async_channel::Sender<News>;

impl From<Input> for News {
    fn from(input: Input) -> Self {
        News::Core(input)
    }
}

/// Tells the owner; it lives as long as every task, so a failure only means that the program ends.
pub(crate) async fn tell(queue: &Queue, news: impl Into<News>) {
    let _ = queue.send(news.into()).await;
}

/// Appends what has come to `input`; 0 at the end. A peer that sends without a pause must not keep the others
/// from their turn.
pub(crate) async fn read(socket: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    let n = socket
        .read_with(|mut s| {
            SCRATCH.with_borrow_mut(|scratch| {
                let n = s.read(scratch)?;
                input.extend_from_slice(&scratch[..n]);
                Ok(n)
            })
        })
        .await?;
    if n == READ {
        future::yield_now().await;
    }
    Ok(n)
}

/// Takes `n` bytes off the front, and gives back what a long message took once it is read.
pub(crate) fn consume(input: &mut Vec<u8>, n: usize) {
    input.drain(..n);
    if input.is_empty() && input.capacity() > READ / 4 {
        *input = Vec::new();
    }
}
