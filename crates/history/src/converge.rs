//! Views converge: once the network is whole, observers may differ for no longer than a bound.
//!
//! It owns one pass over samples. A view is what an observer says of each subject, in words that are equal or not. A
//! host that knows the truth hands it in as one more observer's view. An observer that died or left says so by a sample
//! without a view, and takes part again with its next one.

use crate::{Listed, Micros, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an observer says, by subject.
pub type View = BTreeMap<String, String>;

/// What an observer says from a moment on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// From when on.
    pub at_us: Micros,
    /// Who says it.
    pub observer: String,
    /// What it says; none: it is gone.
    pub view: Option<View>,
}

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// When the last fault had ended.
    pub whole_us: Micros,
    /// How long observers may differ at a time, from then on.
    pub within_us: Micros,
    /// When watching ended.
    pub until_us: Micros,
}

/// Where views converged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Converged {
    /// How long after the network was whole they first agreed.
    pub first_us: Micros,
    /// The longest time for which they differed, from then on too.
    pub longest_us: Micros,
}

/// Where not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Divergence {
    /// Since when they differed.
    pub from_us: Micros,
    /// Until when; none if to the end.
    pub to_us: Option<Micros>,
    /// Who had no view when the bound had run out, though not gone.
    pub silent: Listed<String>,
    /// Of which subjects who said what when the bound had run out.
    pub subjects: Listed<Split>,
}

/// A subject of which observers differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The subject.
    pub subject: String,
    /// What is said of it (none: it is not in the view), and by whom.
    pub says: Vec<(Option<String>, Vec<String>)>,
}

/// What all say by now: none yet, gone, or a view.
type Now<'a> = BTreeMap<&'a str, Option<Option<&'a View>>>;

/// Judges samples in the order of time; `observers` are those that must have a view, besides all that have samples.
pub fn check(samples: &[Sample], observers: &[&str], bound: &Bound) -> Verdict<Converged, Divergence> {
    if samples.len() > MAX_ITEMS || observers.len() > MAX_ITEMS {
        return Verdict::NotDecided(UndecidedReason::TooMany);
    }
    if let Some(two) = samples.windows(2).find(|two| two[0].at_us > two[1].at_us) {
        return Verdict::NotDecided(UndecidedReason::OutOfOrder(two[1].at_us));
    }
    let mut now: Now = observers.iter().map(|o| (*o, None)).collect();
    now.extend(samples.iter().map(|s| (s.observer.as_str(), None)));
    // Observers by view; those without one yet are not in it, those that are gone neither.
    let mut camps: BTreeMap<&View, u64> = BTreeMap::new();
    let mut silent = now.len();
    let mut apart: Option<Micros> = None;
    let mut converged = Converged::default();
    let mut first = None;
    let mut seen = 0;
    let mut at = bound.whole_us;
    loop {
        while let Some(sample) = samples.get(seen).filter(|s| s.at_us <= at) {
            match now.insert(&sample.observer, Some(sample.view.as_ref())) {
                Some(Some(Some(old))) => match camps.get_mut(old) {
                    Some(n) if *n > 1 => *n -= 1,
                    _ => drop(camps.remove(old)),
                },
                Some(Some(None)) => {}
                _ => silent -= 1,
            }
            if let Some(view) = &sample.view {
                *camps.entry(view).or_default() += 1;
            }
            seen += 1;
        }
        let agreed = silent == 0 && camps.len() <= 1;
        match apart {
            Some(since) if agreed || at >= bound.until_us => {
                if at - since > bound.within_us {
                    let to = agreed.then_some(at);
                    return Verdict::Broken(evidence(samples, observers, since, to, bound.within_us));
                }
                if !agreed {
                    return Verdict::NotDecided(UndecidedReason::EndsTooSoon);
                }
                converged.longest_us = converged.longest_us.max(at - since);
                apart = None;
            }
            None if !agreed => apart = Some(at),
            _ => {}
        }
        if agreed {
            first.get_or_insert(at - bound.whole_us);
        }
        if at >= bound.until_us {
            break;
        }
        at = samples.get(seen).map_or(bound.until_us, |s| s.at_us.min(bound.until_us));
    }
    match first {
        Some(first_us) if apart.is_none() => Verdict::Held(Converged { first_us, ..converged }),
        _ => Verdict::NotDecided(UndecidedReason::EndsTooSoon),
    }
}

/// Who said what when the bound had run out.
fn evidence(
    samples: &[Sample],
    observers: &[&str],
    from: Micros,
    to: Option<Micros>,
    within: Micros,
) -> Divergence {
    let mut now: Now = observers.iter().map(|o| (*o, None)).collect();
    now.extend(samples.iter().map(|s| (s.observer.as_str(), None)));
    for sample in samples.iter().take_while(|s| s.at_us <= from.saturating_add(within)) {
        now.insert(&sample.observer, Some(sample.view.as_ref()));
    }
    let mut apart =
        Divergence { from_us: from, to_us: to, silent: Listed::default(), subjects: Listed::default() };
    let mut subjects: BTreeMap<&str, BTreeMap<Option<&str>, Vec<String>>> = BTreeMap::new();
    for (observer, view) in &now {
        match view {
            None => apart.silent.add((*observer).to_owned()),
            Some(None) => {}
            Some(Some(view)) => subjects.extend(view.keys().map(|s| (s.as_str(), BTreeMap::new()))),
        }
    }
    for (subject, says) in &mut subjects {
        for (observer, view) in &now {
            if let Some(Some(view)) = view {
                let word = view.get(*subject).map(String::as_str);
                says.entry(word).or_default().push((*observer).to_owned());
            }
        }
    }
    for (subject, says) in subjects.into_iter().filter(|(_, says)| says.len() > 1) {
        let says = says.into_iter().map(|(word, who)| (word.map(str::to_owned), who)).collect();
        apart.subjects.add(Split { subject: subject.to_owned(), says });
    }
    apart
}
