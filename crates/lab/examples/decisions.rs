//! What a decision costs: the time that the module alone takes for a request, with all that belongs to it (its
//! outcomes, its timers), at several sizes.
//!
//! One proxy's module is driven by events with peers in place of a world: a part of the reads hits, the others
//! miss and go on to the ledger. Each node is asked for 12 requests a second over all proxies, as in
//! `scenarios/scale.toml`, so a proxy has the less traffic the more proxies there are. Only the calls of
//! [`Balancer::handle`] are timed. All rounds have one seed and so make the same calls; each call counts as the least
//! that it took in any of them, which leaves out what else the machine did meanwhile.
//!
//! `cargo run --release -p lab --example decisions [PLOT.svg]`

use lab::report::plot;
use martenweir::choice::Balancer;
use martenweir::interface::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

const NODES: [u32; 3] = [10, 100, 1_000];
const PROXIES: [u32; 3] = [2, 16, 64];
const ROUNDS: u32 = 5;
const REQUESTS: u64 = 10_000;
const SEED: u64 = 1;
/// Played before anything is timed, so that limits and moments have settled.
const SETTLING_S: f64 = 10.0;
/// Requests a second for each node, keys, and the parts of requests that hit and that write.
const RATE: f64 = 12.0;
const KEYS: u64 = 800;
const HITS: f64 = 0.57;
const WRITES: f64 = 0.09;
/// Times of a cache's answer, of a miss and of the ledger, in us.
const HIT: f64 = 70_000.0;
const MISS: f64 = 8_000.0;
const LEDGER: f64 = 100_000.0;
const PATIENCE: Micros = 2_000_000;
const ORIGIN: ServerId = ServerId(u64::MAX);
/// Utilisation that nodes report.
const UTILISATION: f32 = 0.4;

/// The module, and the peers that answer what it sends.
struct Rig {
    balancer: Balancer,
    rng: Xoshiro256PlusPlus,
    now: Micros,
    /// What is ahead, by time and order, as the place of its event in `events`.
    ahead: BinaryHeap<Reverse<(Micros, usize)>>,
    events: Vec<Option<Event>>,
    /// Attempts that each request has made, by its id.
    attempts: Vec<u8>,
    actions: Vec<Action>,
    /// The time of each call, in ns.
    spent: Vec<u64>,
}

impl Rig {
    fn new(nodes: u32, proxies: u32, seed: u64) -> Rig {
        let class = |repeat, value| Class {
            target_latency: 750_000,
            limit: PATIENCE,
            repeat,
            value,
            ..Class::default()
        };
        let settings = Settings {
            routers: proxies,
            classes: vec![class(Repeat::Retryable, 1.0), class(Repeat::Fragile, 3.0)],
            origin_kind: Some(KindId(1)),
            columns: vec![Column::Utilisation],
            max_attempts: 4,
            ..Settings::default()
        };
        let node =
            |i: u32| Member { zone: ZoneId((i % 2) as u16), ..Member::ready(ServerId(u64::from(i) + 1)) };
        let mut entries: Vec<Member> = (0..nodes).map(node).collect();
        entries.push(Member { kind: KindId(1), ..Member::ready(ORIGIN) });
        let mut rig = Rig {
            balancer: Balancer::new(settings, seed),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            ahead: BinaryHeap::new(),
            events: Vec::new(),
            attempts: Vec::new(),
            actions: Vec::new(),
            spent: Vec::new(),
        };
        rig.handle(Event::Members { form: ListForm::Cached, entries });
        rig
    }

    fn after(&mut self, after: Micros, event: Event) {
        self.ahead.push(Reverse((self.now + after.max(1), self.events.len())));
        self.events.push(Some(event));
    }

    fn drawn(&mut self, mean: f64) -> Micros {
        (mean * -(1.0 - self.rng.random::<f64>()).ln()) as Micros
    }

