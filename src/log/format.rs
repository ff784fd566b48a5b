//! A line of the log. In text it is the level and the message, which says all there is for people; in JSON an
//! object (RFC 8259) with the fields by their names beside the message. Both are one line whatever a peer has
//! made us say, and of bounded length.

use std::fmt::{self, Write};
use std::str::FromStr;
use tracing::field::{Field, Visit};
use tracing::{Level, Metadata};

/// Bytes of one message or field; the rest is cut off. Only what a peer sent could be as long.
const MAX_TEXT: usize = 4096;
/// Where a message of several lines goes on, so that none of them looks like a line of its own.
const INDENT: &str = "    ";

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// A form of lines that there is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownFormat;

impl std::error::Error for UnknownFormat {}

impl fmt::Display for UnknownFormat {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("no form of the log, text and json are")
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
    /// The line that tells of `n` lost ones.
    pub(super) fn lost(self, at_ms: u64, n: u64) -> Vec<u8> {
        let text = format!("{n} lines of the log lost: nobody read them in time");
        let mut line = Line::begin(self, at_ms, &Level::WARN, module_path!());
        line.message(&text);
        line.text_field("event", "lines_lost");
        line.raw_field("lines", n);
        line.end()
    }

    /// The line of a program that cannot go on. In text it is what any command says that fails.
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

/// A line under way.
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

    /// A field that is text.
    fn text_field(&mut self, name: &str, value: &str) {
        if self.format == Format::Json {
            let _ = write!(self.text, ",\"{name}\":{}", serde_json::Value::from(truncate(value)));
        }
    }

    /// A field that JSON writes as we do: a number, or `true` and `false`.
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
        // What is no number in JSON is none here either.
        match value.is_finite() {
            true => self.raw_field(field.name(), value),
            false => self.raw_field(field.name(), "null"),
        }
    }
}
