//! One planner that hears all its forwarders.

use super::super::meter::counted;
use super::super::result::Mechanism;
use super::super::{Axis, Fault, Kind, Level, Measured, Quantity, Role, Series, Size, USERS};
use super::planning::{play, Fleet, Side, TOLD_OF};
use super::users;
use plan::bounds;
use plan::join::PAIRS;

/// Forwarders that are whole machines; the rest echo them.
const REAL: usize = 64;

pub struct Planner;

impl Role for Planner {
    fn name(&self) -> &'static str {
        "planner"
    }

    fn about(&self) -> &'static str {
        "One planner that hears all its forwarders, each of which asks each node twice a second; three nodes fall silent"
    }

    fn mechanism(&self) -> Option<Mechanism> {
        let files = vec!["crates/plan/src/planner.rs", "crates/plan/src/frame.rs", "src/features/planner.rs"];
        Some(Mechanism { name: "planner", files })
    }

    fn bounds(&self) -> Vec<String> {
        let (pairs, nodes) = (PAIRS as u64, USERS.nodes);
        vec![
            format!("a planner serves {} forwarders at most (plan::bounds::FORWARDERS)", bounds::FORWARDERS),
            format!(
                "it keeps {pairs} pairs of forwarder and node at most, with {nodes} nodes those of {} forwarders; the rest \
                 is left out (plan::join::PAIRS): figures beyond are what it would take to keep them",
                pairs / nodes
            ),
            format!("it keeps {} nodes of a forwarder at most (plan::bounds::NODES)", bounds::NODES),
            format!("it tells {} zones apart at most (plan::ids::ZoneSet::MOST)", plan::ZoneSet::MOST),
            format!(
                "a sight names {} nodes that answer at most (plan::bounds::ANSWERING_NODES_PER_REPORT); at four sights a second and two \
                 requests a second to each node, bytes heard do not grow beyond {TOLD_OF} nodes",
                bounds::ANSWERING_NODES_PER_REPORT
            ),
        ]
    }

    fn series(&self) -> Vec<Series> {
        let axes = vec![(Axis::Proxies, vec![16, 64, 128, 256]), (Axis::Nodes, vec![256, 640, 1600, 4096])];
        // Beside the grid, within the pairs that it keeps: many proxies, few nodes.
        let beside = |(proxies, nodes)| Size::of([(Axis::Proxies, proxies), (Axis::Nodes, nodes)]);
        let more = [(1024, 256), (1024, 640), (4096, 256)].map(beside).to_vec();
        let quantity = Quantity::new;
        let quantities = vec![
            quantity("bytes_in_per_s", "Frames that it hears of all forwarders together", "B/s", Kind::Count)
                .capped(Axis::Nodes, TOLD_OF),
            quantity(
                "bytes_out_per_s",
                "Frames that it sends to all forwarders together",
                "B/s",
                Kind::Count,
            ),
            quantity("messages_in_per_s", "The same in messages", "1/s", Kind::Count),
            quantity("messages_out_per_s", "The same in messages", "1/s", Kind::Count),
            quantity("largest_frame_in", "The longest frame that it hears", "B", Kind::Count)
                .capped(Axis::Nodes, TOLD_OF),
            quantity("largest_frame_out", "The longest frame that it sends", "B", Kind::Count)
                .capped(Axis::Nodes, bounds::NODES_PER_MESSAGE as u64),
            quantity("allocated_bytes", "Bytes that it holds", "B", Kind::Count),
            quantity("allocations_per_s", "Allocations of machine and codec", "1/s", Kind::Count),
            quantity(
                "cpu_s_per_s",
                "Processor time of machine and codec, without sockets",
                "s/s",
                Kind::Time,
            ),
        ];
        let share = USERS.proxies.div_ceil(USERS.controls);
        let share = ("share", Size::of([(Axis::Proxies, share), (Axis::Nodes, USERS.nodes)]));
        let targets = vec![users([Axis::Proxies, Axis::Nodes]), share];
        vec![Series { level: Level::Virtual, axes, more, quantities, targets, run }]
    }
}

fn run(size: &Size, seed: u64) -> Result<Measured, Fault> {
    let (forwarders, nodes) = (size.along(Axis::Proxies) as usize, size.along(Axis::Nodes) as usize);
    if forwarders > bounds::FORWARDERS {
        let most = bounds::FORWARDERS;
        let what = format!("a planner refuses more than {most} forwarders (plan::bounds::FORWARDERS)");
        return Err(Fault::Room { size: size.to_string(), what });
    }
    let ran = play(Fleet { forwarders, real: REAL, nodes }, seed)?;
    // What one real forwarder says, all say: those that echo it are as many as there are of it, or one more.
    let (planner, heard) = (ran.planner, ran.heard);
    Ok(Measured::from(vec![
        Some(Side::per_s(heard.bytes_out as f64)),
        Some(Side::per_s(planner.bytes_out as f64)),
        Some(Side::per_s(heard.messages_out as f64)),
        Some(Side::per_s(planner.messages_out as f64)),
        Some(heard.longest_out as f64),
        Some(planner.longest_out as f64),
        counted(ran.planner_held as f64),
        counted(Side::per_s(planner.taken.made as f64)),
        Some(Side::per_s(planner.taken.cpu.as_secs_f64())),
    ]))
}
