//! Generates the requests of a run in advance: arrival time, key, sender, and the patience of that client.

use super::{Popularity, Traffic};
use crate::facts::{ClassNo, RequestNo};
use crate::random::{chance, exponential, mix, ms, seconds, seed_of, stream, within, Random};
use crate::scenario::{ClientClass, Scenario};
use crate::Micros;
use rand::RngExt;

/// Number of keys that a crowd asks for.
const CROWD_KEYS: u32 = 5;

/// A client's request, across all of its tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub no: RequestNo,
    /// When the client wants to send its first try; latencies are measured from here.
    pub at: Micros,
    pub class: ClassNo,
    /// Index in the scenario's tenants; 0 if there are none.
    pub tenant: u32,
    /// Index of the zone whose proxies it is sent to.
    pub zone: u16,
    pub key: u64,
    /// Size of the value.
    pub bytes: u64,
    /// Work of a hit, in microseconds of a standard core.
    pub work: f64,
    /// Worth of an answer in time; lower if the tenant exceeds its share.
    pub worth: f64,
    /// Maximum number of retries.
    pub retries: u32,
    /// Timeout of a try.
    pub try_for: Micros,
    /// Backoff before the first retry.
    pub backoff: Micros,
    /// Whether the client waits for as long as a refusal says.
    pub honours: bool,
}

impl Request {
    /// The idempotency key, the same for all of its tries.
    pub fn repeat_key(&self) -> u64 {
        mix(self.no.0.wrapping_add(0x51ed_270b_91f3_04a7))
    }
}

/// The values of a class that are needed for each request.
#[derive(Clone, Copy, Debug)]
struct Class {
    part: f64,
    patience: Micros,
}

/// The requests of a run, in chronological order.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: Random,
    popularity: Popularity,
    traffic: Traffic,
    classes: Vec<(Class, ClientClass)>,
    zones: Vec<f64>,
    /// For each tenant: its share in requests per microsecond, the tokens left, and when they were last
    /// refilled.
    quotas: Vec<(f64, f64, Micros)>,
    over_share_worth: f64,
    retries: [f64; 2],
    try_part: [f64; 2],
    backoff: [f64; 2],
    honour: f64,
    end: Micros,
    now: f64,
    drawn: u64,
}

impl Arrivals {
    pub fn new(s: &Scenario, seed: u64) -> Self {
        let c = &s.clients;
        let shares: f64 = c.classes.iter().map(|c| c.share).sum();
        let class =
            |c: &ClientClass| (Class { part: c.share / shares, patience: ms(c.patience_ms) }, c.clone());
        let skewed = |i: usize| if i == 0 && s.halls.len() > 1 { 1.0 + c.hall_skew } else { 1.0 };
        let zones: Vec<f64> = (0..s.halls.len()).map(skewed).collect();
        let all: f64 = zones.iter().sum();
        let tenants: f64 = c.tenants.iter().map(|t| t.share).sum();
        let quota = |share: f64| s.rules.quota_multiple * c.rate_per_s * share / tenants / 1e6;
        Arrivals {
            rng: stream(seed, "arrivals", 0),
            popularity: Popularity::new(&c.popularity, seed_of(seed, "popularity", 0)),
            traffic: Traffic::new(s),
            classes: c.classes.iter().map(class).collect(),
            zones: zones.iter().map(|h| h / all).collect(),
            quotas: c.tenants.iter().map(|t| (quota(t.share), quota(t.share) * 1e6, 0)).collect(),
            over_share_worth: s.rules.over_share_worth,
            retries: c.retries,
            try_part: c.try_part,
            backoff: c.backoff_ms,
            honour: c.honour,
            end: seconds(s.seconds),
            now: 0.0,
            drawn: 0,
        }
    }

    /// Each tenant's share over all proxies, in requests per second.
    pub fn quotas_per_s(&self) -> Vec<f64> {
        self.quotas.iter().map(|(rate, ..)| rate * 1e6).collect()
    }

    pub fn popularity(&self) -> &Popularity {
        &self.popularity
    }

    /// Whether a request of this tenant is within its share: a token bucket that holds one second's worth.
    fn within_share(&mut self, tenant: usize, now: Micros) -> bool {
        let Some((rate, left, at)) = self.quotas.get_mut(tenant) else { return true };
        *left = (*left + *rate * (now - *at) as f64).min((*rate * 1e6).max(1.0));
        *at = now;
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    fn pick(parts: impl Iterator<Item = f64>, draw: f64) -> usize {
        let (mut left, mut last) = (draw, 0);
        for (i, part) in parts.enumerate() {
            left -= part;
            last = i;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

impl Iterator for Arrivals {
    type Item = Request;

    /// Draws by thinning (Lewis and Shedler: Simulation of nonhomogeneous Poisson processes by thinning,
    /// 1979).
    fn next(&mut self) -> Option<Request> {
        let max_rate = self.traffic.max_rate();
        loop {
            self.now += exponential(&mut self.rng) / max_rate;
            if self.now >= self.end as f64 {
                return None;
            }
            if self.rng.random::<f64>() * max_rate < self.traffic.rate(self.now as Micros) {
                break;
            }
        }
        let at = self.now as Micros;
        let rng = &mut self.rng;
        let class = Self::pick(self.classes.iter().map(|c| c.0.part), rng.random());
        let tenant = self.traffic.tenant(at, rng.random());
        let zone = Self::pick(self.zones.iter().copied(), rng.random());
        let (derived, settings) = &self.classes[class];
        let crowd = self.traffic.crowd(at);
        let key = if !settings.write && chance(crowd, rng) {
            self.popularity.crowd_key(rng.random_range(0..CROWD_KEYS))
        } else {
            self.popularity.key(self.popularity.rank(rng), at)
        };
        let work = settings.work_ms * 1e3 * settings.work.draw(settings.work_cv, rng);
        let retries = within(self.retries, rng) as u32;
        let try_for = (derived.patience as f64 * within(self.try_part, rng)) as Micros;
        let backoff = ms(within(self.backoff, rng));
        let honours = chance(self.honour, rng);
        let worth = settings.worth;
        self.drawn += 1;
        let worth = if self.within_share(tenant, at) { worth } else { worth * self.over_share_worth };
        Some(Request {
            no: RequestNo(self.drawn),
            at,
            class: ClassNo(class as u16),
            tenant: tenant as u32,
            zone: zone as u16,
            key,
            bytes: self.popularity.bytes(key),
            work,
            worth,
            retries,
            try_for: try_for.max(1),
            backoff,
            honours,
        })
    }
}
