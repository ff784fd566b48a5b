//! Clients: when requests arrive, what they ask for, and how a client reacts to the result of a try.
//!
//! Arrivals are drawn in advance from the seed and do not wait for answers (open loop); retries depend on the
//! result of a try. Nothing here sends anything: the hosts do.

mod arrivals;
mod patience;
mod popularity;
mod request_table;
mod traffic;

pub use arrivals::{Arrivals, Request};
pub use patience::{Next, RetryState, TryEnd};
pub use popularity::Popularity;
pub use request_table::{RequestSlot, RequestTable, Try};
pub use traffic::Traffic;
