//! Lists of discovery as its stand-in writes them, for fleets of any size.

use super::super::{Fault, USERS};
use crate::loopback::settings::list;
use crate::loopback::socket::wire::{put_chunk, put_stream};
use martenweir::settings::{site as read, Site};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

/// Nodes at one address, told apart by their ports.
const A_HOST: u64 = 4;
/// Milliseconds since 1970 at which the first node started.
const STARTED: f64 = 1_796_134_461_379.0;

fn zone(n: u64) -> String {
    // Zones stand in regions in turn.
    let zone = n % USERS.zones;
    format!("region-{:02}-zone-{}", zone % USERS.regions, zone / USERS.regions)
}

/// A node's entry; all that a list can say of one is said.
fn member(n: u64, phase: &str) -> Value {
    let host = Ipv4Addr::from_bits(0x0a00_0001 + (n / A_HOST) as u32);
    let address = SocketAddr::from((host, 7000 + (n % A_HOST) as u16));
    json!({
        "id": format!("cache-{n:05}"),
        "host_port": address.to_string(),
        "locality": zone(n),
        "flavor": "node",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": STARTED + n as f64,
    })
}

/// The whole list of so many nodes.
pub fn whole(nodes: u64) -> Vec<u8> {
    text(list(1, true, (0..nodes).map(|n| member(n, "SERVING")).collect()))
}

/// A change of so many of them: they drain.
pub fn change(changes: u64) -> Vec<u8> {
    text(list(2, false, (0..changes).map(|n| member(n, "DRAINING")).collect()))
}

fn text(list: Value) -> Vec<u8> {
    let mut text = list.to_string().into_bytes();
    text.push(b'\n');
    text
}

/// What discovery answers one watch with, from the first byte on.
pub fn answered(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 128);
    put_stream(&mut out);
    put_chunk(&mut out, text);
    out
}

/// What a watch that stands hears of it.
pub fn told(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 16);
    put_chunk(&mut out, text);
    out
}

/// A proxy's settings, with all zones.
pub fn settings() -> Value {
    let zones: Vec<String> = (0..USERS.zones).map(zone).collect();
    let class = json!({ "name": "lookup", "onTimeMs": 150.0, "hardLimitMs": 300.0, "repeat": "retryable" });
    json!({
        "balancers": USERS.proxies, "me": 0, "zone": 0, "periodMs": 5.0, "discovery": "automatic",
        "classes": [class], "tenants": [], "zones": zones, "flavors": ["node"],
        "limits": { "dialTimeoutMs": 500.0, "keepaliveMs": 60_000.0, "maxAttempts": 3, "maxOpen": 1000,
            "probes": false, "secondCopies": true },
        "rules": { "coldFrom": 0.2, "coldMs": 20_000.0, "fallMultiple": 3.0, "graceToAnswerMs": 20.0,
            "overloadForMs": 1000.0 },
        "stats": { "columns": ["err_rps", "cpu"], "source": "on_probe" }
    })
}

/// A proxy's site by these.
pub fn site() -> Result<Site, Fault> {
    read(&settings()).map_err(Fault::broken)
}
