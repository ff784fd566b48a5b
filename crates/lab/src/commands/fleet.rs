//! `lab fleet`: schedules of faults between real processes: `run`, `check`, `search` and `replay`.

use super::output::{complain, say, Bar, Out};
use super::{CommandError, Finding};
use crate::fleet::play::{play, RunResult, Setting};
use crate::fleet::report::RunReport;
use crate::fleet::search::{self, Failure, Found, RunContext};
use crate::input::file;
use crate::loopback::children::Program;
use crate::report::html::{Page, Tone};
use crate::search::token::Token;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use world::fleet::draw::Bounds;
use world::fleet::fault::Kind;
use world::fleet::schedule::Schedule;

#[derive(Debug, clap::Args)]
pub struct Fleet {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Play a schedule
    Run(Run),
    /// Read schedules and say what is wrong with them
    Check(Check),
    /// Draw faults and seeds until something does not hold, and shrink what it takes
    Search(Search),
    /// Play a failure again that a search has found
    Replay(Replay),
}

impl Fleet {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        match self.command {
            Command::Run(command) => command.carry_out(),
            Command::Check(command) => command.carry_out(),
            Command::Search(command) => command.carry_out(),
            Command::Replay(command) => command.carry_out(),
        }
    }
}

/// Programs to start in place of the lab's own: a path, or `old=PATH` for those that a schedule has run an older one.
#[derive(Clone, Debug, clap::Args)]
struct Programs {
    /// The program of all processes, or old=PATH of those that the schedule calls old; may be given twice
    #[arg(long, value_name = "PATH|old=PATH")]
    proxy: Vec<String>,
    /// Plant a fault, where the lab was built to have some
    #[arg(long, value_name = "NAME", hide = true)]
    plant: Option<String>,
}

impl Programs {
    fn ground(&self) -> Result<RunContext, CommandError> {
        let io = |what: &str| {
            let what = what.to_owned();
            move |source| CommandError::Io { what, source }
        };
        let (mut program, mut old) = (None, None);
        for word in &self.proxy {
            let (to, path) = match word.split_once('=') {
                Some(("old", path)) => (&mut old, path),
                _ => (&mut program, word.as_str()),
            };
            *to = Some(Program::at(path.as_ref()).map_err(io(path))?);
        }
        let program = match program {
            Some(program) => program,
            None => Program::own().map_err(io("this program"))?,
        };
        if let Some(name) = &self.plant {
            crate::fleet::plant::known(name).map_err(CommandError::Usage)?;
        }
        Ok(RunContext { program, old, plant: self.plant.clone() })
    }
}

#[derive(Debug, clap::Args)]
struct Run {
    /// The schedule
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// In place of the schedule's own
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    #[command(flatten)]
    programs: Programs,
    #[command(flatten)]
    out: Out,
}

impl Run {
    fn carry_out(self) -> Result<Finding, CommandError> {
        let schedule: Schedule = file::read(&self.file)?;
        let seed = self.seed.unwrap_or(schedule.seed);
        let ground = self.programs.ground()?;
        if schedule.fleet.old.is_some() && ground.old.is_none() {
            return Err(CommandError::Usage("the schedule has an older program: --proxy old=PATH".into()));
        }
        one(&ground, &schedule, seed, &self.out)
    }
}

/// Plays one run, says what came of it and writes the files.
fn one(ground: &RunContext, schedule: &Schedule, seed: u64, out: &Out) -> Result<Finding, CommandError> {
    let drawn = schedule.plan(seed).to_string();
    say(&format!("{}: the plan of seed {seed}\n{drawn}\n", schedule.name));
    let bar = Bar::of_a_run(&schedule.name);
    let RunContext { program, old, plant } = ground.clone();
    let played = play(&Setting { schedule, seed, program, old, plant, out: out.folder() }, &bar);
    drop(bar);
    let played = played?;
    let shown = RunReport { schedule, seed, played: &played };
    say(&shown.summary());
    out.write(|| {
        Ok::<_, CommandError>(vec![
            ("result.json".into(), shown.json()),
            ("report.html".into(), shown.page()?),
        ])
    })?;
    Ok(Finding::good_if(played.is_good()))
}

