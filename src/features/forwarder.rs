//! Reports observations about nodes to the planners, and passes the merged plan to the decision module as an
//! event. This module owns the [`plan::Forwarder`] of this proxy and the names of its nodes. It has no
//! sockets and no clock, so that it also runs in virtual time. It is only used if the feature file has
//! `planner` lines.
//!
//! Pass it [`NodeEvent`]s, [`Record`]s and the messages and state changes of connections, call
//! [`ForwarderDriver::tick`] at [`ForwarderDriver::next`], and execute the returned [`HostAction`]s.

use crate::codec::discovery;
use crate::core::{NodeEvent, Record, StreamOutcome};
use crate::interface::{
    self, KindId, ListForm, Member, Micros, Phase, PlannedTerms, ServerId, Settings as Site, Verdict,
};
use limits::origin;
use plan::forwarder::{Config, Output};
use plan::merge::MarkTarget;
use plan::observations::Listed;
use plan::{Forwarder, ForwarderId, Message, Node, Rules, Zone, ZoneSet};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// In the order of their lines; the index is the planner's slot.
    pub planners: Vec<SocketAddr>,
    /// Maximum number of forwarders at a time; defaults to the number of proxies in the configuration.
    pub forwarders: Option<u32>,
}

/// The rules that the planners and forwarders of a site share.
pub fn rules(forwarders: Option<u32>, site: &Site) -> Rules {
    Rules { forwarders: forwarders.unwrap_or(site.routers).max(1), ..Rules::default() }
}

/// An action for the host to execute.
#[derive(Debug)]
pub enum HostAction {
    /// Connect to the planner of this slot.
    Dial(usize),
    Send(usize, Message),
    /// Close the connection of this slot.
    Close(usize),
    /// Pass the plan to the decision module.
    Plan(interface::Plan),
}

/// Drives the forwarder, see the module documentation.
#[derive(Debug)]
pub struct ForwarderDriver {
    forwarder: Forwarder,
    planners: Vec<SocketAddr>,
    members: BTreeMap<ServerId, (Member, Rc<str>)>,
    nodes: BTreeMap<ServerId, Node>,
    origins: BTreeSet<ServerId>,
    origin_kind: Option<KindId>,
    /// By class.
    target_latencies: Vec<Micros>,
    even_share: f64,
    out: Vec<Output>,
    /// The plan that was passed to the module last, and the marks in force that were logged last.
    last_plan: interface::Plan,
    in_force: BTreeSet<MarkTarget>,
    /// Slots whose failure has been logged.
    unreachable: BTreeSet<usize>,
}

/// Maps a zone to the zones that plans distinguish; zones beyond their number share the last one.
fn zone_of(zone: interface::ZoneId) -> Zone {
    Zone(zone.0.min(u16::from(ZoneSet::MOST - 1)) as u8)
}

fn verdict(verdict: Verdict) -> plan::message::Verdict {
    use plan::message::Verdict as PlanVerdict;
    match verdict {
        Verdict::Served => PlanVerdict::Served,
        Verdict::Miss => PlanVerdict::Miss,
        Verdict::Error => PlanVerdict::Error,
        Verdict::Full => PlanVerdict::Full,
        Verdict::Timeout => PlanVerdict::Timeout,
        // An attempt that never got a connection also tells nothing about the node's answers.
        Verdict::ConnectFailed | Verdict::Moot => PlanVerdict::ConnectFailed,
        Verdict::Reset => PlanVerdict::Reset,
        Verdict::Cancelled => PlanVerdict::Cancelled,
    }
}

