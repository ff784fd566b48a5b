//! The workload of a run: sizes, faults and every arrival, generated in advance from a seed. Equal setups
//! and seeds give equal workloads, whatever the limits do with them.

use super::random::{fraction, hash, Random, Zipf};
use crate::Micros;

/// A fault that lasts for a while, in microseconds from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Start of the fault.
    pub from: Micros,
    /// End of the fault.
    pub to: Micros,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The origin is this many times slower.
    Slow(f64),
    /// The origin is this many times slower for writes only.
    SlowWrites(f64),
    /// The two zones are disconnected from each other. The origin is in the first.
    ZonesDisconnected,
    /// This many times the usual traffic, with a share of all of it for eight keys that nobody requested
    /// before.
    Surge(f64, f64),
    /// The origin is down, receives nothing and loses its queue.
    OriginStop,
    /// A share of the origin's answers is delayed by so many microseconds.
    DelayedAnswers(f64, Micros),
    /// This proxy restarts at the beginning of the fault and loses its state.
    ProxyRestart(u32),
    /// No requests arrive.
    NoTraffic,
}

impl Fault {
    /// Whether the fault is active.
    pub fn is_active(&self, now: Micros) -> bool {
        (self.from..self.to).contains(&now)
    }

    /// The load added by a surge, as a multiple of the usual traffic.
    fn added_load(&self) -> f64 {
        if let FaultKind::Surge(times, _) = self.kind {
            (times - 1.0).max(0.0)
        } else {
            0.0
        }
    }
}

/// Sizes. The defaults are of the order of the platform's: 290 requests a second, a tenth of them writes,
/// ten nodes in two zones, and an origin with about twice the capacity needed on an ordinary day.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Proxies, one half in each zone.
    pub proxies: u32,
    /// Traffic of the first proxy as a multiple of that of each other one.
    pub first_proxy_weight: f64,
    /// Duration, in us.
    pub length: Micros,
    /// Requests a second.
    pub rate: f64,
    /// Share of writes among all requests.
    pub writes: f64,
    /// Cache nodes; without any, everything goes to the origin.
    pub nodes: u32,
    /// Cores of a node.
    pub node_cores: u32,
    /// Queue length of a node.
    pub node_queue: usize,
    /// Work of a read at a node, in us of a core.
    pub node_work: f64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf popularity of keys.
    pub zipf: f64,
    /// Keys that a node can cache.
    pub node_capacity: usize,
    /// Cores of the origin.
    pub cores: u32,
    /// Queue length of the origin.
    pub queue: usize,
    /// Work of a read at the origin, in us of a core.
    pub work: f64,
    /// Work of a write as a multiple of a read's.
    pub write_work: f64,
    /// Sigma of the lognormal work distribution.
    pub sigma: f64,
    /// Relative slowdown of the origin with a full queue.
    pub contention: f64,
    /// The origin stops when it is sent this multiple of its capacity
    pub fall_multiple: f64,
    /// for this long, in us.
    pub fall_for: Micros,
    /// How long it then stays down, in us.
    pub fall_stop: Micros,
    /// Latency target of reads and writes, in us.
    pub target: [Micros; 2],
    /// How long clients wait for reads and writes, in us.
    pub patience: [Micros; 2],
    /// Worth of a write relative to a read.
    pub worth: f64,
    /// Retries per client request.
    pub retries: u32,
    /// Faults during the run.
    pub faults: Vec<Fault>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            proxies: 2,
            first_proxy_weight: 1.0,
            length: 50_000_000,
            rate: 290.0,
            writes: 0.09,
            nodes: 10,
            node_cores: 4,
            node_queue: 12,
            node_work: 70_000.0,
            keys: 20_000,
            zipf: 1.05,
            node_capacity: 500,
            cores: 20,
            queue: 200,
            work: 100_000.0,
            write_work: 1.5,
            sigma: 0.5,
            contention: 0.15,
            fall_multiple: 2.5,
            fall_for: 3_000_000,
            fall_stop: 5_000_000,
            target: [750_000, 1_200_000],
            patience: [1_300_000, 1_600_000],
            worth: 3.0,
            retries: 1,
            faults: Vec::new(),
        }
    }
}

