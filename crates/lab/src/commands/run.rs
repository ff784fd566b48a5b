//! `lab run`: one scenario, one seed, one world.

use super::output::{say, Bar, Out};
use super::worlds::Where;
use super::{CommandError, Finding};
use crate::host::Host;
use crate::input::file;
use crate::input::setting::Setting;
use crate::report::result::{ResultFile, World};
use crate::report::run::Shown;
use std::path::PathBuf;
use std::time::Instant;
use world::scenario::Scenario;

#[derive(Debug, clap::Args)]
pub struct Run {
    /// The scenario
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// In place of the scenario's own
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    place: Where,
    /// Change the scenario, as in clients.rate_per_s=400 or faults.0.for_s=5
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<Setting>,
    #[command(flatten)]
    out: Out,
}

impl Run {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let scenario = file::read_with(&self.file, &self.set)?;
        let seed = self.seed.unwrap_or(scenario.seed);
        let host = self.place.host()?;
        play(&*host, self.place.world, &scenario, seed, &self.set, &self.out)
    }
}

/// Plays, says what came of it and writes the files.
pub fn play(
    host: &dyn Host,
    world: World,
    scenario: &Scenario,
    seed: u64,
    set: &[Setting],
    out: &Out,
) -> Result<Finding, CommandError> {
    let bar = Bar::of_a_run(&scenario.name);
    let started = Instant::now();
    let run = host.run(scenario, seed, &bar)?;
    let took = started.elapsed();
    drop(bar);
    let result = ResultFile::new(&run, world, set, took.as_secs_f64());
    let shown = Shown { scenario, run: &run, result: &result, took };
    say(&shown.summary());
    out.write(|| {
        Ok::<_, CommandError>(vec![
            ("result.json".into(), result.json()),
            ("report.html".into(), shown.page()?),
        ])
    })?;
    Ok(Finding::good_if(shown.verdict().1))
}
