//! When bytes came. A gateway counts its time from when it sent a request, and a pipeline's last commands may
//! wait here till there is room for them; that wait is part of their time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that came within this time of each other count as come together.
const TOGETHER: Duration = Duration::from_millis(5);
/// Moments that are kept; beyond them bytes count as come earlier than they did.
const MOST: usize = 64;

/// The bytes that have come and are not taken, by when they came.
#[derive(Debug, Default)]
pub(super) struct Arrivals(VecDeque<(usize, Instant)>);

impl Arrivals {
    pub(super) fn came(&mut self, n: usize, now: Instant) {
        let full = self.0.len() >= MOST;
        match self.0.back_mut() {
            Some((bytes, at)) if full || now - *at < TOGETHER => *bytes += n,
            _ => self.0.push_back((n, now)),
        }
    }

    /// Takes the first `n` bytes; when the last of them came.
    pub(super) fn take(&mut self, mut n: usize) -> Option<Instant> {
        let mut last = None;
        while let Some((bytes, at)) = self.0.front_mut() {
            last = Some(*at);
            if *bytes > n {
                *bytes -= n;
                break;
            }
            n -= *bytes;
            self.0.pop_front();
            if n == 0 {
                break;
            }
        }
        last
    }
}

#[cfg(test)]
mod tests;
