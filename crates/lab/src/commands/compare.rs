//! `lab compare`: two variants on the same seeds, an interval and a plain verdict.

use super::output::{say, Bar, Out};
use super::worlds::{Threads, Where};
use super::{CommandError, Finding};
use crate::experiment::batch;
use crate::experiment::figure::Figure;
use crate::experiment::paired::{interval, short, Interval, Verdict, CONFIDENCE};
use crate::input::file;
use crate::input::setting::Setting;
use crate::report::html::{Page, Tone};
use crate::report::plot;
use crate::report::result::World;
use crate::report::table::Table;
use serde::Serialize;
use std::path::PathBuf;
use world::scenario::Scenario;

#[derive(Debug, clap::Args)]
pub struct Compare {
    /// The scenario
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// What makes variant a; the scenario as it is if absent
    #[arg(long, value_name = "PATH=VALUE", required_unless_present = "b")]
    a: Vec<Setting>,
    /// What makes variant b
    #[arg(long, value_name = "PATH=VALUE")]
    b: Vec<Setting>,
    /// How many seeds both play
    #[arg(long, value_name = "N", default_value_t = 20, value_parser = clap::value_parser!(u64).range(2..=100_000))]
    seeds: u64,
    /// The first of them; the scenario's own if absent
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    #[command(flatten)]
    threads: Threads,
    #[command(flatten)]
    place: Where,
    /// Change the scenario for both
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<Setting>,
    /// Figures to compare
    #[arg(long, value_name = "NAME", value_delimiter = ',', default_value = "served_worth")]
    figures: Vec<Figure>,
    #[command(flatten)]
    out: Out,
}

/// `result.json` of a comparison.
#[derive(Debug, Serialize)]
struct CompareFile {
    name: String,
    world: World,
    set: Vec<String>,
    a: Vec<String>,
    b: Vec<String>,
    seeds: Vec<u64>,
    confidence: f64,
    /// Runs in which a rule was broken.
    rules_broken_a: usize,
    rules_broken_b: usize,
    figures: Vec<FigureFile>,
}

#[derive(Debug, Serialize)]
struct FigureFile {
    figure: String,
    mean_a: f64,
    mean_b: f64,
    /// Of `a - b`, with the bounds of its interval; absent where a run lacks the figure.
    difference: Option<f64>,
    low: Option<f64>,
    high: Option<f64>,
    verdict: String,
    a: Vec<f64>,
    b: Vec<f64>,
}

/// A figure of both variants.
struct Compared<'a> {
    figure: &'a Figure,
    a: Vec<f64>,
    b: Vec<f64>,
    interval: Option<Interval>,
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn texts(settings: &[Setting]) -> Vec<String> {
    settings.iter().map(ToString::to_string).collect()
}

fn named(settings: &[Setting]) -> String {
    if settings.is_empty() {
        "as the scenario is".into()
    } else {
        texts(settings).join(", ")
    }
}

impl Compared<'_> {
    fn verdict(&self) -> String {
        match &self.interval {
            Some(interval) => interval.verdict(self.figure.better()).to_string(),
            None => "cannot be told: some runs lack this figure".into(),
        }
    }

    fn file(&self) -> FigureFile {
        FigureFile {
            figure: self.figure.to_string(),
            mean_a: mean(&self.a),
            mean_b: mean(&self.b),
            difference: self.interval.map(|i| i.mean),
            low: self.interval.map(|i| i.low),
            high: self.interval.map(|i| i.high),
            verdict: self.verdict(),
            a: self.a.clone(),
            b: self.b.clone(),
        }
    }
}

