//! The forwarder's side of planners: what goes on at nodes goes to them, what of their plans stands comes back
//! as the module's event. It owns the [`plan::Forwarder`] of this proxy and the names of its nodes; no socket
//! and no clock, so that virtual time can drive it too. Without `planner` lines there is none.
//!
//! Feed it [`NodeEvent`] and [`Record`]s, what planners' connections say, and [`ForwarderDriver::tick`] at
//! [`ForwarderDriver::next`]; carry out its [`HostAction`]es.

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
    /// In the order of their lines, which is that of their slots.
    pub planners: Vec<SocketAddr>,
    /// Forwarders that may run at once; without it as many as the configuration says that there are proxies.
    pub forwarders: Option<u32>,
}

/// What planners and forwarders of a site go by.
pub fn rules(forwarders: Option<u32>, site: &Site) -> Rules {
    Rules { forwarders: forwarders.unwrap_or(site.routers).max(1), ..Rules::default() }
}

/// What is to be done for it.
#[derive(Debug)]
pub enum HostAction {
    /// Connect to the planner of a slot.
    Dial(usize),
    Send(usize, Message),
    /// Close a slot's connection.
    Close(usize),
    /// Tell the module.
    Plan(interface::Plan),
}

/// See the file's comment.
#[derive(Debug)]
pub struct ForwarderDriver {
    machine: Forwarder,
    planners: Vec<SocketAddr>,
    members: BTreeMap<ServerId, (Member, Rc<str>)>,
    nodes: BTreeMap<ServerId, Node>,
    origins: BTreeSet<ServerId>,
    origin_kind: Option<KindId>,
    /// Of each class.
    aims: Vec<Micros>,
    even: f64,
    out: Vec<Output>,
    /// What the module was told last, and what is in force of it, for the log.
    said: interface::Plan,
    in_force: BTreeSet<MarkTarget>,
    /// Slots whose trouble has been told.
    troubled: BTreeSet<usize>,
}

/// A zone beyond the halls that plans tell apart is the last of them.
fn hall(zone: interface::ZoneId) -> Zone {
    Zone(zone.0.min(u16::from(ZoneSet::MOST - 1)) as u8)
}

fn verdict(verdict: Verdict) -> plan::message::Verdict {
    use plan::message::Verdict as Told;
    match verdict {
        Verdict::Served => Told::Served,
        Verdict::Miss => Told::Miss,
        Verdict::Error => Told::Error,
        Verdict::Full => Told::Full,
        Verdict::Timeout => Told::Timeout,
        // What found no connection in all of its time: neither has the node said anything.
        Verdict::ConnectFailed | Verdict::Moot => Told::ConnectFailed,
        Verdict::Reset => Told::Reset,
        Verdict::Cancelled => Told::Cancelled,
    }
}

impl ForwarderDriver {
    /// For a proxy of this name, with the list as it is known; `seed` is new with each start.
    pub fn new(
        now: Micros,
        settings: Settings,
        name: &str,
        site: &Site,
        known: (u64, Vec<(Member, Rc<str>)>),
        seed: u64,
    ) -> Result<Self, &'static str> {
        let rules = rules(settings.forwarders, site);
        let even = rules.even_part();
        let config = Config {
            id: ForwarderId(discovery::hash_id(name.as_bytes())),
            life: now.unsigned_abs(),
            zone: hall(site.zone),
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
        let mut forwarding = ForwarderDriver {
            machine: Forwarder::new(now, rules, config)?,
            planners: settings.planners,
            members: BTreeMap::new(),
            nodes: BTreeMap::new(),
            origins: BTreeSet::new(),
            origin_kind: site.origin_kind,
            aims: site.classes.iter().map(|c| c.target_latency).collect(),
            even,
            out: Vec::new(),
            said: interface::Plan::default(),
            in_force: BTreeSet::new(),
            troubled: BTreeSet::new(),
        };
        forwarding.list(now, known.0, ListForm::Cached, known.1);
        Ok(forwarding)
    }

    /// Where the planner of a slot is.
    pub fn address(&self, slot: usize) -> Option<SocketAddr> {
        self.planners.get(slot).copied()
    }

    /// Something went on at a node.
    pub fn handle_node_event(&mut self, now: Micros, seen: NodeEvent) {
        match seen {
            NodeEvent::Listed { revision, form, nodes } => self.list(now, revision, form, nodes),
            NodeEvent::StreamTaken { class, tenant, write } => {
                self.machine.observations().request_received(tenant.0 as usize, usize::from(class.0));
                if write && self.origin_kind.is_some() {
                    self.machine.observations().origin_needed();
                }
            }
            NodeEvent::Sent(server) if self.origins.contains(&server) => {
                self.machine.observations().fetched()
            }
            NodeEvent::Sent(server) => {
                if let Some(node) = self.nodes.get(&server) {
                    self.machine.observations().sent(now, *node);
                }
            }
            NodeEvent::Ended { server, verdict, elapsed, .. } if self.origins.contains(&server) => {
                let answered = matches!(verdict, Verdict::Served | Verdict::Miss).then_some(elapsed);
                self.machine.observations().fetch_ended(answered);
            }
            NodeEvent::Ended { server, verdict: end, elapsed, load } => {
                let Some(node) = self.nodes.get(&server).copied() else { return };
                let eyes = self.machine.observations();
                eyes.ended(now, node, verdict(end), elapsed);
                if load.is_some() {
                    eyes.load(now, node, load);
                }
                if end == Verdict::Miss && self.origin_kind.is_some() {
                    eyes.origin_needed();
                }
            }
            NodeEvent::LateAnswer(server) => {
                if let Some(node) = self.nodes.get(&server) {
                    self.machine.observations().load(now, *node, None);
                }
            }
        }
    }

