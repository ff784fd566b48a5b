//! The figures that the page may name, and the files that they come from.
//!
//! `page.json` has what is `known` (a value, a unit and its source) and what is `worked` out of other figures. A file
//! with a `role` is one of `lab capacity`, and may have `runs` of fleets in virtual time; one with `dissemination`, here or in `fleet/`, is such a run. Names:
//!
//! | name | figure |
//! | --- | --- |
//! | `NAME` | of `page.json` |
//! | `ROLE.PROBE.TARGET` | the value at that size; with `.low` and `.high` its interval, with `.factor` how far from the largest run |
//! | `ROLE.PROBE.relative` | the residual of the form taken, as a part of the mean |
//! | `ROLE.PROBE.slope`, `.intercept` | of the form taken |
//! | `ROLE.PROBE.largest.AXIS` | the largest size run |
//! | `ROLE.PROBE.point.I` | the value of the point I, from 0 |
//! | `ROLE.spread.SPREAD.median`, `.p99`, `.worst`, `.of` | times until all have it; with `.AXIS=SIZE` behind, where there are several sizes |
//! | `run.FILE.KEY`, `run.FILE.KEY.PART` | of the run's `dissemination`, where the file is `FILE.json`, or `PROXIES-SCENARIO-SEED` among a role's runs |
//! | `run.FILE.baseline.KEY`, `run.FILE.baseline.KEY.PART` | of what stands today, in the same run |

use super::shown::{shown, Unit, ASSUMED};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The file of what is known and worked out.
const PAGE: &str = "page.json";
/// The folder of fleets' runs.
const FLEET: &str = "fleet";
/// Figures that are worked out of each other: deeper is a circle.
const DEEPEST: usize = 32;

/// A figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// In its unit.
    pub value: f64,
    /// What it counts.
    pub unit: Unit,
    /// No measurement has a part in it, and it isn't the users' own.
    pub assumed: bool,
}

impl Figure {
    /// As the page has it.
    pub fn shown(&self) -> String {
        let mut text = shown(self.value, self.unit);
        text.extend(self.assumed.then_some(ASSUMED));
        text
    }
}

/// A figure that isn't measured here, and where it is from.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Known {
    /// In its unit.
    pub value: f64,
    /// What it counts.
    #[serde(default)]
    pub unit: Unit,
    /// Starts with `letter` where it is the users' own; else the page, file or reason.
    pub source: String,
}

/// A part of a figure that is worked out.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Term {
    /// A number of the arithmetic itself.
    Number(f64),
    /// Another figure.
    Name(String),
}

/// A figure that is worked out: the product of `times` by those of `over`, with `plus` and without `less`, times `scale`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Worked {
    /// What it counts.
    pub unit: Unit,
    /// Factors; without any, there is no product.
    pub times: Vec<Term>,
    /// Divisors of the product.
    pub over: Vec<Term>,
    /// Summands.
    pub plus: Vec<Term>,
    /// What is taken off.
    pub less: Vec<Term>,
    /// Factors of the whole.
    pub scale: Vec<Term>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PageFile {
    known: BTreeMap<String, Known>,
    worked: BTreeMap<String, Worked>,
}

/// What keeps the files from being read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder or a file can't be read.
    #[error("{}: {why}", path.display())]
    Read {
        /// Which.
        path: PathBuf,
        /// Why.
        why: std::io::Error,
    },
    /// A file isn't what it should be.
    #[error("{}: {why}", path.display())]
    Json {
        /// Which.
        path: PathBuf,
        /// Why.
        why: serde_json::Error,
    },
    /// A role's name isn't its file's.
    #[error("{}: its role is {role:?}", path.display())]
    Role {
        /// Which.
        path: PathBuf,
        /// What it says.
        role: String,
    },
    /// Neither a role nor a run.
    #[error("{}: neither a role nor a run of a fleet", path.display())]
    Kind {
        /// Which.
        path: PathBuf,
    },
}

/// All figures of the folder.
#[derive(Clone, Debug)]
pub struct Figures {
    /// See [`Known`].
    pub known: BTreeMap<String, Known>,
    /// See [`Worked`].
    pub worked: BTreeMap<String, Worked>,
    /// Roles by name, as written.
    pub roles: BTreeMap<String, Value>,
    /// Runs of fleets by the names of their files, as written.
    pub runs: BTreeMap<String, Value>,
}

