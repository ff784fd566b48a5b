//! The log: `tracing` events as lines on standard error.
//!
//! Owns the one writer of standard error ([`writer::Writer`]), which the figures share where they go there
//! too, and the subscriber that turns events into lines. Code that has something to say uses `tracing`'s
//! macros and needs nothing of this; an event is a message for people and fields for programs, with `event`
//! as the one word that names it for good. There are no spans: nothing is logged per stream, and there is one
//! thread of work.
//!
//! [`start`] is for a process whose standard error is the proxy's. A subcommand that talks to a person writes
//! its lines itself.

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

/// How long the end waits for the last lines.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// The log at work. Dropped, it waits a moment for what is still to be written.
#[derive(Debug)]
pub struct Log {
    format: Format,
    writer: Writer,
}

/// Starts the log of this process. `filter` is what `RUST_LOG` says, [`Filter`] has its form; without it,
/// lines of level `info` and above are told. An error is a thread that cannot be started, or a log that is
/// there already.
pub fn start(format: Format, filter: Option<&str>) -> Result<Log, String> {
    let (filter, invalid) = Filter::new(filter.unwrap_or("info"));
    let writer = Writer::start(io::stderr(), move |n| format.lost(unix_ms(), n))
        .map_err(|e| format!("the log cannot be started: {e}"))?;
    set_global_default(lines(format, filter, writer.clone()))
        .map_err(|_| "the log is started already".to_owned())?;
    for InvalidDirective(directive) in invalid {
        warn!(
            event = "invalid_filter",
            directive, "RUST_LOG: {directive:?} is ignored, no level or module=level"
        );
    }
    Ok(Log { format, writer })
}

/// What turns events into lines for a writer; [`start`] makes it that of the process.
pub fn lines(format: Format, filter: Filter, writer: Writer) -> impl Subscriber {
    Lines { format, filter, writer }
}

impl Log {
    /// The writer of standard error, for whoever writes there between the lines.
    pub fn writer(&self) -> Writer {
        self.writer.clone()
    }

    /// Why the program ends, for which it has no other words: in text the line of a command that fails.
    pub fn fatal(&self, message: &str) {
        self.writer.push(self.format.fatal(unix_ms(), message));
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.writer.finish(SHUTDOWN_TIMEOUT);
    }
}

/// Unix time, for lines that bear it.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The subscriber: an event becomes one line, which is queued whole or counted as lost.
struct Lines {
    format: Format,
    filter: Filter,
    writer: Writer,
}

impl Subscriber for Lines {
    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        // What a call says of itself never changes, so that one look is enough.
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
