//! Measures the cost of a planner: `cargo run --release -p plan --example scale -- FORWARDERS NODES`.
//!
//! One planner and the given number of forwarders, each of which sends to each node twice per second; three
//! nodes are silent. Prints the bytes and processor time per second, and the processor time of a forwarder.

use plan::forwarder::{Config, Forwarder, Output};
use plan::message::Verdict;
use plan::observations::Listed;
use plan::planner::{self, Planner};
use plan::{frame, ForwarderId, Micros, Node, Rules, Zone, SECOND};
use std::time::{Duration, Instant};

const STEP: Micros = 50_000;

fn main() {
    let mut sizes = std::env::args().skip(1).map(|a| a.parse::<usize>().unwrap_or(0));
    let (forwarders, nodes) = (sizes.next().unwrap_or(20), sizes.next().unwrap_or(10));
    let rules = Rules { forwarders: forwarders.max(1) as u32, ..Rules::default() };
    let mut planner = Planner::new(0, rules.clone(), 1).expect("valid rules");
    let listed: Vec<Listed> = (0..nodes)
        .map(|n| Listed {
            node: Node { id: plan::spread::mix(n as u64), life: 0 },
            zone: Zone((n % 2) as u8),
            ready: true,
        })
        .collect();
    let mut all: Vec<Forwarder> = (0..forwarders)
        .map(|f| {
            let (id, zone) = (ForwarderId(f as u64), Zone((f % 2) as u8));
            let config = Config { id, life: 1, zone, tenants: 9, classes: 2, planners: 1, seed: f as u64 };
            let mut forwarder = Forwarder::new(0, rules.clone(), config).expect("valid rules");
            forwarder.list(0, 1, &listed, &mut vec![]);
            forwarder
        })
        .collect();
    let (mut up, mut down, mut up_most, mut down_most) = (0, 0, 0, 0);
    let (mut planners, mut theirs, mut decode) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let (mut now, mut avoid_all) = (0, None);
    let (warm, end) = (6 * SECOND, 10 * SECOND);
    while now < end {
        now += STEP;
        let counts = now > warm;
        for (f, forwarder) in all.iter_mut().enumerate() {
            for (n, l) in listed.iter().enumerate().filter(|(n, _)| (n + f + (now / STEP) as usize) % 10 == 0)
            {
                let silent = n < 3 && now > warm;
                forwarder.observations().sent(now, l.node);
                let verdict = if silent { Verdict::Timeout } else { Verdict::Served };
                forwarder.observations().ended(now, l.node, verdict, 100_000);
            }
            let (mut out, start) = (vec![], Instant::now());
            forwarder.tick(now, &mut out);
            for o in out {
                let sent = match o {
                    Output::Dial(_) => {
                        planner.up(now, f as u64).expect("room");
                        let mut hello = vec![];
                        forwarder.up(now, 0, &mut hello);
                        hello
                    }
                    other => vec![other],
                };
                for o in sent {
                    let Output::Send(_, message) = o else { continue };
                    let bytes = frame::encode(&message).expect("within bounds");
                    (up, up_most) = (up + if counts { bytes.len() } else { 0 }, up_most.max(bytes.len()));
                    let at = Instant::now();
                    let read =
                        frame::Reader::default().read(&mut &bytes[..]).expect("a frame").expect("whole");
                    planner
                        .message(now, f as u64, &read, &mut vec![])
                        .expect("a valid message from a forwarder");
                    decode += if counts { at.elapsed() } else { Duration::ZERO };
                }
            }
            theirs += if counts { start.elapsed() } else { Duration::ZERO };
        }
        let (mut out, start) = (vec![], Instant::now());
        planner.tick(now, &mut out);
        let mut sent = vec![];
        for o in out {
            match o {
                planner::Output::Send(to, message) => {
                    sent.push((vec![to], frame::encode(&message).expect("within bounds"), message));
                }
                planner::Output::Terms(to, message) => {
                    sent.push((to, frame::encode(&message).expect("within bounds"), message));
                }
                planner::Output::Close(..) => {}
            }
        }
        planners += if counts { start.elapsed() } else { Duration::ZERO };
        for (to, bytes, message) in sent {
            down += if counts { bytes.len() * to.len() } else { 0 };
            down_most = down_most.max(bytes.len());
            for peer in to {
                if let Some(f) = all.get_mut(peer as usize) {
                    f.message(now, 0, &message, &mut vec![]).expect("a valid message from a planner");
                }
            }
        }
        let avoid = |f: &Forwarder| listed.iter().take(3).all(|l| f.merge().avoids(l.node));
        if avoid_all.is_none() && all.iter().all(avoid) {
            avoid_all = Some(now - warm);
        }
    }
    let seconds = (end - warm) as f64 / SECOND as f64;
    let share = |d: Duration| 100.0 * d.as_secs_f64() / seconds;
    println!("{forwarders} forwarders, {nodes} nodes, one planner, a second of it:");
    println!("  hears {:.1} KB, frames up to {up_most} bytes", up as f64 / seconds / 1e3);
    println!("  says  {:.1} KB, frames up to {down_most} bytes", down as f64 / seconds / 1e3);
    println!(
        "  busy  {:.2}% of a core: {:.2}% reads, {:.2}% plans",
        share(planners + decode),
        share(decode),
        share(planners)
    );
    println!(
        "  a forwarder's side: {:.3}% of a core",
        share(theirs.saturating_sub(decode)) / forwarders as f64
    );
    match avoid_all {
        Some(t) => println!("  all avoid the three silent nodes after {} ms", t / 1000),
        None => println!("  not all avoid the three silent nodes"),
    }
}
