//! Locations of proxies and control machines and the distances between them: sites in zones in regions, drawn
//! from a seed for any size of the fleet.
//!
//! Distances are one-way delays. A site is as large as a building and a zone as large as a town; regions are
//! points on a plane, and the largest distance between two of them corresponds to the longest cable paths on
//! earth.

use crate::random::{stream, Random};
use crate::Micros;
use rand::RngExt;

/// The size of the users' fleet; smaller fleets are scaled down from it.
pub const FULL_SIZE: Size = Size { regions: 33, zones: 82, sites: 670, proxies: 11_000, controls: 24 };

/// One-way delay between two machines of a site, of a zone, and of a region.
const IN_SITE_US: Micros = 100;
/// See [`IN_SITE_US`].
const IN_ZONE_US: Micros = 500;
/// See [`IN_SITE_US`].
const IN_REGION_US: Micros = 2_000;
/// One-way delay between regions: the minimum, and that between opposite corners of the plane.
const BETWEEN_REGIONS_US: [Micros; 2] = [10_000, 120_000];
/// Minimum numbers of a scaled fleet: five stores and one more control machine; two zones per region, for two
/// disjoint paths.
const MIN_CONTROLS: u32 = 6;
/// See [`MIN_CONTROLS`].
const MIN_REGIONS: u32 = 3;

/// Number of places and machines of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub regions: u32,
    pub zones: u32,
    pub sites: u32,
    pub proxies: u32,
    /// Control machines.
    pub controls: u32,
}

impl Size {
    /// The users' fleet scaled to this many proxies: the other numbers scale with the square root of the
    /// number of proxies, so that places become both fewer and smaller.
    pub fn of(proxies: u32) -> Size {
        let root = (f64::from(proxies) / f64::from(FULL_SIZE.proxies)).sqrt().min(1.0);
        let scaled = |of: u32, least: u32| ((f64::from(of) * root).round() as u32).max(least);
        let regions = scaled(FULL_SIZE.regions, MIN_REGIONS);
        let zones = scaled(FULL_SIZE.zones, 2 * regions);
        let sites = scaled(FULL_SIZE.sites, zones).min((proxies / 3).max(zones));
        Size { regions, zones, sites, proxies, controls: scaled(FULL_SIZE.controls, MIN_CONTROLS) }
    }
}

/// A location: the site is in the zone, the zone in the region. Numbers are unique across the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Spot {
    pub region: u16,
    pub zone: u16,
    pub site: u16,
}

/// The locations of all machines.
#[derive(Clone, Debug)]
pub struct Geography {
    /// Positions of the regions on a unit square.
    regions: Vec<(f64, f64)>,
    /// By the proxy's number.
    pub proxies: Vec<Spot>,
    /// By the index in the control list.
    pub controls: Vec<Spot>,
}

impl Geography {
    /// Draws a fleet. Every region has a zone, every zone a site, every site a proxy; the rest is distributed
    /// unevenly. Control machines are placed in pairs in two zones of the regions with the most proxies; the
    /// first of each pair come first in the list, so that stores are in different regions.
    pub fn draw(size: Size, seed: u64) -> Geography {
        let mut rng = stream(seed, "geography", 0);
        let regions = (0..size.regions).map(|_| (rng.random(), rng.random())).collect();
        let region_of = distribute(size.zones, size.regions, 2, &mut rng);
        let zone_of = distribute(size.sites, size.zones, 1, &mut rng);
        let site_of = distribute(size.proxies, size.sites, 1, &mut rng);
        let spot = |site: u32| {
            let zone = zone_of.get(site as usize).copied().unwrap_or(0);
            let region = region_of.get(zone as usize).copied().unwrap_or(0);
            Spot { region: region as u16, zone: zone as u16, site: site as u16 }
        };
        let proxies: Vec<Spot> = site_of.iter().map(|site| spot(*site)).collect();
        let controls = controls(size, &proxies, &zone_of, &spot);
        Geography { regions, proxies, controls }
    }

    /// One-way delay between two locations.
    pub fn one_way_delay(&self, a: Spot, b: Spot) -> Micros {
        if a.site == b.site {
            IN_SITE_US
        } else if a.zone == b.zone {
            IN_ZONE_US
        } else if a.region == b.region {
            IN_REGION_US
        } else {
            let at = |r: u16| self.regions.get(usize::from(r)).copied().unwrap_or((0.0, 0.0));
            let ((ax, ay), (bx, by)) = (at(a.region), at(b.region));
            let part = ((ax - bx).hypot(ay - by) / 2f64.sqrt()).min(1.0);
            BETWEEN_REGIONS_US[0] + (part * (BETWEEN_REGIONS_US[1] - BETWEEN_REGIONS_US[0]) as f64) as Micros
        }
    }
}

/// Distributes `of` items over `places`: `least` into each as far as possible, the rest by a random weight
/// per place.
fn distribute(of: u32, places: u32, least: u32, rng: &mut Random) -> Vec<u32> {
    let weights: Vec<f64> = (0..places).map(|_| crate::random::exponential(rng) + 0.1).collect();
    let whole: f64 = weights.iter().sum();
    let mut into: Vec<u32> = (0..least).flat_map(|_| 0..places).take(of as usize).collect();
    while into.len() < of as usize {
        let mut left = rng.random::<f64>() * whole;
        let place = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        into.push(place.map_or(places - 1, |p| p as u32));
    }
    into.sort_unstable();
    into
}

fn controls(size: Size, proxies: &[Spot], zone_of: &[u32], spot: &dyn Fn(u32) -> Spot) -> Vec<Spot> {
    let mut count = vec![(0u32, 0u16); size.regions as usize];
    for p in proxies {
        if let Some(c) = count.get_mut(usize::from(p.region)) {
            *c = (c.0 + 1, p.region);
        }
    }
    count.sort_unstable_by_key(|(n, region)| (std::cmp::Reverse(*n), *region));
    // The first site of each zone; every region has at least two zones.
    let mut sites: Vec<Spot> = Vec::new();
    for (site, _) in zone_of.iter().enumerate() {
        let here = spot(site as u32);
        if sites.last().is_none_or(|s| s.zone != here.zone) {
            sites.push(here);
        }
    }
    let pairs = (size.controls as usize).div_ceil(2).min(count.len()).max(1);
    let mut spots = Vec::new();
    for round in 0.. {
        for (_, region) in count.iter().take(pairs) {
            let zones: Vec<&Spot> = sites.iter().filter(|s| s.region == *region).collect();
            if spots.len() < size.controls as usize {
                spots.extend(zones.get(round % zones.len().max(1)).map(|s| **s));
            }
        }
        if spots.len() >= size.controls as usize || round > size.controls as usize {
            break;
        }
    }
    spots
}

#[cfg(test)]
mod tests;
