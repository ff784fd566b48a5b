//! Faults of a fleet and their times. All kinds of fault share one struct, so that tools can move, shorten or
//! drop a fault without knowing its kind; [`Kind::reads`] lists the optional fields that a kind uses.
//! [`crate::scenario::Fault`] is the counterpart for simulated worlds.
//!
//! Faults on the same link are combined: a message dropped by one of them is not delivered by another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A fault of a schedule. Fields that its kind does not use must be absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// Start, counted from when all processes are ready and clients have started.
    pub at_s: f64,
    /// Duration.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub for_s: f64,
    /// For links: the senders; `to` selects the receivers. `both` adds the opposite direction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Select>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<Select>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub both: bool,
    /// For links: a pattern used instead of `from` and `to`; always in both directions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between: Option<Pattern>,
    /// For processes and nodes: the members affected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub who: Option<Select>,
    /// Fraction of messages affected, from 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Fixed delay; `jitter_ms` is the upper bound of an additional, uniformly distributed delay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jitter_ms: Option<f64>,
    /// One message in `tail_one_in` is delayed by a further `tail_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tail_one_in: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tail_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bytes_per_s: Option<u64>,
    /// How long a process stays down before it is started again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down_s: Option<f64>,
    /// Interval between processes that are affected one after the other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
}

fn is_zero(x: &f64) -> bool {
    *x == 0.0
}

impl Fault {
    pub fn new(kind: Kind, at_s: f64, for_s: f64) -> Self {
        Fault {
            kind,
            at_s,
            for_s,
            from: None,
            to: None,
            both: false,
            between: None,
            who: None,
            rate: None,
            ms: None,
            jitter_ms: None,
            tail_one_in: None,
            tail_ms: None,
            bytes_per_s: None,
            down_s: None,
            every_s: None,
        }
    }

    /// Seconds from the start of the run to the end of the fault, given the number of affected members.
    pub fn ends_s(&self, affected: usize) -> f64 {
        let reads = self.kind.reads();
        let each = if reads.every_s { self.every_s.unwrap_or(0.0) } else { 0.0 };
        let last = each * affected.saturating_sub(1) as f64;
        let down = if reads.down_s { self.down_s.unwrap_or(0.0) } else { 0.0 };
        self.at_s + self.for_s + last + down
    }
}

/// Formats a fault as in `cut at 3.2 s for 1.5 s (from=role:planner, to=all)`.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} s", self.kind.name(), self.at_s)?;
        if self.for_s > 0.0 {
            write!(f, " for {} s", self.for_s)?;
        }
        let text = |x: Option<&dyn fmt::Display>| x.map(ToString::to_string);
        let fields = [
            ("from", text(self.from.as_ref().map(|x| x as &dyn fmt::Display))),
            ("to", text(self.to.as_ref().map(|x| x as &dyn fmt::Display))),
            ("between", text(self.between.as_ref().map(|x| x as &dyn fmt::Display))),
            ("who", text(self.who.as_ref().map(|x| x as &dyn fmt::Display))),
            ("both", self.both.then(|| "true".to_owned())),
            ("rate", text(self.rate.as_ref().map(|x| x as &dyn fmt::Display))),
            ("ms", text(self.ms.as_ref().map(|x| x as &dyn fmt::Display))),
            ("jitter_ms", text(self.jitter_ms.as_ref().map(|x| x as &dyn fmt::Display))),
            ("tail_one_in", text(self.tail_one_in.as_ref().map(|x| x as &dyn fmt::Display))),
            ("tail_ms", text(self.tail_ms.as_ref().map(|x| x as &dyn fmt::Display))),
            ("bytes_per_s", text(self.bytes_per_s.as_ref().map(|x| x as &dyn fmt::Display))),
            ("down_s", text(self.down_s.as_ref().map(|x| x as &dyn fmt::Display))),
            ("every_s", text(self.every_s.as_ref().map(|x| x as &dyn fmt::Display))),
        ];
        let fields = fields.iter().filter_map(|(name, v)| v.as_ref().map(|v| format!("{name}={v}")));
        let fields: Vec<String> = fields.collect();
        if !fields.is_empty() {
            write!(f, " ({})", fields.join(", "))?;
        }
        Ok(())
    }
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nothing is delivered; connections stay open but idle.
    Cut,
    /// A fraction `rate` of packets is lost: datagrams for good, segments of a connection are retransmitted.
    Lose,
    /// Messages are delayed by `ms` plus up to `jitter_ms`; one in `tail_one_in` by a further `tail_ms`.
    Delay,
    /// A fraction `rate` of datagrams is delivered twice.
    Duplicate,
    /// A fraction `rate` of datagrams is overtaken by later ones.
    Reorder,
    /// The link carries at most `bytes_per_s`.
    Limit,
    /// Connections stay open but nobody reads from them, so buffers fill up.
    Stall,
    /// Established connections are reset, once.
    Reset,
    /// New connections are refused.
    Refuse,
    /// One byte is changed in a fraction `rate` of messages.
    Garble,
    /// Processes are terminated (SIGTERM) and started again after `down_s`.
    Terminate,
    /// Processes are killed (SIGKILL) and not started again.
    Kill,
    /// Processes are paused (SIGSTOP) for `for_s`.
    Pause,
    /// Processes are killed and started again after `down_s` with their data directory intact.
    Restart,
    /// Machines are lost with their disks; after `down_s` replacements with the same names start with empty
    /// directories.
    LoseMachine,
    /// Processes are killed and immediately started again with empty directories.
    Empty,
    /// A second process with the same name runs beside the first for `for_s`.
    Twin,
    /// Processes are killed and all started again after `down_s`, within a second of each other.
    StartHalf,
    /// Rolling restart: processes are terminated in turn, one every `every_s`, and started again after
    /// `down_s`. Those that ran the older version come back with the newer one.
    Roll,
    /// Processes are restarted with a limit that keeps files from growing, and later restarted without it.
    DiskFull,
    /// A file of each process is truncated while the process is down for `down_s`.
    DiskCut,
    /// A byte in a file of each process is changed while the process is down for `down_s`.
    DiskRot,
    /// Simulated nodes accept requests but do not answer for `for_s`.
    Hang,
    /// Simulated nodes close their connections and refuse new ones for `for_s`.
    Crash,
}

