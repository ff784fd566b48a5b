//! A builder for worlds in tests: everything not set has the scenario's default.

use super::World;
use crate::facts::NodeNo;
use crate::node::Script;
use crate::scenario::{ClientClass, Fault, NodeGroup, Problem, Scenario};
use crate::Micros;

/// Builds a [`World`] step by step.
///
/// ```
/// use world::node::{Answer, Script, Step};
/// use world::scenario::{Fault, FaultKind};
/// use world::world::World;
///
/// let world = World::builder()
///     .seconds(5.0)
///     .halls(["hofdi"])
///     .proxies(1)
///     .nodes("full-node", 2, |g| g.speed = 2.0)
///     .rate(50.0)
///     .fault(Fault { nodes: Some(1), ..Fault::new(FaultKind::Hang, 1.0, 2.0) })
///     // The first node misses once, then answers at once.
///     .script(0, Script::new([Step::answer(Answer::Miss { pending: false })]))
///     .build(7)?;
/// assert_eq!(world.members().len(), 2);
/// assert_eq!(world.arrivals().take(10).count(), 10);
/// # Ok::<(), world::scenario::Problem>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Builder {
    scenario: Scenario,
    /// The default groups are used until the first group is added.
    named: bool,
    scripts: Vec<(u32, Script)>,
    slack: Micros,
}

impl Builder {
    /// Starts from a scenario instead of the defaults.
    pub fn from(scenario: Scenario) -> Self {
        Builder { scenario, named: false, ..Builder::default() }
    }

    pub fn name(mut self, name: &str) -> Self {
        self.scenario.name = name.into();
        self
    }

    pub fn seconds(mut self, seconds: f64) -> Self {
        self.scenario.seconds = seconds;
        self
    }

    pub fn halls<'a>(mut self, halls: impl IntoIterator<Item = &'a str>) -> Self {
        self.scenario.halls = halls.into_iter().map(Into::into).collect();
        self
    }

    pub fn proxies(mut self, count: u32) -> Self {
        self.scenario.proxies.count = count;
        self
    }

    /// Adds a group of nodes; `configure` changes the defaults. The first call replaces the default groups.
    pub fn nodes(mut self, kind: &str, count: u32, differ: impl FnOnce(&mut NodeGroup)) -> Self {
        let mut group = NodeGroup { kind: kind.into(), count, ..NodeGroup::default() };
        differ(&mut group);
        if !std::mem::replace(&mut self.named, true) {
            self.scenario.nodes.clear();
        }
        self.scenario.nodes.push(group);
        self
    }

    /// Requests per second.
    pub fn rate(mut self, per_s: f64) -> Self {
        self.scenario.clients.rate_per_s = per_s;
        self
    }

    /// Replaces all request classes by one; `configure` changes its defaults (`lookup`).
    pub fn class(mut self, differ: impl FnOnce(&mut ClientClass)) -> Self {
        let mut class = ClientClass::default();
        differ(&mut class);
        self.scenario.clients.classes = vec![class];
        self
    }

    pub fn fault(mut self, fault: Fault) -> Self {
        self.scenario.faults.push(fault);
        self
    }

    /// Changes any other part of the scenario.
    pub fn with(mut self, differ: impl FnOnce(&mut Scenario)) -> Self {
        differ(&mut self.scenario);
        self
    }

    /// The node with this number (or the origin, for the number of [`crate::facts::ORIGIN`]) answers by the
    /// script.
    pub fn script(mut self, node: u32, script: Script) -> Self {
        self.scripts.push((node, script));
        self
    }

    /// Tolerance of the host that is added to the rules' time limits.
    pub fn slack(mut self, slack: Micros) -> Self {
        self.slack = slack;
        self
    }

    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    pub fn build(self, seed: u64) -> Result<World, Problem> {
        let mut world = World::new(&self.scenario, seed, self.slack)?;
        for (node, script) in self.scripts {
            world.script(NodeNo(node), script);
        }
        Ok(world)
    }
}
