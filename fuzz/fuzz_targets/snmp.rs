//! Feeds arbitrary datagrams to the SNMP agent, its listener and its manager.

#![no_main]

#[path = "../../crates/snmp/tests/invariants/mod.rs"]
mod invariants;

use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| invariants::check_invariants(bytes));
