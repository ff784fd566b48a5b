//! The configuration that a proxy is started with: the platform's format, generated from a scenario.
//!
//! The names are those of the platform's documentation (settings, discovery list). Values that a scenario
//! does not define are those shown there.

use super::clock::Clock;
use serde_json::{json, Value};
use std::net::SocketAddr;
use world::discovery::Entry;
use world::facts::{NodeNo, ProxyNo, Status, ORIGIN};
use world::scenario::{ClientClass, Repeat, Scenario, Tenant};
use world::world::{Member, World};

/// Properties of a proxy that only the host knows.
#[derive(Clone, Copy, Debug)]
pub struct ProxyStart {
    pub proxy: ProxyNo,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Seed of this start.
    pub seed: u64,
}

/// The platform's name for a proxy instance.
pub fn name(proxy: ProxyNo) -> String {
    format!("n{}", proxy.0)
}

/// The complete configuration. `known` is the discovery list as this proxy last had it.
pub fn configuration(world: &World, start: ProxyStart, known: &Value) -> Value {
    let p = &world.scenario().proxies;
    json!({
        "name": name(start.proxy),
        "listen": start.listen.to_string(),
        "discovery": start.discovery.to_string(),
        "seed": format!("{:016x}", start.seed),
        "limits": {"cores": 1.0, "memory_mb": p.memory_mb, "sockets": p.sockets},
        "known": known,
        "settings": settings(world, start.proxy),
    })
}

/// The settings, as the simulator passes them in its first message.
pub fn settings(world: &World, proxy: ProxyNo) -> Value {
    let s = world.scenario();
    let (p, r) = (&s.proxies, &s.rules);
    let quotas = world.arrivals().quotas_per_s();
    let keep_alive = s.nodes.iter().map(|g| g.idle_close_s).fold(f64::INFINITY, f64::min);
    let keep_alive = if keep_alive.is_finite() { keep_alive * 1e3 } else { 60_000.0 };
    json!({
        "balancers": p.count,
        "me": proxy.0,
        "zone": world.proxies().get(proxy.0 as usize),
        "zones": s.halls,
        "flavors": world.kinds(),
        "classes": s.clients.classes.iter().map(class).collect::<Vec<_>>(),
        "clients": {"marksRetry": true},
        "tenants": s.clients.tenants.iter().zip(quotas).map(|(t, q)| tenant(s, t, q)).collect::<Vec<_>>(),
        "overShareWorth": r.over_share_worth,
        "discovery": "automatic",
        "workload": "cache",
        "worthBy": "request",
        "weights": "nominal",
        "stages": ["lookup-cache"],
        "tier": 0,
        "periodMs": p.period_ms,
        "familyInfo": {
            "mode": "aside",
            "notes": "1 hit, 2 miss, 3 miss while this server has told another request to fetch",
            "originKind": world.kinds().len().saturating_sub(1),
            "originFallMultiple": s.ledger.fall_multiple,
            "originFallMs": s.ledger.fall_for_ms,
        },
        "limits": {
            "cancelling": p.cancelling,
            "dialTimeoutMs": p.dial_timeout_ms,
            "keepaliveMs": keep_alive,
            "maxAttempts": p.max_attempts,
            "maxOpen": p.max_open,
            "maxRetryAfterMs": p.max_retry_after_ms,
            "multiplex": 100,
            "peers": false,
            "probes": p.probes,
            "retryAfter": p.max_retry_after_ms > 0.0,
            "secondCopies": p.second_copies,
        },
        "charges": {"probe": p.probe_price},
        "rules": {
            "graceToAnswerMs": r.answer_grace_ms,
            "drainGraceMs": r.drain_grace_ms,
            "coldFrom": r.cold_from,
            "coldMs": r.cold_s * 1e3,
            "fallMultiple": r.fall_multiple,
            "overloadForMs": r.fall_for_ms,
        },
        "stats": {"columns": ["err_rps", "cpu"], "source": "on_probe"},
    })
}

fn class(c: &ClientClass) -> Value {
    let repeat = match c.repeat {
        Repeat::Safe => "retryable",
        Repeat::Keyed => "dedup",
        Repeat::Unsafe => "fragile",
    };
    json!({
        "name": c.name,
        "onTimeMs": c.aim_ms,
        "hardLimitMs": c.patience_ms,
        "repeat": repeat,
        "group": "all",
        "windowMs": c.window_ms,
        "points": c.worth,
        "lateValue": 0.0,
        "streamed": false,
    })
}

/// `quota` is the rate within the tenant's share, in requests per second.
fn tenant(s: &Scenario, t: &Tenant, quota: f64) -> Value {
    let shares: f64 = s.clients.tenants.iter().map(|t| t.share).sum();
    json!({"name": t.name, "share": t.share / shares, "quotaPerS": quota})
}

/// A discovery list: all entries, or those that changed.
pub fn list(revision: u64, complete: bool, members: Vec<Value>) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// The complete list of a world in which all members serve, each at its own address.
pub fn serving_list(world: &World, address: impl Fn(NodeNo) -> SocketAddr) -> Value {
    let clock = Clock::start(0);
    let one = |node: NodeNo| {
        let entry = Entry { node, status: Status::Ready, started: None };
        member(world.scenario(), world.member(node), &entry, address(node), &clock)
    };
    list(1, true, world.members().iter().map(|m| m.no).chain([ORIGIN]).map(one).collect())
}

/// An entry of the list; `address` is where this proxy reaches the member.
pub fn member(s: &Scenario, member: &Member, entry: &Entry, address: SocketAddr, clock: &Clock) -> Value {
    let phase = match entry.status {
        Status::Ready => "SERVING",
        Status::Draining => "DRAINING",
        Status::Gone => "DELETED",
    };
    json!({
        "id": member.name,
        "host_port": address.to_string(),
        "locality": s.halls.get(usize::from(member.zone)),
        "flavor": member.kind,
        "cell": 0,
        "phase": phase,
        "size": member.weight,
        "up_since_ms": entry.started.map_or(0.0, |at| clock.unix(at) as f64 / 1e3),
    })
}

#[cfg(test)]
mod tests;
