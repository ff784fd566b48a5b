//! A set holds all that was acknowledged and nothing that nobody asked for; and of things that run: each that was
//! acknowledged ran, none ran twice.
//!
//! It owns the comparison of what was tried with what was seen at the end. Elements are names: of entries that were
//! added, of keyed writes, of receipts. To judge runs, hand in a name each time it ran, as seen where it runs.

use crate::{Fate, Listed, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where all held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetStats {
    /// Elements that were acknowledged, all there.
    pub acknowledged: u64,
    /// Elements that are there though nobody was told.
    pub unknown_there: u64,
    /// Elements that are not there, and nobody was told.
    pub unknown_gone: u64,
}

/// Where not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetMismatch {
    /// Acknowledged, and not there.
    pub lost: Listed<String>,
    /// There, and never tried.
    pub phantom: Listed<String>,
    /// There, though each try was refused.
    pub refused: Listed<String>,
    /// There more than once, with how often.
    pub again: Listed<(String, u64)>,
}

/// Judges what was `seen` at the end by what was `tried`. Of several tries of one element, an acknowledged one says
/// most, then an unknown one.
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
    let (mut whole, mut differs) = (SetStats::default(), SetMismatch::default());
    for (name, (fate, times)) in elements {
        match (fate, times) {
            (Some(Fate::Acknowledged), 0) => differs.lost.add(name.into()),
            (Some(Fate::Acknowledged), _) => whole.acknowledged += 1,
            (Some(Fate::Unknown), 0) => whole.unknown_gone += 1,
            (Some(Fate::Unknown), _) => whole.unknown_there += 1,
            (Some(Fate::Refused), 0) => {}
            (Some(Fate::Refused), _) => differs.refused.add(name.into()),
            (None, _) => differs.phantom.add(name.into()),
        }
        if times > 1 {
            differs.again.add((name.into(), times));
        }
    }
    match differs == SetMismatch::default() {
        true => Verdict::Held(whole),
        false => Verdict::Broken(differs),
    }
}
