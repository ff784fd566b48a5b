//! Who asks: when requests come, for what, and what a client does with the answer to a try.
//!
//! Arrivals are drawn ahead by the seed and wait for nobody (open loop); retries follow from what came of a try.
//! Nothing here sends: hosts do.

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
