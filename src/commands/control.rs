//! `martenweir control --conf FILE [CONFIG]`: a control machine. The file names its port, its place in the list and the
//! list; the configuration, where one is given, the address.

use super::fail;
use crate::features::control::{self, settings, Start};
use crate::features::file;
use crate::{config, log};
use async_executor::LocalExecutor;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::rc::Rc;

pub(super) const USAGE: &str = "martenweir control --conf FILE [--log-format text|json] [CONFIG]";

/// Carries changes to proxies and knows which have them, on the controlport of FILE; docs/dissemination.md says how
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// The file of features with controlport and the control lines
    #[arg(long, value_name = "FILE", allow_hyphen_values = true)]
    conf: String,
    /// The form of the log, text or json
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    log_format: log::Format,
    /// The configuration, for the address [default: what NODE_CONFIG names, or 127.0.0.1]
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
    match async_io::block_on(executor.run(served)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log.fatal(&what);
            ExitCode::FAILURE
        }
    }
}
