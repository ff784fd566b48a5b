//! The program `lab`. Its code is in the library, so that tests and other programs can use the parts.

#![forbid(unsafe_code)]

use lab::loopback::children::guard;
use std::process::ExitCode;

/// Counts allocations for `lab capacity`, at the cost of two additions to thread-local counters per
/// allocation.
#[global_allocator]
static ALLOCATOR: cost::counting::CountingAllocator = cost::counting::CountingAllocator;

fn main() -> ExitCode {
    // The loopback host starts this same program as a child process for each proxy.
    guard::run_if_child().unwrap_or_else(lab::commands::main)
}