/// What a kind of fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    Links,
    Processes,
    Nodes,
}

/// The optional fields of a fault that a kind uses and requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reads {
    pub target: FaultTarget,
    pub rate: bool,
    /// `ms`, `jitter_ms`, `tail_one_in`, `tail_ms`.
    pub delay: bool,
    pub bytes_per_s: bool,
    pub down_s: bool,
    pub every_s: bool,
    /// Whether the fault has a duration: if so, `for_s` must be greater than 0, otherwise it must be 0.
    pub lasts: bool,
}

impl Kind {
    pub const ALL: [Kind; 24] = [
        Kind::Cut,
        Kind::Lose,
        Kind::Delay,
        Kind::Duplicate,
        Kind::Reorder,
        Kind::Limit,
        Kind::Stall,
        Kind::Reset,
        Kind::Refuse,
        Kind::Garble,
        Kind::Terminate,
        Kind::Kill,
        Kind::Pause,
        Kind::Restart,
        Kind::LoseMachine,
        Kind::Empty,
        Kind::Twin,
        Kind::StartHalf,
        Kind::Roll,
        Kind::DiskFull,
        Kind::DiskCut,
        Kind::DiskRot,
        Kind::Hang,
        Kind::Crash,
    ];

    pub fn reads(self) -> Reads {
        let none = Reads {
            target: FaultTarget::Links,
            rate: false,
            delay: false,
            bytes_per_s: false,
            down_s: false,
            every_s: false,
            lasts: true,
        };
        let process = Reads { target: FaultTarget::Processes, lasts: false, ..none };
        let down = Reads { down_s: true, ..process };
        match self {
            Kind::Cut | Kind::Stall | Kind::Refuse => none,
            Kind::Lose | Kind::Duplicate | Kind::Reorder | Kind::Garble => Reads { rate: true, ..none },
            Kind::Delay => Reads { delay: true, ..none },
            Kind::Limit => Reads { bytes_per_s: true, ..none },
            Kind::Reset => Reads { lasts: false, ..none },
            Kind::Kill | Kind::Empty => process,
            Kind::Pause | Kind::Twin => Reads { lasts: true, ..process },
            Kind::Terminate | Kind::Restart | Kind::LoseMachine | Kind::StartHalf => down,
            Kind::DiskCut | Kind::DiskRot => down,
            Kind::Roll => Reads { every_s: true, ..down },
            Kind::DiskFull => Reads { lasts: true, ..process },
            Kind::Hang | Kind::Crash => Reads { target: FaultTarget::Nodes, ..none },
        }
    }

