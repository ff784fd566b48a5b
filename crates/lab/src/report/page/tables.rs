//! Tables of the page that are made of the files whole.
//!
//! | kind | |
//! | --- | --- |
//! | `slopes ROLE` | a row for each probe and size of a role; `not run` where there is no file |
//! | `known` | what no test measured, with its source |

use super::figures::{best, Figures, Known};
use super::shown::{shown, Unit, ASSUMED};
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
        let assumed = probe["assumed"].as_str();
        for (i, target) in probe["targets"].as_array()?.iter().enumerate() {
            let number = |key: &str| Some(shown(target[key].as_f64()?, unit));
            // What is true of all sizes stands in the first row.
            let [name, form, slope, residual, largest] = match i {
                0 => lead(probe, unit)?,
                _ => Default::default(),
            };
            let (size, mut value) = (sizes(&target["size"])?, number("value")?);
            value.extend(assumed.map(|_| ASSUMED));
            let (factor, interval) = match assumed {
                Some(_) => (String::new(), String::new()),
                None => (
                    shown(target["factor"].as_f64()?, Unit::Count),
                    format!("{} to {}", number("low")?, number("high")?),
                ),
            };
            let kind = match i {
                0 => format!("{}, {}", probe["kind"].as_str()?, probe["level"].as_str()?),
                _ => String::new(),
            };
            let cells = [name, kind, form, slope, residual, largest, size, factor, value, interval];
            writeln!(out, "| {} |", cells.join(" | ")).ok()?;
        }
    }
    Some(out)
}

/// Name, form, slope, residual and the largest run of a probe.
fn lead(probe: &Value, unit: Unit) -> Option<[String; 5]> {
    let name = format!("`{}`", probe["name"].as_str()?);
    if let Some(from) = probe["assumed"].as_str() {
        return Some([name, format!("assumed: {from}"), String::new(), String::new(), String::new()]);
    }
    let fit = best(probe)?;
    let form = fit["form"].as_str()?;
    let slope = match form {
        "flat" => String::new(),
        _ => shown(fit["slope"].as_f64()?, unit),
    };
    let close: Vec<&str> = probe["close"].as_array()?.iter().filter_map(Value::as_str).collect();
    let or = if close.is_empty() { String::new() } else { format!(" (or {})", close.join(", ")) };
    let residual = shown(fit["relative"].as_f64()?, Unit::Part);
    Some([name, format!("{form}{or}"), slope, residual, sizes(&probe["largest"])?])
}

fn known(all: &std::collections::BTreeMap<String, Known>) -> String {
    let mut out = String::from("| figure | value | from |\n| --- | ---: | --- |\n");
    for (name, known) in all {
        let _ = writeln!(out, "| `{name}` | {} | {} |", shown(known.value, known.unit), known.source);
    }
    out
}
