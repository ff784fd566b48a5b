//! Runs the tasks of a program on one thread.
//!
//! The main future of a program is its event loop, and sockets become readable only when the poller is asked.
//! An executor's own loop does both after a few hundred tasks, which under load is a long time for whoever
//! waits for the next step of a request. Here both have their turn after a few tasks.

use async_executor::LocalExecutor;
use futures_lite::future;
use std::future::Future;

/// How many tasks run before the main future and the poller have their turn.
const TASKS_PER_ROUND: usize = 16;

/// Runs `main` and the tasks of `executor` on this thread until `main` completes.
pub fn block_on<T>(executor: &LocalExecutor<'_>, main: impl Future<Output = T>) -> T {
    let tasks = async {
        loop {
            executor.tick().await;
            for _ in 1..TASKS_PER_ROUND {
                if !executor.try_tick() {
                    break;
                }
            }
            // Returns to the poller, which then wakes this future at once, and `main` is polled first.
            future::yield_now().await;
        }
    };
    async_io::block_on(future::or(main, tasks))
}
