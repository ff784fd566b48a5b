//! Capacity: what each role of a fleet takes, measured at several sizes, fitted, and worked out for the size that the
//! fleet is planned for.
//!
//! A [`Role`] has [`Series`]; a series runs one thing at a grid of sizes and measures [`Quantity`]s of it, each of which
//! becomes a [`result::Probe`]. A new role is one file under [`roles`] and a line in [`roles::all`]. `docs/capacity/README.md`
//! has the form of the files that come out.

pub mod fit;
pub mod hollow;
pub mod meter;
pub mod result;
pub mod roles;

use result::{Mechanism, Spread};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// The size that the fleet is planned for, two years ahead (the users' figures).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Planned {
    pub proxies: u64,
    pub nodes: u64,
    pub sites: u64,
    pub zones: u64,
    pub regions: u64,
    /// Machines set aside for control.
    pub controls: u64,
}

/// See [`Planned`].
pub const USERS: Planned =
    Planned { proxies: 11_000, nodes: 4_200, sites: 670, zones: 82, regions: 33, controls: 24 };

/// What a size counts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    Proxies,
    Nodes,
    /// Entries in one change of a list.
    Changes,
}

impl Axis {
    /// As on the command line and in files.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Proxies => "proxies",
            Axis::Nodes => "nodes",
            Axis::Changes => "changes",
        }
    }
}

impl fmt::Display for Axis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How large something is, by axis.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct Size(BTreeMap<Axis, u64>);

impl Size {
    /// Of axes with their numbers.
    pub fn of<const N: usize>(axes: [(Axis, u64); N]) -> Size {
        Size(axes.into_iter().collect())
    }

    /// Along an axis; 1 where it has none.
    pub fn along(&self, axis: Axis) -> u64 {
        self.0.get(&axis).copied().unwrap_or(1)
    }

    /// All axes.
    pub fn axes(&self) -> impl Iterator<Item = (Axis, u64)> + '_ {
        self.0.iter().map(|(axis, size)| (*axis, *size))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each: Vec<String> = self.axes().map(|(axis, size)| format!("{size} {axis}")).collect();
        f.write_str(&each.join(", "))
    }
}

/// How a quantity was had, which says how far it repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The same on every run of a seed.
    Count,
    /// Processor or real time: noisy.
    Time,
    /// Resident memory: noisy.
    Memory,
    /// Nothing was measured.
    Arithmetic,
}

/// In what world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Machines and codecs in one thread, in virtual time.
    Virtual,
    /// Hollow proxies on loopback: the real control side without traffic.
    Hollow,
    /// Whole programs.
    Processes,
    Arithmetic,
}

/// Something that is measured.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    pub name: &'static str,
    pub about: &'static str,
    pub unit: &'static str,
    pub kind: Kind,
    /// An axis along which it does not grow beyond so much, by a bound of the mechanism: fits go by no more.
    pub cap: Option<(Axis, u64)>,
}

impl Quantity {
    /// One that grows along all axes.
    pub const fn new(name: &'static str, about: &'static str, unit: &'static str, kind: Kind) -> Quantity {
        Quantity { name, about, unit, kind, cap: None }
    }

    /// It does not grow beyond so much along an axis.
    pub const fn capped(self, axis: Axis, most: u64) -> Quantity {
        Quantity { cap: Some((axis, most)), ..self }
    }
}

/// A size to work out a figure for, by name.
pub type Target = (&'static str, Size);

/// Why a measurement could not be taken.
#[derive(Debug, Error)]
pub enum Fault {
    /// The machine has no room for this size.
    #[error("{size}: {what}")]
    Room { size: String, what: String },
    /// A part under measurement said something that it should not.
    #[error("{0}")]
    Broken(String),
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
}

impl Fault {
    /// Of a part whose error is a text.
    pub fn broken(why: impl fmt::Display) -> Fault {
        Fault::Broken(why.to_string())
    }
}

/// What a run at one size gave.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// A value for each quantity of the series, in its order; `None` where this build cannot measure it.
    pub values: Vec<Option<f64>>,
    pub spreads: Vec<Spread>,
}

impl From<Vec<Option<f64>>> for Measured {
    fn from(values: Vec<Option<f64>>) -> Self {
        Measured { values, spreads: Vec::new() }
    }
}

/// Runs at one size with a seed.
pub type Run = fn(&Size, u64) -> Result<Measured, Fault>;

/// One thing that is run at a grid of sizes.
pub struct Series {
    pub level: Level,
    /// `n`, and `m` where there are two: each with the sizes that are run if none are told.
    pub axes: Vec<(Axis, Vec<u64>)>,
    /// Sizes that are run beside the grid of these.
    pub more: Vec<Size>,
    pub quantities: Vec<Quantity>,
    /// What figures are worked out for; the first is that of the users.
    pub targets: Vec<Target>,
    pub run: Run,
}

/// A figure that nothing was measured for.
pub struct Assumed {
    pub quantity: Quantity,
    pub targets: Vec<(&'static str, Size, f64)>,
    /// From where it is taken.
    pub from: &'static str,
}

/// A part of the fleet.
pub trait Role {
    /// Of the command line and of its file.
    fn name(&self) -> &'static str;
    fn about(&self) -> &'static str;
    /// What carries it today.
    fn mechanism(&self) -> Option<Mechanism>;
    /// Sizes beyond which the mechanism refuses or leaves out, a line each.
    fn bounds(&self) -> Vec<String> {
        Vec::new()
    }
    fn series(&self) -> Vec<Series>;
    fn assumed(&self) -> Vec<Assumed> {
        Vec::new()
    }
}

/// The fewest sizes along an axis, and the factor that they span at least: less is no slope.
pub const SIZES: usize = 4;
/// See [`SIZES`].
pub const SPAN: u64 = 16;

/// Why sizes along an axis make no slope, if they do not.
pub fn unfit(axis: Axis, sizes: &[u64]) -> Option<String> {
    let (least, most) = (sizes.iter().min().copied().unwrap_or(0), sizes.iter().max().copied().unwrap_or(0));
    let rising = sizes.windows(2).all(|w| w[0] < w[1]);
    match () {
        () if least == 0 => Some(format!("{axis}: sizes are numbers from 1")),
        () if !rising => Some(format!("{axis}: sizes must rise")),
        () if sizes.len() < SIZES => Some(format!("{axis}: at least {SIZES} sizes make a slope")),
        () if most < SPAN * least => Some(format!("{axis}: sizes must span a factor of {SPAN} or more")),
        () => None,
    }
}

impl Series {
    /// All its sizes: the grid, smallest first, the last axis turning fastest, and what is run beside it.
    pub fn sizes(&self) -> Vec<Size> {
        let mut sizes = self.grid();
        sizes.extend(self.more.iter().cloned());
        sizes
    }

    fn grid(&self) -> Vec<Size> {
        self.axes.iter().fold(vec![Size::default()], |sizes, (axis, values)| {
            let with = |size: Size| {
                values.iter().map(move |v| {
                    let mut size = size.clone();
                    size.0.insert(*axis, *v);
                    size
                })
            };
            sizes.into_iter().flat_map(with).collect()
        })
    }
}

#[cfg(test)]
mod tests;
