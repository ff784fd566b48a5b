//! Tables of the page that are made of the files whole.
//!
//! | kind | |
//! | --- | --- |
//! | `slopes ROLE` | a row for each probe and size of a role; `not run` where there is no file |
//! | `spreads ROLE` | a row for each spread of times of a role; `not run` where there is no file |
//! | `known` | what no test measured, with its source |
//! | `fleet times`, `fleet service`, `fleet proxy`, `fleet control`, `fleet today` | a row for each run of a fleet; `not run` where there is none |

use super::figures::{best, run_unit, Figures, Known};
use super::shown::{shown, Unit, ASSUMED};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
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
        Some(("spreads", role)) => match figures.roles.get(role) {
            Some(file) => spreads(file).ok_or_else(|| format!("{role}.json is not of the schema")),
            None => Ok("not run\n".to_owned()),
        },
        Some(("fleet", what)) => {
            let columns = COLUMNS.iter().find(|(name, ..)| *name == what);
            let (_, of, columns) = columns.ok_or_else(|| format!("there is no table {kind:?}"))?;
            fleet(&figures.runs, of, columns)
        }
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
    let bounds: Vec<&str> =
        file["bounds"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if !bounds.is_empty() {
        out.push('\n');
        bounds.iter().for_each(|bound| out.push_str(&format!("- {bound}\n")));
    }
    Some(out)
}

