//! Division of shared budgets into parts that never exceed the whole: of every tenant's quota, of a cold
//! node's budget, and of the concurrent requests at the origin.
//!
//! [`Allocator`] runs at a planner and assigns parts to forwarders by their usage. The parts sum to at most
//! 1, including those of forwarders that the planner does not know or no longer reaches. [`HeldParts`] runs
//! at a forwarder, one per planner, and holds what was assigned; as it ages, a part falls or rises to the
//! even part. A forwarder uses the mean over its planners. This is for budgets that are known as a whole and
//! must not be exceeded, not for quantities that each forwarder can measure alone.
//!
//! `docs/design/two-levels.md` explains why the sums hold. In short: a lowered part counts in full until the
//! forwarder confirms the lower one or its lease ends, and parts rise on their own only after the leases of
//! all others have ended. Source: Gray and Cheriton, "Leases" (SOSP 1989).

use crate::ids::{ForwarderId, PlanNumber};
use crate::message::Parts;
use crate::rules::{round_to_grain, Planted, Rules, GRAIN};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Smallest change worth sending, as a fraction of the even part.
const MIN_CHANGE: f64 = 0.02;
/// Fraction of the distance to the target that a part moves at a time.
const STEP_PART: f64 = 0.25;

/// Maximum number of assignments sent to a forwarder and not yet confirmed. This covers four seconds; by then
/// the forwarder counts as unreachable.
const MAX_PENDING: usize = 16;

/// What a planner knows of a forwarder's parts, in the order cold nodes, origin, tenants.
#[derive(Clone, Debug)]
struct Grant {
    /// The most that it may hold by its last confirmation, and the assignments sent since then.
    confirmed: Vec<f64>,
    pending: VecDeque<(PlanNumber, Vec<f64>)>,
    /// Version of the last parts sent; none if nothing is to be sent, so that no lease is renewed.
    version: PlanNumber,
    /// When its last report arrived, and when the latest plan was made that it is known to hold.
    heard: Micros,
    last_known_plan: Micros,
}

impl Grant {
    /// The part sent last.
    fn latest(&self, at: usize, even: f64) -> f64 {
        let parts = self.pending.back().map_or(&self.confirmed, |(_, parts)| parts);
        parts.get(at).copied().unwrap_or(even)
    }

    /// The greatest part that it may be using now.
    fn most(&self, at: usize, rules: &Rules) -> f64 {
        let even = rules.even_part();
        if rules.has(Planted::NoLease) {
            return self.latest(at, even);
        }
        let of = |parts: &Vec<f64>| parts.get(at).copied().unwrap_or(even);
        self.pending.iter().fold(of(&self.confirmed), |most, (_, parts)| most.max(of(parts)))
    }

    fn in_reach(&self, now: Micros, rules: &Rules) -> bool {
        now.saturating_sub(self.last_known_plan) < rules.guard
    }

    /// Treats the forwarder as unreachable: it may use anything that it was sent until its lease ends, and
    /// may rise to the even part.
    fn lapse(&mut self, now: Micros, parts: usize, rules: &Rules) {
        let even = rules.even_part();
        let over = now.saturating_sub(self.heard) >= rules.lease_end;
        let most = |at| if over { even } else { self.most(at, rules).max(even) };
        self.confirmed = (0..parts).map(most).collect();
        self.pending.clear();
        self.version = PlanNumber::default();
    }
}

/// Assigns parts to forwarders; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    grants: BTreeMap<ForwarderId, Grant>,
    parts: usize,
}

impl Allocator {
    /// A forwarder started, with this many tenants. It holds no lasting parts from this planner, and at most
    /// the even part.
    pub fn hello(&mut self, now: Micros, id: ForwarderId, tenants: usize, rules: &Rules) {
        self.parts = self.parts.max(2 + tenants);
        let confirmed = vec![rules.even_part(); self.parts];
        let (pending, version) = (VecDeque::new(), PlanNumber::default());
        self.grants.insert(id, Grant { confirmed, pending, version, heard: now, last_known_plan: now });
    }

