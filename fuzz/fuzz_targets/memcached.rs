//! The codec of the memcached binary protocol under any bytes, in any pieces.

#![no_main]

#[path = "../../crates/memcached/tests/invariants/mod.rs"]
mod invariants;

use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    // The first bytes say how the rest comes in pieces.
    let (lengths, bytes) = bytes.split_at(bytes.len().min(4));
    invariants::check_invariants(bytes, lengths);
});
