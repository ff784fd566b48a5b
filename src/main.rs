//! The proxy: configuration, wiring, signals, and the one task that owns the core.

#![forbid(unsafe_code)]

mod config;
mod owner;

use async_executor::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;

const USAGE: &str = "usage: martenweir [--check] [CONFIG]\n\
    CONFIG is a JSON file; without it NODE_CONFIG names it. --check reads it and exits.";

fn main() -> ExitCode {
    let (mut check, mut path) = (false, std::env::var("NODE_CONFIG").ok());
    for argument in std::env::args().skip(1) {
        match argument.as_str() {
            "--check" => check = true,
            "--version" | "-V" => {
                println!("martenweir {}", env!("CARGO_PKG_VERSION"));
                return ExitCode::SUCCESS;
            }
            "--help" | "-h" => {
                println!("{USAGE}");
                return ExitCode::SUCCESS;
            }
            other if other.starts_with('-') => return fail(&format!("unknown option {other}\n{USAGE}")),
            other => path = Some(other.to_owned()),
        }
    }
    let level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(level).format_target(false).init();
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
    match async_io::block_on(executor.run(owner::run(config, path, executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => fail(&what),
    }
}

fn fail(what: &str) -> ExitCode {
    eprintln!("martenweir: {what}");
    ExitCode::FAILURE
}
