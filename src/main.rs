//! The proxy: configuration, wiring, signals, and the one task that owns the core.

#![forbid(unsafe_code)]

mod config;
mod owner;

use async_executor::LocalExecutor;
use martenweir::features::figures::{Shared, Target};
use martenweir::features::{addresses, figures, file, multiget, tap};
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;

const USAGE: &str = "usage: martenweir [--check] [--conf FILE] [CONFIG]
       martenweir mget ADDRESS CACHE.GET KEY ID PROPERTIES [CACHE.GET ...]
       martenweir tap ADDRESS [class=NAME] [tenant=NAME]
       martenweir checkaddr FILE ADDRESS
       martenweir figurestest [FILE]
CONFIG is a JSON file; without it NODE_CONFIG names it. FILE turns features on, docs/features.md lists its
settings. --check reads both and exits.
mget: asks the multi-get port at ADDRESS for all these reads at once; fails unless each brings its value.
tap: prints a line for each sampled request that matches, as the tap port at ADDRESS tells them.
checkaddr: prints allow or deny, as FILE has it for a caller at ADDRESS.
figurestest: sends one of each figure where FILE says, or to standard error.";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = match arguments.first().map(String::as_str) {
        Some("mget") => multiget::command,
        Some("tap") => tap::command,
        Some("checkaddr") => addresses::command,
        Some("figurestest") => figures::command,
        _ => return serve(arguments),
    };
    match command(&arguments[1..]) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => fail(&what),
    }
}

fn serve(arguments: Vec<String>) -> ExitCode {
    let (mut check, mut path, mut conf) = (false, std::env::var("NODE_CONFIG").ok(), None);
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--check" => check = true,
            "--conf" => match arguments.next() {
                Some(file) => conf = Some(file),
                None => return fail("--conf wants a file"),
            },
            "--version" | "-V" => {
                println!("martenweir {}", env!("CARGO_PKG_VERSION"));
                return ExitCode::SUCCESS;
            }
            "--help" | "-h" => {
                println!("{USAGE}");
                return ExitCode::SUCCESS;
            }
            other if other.starts_with('-') => return fail(&format!("unknown option {other}\n{USAGE}")),
            _ => path = Some(argument),
        }
    }
    let features = match conf.as_deref().map(file::load).transpose() {
        Ok(features) => features.unwrap_or_default(),
        Err(what) => return fail(&what),
    };
    let level = env_logger::Env::default().default_filter_or("info");
    let mut logger = env_logger::Builder::from_env(level);
    // Where figures go to standard error too, one writer has it for both: neither tears the other or waits for it.
    let shared = features.figures.as_ref().is_some_and(|f| f.target == Target::Stderr);
    let log = (shared && !check).then(|| {
        let (to, log) = Shared::new();
        logger.target(env_logger::Target::Pipe(Box::new(to)));
        // What wakes the writer would log that it does, and wake it again.
        for quiet in ["polling", "async_io", "blocking"] {
            logger.filter_module(quiet, log::LevelFilter::Info);
        }
        log
    });
    logger.format_target(false).init();
    let Some(path) = path else { return fail("no configuration: name a file or set NODE_CONFIG") };
    let config = match config::load(&path) {
        Err(what) => return fail(&what),
        Ok(_) if check => {
            println!("the configuration is fine");
            return ExitCode::SUCCESS;
        }
        Ok(config) => config,
    };
    let executor = Rc::new(LocalExecutor::new());
    match async_io::block_on(executor.run(owner::run(config, path, features, log, executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => fail(&what),
    }
}

/// Standard error may be closed: nothing to be done about it, and no reason to panic.
fn fail(what: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "martenweir: {what}");
    ExitCode::FAILURE
}
