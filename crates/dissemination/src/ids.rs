//! Names of things. Use them instead of bare numbers wherever two kinds could be mixed up.

use crate::bounds;
use serde::{Deserialize, Serialize};

/// A control machine: its place in the list of control machines, below [`bounds::MAX_CONTROLS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlId(pub u8);

/// A follower: the same after a restart, as a hash of its proxy's name is. The adapter makes it of that name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FollowerId(pub u64);

/// One numbered log: a topic's at the store that numbers it. One byte on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub struct StreamId {
    /// Position in [`Rules::topics`](crate::Rules::topics), below [`bounds::MAX_TOPICS`].
    pub topic: u8,
    /// Who numbers it.
    pub store: ControlId,
}

impl From<u8> for StreamId {
    fn from(byte: u8) -> Self {
        StreamId { topic: byte / bounds::MAX_CONTROLS, store: ControlId(byte % bounds::MAX_CONTROLS) }
    }
}

impl From<StreamId> for u8 {
    fn from(stream: StreamId) -> u8 {
        stream.topic % bounds::MAX_TOPICS * bounds::MAX_CONTROLS + stream.store.0 % bounds::MAX_CONTROLS
    }
}
