//! The files that come out: `docs/capacity/README.md` describes them. Keys never change their meaning; new ones may come.

use super::fit::{Fit, Fits, Form, Observed, Predicted};
use super::{Assumed, Axis, Kind, Level, Measured, Planned, Quantity, Role, Series, Size, USERS};
use serde::Serialize;
use std::collections::BTreeMap;

/// The version of the files' form.
pub const SCHEMA: u32 = 1;

/// `result.json`.
#[derive(Debug, Serialize)]
pub struct ResultFile {
    pub schema: u32,
    pub seed: u64,
    pub users: Planned,
    pub roles: Vec<RoleFile>,
}

impl ResultFile {
    pub fn new(seed: u64, roles: Vec<RoleFile>) -> Self {
        ResultFile { schema: SCHEMA, seed, users: USERS, roles }
    }
}

/// What carries a role today, by name and file.
#[derive(Clone, Debug, Serialize)]
pub struct Mechanism {
    pub name: &'static str,
    pub files: Vec<&'static str>,
}

/// The file of a role.
#[derive(Debug, Serialize)]
pub struct RoleFile {
    pub schema: u32,
    pub role: &'static str,
    pub about: &'static str,
    pub mechanism: Option<Mechanism>,
    pub bounds: Vec<String>,
    pub seed: u64,
    pub users: Planned,
    pub probes: Vec<Probe>,
    pub spreads: Vec<Spread>,
}

/// Times of many, at one size; reported, never a verdict.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    pub name: &'static str,
    pub about: &'static str,
    pub size: Size,
    pub unit: &'static str,
    pub median: f64,
    pub p99: f64,
    pub worst: f64,
    /// How many they are.
    pub of: usize,
}

/// A quantity at all its sizes, and what follows.
#[derive(Debug, Serialize)]
pub struct Probe {
    pub name: &'static str,
    pub about: &'static str,
    pub unit: &'static str,
    pub kind: Kind,
    pub level: Level,
    pub n: Axis,
    pub m: Option<Axis>,
    pub points: Vec<Point>,
    pub fits: Vec<Fit>,
    pub best: Option<Form>,
    pub close: Vec<Form>,
    pub largest: Size,
    /// Along these axes the quantity grows no further, by a bound of the mechanism: fits and figures go by no more.
    pub capped: BTreeMap<Axis, u64>,
    pub targets: Vec<TargetFile>,
    pub assumed: Option<&'static str>,
}

/// A value that was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: Size,
    pub value: f64,
}

/// A value worked out for a size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetFile {
    pub name: &'static str,
    pub size: Size,
    pub factors: BTreeMap<Axis, f64>,
    pub factor: f64,
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

impl Probe {
    /// A quantity of a series; `None` with too few points for any form.
    fn measured(series: &Series, quantity: &Quantity, points: Vec<Point>) -> Option<Probe> {
        let n = series.axes.first()?.0;
        let m = series.axes.get(1).map(|(axis, _)| *axis);
        let capped: BTreeMap<Axis, u64> = quantity.cap.into_iter().collect();
        let up_to = |size: &Size, axis: Axis| {
            let size = size.along(axis);
            capped.get(&axis).map_or(size, |most| size.min(*most)) as f64
        };
        let along = |size: &Size| (up_to(size, n), m.map_or(1.0, |m| up_to(size, m)));
        let observed: Vec<Observed> = points
            .iter()
            .map(|p| {
                let (n, m) = along(&p.size);
                Observed { n, m, value: p.value }
            })
            .collect();
        let fits = Fits::of(&observed, m.is_some())?;
        let form = fits.best().form;
        // The run with the largest term of the form: that is where the line is held farthest out.
        let reach = |p: &&Point| {
            let (n, m) = along(&p.size);
            let all: f64 = p.size.axes().map(|(_, size)| size as f64).product();
            (form.term(n, m), all)
        };
        let largest = points.iter().max_by(|a, b| {
            let (a, b) = (reach(a), reach(b));
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let largest = largest.size.clone();
        let targets = series
            .targets
            .iter()
            .map(|(name, size)| {
                let (n, m) = along(size);
                let Predicted { value, low, high } = fits.at(n, m);
                let factor =
                    |(axis, to): (Axis, u64)| (axis, (to as f64 / largest.along(axis) as f64).max(1.0));
                let factors: BTreeMap<Axis, f64> = size.axes().map(factor).collect();
                let factor = factors.values().product();
                // There is no less than nothing of anything that is measured here.
                let (value, low) = (value.max(0.0), low.max(0.0));
                TargetFile { name, size: size.clone(), factors, factor, value, low, high }
            })
            .collect();
        Some(Probe {
            name: quantity.name,
            about: quantity.about,
            unit: quantity.unit,
            kind: quantity.kind,
            level: series.level,
            n,
            m,
            points,
            best: Some(form),
            close: fits.close().map(|f| f.form).collect(),
            fits: fits.tried,
            largest,
            capped,
            targets,
            assumed: None,
        })
    }

    fn assumed(assumed: Assumed) -> Option<Probe> {
        let Assumed { quantity, targets, from } = assumed;
        let axes: Vec<Axis> = targets.first()?.1.axes().map(|(axis, _)| axis).collect();
        let (n, m) = (*axes.first()?, axes.get(1).copied());
        let target = |(name, size, value): (&'static str, Size, f64)| TargetFile {
            name,
            factors: size.axes().map(|(axis, _)| (axis, 1.0)).collect(),
            size,
            factor: 1.0,
            value,
            low: value,
            high: value,
        };
        Some(Probe {
            name: quantity.name,
            about: quantity.about,
            unit: quantity.unit,
            kind: Kind::Arithmetic,
            level: Level::Arithmetic,
            n,
            m,
            points: Vec::new(),
            fits: Vec::new(),
            best: None,
            close: Vec::new(),
            largest: Size::default(),
            capped: BTreeMap::new(),
            targets: targets.into_iter().map(target).collect(),
            assumed: Some(from),
        })
    }
}

impl RoleFile {
    /// From what the series of a role gave: for each the sizes with their values.
    pub fn new(role: &dyn Role, seed: u64, ran: Vec<(Series, Vec<(Size, Measured)>)>) -> Self {
        let (mut probes, mut spreads) = (Vec::new(), Vec::new());
        for (series, runs) in ran {
            for (i, quantity) in series.quantities.iter().enumerate() {
                let point = |(size, measured): &(Size, Measured)| {
                    let value = measured.values.get(i).copied().flatten()?;
                    Some(Point { size: size.clone(), value })
                };
                let points = runs.iter().filter_map(point).collect();
                probes.extend(Probe::measured(&series, quantity, points));
            }
            spreads.extend(runs.into_iter().flat_map(|(_, measured)| measured.spreads));
        }
        probes.extend(role.assumed().into_iter().filter_map(Probe::assumed));
        RoleFile {
            schema: SCHEMA,
            role: role.name(),
            about: role.about(),
            mechanism: role.mechanism(),
            bounds: role.bounds(),
            seed,
            users: USERS,
            probes,
            spreads,
        }
    }
}
