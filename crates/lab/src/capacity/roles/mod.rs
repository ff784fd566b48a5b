//! The roles, a file each. A new one has its file here and its line in [`all`].

mod connections;
mod core;
mod discovery;
mod forwarder;
mod hollow;
pub(super) mod lists;
mod planner;
mod planning;

use super::{Axis, Role, Size, Target, USERS};

/// All roles, in the order of their output.
pub fn all() -> Vec<Box<dyn Role>> {
    vec![
        Box::new(planner::Planner),
        Box::new(forwarder::Forwarder),
        Box::new(discovery::Discovery),
        Box::new(core::Core),
        Box::new(connections::Connections),
        Box::new(hollow::Hollow),
    ]
}

/// Nodes up to the users' number, each half of the next: tables that grow in powers of two are as full at all of them.
const fn halves() -> [u64; 5] {
    let most = USERS.nodes;
    [most / 16, most / 8, most / 4, most / 2, most]
}

/// The users' size along some axes.
fn users<const N: usize>(axes: [Axis; N]) -> Target {
    let along = |axis| match axis {
        Axis::Proxies => USERS.proxies,
        Axis::Nodes => USERS.nodes,
        // All nodes of a zone: the largest change that is planned for.
        Axis::Changes => USERS.nodes.div_ceil(USERS.zones),
    };
    ("users", Size::of(axes.map(|axis| (axis, along(axis)))))
}
