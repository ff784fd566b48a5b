//! Parts of a whole that never add up to more: of every tenant's quota, of a cold node's budget, of what may
//! be out at the origin.
//!
//! [`Allocator`] is a planner's: it gives forwarders parts by their use, at most 1 in all, also over those that
//! it does not know or no longer reaches. [`HeldParts`] is a forwarder's, one a planner: what it was given,
//! falling or rising to the even part as it ages. A forwarder uses the mean over its planners. Use them for
//! what is known as a whole and must not be exceeded; not for what may be measured by each alone.
//!
//! Why sums hold is in `docs/design/two-levels.md`. In short: a lowered part counts in full until the
//! forwarder says that it holds the lower one or its lease is over, and parts rise by themselves only after
//! the leases of all others are over. Source: Gray and Cheriton, "Leases" (SOSP 1989).

use crate::ids::{ForwarderId, PlanNumber};
use crate::message::Parts;
use crate::rules::{round_to_grain, Planted, Rules, GRAIN};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Parts of the even part below which a change is not worth telling.
const SMALL: f64 = 0.02;
/// Part of the way that a change goes at a time.
const STEP: f64 = 0.25;

/// Parts told to a forwarder of which it has not said that it holds them. Four seconds' worth: by then it is
/// out of reach.
const TOLD: usize = 16;

/// What a planner knows of a forwarder's parts: cold nodes, origin, tenants.
#[derive(Clone, Debug)]
struct Grant {
    /// The most that it may hold by what it last said, and what it was told since.
    sure: Vec<f64>,
    told: VecDeque<(PlanNumber, Vec<f64>)>,
    /// The last parts that it was told; none if it is to be told nothing, so that no lease is renewed.
    version: PlanNumber,
    /// When its last report came, and when the plan was made that it was last known to have.
    heard: Micros,
    met: Micros,
}

impl Grant {
    /// What it was told last.
    fn latest(&self, at: usize, even: f64) -> f64 {
        let parts = self.told.back().map_or(&self.sure, |(_, parts)| parts);
        parts.get(at).copied().unwrap_or(even)
    }

    /// The most it may use now.
    fn most(&self, at: usize, rules: &Rules) -> f64 {
        let even = rules.even_part();
        if rules.has(Planted::NoLease) {
            return self.latest(at, even);
        }
        let of = |parts: &Vec<f64>| parts.get(at).copied().unwrap_or(even);
        self.told.iter().fold(of(&self.sure), |most, (_, parts)| most.max(of(parts)))
    }

    fn in_reach(&self, now: Micros, rules: &Rules) -> bool {
        now.saturating_sub(self.met) < rules.guard
    }

    /// It is out of reach: it may hold anything it was told until the lease is over, and rise to the even
    /// part.
    fn lapse(&mut self, now: Micros, parts: usize, rules: &Rules) {
        let even = rules.even_part();
        let over = now.saturating_sub(self.heard) >= rules.lease_end;
        let most = |at| if over { even } else { self.most(at, rules).max(even) };
        self.sure = (0..parts).map(most).collect();
        self.told.clear();
        self.version = PlanNumber::default();
    }
}

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    given: BTreeMap<ForwarderId, Grant>,
    parts: usize,
}

impl Allocator {
    /// A forwarder began, with this many tenants. It holds nothing of this planner that lasts, and at most
    /// the even part.
    pub fn hello(&mut self, now: Micros, id: ForwarderId, tenants: usize, rules: &Rules) {
        self.parts = self.parts.max(2 + tenants);
        let sure = vec![rules.even_part(); self.parts];
        let (told, version) = (VecDeque::new(), PlanNumber::default());
        self.given.insert(id, Grant { sure, told, version, heard: now, met: now });
    }

    /// A report came: the forwarder holds these parts, and a plan that was made then.
    pub fn report(&mut self, now: Micros, id: ForwarderId, version: PlanNumber, made: Option<Micros>) {
        let Some(g) = self.given.get_mut(&id) else { return };
        g.heard = now;
        g.met = made.map_or(g.met, |m| m.max(g.met));
        while g.told.front().is_some_and(|(v, _)| *v <= version) && g.told.iter().any(|(v, _)| *v == version)
        {
            if let Some((_, parts)) = g.told.pop_front() {
                g.sure = parts;
            }
        }
    }

