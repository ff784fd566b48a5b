//! Feeds arbitrary bytes, split at arbitrary points, to the codec of the memcached binary protocol.

#![no_main]

#[path = "../../crates/memcached/tests/invariants/mod.rs"]
mod invariants;

use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    // The first 4 bytes determine how the rest is split.
    let (lengths, bytes) = bytes.split_at(bytes.len().min(4));
    invariants::check_invariants(bytes, lengths);
});
