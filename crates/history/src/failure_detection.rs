//! Checks failure detection by observers: reported statuses do not flap, no subject that is alive and
//! reachable is reported as failed, and kills are detected in time.
//!
//! Three checks over one list of [`Change`]s and the [`Truth`] of a run, recorded by the host. The meaning of
//! statuses (`avoided`, `failed`) is defined by the caller, who names those that exclude a subject.

use crate::{Listed, Micros, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An observer reports a status of a subject from some time on. Repeating the same status is not a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Time from which the status applies.
    pub at_us: Micros,
    /// Name of the observer.
    pub observer: String,
    /// Name of the subject.
    pub subject: String,
    /// The status.
    pub says: String,
}

/// Ground truth about processes and the links between them, as produced by the host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Truth {
    /// When processes were down (killed; also paused, if reporting them as failed is then correct).
    pub down: Vec<Down>,
    /// When messages from one process to another were not delivered.
    pub cut: Vec<Cut>,
}

/// A period for which a process was down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Down {
    /// Name of the process.
    pub who: String,
    /// Start.
    pub from_us: Micros,
    /// End; `None` if permanent.
    pub to_us: Option<Micros>,
}

/// A period for which one direction between two processes was cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Sender of the messages that were not delivered.
    pub from: String,
    /// Receiver of the messages that were not delivered.
    pub to: String,
    /// Start.
    pub from_us: Micros,
    /// End; `None` if permanent.
    pub to_us: Option<Micros>,
}

/// Observer and subject.
type Pair<'a> = (&'a str, &'a str);

/// Statuses reported by each observer for each subject, with their start times.
type Said<'a> = BTreeMap<Pair<'a>, Vec<(Micros, &'a str)>>;

/// Whether two closed intervals overlap; without `to` the first one never ends.
fn overlaps(from: Micros, to: Option<Micros>, since: Micros, until: Micros) -> bool {
    from <= until && to.is_none_or(|to| to >= since)
}

/// Groups the changes by pair and removes those that repeat a status.
fn by_pair(changes: &[Change]) -> Result<Said<'_>, UndecidedReason> {
    if changes.len() > MAX_ITEMS {
        return Err(UndecidedReason::TooMany);
    }
    if let Some(two) = changes.windows(2).find(|two| two[0].at_us > two[1].at_us) {
        return Err(UndecidedReason::OutOfOrder(two[1].at_us));
    }
    let mut pairs = Said::new();
    for change in changes {
        let statuses = pairs.entry((&change.observer, &change.subject)).or_default();
        if statuses.last().is_none_or(|(_, last)| *last != change.says) {
            statuses.push((change.at_us, &change.says));
        }
    }
    Ok(pairs)
}

/// The window with the most changes of a pair.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flapping {
    /// The observer that changed its report.
    pub observer: String,
    /// Name of the subject.
    pub subject: String,
    /// Number of changes within the window.
    pub changes: usize,
    /// Start of the window.
    pub from_us: Micros,
}

/// Checks that no observer changes its status of a subject more than `most` times in any window, including
/// both ends. The first report counts as a change. If the property held, returns the window with the most
/// changes.
pub fn flapping(changes: &[Change], window_us: Micros, most: usize) -> Verdict<Flapping, Listed<Flapping>> {
    let pairs = match by_pair(changes) {
        Ok(pairs) => pairs,
        Err(why) => return Verdict::NotDecided(why),
    };
    let (mut busiest, mut found) = (Flapping::default(), Listed::default());
    for ((observer, subject), statuses) in pairs {
        let (mut recent, mut max_window) = (VecDeque::new(), (0, 0));
        for (at, _) in statuses {
            recent.push_back(at);
            while recent.front().is_some_and(|first| at - first > window_us) {
                recent.pop_front();
            }
            if recent.len() > max_window.0 {
                max_window = (recent.len(), recent[0]);
            }
        }
        let (changes, from_us) = max_window;
        let flap = Flapping { observer: observer.into(), subject: subject.into(), changes, from_us };
        if changes > busiest.changes {
            busiest = flap.clone();
        }
        if changes > most {
            found.add(flap);
        }
    }
    match found.is_empty() {
        true => Verdict::Held(busiest),
        false => Verdict::Broken(found),
    }
}

/// A subject was reported as failed while it was alive and reachable in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wrong {
    /// Time of the report.
    pub at_us: Micros,
    /// The observer that reported it.
    pub observer: String,
    /// The subject.
    pub subject: String,
}

