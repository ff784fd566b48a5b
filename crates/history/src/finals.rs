//! Checks that each accepted request gets exactly one final answer, that nothing follows it, and that at the
//! end no request is without one.
//!
//! A single pass over events in chronological order. If a client gave up on a request, or a process was
//! killed with it, the host releases the request: no answer is required any more, but one is still allowed.

use crate::{Listed, Micros, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // the field names are uniform and self-explanatory
pub enum Event {
    /// The request was accepted: an answer is required.
    Taken { id: u64, at_us: Micros },
    /// The request was answered; `last` unless more parts follow.
    Answered { id: u64, at_us: Micros, last: bool },
    /// No answer is required any more.
    Released { id: u64, at_us: Micros },
}

/// A violation for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // as above
pub enum Fault {
    /// An answer without a request.
    Unasked { id: u64, at_us: Micros },
    /// A request id was accepted twice.
    TakenTwice { id: u64, at_us: Micros },
    /// An answer after the final one; `last` if it is final too.
    AfterFinal { id: u64, final_us: Micros, at_us: Micros, last: bool },
    /// No final answer by the end.
    Lost { id: u64, taken_us: Micros },
}

/// Statistics of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerStats {
    /// Accepted requests.
    pub taken: u64,
    /// Accepted requests that were answered.
    pub answered: u64,
    /// Accepted requests that were released without an answer.
    pub released: u64,
}

struct Request {
    taken: Micros,
    answered: Option<Micros>,
    released: bool,
}

/// Checks events up to `until`, the end of the run; requests accepted at that time or later do not count as
/// lost.
pub fn check(events: &[Event], until: Micros) -> Verdict<AnswerStats, Listed<Fault>> {
    if events.len() > MAX_ITEMS {
        return Verdict::NotDecided(UndecidedReason::TooMany);
    }
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut found = Listed::default();
    let mut now = Micros::MIN;
    for event in events {
        let (Event::Taken { id, at_us } | Event::Answered { id, at_us, .. } | Event::Released { id, at_us }) =
            *event;
        if at_us < now {
            return Verdict::NotDecided(UndecidedReason::OutOfOrder(at_us));
        }
        now = at_us;
        match (*event, requests.get_mut(&id)) {
            (Event::Taken { .. }, Some(_)) => found.add(Fault::TakenTwice { id, at_us }),
            (Event::Taken { .. }, None) => {
                requests.insert(id, Request { taken: at_us, answered: None, released: false });
            }
            (_, None) => found.add(Fault::Unasked { id, at_us }),
            (Event::Released { .. }, Some(request)) => request.released = true,
            (Event::Answered { last, .. }, Some(request)) => match request.answered {
                Some(final_us) => found.add(Fault::AfterFinal { id, final_us, at_us, last }),
                None if last => request.answered = Some(at_us),
                None => {}
            },
        }
    }
    let mut sum = AnswerStats::default();
    for (id, request) in &requests {
        sum.taken += 1;
        match request.answered {
            Some(_) => sum.answered += 1,
            None if request.released => sum.released += 1,
            None if request.taken < until => found.add(Fault::Lost { id: *id, taken_us: request.taken }),
            None => {}
        }
    }
    match found.is_empty() {
        true => Verdict::Held(sum),
        false => Verdict::Broken(found),
    }
}
