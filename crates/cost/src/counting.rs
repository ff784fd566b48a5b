//! An allocator that counts for the thread that asks: allocations, and bytes held.
//!
//! Use it as the global allocator of a program that measures, or of a test: `cost` and `lab` do. The proxy does without.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// See the file's comment.
pub struct CountingAllocator;

thread_local! {
    static MADE: Cell<u64> = const { Cell::new(0) };
    static HELD: Cell<i64> = const { Cell::new(0) };
}

fn count(made: u64, bytes: i64) {
    // A thread that ends frees what its own tables held after they are gone: nobody asks for that.
    let _ = MADE.try_with(|n| n.set(n.get() + made));
    let _ = HELD.try_with(|n| n.set(n.get() + bytes));
}

// SAFETY: every call goes to `System` as it came; the counters are plain cells that never allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(1, layout.size() as i64);
        // SAFETY: the caller keeps the contract of `alloc`.
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

/// Allocations of this thread so far; a reallocation is one.
pub fn allocations() -> u64 {
    MADE.get()
}

/// Bytes that this thread holds, less what it freed for others.
pub fn bytes_held() -> i64 {
    HELD.get()
}
