//! Checks that views converge: once the network has recovered, observers may disagree for no longer than a
//! time limit.
//!
//! A single pass over samples. A view maps each subject to the status that an observer reports; statuses are
//! only compared for equality. A host that knows the ground truth adds it as the view of another observer. An
//! observer that has stopped is represented by a sample without a view, and takes part again with its next
//! one.

use crate::{Listed, Micros, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The status that an observer reports, by subject.
pub type View = BTreeMap<String, String>;

/// The view of an observer from some time on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Time from which the view applies.
    pub at_us: Micros,
    /// Name of the observer.
    pub observer: String,
    /// The view; `None` if the observer is gone.
    pub view: Option<View>,
}

/// Parameters of the check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// When the last fault had ended.
    pub whole_us: Micros,
    /// Maximum time for which observers may disagree without interruption from then on.
    pub within_us: Micros,
    /// When the recording ended.
    pub until_us: Micros,
}

/// Convergence times, if the views converged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Converged {
    /// Time from the recovery of the network to the first agreement.
    pub first_us: Micros,
    /// The longest disagreement after the recovery of the network.
    pub longest_us: Micros,
}

/// Evidence of views that did not converge in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Divergence {
    /// Start of the disagreement.
    pub from_us: Micros,
    /// End of the disagreement; `None` if it lasted to the end.
    pub to_us: Option<Micros>,
    /// Observers that were not gone but had no view when the time limit passed.
    pub silent: Listed<String>,
    /// Subjects that observers disagreed about when the time limit passed.
    pub subjects: Listed<Split>,
}

/// A subject that observers disagree about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The subject.
    pub subject: String,
    /// Each reported status (`None`: not in the view) with the observers that report it.
    pub says: Vec<(Option<String>, Vec<String>)>,
}

/// Current state by observer: no sample yet, gone, or a view.
type Now<'a> = BTreeMap<&'a str, Option<Option<&'a View>>>;

/// Checks samples in chronological order. All observers with samples must have a view, and those in
/// `observers` too.
pub fn check(samples: &[Sample], observers: &[&str], bound: &Bound) -> Verdict<Converged, Divergence> {
    if samples.len() > MAX_ITEMS || observers.len() > MAX_ITEMS {
        return Verdict::NotDecided(UndecidedReason::TooMany);
    }
    if let Some(two) = samples.windows(2).find(|two| two[0].at_us > two[1].at_us) {
        return Verdict::NotDecided(UndecidedReason::OutOfOrder(two[1].at_us));
    }
    let mut now: Now = observers.iter().map(|o| (*o, None)).collect();
    now.extend(samples.iter().map(|s| (s.observer.as_str(), None)));
    // Number of observers by view; observers without a view yet and those that are gone are not counted.
    let mut view_counts: BTreeMap<&View, u64> = BTreeMap::new();
    let mut silent = now.len();
    let mut apart: Option<Micros> = None;
    let mut converged = Converged::default();
    let mut first = None;
    let mut consumed = 0;
    let mut at = bound.whole_us;
    loop {
        while let Some(sample) = samples.get(consumed).filter(|s| s.at_us <= at) {
            match now.insert(&sample.observer, Some(sample.view.as_ref())) {
                Some(Some(Some(old))) => match view_counts.get_mut(old) {
                    Some(n) if *n > 1 => *n -= 1,
                    _ => drop(view_counts.remove(old)),
                },
                Some(Some(None)) => {}
                _ => silent -= 1,
            }
            if let Some(view) = &sample.view {
                *view_counts.entry(view).or_default() += 1;
            }
            consumed += 1;
        }
        let agreed = silent == 0 && view_counts.len() <= 1;
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
        at = samples.get(consumed).map_or(bound.until_us, |s| s.at_us.min(bound.until_us));
    }
    match first {
        Some(first_us) if apart.is_none() => Verdict::Held(Converged { first_us, ..converged }),
        _ => Verdict::NotDecided(UndecidedReason::EndsTooSoon),
    }
}

/// Collects the views of all observers at the time when the limit passed.
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
