//! Which control machines a follower turns to, in order. Each follower computes it alone.
//!
//! Weighted rendezvous: each control machine draws a score from a hash of the two names, and those that are near
//! have a greater weight, bounded so that no control machine has more than a small multiple of the mean load.
//! Two that are neighbours in the order stand in different zones, as long as there are any.

use crate::{ControlId, FollowerId, Micros};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Weight of a control machine in the follower's zone; of others in its region; 1 is that of all others. Of 24 in a
/// region with a fifth of the followers, one gets 1.6 times the mean by them.
const ZONE: f64 = 6.0;
/// See [`ZONE`].
const REGION: f64 = 4.0;

/// Where a machine stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// Which region.
    pub region: u16,
    /// Which zone, over all regions.
    pub zone: u16,
    /// Which site, over all zones.
    pub site: u16,
}

/// All control machines, by the place of each in the list, in the order in which a follower turns to them.
pub fn preference_order(follower: FollowerId, place: Location, controls: &[Location]) -> Vec<ControlId> {
    let score = |(c, at): (u8, &Location)| {
        let weight = match at {
            at if at.zone == place.zone => ZONE,
            at if at.region == place.region => REGION,
            _ => 1.0,
        };
        (-draw((follower, c)).ln() / weight, ControlId(c), at.zone)
    };
    let mut left: Vec<_> = (0..=u8::MAX).zip(controls).map(score).collect();
    left.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut order, mut last) = (Vec::with_capacity(left.len()), None);
    while !left.is_empty() {
        let other = left.iter().position(|c| Some(c.2) != last).unwrap_or(0);
        let (_, control, zone) = left.remove(other);
        order.push(control);
        last = Some(zone);
    }
    order
}

/// A span between none and the whole of one, by a hash of names: the same each time, and different for others.
pub(crate) fn spread(names: impl Hash, span: Micros) -> Micros {
    (draw(names) * span as f64) as Micros
}

/// Above 0, up to 1.
fn draw(names: impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    names.hash(&mut hasher);
    ((hasher.finish() >> 11) + 1) as f64 / (1u64 << 53) as f64
}
