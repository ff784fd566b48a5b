//! A run for people: the summary on the terminal, and its page.

use super::html::{Page, Tone};
use super::plot::{self, Axes, Line, PlotError};
use super::result::{Quantiles, ResultFile, World};
use super::table::Table;
use std::time::Duration;
use world::outcome::{Counts, Run, Second};
use world::scenario::{Expect, Scenario};

/// Answers of a run, and what was measured around it.
pub struct Shown<'a> {
    pub scenario: &'a Scenario,
    pub run: &'a Run,
    pub result: &'a ResultFile,
    /// Time that the run took.
    pub took: Duration,
}

/// What the run was to keep and did not.
pub fn unmet(expect: &Expect, run: &Run) -> Vec<String> {
    let all = run.tally.all();
    let part = |n: u64| n as f64 / all.requests.max(1) as f64;
    let mut unmet = Vec::new();
    if let Some(least) = expect.served_worth.filter(|least| run.served_worth() < *least) {
        unmet.push(format!("served_worth is {:.4}, at least {least} is expected", run.served_worth()));
    }
    let mut most = |name: &str, is: f64, most: Option<f64>| {
        if let Some(most) = most.filter(|most| is > *most) {
            unmet.push(format!("{name} is {}, at most {most} is expected", (is * 1e4).round() / 1e4));
        }
    };
    most("refused", part(all.refused), expect.refused);
    most("failed", part(all.failed), expect.failed);
    most("ledger_reads", run.tally.ledger_reads as f64, expect.ledger_reads.map(|n| n as f64));
    most("ledger_stops", run.tally.ledger_stops as f64, expect.ledger_stops.map(|n| n as f64));
    if let (Some(times), Some(sizes)) = (expect.growth, &run.sizes) {
        unmet.extend(sizes.grown(times).into_iter().map(|(table, span)| {
            let (middle, end) = (span.middle, span.end);
            format!("{table} grew from {middle:.1} to {end:.1}, at most {times} times its middle is expected")
        }));
    }
    unmet
}

/// Whole numbers in groups of three.
pub fn grouped(n: u64) -> String {
    let digits = n.to_string();
    let mut out = String::new();
    for (i, c) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) {
            out.push(',');
        }
        out.push(c);
    }
    out
}

fn ms(x: Option<f64>) -> String {
    x.map_or("-".into(), |x| format!("{x:.1}"))
}

fn part(n: f64, of: f64) -> String {
    if of > 0.0 {
        format!("{:.1} %", 100.0 * n / of)
    } else {
        "-".into()
    }
}

