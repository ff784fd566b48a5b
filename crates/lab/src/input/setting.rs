//! Changes to a scenario from the command line: `path=value`, and `path=v1,v2,…` for sweeps.
//!
//! A path consists of names from the root down, joined by dots. List elements are addressed by their index
//! from 0, or by their `name` or `kind` if exactly one element has it (`faults.hang.for_s`). Paths apply to
//! the complete scenario, so a value that the file leaves at its default can be set too. Values use TOML
//! syntax; anything that is not valid TOML is taken as a string, so `faults.0.kind=hang` needs no quotes. An
//! empty value removes the setting, which restores the default.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::fmt;
use std::str::FromStr;

/// A change of one value.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    pub path: String,
    pub value: Value,
    /// The value as entered, for messages and tables.
    pub written: String,
}

/// Why a change cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{setting}: {wanted}")]
pub struct SettingError {
    pub setting: String,
    pub wanted: String,
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.path, self.written)
    }
}

impl FromStr for Setting {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (path, written) = split_assignment(text)?;
        Ok(Setting { path, value: parse_value(written), written: written.to_owned() })
    }
}

/// An axis of a sweep: a path with its values, or several paths varied together (`a=1,2&b=10,20` is a=1 b=10,
/// then a=2 b=20).
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    pub paths: Vec<String>,
    /// The points of the axis, each with one setting per path.
    pub points: Vec<Vec<Setting>>,
}

impl FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut axis = Axis { paths: Vec::new(), points: Vec::new() };
        for part in split_outside_quotes(text, '&') {
            let (path, list) = split_assignment(part)?;
            let values = split_outside_quotes(list, ',');
            if axis.paths.is_empty() {
                axis.points.resize(values.len(), Vec::new());
            }
            if values.len() != axis.points.len() {
                return Err(format!("{path} has {} values; wanted: {}", values.len(), axis.points.len()));
            }
            for (point, written) in axis.points.iter_mut().zip(values) {
                let written = written.trim();
                if written.is_empty() {
                    return Err(format!("{path} has an empty value; wanted: path=v1,v2"));
                }
                point.push(Setting {
                    path: path.clone(),
                    value: parse_value(written),
                    written: written.to_owned(),
                });
            }
            axis.paths.push(path);
        }
        Ok(axis)
    }
}

/// Splits a text at separators that are outside brackets and quotes.
fn split_outside_quotes(text: &str, separator: char) -> Vec<&str> {
    let (mut depth, mut quoted, mut from, mut found) = (0_usize, None, 0, Vec::new());
    for (i, c) in text.char_indices() {
        match (quoted, c) {
            (Some(quote), c) if c == quote => quoted = None,
            (Some(_), _) => {}
            (None, '"' | '\'') => quoted = Some(c),
            (None, '[' | '{') => depth += 1,
            (None, ']' | '}') => depth = depth.saturating_sub(1),
            (None, c) if c == separator && depth == 0 => {
                found.push(&text[from..i]);
                from = i + c.len_utf8();
            }
            _ => {}
        }
    }
    found.push(&text[from..]);
    found
}

fn split_assignment(text: &str) -> Result<(String, &str), String> {
    let (path, written) = text.split_once('=').ok_or_else(|| "wanted: path=value".to_owned())?;
    let (path, written) = (path.trim(), written.trim());
    if path.split('.').any(str::is_empty) {
        return Err(format!(
            "'{path}' is not a path; wanted: names joined by dots, as in clients.rate_per_s"
        ));
    }
    Ok((path.to_owned(), written))
}

/// Parses a value as TOML, or takes it as a string.
fn parse_value(written: &str) -> Value {
    #[derive(serde::Deserialize)]
    struct Line {
        v: toml::Value,
    }
    let parsed = toml::from_str::<Line>(&format!("v = {written}")).ok();
    parsed.and_then(|line| serde_json::to_value(line.v).ok()).unwrap_or_else(|| written.into())
}

/// Returns `whole` with the changes applied in order.
///
/// # Errors
///
/// Returns the change whose path does not exist, or whose value does not fit the type. The latter is
/// attributed to the change just applied, because those before it have already been accepted.
pub fn apply<T: Serialize + DeserializeOwned>(whole: &T, settings: &[Setting]) -> Result<T, SettingError> {
    let error = |setting: &Setting, wanted: String| SettingError { setting: setting.to_string(), wanted };
    let mut root = match serde_json::to_value(whole) {
        Ok(root) => root,
        Err(e) => return Err(SettingError { setting: "the scenario".into(), wanted: e.to_string() }),
    };
    let mut changed = None;
    for setting in settings {
        set_value(&mut root, setting).map_err(|wanted| error(setting, wanted))?;
        changed = Some(T::deserialize(&root).map_err(|e| error(setting, e.to_string()))?);
    }
    match changed {
        Some(changed) => Ok(changed),
        None => T::deserialize(&root)
            .map_err(|e| SettingError { setting: "the scenario".into(), wanted: e.to_string() }),
    }
}

/// Sets the value at the path of a change.
fn set_value(root: &mut Value, setting: &Setting) -> Result<(), String> {
    let mut at = root;
    let mut visited = String::new();
    let mut steps = setting.path.split('.').peekable();
    while let Some(step) = steps.next() {
        let last = steps.peek().is_none();
        at = match at {
            Value::Object(fields) => {
                if last && setting.written.is_empty() {
                    fields.remove(step);
                    return Ok(());
                }
                if last {
                    // The field may be absent; whether it exists is checked when the type is deserialized.
                    fields.entry(step).or_insert(Value::Null)
                } else {
                    let known = fields.keys().map(String::as_str).collect::<Vec<_>>().join(", ");
                    let field = fields.get_mut(step);
                    field.ok_or_else(|| {
                        format!("no '{step}' in {}; wanted: {known}", path_or_root(&visited))
                    })?
                }
            }
            Value::Array(elements) => {
                let count = elements.len();
                let element = position(elements, step).and_then(|i| elements.get_mut(i));
                element.ok_or_else(|| {
                    format!("no element '{step}' in {}, which has {count}", path_or_root(&visited))
                })?
            }
            _ => return Err(format!("{} has no parts, so no '{step}'", path_or_root(&visited))),
        };
        if !visited.is_empty() {
            visited.push('.');
        }
        visited.push_str(step);
    }
    *at = setting.value.clone();
    Ok(())
}

fn path_or_root(path: &str) -> &str {
    if path.is_empty() {
        "the scenario"
    } else {
        path
    }
}

/// The index that a path step refers to: a number within the list, or the only element with that `name` or
/// `kind`.
fn position(elements: &[Value], step: &str) -> Option<usize> {
    if let Ok(i) = step.parse::<usize>() {
        return (i < elements.len()).then_some(i);
    }
    let has_name =
        |v: &Value| ["name", "kind"].iter().any(|key| v.get(key).and_then(Value::as_str) == Some(step));
    let mut found = elements.iter().enumerate().filter(|(_, v)| has_name(v)).map(|(i, _)| i);
    let first = found.next()?;
    found.next().is_none().then_some(first)
}

#[cfg(test)]
mod tests;
