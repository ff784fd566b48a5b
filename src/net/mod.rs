//! Sockets. Each connection is a task that owns its descriptor; it hears from the owner of the core through a
//! bounded queue and tells it through another. Dropping the task closes the descriptor.

pub mod cluster;
pub mod downstream;
pub mod origin;
pub mod upstream;

use crate::core::Input;
use async_io::Async;
use std::net::TcpStream;

/// What sockets tell the one task that owns the core.
#[derive(Debug)]
pub enum News {
    Core(Input),
    Accepted(Async<TcpStream>),
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
