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
mod tests {
    use super::*;
    use world::outcome::{Breach, ClassTally, FaultMark, Rule, Tally};

    fn run() -> Run {
        let counts = Counts {
            requests: 2_000,
            in_time: 1_900,
            refused: 100,
            worth_asked: 2_000.0,
            worth_served: 1_900.0,
            ..Counts::default()
        };
        let mut lookup = ClassTally { name: "lookup".into(), counts, ..ClassTally::default() };
        (1..=1_000).for_each(|i| lookup.latency_us.add(i * 1_000));
        let second = Second {
            worth_asked: 10.0,
            worth_served: 9.0,
            p50_us: vec![Some(5_000)],
            p99_us: vec![None],
            node_load: vec![0.2, 0.9],
            ..Second::default()
        };
        Run {
            scenario: "hang".into(),
            seed: 3,
            tally: Tally { classes: vec![lookup], ..Tally::default() },
            timeline: vec![second; 4],
            nodes: vec!["s-1".into(), "s-2".into()],
            faults: vec![FaultMark { kind: "hang".into(), from_s: 1.0, until_s: 2.0, what: "s-2".into() }],
            rules_broken: vec![Breach { rule: Rule::Drain, at_us: 1_500_000, what: "a send".into() }],
            breaches: 5,
            virtual_s: 4.0,
            ..Run::default()
        }
    }

    #[test]
    fn the_file_has_the_documented_keys_and_no_measured_time_in_the_virtual_world() {
        let value: serde_json::Value =
            serde_json::from_str(&ResultFile::new(&run(), World::Virtual, &[], 12.5).json()).unwrap();
        for key in [
            "served_worth",
            "requests",
            "rules_broken",
            "latency_ms",
            "refused",
            "failed",
            "left",
            "retries",
            "ledger_reads",
            "virtual_s",
            "wall_s",
            "late",
        ] {
            assert!(value.get(key).is_some(), "{key}");
        }
        assert_eq!(value["served_worth"], 0.95);
        assert_eq!(value["wall_s"], 0.0);
        assert_eq!(value["rules_broken"][0]["rule"], "drain");
        let p99 = value["latency_ms"]["lookup"]["p99"].as_f64().unwrap();
        assert!((985.0..=995.0).contains(&p99), "{p99}");
        assert_eq!(ResultFile::new(&run(), World::Loopback, &[], 12.5).wall_s, 12.5);
    }

    #[test]
    fn the_page_holds_every_plot_and_the_broken_rules() {
        let (scenario, run) = (Scenario::default(), run());
        let result = ResultFile::new(&run, World::Virtual, &[], 0.0);
        let shown =
            Shown { scenario: &scenario, run: &run, result: &result, took: Duration::from_millis(20) };
        let page = shown.page().unwrap();
        assert_eq!(page.matches("<svg ").count(), 5);
        assert!(page.contains("BROKEN drain at 1.500 s: a send") && page.contains("and 4 more breaches"));
        assert!(!page.contains("http://") || page.matches("http://").count() == 5, "only namespaces of SVG");
        assert!(!shown.verdict().1);
    }

    #[test]
    fn a_bound_that_is_not_kept_is_named_and_one_that_is_kept_is_not() {
        let expect =
            Expect { served_worth: Some(0.96), refused: Some(0.04), failed: Some(0.0), ..Expect::default() };
        let unmet = unmet(&expect, &run());
        assert_eq!(unmet.len(), 2, "{unmet:?}");
        assert!(unmet[0].starts_with("served_worth is 0.9500") && unmet[1].starts_with("refused is 0.05"));
    }

    #[test]
    fn numbers_are_grouped_by_three() {
        assert_eq!([0, 999, 1_000, 1_234_567].map(grouped), ["0", "999", "1,000", "1,234,567"]);
    }
}
