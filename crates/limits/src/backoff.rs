//! Exponential backoff: how long to wait before retrying after a number of consecutive failures.
//!
//! Use it wherever many proxies may retry the same thing, and add jitter from the caller's own random draw:
//! this returns the span to spread over, not the exact delay. Don't use it for requests that wait for an
//! answer; those have deadlines.

use crate::Micros;

/// `first` doubled at each further failure, capped at `longest`.
pub fn backoff(first: Micros, failures: u32, longest: Micros) -> Micros {
    let times = 1i64.checked_shl(failures.min(62)).unwrap_or(Micros::MAX);
    first.saturating_mul(times).min(longest)
}

#[cfg(test)]
mod tests;
