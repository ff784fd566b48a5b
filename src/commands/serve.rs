//! Without a subcommand: runs the proxy. Reads the configuration, starts the log and runs the owner task.

use super::{fail, print};
use crate::features::file;
use crate::{config, log, owner, scheduler};
use async_executor::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;

#[derive(Debug, clap::Args)]
pub(super) struct Options {
    /// Checks the configuration and the feature file, and exits
    #[arg(long)]
    check: bool,
    // Any value after `--conf` is a file name, even if it starts with a dash.
    /// The feature file, whose settings docs/features.md lists [default: all features are off]
    #[arg(long, value_name = "FILE", allow_hyphen_values = true)]
    conf: Option<String>,
    /// Format of the log, text or json
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    log_format: log::Format,
    /// The configuration, a JSON file; the last one counts [default: the file named by NODE_CONFIG]
    #[arg(value_name = "CONFIG", value_parser = name)]
    configs: Vec<String>,
}

/// Rejects a lone dash, which has never meant standard input here.
fn name(text: &str) -> Result<String, &'static str> {
    if text == "-" {
        return Err("a file name is expected");
    }
    Ok(text.to_owned())
}

pub(super) fn run(mut options: Options) -> ExitCode {
    // Only a setting: without it the process takes more memory for the same work.
    let _ = allocator::map_large_blocks();
    // Read here and not by clap: deployments set NODE_CONFIG for subcommands too, and clap would report a
    // conflict.
    let path = options.configs.pop().or_else(|| std::env::var("NODE_CONFIG").ok());
    let features = match options.conf.as_deref().map(file::load).transpose() {
        Ok(features) => features.unwrap_or_default(),
        Err(what) => return fail(&what),
    };
    let Some(path) = path else { return fail("no configuration: name a file or set NODE_CONFIG") };
    let fit = |config: config::Config| {
        let conf = options.conf.as_deref().unwrap_or_default();
        features.check_site(&config.site).map(|()| config).map_err(|what| format!("{conf}: {what}"))
    };
    let config = match config::load(&path).and_then(fit) {
        Err(what) => return fail(&what),
        Ok(_) if options.check => {
            return match print("the configuration is fine") {
                Ok(()) => ExitCode::SUCCESS,
                Err(what) => fail(&what),
            }
        }
        Ok(config) => config,
    };
    let filter = std::env::var("RUST_LOG").ok();
    let log = match log::start(options.log_format, filter.as_deref()) {
        Ok(log) => log,
        Err(what) => return fail(&what),
    };
    let executor = Rc::new(LocalExecutor::new());
    let owner = owner::run(config, path, features, log.writer(), executor.clone());
    match scheduler::block_on(&executor, owner) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log.fatal(&what);
            ExitCode::FAILURE
        }
    }
}
