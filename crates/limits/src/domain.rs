//! Detects that a whole failure domain (a zone, a rack) is unreachable, from all of its nodes together.
//!
//! Use it where many nodes share something that can fail and a proxy sends little to each of them: at one
//! request every few seconds per node, waiting for three failures in a row at each of thirty nodes would
//! take half a minute. Don't use it for a single node: that one is asked again before several distinct
//! nodes could be silent.
//!
//! Any answer of a reachable domain, including rejections and errors, is a sign of life. The domain is lost
//! once [`MIN_SILENT_NODES`] distinct nodes of it were asked since the last sign of life, none has
//! answered, and the first of them has had the time that answers take. From then on it may be probed with
//! exponential backoff and jitter until it answers: the first answer ends the loss.
//!
//! - At the start, and after idle time: reachable.
//! - With fewer than [`MIN_SILENT_NODES`] nodes: never lost; its nodes are judged one by one.
//! - A clock that goes back shortens the silence, never below 0.
//!
//! Sources: outlier detection by locality as in Envoy (the caller has to implement the panic threshold:
//! with all domains lost, all are used); suspicion by accrued silence, Hayashibara and others, "The phi
//! accrual failure detector" (2004).

use crate::{backoff, Micros};

/// Distinct nodes that have to be silent. With one timeout in twenty among healthy nodes, four in a row
/// happen by chance once in 160,000 times.
pub const MIN_SILENT_NODES: usize = 4;
/// The first and the longest mean pause between two probes of a lost domain, in us.
const FIRST_PAUSE: Micros = 500_000;
const MAX_PAUSE: Micros = 4_000_000;

/// Reachability of a failure domain; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct FailureDomain {
    /// Distinct nodes asked since the last sign of life, and when the first of them was asked.
    asked: [Option<u64>; MIN_SILENT_NODES],
    asked_since: Micros,
    /// While lost: the number of probes sent, and when the next one is allowed.
    probes: u32,
    next_probe: Micros,
}

impl FailureDomain {
    /// A request is sent to a node of the domain. `jitter`, 0 to 1, spreads the probes of many proxies if
    /// the domain is lost.
    pub fn sent(&mut self, now: Micros, node: u64, timeout: Micros, jitter: f64) {
        if self.is_lost(now, timeout) {
            let pause = backoff(FIRST_PAUSE, self.probes, MAX_PAUSE);
            self.next_probe = now + (pause as f64 * (0.5 + jitter)) as Micros;
            self.probes += 1;
        }
        if self.asked[0].is_none() {
            self.asked_since = now;
        }
        if !self.asked.contains(&Some(node)) {
            if let Some(free) = self.asked.iter_mut().find(|a| a.is_none()) {
                *free = Some(node);
            }
        }
    }

    /// A request has ended; `answered` tells whether with an answer of any kind.
    pub fn ended(&mut self, answered: bool) {
        if answered {
            *self = FailureDomain::default();
        }
    }

    /// Whether several distinct nodes were asked and none has answered for longer than `timeout`.
    pub fn is_lost(&self, now: Micros, timeout: Micros) -> bool {
        self.asked[MIN_SILENT_NODES - 1].is_some() && now.saturating_sub(self.asked_since) > timeout
    }

    /// Whether the nodes of the domain may be used: it is reachable, or a probe is due.
    pub fn allows(&self, now: Micros, timeout: Micros) -> bool {
        !self.is_lost(now, timeout) || now >= self.next_probe
    }
}

#[cfg(test)]
mod tests;
