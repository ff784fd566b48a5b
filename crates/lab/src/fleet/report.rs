//! The output of a run: a summary for the terminal, `result.json`, and a page with one picture of the faults
//! and each process's view over time.

use super::judge::{Breach, Figures};
use super::links::Lateness;
use super::machine::Seen;
use super::play::RunResult;
use crate::report::html::{Page, Tone};
use crate::report::plot::{lanes, Lane, PlotError};
use crate::report::table::Table;
use serde::Serialize;
use std::fmt::Write as _;
use world::fleet::fault::{FaultTarget, Role};
use world::fleet::schedule::Schedule;
use world::outcome::FaultMark;
use world::Micros;

/// Share of avoided nodes at which a lane reaches its darkest shade: a third.
const PART: f64 = 1.0 / 3.0;

/// Contents of `result.json`.
#[derive(Debug, Serialize)]
pub struct ResultFile<'a> {
    pub name: &'a str,
    pub seed: u64,
    pub faults: Vec<String>,
    /// Why the run gives no verdict on the program, if so.
    pub void: Option<&'a str>,
    pub rules_broken: &'a [Breach],
    pub figures: &'a Figures,
    pub links_late: Lateness,
    pub machine: &'a Seen,
    pub until_s: f64,
    pub wall_s: f64,
}

/// A run result with its schedule and seed, for output.
#[derive(Clone, Copy, Debug)]
pub struct RunReport<'a> {
    pub schedule: &'a Schedule,
    pub seed: u64,
    pub played: &'a RunResult,
}

fn s(at: Micros) -> f64 {
    at as f64 / 1e6
}

fn or_none(x: Option<f64>) -> String {
    x.map_or_else(|| "-".into(), |x| format!("{x:.2} s"))
}

/// Returns the median (of two middle values the larger) and the maximum.
pub fn median_and_worst(sorted: &[f64]) -> (Option<f64>, Option<f64>) {
    (sorted.get(sorted.len() / 2).copied(), sorted.last().copied())
}

