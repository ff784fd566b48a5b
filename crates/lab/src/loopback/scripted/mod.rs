//! Scripted peers on loopback: a test tells them step by step what to expect and what to answer.
//!
//! A [`Listener`] stands in for a cache node, the origin or discovery; a [`Peer`] is one end of a connection,
//! either a client's or an accepted one. They block, and every step has a timeout ([`PATIENCE`]): a step that
//! does not go as expected returns a [`Surprise`] that names what was expected. [`Site`] combines them for a
//! proxy, and [`Answering`] is a whole proxy that answers by a rule.
//!
//! Use them to test one particular exchange. For nodes that behave like real ones, with the real program in
//! between, play a [`world::world::World`] ([`super::play`]); its nodes also accept a
//! [`world::node::Script`].
//!
//! ```
//! use lab::loopback::scripted::{Listener, Peer};
//!
//! let node = Listener::cache()?;
//! let mut client = Peer::connect(node.address())?;
//! client.send(&["CACHE.GET", "7f3a", "id-1", "c=lookup,d=500"])?;
//!
//! let mut link = node.accept()?;
//! let asked = link.expect_read("7f3a")?;
//! assert_eq!(asked.properties, "c=lookup,d=500");
//! link.miss()?;
//! assert_eq!(client.expect_line()?, "*3");
//! drop(client);
//! link.expect_end()?;
//! # Ok::<(), lab::loopback::scripted::Surprise>(())
//! ```

mod answering;
mod peer;
mod site;

pub use answering::Answering;
pub use peer::{Asked, Listener, Peer};
pub use site::Site;

use std::io;
use std::time::Duration;

/// Timeout of each step: longer than any working step takes, even on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A step that did not go as expected.
#[derive(Debug, thiserror::Error)]
pub enum Surprise {
    #[error("expected {wanted}, got {got}")]
    Other { wanted: String, got: String },
    #[error("timed out waiting for {wanted}")]
    Nothing { wanted: String },
    #[error("the connection closed while waiting for {wanted}")]
    Closed { wanted: String },
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
}
