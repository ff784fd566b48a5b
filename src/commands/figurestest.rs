//! `martenweir figurestest [FILE]`: sends one sample of each figure, as configured in the file or in statsd
//! format to standard error. Fails if a batch is lost or the target does not accept it in time.

use crate::core::{Record, StreamDetails, StreamOutcome};
use crate::features::figures::{Figures, Gauges, Settings, Sink};
use crate::features::file;
use crate::interface::{ClassId, TenantId};
use crate::log::writer::Writer;
use crate::settings::Site;
use async_io::Timer;
use futures_lite::future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

pub(super) const USAGE: &str = "martenweir figurestest [FILE]";
/// How long to wait for an ICMP refusal by a UDP collector, and the timeout for all of the writes.
const REFUSAL_WAIT: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one sample of each figure to the target named in FILE, or to standard error
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// The feature file with target and format of the figures [default: statsd to standard error]
    #[arg(allow_hyphen_values = true)]
    file: Option<String>,
}

pub(super) fn run(options: &Options) -> Result<(), String> {
    let settings = match &options.file {
        None => Settings::default(),
        Some(file) => file::load(file)?.figures.ok_or(format!("figurestest: {file}: figures are off"))?,
    };
    let stderr = Writer::start(io::stderr(), |_| Vec::new()).map_err(|e| format!("figurestest: {e}"))?;
    let mut sink = Sink::new(settings.target.clone(), stderr);
    let site = Site {
        classes: ["lookup", "instruct"].map(String::from).to_vec(),
        tenants: vec!["figurestest".into()],
        ..Site::default()
    };
    let figures = Figures::new(settings, Rc::new(site));
    let outcomes =
        [StreamOutcome::Served, StreamOutcome::Refused, StreamOutcome::Failed, StreamOutcome::Left];
    for (class, ended, note) in
        outcomes.into_iter().enumerate().map(|(i, e)| (i as u16 % 2, e, 1 + i as u32 % 3))
    {
        let note = if class == 0 { note } else { 0 };
        let (tenant, message, node) = (TenantId(0), Rc::default(), None);
        let (class, details, time, at) = (ClassId(class), StreamDetails::default(), 14_000, 0);
        figures.record(&Record { class, tenant, message, node, note, ended, details, time, at });
    }
    figures.flush(Gauges::default());
    let all = async {
        let mut lost = 0;
        while let Some(batch) = figures.take() {
            lost += sink.put(batch).await;
            figures.done(0);
        }
        if sink.is_udp() {
            Timer::after(REFUSAL_WAIT).await;
        }
        Some(lost + sink.refused().unwrap_or(0))
    };
    let timeout = async {
        Timer::after(TIMEOUT).await;
        None
    };
    match async_io::block_on(future::or(all, timeout)) {
        Some(0) => Ok(()),
        Some(lost) => Err(format!("figurestest: {lost} batches lost")),
        None => Err("figurestest: the target did not accept all batches in time".into()),
    }
}