impl RunReport<'_> {
    pub fn result(&self) -> ResultFile<'_> {
        let p = self.played;
        ResultFile {
            name: &self.schedule.name,
            seed: self.seed,
            faults: self.schedule.faults.iter().map(ToString::to_string).collect(),
            void: p.void.as_deref(),
            rules_broken: &p.breaches,
            figures: &p.figures,
            links_late: p.lateness,
            machine: &p.machine,
            until_s: s(p.until),
            wall_s: p.took.as_secs_f64(),
        }
    }

    pub fn json(&self) -> String {
        let mut text = serde_json::to_string_pretty(&self.result()).unwrap_or_default();
        text.push('\n');
        text
    }

    /// A short text of the verdict.
    pub fn verdict(&self) -> String {
        let p = self.played;
        match (&p.void, p.breaches.len()) {
            (Some(why), _) => format!("VOID: {why}"),
            (None, 0) => "all held".into(),
            (None, 1) => "1 breach".into(),
            (None, n) => format!("{n} breaches"),
        }
    }

    pub fn table(&self) -> Table {
        let f = &self.played.figures;
        let (median, worst) = median_and_worst(&f.avoided_s);
        let mut table = Table::new(&["what", "figure"]);
        let mut row = |what: &str, figure: String| table.row([what.to_owned(), figure]);
        row("requests", f.requests.to_string());
        row("of them with a value", f.values.to_string());
        row("refused, failed, unanswered", format!("{} {} {}", f.refused, f.failed, f.unanswered));
        row("silent nodes avoided by all: median", or_none(median));
        row("worst", or_none(worst));
        row("forwarders that never did", f.never_avoided.to_string());
        row("wrong marks", f.wrong.to_string());
        row("most avoid a node that answers, longest", format!("{:.2} s", f.wrong_most_s));
        row("changes of marks", f.changes.to_string());
        row("of one within 10 s, at most", f.changes_in_10_s.to_string());
        row("views right after the last fault", or_none(f.converged_s));
        table
    }

    /// The summary for the terminal.
    pub fn summary(&self) -> String {
        let p = self.played;
        let (fleet, name) = (&self.schedule.fleet, &self.schedule.name);
        let (wall, until) = (p.took.as_secs_f64(), s(p.until));
        let mut text = format!(
            "{name}: seed {}, {} planners, {} forwarders, {} nodes, {until:.1} s in {wall:.1} s: {}\n\n{}",
            self.seed,
            fleet.planners,
            fleet.forwarders,
            fleet.nodes,
            self.verdict(),
            self.table()
        );
        let late = p.lateness;
        let _ = writeln!(
            text,
            "\nlinks late by {:.1} ms at p99, {:.1} ms once; {}",
            late.p99_us as f64 / 1e3,
            late.worst_us as f64 / 1e3,
            p.machine
        );
        for b in &p.breaches {
            let _ = writeln!(text, "{} at {:.2} s: {}", b.rule.name(), b.at_s, b.what);
        }
        text
    }

    /// One lane of the picture per process.
    fn lanes(&self) -> Vec<Lane> {
        let p = self.played;
        let end = p.until;
        let most = (f64::from(self.schedule.fleet.nodes) * PART).max(1.0);
        let planners = p.plan.with_role(Role::Planner).count();
        let one = |m: usize| {
            let name = p.plan.name(m);
            let hall = p.plan.members.get(m).and_then(|m| self.schedule.fleet.halls.get(usize::from(m.hall)));
            let forwarder = p.plan.members.get(m).is_some_and(|m| m.role == Role::Forwarder);
            let mut lane = Lane { name: format!("{name} {}", hall.map_or("", |h| h)), ..Lane::default() };
            let Some(track) = p.tracks.get(name) else { return lane };
            let states: Vec<_> = track.states().collect();
            for (i, (from, now)) in states.iter().enumerate() {
                let until = states.get(i + 1).map_or(end, |(at, _)| *at);
                let (a, b) = (s(*from), s(until));
                match (now.runs, now.stopped) {
                    (false, _) => lane.away.push((a, b)),
                    (true, true) => lane.still.push((a, b)),
                    (true, false) => {}
                }
                if now.runs {
                    lane.shades.push((a, b, now.avoids.len() as f64 / most));
                    let lacks = planners.saturating_sub(now.hears.len()) as f64 / planners.max(1) as f64;
                    lane.lacks.push((a, b, if forwarder { lacks } else { 0.0 }));
                }
            }
            lane
        };
        let processes = p.plan.with_role(Role::Planner).chain(p.plan.with_role(Role::Forwarder));
        processes.map(one).collect()
    }

    fn marks(&self) -> Vec<FaultMark> {
        let mark = |f: &world::fleet::fault::Fault| {
            let whom = match f.kind.reads().target {
                FaultTarget::Links => f.between.as_ref().map(|b| b.to_string()).or_else(|| {
                    let word = |s: &Option<world::fleet::fault::Select>| s.as_ref().map(ToString::to_string);
                    let way = if f.both { "<>" } else { ">" };
                    Some(format!("{} {way} {}", word(&f.from)?, word(&f.to)?))
                }),
                _ => f.who.as_ref().map(ToString::to_string),
            };
            FaultMark {
                kind: format!("{} {}", f.kind.name(), whom.unwrap_or_default()),
                from_s: f.at_s,
                until_s: f.ends_s(1).max(f.at_s),
                what: f.to_string(),
            }
        };
        self.schedule.faults.iter().map(mark).collect()
    }

    /// The HTML page.
    ///
    /// # Errors
    ///
    /// The picture could not be drawn.
    pub fn page(&self) -> Result<String, PlotError> {
        let p = self.played;
        let mut page = Page::new(&self.schedule.name);
        if !self.schedule.about.is_empty() {
            page.text(&self.schedule.about, Tone::Note);
        }
        let tone = if p.is_good() { Tone::Good } else { Tone::Bad };
        page.text(&format!("Seed {}: {}", self.seed, self.verdict()), tone);
        page.list(p.breaches.iter().map(|b| format!("{} at {:.2} s: {}", b.rule.name(), b.at_s, b.what)));
        page.heading("What each process saw");
        page.plot(&lanes(&self.lanes(), (-1.0, s(p.until)), &self.marks())?);
        page.text(
            "Blue: nodes that a forwarder avoids, or that a planner finds silent; the darker, the more. A line at the \
             foot: planners that a forwarder does not hear. Grey: it does not run; yellow: it stands still.",
            Tone::Note,
        );
        page.heading("Figures").table(&self.table());
        page.heading("The plan");
        page.list(p.plan.to_string().lines().map(str::to_owned));
        Ok(page.finish())
    }
}
