//! The words between forwarders and planners. A message that comes from outside is checked once, here; what
//! passed needs no more care than its numbers say.
//!
//! Times are spans before the message was made, in us: the two sides share no clock.

use crate::ids::{ForwarderId, Node, PlanNumber, Zone, ZoneSet};
use crate::moments::Moments;
use crate::{bounds, Micros};
use serde::{Deserialize, Serialize};

/// How an upstream request ended. The order is that of [`NodeReport::ends`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered.
    Served,
    /// Answered: the node lacks the key.
    Miss,
    /// Answered with an error.
    Error,
    /// Turned away.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Given up by the forwarder.
    Cancelled,
}

/// How many verdicts there are.
pub const VERDICT_COUNT: usize = 8;

impl Verdict {
    /// Whether the node said something: it lives.
    pub fn shows_life(self) -> bool {
        matches!(self, Verdict::Served | Verdict::Miss | Verdict::Error | Verdict::Full)
    }
}

/// What a forwarder saw of a node. Counts and moments are of the time since the last report that named it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Which.
    pub node: Node,
    /// The zone it stands in.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// Upstream requests sent.
    pub sends: u32,
    /// How those that ended did, by verdict.
    pub ends: [u32; VERDICT_COUNT],
    /// Gaps between sends, in us.
    pub gaps: Moments,
    /// Times of answers, in us.
    pub service: Moments,
    /// The last send.
    pub sent: Option<u32>,
    /// The last sign of life.
    pub sign: Option<u32>,
    /// Since when something is unanswered without a sign of life.
    pub quiet: Option<u32>,
    /// How many are, those given up among them.
    pub unanswered: u32,
    /// The utilisation that it last reported, and when.
    pub load: Option<(f32, u32)>,
}

/// A tenant's requests of a class since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Position in the settings.
    pub tenant: u16,
    /// Position in the settings.
    pub class: u16,
    /// Taken from clients.
    pub asked: u32,
    /// Served in time, refused; the rest failed, came late or is out.
    pub served: u32,
    /// See [`UsageReport::served`].
    pub refused: u32,
}

/// The origin's side: fetches since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Requests for it that came up, sent or not.
    pub asked: u32,
    /// Out there now.
    pub out: u32,
    /// Times of its answers, in us.
    pub service: Moments,
}

/// What a forwarder tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Grows by one; its first is 1.
    pub number: u64,
    /// The greatest plan that it holds of this planner.
    pub holds: PlanNumber,
    /// The [`Parts::version`] that it holds of this planner.
    pub parts: PlanNumber,
    /// The revision of its list.
    pub list: u64,
    /// Ready nodes on it.
    pub ready: u32,
    /// Bounded; what does not fit comes later.
    pub nodes: Vec<NodeReport>,
    /// Those with any use.
    pub uses: Vec<UsageReport>,
    /// See [`OriginReport`].
    #[serde(rename = "ledger")]
    pub origin: OriginReport,
}

/// A forwarder's first message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Who.
    pub forwarder: ForwarderId,
    /// Its start; reports are numbered within it. Only equality has a meaning.
    pub life: u64,
    /// Where it stands.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// What it holds of this planner, from an earlier connection.
    pub holds: PlanNumber,
    /// How many tenants its settings name.
    pub tenants: u16,
}

/// A node that a planner takes for silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Which.
    pub node: Node,
    /// For whom.
    #[serde(rename = "halls")]
    pub zones: ZoneSet,
    /// Since when, and how many forwarders bear witness.
    pub since: u32,
    /// See [`Mark::since`].
    pub witnesses: u16,
}

/// A node of which somebody thought ill and that lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// Which.
    pub node: Node,
    /// For whom.
    #[serde(rename = "halls")]
    pub zones: ZoneSet,
}

/// A zone of which another hears nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cut {
    /// Who hears nothing,
    pub from: Zone,
    /// of whom.
    pub to: Zone,
}

/// What a plan rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Forwarders heard lately.
    pub forwarders: u16,
    /// Of them, those that hear any node.
    pub witnesses: u16,
    /// Whether the planner has run long enough to have an opinion.
    pub warm: bool,
    /// The start of the receiver that the planner knows, and its last report that went in; 0 is none.
    pub life: u64,
    /// See [`Evidence::life`].
    pub heard: u64,
}

/// A forwarder's parts of the whole, each 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Parts {
    /// The plan that first had them; the default is none given.
    pub version: PlanNumber,
    /// Of each cold node's budget.
    pub cold: f32,
    /// Of what may be out at the origin.
    #[serde(rename = "ledger")]
    pub origin: f32,
    /// Of each tenant's quota.
    pub tenants: Vec<f32>,
}

/// A plan, as one forwarder gets it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// See [`PlanNumber`].
    pub number: PlanNumber,
    /// The greatest revision of the list that any forwarder told.
    pub list: u64,
    /// See [`Evidence`].
    pub evidence: Evidence,
    /// Nodes to avoid.
    pub silent: Vec<Mark>,
    /// Nodes that live after all.
    pub lives: Vec<Vouch>,
    /// Zones cut off.
    pub cuts: Vec<Cut>,
    /// The receiver's.
    pub parts: Parts,
}

