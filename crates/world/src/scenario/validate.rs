//! Validation of what types cannot express in a scenario: bounds, references to names, fields that depend on
//! each other.

use super::*;
use thiserror::Error;

/// An invalid value: its path and what is expected there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {wanted}")]
pub struct Problem {
    /// From the root, such as `nodes[1].cores`.
    pub path: String,
    pub wanted: String,
}

/// Bounds that keep the run of any scenario finite.
const MAX_SECONDS: f64 = 24.0 * 3600.0;
const MAX_NODES: u64 = 20_000;
const MAX_PROXIES: u32 = 1_000;
const MAX_RATE: f64 = 5e6;
const MAX_REQUESTS: f64 = 1e9;
const MAX_KEYS: u32 = 50_000_000;
const MAX_VALUE: f64 = 65_536.0;
const MAX_MS: f64 = 3.6e6;
/// Maximum number of size samples in a run.
const MAX_SIZES: f64 = 1_000.0;

pub(crate) type Check = Result<(), Problem>;

pub(crate) fn wrong(path: impl Into<String>, wanted: impl Into<String>) -> Check {
    Err(Problem { path: path.into(), wanted: wanted.into() })
}

pub(crate) fn within(path: impl Into<String>, x: f64, least: f64, most: f64) -> Check {
    if x.is_finite() && (least..=most).contains(&x) {
        return Ok(());
    }
    wrong(path, format!("expected a number from {least} to {most}, got {x}"))
}

fn range(path: &str, r: Range, least: f64, most: f64) -> Check {
    r.into_iter().try_for_each(|x| within(path, x, least, most))?;
    if r[0] <= r[1] {
        return Ok(());
    }
    wrong(path, format!("expected [min, max], but in [{}, {}] the minimum exceeds the maximum", r[0], r[1]))
}

pub(crate) fn named(path: &str, name: &str) -> Check {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=64).contains(&name.len()) && name.chars().all(plain) {
        return Ok(());
    }
    wrong(path, "expected a name of 1 to 64 letters, digits, '-', '_' or '.'")
}

fn distinct<'a>(path: &str, names: impl Iterator<Item = &'a str>) -> Check {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            return wrong(format!("{path}[{i}]"), format!("duplicate name {name}"));
        }
    }
    Ok(())
}

impl Scenario {
    /// Returns the first invalid value.
    pub fn validate(&self) -> Check {
        within("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        if !(1..=64).contains(&self.halls.len()) {
            return wrong("halls", "expected 1 to 64 halls");
        }
        for (i, hall) in self.halls.iter().enumerate() {
            named(&format!("halls[{i}]"), hall)?;
        }
        distinct("halls", self.halls.iter().map(String::as_str))?;
        self.proxies.validate()?;
        self.validate_nodes()?;
        self.ledger.validate(self)?;
        range("discovery.notice_s", self.discovery.notice_s, 0.0, 600.0)?;
        range("discovery.vanished_s", self.discovery.vanished_s, 0.0, 600.0)?;
        range("discovery.added_s", self.discovery.added_s, 0.0, 600.0)?;
        range("discovery.spread_ms", self.discovery.spread_ms, 0.0, 60_000.0)?;
        within("network.same_hall_ms", self.network.same_hall_ms, 0.0, 10_000.0)?;
        within("network.cross_hall_ms", self.network.cross_hall_ms, 0.0, 10_000.0)?;
        within("network.client_ms", self.network.client_ms, 0.0, 10_000.0)?;
        within("network.jitter", self.network.jitter, 0.0, 2.0)?;
        within("network.broken", self.network.broken, 0.0, 1.0)?;
        self.clients.validate()?;
        if self.clients.rate_per_s * self.seconds > MAX_REQUESTS {
            return wrong(
                "clients.rate_per_s",
                format!("multiplied by seconds it must be at most {MAX_REQUESTS} requests"),
            );
        }
        if let Some(crowd) = &self.crowd {
            crowd.validate()?;
        }
        self.rules.validate()?;
        self.expect.validate()?;
        if let Some(every) = self.sizes_every_s {
            within("sizes_every_s", every, (self.seconds / MAX_SIZES).max(0.1), MAX_SECONDS)?;
        } else if self.expect.growth.is_some() {
            return wrong("expect.growth", "requires sizes_every_s to be set");
        }
        for (i, fault) in self.faults.iter().enumerate() {
            self.validate_fault(&format!("faults[{i}]"), fault)?;
        }
        Ok(())
    }

    fn known_hall(&self, path: &str, hall: Option<&str>) -> Check {
        match hall {
            Some(hall) if !self.halls.iter().any(|h| h == hall) => {
                wrong(path, format!("expected one of the halls {}", self.halls.join(", ")))
            }
            _ => Ok(()),
        }
    }

