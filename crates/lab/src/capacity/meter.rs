//! What a piece of work takes: processor time and allocations of this thread.
//!
//! Allocations are counted only in a program whose global allocator is [`cost::counting::CountingAllocator`],
//! as that of `lab`
//! is. Elsewhere they are told as not measured, never as none.

use cost::counting;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// What was taken, all pieces together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Processor time, of the program and of the system for it.
    pub cpu: Duration,
    /// Allocations; a reallocation is one.
    pub made: u64,
}

fn cpu() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

impl Taken {
    /// Does the work, and adds what it takes.
    pub fn by<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let (made, from) = (counting::allocations(), cpu());
        let done = work();
        self.cpu += cpu().saturating_sub(from);
        self.made += counting::allocations() - made;
        done
    }

    /// Adds what other pieces took.
    pub fn add(&mut self, more: Taken) {
        self.cpu += more.cpu;
        self.made += more.made;
    }
}

/// Whether this program's allocator counts.
pub fn counts() -> bool {
    let before = counting::allocations();
    drop(std::hint::black_box(Box::new(0_u64)));
    counting::allocations() > before
}

/// A number of allocations or allocated bytes, where they are counted.
pub fn counted(value: f64) -> Option<f64> {
    counts().then_some(value)
}

/// Bytes that this thread holds.
pub fn held() -> i64 {
    counting::bytes_held()
}

/// Bytes that go with a value.
pub fn freed_by<T>(value: T) -> i64 {
    let before = held();
    drop(value);
    before - held()
}