fn spreads(file: &Value) -> Option<String> {
    let mut out = String::from(
        "| time | size | of | median | 99th part | worst |\n| --- | --- | ---: | ---: | ---: | ---: |\n",
    );
    for spread in file["spreads"].as_array()? {
        let unit = Unit::deserialize(&spread["unit"]).ok()?;
        let (about, size) = (spread["about"].as_str()?, sizes(&spread["size"])?);
        let of = shown(spread["of"].as_f64()?, Unit::Count);
        let number = |key: &str| Some(shown(spread[key].as_f64()?, unit));
        let (median, p99, worst) = (number("median")?, number("p99")?, number("worst")?);
        writeln!(out, "| {about} | {size} | {of} | {median} | {p99} | {worst} |").ok()?;
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
    let slope = match (form, fit["slope_n"].as_f64()) {
        ("flat", _) => String::new(),
        (_, Some(n)) => format!("{} n m, {} n", shown(fit["slope"].as_f64()?, unit), shown(n, unit)),
        _ => shown(fit["slope"].as_f64()?, unit),
    };
    let close: Vec<&str> = probe["close"].as_array()?.iter().filter_map(Value::as_str).collect();
    let or = if close.is_empty() { String::new() } else { format!(" (or {})", close.join(", ")) };
    let capped = probe["capped"].as_object().filter(|c| !c.is_empty());
    let up_to = match capped {
        Some(_) => format!(", up to {}", sizes(&probe["capped"])?),
        None => String::new(),
    };
    let residual = shown(fit["relative"].as_f64()?, Unit::Part);
    Some([name, format!("{form}{or}{up_to}"), slope, residual, sizes(&probe["largest"])?])
}

fn known(all: &BTreeMap<String, Known>) -> String {
    let mut out = String::from("| figure | value | from |\n| --- | ---: | --- |\n");
    for (name, known) in all {
        let _ = writeln!(out, "| `{name}` | {} | {} |", shown(known.value, known.unit), known.source);
    }
    out
}

/// Head, key and part of a column.
type Column = (&'static str, &'static str, Option<&'static str>);

/// Tables of runs: their name, the object of the file that they are of, their columns.
const COLUMNS: [(&str, &str, &[Column]); 5] = [
    (
        "times",
        "dissemination",
        &[
            ("changes", "everywhere", Some("of")),
            ("all have it: median", "everywhere", Some("median")),
            ("99.9th part", "everywhere", Some("p999")),
            ("worst", "everywhere", Some("worst")),
            ("known that all have it: median", "known_all", Some("median")),
            ("worst", "known_all", Some("worst")),
            ("known, or lapsed: worst", "known", Some("worst")),
            ("not everywhere", "not_everywhere", None),
            ("not known", "not_known", None),
        ],
    ),
    (
        "service",
        "dissemination",
        &[
            ("proxies out of service", "were_out", None),
            ("at once", "out_at_once", None),
            ("at the end", "out_at_end", None),
            ("all together", "out_s", None),
            ("marks", "marks", None),
            ("submissions refused by one store", "busy", None),
            ("by all", "refused", None),
        ],
    ),
    (
        "proxy",
        "dissemination",
        &[
            ("in and out", "proxy_bytes_per_s", None),
            ("in", "proxy_bytes_in_per_s", None),
            ("busiest proxy", "proxy_busiest_per_s", None),
            ("worst second of any", "proxy_window_worst", None),
            ("as carried", "proxy_carried_worst", None),
            ("messages", "proxy_messages_per_s", None),
            ("of a core", "proxy_cpu", None),
            ("heap", "proxy_heap", None),
        ],
    ),
    (
        "control",
        "dissemination",
        &[
            ("out", "control_bytes_out_per_s", None),
            ("in", "control_bytes_in_per_s", None),
            ("out, worst second of any", "control_out_worst_per_s", None),
            ("messages", "control_messages_per_s", None),
            ("of a core", "control_cpu", None),
            ("heap", "control_heap", None),
        ],
    ),
    (
        "today",
        "baseline",
        &[
            ("proxies that no planner takes", "without", None),
            ("age of a plan: median", "age", Some("median")),
            ("worst", "age", Some("worst")),
            ("oldest of all proxies: median", "oldest", Some("median")),
            ("worst", "oldest", Some("worst")),
            ("a proxy, in and out", "proxy_bytes_per_s", None),
            ("a planner, out", "planner_bytes_out_per_s", None),
        ],
    ),
];

/// A row a run, by scenario, size and seed. What a run doesn't have is `-`.
fn fleet(runs: &BTreeMap<String, Value>, of: &str, columns: &[Column]) -> Result<String, String> {
    let mut rows = vec![];
    for (file, run) in runs.iter().filter(|(_, run)| run[of].is_object()) {
        let (head, of) = (&run["dissemination"], &run[of]);
        let lacks = |what: &str| format!("{file}.json has no {what}");
        let scenario = head["scenario"].as_str().ok_or_else(|| lacks("scenario"))?;
        let proxies = head["proxies"].as_u64().ok_or_else(|| lacks("proxies"))?;
        let seed = head["seed"].as_u64().ok_or_else(|| lacks("seed"))?;
        let mut cells = vec![];
        for (_, key, part) in columns {
            let value = part.map_or(&of[*key], |part| &of[*key][part]);
            cells.push(match value.as_f64() {
                Some(value) => shown(value, run_unit(key, *part)),
                None if value.is_null() && part.is_none() && of.get(*key).is_some() => "-".to_owned(),
                None => return Err(lacks(key)),
            });
        }
        let broken = head["broken"].as_object().ok_or_else(|| lacks("broken"))?;
        let told: Vec<&str> = broken.keys().map(String::as_str).collect();
        cells.push(if told.is_empty() { "none".to_owned() } else { told.join(", ") });
        rows.push(((scenario, proxies, seed), cells));
    }
    if rows.is_empty() {
        return Ok("not run\n".to_owned());
    }
    rows.sort();
    let heads: String = columns.iter().map(|(head, ..)| format!("{head} | ")).collect();
    let mut out = format!("| scenario | proxies | seed | {heads}rules broken |\n");
    let _ = writeln!(out, "| --- | ---: | ---: |{} --- |", " ---: |".repeat(columns.len()));
    for ((scenario, proxies, seed), cells) in rows {
        let proxies = shown(proxies as f64, Unit::Count);
        let _ = writeln!(out, "| `{scenario}` | {proxies} | {seed} | {} |", cells.join(" | "));
    }
    Ok(out)
}
