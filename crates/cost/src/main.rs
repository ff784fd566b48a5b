//! `cost`: runs the simulations of this package; `crates/cost/ledger` runs it under callgrind.

use clap::{Parser, Subcommand};
use cost::counting::{allocations, bytes_held, CountingAllocator};
use cost::decision::{Router, Work};
use cost::request::{Proxy, Stage, STAGES};
use martenweir::interface::ListForm;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[derive(Parser)]
#[command(about = "What a request costs, by stage and by size")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Decisions with their outcomes: ns, allocations and bytes held
    Decision {
        nodes: u64,
        #[arg(default_value_t = 20_000)]
        rounds: u64,
        /// Request only keys that were never requested before
        #[arg(long)]
        new: bool,
        /// The work whose instructions callgrind counts in the second half
        #[arg(long)]
        count: Option<Work>,
    },
    /// Requests through codecs and core: ns and allocations by stage
    Request {
        nodes: u64,
        downstreams: u64,
        #[arg(default_value_t = 20_000)]
        rounds: u64,
        /// The stage whose instructions callgrind counts in the second half
        #[arg(long)]
        count: Option<Stage>,
    },
    /// Timer events of the decision module and full server lists: us each
    Turns {
        nodes: u64,
        #[arg(default_value_t = 100)]
        rounds: u64,
    },
}

fn main() {
    match Arguments::parse().command {
        Command::Decision { nodes, rounds, new, count } => {
            let before = bytes_held();
            let mut router = Router::new(nodes);
            let listed = bytes_held() - before;
            router.run(rounds, new);
            router.counted = count;
            let (since, allocated_before) = (Instant::now(), allocations());
            router.run(rounds, new);
            let (ns, allocated) = (since.elapsed().as_nanos(), allocations() - allocated_before);
            let each = |x: f64| x / rounds as f64;
            println!(
                "nodes={nodes} ns={:.0} allocations={:.2} refused={} bytes_listed={listed} bytes_after={}",
                each(ns as f64),
                each(allocated as f64),
                router.refused,
                bytes_held() - before
            );
        }
        Command::Request { nodes, downstreams, rounds, count } => {
            let before = bytes_held();
            let mut proxy = Proxy::new(nodes, downstreams);
            let listed = bytes_held() - before;
            proxy.run(rounds.max(2 * downstreams));
            proxy.reset();
            proxy.counted = count;
            let since = Instant::now();
            proxy.run(rounds);
            let ns = since.elapsed().as_nanos() as f64 / rounds as f64;
            print!("nodes={nodes} downstreams={downstreams} ns={ns:.0} served={}", proxy.served);
            for (name, count) in STAGES.iter().zip(proxy.allocations) {
                print!(" {}={:.2}", name.replace(' ', "_"), count as f64 / rounds as f64);
            }
            println!(" bytes_listed={listed} bytes_after={}", bytes_held() - before);
        }
        Command::Turns { nodes, rounds } => {
            let mut router = Router::new(nodes);
            router.run(20_000, false);
            let since = Instant::now();
            (0..rounds).for_each(|_| router.turn());
            let turn = since.elapsed().as_secs_f64() * 1e6 / rounds as f64;
            let lists: Vec<_> = (0..rounds).map(|_| cost::fleet(nodes)).collect();
            let since = Instant::now();
            lists.into_iter().for_each(|list| router.members(ListForm::Full, list));
            let list = since.elapsed().as_secs_f64() * 1e6 / rounds as f64;
            println!("nodes={nodes} turn_us={turn:.0} whole_list_us={list:.0}");
        }
    }
}
