//! The messages between forwarders and planners. A message from a peer is validated once, by
//! [`Message::check`]; validated messages need no further checks of their numbers.
//!
//! Times are durations before the message was made, in us, because the two sides share no clock.

use crate::ids::{ForwarderId, Node, PlanNumber, Zone, ZoneSet};
use crate::moments::Moments;
use crate::{bounds, Micros};
use serde::{Deserialize, Serialize};

/// How an upstream request ended, in the order of [`NodeReport::ends`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered successfully.
    Served,
    /// Answered: the node does not have the key.
    Miss,
    /// Answered with an error.
    Error,
    /// Rejected by the node for lack of capacity.
    Full,
    /// No answer in time.
    Timeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by the forwarder.
    Cancelled,
}

/// Number of verdicts.
pub const VERDICT_COUNT: usize = 8;

impl Verdict {
    /// Whether the outcome proves that the node is alive.
    pub fn shows_life(self) -> bool {
        matches!(self, Verdict::Served | Verdict::Miss | Verdict::Error | Verdict::Full)
    }
}

/// A forwarder's observations of a node. Counts and moments cover the time since the last report that named
/// the node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: Node,
    /// The node's zone.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// Upstream requests sent.
    pub sends: u32,
    /// Ended requests, by verdict.
    pub ends: [u32; VERDICT_COUNT],
    /// Intervals between sends, in us.
    pub gaps: Moments,
    /// Response times, in us.
    pub service: Moments,
    /// Time since the last send.
    pub sent: Option<u32>,
    /// Time since the last sign of life.
    pub sign: Option<u32>,
    /// How long requests have been unanswered without a sign of life.
    pub quiet: Option<u32>,
    /// Number of unanswered requests, including cancelled ones.
    pub unanswered: u32,
    /// The last reported utilisation, and its age.
    pub load: Option<(f32, u32)>,
}

/// Requests of one tenant and class since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Index in the settings.
    pub tenant: u16,
    /// Index in the settings.
    pub class: u16,
    /// Requests received from clients.
    pub asked: u32,
    /// Requests served in time, and refused ones. The remaining ones failed, were late or are still pending.
    pub served: u32,
    /// See [`UsageReport::served`].
    pub refused: u32,
}

/// Fetches from the origin since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Requests that needed the origin, whether sent or not.
    pub asked: u32,
    /// Requests pending at the origin now.
    pub out: u32,
    /// Response times of the origin, in us.
    pub service: Moments,
}

/// A forwarder's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Increases by one; the first is 1.
    pub number: u64,
    /// The greatest plan number held from this planner.
    pub holds: PlanNumber,
    /// The [`Parts::version`] held from this planner.
    pub parts: PlanNumber,
    /// The revision of the forwarder's node list.
    pub list: u64,
    /// Number of ready nodes on the list.
    pub ready: u32,
    /// A bounded number of nodes; the others follow in later reports.
    pub nodes: Vec<NodeReport>,
    /// Pairs of tenant and class with any usage.
    pub uses: Vec<UsageReport>,
    /// See [`OriginReport`].
    #[serde(rename = "ledger")]
    pub origin: OriginReport,
}

/// A forwarder's first message on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The forwarder.
    pub forwarder: ForwarderId,
    /// Identifies the forwarder's start; reports are numbered within it. Compared only for equality.
    pub life: u64,
    /// The forwarder's zone.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// The plan held from this planner, from an earlier connection.
    pub holds: PlanNumber,
    /// Number of tenants in its settings.
    pub tenants: u16,
}

/// A node that a planner considers silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The node.
    pub node: Node,
    /// The zones for which it is silent.
    #[serde(rename = "halls")]
    pub zones: ZoneSet,
    /// How long it has been silent, and the number of forwarders that confirm it.
    pub since: u32,
    /// See [`Mark::since`].
    pub witnesses: u16,
}

/// A node that was suspected to be silent but is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// The node.
    pub node: Node,
    /// The zones for which it is alive.
    #[serde(rename = "halls")]
    pub zones: ZoneSet,
}

/// A zone from which another zone receives no answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cut {
    /// The zone that receives no answers,
    pub from: Zone,
    /// and the zone that it cannot reach.
    pub to: Zone,
}

/// The evidence on which a plan is based.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Number of forwarders with a recent report.
    pub forwarders: u16,
    /// Of these, the number that receive answers from any node.
    pub witnesses: u16,
    /// Whether the planner has run long enough to make statements.
    pub warm: bool,
    /// The receiver's start as known to the planner, and its last processed report; 0 means none.
    pub life: u64,
    /// See [`Evidence::life`].
    pub heard: u64,
}

/// A forwarder's parts of the shared budgets, each 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Parts {
    /// The plan that first contained these parts; the default means that none were assigned.
    pub version: PlanNumber,
    /// Part of each cold node's budget.
    pub cold: f32,
    /// Part of the concurrent requests at the origin.
    #[serde(rename = "ledger")]
    pub origin: f32,
    /// Part of each tenant's quota.
    pub tenants: Vec<f32>,
}

/// A plan as sent to one forwarder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// See [`PlanNumber`].
    pub number: PlanNumber,
    /// The greatest list revision that any forwarder reported.
    pub list: u64,
    /// See [`Evidence`].
    pub evidence: Evidence,
    /// Nodes to avoid.
    pub silent: Vec<Mark>,
    /// Suspected nodes that are alive.
    pub lives: Vec<Vouch>,
    /// Zones that are cut off.
    pub cuts: Vec<Cut>,
    /// The receiver's parts.
    pub parts: Parts,
}

