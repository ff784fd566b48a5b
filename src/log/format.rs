//! Formatting of log lines. The text format has the level and the message, which is complete for human
//! readers; the JSON format (RFC 8259) is an object with the message and the event's fields. In both formats
//! a record has bounded length and cannot be split or forged by data that a peer sent.

use std::fmt::{self, Write};
use std::str::FromStr;
use tracing::field::{Field, Visit};
use tracing::{Level, Metadata};

/// Maximum size in bytes of a message or field; longer ones are truncated. Only data from peers can be that
/// long.
const MAX_TEXT: usize = 4096;
/// Indentation of the continuation lines of a multi-line message, so that none of them looks like a separate
/// record.
const INDENT: &str = "    ";

/// Output format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// The name of a format is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownFormat;

impl std::error::Error for UnknownFormat {}

impl fmt::Display for UnknownFormat {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("unknown log format, expected text or json")
    }
}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Format, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(UnknownFormat),
        }
    }
}

impl Format {
    /// A record that reports how many lines were lost.
    pub(super) fn lost(self, at_ms: u64, n: u64) -> Vec<u8> {
        let text = format!("{n} log lines lost: standard error was not read in time");
        let mut line = Line::begin(self, at_ms, &Level::WARN, module_path!());
        line.message(&text);
        line.text_field("event", "lines_lost");
        line.raw_field("lines", n);
        line.end()
    }

    /// The record of a fatal error. In text format it has the same form as the error of any subcommand.
    pub(super) fn fatal(self, at_ms: u64, reason: &str) -> Vec<u8> {
        let text = format!("martenweir: {reason}");
        if self == Format::Text {
            return [text.as_bytes(), b"\n"].concat();
        }
        let mut line = Line::begin(self, at_ms, &Level::ERROR, module_path!());
        line.message(&text);
        line.text_field("event", "fatal");
        line.text_field("why", reason);
        line.end()
    }
}

/// A log record under construction.
pub(super) struct Line {
    format: Format,
    text: String,
}

impl Line {
    pub(super) fn new(format: Format, at_ms: u64, metadata: &Metadata<'_>) -> Line {
        Line::begin(format, at_ms, metadata.level(), metadata.target())
    }

    fn begin(format: Format, at_ms: u64, level: &Level, module: &str) -> Line {
        let text = match format {
            Format::Text => format!("[{:<5}] ", level.as_str()),
            Format::Json => format!(r#"{{"at_ms":{at_ms},"level":"{level}","module":"{module}""#),
        };
        Line { format, text }
    }

    pub(super) fn end(mut self) -> Vec<u8> {
        self.text.push_str(if self.format == Format::Json { "}\n" } else { "\n" });
        self.text.into_bytes()
    }

    fn message(&mut self, text: &str) {
        match self.format {
            Format::Text => {
                let text = truncate(text);
                self.text.push_str(&text.replace('\n', &format!("\n{INDENT}")));
            }
            Format::Json => self.text_field("message", text),
        }
    }

    /// Adds a string field.
    fn text_field(&mut self, name: &str, value: &str) {
        if self.format == Format::Json {
            let _ = write!(self.text, ",\"{name}\":{}", serde_json::Value::from(truncate(value)));
        }
    }

    /// Adds a field whose `Display` form is valid JSON: a number, `true` or `false`.
    fn raw_field(&mut self, name: &str, value: impl fmt::Display) {
        if self.format == Format::Json {
            let _ = write!(self.text, ",\"{name}\":{value}");
        }
    }
}

fn truncate(text: &str) -> &str {
    let end = (0..=MAX_TEXT.min(text.len())).rev().find(|at| text.is_char_boundary(*at));
    &text[..end.unwrap_or(0)]
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let text = format!("{value:?}");
        match field.name() {
            "message" => self.message(&text),
            name => self.text_field(name, &text),
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message(value),
            name => self.text_field(name, value),
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.raw_field(field.name(), value);
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.raw_field(field.name(), value);
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.raw_field(field.name(), value);
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        // JSON has no representation for infinities and NaN.
        match value.is_finite() {
            true => self.raw_field(field.name(), value),
            false => self.raw_field(field.name(), "null"),
        }
    }
}
