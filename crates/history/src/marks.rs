//! What observers say of subjects over time: that it does not flap, that none is called failed who is alive and
//! reachable, and how soon a kill is known.
//!
//! It owns three judges over one list of [`Change`]s and the [`Truth`] of a run as the host made it. What the words mean
//! (`avoided`, `failed`) is the caller's: it names those that take a subject out.

use crate::{Listed, Micros, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An observer says something of a subject from a moment on. Saying the same again is no change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// From when on.
    pub at_us: Micros,
    /// Who says it.
    pub observer: String,
    /// Of whom.
    pub subject: String,
    /// What.
    pub says: String,
}

/// What befell processes and the ways between them, as the host made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Truth {
    /// When processes were not there (killed; paused too, if to be called failed is right then).
    pub down: Vec<Down>,
    /// When messages from one to another did not come.
    pub cut: Vec<Cut>,
}

/// A process was not there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Down {
    /// Which.
    pub who: String,
    /// From when on.
    pub from_us: Micros,
    /// Until when; none if for good.
    pub to_us: Option<Micros>,
}

/// One direction between two was cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Messages from this one
    pub from: String,
    /// did not come to this one.
    pub to: String,
    /// From when on.
    pub from_us: Micros,
    /// Until when; none if for good.
    pub to_us: Option<Micros>,
}

/// An observer, a subject.
type Pair<'a> = (&'a str, &'a str);

/// What each observer said of each subject, from when on.
type Said<'a> = BTreeMap<Pair<'a>, Vec<(Micros, &'a str)>>;

/// Whether two spans share a moment; an open end has none.
fn meet(from: Micros, to: Option<Micros>, since: Micros, until: Micros) -> bool {
    from <= until && to.is_none_or(|to| to >= since)
}

/// The changes by pair, without those that say the same again.
fn by_pair(changes: &[Change]) -> Result<Said<'_>, UndecidedReason> {
    if changes.len() > MAX_ITEMS {
        return Err(UndecidedReason::TooMany);
    }
    if let Some(two) = changes.windows(2).find(|two| two[0].at_us > two[1].at_us) {
        return Err(UndecidedReason::OutOfOrder(two[1].at_us));
    }
    let mut pairs = Said::new();
    for change in changes {
        let said = pairs.entry((&change.observer, &change.subject)).or_default();
        if said.last().is_none_or(|(_, last)| *last != change.says) {
            said.push((change.at_us, &change.says));
        }
    }
    Ok(pairs)
}

/// The busiest window of a pair.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flapping {
    /// Who changed its mind.
    pub observer: String,
    /// Of whom.
    pub subject: String,
    /// How often within the window.
    pub changes: usize,
    /// When the window began.
    pub from_us: Micros,
}

/// Whether no observer changes what it says of a subject more than `most` times in any window, both ends of which
/// count. What it says first is a change. Tells the busiest window of all where that held.
pub fn flapping(changes: &[Change], window_us: Micros, most: usize) -> Verdict<Flapping, Listed<Flapping>> {
    let pairs = match by_pair(changes) {
        Ok(pairs) => pairs,
        Err(why) => return Verdict::NotDecided(why),
    };
    let (mut busiest, mut found) = (Flapping::default(), Listed::default());
    for ((observer, subject), said) in pairs {
        let (mut recent, mut most_of_it) = (VecDeque::new(), (0, 0));
        for (at, _) in said {
            recent.push_back(at);
            while recent.front().is_some_and(|first| at - first > window_us) {
                recent.pop_front();
            }
            if recent.len() > most_of_it.0 {
                most_of_it = (recent.len(), recent[0]);
            }
        }
        let (changes, from_us) = most_of_it;
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

/// A subject was called failed while it was alive and reachable both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wrong {
    /// When.
    pub at_us: Micros,
    /// By whom.
    pub observer: String,
    /// Who.
    pub subject: String,
}

/// Whether at most `most` times a subject was taken out (by a word of `out`) by an observer, though it had been alive
/// all the last `grace_us` and every message between the two could come, both ways. An observer that was away itself
/// has no excuse. Either way it tells the wrong ones.
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
    for ((observer, subject), said) in pairs {
        let right = |at: Micros| {
            let since = at.saturating_sub(grace_us);
            let down = |d: &Down| d.who == subject && meet(d.from_us, d.to_us, since, at);
            let cut = |c: &Cut| {
                let between =
                    (&*c.from, &*c.to) == (observer, subject) || (&*c.from, &*c.to) == (subject, observer);
                between && meet(c.from_us, c.to_us, since, at)
            };
            truth.down.iter().any(down) || truth.cut.iter().any(cut)
        };
        let mut was_out = false;
        for (at_us, word) in said {
            let is_out = out.contains(&word);
            if is_out && !was_out && !right(at_us) {
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

/// How soon kills were known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Times {
    /// Kills that all who watched knew of.
    pub kills: usize,
    /// Kills that ended, or that watching ended after, before the bound and before all knew.
    pub cut_short: usize,
    /// From a kill till all knew, the middle one (of two, the later).
    pub median_us: Micros,
    /// And the longest.
    pub worst_us: Micros,
}

/// An observer did not know in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// Who was killed.
    pub subject: String,
    /// When.
    pub killed_us: Micros,
    /// Who did not know.
    pub observer: String,
    /// How long after the kill it knew; none if never.
    pub after_us: Option<Micros>,
}

/// Whether each kill of [`Truth::down`] is known (by a word of `out`) within a bound to all `observers` that are there
/// all the while, and how long that took.
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
    let (mut times, mut all, mut found) = (Times::default(), Vec::new(), Listed::default());
    for kill in truth.down.iter().filter(|k| k.from_us < until_us) {
        let end = kill.to_us.map_or(until_us, |to| to.min(until_us));
        let watches = |o: &&&str| {
            let away = |d: &Down| d.who == **o && meet(d.from_us, d.to_us, kill.from_us, end);
            **o != kill.who && !truth.down.iter().any(away)
        };
        let (mut slowest, mut short) = (0, false);
        for observer in observers.iter().filter(watches) {
            let said = pairs.get(&(*observer, kill.who.as_str())).map_or(&[][..], Vec::as_slice);
            let before = said.iter().take_while(|(at, _)| *at <= kill.from_us).last();
            let after = match before {
                Some((_, word)) if out.contains(word) => Some(0),
                _ => {
                    let mut later = said.iter().filter(|(at, _)| *at > kill.from_us && *at <= end);
                    later.find(|(_, word)| out.contains(word)).map(|(at, _)| at - kill.from_us)
                }
            };
            match after {
                Some(after) if after <= within_us => slowest = slowest.max(after),
                None if end - kill.from_us < within_us => short = true,
                _ => found.add(Late {
                    subject: kill.who.clone(),
                    killed_us: kill.from_us,
                    observer: (*observer).to_owned(),
                    after_us: after,
                }),
            }
        }
        match short {
            true => times.cut_short += 1,
            false => all.push(slowest),
        }
    }
    if !found.is_empty() {
        return Verdict::Broken(found);
    }
    all.sort_unstable();
    times.kills = all.len();
    times.median_us = all.get(all.len() / 2).copied().unwrap_or(0);
    times.worst_us = all.last().copied().unwrap_or(0);
    match times.kills {
        0 if times.cut_short > 0 => Verdict::NotDecided(UndecidedReason::EndsTooSoon),
        _ => Verdict::Held(times),
    }
}