#[derive(Debug, clap::Args)]
struct Check {
    /// Schedules
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

impl Check {
    fn carry_out(self) -> Result<Finding, CommandError> {
        let mut wrong = false;
        for path in &self.files {
            match file::read::<Schedule>(path) {
                Ok(s) => say(&format!(
                    "{}: right: {} s, {} planners, {} forwarders, {} nodes, {} faults in {} steps\n",
                    path.display(),
                    s.seconds,
                    s.fleet.planners,
                    s.fleet.forwarders,
                    s.fleet.nodes,
                    s.faults.len(),
                    s.plan(s.seed).steps.len()
                )),
                Err(error) => {
                    complain(&error.to_string());
                    wrong = true;
                }
            }
        }
        if wrong {
            return Err(CommandError::Said);
        }
        Ok(Finding::Good)
    }
}

#[derive(Debug, clap::Args)]
struct Search {
    /// The schedule round which faults are drawn; its own stay
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// How many runs to draw
    #[arg(long, value_name = "N", default_value_t = 20)]
    runs: u64,
    /// The first of them: a search can be done in pieces
    #[arg(long, value_name = "N", default_value_t = 0)]
    first: u64,
    /// Of the draws; the schedule's own if absent
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Faults that are added to a run at most
    #[arg(long, value_name = "N", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=20))]
    faults: u8,
    /// Kinds of fault to draw, as schedules name them
    #[arg(long, value_name = "KIND", value_delimiter = ',', value_parser = kind)]
    kinds: Vec<Kind>,
    /// Shrink the first so many failures; the others keep the token of what was drawn
    #[arg(long, value_name = "N", default_value_t = 1)]
    shrink: usize,
    /// Runs to spend on shrinking a failure, tries counted once
    #[arg(long, value_name = "N", default_value_t = 24)]
    shrink_runs: usize,
    /// Tries of a smaller schedule before it counts as one that holds
    #[arg(long, value_name = "N", default_value_t = 1)]
    tries: usize,
    #[command(flatten)]
    programs: Programs,
    #[command(flatten)]
    out: Out,
}

fn kind(text: &str) -> Result<Kind, String> {
    use serde::de::value::{Error, StrDeserializer};
    Kind::deserialize(StrDeserializer::<Error>::new(text)).map_err(|e| e.to_string())
}

/// `result.json` of a search.
#[derive(Debug, Serialize)]
struct SearchFile<'a> {
    name: &'a str,
    seed: u64,
    first: u64,
    runs: u64,
    plant: Option<&'a str>,
    void: Vec<String>,
    failures: Vec<FailureFile>,
}

#[derive(Debug, Serialize)]
struct FailureFile {
    run: u64,
    rule: &'static str,
    what: String,
    token: String,
    drawn: String,
    faults: Vec<String>,
    seed: u64,
}

fn smallest(failure: &Failure) -> (&Token<Schedule>, &str) {
    failure.small.as_ref().map_or((&failure.token, &failure.how.what), |(token, how)| (token, &how.what))
}

fn faults(token: &Token<Schedule>) -> Vec<String> {
    token.scenario.faults.iter().map(ToString::to_string).collect()
}

impl Search {
    fn carry_out(self) -> Result<Finding, CommandError> {
        let base: Schedule = file::read(&self.file)?;
        let ground = self.programs.ground()?;
        let mut bounds = Bounds { most_faults: self.faults.into(), ..Bounds::default() };
        if !self.kinds.is_empty() {
            bounds.kinds.clone_from(&self.kinds);
        }
        let plan = search::Plan {
            seed: self.seed.unwrap_or(base.seed),
            first: self.first,
            runs: self.runs,
            bounds,
            shrunk: self.shrink,
            shrink_runs: self.shrink_runs,
            tries: self.tries,
        };
        let bar = Bar::of_runs(plan.runs, &base.name);
        let done = |position: u64, played: &RunResult| {
            bar.one_more_before("shrinking");
            let first = played.breaches.first().map(|b| format!("{}: {}", b.rule.name(), b.what));
            if let Some(what) = played.void.clone().map(|why| format!("void: {why}")).or(first) {
                complain(&format!("run {position}: {what}"));
            }
        };
        let found = search::search(&ground, &base, &plan, &done);
        drop(bar);
        let found = found?;
        self.tell(&base, &plan, &found);
        self.out.write(|| Ok::<_, CommandError>(self.files(&base, &plan, &ground, &found)))?;
        Ok(Finding::good_if(found.failures.is_empty()))
    }

