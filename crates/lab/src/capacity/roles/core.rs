//! What a proxy's core takes for the nodes that it knows.

use super::super::meter::{counted, freed_by, Taken};
use super::super::result::Mechanism;
use super::super::{Axis, Fault, Kind, Level, Measured, Quantity, Role, Series, Size};
use super::discovery::read;
use super::{halves, lists, users};
use martenweir::codec::discovery::Cluster;
use martenweir::core::{self, Effect, Input};
use martenweir::interface::Micros;

/// Connections to nodes that it may have.
const CONNECTIONS: usize = 6_720;
const NOW: Micros = 1_000_000_000;
/// How often a list is taken for its time; the least is told.
const TAKINGS: usize = 9;

pub struct Core;

impl Role for Core {
    fn name(&self) -> &'static str {
        "core"
    }

    fn about(&self) -> &'static str {
        "A proxy's core with a list of all nodes, before any request: what it holds, and what taking a list costs"
    }

    fn mechanism(&self) -> Option<Mechanism> {
        Some(Mechanism { name: "core", files: vec!["src/core/mod.rs", "src/choice.rs", "src/servers.rs"] })
    }

    fn series(&self) -> Vec<Series> {
        let quantity = Quantity::new;
        let quantities = vec![
            quantity("allocated_bytes", "Bytes that the core holds with the list", "B", Kind::Count),
            quantity("list_allocations", "Allocations while it takes a whole list", "1", Kind::Count),
            quantity(
                "delta_allocations",
                "Allocations while it takes a change of one node",
                "1",
                Kind::Count,
            ),
            quantity(
                "list_s",
                "Processor time to take a whole list that was read, least of nine",
                "s",
                Kind::Time,
            ),
            quantity(
                "delta_s",
                "Processor time to take a change of one node, least of nine",
                "s",
                Kind::Time,
            ),
        ];
        let axes = vec![(Axis::Nodes, halves().to_vec())];
        vec![Series {
            level: Level::Virtual,
            axes,
            more: Vec::new(),
            quantities,
            targets: vec![users([Axis::Nodes])],
            run,
        }]
    }
}

fn run(size: &Size, seed: u64) -> Result<Measured, Fault> {
    let nodes = size.along(Axis::Nodes);
    let site = lists::site()?;
    let list = |text: &[u8]| read(&lists::told(text), &site);
    let (whole, change) = (lists::whole(nodes), lists::change(1));
    let (mut lists, mut changes) = (Taken::default(), Taken::default());
    let (mut list_least, mut change_least) = (std::time::Duration::MAX, std::time::Duration::MAX);
    let mut held = 0;
    for taking in 0..TAKINGS {
        let known = Cluster { revision: 0, complete: true, nodes: vec![] };
        let mut core = core::Core::new(NOW, site.settings.clone(), seed, CONNECTIONS, known);
        let mut effects: Vec<Effect> = core.take_effects();
        let mut take = |core: &mut core::Core, at: Micros, list: Cluster| {
            let mut taken = Taken::default();
            taken.by(|| {
                core.input(at, Input::Cluster(Some(list)));
                core.swap_effects(&mut effects);
            });
            taken
        };
        let first = take(&mut core, NOW + 1, list(&whole)?);
        let second = take(&mut core, NOW + 2, list(&change)?);
        if core.serving() as u64 != nodes - 1 {
            return Err(Fault::broken(format!("{} of {nodes} nodes serve after one drains", core.serving())));
        }
        if taking == 0 {
            (lists, changes) = (first, second);
            held = freed_by(core);
        }
        (list_least, change_least) = (list_least.min(first.cpu), change_least.min(second.cpu));
    }
    Ok(Measured::from(vec![
        counted(held as f64),
        counted(lists.made as f64),
        counted(changes.made as f64),
        Some(list_least.as_secs_f64()),
        Some(change_least.as_secs_f64()),
    ]))
}
