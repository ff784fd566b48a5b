//! Reads scenario files and fleet schedule files: parses and validates the TOML, and reports an error with
//! its file and line.

use super::place::Places;
use super::setting::{apply, Setting, SettingError};
use serde::de::DeserializeOwned;
use std::path::Path;
use world::fleet::schedule::Schedule;
use world::scenario::{Problem, Scenario};

/// Maximum file size; scenarios have a few kilobytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why a file could not be read, as a single line.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("{file}: {message}")]
    Unreadable { file: String, message: String },
    #[error("{file}:{line}: {message}")]
    Wrong { file: String, line: usize, message: String },
    #[error(transparent)]
    Setting(#[from] SettingError),
}

/// A type that can be read from a file.
pub trait InputFile: DeserializeOwned {
    /// Checks what the types cannot express.
    fn check(&self) -> Result<(), Problem>;

    fn name(&mut self) -> &mut String;
}

impl InputFile for Scenario {
    fn check(&self) -> Result<(), Problem> {
        self.validate()
    }

    fn name(&mut self) -> &mut String {
        &mut self.name
    }
}

impl InputFile for Schedule {
    fn check(&self) -> Result<(), Problem> {
        self.validate()
    }

    fn name(&mut self) -> &mut String {
        &mut self.name
    }
}

/// Reads and validates a file. Without a `name` in the file, the file name is used.
pub fn read<T: InputFile>(path: &Path) -> Result<T, FileError> {
    let file = path.display().to_string();
    let unreadable = |message: String| FileError::Unreadable { file: file.clone(), message };
    let size = std::fs::metadata(path).map_err(|e| unreadable(e.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(unreadable(format!(
            "file has {size} bytes, the limit for a scenario is {MAX_FILE_BYTES}"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| unreadable(e.to_string()))?;
    let stem = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    parse(&text, &stem).map_err(|(line, message)| FileError::Wrong { file, line, message })
}

/// Reads a file and applies changes to it. The file must be valid without them.
pub fn read_with(path: &Path, settings: &[Setting]) -> Result<Scenario, FileError> {
    Ok(change(&read(path)?, settings)?)
}

/// Returns the scenario with the changes applied, validated.
pub fn change(scenario: &Scenario, settings: &[Setting]) -> Result<Scenario, SettingError> {
    if settings.is_empty() {
        return Ok(scenario.clone());
    }
    let changed = apply(scenario, settings)?;
    changed.validate().map_err(|problem| {
        let is_cause = |s: &&Setting| dotted(&problem.path).starts_with(&dotted(&s.path));
        let setting = settings.iter().rev().find(is_cause).or(settings.last());
        let setting = setting.map_or_else(String::new, ToString::to_string);
        SettingError { setting, wanted: problem.to_string() }
    })?;
    Ok(changed)
}

/// Parses and validates a text. An error consists of the line and what was expected there.
pub fn parse<T: InputFile>(text: &str, name: &str) -> Result<T, (usize, String)> {
    let places = Places::of(text);
    let mut parsed: T = match toml::from_str(text) {
        Ok(parsed) => parsed,
        Err(e) => {
            let at = e.span().map(|span| span.start);
            let path = at.map_or("", |at| places.path_at(at));
            let message = one_line(e.message());
            let message = if path.is_empty() { message } else { format!("{path}: {message}") };
            return Err((at.map_or(1, |at| places.line_at(at)), message));
        }
    };
    parsed.check().map_err(|p| (places.line_of(&dotted(&p.path)), one_line(&p.to_string())))?;
    if places.is_absent("name") && !name.is_empty() {
        *parsed.name() = name.to_owned();
    }
    Ok(parsed)
}

/// Converts `faults[1].at_s` to `faults.1.at_s`.
fn dotted(path: &str) -> String {
    path.replace('[', ".").replace(']', "")
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|l| !l.is_empty()).collect::<Vec<_>>().join("; ")
}

#[cfg(test)]
mod tests;
