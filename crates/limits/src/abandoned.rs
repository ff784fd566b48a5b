//! Abandoned requests that the upstream is still working on: when each was sent, for as long as it counts.
//!
//! An origin goes on with work that nobody waits for any more. An abandoned request therefore frees no
//! capacity there, and a limit that counts it as gone sends the next one into the same queue: under
//! overload, more than half of the work at the origin may be abandoned. Each abandoned request counts as in
//! flight until something sent after it is answered, since queues are served in order, and no longer than
//! `MAX_COUNTED`, since there may never be another answer.

use crate::Micros;

/// Maximum number tracked. When more than this many were abandoned and none answered, the upstream has
/// stopped, which limits notice by other means.
const MAX_TRACKED: usize = 24;
/// Maximum time for which an abandoned request counts as in flight, in us.
const MAX_COUNTED: Micros = 2_000_000;

/// Abandoned requests; see the module documentation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Abandoned {
    /// When each was sent and until when it counts; the first `count` entries are in use.
    tracked: [(Micros, Micros); MAX_TRACKED],
    count: usize,
}

impl Abandoned {
    /// Records that a request sent at `sent` is abandoned; answers usually take `usual_latency`.
    pub fn abandon(&mut self, now: Micros, sent: Micros, usual_latency: Micros) {
        self.retain(|(_, until)| now < until);
        if self.count < MAX_TRACKED {
            self.tracked[self.count] =
                (sent, now.saturating_add((2 * usual_latency.max(0)).min(MAX_COUNTED)));
            self.count += 1;
        }
    }

    /// Records that a request sent at `sent` was answered.
    pub fn answered(&mut self, sent: Micros) {
        self.retain(|(earlier, _)| earlier > sent);
    }

    /// Number that counts as in flight.
    pub fn in_flight(&self, now: Micros) -> u32 {
        // An entry that counts for longer than the maximum was recorded before the clock went back.
        let counts =
            |(_, until): &&(Micros, Micros)| now < *until && *until <= now.saturating_add(MAX_COUNTED);
        self.tracked[..self.count].iter().filter(counts).count() as u32
    }

    fn retain(&mut self, wanted: impl Fn((Micros, Micros)) -> bool) {
        let mut kept = 0;
        for i in 0..self.count {
            if wanted(self.tracked[i]) {
                self.tracked[kept] = self.tracked[i];
                kept += 1;
            }
        }
        self.count = kept;
    }
}
