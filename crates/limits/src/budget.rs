//! A budget for what is sent beyond first attempts: repeats after a failure, second copies beside one that
//! is out, and clients' marked retries. It bounds the part of the work that serves no answer.
//!
//! Use one for each thing that repeats add load to: the cache nodes, the ledger. Do not use it for first
//! attempts: those are what a limit lets through.
//!
//! Each request pays `part` into it, each extra takes 1 out. So over any run of requests the extras are at
//! most `part` of them, and `depth` more. Under strain less is paid in and less is kept: from [`CALM`] of
//! the endings failing down to nothing at [`HARD`]. Copies leave half of the depth to repeats, since a
//! repeat has a request behind it that has nothing out.
//!
//! - At the start: full, so that a new proxy can repeat at once.
//! - After silence ([`FORGET`]): what is in it stays; the strain that was seen is forgotten.
//! - When all answers are errors: no extra at all after about as many endings as [`MEMORY`]; first attempts
//!   still go out and tell when it is over.
//! - A clock that goes back counts as no silence.
//!
//! Sources: Beyer and others, "Site Reliability Engineering" (2016), ch. 21, "Handling Overload" (a client's
//! repeats stay under 10% of its requests) and ch. 22, "Addressing Cascading Failures" (a budget a server and
//! minute; a system that fails wholly must get no repeats); Finagle's `RetryBudget` (deposits at each
//! request, withdrawals at each repeat, 20% by default).

use crate::{Ending, Micros, Sample};

/// The part of the endings failing up to which all is paid in: the tenth of the SRE book.
pub const CALM: f64 = 0.1;
/// The part of the endings failing from which nothing is: the proxy's figure for a fault behind the fleet.
pub const HARD: f64 = 0.3;
/// How many endings are looked at: a fifth of them is a change that chance alone rarely makes.
pub const MEMORY: f64 = 50.0;
/// Time without an ending after which strain is forgotten, in us: about the lifetime of Finagle's deposits.
pub const FORGET: Micros = 10_000_000;

/// What is sent beyond a request's first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    /// Another attempt after one that failed.
    Retry,
    /// A second copy beside an attempt that is out.
    SecondCopy,
    /// A retry of a client's own, where clients mark them.
    ClientRetry,
}

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    part: f64,
    depth: f64,
    tokens: f64,
    failing: f64,
    heard: Micros,
}

impl Budget {
    /// A full budget of at most `depth` extras, paid with `part` of an extra a request. Figures below 0, or
    /// that are no numbers, count as 0.
    pub fn new(part: f64, depth: f64) -> Self {
        let (part, depth) = (part.max(0.0), depth.max(0.0));
        Budget { part, depth, tokens: depth, failing: 0.0, heard: 0 }
    }

    /// A request has come, and is paid for.
    pub fn request(&mut self, now: Micros) {
        if now.saturating_sub(self.heard) >= FORGET {
            (self.failing, self.heard) = (0.0, now);
        }
        let ease = self.ease();
        self.tokens = (self.tokens + self.part * ease).min(self.depth * ease);
    }

    /// An upstream request has ended.
    pub fn ended(&mut self, s: &Sample) {
        self.heard = s.now;
        // A broken connection is no load, and a late answer still one.
        let failed = f64::from(u8::from(s.ending.failed()));
        if s.ending != Ending::Broken {
            self.failing += (failed - self.failing) / MEMORY;
        }
        self.tokens = self.tokens.min(self.depth * self.ease());
    }

    /// Takes an extra, if there is one.
    pub fn take(&mut self, extra: Extra) -> bool {
        let left = if extra == Extra::SecondCopy { self.depth / 2.0 } else { 0.0 };
        let some = self.tokens - left >= 1.0;
        self.tokens -= f64::from(u8::from(some));
        some
    }

    /// How much there is, in extras.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// The part of the endings that failed, lately.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// 1 while calm, 0 under hard strain, even between.
    fn ease(&self) -> f64 {
        ((HARD - self.failing) / (HARD - CALM)).clamp(0.0, 1.0)
    }
}