impl Shown<'_> {
    fn title(&self) -> String {
        format!("{}, {} world, seed {}", self.run.scenario, self.result.world.name(), self.run.seed)
    }

    /// "60.9 s played in 0.21 s, 84,000 requests a second"; loopback plays in real time.
    fn speed(&self) -> String {
        let took = self.took.as_secs_f64();
        match self.result.world {
            World::Virtual => format!(
                "{:.1} s played in {took:.2} s, {} requests a second",
                self.run.virtual_s,
                grouped((self.result.requests as f64 / took.max(1e-6)) as u64)
            ),
            World::Loopback => format!("{:.1} s played in real time, {took:.1} s in all", self.run.virtual_s),
        }
    }

    fn classes(&self) -> Table {
        let head = ["class", "requests", "worth", "in time", "late", "refused", "failed", "left", "retries"];
        let mut table = Table::new(&[&head[..], &["p50 ms", "p99 ms", "p99.9 ms"]].concat());
        let mut row = |name: &str, c: &Counts, q: Option<Quantiles>| {
            let counts = [c.in_time, c.late, c.refused, c.failed, c.left, c.retries].map(grouped);
            let worth = if c.worth_asked > 0.0 {
                format!("{:.4}", c.worth_served / c.worth_asked)
            } else {
                "-".into()
            };
            let latency = q.map(|q| [q.p50, q.p99, q.p999].map(ms)).unwrap_or_default();
            table.row([name.into(), grouped(c.requests), worth].into_iter().chain(counts).chain(latency));
        };
        for class in &self.run.tally.classes {
            row(&class.name, &class.counts, Some(Quantiles::of(&class.latency_us)));
        }
        row("all", &self.run.tally.all(), None);
        table
    }

    fn work(&self) -> Table {
        let (tally, work) = (&self.run.tally, &self.run.tally.work);
        let requests = self.result.requests as f64;
        let mut table = Table::new(&["at the nodes and the ledger", ""]);
        let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
        row("attempts a request", format!("{:.3}", work.attempts as f64 / requests.max(1.0)));
        row("crossing halls", part(work.crossings as f64, work.attempts as f64));
        row("reads that hit", part(work.hits as f64, (work.hits + work.misses) as f64));
        row("turned away", grouped(work.turned_away));
        row("handshakes", grouped(work.handshakes));
        row("probes", grouped(work.probes));
        row("work that served nobody", part(work.wasted_us, work.work_us));
        row("ledger reads", grouped(tally.ledger_reads));
        row("ledger writes", grouped(tally.ledger_writes));
        row("ledger turned away", grouped(tally.ledger_refused));
        row("ledger stops", grouped(tally.ledger_stops));
        table
    }

    /// What the proxies kept, if it was looked at.
    fn sizes(&self) -> Option<Table> {
        let sizes = self.result.sizes.as_ref()?;
        let mut table = Table::new(&["most that a proxy kept", "start", "middle", "end", "most"]);
        for (name, t) in &sizes.tables {
            let means = [t.start, t.middle, t.end].map(|x| format!("{x:.1}"));
            table.row([name.clone()].into_iter().chain(means).chain([grouped(t.most)]));
        }
        Some(table)
    }

    fn faults(&self) -> Vec<String> {
        let span = |f: &world::outcome::FaultMark| {
            if f.until_s > f.from_s {
                format!("{:.1} to {:.1} s", f.from_s, f.until_s)
            } else {
                format!("{:.1} s", f.from_s)
            }
        };
        let faults = self.run.faults.iter();
        faults
            .map(|f| format!("{} {}: {}", f.kind, span(f), f.what).trim_end_matches(": ").to_owned())
            .collect()
    }

    /// The rules, the lateness and what was expected: the verdict, and whether it is a good one.
    pub fn verdict(&self) -> (Vec<String>, bool) {
        let mut lines = Vec::new();
        if self.run.late.void {
            lines.push(format!(
                "VOID: this machine was too busy: {:.1} ms late at p99, {:.1} ms at most",
                self.result.late, self.result.late_max
            ));
        }
        for broken in &self.result.rules_broken {
            lines.push(format!("BROKEN {} at {:.3} s: {}", broken.rule, broken.at_s, broken.what));
        }
        let listed = self.result.rules_broken.len() as u64;
        if self.result.breaches > listed {
            lines.push(format!("and {} more breaches", grouped(self.result.breaches - listed)));
        }
        lines.extend(unmet(&self.scenario.expect, self.run).into_iter().map(|u| format!("UNMET: {u}")));
        if lines.is_empty() {
            return (vec!["all rules kept".into()], true);
        }
        (lines, false)
    }

    /// For the terminal.
    pub fn summary(&self) -> String {
        let mut text = format!("{}: {}\n", self.title(), self.speed());
        text +=
            &format!("served worth {:.4}\n\n{}\n{}", self.run.served_worth(), self.classes(), self.work());
        if let Some(sizes) = self.sizes() {
            text += &format!("\n{sizes}");
        }
        for fault in self.faults() {
            text += &format!("fault  {fault}\n");
        }
        if self.result.world == World::Loopback {
            text += &format!(
                "late   {:.3} ms at p99, {:.3} ms at most\n",
                self.result.late, self.result.late_max
            );
        }
        for line in self.verdict().0 {
            text += &format!("{line}\n");
        }
        text
    }

    /// The page `report.html`.
    pub fn page(&self) -> Result<String, PlotError> {
        let mut page = Page::new(&self.title());
        if !self.scenario.about.is_empty() {
            page.text(&self.scenario.about, Tone::Note);
        }
        page.text(&format!("Served worth {:.4}. {}.", self.run.served_worth(), self.speed()), Tone::Plain);
        let (verdict, good) = self.verdict();
        for line in verdict {
            page.text(&line, if good { Tone::Good } else { Tone::Bad });
        }
        if !self.result.set.is_empty() {
            page.text(&format!("Changed: {}", self.result.set.join(", ")), Tone::Note);
        }
        if !self.run.faults.is_empty() {
            page.heading("Faults").list(self.faults());
        }
        page.heading("What became of requests").table(&self.classes());
        self.plots(&mut page)?;
        page.heading("Work").table(&self.work());
        if let Some(sizes) = self.sizes() {
            page.heading("What the proxies kept").table(&sizes);
        }
        Ok(page.finish())
    }

    /// A line of one figure of each second; the last second of the run may be cut short.
    fn line(&self, name: &str, figure: impl Fn(&Second) -> Option<f64>) -> Line {
        let points = self.run.timeline.iter().enumerate().map(|(i, s)| (i as f64 + 0.5, figure(s)));
        Line { name: name.into(), points: points.collect() }
    }

    fn plots(&self, page: &mut Page) -> Result<(), PlotError> {
        let faults = &self.run.faults[..];
        let span = Some((0.0, self.run.timeline.len() as f64));
        let axes = |y| Axes { x: "s", y, span, range: None, faults };
        let worth = |s: &Second| (s.worth_asked > 0.0).then(|| s.worth_served / s.worth_asked);
        page.heading("Service, in worth")
            .text("Of the worth asked for in a second, the part that was served in time.", Tone::Note)
            .plot(&plot::lines(
                &[self.line("served", worth)],
                Axes { range: Some((0.0, 1.02)), ..axes("part") },
            )?);

        let mut latency = Vec::new();
        for (i, class) in self.run.tally.classes.iter().enumerate() {
            let ms = |list: &[Option<i64>]| list.get(i).copied().flatten().map(|us| us as f64 / 1_000.0);
            latency.push(self.line(&format!("{} p50", class.name), |s| ms(&s.p50_us)));
            latency.push(self.line(&format!("{} p99", class.name), |s| ms(&s.p99_us)));
        }
        page.heading("Latency by class")
            .text("Of the answers served in a second, counted from when the client meant to ask.", Tone::Note)
            .plot(&plot::lines(&latency, axes("ms"))?);

        let count = |name: &str, figure: fn(&Second) -> u64| self.line(name, |s| Some(figure(s) as f64));
        page.heading("Refusals, failures and retries").plot(&plot::lines(
            &[
                count("refused", |s| s.refused),
                count("failed", |s| s.failed),
                count("left", |s| s.left),
                count("retries", |s| s.retries),
            ],
            axes("a second"),
        )?);

        page.heading("Load of each node");
        if self.run.nodes.len() <= plot::MOST_ROWS {
            let loads: Vec<Vec<f64>> = self
                .run
                .timeline
                .iter()
                .map(|s| s.node_load.iter().map(|l| f64::from(*l)).collect())
                .collect();
            page.text("From idle (light) to all of its warm capacity (dark).", Tone::Note);
            page.plot(&plot::map(&self.run.nodes, &loads, faults)?);
        } else {
            let at = |q: f64| move |s: &Second| quantile(&s.node_load, q);
            page.text(
                &format!("Of {} nodes, as a part of their warm capacity.", self.run.nodes.len()),
                Tone::Note,
            );
            page.plot(&plot::lines(
                &[
                    self.line("busiest", at(1.0)),
                    self.line("p90", at(0.9)),
                    self.line("median", at(0.5)),
                    self.line("idlest", at(0.0)),
                ],
                axes("load"),
            )?);
        }

        page.heading("The ledger").plot(&plot::lines(
            &[
                self.line("out there", |s| Some(f64::from(s.ledger_out))),
                count("served a second", |s| s.ledger_served),
                count("turned away a second", |s| s.ledger_refused),
            ],
            axes("requests"),
        )?);
        Ok(())
    }
}

fn quantile(values: &[f32], q: f64) -> Option<f64> {
    let mut sorted: Vec<f32> = values.iter().copied().filter(|v| v.is_finite()).collect();
    sorted.sort_by(f32::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * q).round() as usize).map(|v| f64::from(*v))
}

#[cfg(test)]
mod tests;