    /// A report arrived: the forwarder holds the parts of `version`, and a plan made at `made`.
    pub fn report(&mut self, now: Micros, id: ForwarderId, version: PlanNumber, made: Option<Micros>) {
        let Some(g) = self.grants.get_mut(&id) else { return };
        g.heard = now;
        g.last_known_plan = made.map_or(g.last_known_plan, |m| m.max(g.last_known_plan));
        while g.pending.front().is_some_and(|(v, _)| *v <= version)
            && g.pending.iter().any(|(v, _)| *v == version)
        {
            if let Some((_, parts)) = g.pending.pop_front() {
                g.confirmed = parts;
            }
        }
    }

    /// A forwarder shut down or has not reported for long. From now on it counts as unknown.
    pub fn forget(&mut self, id: ForwarderId) {
        self.grants.remove(&id);
    }

    /// Reassigns all parts by usage (in the order of the parts), for the plan with this number.
    pub fn allocate(
        &mut self,
        now: Micros,
        number: PlanNumber,
        uses: &BTreeMap<ForwarderId, Vec<f64>>,
        rules: &Rules,
    ) {
        let even = rules.even_part();
        let unknown = (rules.forwarders as usize).saturating_sub(self.grants.len()) as f64 * even;
        for g in self.grants.values_mut().filter(|g| !g.in_reach(now, rules)) {
            g.lapse(now, self.parts, rules);
        }
        // A forwarder that holds no parts of this planner is sent nothing while others may hold too much.
        // Sending it the even part, which is reserved for it, would let it rise before the others have
        // fallen.
        let most = |at: usize| self.grants.values().map(|g| g.most(at, rules)).sum::<f64>();
        let over = (0..self.parts).any(|at| unknown + most(at) > 1.0 + GRAIN);
        let waits = |g: &Grant| over && g.version.is_none() && !rules.has(Planted::NoLease);
        let row = |(id, g): (&ForwarderId, &Grant)| {
            AllocationRow::new(*id, g.in_reach(now, rules) && !waits(g), g.pending.is_empty())
        };
        let mut rows: Vec<AllocationRow> = self.grants.iter().map(row).collect();
        for at in 0..self.parts {
            for row in &mut rows {
                let Some(g) = self.grants.get(&row.id) else { continue };
                (row.most, row.latest) = (g.most(at, rules), g.latest(at, even));
                row.used = uses.get(&row.id).and_then(|u| u.get(at)).copied().unwrap_or(0.0);
            }
            allocate_one(&mut rows, unknown, rules);
        }
        for row in rows.into_iter().filter(|r| r.reached) {
            let Some(g) = self.grants.get_mut(&row.id) else { continue };
            let same = row.assigned.iter().enumerate().all(|(at, p)| (g.latest(at, even) - p).abs() <= GRAIN);
            if (g.version.is_none() || !same) && g.pending.len() < MAX_PENDING {
                g.version = number;
                g.pending.push_back((number, row.assigned));
            }
        }
    }

    /// The parts to send to a forwarder; without a version before the first assignment.
    pub fn parts(&self, id: ForwarderId) -> Parts {
        let Some(g) = self.grants.get(&id).filter(|g| !g.version.is_none()) else { return Parts::default() };
        let latest = g.pending.back().map_or(&g.confirmed, |(_, parts)| parts);
        let mut all = latest.iter().map(|p| *p as f32);
        let (cold, origin) = (all.next().unwrap_or(0.0), all.next().unwrap_or(0.0));
        Parts { version: g.version, cold, origin, tenants: all.collect() }
    }
}

/// A forwarder during assignment.
struct AllocationRow {
    id: ForwarderId,
    /// Reachable, and to be assigned something now.
    reached: bool,
    /// It has confirmed the parts sent last.
    settled: bool,
    /// The greatest part that it may be using, the part sent last, and its usage.
    most: f64,
    latest: f64,
    used: f64,
    assigned: Vec<f64>,
}

impl AllocationRow {
    fn new(id: ForwarderId, reached: bool, settled: bool) -> Self {
        AllocationRow { id, reached, settled, most: 0.0, latest: 0.0, used: 0.0, assigned: vec![] }
    }
}