    /// A stream has ended.
    pub fn record(&mut self, record: &Record) {
        let (tenant, class) = (record.tenant.0 as usize, usize::from(record.class.0));
        let aim = self.aims.get(class).copied().unwrap_or(Micros::MAX);
        match record.ended {
            StreamOutcome::Served if record.time <= aim => self.machine.observations().served(tenant, class),
            StreamOutcome::Refused => self.machine.observations().refused(tenant, class),
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
            listed.push(Listed { node, zone: hall(m.zone), ready: m.phase == Phase::Ready });
        }
        self.machine.list(now, revision, &listed, &mut self.out);
    }

    /// A slot's connection is up.
    pub fn up(&mut self, now: Micros, slot: usize) {
        self.troubled.remove(&slot);
        let address = self.address(slot).map(tracing::field::display);
        info!(event = "planner_up", planner = address, "planner {slot} is connected");
        self.machine.up(now, slot, &mut self.out);
    }

    /// A slot's connection is over, or did not come up. The first of a row is told.
    pub fn down(&mut self, now: Micros, slot: usize, why: &str) {
        if self.troubled.insert(slot) {
            let address = self.address(slot).map(tracing::field::display);
            warn!(event = "planner_down", planner = address, why, "planner {slot} is out of reach: {why}");
        }
        self.machine.down(now, slot);
    }

    /// A planner has said something.
    pub fn handle_message(
        &mut self,
        now: Micros,
        slot: usize,
        message: &Message,
        wishes: &mut Vec<HostAction>,
    ) {
        if let Err(why) = self.machine.message(now, slot, message, &mut self.out) {
            wishes.push(HostAction::Close(slot));
            self.down(now, slot, &why.to_string());
        }
    }

    /// What planners have this proxy avoid.
    pub fn in_force(&self) -> impl Iterator<Item = MarkTarget> + '_ {
        self.machine.in_force()
    }

    /// When [`ForwarderDriver::tick`] has something to do.
    pub fn next(&self, now: Micros) -> Micros {
        self.machine.next(now)
    }

    /// Does what is due, and hands out what is to be done.
    pub fn tick(&mut self, now: Micros, wishes: &mut Vec<HostAction>) {
        if self.machine.next(now) <= now {
            self.machine.tick(now, &mut self.out);
            // What stands fades, whether anything came or went.
            self.out.push(Output::GuidanceChanged);
        }
        let mut stands = false;
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Dial(slot) => wishes.push(HostAction::Dial(slot)),
                Output::Send(slot, message) => wishes.push(HostAction::Send(slot, message)),
                Output::GuidanceChanged => stands = true,
                Output::Refused(slot, why) => {
                    let planner = self.address(slot).map(tracing::field::display);
                    let why = why.to_string();
                    warn!(event = "plan_refused", planner, why, "a plan of planner {slot} is refused: {why}");
                }
            }
        }
        if stands {
            self.tell_force();
            let plan = self.plan(now);
            if plan != self.said {
                self.said = plan.clone();
                wishes.push(HostAction::Plan(plan));
            }
        }
    }

    /// The planned end.
    pub fn bye(&mut self, wishes: &mut Vec<HostAction>) {
        let mut out = Vec::new();
        self.machine.bye(&mut out);
        let send = |o| match o {
            Output::Send(slot, message) => Some(HostAction::Send(slot, message)),
            _ => None,
        };
        wishes.extend(out.into_iter().filter_map(send));
    }

    /// What stands, in the module's words.
    fn plan(&self, now: Micros) -> interface::Plan {
        let standing = self.machine.guidance(now);
        let solved = |(n, q, trust): &(Node, plan::solve::Queue, f64)| PlannedTerms {
            server: ServerId(n.id),
            rho: q.rho,
            service: q.service,
            arrival_scv: q.arrival_scv,
            service_scv: q.service_scv,
            trust: *trust,
        };
        interface::Plan {
            key_fractions: standing.takes.iter().map(|(n, part)| (ServerId(n.id), *part)).collect(),
            solved: standing.queues.iter().filter(|q| q.2 > 0.0).map(solved).collect(),
            trust: standing.parts_trust,
            quotas: standing.tenants,
            // Each proxy's own budget is its part of the traffic already; a part below the even one lowers it.
            cold: (standing.cold / self.even).clamp(0.0, 1.0),
            // What one proxy alone may have out, for all of them together.
            fetches: standing.origin * origin::MAX_LIMIT,
        }
    }

    /// What came into force or left it, a line each: bounded by the rules' most changes.
    fn tell_force(&mut self) {
        let now: BTreeSet<MarkTarget> = self.machine.in_force().collect();
        for matter in now.symmetric_difference(&self.in_force) {
            let what = match matter {
                MarkTarget::Node(n) => {
                    let name = self.members.get(&ServerId(n.id)).map(|(_, name)| name.as_ref());
                    format!("node {}", name.unwrap_or("that is gone"))
                }
                MarkTarget::Zone(h) => format!("hall {}", h.0),
            };
            match now.contains(matter) {
                true => warn!(event = "plan_avoids", what, "{what} is avoided, as planners say"),
                false => info!(event = "plan_returns", what, "{what} is no longer avoided"),
            }
        }
        self.in_force = now;
    }
}