    fn tell(&self, base: &Schedule, plan: &search::Plan, found: &Found) {
        let (failed, void) = (found.failures.len(), found.void.len());
        say(&format!(
            "{}: {} runs from {} with seed {}: {failed} failed, {void} void\n",
            base.name, plan.runs, plan.first, plan.seed
        ));
        for failure in &found.failures {
            let (token, what) = smallest(failure);
            let drawn = faults(&failure.token).join("; ");
            say(&format!(
                "\nrun {}: {}: {}\n  drawn: {drawn}\n",
                failure.position,
                failure.how.rule.name(),
                failure.how.what
            ));
            if failure.small.is_some() {
                let f = &token.scenario.fleet;
                let (planners, forwarders, nodes) = (f.planners, f.forwarders, f.nodes);
                let small = faults(token).join("; ");
                say(&format!("  shrunk to {planners} planners, {forwarders} forwarders, {nodes} nodes: {small}: {what}\n"));
            }
            say(&format!("  lab fleet replay {}\n", token.write()));
        }
    }

    fn files(
        &self,
        base: &Schedule,
        plan: &search::Plan,
        ground: &RunContext,
        found: &Found,
    ) -> Vec<(String, String)> {
        let title = format!("{}: {} runs, {} failures", base.name, plan.runs, found.failures.len());
        let mut page = Page::new(&title);
        page.text(&format!("Drawn with seed {} from {}.", plan.seed, plan.first), Tone::Note);
        let void: Vec<String> = found.void.iter().map(|(n, why)| format!("run {n}: {why}")).collect();
        page.list(void.iter().map(|v| format!("void: {v}")));
        let mut listed = Vec::new();
        for failure in &found.failures {
            let (token, what) = smallest(failure);
            let word = token.write();
            page.heading(&format!("Run {}: {}", failure.position, failure.how.rule.name()));
            page.text(what, Tone::Bad).list(faults(token)).code(&format!("lab fleet replay {word}"));
            listed.push(FailureFile {
                run: failure.position,
                rule: failure.how.rule.name(),
                what: what.to_owned(),
                token: word,
                drawn: failure.token.write(),
                faults: faults(token),
                seed: token.seed,
            });
        }
        let file = SearchFile {
            name: &base.name,
            seed: plan.seed,
            first: plan.first,
            runs: plan.runs,
            plant: ground.plant.as_deref(),
            void,
            failures: listed,
        };
        let mut json = serde_json::to_string_pretty(&file).unwrap_or_default();
        json.push('\n');
        vec![("result.json".into(), json), ("report.html".into(), page.finish())]
    }
}

#[derive(Debug, clap::Args)]
struct Replay {
    /// As a search has printed it
    #[arg(value_name = "TOKEN")]
    token: String,
    /// Print the schedule as a file instead of playing it
    #[arg(long)]
    show: bool,
    #[command(flatten)]
    programs: Programs,
    #[command(flatten)]
    out: Out,
}

impl Replay {
    fn carry_out(self) -> Result<Finding, CommandError> {
        let token: Token<Schedule> = Token::read(&self.token)?;
        if self.show {
            let schedule = Schedule { seed: token.seed, ..token.scenario };
            let text = toml::to_string(&schedule);
            say(&text.map_err(|e| CommandError::Usage(format!("not to be written as TOML: {e}")))?);
            return Ok(Finding::Good);
        }
        let mut programs = self.programs;
        programs.plant = programs.plant.or(token.plant);
        one(&programs.ground()?, &token.scenario, token.seed, &self.out)
    }
}
