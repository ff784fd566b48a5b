//! What goes wrong, and when. Every fault has the same few fields, so that tools can move, shorten or drop one
//! without knowing its kind; [`FaultKind::reads`] says which of the others a kind uses.
//!
//! Two faults of one kind that strike the same thing at once do not add up: the one that begins last says how bad it
//! is, and the first end of one ends it. Cuts of halls, paydays, surges and crowds may overlap as they like.

use serde::{Deserialize, Serialize};

/// A fault of a scenario. Fields that its kind does not read must be absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// From the start of the run.
    pub at_s: f64,
    /// How long it lasts. For what happens once and stays (a drain, new nodes) the time over which it happens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub for_s: f64,
    /// How many nodes it strikes, drawn by the seed; or the part of them (of those that serve then). Of proxies too
    /// the part, of all of them: these go at once, unless `every_s` says otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Or this one, counted from 0 in the order of the groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<u32>,
    /// The hall it strikes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hall: Option<String>,
    /// The proxy it strikes, counted from 0; without it and `part`, all one after the other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proxy: Option<u32>,
    /// The tenant it comes from, by name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// How many times slower, or how many times the usual rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// The part of requests, answers or connections that it strikes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// From one node or proxy to the next, where they are struck one after the other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
    /// How long a node that is to go completes what it has; how long a process stays down.
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
    /// Nodes take work and answer nothing.
    Hang,
    /// Nodes run `times` slower.
    SlowNode,
    /// Nodes answer a part `rate` with errors.
    Errors,
    /// Nodes break a part `rate` of their answers: what comes cannot be read.
    Spoil,
    /// The processes of nodes die; connections break. They stay down for `down_s`, then start cold (same id).
    Crash,
    /// Nodes are drained for `down_s`, end and start cold under the same id, one every `every_s`.
    Restart,
    /// As a restart, but what comes back at the address is another machine with another id.
    Replace,
    /// Machines vanish without a word and stay away.
    Vanish,
    /// Nodes are drained, complete what they have within `down_s`, and go for good.
    Drain,
    /// A `part` of the fleet is drained over `for_s`, and traffic falls as much.
    Shrink,
    /// New nodes of the first group's kind, `nodes` of them over `for_s`.
    Grow,
    /// Nodes lose all that they keep.
    Forget,
    /// One hall is cut off from the others; connections across stay open and silent.
    HallCut,
    /// A part `rate` of the attempts has its connection broken under way.
    BreakConnections,
    /// The ledger runs `times` slower.
    SlowLedger,
    /// The ledger stops: it refuses connections, and what was out there is lost.
    StopLedger,
    /// Discovery tells nothing.
    SilentDiscovery,
    /// Proxies are told to end, complete what they have and start anew after `down_s`, one every `every_s`.
    ProxyRestart,
    /// Proxies die and start anew after `down_s`.
    ProxyCrash,
    /// Traffic is `times` the usual.
    Payday,
    /// A part `rate` of the reads go to a handful of keys.
    Crowd,
    /// One tenant sends `times` the usual.
    Surge,
}

/// What a kind reads of a fault's fields, and needs of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reads {
    /// One of `node`, `nodes` and `part`.
    pub nodes: bool,
    pub hall: bool,
    /// One of `proxy` and `part`, or neither.
    pub proxy: bool,
    pub tenant: bool,
    pub times: bool,
    pub rate: bool,
    pub every_s: bool,
    pub down_s: bool,
    /// It lasts: `for_s` must be more than 0.
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

    /// As a scenario writes it.
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
