//! A global allocator that counts allocations and held bytes per thread.
//!
//! Use it as the global allocator of a measuring program or a test, as `cost` and `lab` do. The proxy does
//! not use it.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Counting allocator; see the module documentation.
pub struct CountingAllocator;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
    static BYTES_HELD: Cell<i64> = const { Cell::new(0) };
}

fn count(allocations: u64, bytes: i64) {
    // A thread that ends frees its thread-local storage after the counters are gone; those bytes are not
    // needed.
    let _ = ALLOCATIONS.try_with(|n| n.set(n.get() + allocations));
    let _ = BYTES_HELD.try_with(|n| n.set(n.get() + bytes));
}

// SAFETY: every call is forwarded to `System` unchanged; the counters are plain cells that never allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(1, layout.size() as i64);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        count(0, -(layout.size() as i64));
        // SAFETY: `block` came from `System` with this layout.
        unsafe { System.dealloc(block, layout) }
    }

    unsafe fn realloc(&self, block: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        count(1, size as i64 - layout.size() as i64);
        // SAFETY: `block` came from `System` with this layout.
        unsafe { System.realloc(block, layout, size) }
    }
}

/// Allocations of this thread so far; a reallocation counts as one.
pub fn allocations() -> u64 {
    ALLOCATIONS.get()
}

/// Bytes allocated by this thread less those it freed, whoever allocated them.
pub fn bytes_held() -> i64 {
    BYTES_HELD.get()
}
