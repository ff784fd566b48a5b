//! The proxies' processes: started, watched against their limits, told to end, and never left behind.
//!
//! A [`Child`] owns its process; dropped, it kills it and waits for it. Where the lab itself is killed, nobody drops
//! anything: so a child runs under a [`guard`], which has the system kill it when the thread that started it ends.

mod child;
pub mod guard;
mod health_check;
mod usage;

pub use child::{Child, Program};
pub use health_check::HealthCheck;
pub use usage::Usage;

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Of memory that is in use at once.
    pub memory_kb: u64,
    /// Descriptors, which the system holds it to.
    pub descriptors: u64,
    /// Bytes that a file of its may have, `u64::MAX` where any number will do for now ([`Child::limit_files`]): it then ignores
    /// SIGXFSZ, so that a write past the limit fails with EFBIG. `None`: it is started as any program is, and a file
    /// limit would end it.
    pub file_bytes: Option<u64>,
}