impl Compare {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let base = file::read_with(&self.file, &self.set)?;
        let variants = [file::change(&base, &self.a)?, file::change(&base, &self.b)?];
        let seeds = batch::seeds(self.seed.unwrap_or(base.seed), self.seeds);
        let host = self.place.host()?;
        let bar = Bar::of_runs(2 * self.seeds, &base.name);
        let digest = |run: &world::outcome::Run| {
            (run.breaches > 0, self.figures.iter().map(|f| f.of(run)).collect::<Vec<f64>>())
        };
        let played =
            batch::play(&*host, self.threads.count(), &variants, &seeds, digest, &|| bar.one_more())?;
        drop(bar);
        let [a, b] = &played[..] else {
            return Err(CommandError::Usage("two variants gave no two lists of runs".into()));
        };
        let compared: Vec<Compared<'_>> = self
            .figures
            .iter()
            .enumerate()
            .map(|(i, figure)| {
                let of = |runs: &[(bool, Vec<f64>)]| -> Vec<f64> {
                    runs.iter().filter_map(|(_, f)| f.get(i).copied()).collect()
                };
                let (a, b) = (of(a), of(b));
                let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| a - b).collect();
                Compared { figure, a, b, interval: interval(&differences, CONFIDENCE) }
            })
            .collect();
        let broken = [a, b].map(|runs| runs.iter().filter(|(broken, _)| *broken).count());
        self.tell(&base, &compared, broken);
        self.out.write(|| {
            let mut json = serde_json::to_string_pretty(&self.file(&base, &seeds, &compared, broken))
                .unwrap_or_default();
            json.push('\n');
            let page = self.page(&base, &compared, broken)?;
            Ok::<_, CommandError>(vec![("result.json".into(), json), ("report.html".into(), page)])
        })?;
        Ok(Finding::good_if(broken == [0, 0]))
    }

    fn table(&self, compared: &[Compared<'_>]) -> Table {
        let mut table = Table::new(&["figure", "a", "b", "a - b", "from", "to", "verdict"]);
        for c in compared {
            let bounds = c.interval.map(|i| [i.mean, i.low, i.high].map(short));
            let bounds = bounds.unwrap_or_else(|| ["-", "-", "-"].map(str::to_owned));
            let means = [c.figure.to_string(), short(mean(&c.a)), short(mean(&c.b))];
            table.row(means.into_iter().chain(bounds).chain([c.verdict()]));
        }
        table
    }

    fn head(&self, base: &Scenario) -> String {
        format!("{}, {} world, {} paired seeds", base.name, self.place.world.name(), self.seeds)
    }

    fn broken(&self, broken: [usize; 2]) -> Vec<String> {
        let lines = ["a", "b"].into_iter().zip(broken).filter(|(_, runs)| *runs > 0);
        lines.map(|(v, runs)| format!("{v} broke a rule in {runs} of {} runs", self.seeds)).collect()
    }

    fn tell(&self, base: &Scenario, compared: &[Compared<'_>], broken: [usize; 2]) {
        let mut text = format!("{}\na: {}\nb: {}\n\n", self.head(base), named(&self.a), named(&self.b));
        text += &format!("{}\n", self.table(compared));
        for line in self.broken(broken) {
            text += &format!("{line}\n");
        }
        for c in compared {
            let sure = format!("({:.0} % interval of the mean difference)", CONFIDENCE * 100.0);
            let unit = c.interval.map(|i| i.verdict(c.figure.better()));
            let sure = if matches!(unit, Some(Verdict::Better { .. })) { sure } else { String::new() };
            text += format!("{}: {} {sure}", c.figure, c.verdict()).trim_end();
            text.push('\n');
        }
        say(&text);
    }

    fn file(
        &self,
        base: &Scenario,
        seeds: &[u64],
        compared: &[Compared<'_>],
        broken: [usize; 2],
    ) -> CompareFile {
        CompareFile {
            name: base.name.clone(),
            world: self.place.world,
            set: texts(&self.set),
            a: texts(&self.a),
            b: texts(&self.b),
            seeds: seeds.to_vec(),
            confidence: CONFIDENCE,
            rules_broken_a: broken[0],
            rules_broken_b: broken[1],
            figures: compared.iter().map(Compared::file).collect(),
        }
    }

    fn page(
        &self,
        base: &Scenario,
        compared: &[Compared<'_>],
        broken: [usize; 2],
    ) -> Result<String, CommandError> {
        let mut page = Page::new(&self.head(base));
        page.text(&format!("a: {}", named(&self.a)), Tone::Plain);
        page.text(&format!("b: {}", named(&self.b)), Tone::Plain);
        for line in self.broken(broken) {
            page.text(&line, Tone::Bad);
        }
        page.table(&self.table(compared));
        for c in compared {
            let differences: Vec<f64> = c.a.iter().zip(&c.b).map(|(a, b)| a - b).collect();
            let rows = [("a".to_owned(), c.a.clone()), ("b".to_owned(), c.b.clone())];
            page.heading(&format!("{}: {}", c.figure, c.verdict()));
            page.plot(&plot::dots(&rows, &c.figure.to_string())?);
            page.text("Difference of each pair, a - b, and their mean.", Tone::Note);
            page.plot(&plot::dots(&[("a - b".to_owned(), differences)], &c.figure.to_string())?);
        }
        Ok(page.finish())
    }
}
