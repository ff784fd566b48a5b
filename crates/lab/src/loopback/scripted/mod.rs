//! Peers on loopback that a test tells step by step what to expect and what to answer.
//!
//! A [`Listener`] stands in for a cache node, the ledger or discovery; a [`Peer`] is one end of a connection, of a
//! client or of whoever was accepted. They block, and every wait has an end ([`PATIENCE`]): a step that does not
//! come is a [`Surprise`] that says what was waited for. [`Site`] puts them together for a proxy, and [`Answering`]
//! is a whole proxy that answers by a rule.
//!
//! Use them for one certain exchange. For a node that behaves like one, with the real program in between, play a
//! [`world::world::World`] ([`super::play`]); its nodes take a [`world::node::Script`] too.
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
    #[error("waited for {wanted}, and {got} came")]
    Other { wanted: String, got: String },
    #[error("waited for {wanted}, and nothing came")]
    Nothing { wanted: String },
    #[error("waited for {wanted}, and the other side closed")]
    Closed { wanted: String },
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
}
