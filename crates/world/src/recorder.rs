//! Counts the results of requests into a [`Tally`] and a timeline; the same bookkeeping for every host.

use crate::clients::{Request, TryEnd};
use crate::origin;
use crate::outcome::{ClassTally, Second, Tally, Work};
use crate::random::ms;
use crate::scenario::Scenario;
use crate::Micros;

const SECOND: Micros = 1_000_000;
/// Bounds the timeline to a little more than a day, whatever times are passed in.
const MAX_SECONDS: usize = 100_000;

#[derive(Clone, Debug)]
pub struct Recorder {
    aims: Vec<Micros>,
    tally: Tally,
    timeline: Vec<Second>,
    /// The current second, and its latencies by class.
    second: usize,
    latencies: Vec<Vec<u32>>,
    origin: origin::Counters,
}

impl Recorder {
    pub fn new(s: &Scenario) -> Self {
        let class =
            |c: &crate::scenario::ClientClass| ClassTally { name: c.name.clone(), ..Default::default() };
        Recorder {
            aims: s.clients.classes.iter().map(|c| ms(c.aim_ms)).collect(),
            tally: Tally { classes: s.clients.classes.iter().map(class).collect(), ..Tally::default() },
            timeline: Vec::new(),
            second: 0,
            latencies: vec![Vec::new(); s.clients.classes.len()],
            origin: origin::Counters::default(),
        }
    }

    fn at(&mut self, at: Micros) -> &mut Second {
        let i = ((at.max(0) / SECOND) as usize).min(MAX_SECONDS);
        if i >= self.timeline.len() {
            self.timeline.resize_with(i + 1, Second::default);
        }
        &mut self.timeline[i]
    }

    /// A request whose first try is to be sent.
    pub fn asked(&mut self, r: &Request) {
        self.at(r.at).worth_asked += r.worth;
        if let Some(class) = self.tally.classes.get_mut(usize::from(r.class.0)) {
            class.counts.requests += 1;
            class.counts.worth_asked += r.worth;
        }
    }

    /// A try is sent.
    pub fn tried(&mut self, at: Micros, r: &Request, retry: bool) {
        let second = self.at(at);
        second.tries += 1;
        second.retries += u64::from(retry);
        if let Some(class) = self.tally.classes.get_mut(usize::from(r.class.0)) {
            class.counts.retries += u64::from(retry);
        }
    }

    /// A try has ended for its client.
    pub fn ended(&mut self, at: Micros, end: TryEnd) {
        let second = self.at(at);
        match end {
            TryEnd::Served => second.served += 1,
            TryEnd::Refused(_) => second.refused += 1,
            TryEnd::Failed | TryEnd::Unreached => second.failed += 1,
            TryEnd::Left => second.left += 1,
        }
    }

    /// A request is finished, by the end of its last try.
    pub fn over(&mut self, at: Micros, r: &Request, end: TryEnd) {
        let i = usize::from(r.class.0);
        let latency = at - r.at;
        let in_time = end == TryEnd::Served && self.aims.get(i).is_some_and(|aim| latency <= *aim);
        if in_time {
            self.at(r.at).worth_served += r.worth;
        }
        let Some(class) = self.tally.classes.get_mut(i) else { return };
        let c = &mut class.counts;
        match end {
            TryEnd::Served if in_time => {
                c.in_time += 1;
                c.worth_served += r.worth;
            }
            TryEnd::Served => c.late += 1,
            TryEnd::Refused(_) => c.refused += 1,
            TryEnd::Failed | TryEnd::Unreached => c.failed += 1,
            TryEnd::Left => c.left += 1,
        }
        if end == TryEnd::Served {
            class.latency_us.add(latency);
            self.close_seconds(at);
            self.latencies[i].push(latency.clamp(0, Micros::from(u32::MAX)) as u32);
        }
    }

    /// Completes the seconds before this moment.
    fn close_seconds(&mut self, at: Micros) {
        let now = ((at.max(0) / SECOND) as usize).min(MAX_SECONDS);
        if now <= self.second {
            return;
        }
        let quantile = |sorted: &[u32], q: f64| {
            let rank = (q * sorted.len() as f64).ceil() as usize;
            sorted.get(rank.max(1) - 1).map(|l| Micros::from(*l))
        };
        let (mut p50, mut p99) = (Vec::new(), Vec::new());
        for latencies in &mut self.latencies {
            latencies.sort_unstable();
            p50.push(quantile(latencies, 0.5));
            p99.push(quantile(latencies, 0.99));
            latencies.clear();
        }
        let before = self.second as Micros * SECOND;
        let second = self.at(before);
        (second.p50_us, second.p99_us) = (p50, p99);
        self.second = now;
    }

    /// Called at the end of each second with the load of each node and the origin's counters.
    pub fn sampled(&mut self, at: Micros, node_load: Vec<f32>, out: usize, counted: origin::Counters) {
        let before = std::mem::replace(&mut self.origin, counted);
        let second = self.at(at - 1);
        second.node_load = node_load;
        second.ledger_out = out as u32;
        second.ledger_served = counted.served - before.served;
        second.ledger_refused = counted.refused - before.refused;
    }

    pub fn work(&mut self) -> &mut Work {
        &mut self.tally.work
    }

    pub fn finish(mut self, at: Micros) -> (Tally, Vec<Second>) {
        self.close_seconds(at + SECOND);
        let classes = self.tally.classes.len();
        for second in &mut self.timeline {
            second.p50_us.resize(classes, None);
            second.p99_us.resize(classes, None);
        }
        self.tally.ledger_reads = self.origin.reads;
        self.tally.ledger_writes = self.origin.writes;
        self.tally.ledger_refused = self.origin.refused;
        self.tally.ledger_stops = self.origin.stops;
        (self.tally, self.timeline)
    }
}
