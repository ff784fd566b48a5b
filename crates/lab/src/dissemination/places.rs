//! Who stands where, and which machines a fault's [`Part`] means.

use super::scenario::Part;
use super::Node;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use world::geography::{Geography, Spot};
use world::Micros;

/// Proxies of a rack.
const RACK: usize = 20;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Places {
    pub geography: Geography,
    stores: u8,
    /// By the number of their proxies, the largest first.
    regions: Vec<u16>,
    zones: Vec<u16>,
}

impl Places {
    pub fn new(geography: Geography, stores: u8) -> Places {
        let ranked = |of: fn(&Spot) -> u16| {
            let mut count: BTreeMap<u16, usize> = BTreeMap::new();
            geography.proxies.iter().for_each(|s| *count.entry(of(s)).or_default() += 1);
            let mut ranked: Vec<(usize, u16)> = count.into_iter().map(|(place, n)| (n, place)).collect();
            ranked.sort_unstable_by_key(|(n, place)| (Reverse(*n), *place));
            ranked.into_iter().map(|(_, place)| place).collect::<Vec<u16>>()
        };
        let (regions, zones) = (ranked(|s| s.region), ranked(|s| s.zone));
        Places { geography, stores, regions, zones }
    }

    /// Where a control machine or a proxy stands; a client stands where it says itself.
    pub fn spot(&self, node: Node) -> Spot {
        let spot = match node {
            Node::Control(n) => self.geography.controls.get(usize::from(n)),
            Node::Proxy(n) => self.geography.proxies.get(n as usize),
            Node::Client(_) => None,
        };
        spot.copied().unwrap_or(Spot { region: 0, zone: 0, site: 0 })
    }

    /// Whether a machine that stands at `spot` belongs to a part.
    pub fn within(&self, part: &Part, node: Node, spot: Spot) -> bool {
        match part {
            Part::Region(n) => self.regions.get(*n) == Some(&spot.region),
            Part::Zone(n) => self.zones.get(*n) == Some(&spot.zone),
            Part::Control(c) => node == Node::Control(c.0),
            Part::Controls => matches!(node, Node::Control(_)),
            Part::Stores => matches!(node, Node::Control(c) if c < self.stores),
            Part::Proxy(p) => node == Node::Proxy(*p as u32),
            Part::Outside(part) => !self.within(part, node, spot),
            Part::All => true,
            Part::Rack(_) => self.members(part).contains(&node),
        }
    }

    /// All control machines and proxies of a part.
    pub fn members(&self, part: &Part) -> Vec<Node> {
        let g = &self.geography;
        if let Part::Rack(c) = part {
            let spot = self.spot(Node::Control(c.0));
            let mut near: Vec<(Micros, u32)> =
                g.proxies.iter().zip(0..).map(|(p, n)| (g.one_way_delay(spot, *p), n)).collect();
            near.sort_unstable();
            let proxies = near.iter().take(RACK).map(|(_, n)| Node::Proxy(*n));
            return [Node::Control(c.0)].into_iter().chain(proxies).collect();
        }
        let controls = (0..g.controls.len()).map(|n| Node::Control(n as u8));
        let all = controls.chain((0..g.proxies.len()).map(|n| Node::Proxy(n as u32)));
        all.filter(|node| self.within(part, *node, self.spot(*node))).collect()
    }
}