impl Setup {
    /// The active faults.
    pub fn active_faults(&self, now: Micros) -> impl Iterator<Item = FaultKind> + '_ {
        self.faults.iter().filter(move |t| t.is_active(now)).map(|t| t.kind)
    }

    /// The current slowdown factor of the origin.
    pub fn slowdown(&self, now: Micros, write: bool) -> f64 {
        let slow = |what| match what {
            FaultKind::Slow(times) => times,
            FaultKind::SlowWrites(times) if write => times,
            _ => 1.0,
        };
        self.active_faults(now).map(slow).product()
    }

    /// Whether two zones can reach each other.
    pub fn connected(&self, now: Micros, one: u32, other: u32) -> bool {
        one == other || !self.active_faults(now).any(|w| w == FaultKind::ZonesDisconnected)
    }

    /// The first proxy of a zone and the number of proxies in it. A single proxy serves both zones.
    pub fn proxies_in(&self, zone: u32) -> (u32, u32) {
        let first = self.proxies.div_ceil(2);
        match zone {
            _ if self.proxies < 2 => (0, 1),
            0 => (0, first),
            _ => (first, self.proxies - first),
        }
    }
}

/// First try of a client request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Micros,
    pub zone: u32,
    pub key: u64,
    pub write: bool,
    /// Work at a node and at the origin, in us of a core.
    pub node_work: f64,
    pub work: f64,
}

/// A setup with its generated arrivals.
pub struct Workload {
    /// The setup.
    pub setup: Setup,
    /// The seed.
    pub seed: u64,
    pub(super) arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates the workload.
    pub fn generate(setup: Setup, seed: u64) -> Self {
        let [mut times, mut keys, mut works, mut zones] = [0, 1, 2, 3].map(|p| Random::new(seed, p));
        let zipf = Zipf::new(setup.keys, setup.zipf);
        let peak_load = 1.0 + setup.faults.iter().map(Fault::added_load).sum::<f64>();
        let (mut arrivals, mut now) = (Vec::new(), 0.0);
        loop {
            now += times.exp() * 1e6 / (setup.rate * peak_load);
            let at = now as Micros;
            if at >= setup.length {
                return Workload { setup, seed, arrivals };
            }
            // Thinning: arrivals are drawn at the peak rate and accepted at the present one.
            let (accept, surge_draw, key_draw, write_draw) =
                (times.unit(), keys.unit(), keys.unit(), keys.unit());
            let (node_work, origin_work, zone_draw) =
                (works.exp(), works.lognormal(setup.sigma), zones.unit());
            let (mut load, mut hot) = (1.0, None);
            for (i, t) in setup.faults.iter().enumerate().filter(|(_, t)| t.is_active(at)) {
                load += t.added_load();
                match t.kind {
                    FaultKind::Surge(_, part) if surge_draw < part => {
                        hot = Some(hash(1 + i as u64) ^ (key_draw * 8.0) as u64)
                    }
                    FaultKind::NoTraffic => load = f64::NEG_INFINITY,
                    _ => {}
                }
            }
            if accept * peak_load >= load {
                continue;
            }
            let write = write_draw < setup.writes;
            arrivals.push(Arrival {
                at,
                zone: u32::from(zone_draw < 0.5),
                key: hot.unwrap_or_else(|| hash(zipf.rank(key_draw)) | 1),
                write,
                node_work: node_work * setup.node_work,
                work: origin_work * setup.work * if write { setup.write_work } else { 1.0 },
            });
        }
    }

    /// The proxy that handles a try of a client in this zone: a simple load balancer spreads them.
    pub(super) fn pick_proxy(&self, zone: u32, request: u64) -> u32 {
        let (first, count) = self.setup.proxies_in(zone);
        let first_proxy_weight = if first == 0 { self.setup.first_proxy_weight.max(0.0) } else { 1.0 };
        let at = fraction(request ^ hash(self.seed)) * (first_proxy_weight + f64::from(count - 1));
        first
            + if at < first_proxy_weight { 0 } else { (1 + (at - first_proxy_weight) as u32).min(count - 1) }
    }
}
