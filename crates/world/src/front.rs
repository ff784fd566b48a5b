//! The load balancer in front of the proxies. It spreads clients over the proxies of their zone and notices
//! with a delay that a proxy has died or is back.

use crate::facts::ProxyNo;
use crate::random::{mix, seconds, within, Random};
use crate::scenario::Range;
use crate::Micros;

#[derive(Clone, Debug)]
pub struct Front {
    rng: Random,
    notice: Range,
    /// The zone of each proxy, and whether the front considers it alive.
    zones: Vec<u16>,
    alive: Vec<bool>,
    /// The proxies to choose from, by zone.
    picks: Vec<Vec<ProxyNo>>,
    notices: Vec<(Micros, ProxyNo, bool)>,
}

impl Front {
    /// `proxies` holds the zone of each proxy.
    pub fn new(notice: Range, zones: usize, proxies: Vec<u16>, rng: Random) -> Self {
        let alive = vec![true; proxies.len()];
        let picks = vec![Vec::new(); zones];
        let mut front = Front { rng, notice, zones: proxies, alive, picks, notices: Vec::new() };
        front.sort();
        front
    }

    fn sort(&mut self) {
        let alive: Vec<ProxyNo> =
            (0..self.zones.len()).filter(|i| self.alive[*i]).map(|i| ProxyNo(i as u32)).collect();
        for (zone, picks) in self.picks.iter_mut().enumerate() {
            let here = |p: &&ProxyNo| usize::from(self.zones[p.0 as usize]) == zone;
            *picks = alive.iter().filter(here).copied().collect();
            if picks.is_empty() {
                // Clients of a zone without a live proxy go to the other zones.
                picks.clone_from(&alive);
            }
        }
    }

    /// The proxy for a try from this zone; `number` selects among several.
    pub fn pick(&self, zone: u16, number: u64) -> Option<ProxyNo> {
        let picks = self.picks.get(usize::from(zone))?;
        picks.get((mix(number) % picks.len().max(1) as u64) as usize).copied()
    }

    /// A proxy is told to shut down or is listed again. The front is informed at once and stops or resumes
    /// sending to it.
    pub fn told(&mut self, proxy: ProxyNo, alive: bool) {
        self.notices.retain(|n| n.1 != proxy);
        if let Some(a) = self.alive.get_mut(proxy.0 as usize) {
            *a = alive;
        }
        self.sort();
    }

    /// A proxy has died or is back; the front notices after a delay.
    pub fn changed(&mut self, now: Micros, proxy: ProxyNo, alive: bool) {
        let at = now + seconds(within(self.notice, &mut self.rng));
        self.notices.retain(|n| n.1 != proxy);
        self.notices.push((at, proxy, alive));
    }

    pub fn next(&self) -> Option<Micros> {
        self.notices.iter().map(|n| n.0).min()
    }

    pub fn advance(&mut self, now: Micros) {
        if self.next().is_none_or(|at| at > now) {
            return;
        }
        let due = |n: &(Micros, ProxyNo, bool)| n.0 <= now;
        for (_, proxy, alive) in self.notices.iter().filter(|n| due(n)) {
            if let Some(a) = self.alive.get_mut(proxy.0 as usize) {
                *a = *alive;
            }
        }
        self.notices.retain(|n| !due(n));
        self.sort();
    }
}

#[cfg(test)]
mod tests;
