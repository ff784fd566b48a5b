//! How fast the virtual host plays: requests a second of wall time, on one core, at several sizes.
//!
//! `cargo run --release -p lab --example speed [NODES[xPROXIES]...]`

use lab::virtual_host::{run, Real};
use std::time::Instant;
use world::scenario::{NodeGroup, Scenario};

/// The operators' world at another size: as many nodes, and as much traffic for each.
fn sized(nodes: u32, proxies: u32, seconds: f64) -> Scenario {
    let mut s = Scenario { seconds, ..Scenario::default() };
    let full = (nodes / 3).max(1);
    s.nodes = vec![
        NodeGroup { count: full, ..NodeGroup::default() },
        NodeGroup { count: nodes - full, ..s.nodes[1].clone() },
    ];
    let times = f64::from(nodes) / 9.0;
    s.clients.rate_per_s *= times;
    s.clients.popularity.keys = (f64::from(s.clients.popularity.keys) * times) as u32;
    (s.proxies.count, s.proxies.sockets) = (proxies, 65_536);
    s
}

fn main() {
    let size = |a: String| {
        let (nodes, proxies) = a.split_once('x').unwrap_or((&a, "3"));
        Some((nodes.parse().ok()?, proxies.parse().ok()?))
    };
    let sizes: Vec<(u32, u32)> = std::env::args().skip(1).filter_map(size).collect();
    let sizes = if sizes.is_empty() { vec![(9, 3), (10, 3), (100, 16), (1_000, 64)] } else { sizes };
    println!("| nodes | proxies | requests | virtual s | wall s | requests/s of wall | served worth | rules broken |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (nodes, proxies) in sizes {
        let scenario = sized(nodes, proxies, if nodes > 500 { 10.0 } else { 60.0 });
        let from = Instant::now();
        match run(&scenario, 1, &Real, &mut |_| {}) {
            Ok(run) => {
                let (wall, requests) = (from.elapsed().as_secs_f64(), run.tally.all().requests);
                println!(
                    "| {nodes} | {proxies} | {requests} | {:.1} | {wall:.2} | {:.0} | {:.3} | {} |",
                    run.virtual_s,
                    requests as f64 / wall,
                    run.served_worth(),
                    run.breaches
                );
            }
            Err(failure) => println!("{nodes} nodes: {failure}"),
        }
    }
}