/// Checks that observers excluded a subject (reported a status in `out`) at most `most` times although it had
/// been alive for the last `grace_us` and messages could be delivered in both directions. An observer that
/// was down itself is not exempt. Returns the false positives in either case.
pub fn wrong_failures(
    changes: &[Change],
    truth: &Truth,
    out: &[&str],
    grace_us: Micros,
    most: u64,
) -> Verdict<Listed<Wrong>, Listed<Wrong>> {
    let pairs = match by_pair(changes) {
        Ok(pairs) => pairs,
        Err(why) => return Verdict::NotDecided(why),
    };
    let mut found = Listed::default();
    for ((observer, subject), statuses) in pairs {
        let is_justified = |at: Micros| {
            let since = at.saturating_sub(grace_us);
            let down = |d: &Down| d.who == subject && overlaps(d.from_us, d.to_us, since, at);
            let cut = |c: &Cut| {
                let between =
                    (&*c.from, &*c.to) == (observer, subject) || (&*c.from, &*c.to) == (subject, observer);
                between && overlaps(c.from_us, c.to_us, since, at)
            };
            truth.down.iter().any(down) || truth.cut.iter().any(cut)
        };
        let mut was_out = false;
        for (at_us, word) in statuses {
            let is_out = out.contains(&word);
            if is_out && !was_out && !is_justified(at_us) {
                found.add(Wrong { at_us, observer: observer.into(), subject: subject.into() });
            }
            was_out = is_out;
        }
    }
    match found.count <= most {
        true => Verdict::Held(found),
        false => Verdict::Broken(found),
    }
}

/// Detection times of kills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Times {
    /// Kills detected by all observers.
    pub kills: usize,
    /// Kills whose outage or recording ended before the time limit and before all observers detected them.
    pub cut_short: usize,
    /// Median time from a kill until all observers detected it (of two middle values, the larger).
    pub median_us: Micros,
    /// Maximum time from a kill until all observers detected it.
    pub worst_us: Micros,
}

/// An observer that did not detect a kill in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// The process that was killed.
    pub subject: String,
    /// Time of the kill.
    pub killed_us: Micros,
    /// The observer that did not detect it.
    pub observer: String,
    /// Time from the kill to its detection; `None` if it was never detected.
    pub after_us: Option<Micros>,
}

/// Checks that each kill in [`Truth::down`] is detected (a status in `out` is reported) within a time limit
/// by all `observers` that run throughout, and measures how long that took.
pub fn detection(
    changes: &[Change],
    truth: &Truth,
    observers: &[&str],
    out: &[&str],
    within_us: Micros,
    until_us: Micros,
) -> Verdict<Times, Listed<Late>> {
    let pairs = match by_pair(changes) {
        Ok(pairs) => pairs,
        Err(why) => return Verdict::NotDecided(why),
    };
    let (mut times, mut detection_times, mut found) = (Times::default(), Vec::new(), Listed::default());
    for kill in truth.down.iter().filter(|k| k.from_us < until_us) {
        let end = kill.to_us.map_or(until_us, |to| to.min(until_us));
        let watches = |o: &&&str| {
            let away = |d: &Down| d.who == **o && overlaps(d.from_us, d.to_us, kill.from_us, end);
            **o != kill.who && !truth.down.iter().any(away)
        };
        let (mut slowest, mut was_cut_short) = (0, false);
        for observer in observers.iter().filter(watches) {
            let statuses = pairs.get(&(*observer, kill.who.as_str())).map_or(&[][..], Vec::as_slice);
            let before = statuses.iter().take_while(|(at, _)| *at <= kill.from_us).last();
            let after = match before {
                Some((_, word)) if out.contains(word) => Some(0),
                _ => {
                    let mut later = statuses.iter().filter(|(at, _)| *at > kill.from_us && *at <= end);
                    later.find(|(_, word)| out.contains(word)).map(|(at, _)| at - kill.from_us)
                }
            };
            match after {
                Some(after) if after <= within_us => slowest = slowest.max(after),
                None if end - kill.from_us < within_us => was_cut_short = true,
                _ => found.add(Late {
                    subject: kill.who.clone(),
                    killed_us: kill.from_us,
                    observer: (*observer).to_owned(),
                    after_us: after,
                }),
            }
        }
        match was_cut_short {
            true => times.cut_short += 1,
            false => detection_times.push(slowest),
        }
    }
    if !found.is_empty() {
        return Verdict::Broken(found);
    }
    detection_times.sort_unstable();
    times.kills = detection_times.len();
    times.median_us = detection_times.get(detection_times.len() / 2).copied().unwrap_or(0);
    times.worst_us = detection_times.last().copied().unwrap_or(0);
    match times.kills {
        0 if times.cut_short > 0 => Verdict::NotDecided(UndecidedReason::EndsTooSoon),
        _ => Verdict::Held(times),
    }
}
