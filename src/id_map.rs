//! Hash maps keyed by the proxy's own counters and by node ids, for the core and the module.
//!
//! Streams, upstream requests and connections are numbered by the proxy, and node ids come from discovery.
//! Nobody outside can choose these numbers to cause collisions, so a simple mix replaces the standard
//! library's keyed hash. Do not use these maps for keys chosen by downstreams.

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
