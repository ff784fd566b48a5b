//! `martenweir control --conf FILE [CONFIG]`: runs a control machine. The file has its port, its index in the
//! list of control machines and the list itself; the optional configuration has the listen address.

use super::fail;
use crate::features::control::{self, settings, Start};
use crate::features::file;
use crate::{config, log, scheduler};
use async_executor::LocalExecutor;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::rc::Rc;

pub(super) const USAGE: &str = "martenweir control --conf FILE [--log-format text|json] [CONFIG]";

/// Distributes changes to proxies and tracks which have them, on the controlport of FILE; see
/// docs/dissemination.md
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// The feature file with controlport and the control lines
    #[arg(long, value_name = "FILE", allow_hyphen_values = true)]
    conf: String,
    /// Format of the log, text or json
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    log_format: log::Format,
    /// The configuration, for the listen address [default: the file named by NODE_CONFIG, or 127.0.0.1]
    config: Option<String>,
}

fn start(options: &Options) -> Result<Start, String> {
    let features = file::load(&options.conf)?;
    let file_error = |what: String| format!("control: {}: {what}", options.conf);
    let settings = features.control.ok_or_else(|| file_error("no controlport".into()))?;
    settings.controls.rules().map_err(file_error)?;
    let listed = settings.controls.listed.len();
    if usize::from(settings.number) >= listed {
        let number = settings.number;
        return Err(file_error(format!("controlnumber {number}, but there are {listed} control lines")));
    }
    let path = options.config.clone().or_else(|| std::env::var("NODE_CONFIG").ok());
    let config = path.as_deref().map(config::load).transpose()?;
    let ip = config.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |c| c.listen.ip());
    let roster = settings.followers.as_deref().map(settings::roster).transpose();
    let roster = roster.map_err(|what| format!("control: {what}"))?.unwrap_or_else(BTreeMap::new);
    let loaded = control::load(&settings).map_err(|what| format!("control: {what}"))?;
    let address = SocketAddr::new(ip, settings.port);
    Ok(Start { address, settings, lists: features.addresses.unwrap_or_default(), roster, loaded })
}

pub(super) fn run(options: &Options) -> ExitCode {
    let start = match start(options) {
        Ok(start) => start,
        Err(what) => return fail(&what),
    };
    let filter = std::env::var("RUST_LOG").ok();
    let log = match log::start(options.log_format, filter.as_deref()) {
        Ok(log) => log,
        Err(what) => return fail(&what),
    };
    let executor = Rc::new(LocalExecutor::new());
    let served = control::run(start, executor.clone());
    match scheduler::block_on(&executor, served) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log.fatal(&what);
            ExitCode::FAILURE
        }
    }
}
