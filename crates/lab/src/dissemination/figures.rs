//! What a run comes to.

use super::clients::What;
use super::engine::World;
use super::judge::Rule;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times, in seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    pub of: u64,
    pub median: f64,
    /// The 99.9th part.
    pub p999: f64,
    pub worst: f64,
}

impl Times {
    /// Of microseconds.
    pub fn of(h: &Histogram<u64>) -> Times {
        let at = |q| h.value_at_quantile(q) as f64 / 1e6;
        if h.is_empty() {
            return Times::default();
        }
        Times { of: h.len(), median: at(0.5), p999: at(0.999), worst: h.max() as f64 / 1e6 }
    }
}

/// One run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub about: String,
    pub seed: u64,
    pub proxies: u32,
    pub controls: u32,
    pub stores: u32,
    /// Virtual seconds that figures are of.
    pub measured_s: f64,
    /// Rules that were broken, and how often; empty is a pass.
    pub broken: BTreeMap<String, u64>,
    pub told: Vec<String>,
    /// Changes: acknowledged, refused by all stores, refusals of one store; still not at all in service at the end.
    pub acknowledged: u64,
    pub refused: u64,
    pub busy: u64,
    pub not_everywhere: u64,
    /// From submission to acknowledgement at the client.
    pub submitted: Times,
    /// From acknowledgement until all in service have it, each change.
    pub everywhere: Times,
    pub slowest: String,
    /// From acknowledgement to application, each change and proxy.
    pub applied: Times,
    /// From acknowledgement until a status said so: that all on the list have it, or that all have it or have lapsed.
    pub known_all: Times,
    pub known: Times,
    /// Followed changes of which no status said so in time.
    pub not_known: u64,
    /// The change of the largest size, if there is one: everywhere after, s.
    pub largest_s: Option<f64>,
    /// Proxies that refused a change, and the most that a status named.
    pub refusers: u64,
    pub refusers_named: u64,
    /// Bytes a second of a proxy, in and out: mean of all, of the busiest, the worst window of a second as its bucket
    /// counts it and as its interface carries it, frames that were carried beyond the bound.
    pub proxy_bytes_per_s: f64,
    pub proxy_bytes_in_per_s: f64,
    pub proxy_busiest_per_s: f64,
    pub proxy_window_worst: u64,
    pub proxy_carried_worst: u64,
    pub proxy_carried_over: u64,
    pub proxy_messages_per_s: f64,
    /// Bytes a second of a control machine: mean, and sent in the worst second of any.
    pub control_bytes_out_per_s: f64,
    pub control_bytes_in_per_s: f64,
    pub control_out_worst_per_s: f64,
    pub control_messages_per_s: f64,
    /// Seconds out of service of all proxies together, proxies that were out at all, and at once.
    pub out_s: f64,
    pub were_out: u64,
    pub out_at_once: u64,
    pub out_at_end: u64,
    /// Some of those that are out at the end, as their machines show it.
    pub out_shown: Vec<String>,
    pub marks: u64,
    pub stale: u64,
    /// Seconds of a core in a virtual second: one proxy's machine, one control machine's. Noisy.
    pub proxy_cpu: f64,
    pub control_cpu: f64,
    /// Bytes on the heap of one proxy's machine, of one control machine's, at the end; where they were counted.
    pub proxy_heap: Option<f64>,
    pub control_heap: Option<f64>,
    /// Connections that were closed with a reason, and how often.
    pub closed: BTreeMap<String, u64>,
    pub events: u64,
    /// What the run itself took.
    pub wall_s: f64,
}

