//! Identifier types. Use them instead of bare integers so that identifiers of different kinds cannot be mixed
//! up.

use crate::bounds;
use serde::{Deserialize, Serialize};

/// A control machine, by its index in the list of control machines; below [`bounds::MAX_CONTROLS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlId(pub u8);

/// A follower. The host derives it by hashing the proxy's name, so it is the same after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FollowerId(pub u64);

/// One numbered log: a topic at the store that assigns the numbers. Encoded as one byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub struct StreamId {
    /// Index in [`Rules::topics`](crate::Rules::topics), below [`bounds::MAX_TOPICS`].
    pub topic: u8,
    /// The store that assigns the numbers.
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