/// The paper's queueing terms of a node, over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeTerms {
    /// The node.
    pub node: Node,
    /// Utilisation, below 1.
    pub rho: f32,
    /// E(S), in us.
    pub service: f32,
    /// C_A^2, aggregated by Eq. 1.
    pub arrival_scv: f32,
    /// C_S^2.
    pub service_scv: f32,
    /// The node's share by Eqs. 4 to 7 over the fleet.
    pub share: f32,
}

/// Terms of some nodes; the others follow in further messages.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The plan that the terms belong to.
    pub number: PlanNumber,
    /// See [`NodeTerms`].
    pub nodes: Vec<NodeTerms>,
}

/// A planner's view of a forwarder, for `plan show`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// The forwarder.
    pub forwarder: ForwarderId,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// Time since its last report.
    pub heard: u32,
    /// The plan that it holds.
    pub holds: PlanNumber,
    /// Its parts of the origin's and of cold nodes' budgets.
    #[serde(rename = "ledger")]
    pub origin: f32,
    /// See [`Known::origin`].
    pub cold: f32,
}

/// The current plan, for `plan show`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// The plan as forwarders receive it, without parts.
    pub plan: Plan,
    /// See [`NodeTerms`]; at most as many as fit a message.
    pub terms: Vec<NodeTerms>,
    /// See [`Known`]; at most as many as fit a message.
    pub forwarders: Vec<Known>,
}

/// A message; each is sent in a frame of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Forwarder to planner, first message.
    Hello(Hello),
    /// Forwarder to planner, several times per second.
    #[serde(rename = "Sight")]
    Report(Report),
    /// Forwarder to planner, last message before a planned shutdown.
    Bye,
    /// Planner to forwarder, several times per second.
    Plan(Plan),
    /// Planner to forwarder, about once per second.
    Terms(Terms),
    /// Any client to planner, instead of a hello: requests the current plan.
    Show,
    /// The answer to [`Message::Show`].
    Shown(Shown),
}

/// A duration as encoded on the wire: truncated to the greatest value that fits, at least 0.
pub fn span(from: Micros, to: Micros) -> u32 {
    u32::try_from(to.saturating_sub(from).max(0)).unwrap_or(bounds::SPAN)
}

fn is_fraction(x: f32) -> bool {
    (0.0..=1.0).contains(&x)
}

fn is_moment(x: f32) -> bool {
    (0.0..=1e12).contains(&x)
}

impl Parts {
    /// All parts in the order cold, origin, tenants.
    pub fn all(&self) -> impl Iterator<Item = f32> + '_ {
        [self.cold, self.origin].into_iter().chain(self.tenants.iter().copied())
    }
}

impl Message {
    /// Checks all counts and numbers against their bounds and names the first violation. The forwarder also
    /// validates a plan's content and may reject the plan without closing the connection.
    pub fn check(&self) -> Result<(), &'static str> {
        match self {
            Message::Hello(h) => {
                ensure(h.zone.0 < ZoneSet::MOST, "a hall beyond the most")?;
                ensure(h.holds.epoch <= bounds::EPOCH, "an epoch beyond reason")?;
                ensure(usize::from(h.tenants) <= bounds::TENANTS, "too many tenants")
            }
            Message::Report(s) => {
                ensure(s.nodes.len() <= bounds::NODES_PER_MESSAGE, "too many nodes")?;
                ensure(s.uses.len() <= bounds::USES, "too many uses")?;
                ensure(s.holds.epoch <= bounds::EPOCH, "an epoch beyond reason")?;
                ensure(s.nodes.iter().all(|n| n.zone.0 < ZoneSet::MOST), "a hall beyond the most")?;
                let loads = s.nodes.iter().filter_map(|n| n.load);
                ensure(loads.into_iter().all(|(rho, _)| (0.0..=16.0).contains(&rho)), "no utilisation")?;
                ensure(s.uses.iter().all(|u| usize::from(u.tenant) < bounds::TENANTS), "too many tenants")
            }
            Message::Plan(p) => p.check(),
            Message::Terms(t) => check_terms(&t.nodes),
            Message::Shown(s) => {
                ensure(s.forwarders.len() <= bounds::NODES_PER_MESSAGE, "too many forwarders")?;
                s.plan.check()?;
                check_terms(&s.terms)
            }
            Message::Bye | Message::Show => Ok(()),
        }
    }
}

impl Plan {
    fn check(&self) -> Result<(), &'static str> {
        ensure(self.silent.len() <= bounds::MARKS && self.lives.len() <= bounds::MARKS, "too many marks")?;
        ensure(self.cuts.len() <= bounds::CUTS, "too many halls cut off")?;
        ensure(self.parts.tenants.len() <= bounds::TENANTS, "too many tenants")?;
        ensure(self.number.epoch <= bounds::EPOCH, "an epoch beyond reason")?;
        ensure(self.parts.all().all(is_fraction), "parts that are none")
    }
}

fn check_terms(nodes: &[NodeTerms]) -> Result<(), &'static str> {
    ensure(nodes.len() <= bounds::NODES_PER_MESSAGE, "too many nodes")?;
    let valid = |t: &NodeTerms| {
        (0.0..1.0).contains(&t.rho)
            && [t.service, t.arrival_scv, t.service_scv].into_iter().all(is_moment)
            && is_fraction(t.share)
    };
    ensure(nodes.iter().all(valid), "terms that are none")
}

fn ensure(condition: bool, error: &'static str) -> Result<(), &'static str> {
    if condition {
        Ok(())
    } else {
        Err(error)
    }
}
