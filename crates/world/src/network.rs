//! Network delays within and between zones and to clients, zones that are cut off, and connections that break
//! while in use.
//!
//! A message across a cut is silently lost: the host keeps the connection open and silent, and breaks it when
//! the cut ends.

use crate::random::{chance, exponential, Random};
use crate::scenario;
use crate::Micros;

#[derive(Clone, Debug)]
pub struct Network {
    rng: Random,
    same: f64,
    cross: f64,
    client: f64,
    jitter: f64,
    broken: f64,
    /// Number of active cuts of each zone.
    cuts: Vec<u32>,
}

impl Network {
    pub fn new(n: &scenario::Network, zones: usize, rng: Random) -> Self {
        Network {
            rng,
            same: n.same_hall_ms * 1e3,
            cross: n.cross_hall_ms * 1e3,
            client: n.client_ms * 1e3,
            jitter: n.jitter,
            broken: n.broken,
            cuts: vec![0; zones],
        }
    }

    fn drawn(&mut self, mean: f64) -> Micros {
        // A constant part and an exponential tail, as queues along the path produce it; the mean is
        // unchanged.
        let jitter = self.jitter.min(1.0);
        (mean * (1.0 - jitter + self.jitter * exponential(&mut self.rng))).max(1.0) as Micros
    }

    pub fn is_cut(&self, a: u16, b: u16) -> bool {
        let cut = |zone: u16| self.cuts.get(usize::from(zone)).is_some_and(|c| *c > 0);
        a != b && (cut(a) || cut(b))
    }

    /// One-way delay from one zone to another; `None` if the message is lost.
    pub fn between(&mut self, a: u16, b: u16) -> Option<Micros> {
        if self.is_cut(a, b) {
            return None;
        }
        Some(self.drawn(if a == b { self.same } else { self.cross }))
    }

    /// One-way delay between a client and a proxy.
    pub fn to_client(&mut self) -> Micros {
        self.drawn(self.client)
    }

    /// Whether this attempt's connection breaks while in use.
    pub fn breaks(&mut self) -> bool {
        chance(self.broken, &mut self.rng)
    }

    pub fn cut(&mut self, zone: u16, on: bool) {
        if let Some(cuts) = self.cuts.get_mut(usize::from(zone)) {
            *cuts = if on { *cuts + 1 } else { cuts.saturating_sub(1) };
        }
    }

    pub fn break_connections(&mut self, part: f64) {
        self.broken = part;
    }

    pub fn broken(&self) -> f64 {
        self.broken
    }
}

#[cfg(test)]
mod tests;
