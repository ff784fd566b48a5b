//! Translates the simulated world into the proxy's types: its settings, addresses and discovery's lists.

use martenweir::codec::discovery::{hash_id, Cluster, Listed};
use martenweir::interface::*;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use world::discovery::Entry;
use world::facts::{ProxyNo, Status};
use world::random::{ms, seconds};
use world::scenario::{Proxies, Repeat as RepeatPolicy, Scenario};
use world::world::World;

/// Descriptors that a proxy reserves for other uses than connections, and the part of the others (numerator
/// and denominator) that it uses for connections to nodes; as in its owner task.
const RESERVED_DESCRIPTORS: u32 = 32;
const NODE_SHARE: (usize, usize) = (2, 5);
const PORT: u16 = 6379;

/// The settings of one proxy.
pub fn settings(world: &World, proxy: ProxyNo) -> Settings {
    let s = world.scenario();
    let (p, r) = (&s.proxies, &s.rules);
    let class = |c: &world::scenario::ClientClass| Class {
        target_latency: ms(c.aim_ms),
        limit: ms(c.patience_ms),
        repeat: match c.repeat {
            RepeatPolicy::Safe => Repeat::Retryable,
            RepeatPolicy::Keyed => Repeat::Dedup,
            RepeatPolicy::Unsafe => Repeat::Fragile,
        },
        window: ms(c.window_ms),
        value: c.worth,
        ..Class::default()
    };
    Settings {
        routers: p.count,
        router_index: proxy.0,
        zone: ZoneId(world.proxies().get(proxy.0 as usize).copied().unwrap_or(0)),
        classes: s.clients.classes.iter().map(class).collect(),
        quotas: world.arrivals().quotas_per_s(),
        over_quota_value: r.over_share_worth,
        must_subscribe: false,
        origin_kind: Some(KindId((world.kinds().len() - 1) as u16)),
        columns: vec![Column::Errors, Column::Utilisation],
        reports: ReportSource::Probe,
        may_cancel: p.cancelling,
        may_probe: p.probes,
        probe_price: p.probe_price,
        may_copy: p.second_copies,
        max_attempts: p.max_attempts,
        max_open: p.max_open,
        max_retry_after: Some(ms(p.max_retry_after_ms)).filter(|t| *t > 0),
        connect_timeout: ms(p.dial_timeout_ms),
        keep_alive: seconds(min_idle_close_s(s)),
        period: ms(p.period_ms),
        answer_grace: ms(r.answer_grace_ms),
        slow_start_from: r.cold_from,
        slow_start_duration: seconds(r.cold_s),
        overload_multiple: r.fall_multiple,
        overload_window: ms(r.fall_for_ms),
        drain_grace: ms(r.drain_grace_ms),
        ..Settings::default()
    }
}

/// The shortest idle timeout of all node groups in seconds, at most 3600.
fn min_idle_close_s(s: &Scenario) -> f64 {
    s.nodes.iter().map(|g| g.idle_close_s).fold(f64::INFINITY, f64::min).min(3600.0)
}

/// The maximum number of connections to nodes that a proxy may hold.
pub fn max_node_connections(p: &Proxies) -> usize {
    p.sockets.saturating_sub(RESERVED_DESCRIPTORS) as usize * NODE_SHARE.0 / NODE_SHARE.1
}

/// Converts an address number of the world to a socket address.
pub fn address(number: u32) -> SocketAddr {
    let [_, a, b, c] = number.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, a, b, c)), PORT)
}

/// Converts a socket address made by [`address`] back to its number.
pub fn address_number(address: SocketAddr) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(ip) => Some(u32::from(ip) & 0x00ff_ffff),
        IpAddr::V6(_) => None,
    }
}

/// Converts entries of discovery to a list as the proxy decodes it.
pub fn cluster(world: &World, revision: u64, complete: bool, entries: &[Entry]) -> Cluster {
    let listed = |e: &Entry| {
        let m = world.member(e.node);
        let member = Member {
            server: ServerId(hash_id(m.name.as_bytes())),
            zone: ZoneId(m.zone),
            kind: KindId(m.kind_no),
            cell: CellId(0),
            phase: match e.status {
                Status::Ready => Phase::Ready,
                Status::Draining => Phase::Draining,
                Status::Gone => Phase::Gone,
            },
            weight: m.weight,
            started: e.started,
        };
        Listed { member, address: address(m.address), name: m.name.as_str().into() }
    };
    Cluster { revision, complete, nodes: entries.iter().map(listed).collect() }
}
