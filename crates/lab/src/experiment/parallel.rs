//! Jobs on all cores, results in the order of the jobs.
//!
//! Which thread takes which job is left to chance; nothing of it shows, since a job sees only its own item
//! and the results are put back in the order of the items.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicUsize, Ordering};

/// As many threads as there are cores to use; one where the system does not tell.
pub fn cores() -> NonZeroUsize {
    std::thread::available_parallelism().unwrap_or(NonZeroUsize::MIN)
}

/// Calls `job` for each item with its position, on `threads` threads, and returns the results in the order of
/// the items. A panic in a job is passed on once the other threads are done.
pub fn map<T: Sync, R: Send>(
    threads: NonZeroUsize,
    items: &[T],
    job: impl Fn(usize, &T) -> R + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let i = next.fetch_add(1, Ordering::Relaxed);
            let Some(item) = items.get(i) else { return done };
            done.push((i, job(i, item)));
        }
    };
    let mut done = std::thread::scope(|scope| {
        let helpers: Vec<_> = (1..threads.get().min(items.len())).map(|_| scope.spawn(work)).collect();
        let mut done = work();
        for helper in helpers {
            match helper.join() {
                Ok(more) => done.extend(more),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
        done
    });
    done.sort_unstable_by_key(|(i, _)| *i);
    done.into_iter().map(|(_, result)| result).collect()
}

#[cfg(test)]
mod tests;
