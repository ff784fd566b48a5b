//! `lab sweep`: a scenario over the values of some of its settings.

use super::output::{say, Bar, Out};
use super::worlds::{Seeds, Threads, Where};
use super::{CommandError, Finding};
use crate::experiment::batch;
use crate::experiment::figure::Figure;
use crate::experiment::paired::short;
use crate::input::file;
use crate::input::setting::{Axis, Setting};
use crate::report::html::{Page, Tone};
use crate::report::plot;
use crate::report::result::{ResultFile, World};
use crate::report::table::Table;
use serde::Serialize;
use std::path::PathBuf;
use world::scenario::Scenario;

/// Points of a sweep at most: a product of axes grows fast, and a typing error should not run for a day.
const MOST_POINTS: usize = 10_000;

#[derive(Debug, clap::Args)]
pub struct Sweep {
    /// The scenario
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// The values that a setting is to take; several of these make a grid, and a=1,2&b=3,4 go together
    #[arg(long, value_name = "PATH=V1,V2,…", required = true)]
    over: Vec<Axis>,
    #[command(flatten)]
    seeds: Seeds,
    #[command(flatten)]
    threads: Threads,
    #[command(flatten)]
    place: Where,
    /// Change the scenario for all points
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<Setting>,
    /// Figures to show
    #[arg(
        long,
        value_name = "NAME",
        value_delimiter = ',',
        default_value = "served_worth,refused,failed,retries,ledger_reads,breaches"
    )]
    figures: Vec<Figure>,
    #[command(flatten)]
    out: Out,
}

/// `result.json` of a sweep.
#[derive(Debug, Serialize)]
struct SweepFile<'a> {
    name: &'a str,
    world: World,
    set: Vec<String>,
    over: Vec<&'a str>,
    seeds: &'a [u64],
    points: Vec<PointFile<'a>>,
}

#[derive(Debug, Serialize)]
struct PointFile<'a> {
    set: Vec<String>,
    /// Mean over the seeds.
    served_worth: f64,
    rules_broken: usize,
    runs: Vec<&'a ResultFile>,
}

/// A run as a sweep keeps it.
struct Kept {
    figures: Vec<f64>,
    result: ResultFile,
}

