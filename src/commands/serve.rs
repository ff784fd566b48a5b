//! No subcommand: the proxy itself. Reads what it is told, starts the log, hands over to the owner.

use super::{fail, print};
use crate::features::file;
use crate::{config, log, owner};
use async_executor::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;

#[derive(Debug, clap::Args)]
pub(super) struct Options {
    /// Reads the configuration and the file of features, and exits
    #[arg(long)]
    check: bool,
    // Its name may begin with a dash, as all that stands behind `--conf`.
    /// The file that turns features on, docs/features.md lists its settings [default: none is on]
    #[arg(long, value_name = "FILE", allow_hyphen_values = true)]
    conf: Option<String>,
    /// The form of the log, text or json
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    log_format: log::Format,
    /// The configuration, a JSON file; the last one counts [default: what NODE_CONFIG names]
    #[arg(value_name = "CONFIG", value_parser = name)]
    configs: Vec<String>,
}

/// A lone dash is no file: it never stood for standard input here.
fn name(text: &str) -> Result<String, &'static str> {
    if text == "-" {
        return Err("a file is wanted");
    }
    Ok(text.to_owned())
}

pub(super) fn run(mut options: Options) -> ExitCode {
    // Read here, not by clap: in service it is set for subcommands too, with which it does not conflict.
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
    match async_io::block_on(executor.run(owner)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log.fatal(&what);
            ExitCode::FAILURE
        }
    }
}
