//! Limits that measure what they guard.
//!
//! A proxy stands before things that it does not own: a slow ledger, cache nodes, another hall. Each gets a
//! limit, which is told how every upstream request ended and says how much may be out. Nothing here opens a
//! socket, reads a clock or draws a random number: the time comes in with each call, as [`Micros`].
//!
//! | file | guards by | use it for |
//! | --- | --- | --- |
//! | [`aimd`] | slow answers, additive up, multiplicative down | a baseline to compare with |
//! | [`origin`] | the time of answers against its best, and what is usually out | the ledger: in service |
//! | [`node`] | what it turns away, and its silence | each cache node: in service |
//! | [`gradient`] | usual time over present time | one of many alike, with short trouble |
//! | [`vegas`] | the part of the time that is waiting, told from slowness | a ledger |
//! | [`throughput`] | what more concurrency brings | a busy way to a thing that changes its speed |
//! | [`codel`] | the age of what waits | the queue before a limit |
//! | [`bucket`] | a rate | quotas, trials, anything with a known rate |
//! | [`backoff`] | the failures in a row | whatever many proxies may try again |
//! | [`budget`] | a part of the first attempts | repeats, second copies, clients' marked retries |
//! | [`popular`] | nothing: it counts keys | ordering what waits |
//! | [`cold`] | work over any window | a server that has just started |
//! | [`capacity`] | nothing: it remembers rates | how much a server does that has shown nothing yet: in service |
//! | [`domain`] | the silence of many nodes together | a hall of which each node sees little: in service |
//!
//! What adapts how much is out implements [`Limit`] and is fed in one way: [`Limit::sent`] once for each
//! upstream request, [`Limit::ended`] once for its end. The rest is simpler and has methods of its own.
//!
//! What holds for all of them: the state has a fixed size, the calls on the fast path allocate nothing, equal
//! calls give equal results, and a clock that steps in either direction neither panics nor locks a limit up.
//! After a step forward a limit is as after silence, or as before it; a step back forgets what was timed.

#![forbid(unsafe_code)]

pub mod aimd;
pub mod backoff;
pub mod bucket;
pub mod budget;
pub mod capacity;
pub mod codel;
pub mod cold;
pub mod domain;
mod ghosts;
pub mod gradient;
#[cfg(feature = "model")]
pub mod model;
pub mod node;
pub mod origin;
pub mod popular;
mod rest;
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
pub use vegas::{Vegas, Waiting};

/// A point in time or a span, in microseconds. The zero of the clock has no meaning.
pub type Micros = i64;

/// The example of the package's page is a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Page;

/// How an upstream request ended, as the limit of what it was sent to sees it.
///
/// Limits that go by times look at the times alone: to them `InTime` and `Slow` are the same. Where the line
/// between the two is drawn matters to [`aimd`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered well within the time that is wanted of the guarded thing.
    InTime,
    /// Answered, or broken off, later than that.
    Slow,
    /// Turned away or answered with an error: it works, and would not do this.
    Refused,
    /// No connection, a reset, an answer that cannot be read: says nothing of load.
    Broken,
    /// Given up without an answer. It may still be at work there, so it goes on counting for a while; and
    /// if its client left before an answer was due, it says nothing else.
    Abandoned,
}

impl Ending {
    /// Whether the guarded thing did what it was asked, in time or late.
    pub fn answered(self) -> bool {
        matches!(self, Ending::InTime | Ending::Slow)
    }

    /// Whether too much work may be the reason that nothing came of it.
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
    /// How many of this proxy's were out once it was sent, itself included.
    pub out_at_send: u32,
    /// Whether something had to wait for room while it was out: only then was the limit put to the test.
    pub kept_waiting: bool,
}

impl Sample {
    /// The time that it took; 0 if the clock went back.
    pub fn elapsed(&self) -> Micros {
        self.now.saturating_sub(self.sent).max(0)
    }
}

/// A limit on what is out at one thing, which it learns from how requests there end.
///
/// Feed it all that is sent there, second copies and repeats too, or it takes their load for slowness. One
/// limit a thing and kind of work: two kinds that take different times blur what it measures.
pub trait Limit {
    /// A request is sent, and with it `out` are out.
    fn sent(&mut self, now: Micros, out: u32);

    /// A request has ended. Each that was sent ends once, in any order.
    fn ended(&mut self, sample: &Sample);

    /// To be told a few times a second how many are out. Only [`OriginLimit`] learns from it.
    fn observe_in_flight(&mut self, _now: Micros, _out: u32) {}

    /// How many may be out. Under 1, one at a time with rests between.
    fn limit(&self, now: Micros) -> f64;

    /// Whether another may be sent while `out` are out.
    fn allows(&self, now: Micros, out: u32) -> bool {
        f64::from(out) < self.limit(now).max(1.0)
    }
}
