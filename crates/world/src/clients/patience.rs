//! How a client reacts to the result of a try: whether and when it retries.

use super::Request;
use crate::random::{mix, ms, unit};
use crate::scenario::{ClientClass, Repeat};
use crate::Micros;

/// A try is not started if less time than this is left for it.
const MIN_TRY_TIME: Micros = 10_000;

/// How a try ended, from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    Served,
    /// Refused; retry after this time.
    Refused(Option<Micros>),
    Failed,
    /// No proxy was reached, so it was never executed.
    Unreached,
    /// The client gave up.
    Left,
}

/// The number of tries of a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryState {
    pub tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Try { at: Micros },
    Over,
}

impl RetryState {
    /// Counts another try; returns when the client gives it up.
    pub fn begin(&mut self, now: Micros, r: &Request, class: &ClientClass) -> Micros {
        self.tries += 1;
        (now + r.try_for).min(r.at + ms(class.patience_ms))
    }

    /// Decides what follows the end of a try.
    pub fn after(&self, now: Micros, r: &Request, class: &ClientClass, end: TryEnd) -> Next {
        let not_executed = matches!(end, TryEnd::Refused(_) | TryEnd::Unreached);
        let may_retry = match class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed => true,
            Repeat::Unsafe => not_executed,
        };
        if end == TryEnd::Served || self.tries > r.retries || !may_retry {
            return Next::Over;
        }
        // Doubles with each try, and is spread by half so that clients which failed together do not return
        // together.
        let spread = 0.5 + unit(mix(r.no.0 ^ u64::from(self.tries) << 48));
        let backoff = (r.backoff << (self.tries - 1).min(10)) as f64 * spread;
        let retry_after = match end {
            TryEnd::Refused(Some(away)) if r.honours => away,
            _ => 0,
        };
        let at = now + (backoff as Micros).max(retry_after);
        let until = r.at + ms(class.patience_ms);
        // A keyed request is retried only while repeats of it are dropped.
        let window = if class.repeat == Repeat::Keyed { r.at + ms(class.window_ms) } else { Micros::MAX };
        if at + MIN_TRY_TIME > until.min(window) {
            return Next::Over;
        }
        Next::Try { at }
    }
}

#[cfg(test)]
mod tests;
