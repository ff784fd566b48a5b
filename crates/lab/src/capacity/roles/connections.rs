//! Connections between proxies and cache nodes: arithmetic alone.

use super::super::result::Mechanism;
use super::super::{Assumed, Axis, Kind, Quantity, Role, Series, Size, USERS};

pub struct Connections;

const EVEN: &str =
    "even spread over zones; every proxy asks every node of its zone, since keys of all nodes come to it \
    (docs/sizing.md: about one connection for each proxy of the zone); one connection for each pair at least";

impl Role for Connections {
    fn name(&self) -> &'static str {
        "connections"
    }

    fn about(&self) -> &'static str {
        "Connections between proxies and cache nodes of a zone, the fewest that there can be"
    }

    fn mechanism(&self) -> Option<Mechanism> {
        Some(Mechanism { name: "pool", files: vec!["src/core/pool.rs"] })
    }

    fn series(&self) -> Vec<Series> {
        Vec::new()
    }

    fn assumed(&self) -> Vec<Assumed> {
        let proxies = USERS.proxies as f64 / USERS.zones as f64;
        let nodes = USERS.nodes as f64 / USERS.zones as f64;
        let figure = |name, about, value| {
            let quantity = Quantity::new(name, about, "1", Kind::Arithmetic);
            let size = Size::of([(Axis::Proxies, USERS.proxies), (Axis::Nodes, USERS.nodes)]);
            Assumed { quantity, targets: vec![("users", size, value)], from: EVEN }
        };
        vec![
            figure("proxies_a_zone", "Proxies over zones", proxies),
            figure("nodes_a_zone", "Cache nodes over zones", nodes),
            figure(
                "connections_a_node",
                "Connections that a node holds for the proxies of its zone",
                proxies,
            ),
            figure("connections_a_proxy", "Connections that a proxy holds to the nodes of its zone", nodes),
        ]
    }
}