    /// A forwarder said farewell, or nothing for long. From here on it is one of the unknown.
    pub fn forget(&mut self, id: ForwarderId) {
        self.given.remove(&id);
    }

    /// Gives anew, by use (in the order of the parts), in the plan of this number.
    pub fn allocate(
        &mut self,
        now: Micros,
        number: PlanNumber,
        uses: &BTreeMap<ForwarderId, Vec<f64>>,
        rules: &Rules,
    ) {
        let even = rules.even_part();
        let unknown = (rules.forwarders as usize).saturating_sub(self.given.len()) as f64 * even;
        for g in self.given.values_mut().filter(|g| !g.in_reach(now, rules)) {
            g.lapse(now, self.parts, rules);
        }
        // One that holds nothing of ours is told nothing while others may hold too much: to tell it the even part,
        // which is kept free for it, would let it rise before they have fallen.
        let most = |at: usize| self.given.values().map(|g| g.most(at, rules)).sum::<f64>();
        let over = (0..self.parts).any(|at| unknown + most(at) > 1.0 + GRAIN);
        let waits = |g: &Grant| over && g.version.is_none() && !rules.has(Planted::NoLease);
        let row = |(id, g): (&ForwarderId, &Grant)| {
            Row::new(*id, g.in_reach(now, rules) && !waits(g), g.told.is_empty())
        };
        let mut rows: Vec<Row> = self.given.iter().map(row).collect();
        for at in 0..self.parts {
            for row in &mut rows {
                let Some(g) = self.given.get(&row.id) else { continue };
                (row.most, row.latest) = (g.most(at, rules), g.latest(at, even));
                row.used = uses.get(&row.id).and_then(|u| u.get(at)).copied().unwrap_or(0.0);
            }
            give(&mut rows, unknown, rules);
        }
        for row in rows.into_iter().filter(|r| r.reached) {
            let Some(g) = self.given.get_mut(&row.id) else { continue };
            let same = row.given.iter().enumerate().all(|(at, p)| (g.latest(at, even) - p).abs() <= GRAIN);
            if (g.version.is_none() || !same) && g.told.len() < TOLD {
                g.version = number;
                g.told.push_back((number, row.given));
            }
        }
    }

    /// What a forwarder is to be told; no version before anything was given.
    pub fn parts(&self, id: ForwarderId) -> Parts {
        let Some(g) = self.given.get(&id).filter(|g| !g.version.is_none()) else { return Parts::default() };
        let told = g.told.back().map_or(&g.sure, |(_, parts)| parts);
        let mut all = told.iter().map(|p| *p as f32);
        let (cold, origin) = (all.next().unwrap_or(0.0), all.next().unwrap_or(0.0));
        Parts { version: g.version, cold, origin, tenants: all.collect() }
    }
}

/// A forwarder, while parts are given.
struct Row {
    id: ForwarderId,
    /// Within reach, and to be given something now.
    reached: bool,
    /// It holds what it was told last.
    settled: bool,
    /// The most it may use, what it was told last, and its use.
    most: f64,
    latest: f64,
    used: f64,
    given: Vec<f64>,
}

impl Row {
    fn new(id: ForwarderId, reached: bool, settled: bool) -> Self {
        Row { id, reached, settled, most: 0.0, latest: 0.0, used: 0.0, given: vec![] }
    }
}

