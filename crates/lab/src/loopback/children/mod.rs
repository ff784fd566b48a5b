//! Proxy processes: started, checked against their limits, terminated, and never left behind.
//!
//! A [`Child`] owns its process; dropping it kills the process and waits for it. If the lab itself is killed,
//! nothing is dropped, so each child runs under a [`guard`], which has the kernel kill it when the thread
//! that started it ends.

mod child;
pub mod guard;
mod health_check;
mod usage;

pub use child::{Child, Program};
pub use health_check::HealthCheck;
pub use usage::Usage;

/// Resource limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Peak resident memory, in KiB.
    pub memory_kb: u64,
    /// Open descriptors, enforced by the kernel.
    pub descriptors: u64,
    /// Size of a file that the process may write, in bytes; `u64::MAX` for no limit until
    /// [`Child::limit_files`] sets one. The process then ignores SIGXFSZ, so that a write past the limit
    /// fails with EFBIG. `None`: the process keeps the default action, and a file size limit would kill it.
    pub file_bytes: Option<u64>,
}
