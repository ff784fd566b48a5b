//! Tables of the page that are made of the files whole.
//!
//! | kind | |
//! | --- | --- |
//! | `slopes ROLE` | a row for each probe and size of a role; `not run` where there is no file |
//! | `known` | what no test measured, with its source |

use super::figures::{best, Figures, Known};
use super::shown::{shown, Unit};
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;

/// The lines of a table.
///
/// # Errors
/// A kind that isn't one, and what lacks in the file.
pub fn table(kind: &str, figures: &Figures) -> Result<String, String> {
    match kind.split_once(' ') {
        Some(("slopes", role)) => match figures.roles.get(role) {
            Some(file) => slopes(file).ok_or_else(|| format!("{role}.json is not of the schema")),
            None => Ok("not run\n".to_owned()),
        },
        None if kind == "known" => Ok(known(&figures.known)),
        _ => Err(format!("there is no table {kind:?}")),
    }
}

/// Sizes, as `458 proxies, 4,200 nodes`.
fn sizes(of: &Value) -> Option<String> {
    let axes = of.as_object()?.iter();
    let all: Option<Vec<String>> =
        axes.map(|(axis, n)| Some(format!("{} {axis}", shown(n.as_f64()?, Unit::Count)))).collect();
    all.map(|all| all.join(", "))
}

fn slopes(file: &Value) -> Option<String> {
    let mut out = String::from(
        "| probe | kind, level | form | slope | residual | largest run | size | factor | there | 95% interval |\n\
         | --- | --- | --- | ---: | ---: | --- | --- | ---: | ---: | --- |\n",
    );
    for probe in file["probes"].as_array()? {
        let unit = Unit::deserialize(&probe["unit"]).ok()?;
        let (name, kind, level) =
            (probe["name"].as_str()?, probe["kind"].as_str()?, probe["level"].as_str()?);
        for (i, target) in probe["targets"].as_array()?.iter().enumerate() {
            let value = shown(target["value"].as_f64()?, unit);
            let first = i == 0;
            let lead = if first { format!("`{name}` | {kind}, {level}") } else { " | ".to_owned() };
            let fit = match (probe["assumed"].as_str(), best(probe)) {
                (Some(from), _) if first => format!("assumed: {from} | | | "),
                (Some(_), _) => " | | | ".to_owned(),
                (None, _) if !first => " | | | ".to_owned(),
                (None, fit) => {
                    let fit = fit?;
                    let close: Vec<&str> =
                        probe["close"].as_array()?.iter().filter_map(Value::as_str).collect();
                    let or =
                        if close.is_empty() { String::new() } else { format!(" (or {})", close.join(", ")) };
                    let form = fit["form"].as_str()?;
                    let slope = match form {
                        "flat" => String::new(),
                        _ => shown(fit["slope"].as_f64()?, unit),
                    };
                    let residual = shown(fit["relative"].as_f64()?, Unit::Part);
                    format!("{form}{or} | {slope} | {residual} | {}", sizes(&probe["largest"])?)
                }
            };
            let (size, factor) = (sizes(&target["size"])?, target["factor"].as_f64());
            let interval = match probe["assumed"].is_null() {
                true => {
                    let (low, high) = (target["low"].as_f64()?, target["high"].as_f64()?);
                    format!("{} to {}", shown(low, unit), shown(high, unit))
                }
                false => String::new(),
            };
            let factor = factor.filter(|_| probe["assumed"].is_null());
            let factor = factor.map_or(String::new(), |f| shown(f, Unit::Count));
            writeln!(out, "| {lead} | {fit} | {size} | {factor} | {value} | {interval} |").ok()?;
        }
    }
    Some(out)
}

fn known(all: &std::collections::BTreeMap<String, Known>) -> String {
    let mut out = String::from("| figure | value | from |\n| --- | ---: | --- |\n");
    for (name, known) in all {
        let _ = writeln!(out, "| `{name}` | {} | {} |", shown(known.value, known.unit), known.source);
    }
    out
}