/// A node's terms of the paper, for the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeTerms {
    /// Which.
    pub node: Node,
    /// Utilisation, below 1.
    pub rho: f32,
    /// E(S), in us.
    pub service: f32,
    /// C_A^2, joined by Eq. 1.
    pub arrival_scv: f32,
    /// C_S^2.
    pub service_scv: f32,
    /// The share of Eqs. 4 to 7 over the fleet.
    pub share: f32,
}

/// Terms of some nodes; the rest come in further messages.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The plan that they belong to.
    pub number: PlanNumber,
    /// See [`NodeTerms`].
    pub nodes: Vec<NodeTerms>,
}

/// A planner's view of a forwarder, for `plan show`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// Who.
    pub forwarder: ForwarderId,
    /// Where.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// Since its last report.
    pub heard: u32,
    /// What it holds.
    pub holds: PlanNumber,
    /// Its part of the origin and of cold nodes.
    #[serde(rename = "ledger")]
    pub origin: f32,
    /// See [`Known::origin`].
    pub cold: f32,
}

/// The plan as it stands, for `plan show`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// As forwarders get it, without parts.
    pub plan: Plan,
    /// See [`NodeTerms`]; at most a message of them.
    pub terms: Vec<NodeTerms>,
    /// See [`Known`]; at most a message of them.
    pub forwarders: Vec<Known>,
}

/// One message, one frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Forwarder to planner, first.
    Hello(Hello),
    /// Forwarder to planner, a few times a second.
    #[serde(rename = "Sight")]
    Report(Report),
    /// Forwarder to planner, last: a planned end.
    Bye,
    /// Planner to forwarder, a few times a second.
    Plan(Plan),
    /// Planner to forwarder, about once a second.
    Terms(Terms),
    /// Anyone to planner, instead of a hello: what stands?
    Show,
    /// The answer.
    Shown(Shown),
}

/// A span as it goes on the wire: cut to what fits, none below 0.
pub fn span(from: Micros, to: Micros) -> u32 {
    u32::try_from(to.saturating_sub(from).max(0)).unwrap_or(bounds::SPAN)
}

fn part(x: f32) -> bool {
    (0.0..=1.0).contains(&x)
}

fn positive(x: f32) -> bool {
    (0.0..=1e12).contains(&x)
}

impl Parts {
    /// Cold, origin, then tenants.
    pub fn all(&self) -> impl Iterator<Item = f32> + '_ {
        [self.cold, self.origin].into_iter().chain(self.tenants.iter().copied())
    }
}

impl Message {
    /// Whether every count and figure is within its bounds; else what is not. A plan is also judged by what
    /// it says: that is for the forwarder, which may refuse one and go on.
    pub fn check(&self) -> Result<(), &'static str> {
        match self {
            Message::Hello(h) => {
                rule(h.zone.0 < ZoneSet::MOST, "a hall beyond the most")?;
                rule(h.holds.epoch <= bounds::EPOCH, "an epoch beyond reason")?;
                rule(usize::from(h.tenants) <= bounds::TENANTS, "too many tenants")
            }
            Message::Report(s) => {
                rule(s.nodes.len() <= bounds::NODES_PER_MESSAGE, "too many nodes")?;
                rule(s.uses.len() <= bounds::USES, "too many uses")?;
                rule(s.holds.epoch <= bounds::EPOCH, "an epoch beyond reason")?;
                rule(s.nodes.iter().all(|n| n.zone.0 < ZoneSet::MOST), "a hall beyond the most")?;
                let loads = s.nodes.iter().filter_map(|n| n.load);
                rule(loads.into_iter().all(|(rho, _)| (0.0..=16.0).contains(&rho)), "no utilisation")?;
                rule(s.uses.iter().all(|u| usize::from(u.tenant) < bounds::TENANTS), "too many tenants")
            }
            Message::Plan(p) => p.check(),
            Message::Terms(t) => terms(&t.nodes),
            Message::Shown(s) => {
                rule(s.forwarders.len() <= bounds::NODES_PER_MESSAGE, "too many forwarders")?;
                s.plan.check()?;
                terms(&s.terms)
            }
            Message::Bye | Message::Show => Ok(()),
        }
    }
}

impl Plan {
    fn check(&self) -> Result<(), &'static str> {
        rule(self.silent.len() <= bounds::MARKS && self.lives.len() <= bounds::MARKS, "too many marks")?;
        rule(self.cuts.len() <= bounds::CUTS, "too many halls cut off")?;
        rule(self.parts.tenants.len() <= bounds::TENANTS, "too many tenants")?;
        rule(self.number.epoch <= bounds::EPOCH, "an epoch beyond reason")?;
        rule(self.parts.all().all(part), "parts that are none")
    }
}

fn terms(nodes: &[NodeTerms]) -> Result<(), &'static str> {
    rule(nodes.len() <= bounds::NODES_PER_MESSAGE, "too many nodes")?;
    let sane = |t: &NodeTerms| {
        (0.0..1.0).contains(&t.rho)
            && [t.service, t.arrival_scv, t.service_scv].into_iter().all(positive)
            && part(t.share)
    };
    rule(nodes.iter().all(sane), "terms that are none")
}

fn rule(holds: bool, else_what: &'static str) -> Result<(), &'static str> {
    if holds {
        Ok(())
    } else {
        Err(else_what)
    }
}
