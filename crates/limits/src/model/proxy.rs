//! One proxy of the model: which tries wait for which fetch, what is queued for the origin, and what is in
//! flight there. Owns its limit; sends nothing itself.

use crate::codel::{CoDel, Queue};
use crate::{Ending, Limit, Micros, Sample};
use std::collections::BTreeMap;

/// Queue length in front of the origin.
const QUEUE_LIMIT: usize = 4096;
/// Answers that the origin's mean latency is averaged over.
const LATENCY_SAMPLES: f64 = 20.0;
/// Consecutive timeouts after which a node is excluded, and for how long at first and at most, in us.
const MAX_TIMEOUTS: u32 = 2;
const FIRST_EXCLUSION: Micros = 1_000_000;
const MAX_EXCLUSION: Micros = 8_000_000;

/// How requests queued for the origin are ordered, and whether any are refused before their clients leave.
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicy {
    /// Whether the order is that of the proxy: first those with at least twice the mean latency left, among
    /// those the writes, then those with most clients waiting. Otherwise the oldest first, or the newest
    /// while dropping.
    pub by_worth: bool,
    /// Target and interval for the controlled delay of [`crate::codel`], in us.
    pub delays: Option<(Micros, Micros)>,
    /// Whether requests with less than half of the mean latency left are refused at once, since sending
    /// them would be in vain. Only with the order by worth.
    pub refuse_hopeless: bool,
    /// An answer of the origin later than this counts as slow, in us.
    pub slow_after: Micros,
}

impl QueuePolicy {
    /// The policy of the proxy with [`crate::aimd`]: slow is half the shortest latency target.
    pub const BASELINE: QueuePolicy =
        QueuePolicy { by_worth: true, delays: None, refuse_hopeless: false, slow_after: 375_000 };
    /// The policy of the proxy with [`crate::origin`]: slow is twice the shortest latency target, when
    /// nobody waits any more.
    pub const IN_SERVICE: QueuePolicy =
        QueuePolicy { refuse_hopeless: true, slow_after: 1_500_000, ..QueuePolicy::BASELINE };
}

/// A request to the origin: a key for all tries that wait for it, or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    Read(u64),
    Write(usize),
}

enum RequestQueue {
    /// With their arrival times.
    ByWorth(Vec<(Micros, Call)>, Option<CoDel>),
    CoDel(Queue<Call>),
}

/// What a proxy remembers of a node's timeouts.
#[derive(Clone, Copy, Default)]
struct NodeHealth {
    timeouts: u32,
    exclusions: u32,
    until: Micros,
}

pub struct Proxy {
    /// Number of restarts: attempts sent before a restart don't belong to this process.
    pub epoch: u32,
    pub zone: u32,
    pub limit: Box<dyn Limit>,
    pub out: u32,
    /// The tries that wait for each call, queued or in flight.
    pub calls: BTreeMap<Call, Vec<usize>>,
    /// The attempt in flight for a call, and the try that it was sent for.
    pub in_flight: BTreeMap<Call, (usize, usize)>,
    /// Whether a check of the queue is scheduled, so that there is only one at a time.
    pub check_scheduled: bool,
    queue: RequestQueue,
    /// Recent mean latency of the origin, in us.
    latency: f64,
    last_limited: Option<Micros>,
    health: Vec<NodeHealth>,
}

impl Proxy {
    pub fn new(epoch: u32, zone: u32, nodes: u32, policy: QueuePolicy, limit: Box<dyn Limit>) -> Self {
        let codel = policy.delays.map(|(target, interval)| CoDel::new(target, interval));
        let queue = match policy.by_worth {
            true => RequestQueue::ByWorth(Vec::new(), codel),
            // Without delays nothing is refused: no wait is too long.
            false => RequestQueue::CoDel(Queue::new(
                QUEUE_LIMIT,
                codel.unwrap_or(CoDel::new(Micros::MAX, Micros::MAX)),
            )),
        };
        let health = vec![NodeHealth::default(); nodes as usize];
        Proxy {
            epoch,
            zone,
            limit,
            out: 0,
            calls: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            check_scheduled: false,
            queue,
            latency: 0.0,
            last_limited: None,
            health,
        }
    }

    /// A try waits for a call. Returns the call to refuse if the queue is full.
    pub fn request(&mut self, now: Micros, call: Call, attempt: usize) -> Option<Call> {
        let waiting = self.calls.entry(call).or_default();
        waiting.push(attempt);
        if waiting.len() > 1 {
            return None;
        }
        self.enqueue(now, call)
    }

    /// Enqueues a call. Returns the call to refuse if the queue is full.
    pub fn enqueue(&mut self, now: Micros, call: Call) -> Option<Call> {
        match &mut self.queue {
            RequestQueue::ByWorth(queue, _) if queue.len() >= QUEUE_LIMIT => Some(call),
            RequestQueue::ByWorth(queue, _) => {
                queue.push((now, call));
                None
            }
            RequestQueue::CoDel(queue) => queue.push(now, call),
        }
    }