/// Assigns the parts of one budget.
fn allocate_one(rows: &mut [AllocationRow], unknown: f64, rules: &Rules) {
    let even = rules.even_part();
    let kept: f64 = rows.iter().filter(|r| !r.reached).map(|r| r.most).sum();
    let all: f64 = rows.iter().map(|r| r.most).sum();
    let (mut n, mut used, mut latest) = (0.0, 0.0, 0.0);
    for r in rows.iter().filter(|r| r.reached) {
        (n, used, latest) = (n + 1.0, used + r.used, latest + r.latest);
    }
    let available = (1.0 - unknown - kept).max(0.0);
    // If too much is assigned, parts above their target fall to it at once. Otherwise parts fall gradually
    // and rise as far as there is room.
    let overcommitted = unknown + kept + latest > 1.0 + GRAIN;
    let next_part = |r: &AllocationRow| {
        let by_use = if used > 0.0 { r.used / used } else { 1.0 / n };
        let target = (available * (rules.reserved / n + (1.0 - rules.reserved) * by_use))
            .max(rules.reserved_part())
            .min(1.0);
        match () {
            () if overcommitted => r.latest.min(target),
            () if (target - r.latest).abs() < MIN_CHANGE * even => r.latest,
            () if target > r.latest && !r.settled => r.latest,
            () => r.latest + (target - r.latest) * STEP_PART,
        }
    };
    let wanted: f64 = rows.iter().filter(|r| r.reached).map(|r| (next_part(r) - r.latest).max(0.0)).sum();
    let room = (1.0 - unknown - all).max(0.0);
    let granted = if wanted > 0.0 { (room / wanted).min(1.0) } else { 0.0 };
    for r in rows.iter_mut().filter(|r| r.reached) {
        let next_part = next_part(r);
        let part = if next_part > r.latest { r.latest + (next_part - r.latest) * granted } else { next_part };
        r.assigned.push(round_to_grain(part));
    }
}

/// The parts that a forwarder holds from one planner.
#[derive(Clone, Debug)]
pub struct HeldParts {
    parts: Parts,
    /// When the report was taken that the parts are based on, and when the parts last arrived.
    basis: Micros,
    received_at: Micros,
}

impl HeldParts {
    /// The state at the forwarder's start, without parts.
    pub fn new(now: Micros) -> Self {
        HeldParts { parts: Parts::default(), basis: now, received_at: now }
    }

    /// Accepts the parts of a plan newer than the last one; `basis` is when the report was taken that the
    /// plan names.
    pub fn accept(&mut self, now: Micros, basis: Micros, parts: &Parts) {
        if !parts.version.is_none() {
            (self.basis, self.received_at) = (basis, now);
            self.parts.clone_from(parts);
        }
    }

    /// The version held.
    pub fn version(&self) -> PlanNumber {
        self.parts.version
    }

    /// Trust in the parts: 1, falling to 0 while they rise to the even part; 0 before any were received.
    pub fn trust(&self, now: Micros, rules: &Rules) -> f64 {
        if self.parts.version.is_none() {
            return 0.0;
        }
        let old = now.saturating_sub(self.received_at.saturating_add(rules.rise));
        (1.0 - old as f64 / rules.rise_over.max(1) as f64).clamp(0.0, 1.0)
    }

    /// The current part at an index: 0 cold nodes, 1 origin, then the tenants.
    pub fn part(&self, at: usize, now: Micros, rules: &Rules) -> f64 {
        let even = rules.even_part();
        // Without assigned parts, starts from the reserved fraction of the even part.
        let given = match self.parts.version.is_none() {
            true => rules.reserved_part(),
            false => self.parts.all().nth(at).map_or(rules.reserved_part(), f64::from),
        };
        let (from, over) = match () {
            () if given > even => (self.basis.saturating_add(rules.lease), rules.lease_end - rules.lease),
            () if rules.has(Planted::EarlyRise) => (self.received_at, 1),
            () => (self.received_at.saturating_add(rules.rise), rules.rise_over),
        };
        let way = now.saturating_sub(from) as f64 / over.max(1) as f64;
        // Clamped so that a clock stepping back cannot extend a lease.
        given + (even - given) * way.clamp(0.0, 1.0)
    }
}

/// The part that a forwarder uses: the mean over its planners.
pub fn mean(held_parts: &[HeldParts], at: usize, now: Micros, rules: &Rules) -> f64 {
    let sum: f64 = held_parts.iter().map(|h| h.part(at, now, rules)).sum();
    sum / held_parts.len().max(1) as f64
}

/// Trust in [`mean`] against the forwarder's own judgement: the mean over its planners.
pub fn trust(held_parts: &[HeldParts], now: Micros, rules: &Rules) -> f64 {
    let sum: f64 = held_parts.iter().map(|h| h.trust(now, rules)).sum();
    sum / held_parts.len().max(1) as f64
}
