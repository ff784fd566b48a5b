//! Names of things. Use them instead of bare numbers wherever two kinds could be mixed up.

use serde::{Deserialize, Serialize};

/// A forwarder: the same after a restart, as its configured name is. The adapter makes it of that name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ForwarderId(pub u64);

/// One life of a cache node. A node that has restarted is another: nothing said of the old one holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// As discovery names it.
    pub id: u64,
    /// When it started, as the list says it to everyone; 0 is long ago.
    pub life: u64,
}

/// Position of a zone in the site's list of zones; below [`ZoneSet::MOST`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u8);

/// A set of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneSet(u64);

impl ZoneSet {
    /// Zones that there can be.
    pub const MOST: u8 = 64;
    /// All of them, also those that nobody knows.
    pub const ALL: ZoneSet = ZoneSet(u64::MAX);

    /// Whether it has a zone. None above the most is in any set.
    pub fn has(self, zone: Zone) -> bool {
        zone.0 < Self::MOST && self.0 >> zone.0 & 1 == 1
    }

    /// The set with one more zone; one above the most is left out.
    pub fn with(self, zone: Zone) -> ZoneSet {
        ZoneSet(self.0 | if zone.0 < Self::MOST { 1 << zone.0 } else { 0 })
    }

    /// The set without those of another.
    pub fn minus(self, other: ZoneSet) -> ZoneSet {
        ZoneSet(self.0 & !other.0)
    }

    /// Whether it has none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// The number of a plan: a planner's start, then its count. Greater is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanNumber {
    /// Grows from one start of a planner to the next.
    pub epoch: u64,
    /// Grows from one plan to the next; 0 is no plan.
    pub count: u64,
}

impl PlanNumber {
    /// Whether it is that of no plan.
    pub fn is_none(self) -> bool {
        self.count == 0
    }
}