/// Sums up a run that is over. `heap` measures what a call gives back.
pub fn report(world: World, wall_s: f64, heap: &dyn Fn(&mut dyn FnMut()) -> Option<u64>) -> Report {
    let span = world.measured_s();
    let setting = world.setting().clone();
    let (proxies, controls) = (f64::from(setting.proxies), f64::from(setting.rules.controls));
    let end = world.scenario().end;
    let from = super::scenario::WARM;
    let (everywhere, _) = world.judge.everywhere(from, end);
    // What was acknowledged just before the end has had no time.
    let (_, not_everywhere) = world.judge.everywhere(from, end - setting.bounds.lease);
    let (mut known, mut all) = (super::judge::histogram(), super::judge::histogram());
    let mut not_known = 0;
    for t in world.traces() {
        if let Some(at) = t.all {
            all.saturating_record((at - t.acked).max(0) as u64);
        }
        match (t.all, t.lapsed) {
            (None, None) => not_known += u64::from(t.acked < end - setting.bounds.lease - 3_000_000),
            (a, l) => {
                let first = a.into_iter().chain(l).min().unwrap_or(t.acked);
                known.saturating_record((first - t.acked).max(0) as u64);
            }
        }
    }
    let (largest, _) = world.marked();
    let largest_s = largest.and_then(|(stream, number)| world.judge.took(stream, number));
    let named = world.traces().iter().filter(|t| t.what == What::Refused).map(|t| t.refused).max();
    let tally = &world.judge.tally;
    let lanes = &world.lanes;
    let sum = |of: fn(&super::engine::Lane) -> u64| lanes.iter().map(of).sum::<u64>() as f64;
    let worst = lanes.iter().flat_map(|l| &l.seconds).max().copied().unwrap_or(0);
    let whole = end as f64 / 1e6;
    let mut report = Report {
        scenario: world.scenario().name.into(),
        about: world.scenario().about.into(),
        seed: setting.seed,
        proxies: setting.proxies,
        controls: setting.rules.controls.into(),
        stores: setting.rules.stores.into(),
        measured_s: span,
        broken: tally.broken.iter().map(|(rule, n): (&Rule, &u64)| (rule.name().into(), *n)).collect(),
        told: tally.told.clone(),
        acknowledged: tally.acknowledged,
        refused: world.refused,
        busy: world.busy,
        not_everywhere,
        submitted: Times::of(&world.submitted),
        everywhere: Times::of(&everywhere),
        slowest: world.judge.slowest(from),
        applied: Times::of(&tally.applied),
        known_all: Times::of(&all),
        known: Times::of(&known),
        not_known,
        largest_s,
        refusers: world.judge.refusers() as u64,
        refusers_named: named.unwrap_or(0) as u64,
        proxy_bytes_per_s: (tally.bytes_in + tally.bytes_out) as f64 / span / proxies,
        proxy_bytes_in_per_s: tally.bytes_in as f64 / span / proxies,
        proxy_busiest_per_s: world.judge.busiest(span),
        proxy_window_worst: tally.window_worst,
        proxy_carried_worst: tally.arrived_worst,
        proxy_carried_over: tally.arrived_over,
        proxy_messages_per_s: tally.messages as f64 / span / proxies,
        control_bytes_out_per_s: sum(|l| l.bytes_out) / span / controls,
        control_bytes_in_per_s: sum(|l| l.bytes_in) / span / controls,
        control_out_worst_per_s: worst as f64,
        control_messages_per_s: sum(|l| l.messages) / span / controls,
        out_s: tally.out_us as f64 / 1e6,
        were_out: tally.were_out,
        out_at_once: tally.out_at_once,
        out_at_end: world.out() as u64,
        out_shown: world.judge.out_names().into_iter().map(|n| world.shown(n)).collect(),
        marks: tally.marks,
        stale: tally.stale,
        proxy_cpu: world.meters[0].seconds() / whole / proxies,
        control_cpu: world.meters[1].seconds() / whole / controls,
        closed: world.closed.clone(),
        events: world.events,
        wall_s,
        ..Report::default()
    };
    let (p, c) = world.end(heap);
    report.proxy_heap = p.map(|b| b as f64 / proxies);
    report.control_heap = c.map(|b| b as f64 / controls);
    report
}
