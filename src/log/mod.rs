//! Logging: writes `tracing` events as lines to standard error.
//!
//! This module owns the only writer of standard error ([`writer::Writer`]), which the figures share when
//! their target is standard error, and the subscriber that formats events. Other code only uses `tracing`'s
//! macros. An event has a message for human readers and fields for programs; the field `event` is its stable
//! name. Spans are not used: nothing is logged per stream, and all work runs on one thread.
//!
//! [`start`] is for processes that log to standard error for their whole life. Interactive subcommands write
//! to standard error directly.

mod filter;
mod format;
pub mod writer;

pub use filter::{Filter, InvalidDirective};
pub use format::Format;

use format::Line;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::span;
use tracing::subscriber::{set_global_default, Interest, Subscriber};
use tracing::{level_filters::LevelFilter, warn, Event, Metadata};
use writer::Writer;

/// How long shutdown waits for the last lines to be written.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// The running log. Dropping it waits up to [`SHUTDOWN_TIMEOUT`] for queued lines to be written.
#[derive(Debug)]
pub struct Log {
    format: Format,
    writer: Writer,
}

/// Starts the log of this process. `filter` is the value of `RUST_LOG` in the syntax of [`Filter`]; without
/// it, the level is `info`. Fails if the writer thread cannot be started or a log is already installed.
pub fn start(format: Format, filter: Option<&str>) -> Result<Log, String> {
    let (filter, invalid) = Filter::new(filter.unwrap_or("info"));
    let writer = Writer::start(io::stderr(), move |n| format.lost(unix_ms(), n))
        .map_err(|e| format!("the log cannot be started: {e}"))?;
    set_global_default(lines(format, filter, writer.clone()))
        .map_err(|_| "a log is installed already".to_owned())?;
    for InvalidDirective(directive) in invalid {
        warn!(
            event = "invalid_filter",
            directive, "RUST_LOG: {directive:?} is ignored, expected a level or module=level"
        );
    }
    Ok(Log { format, writer })
}

/// Creates the subscriber that formats events for a writer. [`start`] installs it globally.
pub fn lines(format: Format, filter: Filter, writer: Writer) -> impl Subscriber {
    Lines { format, filter, writer }
}

impl Log {
    /// The writer of standard error, for code that writes other complete lines there.
    pub fn writer(&self) -> Writer {
        self.writer.clone()
    }

    /// Logs the error that ends the program. In text format it has the same form as the error of any
    /// subcommand.
    pub fn fatal(&self, message: &str) {
        self.writer.push(self.format.fatal(unix_ms(), message));
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.writer.finish(SHUTDOWN_TIMEOUT);
    }
}

/// Unix time in milliseconds, for the timestamps of records.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The subscriber. Each event becomes one line, which is either queued whole or counted as lost.
struct Lines {
    format: Format,
    filter: Filter,
    writer: Writer,
}

impl Subscriber for Lines {
    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        // The metadata of a call site never changes, so the filter is evaluated only once per call site.
        match self.enabled(metadata) {
            true => Interest::always(),
            false => Interest::never(),
        }
    }

    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.is_event() && self.filter.admits(metadata.target(), metadata.level())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.filter.max_level())
    }

    fn event(&self, event: &Event<'_>) {
        let mut line = Line::new(self.format, unix_ms(), event.metadata());
        event.record(&mut line);
        self.writer.push(line.end());
    }

    fn new_span(&self, _: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _: &span::Id, _: &span::Record<'_>) {}

    fn record_follows_from(&self, _: &span::Id, _: &span::Id) {}

    fn enter(&self, _: &span::Id) {}

    fn exit(&self, _: &span::Id) {}
}