/// Gives one whole.
fn give(rows: &mut [Row], unknown: f64, rules: &Rules) {
    let even = rules.even_part();
    let kept: f64 = rows.iter().filter(|r| !r.reached).map(|r| r.most).sum();
    let all: f64 = rows.iter().map(|r| r.most).sum();
    let (mut n, mut used, mut latest) = (0.0, 0.0, 0.0);
    for r in rows.iter().filter(|r| r.reached) {
        (n, used, latest) = (n + 1.0, used + r.used, latest + r.latest);
    }
    let whole = (1.0 - unknown - kept).max(0.0);
    // Too much is out: what is above goes down at once. Else slowly, and up by what room there is.
    let pressed = unknown + kept + latest > 1.0 + GRAIN;
    let wish = |r: &Row| {
        let by_use = if used > 0.0 { r.used / used } else { 1.0 / n };
        let aim = (whole * (rules.reserved / n + (1.0 - rules.reserved) * by_use))
            .max(rules.reserved_part())
            .min(1.0);
        match () {
            () if pressed => r.latest.min(aim),
            () if (aim - r.latest).abs() < SMALL * even => r.latest,
            () if aim > r.latest && !r.settled => r.latest,
            () => r.latest + (aim - r.latest) * STEP,
        }
    };
    let wanted: f64 = rows.iter().filter(|r| r.reached).map(|r| (wish(r) - r.latest).max(0.0)).sum();
    let room = (1.0 - unknown - all).max(0.0);
    let granted = if wanted > 0.0 { (room / wanted).min(1.0) } else { 0.0 };
    for r in rows.iter_mut().filter(|r| r.reached) {
        let wish = wish(r);
        let part = if wish > r.latest { r.latest + (wish - r.latest) * granted } else { wish };
        r.given.push(round_to_grain(part));
    }
}

/// What a forwarder holds of one planner.
#[derive(Clone, Debug)]
pub struct HeldParts {
    parts: Parts,
    /// When the report was taken that the parts rest on, and when the last of them came.
    basis: Micros,
    came: Micros,
}

impl HeldParts {
    /// At the forwarder's start.
    pub fn new(now: Micros) -> Self {
        HeldParts { parts: Parts::default(), basis: now, came: now }
    }

    /// Takes parts of a plan that is newer than those before; `basis` is when the report was taken that it
    /// names.
    pub fn take(&mut self, now: Micros, basis: Micros, parts: &Parts) {
        if !parts.version.is_none() {
            (self.basis, self.came) = (basis, now);
            self.parts.clone_from(parts);
        }
    }

    /// The version that is held.
    pub fn version(&self) -> PlanNumber {
        self.parts.version
    }

    /// How far its parts are to be trusted: 1, falling to 0 while they rise to the even part; 0 before any.
    pub fn trust(&self, now: Micros, rules: &Rules) -> f64 {
        if self.parts.version.is_none() {
            return 0.0;
        }
        let old = now.saturating_sub(self.came.saturating_add(rules.rise));
        (1.0 - old as f64 / rules.rise_over.max(1) as f64).clamp(0.0, 1.0)
    }

    /// The part as it stands: 0 cold nodes, 1 origin, then the tenants.
    pub fn part(&self, at: usize, now: Micros, rules: &Rules) -> f64 {
        let even = rules.even_part();
        // From none, the own part of the even one.
        let given = match self.parts.version.is_none() {
            true => rules.reserved_part(),
            false => self.parts.all().nth(at).map_or(rules.reserved_part(), f64::from),
        };
        let (from, over) = match () {
            () if given > even => (self.basis.saturating_add(rules.lease), rules.lease_end - rules.lease),
            () if rules.has(Planted::EarlyRise) => (self.came, 1),
            () => (self.came.saturating_add(rules.rise), rules.rise_over),
        };
        let way = now.saturating_sub(from) as f64 / over.max(1) as f64;
        // A clock that steps back must not lengthen a lease beyond what it was.
        given + (even - given) * way.clamp(0.0, 1.0)
    }
}

/// What a forwarder uses: the mean over its planners.
pub fn mean(held_parts: &[HeldParts], at: usize, now: Micros, rules: &Rules) -> f64 {
    let sum: f64 = held_parts.iter().map(|h| h.part(at, now, rules)).sum();
    sum / held_parts.len().max(1) as f64
}

/// How far [`mean`] is to be trusted beside the forwarder's own judgement: the mean over its planners.
pub fn trust(held_parts: &[HeldParts], now: Micros, rules: &Rules) -> f64 {
    let sum: f64 = held_parts.iter().map(|h| h.trust(now, rules)).sum();
    sum / held_parts.len().max(1) as f64
}
