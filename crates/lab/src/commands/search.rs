//! `lab search`: looks for runs that break a rule, and shrinks what it finds.

use super::output::{complain, say, Bar, Out};
use super::worlds::{virtual_host, PlantName, Threads};
use super::{CommandError, Finding};
use crate::input::file;
use crate::input::setting::Setting;
use crate::report::html::{Page, Tone};
use crate::search::draw::Bounds;
use crate::search::token::Token;
use crate::search::{search, Cause, Failure, Plan};
use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use world::scenario::{FaultKind, Scenario};

#[derive(Debug, clap::Args)]
pub struct Search {
    /// The scenario round which faults are drawn; its own stay
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// How many runs to draw
    #[arg(long, value_name = "N", default_value_t = 200)]
    runs: u64,
    /// Of the draws; the scenario's own if absent
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Faults that are added to a run at most
    #[arg(long, value_name = "N", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=50))]
    faults: u8,
    /// Kinds of fault to draw, as scenarios name them; all if absent
    #[arg(long, value_name = "KIND", value_delimiter = ',', value_parser = kind)]
    kinds: Vec<FaultKind>,
    /// Shrink the first so many failures; the others keep the token of what was drawn
    #[arg(long, value_name = "N", default_value_t = 8)]
    shrink: usize,
    /// Runs to spend on shrinking a failure
    #[arg(long, value_name = "N", default_value_t = 400)]
    shrink_runs: usize,
    /// Plant a fault in the proxies, to see that it is found
    #[arg(long, value_name = "NAME")]
    plant: Option<PlantName>,
    #[command(flatten)]
    threads: Threads,
    /// Change the scenario
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<Setting>,
    #[command(flatten)]
    out: Out,
}

fn kind(text: &str) -> Result<FaultKind, String> {
    use serde::de::value::{Error, StrDeserializer};
    FaultKind::deserialize(StrDeserializer::<Error>::new(text)).map_err(|e| e.to_string())
}

/// `result.json` of a search.
#[derive(Debug, Serialize)]
struct SearchFile<'a> {
    name: &'a str,
    seed: u64,
    runs: u64,
    plant: Option<String>,
    failures: Vec<FailureFile>,
}

#[derive(Debug, Serialize)]
struct FailureFile {
    run: u64,
    /// The rule that broke first; absent for a crash.
    rule: Option<&'static str>,
    what: String,
    token: String,
    drawn: String,
    /// Of the token: its faults by kind, how long it plays, and its seed.
    faults: Vec<&'static str>,
    seconds: f64,
    seed: u64,
    /// The file of the scenario beside this one.
    scenario: Option<String>,
}

/// The scenario of a token as a file that `lab run` plays the same way.
pub fn as_file(token: &Token) -> Result<String, CommandError> {
    let scenario = Scenario { seed: token.seed, ..token.scenario.clone() };
    toml::to_string(&scenario).map_err(|e| CommandError::Usage(format!("not to be written as TOML: {e}")))
}

/// What is left of a failure: the smallest token, or the drawn one.
fn smallest(failure: &Failure) -> (&Token, &Cause) {
    failure.small.as_ref().map_or((&failure.token, &failure.how), |(token, how)| (token, how))
}

fn kinds(token: &Token) -> Vec<&'static str> {
    token.scenario.faults.iter().map(|f| f.kind.name()).collect()
}

