//! The order in which a follower tries control machines. Each follower computes it independently.
//!
//! Uses weighted rendezvous hashing: each control machine gets a score from a hash of the follower's and its
//! own id. Near machines get a higher weight, which is limited so that no control machine gets more than a
//! small multiple of the mean load. Adjacent machines in the order are in different zones as long as any are
//! left.

use crate::{ControlId, FollowerId, Micros};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Weight of a control machine in the follower's zone. [`REGION_WEIGHT`] applies to others in its region; all
/// others have weight 1. With 24 control machines, a single one in a region that has a fifth of the followers
/// gets 1.6 times the mean load.
const ZONE_WEIGHT: f64 = 6.0;
/// Weight of a control machine in the follower's region; see [`ZONE_WEIGHT`].
const REGION_WEIGHT: f64 = 4.0;

/// Where a machine is located.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// The region.
    pub region: u16,
    /// The zone, numbered across all regions.
    pub zone: u16,
    /// The site, numbered across all zones.
    pub site: u16,
}

/// All control machines, identified by their index in `controls`, in the order in which the follower tries
/// them.
pub fn preference_order(follower: FollowerId, place: Location, controls: &[Location]) -> Vec<ControlId> {
    let score = |(c, at): (u8, &Location)| {
        let weight = match at {
            at if at.zone == place.zone => ZONE_WEIGHT,
            at if at.region == place.region => REGION_WEIGHT,
            _ => 1.0,
        };
        (-uniform_hash((follower, c)).ln() / weight, ControlId(c), at.zone)
    };
    let mut remaining: Vec<_> = (0..=u8::MAX).zip(controls).map(score).collect();
    remaining.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut order, mut last) = (Vec::with_capacity(remaining.len()), None);
    while !remaining.is_empty() {
        let next = remaining.iter().position(|c| Some(c.2) != last).unwrap_or(0);
        let (_, control, zone) = remaining.remove(next);
        order.push(control);
        last = Some(zone);
    }
    order
}

/// A duration between 0 and `span`, derived from a hash: constant for the same names, different for others.
pub(crate) fn hash_jitter(names: impl Hash, span: Micros) -> Micros {
    (uniform_hash(names) * span as f64) as Micros
}

/// A hash of the names as a number above 0 and up to 1.
fn uniform_hash(names: impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    names.hash(&mut hasher);
    ((hasher.finish() >> 11) + 1) as f64 / (1u64 << 53) as f64
}
