//! `martenweir planner --conf FILE [CONFIG]`: runs a planner. The file has its port; the optional
//! configuration has the listen address and the number of proxies.

use super::fail;
use crate::features::{file, forwarder, planner};
use crate::settings::Site;
use crate::{config, log, scheduler};
use async_executor::LocalExecutor;
use plan::Rules;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::rc::Rc;

pub(super) const USAGE: &str = "martenweir planner --conf FILE [--log-format text|json] [CONFIG]";

/// Publishes plans computed from the reports of all proxies, on the plannerport of FILE; see docs/planners.md
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// The feature file with plannerport
    #[arg(long, value_name = "FILE", allow_hyphen_values = true)]
    conf: String,
    /// Format of the log, text or json
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    log_format: log::Format,
    /// The configuration, for the listen address and the number of proxies [default: the file named by
    /// NODE_CONFIG, or none]
    config: Option<String>,
}

/// What the planner is started with.
struct Start {
    address: SocketAddr,
    rules: Rules,
    features: file::Features,
}

fn start(options: &Options) -> Result<Start, String> {
    let features = file::load(&options.conf)?;
    let settings = features.planner.clone();
    let planner::Settings { port, forwarders } =
        settings.ok_or(format!("planner: {}: no plannerport", options.conf))?;
    let path = options.config.clone().or_else(|| std::env::var("NODE_CONFIG").ok());
    let config = path.as_deref().map(config::load).transpose()?;
    let ip = config.as_ref().map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |c| c.listen.ip());
    if config.is_none() && forwarders.is_none() {
        return Err(format!("planner: {}: no planforwarders, and no configuration", options.conf));
    }
    let site = config.map(|c| c.site).unwrap_or_else(Site::default);
    let rules = forwarder::rules(forwarders, &site.settings);
    Ok(Start { address: SocketAddr::new(ip, port), rules, features })
}

pub(super) fn run(options: &Options) -> ExitCode {
    let Start { address, rules, features } = match start(options) {
        Ok(start) => start,
        Err(what) => return fail(&what),
    };
    let filter = std::env::var("RUST_LOG").ok();
    let log = match log::start(options.log_format, filter.as_deref()) {
        Ok(log) => log,
        Err(what) => return fail(&what),
    };
    let executor = Rc::new(LocalExecutor::new());
    let lists = features.addresses.unwrap_or_default();
    let served = planner::run(address, rules, lists, executor.clone());
    match scheduler::block_on(&executor, served) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log.fatal(&what);
            ExitCode::FAILURE
        }
    }
}
