//! The view of each process of a fleet over time, taken from its log: which nodes it avoids, which planners
//! it is connected to, and whether it runs.
//!
//! Pure: turns lines into changes. Whether a view is right is checked by [`super::judge`].

use super::log::{By, Line};
use super::processes::lab_event;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use world::Micros;

/// A change of the state or the view of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A new incarnation starts.
    Started,
    Ended,
    Stopped,
    Resumed,
    /// On the planners' decision it stops sending to a node or a hall, or sends to it again.
    Avoids(String),
    Returns(String),
    /// It becomes connected to a planner, or loses the connection.
    Connected(String),
    Disconnected(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub at: Micros,
    pub life: u32,
    pub what: What,
}

/// State and view of a process at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Now {
    pub runs: bool,
    pub stopped: bool,
    pub avoids: BTreeSet<String>,
    pub hears: BTreeSet<String>,
}

impl Now {
    fn apply(&mut self, what: &What) {
        match what {
            What::Started => *self = Now { runs: true, ..Now::default() },
            What::Ended => *self = Now::default(),
            What::Stopped => self.stopped = true,
            What::Resumed => self.stopped = false,
            What::Avoids(subject) => drop(self.avoids.insert(subject.clone())),
            What::Returns(subject) => drop(self.avoids.remove(subject)),
            What::Connected(planner) => drop(self.hears.insert(planner.clone())),
            What::Disconnected(planner) => drop(self.hears.remove(planner)),
        }
    }
}

/// The changes of one process in order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Track {
    pub changes: Vec<Change>,
}

impl Track {
    /// Returns each state with the time from which it holds.
    pub fn states(&self) -> impl Iterator<Item = (Micros, Now)> + '_ {
        let mut now = Now::default();
        self.changes.iter().map(move |c| {
            now.apply(&c.what);
            (c.at, now.clone())
        })
    }

    /// Returns the last state.
    pub fn now(&self) -> Now {
        self.states().last().map(|(_, now)| now).unwrap_or_default()
    }

    /// Returns the spans in which it avoided a node or hall: start, end (`None` if it never ended) and
    /// incarnation.
    pub fn avoided(&self, subject: &str) -> Vec<(Micros, Option<Micros>, u32)> {
        let mut spans: Vec<(Micros, Option<Micros>, u32)> = Vec::new();
        let mut out = false;
        for c in &self.changes {
            match &c.what {
                What::Avoids(m) if m == subject && !out => {
                    spans.push((c.at, None, c.life));
                    out = true;
                }
                What::Returns(m) if m != subject => {}
                What::Returns(_) | What::Started | What::Ended => {
                    if let Some(last) = spans.last_mut().filter(|_| out) {
                        last.1 = Some(c.at);
                    }
                    out = false;
                }
                _ => {}
            }
        }
        spans
    }
}

/// Maps `(forwarder, address)` to the name of the planner that the forwarder reaches at that address.
pub type Planners = BTreeMap<(String, String), String>;

/// Whether the line is one of the events that views are built from.
pub fn wanted(line: &Line) -> bool {
    let lab = [lab_event::STARTED, lab_event::ENDED, lab_event::STOPPED, lab_event::RESUMED];
    let own = ["plan_avoids", "plan_returns", "planner_up", "planner_down", "silent", "lives"];
    match line.by {
        By::Lab => lab.contains(&line.event.as_str()),
        By::Process => own.contains(&line.event.as_str()),
    }
}

/// Builds the tracks of these processes. `nodes` maps the numeric ids that planners use to the names of
/// nodes.
pub fn tracks(
    lines: &[Arc<Line>],
    processes: &[&str],
    planners: &Planners,
    nodes: &BTreeMap<u64, String>,
) -> BTreeMap<String, Track> {
    let mut tracks: BTreeMap<String, Track> =
        processes.iter().map(|name| ((*name).to_owned(), Track::default())).collect();
    for line in lines {
        let Some(track) = tracks.get_mut(&*line.process) else { continue };
        let planner = || {
            let address = line.text("planner").unwrap_or_default().to_owned();
            let known = planners.get(&(line.process.to_string(), address.clone()));
            known.cloned().unwrap_or(address)
        };
        let subject = || {
            let what = line.text("what").unwrap_or_default();
            what.strip_prefix("node ").unwrap_or(what).to_owned()
        };
        let node = || line.number("node").and_then(|n| nodes.get(&n).cloned()).unwrap_or_default();
        let what = match (line.by, line.event.as_str()) {
            (By::Lab, lab_event::STARTED) => What::Started,
            (By::Lab, lab_event::ENDED) => What::Ended,
            (By::Lab, lab_event::STOPPED) => What::Stopped,
            (By::Lab, lab_event::RESUMED) => What::Resumed,
            (By::Process, "plan_avoids") => What::Avoids(subject()),
            (By::Process, "plan_returns") => What::Returns(subject()),
            (By::Process, "planner_up") => What::Connected(planner()),
            (By::Process, "planner_down") => What::Disconnected(planner()),
            (By::Process, "silent") => What::Avoids(node()),
            (By::Process, "lives") => What::Returns(node()),
            _ => continue,
        };
        track.changes.push(Change { at: line.at_us, life: line.life, what });
    }
    tracks
}

#[cfg(test)]
mod tests;
