//! Checks that a set contains all acknowledged elements and nothing that was never requested; for jobs, that
//! each acknowledged one ran and none ran twice.
//!
//! Compares what was attempted with what was observed at the end. Elements are identified by name: of added
//! entries, of keyed writes, of receipts. To check jobs, pass a name once per execution, as observed where
//! the job runs.

use crate::{Fate, Listed, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Statistics of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetStats {
    /// Acknowledged elements, all present.
    pub acknowledged: u64,
    /// Elements of unknown outcome that are present.
    pub unknown_there: u64,
    /// Elements of unknown outcome that are absent.
    pub unknown_gone: u64,
}

/// Differences between the expected and the observed set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetMismatch {
    /// Acknowledged but absent.
    pub lost: Listed<String>,
    /// Present but never attempted.
    pub phantom: Listed<String>,
    /// Present although every attempt was refused.
    pub refused: Listed<String>,
    /// Present more than once, with the number of occurrences.
    pub again: Listed<(String, u64)>,
}

/// Compares what was `seen` at the end with what was `tried`. Of several attempts at one element, an
/// acknowledged one takes precedence, then one of unknown outcome.
pub fn check<'a>(
    tried: impl IntoIterator<Item = (&'a str, Fate)>,
    seen: impl IntoIterator<Item = &'a str>,
) -> Verdict<SetStats, SetMismatch> {
    let mut elements: BTreeMap<&str, (Option<Fate>, u64)> = BTreeMap::new();
    for (n, (name, fate)) in tried.into_iter().enumerate() {
        if n >= MAX_ITEMS {
            return Verdict::NotDecided(UndecidedReason::TooMany);
        }
        let known = &mut elements.entry(name).or_default().0;
        *known = match (*known, fate) {
            (Some(Fate::Acknowledged), _) | (_, Fate::Acknowledged) => Some(Fate::Acknowledged),
            (Some(Fate::Unknown), _) | (_, Fate::Unknown) => Some(Fate::Unknown),
            _ => Some(Fate::Refused),
        };
    }
    for (n, name) in seen.into_iter().enumerate() {
        if n >= MAX_ITEMS {
            return Verdict::NotDecided(UndecidedReason::TooMany);
        }
        elements.entry(name).or_default().1 += 1;
    }
    let (mut stats, mut mismatch) = (SetStats::default(), SetMismatch::default());
    for (name, (fate, times)) in elements {
        match (fate, times) {
            (Some(Fate::Acknowledged), 0) => mismatch.lost.add(name.into()),
            (Some(Fate::Acknowledged), _) => stats.acknowledged += 1,
            (Some(Fate::Unknown), 0) => stats.unknown_gone += 1,
            (Some(Fate::Unknown), _) => stats.unknown_there += 1,
            (Some(Fate::Refused), 0) => {}
            (Some(Fate::Refused), _) => mismatch.refused.add(name.into()),
            (None, _) => mismatch.phantom.add(name.into()),
        }
        if times > 1 {
            mismatch.again.add((name.into(), times));
        }
    }
    match mismatch == SetMismatch::default() {
        true => Verdict::Held(stats),
        false => Verdict::Broken(mismatch),
    }
}
