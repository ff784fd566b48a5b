//! What a client does with what came of a try: another one, when, or none.

use super::Request;
use crate::random::{mix, ms, unit};
use crate::scenario::{ClientClass, Repeat};
use crate::Micros;

/// Less time than this is not worth another try.
const MIN_TRY_TIME: Micros = 10_000;

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    Served,
    /// Turned away; come again after this time.
    Refused(Option<Micros>),
    Failed,
    /// No proxy could be reached: it never ran.
    Unreached,
    /// The client gave it up.
    Left,
}

/// A client's request under way: the tries that it has made.
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
    /// Another try begins; when it is given up comes back.
    pub fn begin(&mut self, now: Micros, r: &Request, class: &ClientClass) -> Micros {
        self.tries += 1;
        (now + r.try_for).min(r.at + ms(class.patience_ms))
    }

    /// What follows on the end of a try.
    pub fn after(&self, now: Micros, r: &Request, class: &ClientClass, end: TryEnd) -> Next {
        let harmless = matches!(end, TryEnd::Refused(_) | TryEnd::Unreached);
        let may = match class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed => true,
            Repeat::Unsafe => harmless,
        };
        if end == TryEnd::Served || self.tries > r.retries || !may {
            return Next::Over;
        }
        // Doubled with each try, and spread by half, so that those who failed together do not return together.
        let spread = 0.5 + unit(mix(r.no.0 ^ u64::from(self.tries) << 48));
        let backoff = (r.backoff << (self.tries - 1).min(10)) as f64 * spread;
        let told = match end {
            TryEnd::Refused(Some(away)) if r.honours => away,
            _ => 0,
        };
        let at = now + (backoff as Micros).max(told);
        let until = r.at + ms(class.patience_ms);
        // A keyed request comes again only while repeats of it are dropped.
        let window = if class.repeat == Repeat::Keyed { r.at + ms(class.window_ms) } else { Micros::MAX };
        if at + MIN_TRY_TIME > until.min(window) {
            return Next::Over;
        }
        Next::Try { at }
    }
}

#[cfg(test)]
mod tests;
