//! The program `lab`; all of it is in the library, so that tests and other programs can use its parts.

#![forbid(unsafe_code)]

use lab::loopback::children::guard;
use std::process::ExitCode;

/// Counts for `lab capacity`; two additions to cells of the thread for each allocation.
#[global_allocator]
static ALLOCATOR: cost::counting::CountingAllocator = cost::counting::CountingAllocator;

fn main() -> ExitCode {
    // The proxies of a run on loopback are this same program, started by itself.
    guard::run_if_child().unwrap_or_else(lab::commands::main)
}
