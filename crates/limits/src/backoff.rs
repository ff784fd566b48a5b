//! Exponential backoff: how long to wait before what failed so often in a row is tried again.
//!
//! Use it wherever many proxies may try the same thing again, and add jitter of the caller's own draw: this gives
//! the span to spread over, not the time. Do not use it for work that waits for an answer; that has deadlines.

use crate::Micros;

/// `first` doubled at each failure after it, and never more than `longest`.
pub fn backoff(first: Micros, failures: u32, longest: Micros) -> Micros {
    let times = 1i64.checked_shl(failures.min(62)).unwrap_or(Micros::MAX);
    first.saturating_mul(times).min(longest)
}

#[cfg(test)]
mod tests;
