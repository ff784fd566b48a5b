//! `lab capacity`: how each role of a fleet grows with its size, and what that makes of it at the size planned for.

use super::output::{complain, say, Bar};
use super::{CommandError, Finding};
use crate::capacity::hollow::proxies::{process, Asked};
use crate::capacity::result::{Probe, ResultFile, RoleFile};
use crate::capacity::{roles, unfit, Axis, Fault, Measured, Role, Series, Size};
use crate::experiment::paired::short;
use crate::report::table::Table;
use clap::ValueEnum;
use std::path::PathBuf;
use std::str::FromStr;

/// Measures what each role of a fleet takes at several sizes, fits how it grows, and works out the size planned for
#[derive(Debug, clap::Args)]
pub struct Capacity {
    /// Which roles to measure; all if absent
    #[arg(long, value_name = "NAME", value_delimiter = ',', value_parser = role)]
    role: Vec<String>,
    /// Sizes along an axis in place of a role's own: four or more, over a factor of 16 or more
    #[arg(long, value_name = "AXIS=N,N,…")]
    sizes: Vec<Along>,
    /// What everything random is drawn from
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Write result.json, and a file for each role, into this folder
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Be the process of hollow proxies that a run starts
    #[arg(long, value_name = "ADDRESS,PROXIES,NODES,SEED", hide = true)]
    hollow: Option<Asked>,
}

fn role(name: &str) -> Result<String, String> {
    let names: Vec<&str> = roles::all().iter().map(|r| r.name()).collect();
    match names.contains(&name) {
        true => Ok(name.to_owned()),
        false => Err(format!("the roles are {}", names.join(", "))),
    }
}

/// Sizes along an axis, as the command line has them.
#[derive(Clone, Debug)]
struct Along {
    axis: Axis,
    sizes: Vec<u64>,
}

impl FromStr for Along {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (axis, sizes) = text.split_once('=').ok_or("AXIS=N,N,… is wanted")?;
        let axis = Axis::from_str(axis, false).map_err(|_| {
            let names: Vec<&str> = Axis::value_variants().iter().map(|a| a.name()).collect();
            format!("the axes are {}", names.join(", "))
        })?;
        let sizes = sizes.split(',').map(|n| n.trim().parse::<u64>().map_err(|_| format!("{n} is no size")));
        let sizes = sizes.collect::<Result<Vec<_>, _>>()?;
        unfit(axis, &sizes).map_or(Ok(Along { axis, sizes }), Err)
    }
}

impl From<Fault> for CommandError {
    fn from(fault: Fault) -> Self {
        CommandError::Usage(fault.to_string())
    }
}

impl Capacity {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        if let Some(asked) = self.hollow {
            process(asked)?;
            return Ok(Finding::Good);
        }
        let chosen = |r: &dyn Role| self.role.is_empty() || self.role.iter().any(|name| name == r.name());
        let roles: Vec<Box<dyn Role>> = roles::all().into_iter().filter(|r| chosen(&**r)).collect();
        let with_series: Vec<(Box<dyn Role>, Vec<Series>)> = roles
            .into_iter()
            .map(|role| {
                let series = role.series().into_iter().map(|s| self.resized(s)).collect();
                (role, series)
            })
            .collect();
        let runs = with_series.iter().flat_map(|(_, series)| series).map(|s| s.sizes().len() as u64).sum();
        let bar = Bar::of_runs(runs, "capacity");
        let mut files = Vec::new();
        for (role, series) in with_series {
            let ran = series.into_iter().map(|s| Ok((self.ran(&*role, &s, &bar)?, s)));
            let ran = ran.collect::<Result<Vec<_>, Fault>>()?;
            files.push(RoleFile::new(
                &*role,
                self.seed,
                ran.into_iter().map(|(runs, s)| (s, runs)).collect(),
            ));
        }
        drop(bar);
        for file in &files {
            say(&format!("{}: {}\n{}\n", file.role, file.about, table(file)));
        }
        self.write(files)?;
        Ok(Finding::Good)
    }

    /// A series with the sizes of the command line.
    fn resized(&self, mut series: Series) -> Series {
        for (axis, sizes) in &mut series.axes {
            if let Some(along) = self.sizes.iter().rev().find(|a| a.axis == *axis) {
                sizes.clone_from(&along.sizes);
                series.more.clear();
            }
        }
        series
    }

    /// Runs a series; one thread, since it is that thread which is measured.
    fn ran(&self, role: &dyn Role, series: &Series, bar: &Bar) -> Result<Vec<(Size, Measured)>, Fault> {
        let one = |size: Size| {
            bar.name(&format!("{}, {size}", role.name()));
            let measured = (series.run)(&size, self.seed)?;
            bar.one_more();
            Ok((size, measured))
        };
        series.sizes().into_iter().map(one).collect()
    }

    fn write(&self, files: Vec<RoleFile>) -> Result<(), CommandError> {
        let Some(folder) = &self.out else { return Ok(()) };
        let failed = |what: &PathBuf, source| CommandError::Io { what: what.display().to_string(), source };
        std::fs::create_dir_all(folder).map_err(|e| failed(folder, e))?;
        let put = |name: &str, text: Result<String, serde_json::Error>| {
            let path = folder.join(format!("{name}.json"));
            let text = text.map_err(|e| failed(&path, e.into()))? + "\n";
            std::fs::write(&path, text).map_err(|e| failed(&path, e))?;
            complain(&format!("wrote {}", path.display()));
            Ok::<_, CommandError>(())
        };
        for file in &files {
            put(file.role, serde_json::to_string_pretty(file))?;
        }
        put("result", serde_json::to_string_pretty(&ResultFile::new(self.seed, files)))
    }
}

/// A row for each quantity and each size that it is worked out for.
fn table(file: &RoleFile) -> Table {
    let mut table = Table::new(&[
        "quantity",
        "form",
        "residual",
        "largest run",
        "value",
        "for",
        "factor",
        "worked out",
        "from",
        "to",
    ]);
    for probe in &file.probes {
        for (i, target) in probe.targets.iter().enumerate() {
            let mut row = if i == 0 { head(probe) } else { vec![String::new(); 5] };
            let unit = probe.unit;
            row.extend([
                format!("{} ({})", target.name, target.size),
                short(target.factor),
                format!("{} {unit}", plain(target.value)),
                plain(target.low),
                plain(target.high),
            ]);
            table.row(row);
        }
    }
    table
}

/// What stands before the first of a quantity's sizes.
fn head(probe: &Probe) -> Vec<String> {
    let form = probe.best.map_or("assumed".into(), |form| form.to_string());
    let residual = probe.fits.iter().find(|f| Some(f.form) == probe.best).map(|f| f.relative);
    let residual = residual.map_or("-".into(), |r| format!("{:.2} %", 100.0 * r));
    let largest = probe.points.iter().find(|p| p.size == probe.largest);
    let (size, value) = largest.map_or(("-".into(), "-".into()), |p| (p.size.to_string(), plain(p.value)));
    vec![probe.name.to_owned(), form, residual, size, value]
}

/// A figure with three digits that matter, by thousands.
fn plain(x: f64) -> String {
    let (scaled, suffix) = match x.abs() {
        a if a >= 1e9 => (x / 1e9, " G"),
        a if a >= 1e6 => (x / 1e6, " M"),
        a if a >= 1e4 => (x / 1e3, " k"),
        a if a >= 1e-3 || a == 0.0 => (x, ""),
        _ => (x * 1e6, " u"),
    };
    short(scaled) + suffix
}
