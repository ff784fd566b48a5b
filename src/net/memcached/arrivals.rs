//! Records when bytes arrived. The time of a gateway runs from when it sent a request, and the last commands
//! of a pipeline may wait here for room, so that wait is deducted from their deadline.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that arrive within this time of each other share one entry.
const MERGE_WINDOW: Duration = Duration::from_millis(5);
/// The maximum number of entries; beyond it bytes count as having arrived earlier than they did.
const MAX_ENTRIES: usize = 64;

/// The bytes received and not taken, with their arrival times.
#[derive(Debug, Default)]
pub(super) struct Arrivals(VecDeque<(usize, Instant)>);

impl Arrivals {
    pub(super) fn received(&mut self, n: usize, now: Instant) {
        let full = self.0.len() >= MAX_ENTRIES;
        match self.0.back_mut() {
            Some((bytes, at)) if full || now - *at < MERGE_WINDOW => *bytes += n,
            _ => self.0.push_back((n, now)),
        }
    }

    /// Takes the first `n` bytes and returns when the last of them arrived.
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
