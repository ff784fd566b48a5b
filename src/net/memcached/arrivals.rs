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
pub(super) struct Arrivals {
    entries: VecDeque<(usize, Instant)>,
    /// At least how many bytes the command at the front has, if it is known to be incomplete.
    awaited: usize,
}

impl Arrivals {
    pub(super) fn received(&mut self, n: usize, now: Instant) {
        let held: usize = self.entries.iter().map(|(bytes, _)| bytes).sum();
        if held < self.awaited {
            // All of it belongs to one command, which arrives with its last byte.
            self.entries.clear();
            self.entries.push_back((held + n, now));
            return;
        }
        let full = self.entries.len() >= MAX_ENTRIES;
        match self.entries.back_mut() {
            Some((bytes, at)) if full || now - *at < MERGE_WINDOW => *bytes += n,
            _ => self.entries.push_back((n, now)),
        }
    }

    /// The command at the front is incomplete and has this many bytes at least.
    pub(super) fn awaits(&mut self, least: usize) {
        self.awaited = least;
    }

    /// Takes the first `n` bytes and returns when the last of them arrived.
    pub(super) fn take(&mut self, mut n: usize) -> Option<Instant> {
        self.awaited = 0;
        let mut last = None;
        while let Some((bytes, at)) = self.entries.front_mut() {
            last = Some(*at);
            if *bytes > n {
                *bytes -= n;
                break;
            }
            n -= *bytes;
            self.entries.pop_front();
            if n == 0 {
                break;
            }
        }
        last
    }
}

#[cfg(test)]
mod tests;
