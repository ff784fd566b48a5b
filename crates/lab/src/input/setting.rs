//! Changes to a scenario from the command line: `path=value`, and `path=v1,v2,…` for sweeps.
//!
//! A path is the names from the root down, joined by points; elements of a list go by their number from 0, or
//! by their `name` or `kind` where just one element has it (`faults.hang.for_s`). It runs through the whole
//! scenario, so a value that the file leaves to its default can be set too. A value is written as in TOML;
//! what is not TOML is a text, so `faults.0.kind=hang` needs no quotes. Nothing behind the `=` takes the value
//! away, so that its default holds again.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::fmt;
use std::str::FromStr;

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    pub path: String,
    pub value: Value,
    /// The value as it was written, for messages and tables.
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
        let (path, written) = split(text)?;
        Ok(Setting { path, value: value(written), written: written.to_owned() })
    }
}

/// What is to vary: a path with its values, or several that go together (`a=1,2&b=10,20` is a=1 b=10, then a=2 b=20).
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    pub paths: Vec<String>,
    /// For each point, a setting for each path.
    pub points: Vec<Vec<Setting>>,
}

impl FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut axis = Axis { paths: Vec::new(), points: Vec::new() };
        for part in pieces(text, '&') {
            let (path, list) = split(part)?;
            let values = pieces(list, ',');
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
                    value: value(written),
                    written: written.to_owned(),
                });
            }
            axis.paths.push(path);
        }
        Ok(axis)
    }
}

/// The pieces between separators that stand outside of brackets and quotes.
fn pieces(text: &str, separator: char) -> Vec<&str> {
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

fn split(text: &str) -> Result<(String, &str), String> {
    let (path, written) = text.split_once('=').ok_or_else(|| "wanted: path=value".to_owned())?;
    let (path, written) = (path.trim(), written.trim());
    if path.split('.').any(str::is_empty) {
        return Err(format!("'{path}' is no path; wanted: names joined by points, as in clients.rate_per_s"));
    }
    Ok((path.to_owned(), written))
}

/// A value as TOML writes it, or else a text.
fn value(written: &str) -> Value {
    #[derive(serde::Deserialize)]
    struct Line {
        v: toml::Value,
    }
    let parsed = toml::from_str::<Line>(&format!("v = {written}")).ok();
    parsed.and_then(|line| serde_json::to_value(line.v).ok()).unwrap_or_else(|| written.into())
}

/// `whole` with the changes made, in their order.
///
/// # Errors
///
/// The change whose path leads nowhere, or what the type wants of the changed whole; that one is laid to the
/// last change, since the others are made by then.
pub fn apply<T: Serialize + DeserializeOwned>(whole: &T, settings: &[Setting]) -> Result<T, SettingError> {
    let broken = |setting: &Setting, wanted: String| SettingError { setting: setting.to_string(), wanted };
    let mut tree = match serde_json::to_value(whole) {
        Ok(tree) => tree,
        Err(e) => return Err(SettingError { setting: "the scenario".into(), wanted: e.to_string() }),
    };
    let mut changed = None;
    for setting in settings {
        place(&mut tree, setting).map_err(|wanted| broken(setting, wanted))?;
        changed = Some(T::deserialize(&tree).map_err(|e| broken(setting, e.to_string()))?);
    }
    match changed {
        Some(changed) => Ok(changed),
        None => T::deserialize(&tree)
            .map_err(|e| SettingError { setting: "the scenario".into(), wanted: e.to_string() }),
    }
}

/// Puts the value of a change where its path leads.
fn place(tree: &mut Value, setting: &Setting) -> Result<(), String> {
    let mut at = tree;
    let mut gone = String::new();
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
                    // It may be absent so far; whether there is such a field, the type knows.
                    fields.entry(step).or_insert(Value::Null)
                } else {
                    let known = fields.keys().map(String::as_str).collect::<Vec<_>>().join(", ");
                    let field = fields.get_mut(step);
                    field.ok_or_else(|| format!("no '{step}' in {}; wanted: {known}", here(&gone)))?
                }
            }
            Value::Array(elements) => {
                let count = elements.len();
                let element = position(elements, step).and_then(|i| elements.get_mut(i));
                element.ok_or_else(|| format!("no element '{step}' in {}, which has {count}", here(&gone)))?
            }
            _ => return Err(format!("{} has no parts, so no '{step}'", here(&gone))),
        };
        if !gone.is_empty() {
            gone.push('.');
        }
        gone.push_str(step);
    }
    *at = setting.value.clone();
    Ok(())
}

fn here(path: &str) -> &str {
    if path.is_empty() {
        "the scenario"
    } else {
        path
    }
}

/// The position that a step means: a number within the list, or the only element of that `name` or `kind`.
fn position(elements: &[Value], step: &str) -> Option<usize> {
    if let Ok(i) = step.parse::<usize>() {
        return (i < elements.len()).then_some(i);
    }
    let called =
        |v: &Value| ["name", "kind"].iter().any(|key| v.get(key).and_then(Value::as_str) == Some(step));
    let mut found = elements.iter().enumerate().filter(|(_, v)| called(v)).map(|(i, _)| i);
    let first = found.next()?;
    found.next().is_none().then_some(first)
}

#[cfg(test)]
mod tests;
