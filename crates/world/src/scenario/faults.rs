//! Faults and when they happen. All faults have the same few fields, so that tools can move, shorten or
//! remove one without knowing its kind; [`FaultKind::reads`] says which fields a kind uses.
//!
//! Two faults of the same kind that affect the same target at once do not add up: the one that begins last
//! sets the severity, and the first end of either ends it. Cuts of zones, paydays, surges and crowds may
//! overlap freely.

use serde::{Deserialize, Serialize};

/// A fault of a scenario. Fields that its kind does not use must be absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// Its duration. For faults without an end (a drain, new nodes) the time over which it happens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub for_s: f64,
    /// The number of affected nodes, chosen at random by the seed; or the part of the nodes that serve at
    /// that moment. For proxies only `part` applies, to all proxies: these are affected at once, unless
    /// `every_s` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Or this one node, counted from 0 in the order of the groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<u32>,
    /// The affected zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hall: Option<String>,
    /// The affected proxy, counted from 0. Without it and without `part`, all proxies one after the other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proxy: Option<u32>,
    /// The name of the tenant that sends more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// The factor by which it is slower, or by which the rate grows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// The affected part of the requests, answers or connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Interval between one node or proxy and the next, if they are affected one after the other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
    /// How long a node that is to end may complete what it has, or how long a process stays down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down_s: Option<f64>,
}

fn is_zero(x: &f64) -> bool {
    *x == 0.0
}

impl Fault {
    pub fn new(kind: FaultKind, at_s: f64, for_s: f64) -> Self {
        Fault {
            kind,
            at_s,
            for_s,
            nodes: None,
            part: None,
            node: None,
            hall: None,
            proxy: None,
            tenant: None,
            times: None,
            rate: None,
            every_s: None,
            down_s: None,
        }
    }
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nodes accept requests and answer none.
    Hang,
    /// Nodes run `times` slower.
    SlowNode,
    /// Nodes answer a part `rate` with errors.
    Errors,
    /// Nodes corrupt a part `rate` of their answers: they cannot be parsed.
    Spoil,
    /// The processes of nodes die and connections break. They stay down for `down_s`, then start cold (same
    /// id).
    Crash,
    /// Nodes are drained for `down_s`, end and start cold with the same id, one every `every_s`.
    Restart,
    /// Like a restart, but the address is taken over by another machine with another id.
    Replace,
    /// Machines disappear without notice and do not come back.
    Vanish,
    /// Nodes are drained, complete what they have within `down_s`, and are removed for good.
    Drain,
    /// A `part` of the fleet is drained over `for_s`, and traffic falls by the same part.
    Shrink,
    /// `nodes` new nodes of the first group's kind start over `for_s`.
    Grow,
    /// Nodes lose everything in their stores.
    Forget,
    /// One zone is cut off from the others; connections across stay open and silent.
    HallCut,
    /// A part `rate` of the attempts has its connection broken while in use.
    BreakConnections,
    /// The origin runs `times` slower.
    SlowLedger,
    /// The origin stops: it refuses connections, and requests in flight are lost.
    StopLedger,
    /// Discovery delivers no updates.
    SilentDiscovery,
    /// Proxies are told to shut down, complete what they have and start again after `down_s`, one every
    /// `every_s`.
    ProxyRestart,
    /// Proxies die and start again after `down_s`.
    ProxyCrash,
    /// Traffic is `times` the usual.
    Payday,
    /// A part `rate` of the reads goes to a handful of keys.
    Crowd,
    /// One tenant sends `times` its usual traffic.
    Surge,
}

/// The fields of a fault that a kind uses or requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reads {
    /// Exactly one of `node`, `nodes` and `part`.
    pub nodes: bool,
    pub hall: bool,
    /// One of `proxy` and `part`, or neither.
    pub proxy: bool,
    pub tenant: bool,
    pub times: bool,
    pub rate: bool,
    pub every_s: bool,
    pub down_s: bool,
    /// It has a duration: `for_s` must be more than 0.
    pub lasts: bool,
}

impl FaultKind {
    pub const ALL: [FaultKind; 22] = [
        FaultKind::Hang,
        FaultKind::SlowNode,
        FaultKind::Errors,
        FaultKind::Spoil,
        FaultKind::Crash,
        FaultKind::Restart,
        FaultKind::Replace,
        FaultKind::Vanish,
        FaultKind::Drain,
        FaultKind::Shrink,
        FaultKind::Grow,
        FaultKind::Forget,
        FaultKind::HallCut,
        FaultKind::BreakConnections,
        FaultKind::SlowLedger,
        FaultKind::StopLedger,
        FaultKind::SilentDiscovery,
        FaultKind::ProxyRestart,
        FaultKind::ProxyCrash,
        FaultKind::Payday,
        FaultKind::Crowd,
        FaultKind::Surge,
    ];

    pub fn reads(self) -> Reads {
        let none = Reads::default();
        let at_nodes = Reads { nodes: true, ..none };
        match self {
            FaultKind::Hang => Reads { lasts: true, ..at_nodes },
            FaultKind::SlowNode => Reads { lasts: true, times: true, ..at_nodes },
            FaultKind::Errors | FaultKind::Spoil => Reads { lasts: true, rate: true, ..at_nodes },
            FaultKind::Crash => Reads { down_s: true, ..at_nodes },
            FaultKind::Restart | FaultKind::Replace => Reads { down_s: true, every_s: true, ..at_nodes },
            FaultKind::Drain | FaultKind::Shrink => Reads { down_s: true, ..at_nodes },
            FaultKind::Vanish | FaultKind::Grow | FaultKind::Forget => at_nodes,
            FaultKind::HallCut => Reads { lasts: true, hall: true, ..none },
            FaultKind::BreakConnections => Reads { lasts: true, rate: true, ..none },
            FaultKind::SlowLedger => Reads { lasts: true, times: true, ..none },
            FaultKind::StopLedger | FaultKind::SilentDiscovery => Reads { lasts: true, ..none },
            FaultKind::ProxyRestart => Reads { proxy: true, down_s: true, every_s: true, ..none },
            FaultKind::ProxyCrash => Reads { proxy: true, down_s: true, every_s: true, ..none },
            FaultKind::Payday => Reads { lasts: true, times: true, ..none },
            FaultKind::Crowd => Reads { lasts: true, rate: true, ..none },
            FaultKind::Surge => Reads { lasts: true, times: true, tenant: true, ..none },
        }
    }

    /// The name used in scenario files.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Hang => "hang",
            FaultKind::SlowNode => "slow_node",
            FaultKind::Errors => "errors",
            FaultKind::Spoil => "spoil",
            FaultKind::Crash => "crash",
            FaultKind::Restart => "restart",
            FaultKind::Replace => "replace",
            FaultKind::Vanish => "vanish",
            FaultKind::Drain => "drain",
            FaultKind::Shrink => "shrink",
            FaultKind::Grow => "grow",
            FaultKind::Forget => "forget",
            FaultKind::HallCut => "hall_cut",
            FaultKind::BreakConnections => "break_connections",
            FaultKind::SlowLedger => "slow_ledger",
            FaultKind::StopLedger => "stop_ledger",
            FaultKind::SilentDiscovery => "silent_discovery",
            FaultKind::ProxyRestart => "proxy_restart",
            FaultKind::ProxyCrash => "proxy_crash",
            FaultKind::Payday => "payday",
            FaultKind::Crowd => "crowd",
            FaultKind::Surge => "surge",
        }
    }
}
