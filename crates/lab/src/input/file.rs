//! Scenario files, and those of schedules for fleets: from a TOML file to what it says, checked, or to one line that
//! tells where it is wrong.

use super::place::Places;
use super::setting::{apply, Setting, SettingError};
use serde::de::DeserializeOwned;
use std::path::Path;
use world::fleet::schedule::Schedule;
use world::scenario::{Problem, Scenario};

/// The largest file that is read: scenarios are a few kilobytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why there is no scenario, as one line.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("{file}: {wanted}")]
    Unreadable { file: String, wanted: String },
    #[error("{file}:{line}: {wanted}")]
    Wrong { file: String, line: usize, wanted: String },
    #[error(transparent)]
    Setting(#[from] SettingError),
}

/// What a file can hold.
pub trait InputFile: DeserializeOwned {
    /// What types cannot say of it.
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

/// Reads and checks a file; what has no name gets the file's.
pub fn read<T: InputFile>(path: &Path) -> Result<T, FileError> {
    let file = path.display().to_string();
    let unreadable = |wanted: String| FileError::Unreadable { file: file.clone(), wanted };
    let size = std::fs::metadata(path).map_err(|e| unreadable(e.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(unreadable(format!(
            "{size} bytes are too many for a scenario, {MAX_FILE_BYTES} at most are read"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| unreadable(e.to_string()))?;
    let stem = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    parse(&text, &stem).map_err(|(line, wanted)| FileError::Wrong { file, line, wanted })
}

/// Reads a file and makes changes to it. The file must be right without them.
pub fn read_with(path: &Path, settings: &[Setting]) -> Result<Scenario, FileError> {
    Ok(change(&read(path)?, settings)?)
}

/// A scenario with changes, checked.
pub fn change(scenario: &Scenario, settings: &[Setting]) -> Result<Scenario, SettingError> {
    if settings.is_empty() {
        return Ok(scenario.clone());
    }
    let changed = apply(scenario, settings)?;
    changed.validate().map_err(|problem| {
        let to_blame = |s: &&Setting| dotted(&problem.path).starts_with(&dotted(&s.path));
        let setting = settings.iter().rev().find(to_blame).or(settings.last());
        let setting = setting.map_or_else(String::new, ToString::to_string);
        SettingError { setting, wanted: problem.to_string() }
    })?;
    Ok(changed)
}

/// What a text says, or the line and what is wanted there.
pub fn parse<T: InputFile>(text: &str, name: &str) -> Result<T, (usize, String)> {
    let places = Places::of(text);
    let mut whole: T = match toml::from_str(text) {
        Ok(whole) => whole,
        Err(e) => {
            let at = e.span().map(|span| span.start);
            let path = at.map_or("", |at| places.path_at(at));
            let wanted = one_line(e.message());
            let wanted = if path.is_empty() { wanted } else { format!("{path}: {wanted}") };
            return Err((at.map_or(1, |at| places.line_at(at)), wanted));
        }
    };
    whole.check().map_err(|p| (places.line_of(&dotted(&p.path)), one_line(&p.to_string())))?;
    if places.is_absent("name") && !name.is_empty() {
        *whole.name() = name.to_owned();
    }
    Ok(whole)
}

/// `faults[1].at_s` as `faults.1.at_s`.
fn dotted(path: &str) -> String {
    path.replace('[', ".").replace(']', "")
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|l| !l.is_empty()).collect::<Vec<_>>().join("; ")
}

#[cfg(test)]
mod tests;
