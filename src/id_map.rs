//! Tables by the core's own numbers and by ids of nodes, for the core and the module.
//!
//! Streams, upstream requests and connections are counted here, and nodes come from discovery: nobody outside
//! chooses these numbers to make them collide, so a mix takes the place of the standard library's keyed hash. Not
//! for what downstreams send.

use crate::state::mix;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

pub(crate) type IdMap<K, V> = HashMap<K, V, BuildHasherDefault<MixHasher>>;

#[derive(Default)]
pub(crate) struct MixHasher(u64);

impl Hasher for MixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u64(u64::from(*b)));
    }

    fn write_u64(&mut self, x: u64) {
        self.0 = mix(self.0 ^ x);
    }
}