impl ForwarderDriver {
    /// Creates the driver for a proxy with this name and initial list. `seed` must differ with each start.
    pub fn new(
        now: Micros,
        settings: Settings,
        name: &str,
        site: &Site,
        known: (u64, Vec<(Member, Rc<str>)>),
        seed: u64,
    ) -> Result<Self, &'static str> {
        let rules = rules(settings.forwarders, site);
        let even_share = rules.even_part();
        let config = Config {
            id: ForwarderId(discovery::hash_id(name.as_bytes())),
            life: now.unsigned_abs(),
            zone: zone_of(site.zone),
            tenants: site.quotas.len(),
            classes: site.classes.len(),
            planners: settings.planners.len(),
            seed,
        };
        let (planners, id, forwarders) = (settings.planners.len(), config.id.0, rules.forwarders);
        info!(
            event = "forwarder",
            planners, forwarders, "forwarder {id:016x} of {forwarders}, {planners} planners"
        );
        let mut driver = ForwarderDriver {
            forwarder: Forwarder::new(now, rules, config)?,
            planners: settings.planners,
            members: BTreeMap::new(),
            nodes: BTreeMap::new(),
            origins: BTreeSet::new(),
            origin_kind: site.origin_kind,
            target_latencies: site.classes.iter().map(|c| c.target_latency).collect(),
            even_share,
            out: Vec::new(),
            last_plan: interface::Plan::default(),
            in_force: BTreeSet::new(),
            unreachable: BTreeSet::new(),
        };
        driver.list(now, known.0, ListForm::Cached, known.1);
        Ok(driver)
    }

    /// The address of the planner of a slot.
    pub fn address(&self, slot: usize) -> Option<SocketAddr> {
        self.planners.get(slot).copied()
    }

    /// Handles an event at a node.
    pub fn handle_node_event(&mut self, now: Micros, event: NodeEvent) {
        match event {
            NodeEvent::Listed { revision, form, nodes } => self.list(now, revision, form, nodes),
            NodeEvent::StreamTaken { class, tenant, write } => {
                self.forwarder.observations().request_received(tenant.0 as usize, usize::from(class.0));
                if write && self.origin_kind.is_some() {
                    self.forwarder.observations().origin_needed();
                }
            }
            NodeEvent::Sent(server) if self.origins.contains(&server) => {
                self.forwarder.observations().fetched()
            }
            NodeEvent::Sent(server) => {
                if let Some(node) = self.nodes.get(&server) {
                    self.forwarder.observations().sent(now, *node);
                }
            }
            NodeEvent::Ended { server, verdict, elapsed, .. } if self.origins.contains(&server) => {
                let answered = matches!(verdict, Verdict::Served | Verdict::Miss).then_some(elapsed);
                self.forwarder.observations().fetch_ended(answered);
            }
            NodeEvent::Ended { server, verdict: end, elapsed, load } => {
                let Some(node) = self.nodes.get(&server).copied() else { return };
                let observations = self.forwarder.observations();
                observations.ended(now, node, verdict(end), elapsed);
                if load.is_some() {
                    observations.load(now, node, load);
                }
                if end == Verdict::Miss && self.origin_kind.is_some() {
                    observations.origin_needed();
                }
            }
            NodeEvent::LateAnswer(server) => {
                if let Some(node) = self.nodes.get(&server) {
                    self.forwarder.observations().load(now, *node, None);
                }
            }
        }
    }

    /// Records the end of a stream.
    pub fn record(&mut self, record: &Record) {
        let (tenant, class) = (record.tenant.0 as usize, usize::from(record.class.0));
        let target = self.target_latencies.get(class).copied().unwrap_or(Micros::MAX);
        match record.ended {
            StreamOutcome::Served if record.time <= target => {
                self.forwarder.observations().served(tenant, class)
            }
            StreamOutcome::Refused => self.forwarder.observations().refused(tenant, class),
            _ => {}
        }
    }

    fn list(&mut self, now: Micros, revision: u64, form: ListForm, nodes: Vec<(Member, Rc<str>)>) {
        if matches!(form, ListForm::Full | ListForm::Cached) {
            self.members.clear();
        }
        for (member, name) in nodes {
            self.members.insert(member.server, (member, name));
        }
        self.members.retain(|_, (m, _)| m.phase != Phase::Gone);
        (self.nodes, self.origins) = Default::default();
        let mut listed = Vec::with_capacity(self.members.len());
        for (id, (m, _)) in &self.members {
            if Some(m.kind) == self.origin_kind {
                self.origins.insert(*id);
                continue;
            }
            let node = Node { id: id.0, life: m.started.map_or(0, |t| t.unsigned_abs()) };
            self.nodes.insert(*id, node);
            listed.push(Listed { node, zone: zone_of(m.zone), ready: m.phase == Phase::Ready });
        }
        self.forwarder.list(now, revision, &listed, &mut self.out);
    }

    /// The connection of a slot is established.
    pub fn up(&mut self, now: Micros, slot: usize) {
        self.unreachable.remove(&slot);
        let address = self.address(slot).map(tracing::field::display);
        info!(event = "planner_up", planner = address, "planner {slot} is connected");
        self.forwarder.up(now, slot, &mut self.out);
    }

    /// The connection of a slot is closed or could not be established. Only the first of consecutive failures
    /// is logged.
    pub fn down(&mut self, now: Micros, slot: usize, why: &str) {
        if self.unreachable.insert(slot) {
            let address = self.address(slot).map(tracing::field::display);
            warn!(event = "planner_down", planner = address, why, "planner {slot} is unreachable: {why}");
        }
        self.forwarder.down(now, slot);
    }

    /// Handles a message from a planner.
    pub fn handle_message(
        &mut self,
        now: Micros,
        slot: usize,
        message: &Message,
        actions: &mut Vec<HostAction>,
    ) {
        if let Err(why) = self.forwarder.message(now, slot, message, &mut self.out) {
            actions.push(HostAction::Close(slot));
            self.down(now, slot, &why.to_string());
        }
    }

    /// The nodes and zones that this proxy avoids because of planners.
    pub fn in_force(&self) -> impl Iterator<Item = MarkTarget> + '_ {
        self.forwarder.in_force()
    }

    /// When [`ForwarderDriver::tick`] must be called next.
    pub fn next(&self, now: Micros) -> Micros {
        self.forwarder.next(now)
    }

    /// Runs due timers and returns the actions to execute.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<HostAction>) {
        if self.forwarder.next(now) <= now {
            self.forwarder.tick(now, &mut self.out);
            // Guidance decays over time, so it has changed even if no message has arrived.
            self.out.push(Output::GuidanceChanged);
        }
        let mut changed = false;
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Dial(slot) => actions.push(HostAction::Dial(slot)),
                Output::Send(slot, message) => actions.push(HostAction::Send(slot, message)),
                Output::GuidanceChanged => changed = true,
                Output::Refused(slot, why) => {
                    let planner = self.address(slot).map(tracing::field::display);
                    let why = why.to_string();
                    warn!(event = "plan_refused", planner, why, "rejected a plan of planner {slot}: {why}");
                }
            }
        }
        if changed {
            self.log_in_force();
            let plan = self.plan(now);
            if plan != self.last_plan {
                self.last_plan = plan.clone();
                actions.push(HostAction::Plan(plan));
            }
        }
    }

    /// Says goodbye to the planners on a graceful shutdown.
    pub fn bye(&mut self, actions: &mut Vec<HostAction>) {
        let mut out = Vec::new();
        self.forwarder.bye(&mut out);
        let send = |o| match o {
            Output::Send(slot, message) => Some(HostAction::Send(slot, message)),
            _ => None,
        };
        actions.extend(out.into_iter().filter_map(send));
    }

    /// Converts the current guidance to the module's plan.
    fn plan(&self, now: Micros) -> interface::Plan {
        let guidance = self.forwarder.guidance(now);
        let solved = |(n, q, trust): &(Node, plan::solve::Queue, f64)| PlannedTerms {
            server: ServerId(n.id),
            rho: q.rho,
            service: q.service,
            arrival_scv: q.arrival_scv,
            service_scv: q.service_scv,
            trust: *trust,
        };
        interface::Plan {
            key_fractions: guidance.takes.iter().map(|(n, part)| (ServerId(n.id), *part)).collect(),
            solved: guidance.queues.iter().filter(|q| q.2 > 0.0).map(solved).collect(),
            trust: guidance.parts_trust,
            quotas: guidance.tenants,
            // Each proxy's own budget already is its share of the traffic; a share below the even one lowers
            // it.
            slow_start_fraction: (guidance.cold / self.even_share).clamp(0.0, 1.0),
            // The limit for all proxies together is what a single proxy alone may have in flight.
            fetches: guidance.origin * origin::MAX_LIMIT,
        }
    }

    /// Logs marks that came into force or were lifted, one line each. Their number is bounded by the maximum
    /// number of changes in the rules.
    fn log_in_force(&mut self) {
        let now: BTreeSet<MarkTarget> = self.forwarder.in_force().collect();
        for target in now.symmetric_difference(&self.in_force) {
            let what = match target {
                MarkTarget::Node(n) => {
                    let name = self.members.get(&ServerId(n.id)).map(|(_, name)| name.as_ref());
                    format!("node {}", name.unwrap_or("that is gone"))
                }
                MarkTarget::Zone(h) => format!("hall {}", h.0),
            };
            match now.contains(target) {
                true => warn!(event = "plan_avoids", what, "{what} is avoided, as the planners advise"),
                false => info!(event = "plan_returns", what, "{what} is no longer avoided"),
            }
        }
        self.in_force = now;
    }
}