    /// The name used in schedule files.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Cut => "cut",
            Kind::Lose => "lose",
            Kind::Delay => "delay",
            Kind::Duplicate => "duplicate",
            Kind::Reorder => "reorder",
            Kind::Limit => "limit",
            Kind::Stall => "stall",
            Kind::Reset => "reset",
            Kind::Refuse => "refuse",
            Kind::Garble => "garble",
            Kind::Terminate => "terminate",
            Kind::Kill => "kill",
            Kind::Pause => "pause",
            Kind::Restart => "restart",
            Kind::LoseMachine => "lose_machine",
            Kind::Empty => "empty",
            Kind::Twin => "twin",
            Kind::StartHalf => "start_half",
            Kind::Roll => "roll",
            Kind::DiskFull => "disk_full",
            Kind::DiskCut => "disk_cut",
            Kind::DiskRot => "disk_rot",
            Kind::Hang => "hang",
            Kind::Crash => "crash",
        }
    }
}

/// Selector for members of a fleet: `all`, a name such as `f3`, `role:planner`, `hall:hofdi`, or `share:0.1`,
/// a random fraction (at least one member). Terms are joined by `+`; `share:` applies to the terms before it:
/// `role:forwarder+share:0.5` selects half of the forwarders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Select(String);

/// Pattern of affected links. `halls`: all links between different halls. `pairs:0.33`: a random third of the
/// pairs. `ring`: all links except those between neighbours when members are arranged in a ring by name.
/// `bridge:p0`: links between two halves that share only this member. `alone:f1`: links between this member
/// and all others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Pattern(String);

/// One term of a [`Select`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Term<'a> {
    All,
    Name(&'a str),
    Role(Role),
    Hall(&'a str),
    Share(f64),
}

/// A parsed [`Pattern`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Shape<'a> {
    Halls,
    Pairs(f64),
    Ring,
    Bridge(&'a str),
    Alone(&'a str),
}

/// The role of a member of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Planner,
    Forwarder,
    /// A simulated cache node, which has no process of its own.
    Node,
}

impl Role {
    pub fn name(self) -> &'static str {
        match self {
            Role::Planner => "planner",
            Role::Forwarder => "forwarder",
            Role::Node => "node",
        }
    }
}

/// Maximum length of a selector or pattern, in bytes or characters respectively.
const MAX_SELECTOR_LEN: usize = 200;
const SELECT_USAGE: &str =
    "expected all, a name like f3, role:planner, role:forwarder, role:node, hall:NAME or share:0.1";
const PATTERN_USAGE: &str = "expected halls, pairs:0.33, ring, bridge:NAME or alone:NAME";

fn is_plain_name(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
}

fn parse_share(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| *x > 0.0 && *x <= 1.0)
}

fn parse_term(term: &str) -> Option<Term<'_>> {
    match term.split_once(':') {
        None if term == "all" => Some(Term::All),
        None => is_plain_name(term).then_some(Term::Name(term)),
        Some(("role", "planner")) => Some(Term::Role(Role::Planner)),
        Some(("role", "forwarder")) => Some(Term::Role(Role::Forwarder)),
        Some(("role", "node")) => Some(Term::Role(Role::Node)),
        Some(("hall", name)) => is_plain_name(name).then_some(Term::Hall(name)),
        Some(("share", x)) => parse_share(x).map(Term::Share),
        Some(_) => None,
    }
}

impl Select {
    pub(super) fn parts(&self) -> impl Iterator<Item = Term<'_>> {
        self.0.split('+').filter_map(parse_term)
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Pattern {
    pub(super) fn shape(&self) -> Option<Shape<'_>> {
        match self.0.split_once(':') {
            None if self.0 == "halls" => Some(Shape::Halls),
            None if self.0 == "ring" => Some(Shape::Ring),
            None => None,
            Some(("pairs", x)) => parse_share(x).map(Shape::Pairs),
            Some(("bridge", name)) => is_plain_name(name).then_some(Shape::Bridge(name)),
            Some(("alone", name)) => is_plain_name(name).then_some(Shape::Alone(name)),
            Some(_) => None,
        }
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Select {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid =
            text.len() <= MAX_SELECTOR_LEN && text.split('+').all(|term| parse_term(term).is_some());
        if is_valid {
            Ok(Select(text.to_owned()))
        } else {
            Err(SELECT_USAGE)
        }
    }
}

impl FromStr for Pattern {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let pattern = Pattern(text.chars().take(MAX_SELECTOR_LEN).collect());
        if pattern.shape().is_some() {
            Ok(pattern)
        } else {
            Err(PATTERN_USAGE)
        }
    }
}

macro_rules! impl_string_conversions {
    ($type:ty) => {
        impl TryFrom<String> for $type {
            type Error = &'static str;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(term: $type) -> String {
                term.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

impl_string_conversions!(Select);
impl_string_conversions!(Pattern);

#[cfg(test)]
mod tests;