impl Search {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let base = file::read_with(&self.file, &self.set)?;
        let kinds = if self.kinds.is_empty() { FaultKind::ALL.to_vec() } else { self.kinds.clone() };
        let plan = Plan {
            seed: self.seed.unwrap_or(base.seed),
            runs: self.runs,
            bounds: Bounds { most_faults: self.faults.into(), kinds },
            shrunk: self.shrink,
            shrink_runs: self.shrink_runs,
            threads: self.threads.count(),
        };
        let plant = self.plant.and_then(|p| p.to_possible_value()).map(|p| p.get_name().to_owned());
        let host = virtual_host(self.plant);
        let bar = Bar::of_runs(plan.runs, &base.name);
        // A panic of the core is a finding, told with its token; the hook's text would only be in the way.
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| ()));
        let found = search(&*host, &base, &plan, plant.as_deref(), &|| bar.one_more_before("shrinking"));
        std::panic::set_hook(hook);
        drop(bar);
        let failures = found?;
        self.tell(&base, &plan, &failures);
        self.out.write(|| self.files(&base, &plan, plant, &failures))?;
        Ok(Finding::good_if(failures.is_empty()))
    }

    fn tell(&self, base: &Scenario, plan: &Plan, failures: &[Failure]) {
        let count = |n: u64, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "s" });
        let runs = count(plan.runs, "run");
        let failed = count(failures.len() as u64, "failure");
        say(&format!("{}: {runs} with seed {}, {failed}\n", base.name, plan.seed));
        for failure in failures {
            let (token, how) = smallest(failure);
            let drawn = kinds(&failure.token).join(", ");
            say(&format!("\nrun {}: {}\n  drawn: {drawn}\n", failure.position, failure.how));
            if failure.small.is_some() {
                say(&format!(
                    "  shrunk to {} in {} s, {} requests a second, seed {}: {how}\n",
                    describe(token),
                    token.scenario.seconds,
                    token.scenario.clients.rate_per_s,
                    token.seed
                ));
            }
            say(&format!("  lab replay {}\n", token.write()));
        }
        if failures.len() > plan.shrunk {
            complain(&format!(
                "{} of them were not shrunk; --shrink N shrinks more",
                failures.len() - plan.shrunk
            ));
        }
    }

    fn files(
        &self,
        base: &Scenario,
        plan: &Plan,
        plant: Option<String>,
        failures: &[Failure],
    ) -> Result<Vec<(String, String)>, CommandError> {
        let mut files = Vec::new();
        let mut listed = Vec::new();
        let mut page = Page::new(&format!("{}: {} runs, {} failures", base.name, plan.runs, failures.len()));
        page.text(&format!("Drawn with seed {}.", plan.seed), Tone::Note);
        for failure in failures {
            let (token, how) = smallest(failure);
            let word = token.write();
            // A scenario file cannot plant a fault in the proxies, so it would not fail.
            let scenario = token.plant.is_none().then(|| format!("failure-{}.toml", failure.position));
            page.heading(&format!("Run {}", failure.position)).text(&how.to_string(), Tone::Bad);
            page.list(token.scenario.faults.iter().map(describe_one));
            page.code(&format!("lab replay {word}"));
            if let Some(name) = &scenario {
                files.push((name.clone(), as_file(token)?));
            }
            listed.push(FailureFile {
                run: failure.position,
                rule: how.rule().map(|r| r.name()),
                what: how.to_string(),
                token: word,
                drawn: failure.token.write(),
                faults: kinds(token),
                seconds: token.scenario.seconds,
                seed: token.seed,
                scenario,
            });
        }
        let file = SearchFile { name: &base.name, seed: plan.seed, runs: plan.runs, plant, failures: listed };
        let mut json = serde_json::to_string_pretty(&file).unwrap_or_default();
        json.push('\n');
        files.push(("result.json".into(), json));
        files.push(("report.html".into(), page.finish()));
        Ok(files)
    }
}

fn describe(token: &Token) -> String {
    let faults: Vec<String> = token.scenario.faults.iter().map(describe_one).collect();
    if faults.is_empty() {
        "no fault".into()
    } else {
        faults.join(" and ")
    }
}

/// "hang at 3.2 s for 1.5 s (node=2)".
fn describe_one(fault: &world::scenario::Fault) -> String {
    let mut text = format!("{} at {} s", fault.kind.name(), fault.at_s);
    if fault.for_s > 0.0 {
        text += &format!(" for {} s", fault.for_s);
    }
    let fields = serde_json::to_value(fault).ok();
    let others = fields.as_ref().and_then(serde_json::Value::as_object).into_iter().flatten();
    let others: Vec<String> = others
        .filter(|(key, v)| !matches!(key.as_str(), "kind" | "at_s" | "for_s") && !v.is_null())
        .map(|(key, v)| format!("{key}={}", v.as_str().map_or_else(|| v.to_string(), str::to_owned)))
        .collect();
    if !others.is_empty() {
        text += &format!(" ({})", others.join(", "));
    }
    text
}