/// All combinations, the last axis turning fastest.
fn grid(axes: &[Axis]) -> Vec<Vec<Setting>> {
    axes.iter().fold(vec![Vec::new()], |points, axis| {
        let with =
            |point: Vec<Setting>| axis.points.iter().map(move |more| [point.clone(), more.clone()].concat());
        points.into_iter().flat_map(with).collect()
    })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Sweep {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let base = file::read_with(&self.file, &self.set)?;
        let size = self.over.iter().map(|a| a.points.len()).try_fold(1_usize, |n, m| n.checked_mul(m));
        if size.is_none_or(|size| size > MOST_POINTS) {
            return Err(CommandError::Usage(format!("the grid has over {MOST_POINTS} points")));
        }
        let points = grid(&self.over);
        let variants: Vec<Scenario> =
            points.iter().map(|settings| file::change(&base, settings)).collect::<Result<_, _>>()?;
        let seeds = self.seeds.list(&base);
        let host = self.place.host()?;
        let bar = Bar::of_runs((points.len() * seeds.len()) as u64, &base.name);
        let keep = |run: &world::outcome::Run| Kept {
            figures: self.figures.iter().map(|f| f.of(run)).collect(),
            result: ResultFile::new(run, self.place.world, &[], 0.0),
        };
        let kept = batch::play(&*host, self.threads.count(), &variants, &seeds, keep, &|| bar.one_more())?;
        drop(bar);

        say(&format!("{}, {} world, {} seeds\n\n", base.name, self.place.world.name(), seeds.len()));
        let table = self.table(&points, &kept);
        say(&table.to_string());
        let broken = kept.iter().flatten().filter(|k| k.result.breaches > 0).count();
        if broken > 0 {
            say(&format!("\nrules were broken in {broken} of {} runs\n", points.len() * seeds.len()));
        }
        self.out.write(|| {
            let file = self.file(&base, &points, &kept, &seeds);
            let mut json = serde_json::to_string_pretty(&file).unwrap_or_default();
            json.push('\n');
            let plots = self.plots(&points, &kept)?;
            let page = self.page(&base, &plots, &table);
            let mut files = vec![("result.json".into(), json), ("report.html".into(), page)];
            files.extend(
                plots.into_iter().map(|(figure, svg)| (format!("{}.svg", figure.replace('/', "-")), svg)),
            );
            Ok::<_, CommandError>(files)
        })?;
        Ok(Finding::good_if(broken == 0))
    }

    fn paths(&self) -> Vec<&str> {
        self.over.iter().flat_map(|axis| axis.paths.iter().map(String::as_str)).collect()
    }

    /// A row for each point: the mean of each figure and, with several seeds, its range.
    fn table(&self, points: &[Vec<Setting>], kept: &[Vec<Kept>]) -> Table {
        let figures: Vec<String> = self.figures.iter().map(ToString::to_string).collect();
        let heads: Vec<&str> = self.paths().into_iter().chain(figures.iter().map(String::as_str)).collect();
        let mut table = Table::new(&heads);
        for (point, runs) in points.iter().zip(kept) {
            let cell = |i: usize| {
                let values: Vec<f64> = runs.iter().filter_map(|k| k.figures.get(i).copied()).collect();
                let least = values.iter().copied().fold(f64::INFINITY, f64::min);
                let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
                if values.len() < 2 || least == most {
                    short(mean(&values))
                } else {
                    format!("{} ({} to {})", short(mean(&values)), short(least), short(most))
                }
            };
            let settings = point.iter().map(|s| s.written.clone());
            table.row(settings.chain((0..self.figures.len()).map(cell)));
        }
        table
    }

    fn file<'a>(
        &'a self,
        base: &'a Scenario,
        points: &[Vec<Setting>],
        kept: &'a [Vec<Kept>],
        seeds: &'a [u64],
    ) -> SweepFile<'a> {
        let texts = |settings: &[Setting]| settings.iter().map(ToString::to_string).collect();
        let point = |(point, runs): (&Vec<Setting>, &'a Vec<Kept>)| PointFile {
            set: texts(point),
            served_worth: mean(&runs.iter().map(|k| k.result.served_worth).collect::<Vec<_>>()),
            rules_broken: runs.iter().filter(|k| k.result.breaches > 0).count(),
            runs: runs.iter().map(|k| &k.result).collect(),
        };
        SweepFile {
            name: &base.name,
            world: self.place.world,
            set: texts(&self.set),
            over: self.paths(),
            seeds,
            points: points.iter().zip(kept).map(point).collect(),
        }
    }

    /// A plot for each figure, by its name.
    fn plots(
        &self,
        points: &[Vec<Setting>],
        kept: &[Vec<Kept>],
    ) -> Result<Vec<(String, String)>, plot::PlotError> {
        // The first of paths that go together stands for all of them.
        let leads = |s: &&Setting| self.over.iter().any(|axis| axis.paths.first() == Some(&s.path));
        let names: Vec<String> = points
            .iter()
            .map(|p| p.iter().filter(leads).map(|s| s.written.as_str()).collect::<Vec<_>>().join(", "))
            .collect();
        let figures = self.figures.iter().enumerate().map(|(i, figure)| {
            let values = |runs: &Vec<Kept>| runs.iter().filter_map(|k| k.figures.get(i).copied()).collect();
            let rows: Vec<(String, Vec<f64>)> = names.iter().cloned().zip(kept.iter().map(values)).collect();
            Ok((figure.to_string(), plot::dots(&rows, &figure.to_string())?))
        });
        figures.collect()
    }

    fn page(&self, base: &Scenario, plots: &[(String, String)], table: &Table) -> String {
        let mut page = Page::new(&format!("{} over {}", base.name, self.paths().join(", ")));
        if !base.about.is_empty() {
            page.text(&base.about, Tone::Note);
        }
        page.text("Means, and the range over the seeds.", Tone::Note).table(table);
        for (figure, svg) in plots {
            page.heading(figure).plot(svg);
        }
        page.finish()
    }
}

#[cfg(test)]
mod tests;
