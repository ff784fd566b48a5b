//! Identifier types. Use them instead of bare integers wherever two kinds could be confused.

use serde::{Deserialize, Serialize};

/// Identifies a forwarder. The adapter derives it from the configured name, so it survives restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ForwarderId(pub u64);

/// One incarnation of a cache node. A restarted node is a different `Node`; statements about the earlier
/// incarnation do not apply to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// The id that discovery assigned.
    pub id: u64,
    /// Start time from the node list, the same for all forwarders; 0 means long ago.
    pub life: u64,
}

/// Index of a zone in the site's list of zones; less than [`ZoneSet::MOST`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u8);

/// A set of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneSet(u64);

impl ZoneSet {
    /// Maximum number of zones.
    pub const MOST: u8 = 64;
    /// Every zone, including unknown ones.
    pub const ALL: ZoneSet = ZoneSet(u64::MAX);

    /// Whether the set contains `zone`. Zones at or above [`ZoneSet::MOST`] are in no set.
    pub fn has(self, zone: Zone) -> bool {
        zone.0 < Self::MOST && self.0 >> zone.0 & 1 == 1
    }

    /// The set with `zone` added; a zone at or above [`ZoneSet::MOST`] is ignored.
    pub fn with(self, zone: Zone) -> ZoneSet {
        ZoneSet(self.0 | if zone.0 < Self::MOST { 1 << zone.0 } else { 0 })
    }

    /// The set difference: zones of `self` that are not in `other`.
    pub fn minus(self, other: ZoneSet) -> ZoneSet {
        ZoneSet(self.0 & !other.0)
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// The number of a plan, ordered by the planner's epoch, then by count. Greater is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanNumber {
    /// Increases with each start of a planner.
    pub epoch: u64,
    /// Increases with each plan; 0 means no plan.
    pub count: u64,
}

impl PlanNumber {
    /// Whether this number stands for no plan.
    pub fn is_none(self) -> bool {
        self.count == 0
    }
}
