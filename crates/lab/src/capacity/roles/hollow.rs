//! Hollow proxies on loopback, beside whole ones: what discovery's lists take of real sockets and processes.

use super::super::hollow::run;
use super::super::result::Mechanism;
use super::super::{Axis, Kind, Level, Quantity, Role, Series};
use super::users;

pub struct Hollow;

impl Role for Hollow {
    fn name(&self) -> &'static str {
        "hollow"
    }

    fn about(&self) -> &'static str {
        "Hollow proxies with the real watch on discovery, in one process on loopback, beside two whole proxies"
    }

    fn mechanism(&self) -> Option<Mechanism> {
        let files = vec!["src/net/cluster.rs", "src/codec/discovery.rs", "src/core/mod.rs"];
        Some(Mechanism { name: "watch on discovery", files })
    }

    fn bounds(&self) -> Vec<String> {
        vec!["all hollow proxies of a run take turns on one thread of one machine: their times hold that waiting".into()]
    }

    fn series(&self) -> Vec<Series> {
        let quantity = Quantity::new;
        let quantities = vec![
            quantity(
                "list_bytes",
                "Whole lists to all hollow proxies, as discovery wrote them",
                "B",
                Kind::Count,
            ),
            quantity("list_messages", "The same in messages", "1", Kind::Count),
            quantity("change_bytes", "A change of one node to all of them", "B", Kind::Count),
            quantity("change_messages", "The same in messages", "1", Kind::Count),
            quantity("calls", "Calls of all of them to discovery", "1", Kind::Count),
            quantity("resident_bytes", "Resident memory of all of them, with the list", "B", Kind::Memory),
            quantity("list_user_s", "User time of all of them until they have the list", "s", Kind::Time),
            quantity("list_system_s", "System time of the same", "s", Kind::Time),
            quantity(
                "change_user_s",
                "User time of all of them for the change, and until then",
                "s",
                Kind::Time,
            ),
            quantity("change_system_s", "System time of the same", "s", Kind::Time),
            quantity("whole_resident_bytes", "The most resident memory of a whole proxy", "B", Kind::Memory),
            quantity(
                "whole_cpu_s",
                "Processor time of a whole proxy from its start until the end",
                "s",
                Kind::Time,
            ),
        ];
        let axes = vec![(Axis::Proxies, vec![16, 64, 128, 256]), (Axis::Nodes, vec![262, 1050, 2100, 4200])];
        let targets = vec![users([Axis::Proxies, Axis::Nodes])];
        vec![Series { level: Level::Hollow, axes, more: Vec::new(), quantities, targets, run }]
    }
}