    /// A try is over. Returns the attempt in flight for it, which is over as well, and whether other tries
    /// wait for the same call.
    pub fn abandon(&mut self, call: Call, attempt: usize) -> (Option<usize>, bool) {
        let Some(waiting) = self.calls.get_mut(&call) else { return (None, false) };
        waiting.retain(|w| *w != attempt);
        let unwanted = waiting.is_empty();
        if unwanted {
            self.calls.remove(&call);
            match &mut self.queue {
                RequestQueue::ByWorth(queue, _) => queue.retain(|(_, c)| *c != call),
                RequestQueue::CoDel(queue) => queue.retain(|c| *c != call),
            }
        }
        let out =
            self.in_flight.get(&call).filter(|(_, leader)| *leader == attempt || unwanted).map(|(a, _)| *a);
        if out.is_some() {
            self.in_flight.remove(&call);
        }
        (out, !unwanted)
    }

    /// Removes a call that has waited too long.
    pub fn shed(&mut self, now: Micros) -> Option<Call> {
        match &mut self.queue {
            RequestQueue::ByWorth(queue, codel) => {
                let oldest = queue.first().map(|(arrived, _)| *arrived);
                if !codel.as_mut().is_some_and(|codel| codel.should_drop(now, oldest)) {
                    return None;
                }
                // Drop a read before a write, as long as there are reads.
                let read = queue.iter().position(|(_, call)| matches!(call, Call::Read(_)));
                Some(queue.remove(read.unwrap_or(0)).1)
            }
            RequestQueue::CoDel(queue) => queue.shed(now),
        }
    }

    /// Removes a queued call for which the time of those who wait is nearly up. `deadline` returns when the
    /// client of a try leaves.
    pub fn take_hopeless(&mut self, now: Micros, deadline: impl Fn(&usize) -> Micros) -> Option<Call> {
        let RequestQueue::ByWorth(queue, _) = &mut self.queue else { return None };
        let min_deadline = now + (self.latency / 2.0) as Micros;
        let late =
            |call: &Call| self.calls.get(call).is_none_or(|w| w.iter().all(|t| deadline(t) <= min_deadline));
        let at = queue.iter().position(|(_, call)| late(call))?;
        Some(queue.remove(at).1)
    }

    /// Dequeues the next call that the limit allows; returns it with the try that waits for it first and
    /// the number in flight. `deadline` returns when the client of a try leaves.
    pub fn send(&mut self, now: Micros, deadline: impl Fn(&usize) -> Micros) -> Option<(Call, usize, u32)> {
        if !self.has_queued() {
            return None;
        }
        if !self.limit.allows(now, self.out) {
            self.last_limited = Some(now);
            return None;
        }
        let twice = now + 2 * self.latency as Micros;
        let calls = &self.calls;
        let worth = |call: &Call| {
            let waiting = calls.get(call).map_or(&[][..], Vec::as_slice);
            let late = waiting.iter().map(&deadline).max().is_none_or(|t| t <= twice);
            (!late, matches!(call, Call::Write(_)), waiting.len())
        };
        let call = match &mut self.queue {
            RequestQueue::ByWorth(queue, codel) => {
                // Of equal ones the last one compared wins: the oldest, or the newest while dropping.
                let dropping = codel.as_ref().is_some_and(CoDel::is_dropping);
                let best = match dropping {
                    true => (0..queue.len()).max_by_key(|i| worth(&queue[*i].1)),
                    false => (0..queue.len()).rev().max_by_key(|i| worth(&queue[*i].1)),
                };
                queue.remove(best?).1
            }
            RequestQueue::CoDel(queue) => queue.pop()?,
        };
        let first = *self.calls.get(&call)?.first()?;
        self.out += 1;
        self.limit.sent(now, self.out);
        Some((call, first, self.out))
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Micros, sent: Micros, out_at_send: u32, ending: Ending) {
        self.out = self.out.saturating_sub(1);
        self.latency += ((now - sent) as f64 - self.latency) / LATENCY_SAMPLES;
        let kept_waiting = self.last_limited.is_some_and(|p| p >= sent);
        self.limit.ended(&Sample { now, sent, ending, out_at_send, kept_waiting });
    }

    /// Whether anything is queued.
    pub fn has_queued(&self) -> bool {
        match &self.queue {
            RequestQueue::ByWorth(queue, _) => !queue.is_empty(),
            RequestQueue::CoDel(queue) => !queue.is_empty(),
        }
    }

    /// Whether a node may be used.
    pub fn can_use(&self, now: Micros, node: usize) -> bool {
        self.health.get(node).is_some_and(|h| h.until <= now)
    }

    /// A node answered, or timed out.
    pub fn node_ended(&mut self, now: Micros, node: usize, timed_out: bool) {
        let Some(h) = self.health.get_mut(node) else { return };
        if !timed_out {
            *h = NodeHealth::default();
            return;
        }
        h.timeouts += 1;
        if h.timeouts >= MAX_TIMEOUTS {
            h.until = now + (FIRST_EXCLUSION << h.exclusions.min(8)).min(MAX_EXCLUSION);
            h.exclusions += 1;
        }
    }
}