    fn validate_nodes(&self) -> Check {
        let all: u64 = self.nodes.iter().map(|g| u64::from(g.count)).sum();
        if !(1..=MAX_NODES).contains(&all) {
            return wrong("nodes", format!("expected 1 to {MAX_NODES} nodes in total, got {all}"));
        }
        for (i, group) in self.nodes.iter().enumerate() {
            let path = |field: &str| format!("nodes[{i}].{field}");
            named(&path("kind"), &group.kind)?;
            if group.kind == crate::ORIGIN_KIND {
                return wrong(
                    path("kind"),
                    "this kind is reserved for the ledger; choose another one for nodes",
                );
            }
            self.known_hall(&path("hall"), group.hall.as_deref())?;
            within(path("cores"), group.cores.into(), 1.0, 1024.0)?;
            within(path("speed"), group.speed, 0.001, 1000.0)?;
            within(path("speed_spread"), group.speed_spread, 0.0, 1.0)?;
            within(path("slots_per_core"), group.slots_per_core, 0.01, 10_000.0)?;
            range(&path("waiting_per_core"), group.waiting_per_core, 0.0, 100_000.0)?;
            range(&path("crowd_from_per_core"), group.crowd_from_per_core, 0.0, 100_000.0)?;
            range(&path("crowd_loss"), group.crowd_loss, 0.0, 10.0)?;
            within(path("miss_work"), group.miss_work, 0.0, 1.0)?;
            range(&path("pause_every_s"), group.pause_every_s, 0.001, 1e6)?;
            range(&path("pause_ms"), group.pause_ms, 0.0, MAX_MS)?;
            range(&path("cold_from"), group.cold_from, 0.001, 1.0)?;
            range(&path("cold_s"), group.cold_s, 0.0, 3600.0)?;
            range(&path("error_rate"), group.error_rate, 0.0, 1.0)?;
            within(path("store_kb"), group.store_kb, 0.0, 1e9)?;
            within(path("ttl_s"), group.ttl_s, 0.0, 1e6)?;
            within(path("connections"), group.connections.into(), 1.0, 1e6)?;
            range(&path("handshake_work_ms"), group.handshake_work_ms, 0.0, 10_000.0)?;
            range(&path("full_table_loss"), group.full_table_loss, 0.0, 0.95)?;
            within(path("idle_close_s"), group.idle_close_s, 0.01, 1e6)?;
            range(&path("probe_work_ms"), group.probe_work_ms, 0.0, 10_000.0)?;
            within(path("probes_per_core"), group.probes_per_core, 0.0, 10_000.0)?;
            range(&path("report_period_ms"), group.report_period_ms, 1.0, 60_000.0)?;
            range(&path("report_delay_ms"), group.report_delay_ms, 0.0, 60_000.0)?;
            range(&path("report_noise"), group.report_noise, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn validate_fault(&self, path: &str, f: &Fault) -> Check {
        let at = |field: &str| format!("{path}.{field}");
        let (kind, reads) = (f.kind.name(), f.kind.reads());
        within(at("at_s"), f.at_s, 0.0, MAX_SECONDS)?;
        within(at("for_s"), f.for_s, if reads.lasts { 0.001 } else { 0.0 }, MAX_SECONDS)?;
        let given = [f.node.is_some(), f.nodes.is_some(), f.part.is_some()];
        let here = given.iter().filter(|g| **g).count();
        if reads.nodes && here != 1 {
            return wrong(path, format!("{kind} requires exactly one of node, nodes and part"));
        }
        let known = [
            ("node", f.node.is_some(), reads.nodes),
            ("nodes", f.nodes.is_some(), reads.nodes),
            ("part", f.part.is_some(), reads.nodes || reads.proxy),
            ("hall", f.hall.is_some(), reads.hall),
            ("proxy", f.proxy.is_some(), reads.proxy),
            ("tenant", f.tenant.is_some(), reads.tenant),
            ("times", f.times.is_some(), reads.times),
            ("rate", f.rate.is_some(), reads.rate),
            ("every_s", f.every_s.is_some(), reads.every_s),
            ("down_s", f.down_s.is_some(), reads.down_s),
        ];
        if let Some((field, ..)) = known.iter().find(|(_, given, read)| *given && !read) {
            return wrong(at(field), format!("{kind} has no {field}"));
        }
        let wants = [("times", reads.times, f.times), ("rate", reads.rate, f.rate)];
        if let Some((field, ..)) = wants.iter().find(|(_, read, given)| *read && given.is_none()) {
            return wrong(path, format!("{kind} requires {field}"));
        }
        if reads.proxy && f.proxy.is_some() && f.part.is_some() {
            return wrong(path, format!("{kind} accepts proxy or part, not both"));
        }
        if matches!(f.kind, FaultKind::Grow) && f.nodes.is_none() {
            return wrong(path, "grow requires nodes, the number of new nodes");
        }
        if matches!(f.kind, FaultKind::HallCut) && f.hall.is_none() {
            return wrong(path, "hall_cut requires hall");
        }
        if matches!(f.kind, FaultKind::Surge) && f.tenant.is_none() {
            return wrong(path, "surge requires tenant");
        }
        self.known_hall(&at("hall"), f.hall.as_deref())?;
        let fleet: u32 = self.nodes.iter().map(|g| g.count).sum();
        if let Some(node) = f.node.filter(|n| *n >= fleet) {
            return wrong(at("node"), format!("there are nodes 0 to {}, not {node}", fleet - 1));
        }
        if let Some(nodes) = f.nodes {
            within(at("nodes"), nodes.into(), 1.0, MAX_NODES as f64)?;
        }
        if let Some(part) = f.part {
            within(at("part"), part, 0.0, 1.0)?;
        }
        if let Some(proxy) = f.proxy.filter(|p| *p >= self.proxies.count) {
            return wrong(
                at("proxy"),
                format!("there are proxies 0 to {}, not {proxy}", self.proxies.count - 1),
            );
        }
        if let Some(tenant) = &f.tenant {
            if !self.clients.tenants.iter().any(|t| t.name == *tenant) {
                return wrong(at("tenant"), format!("{tenant} is not one of clients.tenants"));
            }
        }
        if let Some(times) = f.times {
            within(at("times"), times, 0.0, 1000.0)?;
        }
        if let Some(rate) = f.rate {
            within(at("rate"), rate, 0.0, 1.0)?;
        }
        if let Some(every) = f.every_s {
            within(at("every_s"), every, 0.0, MAX_SECONDS)?;
        }
        match f.down_s {
            Some(down) => within(at("down_s"), down, 0.0, MAX_SECONDS),
            None => Ok(()),
        }
    }
}

impl Proxies {
    fn validate(&self) -> Check {
        within("proxies.count", self.count.into(), 1.0, MAX_PROXIES.into())?;
        within("proxies.memory_mb", self.memory_mb.into(), 1.0, 1e6)?;
        within("proxies.sockets", self.sockets.into(), 64.0, 1e6)?;
        within("proxies.period_ms", self.period_ms, 1.0, 1000.0)?;
        within("proxies.max_attempts", self.max_attempts.into(), 1.0, 250.0)?;
        within("proxies.max_open", self.max_open.into(), 1.0, 1e7)?;
        within("proxies.probe_price", self.probe_price, 0.0, 100.0)?;
        within("proxies.dial_timeout_ms", self.dial_timeout_ms, 1.0, MAX_MS)?;
        within("proxies.max_retry_after_ms", self.max_retry_after_ms, 0.0, MAX_MS)
    }
}

impl Crowd {
    fn validate(&self) -> Check {
        within("crowd.connections_per_s", self.connections_per_s, 0.0, 1e6)?;
        within("crowd.hold_s", self.hold_s, 0.001, 3600.0)?;
        within("crowd.sources", self.sources.into(), 0.0, 1e6)?;
        within("crowd.connections", self.connections.into(), 0.0, 1e6)?;
        within("crowd.bytes", self.bytes.into(), 0.0, 1e8)?;
        within("crowd.accept_us", self.accept_us, 1.0, 1e6)?;
        within("crowd.backlog", self.backlog.into(), 1.0, 65_536.0)
    }
}

impl Origin {
    fn validate(&self, world: &Scenario) -> Check {
        world.known_hall("ledger.hall", self.hall.as_deref())?;
        if let Some(capacity) = self.capacity_per_s {
            within("ledger.capacity_per_s", capacity, 0.01, 1e8)?;
        }
        within("ledger.headroom", self.headroom, 0.01, 1e4)?;
        within("ledger.service_ms", self.service_ms, 0.01, MAX_MS)?;
        within("ledger.service_sigma", self.service_sigma, 0.0, 3.0)?;
        within("ledger.write_work", self.write_work, 0.0, 1000.0)?;
        within("ledger.queue_s", self.queue_s, 0.0, 3600.0)?;
        within("ledger.crowd_loss", self.crowd_loss, 0.0, 10.0)?;
        within("ledger.fall_multiple", self.fall_multiple, 0.0, 1000.0)?;
        within("ledger.fall_for_ms", self.fall_for_ms, 1.0, MAX_MS)?;
        range("ledger.down_s", self.down_s, 0.0, 3600.0)?;
        within("ledger.connections", self.connections.into(), 1.0, 1e6)
    }
}

impl Clients {
    fn validate(&self) -> Check {
        within("clients.rate_per_s", self.rate_per_s, 0.001, MAX_RATE)?;
        if !(1..=64).contains(&self.classes.len()) {
            return wrong("clients.classes", "expected 1 to 64 classes");
        }
        for (i, class) in self.classes.iter().enumerate() {
            let path = |field: &str| format!("clients.classes[{i}].{field}");
            named(&path("name"), &class.name)?;
            within(path("share"), class.share, 0.0, 1e6)?;
            within(path("aim_ms"), class.aim_ms, 0.1, MAX_MS)?;
            within(path("patience_ms"), class.patience_ms, class.aim_ms, MAX_MS)?;
            within(path("worth"), class.worth, 0.0, 1e6)?;
            within(path("window_ms"), class.window_ms, 0.0, MAX_MS)?;
            if class.repeat == Repeat::Keyed && class.window_ms <= 0.0 {
                return wrong(path("window_ms"), "a keyed class requires a window of more than 0");
            }
            within(path("work_ms"), class.work_ms, 0.001, MAX_MS)?;
            within(path("work_cv"), class.work_cv, 0.0, 10.0)?;
        }
        distinct("clients.classes", self.classes.iter().map(|c| c.name.as_str()))?;
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            return wrong("clients.classes", "at least one class must have a share of more than 0");
        }
        if self.tenants.len() > 10_000 {
            return wrong("clients.tenants", "expected at most 10000 tenants");
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            let path = |field: &str| format!("clients.tenants[{i}].{field}");
            named(&path("name"), &tenant.name)?;
            within(path("share"), tenant.share, 1e-6, 1e6)?;
            within(path("usage"), tenant.usage, 0.0, 1000.0)?;
        }
        distinct("clients.tenants", self.tenants.iter().map(|t| t.name.as_str()))?;
        if !self.tenants.is_empty() && self.tenants.iter().map(|t| t.usage).sum::<f64>() <= 0.0 {
            return wrong("clients.tenants", "at least one tenant must have a usage of more than 0");
        }
        within("clients.popularity.keys", self.popularity.keys.into(), 1.0, MAX_KEYS.into())?;
        within("clients.popularity.exponent", self.popularity.exponent, 0.0, 4.0)?;
        within("clients.popularity.offset", self.popularity.offset, 0.0, 1e6)?;
        within("clients.popularity.drift_per_s", self.popularity.drift_per_s, 0.0, 1.0)?;
        within("clients.popularity.value_bytes", self.popularity.value_bytes, 1.0, MAX_VALUE)?;
        within("clients.popularity.value_sigma", self.popularity.value_sigma, 0.0, 3.0)?;
        range("clients.retries", self.retries, 0.0, 20.0)?;
        range("clients.try_part", self.try_part, 0.01, 1.0)?;
        range("clients.backoff_ms", self.backoff_ms, 0.0, MAX_MS)?;
        within("clients.honour", self.honour, 0.0, 1.0)?;
        within("clients.swing", self.swing, 0.0, 1.0)?;
        within("clients.swing_s", self.swing_s, 0.1, MAX_SECONDS)?;
        within("clients.hall_skew", self.hall_skew, 0.0, 1.0)?;
        range("clients.front.notice_s", self.front.notice_s, 0.0, 600.0)
    }
}

impl Rules {
    fn validate(&self) -> Check {
        within("rules.answer_grace_ms", self.answer_grace_ms, 0.0, MAX_MS)?;
        within("rules.drain_grace_ms", self.drain_grace_ms, 0.0, MAX_MS)?;
        within("rules.told_latest_s", self.told_latest_s, 0.0, 3600.0)?;
        within("rules.cold_from", self.cold_from, 0.001, 1.0)?;
        within("rules.cold_s", self.cold_s, 0.0, 3600.0)?;
        within("rules.fall_multiple", self.fall_multiple, 0.01, 1000.0)?;
        within("rules.fall_for_ms", self.fall_for_ms, 1.0, MAX_MS)?;
        within("rules.cold_miss_part", self.cold_miss_part, 0.0, 1.0)?;
        within("rules.cold_miss_multiple", self.cold_miss_multiple, 0.0, 1000.0)?;
        within("rules.quota_multiple", self.quota_multiple, 0.001, 1000.0)?;
        within("rules.over_share_worth", self.over_share_worth, 0.0, 1.0)
    }
}

impl Expect {
    fn validate(&self) -> Check {
        for (path, x) in [
            ("expect.served_worth", self.served_worth),
            ("expect.refused", self.refused),
            ("expect.failed", self.failed),
        ] {
            x.map_or(Ok(()), |x| within(path, x, 0.0, 1.0))?;
        }
        self.growth.map_or(Ok(()), |x| within("expect.growth", x, 1.0, 1e6))
    }
}
