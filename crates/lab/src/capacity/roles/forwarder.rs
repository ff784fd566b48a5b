//! A proxy's side of one planner.

use super::super::meter::counted;
use super::super::result::Mechanism;
use super::super::{Axis, Fault, Kind, Level, Measured, Quantity, Role, Series, Size};
use super::planning::{play, Fleet, Side, TOLD_OF};
use super::users;

/// Forwarders of the run; a figure is that of one. What one hears and says does not depend on how many there are, but
/// plans want more witnesses than one.
const FORWARDERS: usize = 8;

pub struct Forwarder;

impl Role for Forwarder {
    fn name(&self) -> &'static str {
        "forwarder"
    }

    fn about(&self) -> &'static str {
        "A proxy's side of one planner, which it tells what it sees of all nodes; each further planner takes as much again"
    }

    fn mechanism(&self) -> Option<Mechanism> {
        let files =
            vec!["crates/plan/src/forwarder.rs", "crates/plan/src/frame.rs", "src/features/forwarder.rs"];
        Some(Mechanism { name: "forwarder", files })
    }

    fn bounds(&self) -> Vec<String> {
        vec![
            format!("it keeps {} nodes at most (plan::bounds::NODES)", plan::bounds::NODES),
            format!("it listens to {} planners at most (plan::bounds::PLANNERS)", plan::bounds::PLANNERS),
        ]
    }

    fn series(&self) -> Vec<Series> {
        let quantity = Quantity::new;
        let quantities = vec![
            quantity("bytes_out_per_s", "Frames that it sends to one planner", "B/s", Kind::Count)
                .capped(Axis::Nodes, TOLD_OF),
            quantity("bytes_in_per_s", "Frames that it hears of one planner", "B/s", Kind::Count),
            quantity("messages_out_per_s", "The same in messages", "1/s", Kind::Count),
            quantity("messages_in_per_s", "The same in messages", "1/s", Kind::Count),
            quantity("allocated_bytes", "Bytes that it holds", "B", Kind::Count),
            quantity("allocations_per_s", "Allocations of machine and codec", "1/s", Kind::Count),
            quantity(
                "cpu_s_per_s",
                "Processor time of machine and codec, without sockets",
                "s/s",
                Kind::Time,
            ),
        ];
        let axes = vec![(Axis::Nodes, vec![256, 512, 1024, 2048, 4096])];
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
    let nodes = size.along(Axis::Nodes) as usize;
    let ran = play(Fleet { forwarders: FORWARDERS, real: FORWARDERS, nodes }, seed)?;
    let one = |all: f64| Some(Side::per_s(all) / FORWARDERS as f64);
    let (mine, planner) = (ran.forwarders, ran.planner);
    Ok(Measured::from(vec![
        one(mine.bytes_out as f64),
        one(planner.bytes_out as f64),
        one(mine.messages_out as f64),
        one(planner.messages_out as f64),
        counted(ran.forwarder_held as f64),
        one(mine.taken.made as f64).and_then(counted),
        one(mine.taken.cpu.as_secs_f64()),
    ]))
}