impl Figures {
    /// Reads `page.json` and all roles of a folder.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let unread = |path: &Path| {
            let path = path.to_owned();
            move |why| Error::Read { path, why }
        };
        let unfit = |path: &Path| {
            let path = path.to_owned();
            move |why| Error::Json { path, why }
        };
        let page = folder.join(PAGE);
        let text = std::fs::read(&page).map_err(unread(&page))?;
        let PageFile { known, worked } = serde_json::from_slice(&text).map_err(unfit(&page))?;
        let mut figures = Figures { known, worked, roles: BTreeMap::new(), runs: BTreeMap::new() };
        let fleet = folder.join(FLEET);
        for folder in [Some(folder), Some(&*fleet).filter(|f| f.is_dir())].into_iter().flatten() {
            for entry in std::fs::read_dir(folder).map_err(unread(folder))? {
                let path = entry.map_err(unread(folder))?.path();
                if path != page && path.extension().is_some_and(|e| e == "json") {
                    let text = std::fs::read(&path).map_err(unread(&path))?;
                    let file: Value = serde_json::from_slice(&text).map_err(unfit(&path))?;
                    figures.add(path, file)?;
                }
            }
        }
        Ok(figures)
    }

    fn add(&mut self, path: PathBuf, file: Value) -> Result<(), Error> {
        let stem = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        for run in file["runs"].as_array().into_iter().flatten() {
            let head = &run["dissemination"];
            let all = (head["proxies"].as_u64(), head["scenario"].as_str(), head["seed"].as_u64());
            let (Some(proxies), Some(scenario), Some(seed)) = all else { return Err(Error::Kind { path }) };
            self.runs.insert(format!("{proxies}-{scenario}-{seed}"), run.clone());
        }
        match file["role"].as_str() {
            Some(role) if role == stem => self.roles.insert(stem, file),
            Some(role) => return Err(Error::Role { role: role.to_owned(), path }),
            None if file["dissemination"].is_object() => self.runs.insert(stem, file),
            None => return Err(Error::Kind { path }),
        };
        Ok(())
    }

    /// The figure of a name.
    ///
    /// # Errors
    /// Why there is none, with its name.
    pub fn get(&self, name: &str) -> Result<Figure, String> {
        self.find(name, DEEPEST)
    }

    fn find(&self, name: &str, deepest: usize) -> Result<Figure, String> {
        if let Some(known) = self.known.get(name) {
            let assumed = !known.source.starts_with("letter");
            return Ok(Figure { value: known.value, unit: known.unit, assumed });
        }
        let figure = match self.worked.get(name) {
            Some(_) if deepest == 0 => return Err(format!("{name:?} is worked out of itself")),
            Some(worked) => self.work(worked, deepest - 1)?,
            None => self.measured(name)?,
        };
        if figure.value.is_finite() {
            Ok(figure)
        } else {
            Err(format!("{name:?} is no number"))
        }
    }

    fn work(&self, worked: &Worked, deepest: usize) -> Result<Figure, String> {
        let mut measured = false;
        let mut of = |terms: &[Term]| -> Result<Vec<f64>, String> {
            let mut values = vec![];
            for term in terms {
                values.push(match term {
                    Term::Number(value) => *value,
                    Term::Name(name) => {
                        let figure = self.find(name, deepest)?;
                        measured |= !figure.assumed && !self.known.contains_key(name);
                        figure.value
                    }
                });
            }
            Ok(values)
        };
        let (times, over) = (of(&worked.times)?, of(&worked.over)?);
        let product = if times.is_empty() { 0.0 } else { times.iter().product::<f64>() };
        let product = product / over.iter().product::<f64>();
        let sum = product + of(&worked.plus)?.iter().sum::<f64>() - of(&worked.less)?.iter().sum::<f64>();
        let value = sum * of(&worked.scale)?.iter().product::<f64>();
        Ok(Figure { value, unit: worked.unit, assumed: !measured })
    }

    /// A probe of a role.
    ///
    /// # Errors
    /// Which of them there isn't.
    pub fn probe(&self, role: &str, probe: &str) -> Result<&Value, String> {
        let file = self.roles.get(role).ok_or_else(|| format!("there is no file {role}.json"))?;
        let all = file["probes"].as_array().map(Vec::as_slice).unwrap_or_default();
        let found = all.iter().find(|p| p["name"] == probe);
        found.ok_or_else(|| format!("{role}.json has no probe {probe:?}"))
    }

    fn measured(&self, name: &str) -> Result<Figure, String> {
        let unknown = || format!("no file has a figure {name:?}");
        let parts: Vec<&str> = name.split('.').collect();
        let [role, probe, field, ..] = parts[..] else { return Err(unknown()) };
        if role == "run" {
            return self.run(&parts[1..]).ok_or_else(unknown);
        }
        if probe == "spread" {
            let [part, sizes @ ..] = &parts[3..] else { return Err(unknown()) };
            return self.spread(role, field, part, sizes).ok_or_else(unknown);
        }
        let probe = self.probe(role, probe)?;
        let assumed = !probe["assumed"].is_null();
        let unit = Unit::deserialize(&probe["unit"]).map_err(|why| format!("{name}: {why}"))?;
        let best = || best(probe).ok_or_else(unknown);
        let (value, unit) = match (field, parts.get(3).copied()) {
            ("relative", None) => (&best()?["relative"], Unit::Part),
            ("slope", None) => (&best()?["slope"], unit),
            ("intercept", None) => (&best()?["intercept"], unit),
            ("largest", Some(axis)) => (&probe["largest"][axis], Unit::Count),
            ("point", Some(at)) => {
                let at: usize = at.parse().map_err(|_| unknown())?;
                (&probe["points"][at]["value"], unit)
            }
            (target, part) => {
                let all = probe["targets"].as_array().map(Vec::as_slice).unwrap_or_default();
                let target = all.iter().find(|t| t["name"] == target).ok_or_else(unknown)?;
                match part {
                    None => (&target["value"], unit),
                    Some(part @ ("low" | "high")) => (&target[part], unit),
                    Some("factor") => (&target["factor"], Unit::Count),
                    Some(_) => return Err(unknown()),
                }
            }
        };
        let value = value.as_f64().ok_or_else(unknown)?;
        Ok(Figure { value, unit, assumed })
    }

    fn run(&self, parts: &[&str]) -> Option<Figure> {
        let (file, keys) = parts.split_first()?;
        let file = self.runs.get(*file)?;
        let (of, keys) = match keys.split_first()? {
            (&"baseline", keys) => (&file["baseline"], keys),
            _ => (&file["dissemination"], keys),
        };
        let (key, part) = match keys {
            [key] => (key, None),
            [key, part] => (key, Some(*part)),
            _ => return None,
        };
        let value = part.map_or(&of[*key], |part| &of[*key][part]).as_f64()?;
        Some(Figure { value, unit: run_unit(key, part), assumed: false })
    }

    fn spread(&self, role: &str, spread: &str, part: &str, sizes: &[&str]) -> Option<Figure> {
        let of_size = |s: &Value| {
            sizes.iter().all(|size| {
                let (axis, size) = size.split_once('=').unwrap_or_default();
                s["size"][axis].as_u64().is_some_and(|n| n.to_string() == size)
            })
        };
        let all = self.roles.get(role)?["spreads"].as_array()?;
        let mut found = all.iter().filter(|s| s["name"] == spread && of_size(s));
        // One of several would be any of them.
        let (found, None) = (found.next()?, found.next()) else { return None };
        let unit = match part {
            "median" | "p99" | "p999" | "worst" => Unit::deserialize(&found["unit"]).ok()?,
            "of" => Unit::Count,
            _ => return None,
        };
        Some(Figure { value: found[part].as_f64()?, unit, assumed: false })
    }
}

/// The fit of the form that was taken.
pub fn best(probe: &Value) -> Option<&Value> {
    let best = probe["best"].as_str()?;
    probe["fits"].as_array()?.iter().find(|f| f["form"] == best)
}

/// The unit of a key of a run, by the words of its name.
pub fn run_unit(key: &str, part: Option<&str>) -> Unit {
    let words = |any: &[&str]| any.iter().any(|w| key.contains(w));
    match (key, part) {
        (_, Some("of")) => Unit::Count,
        (_, Some(_)) => Unit::Seconds,
        _ if words(&["messages"]) => Unit::Rate,
        _ if words(&["bytes", "busiest", "out_worst"]) => Unit::ByteRate,
        _ if words(&["window_worst", "carried_worst", "heap"]) => Unit::Bytes,
        _ if words(&["cpu"]) => Unit::Part,
        _ if key.ends_with("_s") => Unit::Seconds,
        _ => Unit::Count,
    }
}
