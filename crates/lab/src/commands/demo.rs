//! `lab demo`: the real proxy on loopback, on a short payday.

use super::output::{complain, say, Bar, Out};
use super::worlds::proxy_program;
use super::{CommandError, Finding};
use crate::host::HostError;
use crate::input::file;
use crate::loopback::{play, Played, Proxies, SLACK_MS};
use crate::report::result::{ResultFile, World as Place};
use crate::report::run::Shown;
use crate::report::table::Table;
use std::path::PathBuf;
use std::time::Instant;
use world::random::ms;
use world::scenario::Scenario;
use world::world::World;

/// Built in, so that the demo needs no file.
const SCENARIO: &str = include_str!("../../../../scenarios/demo.toml");

#[derive(Debug, clap::Args)]
pub struct Demo {
    /// The program to start as proxies, in place of the workspace's own
    #[arg(long, value_name = "PROGRAM")]
    proxy: Option<PathBuf>,
    /// Write result.json and report.html into this folder
    #[arg(long, value_name = "DIR", default_value = "target/lab-demo")]
    out: PathBuf,
}

impl Demo {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let scenario: Scenario = file::parse(SCENARIO, "demo")
            .map_err(|(line, wanted)| CommandError::Usage(format!("scenarios/demo.toml:{line}: {wanted}")))?;
        let seed = scenario.seed;
        let world = World::new(&scenario, seed, ms(SLACK_MS));
        let world = world.map_err(|problem| HostError::Unplayable(problem.to_string()))?;
        let proxies = Proxies::Program(proxy_program(self.proxy.as_deref())?);
        complain(&format!("{} About {:.0} s.", scenario.about, scenario.seconds + 3.0));
        let bar = Bar::of_a_run(&scenario.name);
        let started = Instant::now();
        let played = play(world, &proxies, &bar)?;
        let took = started.elapsed();
        drop(bar);
        let run = &played.run;
        let result = ResultFile::new(run, Place::Loopback, &[], took.as_secs_f64());
        let shown = Shown { scenario: &scenario, run, result: &result, took };
        say(&shown.summary());
        say(&processes(&played));
        Out::into(self.out).write(|| {
            let page = shown.page()?;
            Ok::<_, CommandError>(vec![("result.json".into(), result.json()), ("report.html".into(), page)])
        })?;
        // A machine too busy to judge the proxy on is no failure of the demo.
        Ok(Finding::good_if(run.late.void || run.rules_broken.is_empty()))
    }
}

/// What the proxies used.
fn processes(played: &Played) -> String {
    let mut table = Table::new(&["proxy", "CPU s", "memory MB", "descriptors at the end"]);
    for (i, usage) in played.usage.iter().enumerate() {
        let memory = format!("{:.1}", usage.memory_kb as f64 / 1024.0);
        let cpu = format!("{:.2}", usage.cpu.as_secs_f64());
        table.row([format!("n{i}"), cpu, memory, usage.descriptors.to_string()]);
    }
    let cpu: f64 = played.usage.iter().map(|u| u.cpu.as_secs_f64()).sum();
    let requests = played.run.tally.all().requests.max(1) as f64;
    format!("\n{table}{:.0} us of the proxies' CPU a request\n", cpu * 1e6 / requests)
}