    /// Hands an event in, and has the peers take up what comes of it.
    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let from = Instant::now();
        self.balancer.handle(self.now, event, &mut actions);
        self.spent.push(u64::try_from(from.elapsed().as_nanos()).unwrap_or(u64::MAX));
        for action in actions.drain(..) {
            match action {
                Action::Send { request, server, .. } => self.send(request, server),
                Action::Timer { after, token } => self.after(after, Event::Timer(token)),
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, request: RequestId, server: ServerId) {
        let Some(attempts) = self.attempts.get_mut(request.0 as usize) else { return };
        let attempt = std::mem::replace(attempts, *attempts + 1);
        let (verdict, mean) = match server {
            ORIGIN => (Verdict::Served, LEDGER),
            _ if self.rng.random::<f64>() < HITS => (Verdict::Served, HIT),
            _ => (Verdict::Miss, MISS),
        };
        let elapsed = self.drawn(mean);
        let report = if server == ORIGIN { Vec::new() } else { vec![UTILISATION] };
        let finished = verdict == Verdict::Served;
        let note = if finished { 1 } else { 2 };
        let end =
            Outcome { request, attempt, server, verdict, elapsed, finished, no_place: false, note, report };
        self.after(elapsed, Event::Outcome(end));
    }

    /// The time of each call, in ns, over so many requests.
    fn play(&mut self, requests: u64, keys: u64, rate: f64) -> Vec<u64> {
        self.spent.clear();
        let mut arrival = self.now;
        for _ in 0..requests {
            arrival += self.drawn(1e6 / rate).max(1);
            while let Some(Reverse((at, event))) = self.ahead.peek().copied().filter(|a| a.0 .0 <= arrival) {
                self.ahead.pop();
                self.now = at;
                if let Some(event) = self.events[event].take() {
                    self.handle(event);
                }
            }
            self.now = arrival;
            let write = self.rng.random::<f64>() < WRITES;
            // A quarter of the draws among a hundredth of the keys, so that some are popular.
            let among = if self.rng.random::<f64>() < 0.25 { keys / 100 } else { keys }.max(1);
            let request = Request {
                id: RequestId(self.attempts.len() as u64),
                class: ClassId(u16::from(write)),
                key: Key(1 + self.rng.random_range(0..among)),
                write,
                deadline: arrival + PATIENCE,
                ..Request::default()
            };
            self.attempts.push(0);
            self.handle(Event::Request(request));
        }
        std::mem::take(&mut self.spent)
    }
}

/// The time that the module takes for a request, in us.
fn measured(nodes: u32, proxies: u32) -> f64 {
    let rate = RATE * f64::from(nodes) / f64::from(proxies);
    let keys = KEYS * u64::from(nodes);
    let round = || {
        let mut rig = Rig::new(nodes, proxies, SEED);
        rig.play((SETTLING_S * rate) as u64 + 1, keys, rate);
        rig.play(REQUESTS, keys, rate)
    };
    let mut least = round();
    for _ in 1..ROUNDS {
        least.iter_mut().zip(round()).for_each(|(least, ns)| *least = ns.min(*least));
    }
    least.iter().sum::<u64>() as f64 / 1e3 / REQUESTS as f64
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("| nodes | proxies | requests a second and proxy | us a request |");
    println!("| ---: | ---: | ---: | ---: |");
    let mut lines: Vec<plot::Line> = Vec::new();
    for proxies in PROXIES {
        let mut points = Vec::new();
        for nodes in NODES {
            let us = measured(nodes, proxies);
            println!(
                "| {nodes} | {proxies} | {:.0} | {us:.1} |",
                RATE * f64::from(nodes) / f64::from(proxies)
            );
            points.push((f64::from(nodes).log10(), Some(us)));
        }
        lines.push(plot::Line { name: format!("{proxies} proxies"), points });
    }
    if let Some(file) = std::env::args().nth(1) {
        let axes = plot::Axes { x: "nodes, as a power of ten", y: "us a request", ..plot::Axes::default() };
        std::fs::write(file, plot::lines(&lines, axes)?)?;
    }
    Ok(())
}
