//! Adaptive concurrency limits and related admission control for upstreams.
//!
//! A proxy has no control over what it sends to: a slow origin, cache nodes, another zone. Each of them
//! gets a limit that is told how every upstream request ended and returns how many requests may be in
//! flight. Nothing in this package opens a socket, reads a clock or draws a random number: the time is
//! passed to each call as [`Micros`].
//!
//! | module | limits by | use it for |
//! | --- | --- | --- |
//! | [`aimd`] | late answers, additive increase, multiplicative decrease | a baseline for comparisons |
//! | [`origin`] | latency over the best seen, and the usual number in flight | the origin: in service |
//! | [`node`] | rejections, and missing answers | each cache node: in service |
//! | [`gradient`] | usual latency over present latency | one of many alike, with short disturbances |
//! | [`vegas`] | the share of latency spent queueing, told apart from slowness | an origin |
//! | [`throughput`] | the throughput gained by more concurrency | a busy upstream whose speed changes |
//! | [`codel`] | the age of queued requests | the queue in front of a limit |
//! | [`bucket`] | a rate | quotas, probes, anything with a known rate |
//! | [`backoff`] | consecutive failures | anything that many proxies may retry |
//! | [`budget`] | a share of the first attempts | retries, second copies, retries marked by clients |
//! | [`popular`] | nothing: it counts keys | ordering queued requests |
//! | [`cold`] | the work sent within any window | a server that has just started |
//! | [`capacity`] | nothing: it remembers rates | servers without measurements of their own: in service |
//! | [`domain`] | missing answers of many nodes together | zones with little traffic per node: in service |
//!
//! Adaptive limits implement [`Limit`] and are fed in one way: [`Limit::sent`] once for each upstream
//! request and [`Limit::ended`] once for its end. The other types are simpler and have methods of their
//! own.
//!
//! Common properties: the state has a fixed size, the calls on the fast path don't allocate, equal calls
//! give equal results, and a clock that steps in either direction causes neither a panic nor a permanently
//! closed limit. After a step forward a limit behaves as after idle time, or as if nothing happened; a step
//! back discards the time measurements in progress.

#![forbid(unsafe_code)]

mod abandoned;
pub mod aimd;
pub mod backoff;
pub mod bucket;
pub mod budget;
pub mod capacity;
pub mod codel;
pub mod cold;
mod cooldown;
pub mod domain;
pub mod gradient;
#[cfg(feature = "model")]
pub mod model;
pub mod node;
pub mod origin;
pub mod popular;
mod round;
pub mod throughput;
pub mod vegas;

pub use aimd::Aimd;
pub use backoff::backoff;
pub use bucket::Bucket;
pub use budget::{Budget, Extra};
pub use codel::{CoDel, Queue};
pub use cold::{ColdBudget, WarmUp};
pub use domain::FailureDomain;
pub use gradient::Gradient;
pub use node::NodeLimit;
pub use origin::OriginLimit;
pub use popular::PopularityCounter;
pub use round::Range;
pub use throughput::Throughput;
pub use vegas::{QueueingShare, Vegas};

/// A point in time or a span, in microseconds. The zero of the clock has no meaning.
pub type Micros = i64;

/// Runs the example of the package's README as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

/// How an upstream request ended, as its limit sees it.
///
/// Limits based on latency look only at the elapsed time and treat `InTime` and `Slow` alike. The threshold
/// between the two matters to [`aimd`] and [`origin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered within the latency target of the upstream.
    InTime,
    /// Answered, or cut off, later than that.
    Slow,
    /// Rejected or answered with an error: the upstream is alive but did not do the work.
    Refused,
    /// No connection, a reset, or an unreadable answer: carries no information about load.
    Broken,
    /// Abandoned without an answer. The upstream may still be working on it, so it keeps counting as in
    /// flight for a while. If its client left before an answer was due, it carries no other information.
    Abandoned,
}

impl Ending {
    /// Whether the upstream did the work, in time or late.
    pub fn answered(self) -> bool {
        matches!(self, Ending::InTime | Ending::Slow)
    }

    /// Whether overload may be the reason that there was no result.
    pub fn failed(self) -> bool {
        matches!(self, Ending::Refused | Ending::Abandoned)
    }
}

/// The end of an upstream request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it ended.
    pub now: Micros,
    /// When it was sent.
    pub sent: Micros,
    /// How it ended.
    pub ending: Ending,
    /// How many requests of this proxy were in flight right after it was sent, itself included.
    pub out_at_send: u32,
    /// Whether another request had to wait for the limit while this one was in flight: only then was the
    /// limit actually tested.
    pub kept_waiting: bool,
}

impl Sample {
    /// Elapsed time; 0 if the clock went back.
    pub fn elapsed(&self) -> Micros {
        self.now.saturating_sub(self.sent).max(0)
    }
}

/// A limit on the requests in flight to one upstream, learned from how they end.
///
/// Feed it everything that is sent there, including second copies and retries; otherwise it mistakes their
/// load for slowness. Use one limit for each upstream and kind of work: two kinds with different latencies
/// blur the measurement.
pub trait Limit {
    /// A request is sent; `out` are in flight, this one included.
    fn sent(&mut self, now: Micros, out: u32);

    /// A request has ended. Every request that was sent ends once, in any order.
    fn ended(&mut self, sample: &Sample);

    /// Reports the number in flight; to be called a few times a second. Only [`OriginLimit`] uses it.
    fn observe_in_flight(&mut self, _now: Micros, _out: u32) {}

    /// How many requests may be in flight. Under 1, one at a time with pauses between.
    fn limit(&self, now: Micros) -> f64;

    /// Whether another request may be sent while `out` are in flight.
    fn allows(&self, now: Micros, out: u32) -> bool {
        f64::from(out) < self.limit(now).max(1.0)
    }
}
