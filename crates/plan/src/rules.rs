//! Times and thresholds of both machines, in one place. Forwarders and planners of a site need the same.
//!
//! Use the defaults. Tests take shorter times; [`Rules::check`] says what must hold between them.

use crate::{Micros, SECOND};

const MS: Micros = 1000;

/// A fault that tests plant to show that a property can break. It acts only under the feature `planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A forwarder takes a plan whatever its number.
    OldPlans,
    /// No bound on how much of the fleet may be taken out.
    NoBound,
    /// Marks come and go with each plan.
    NoStay,
    /// Marks without support stay.
    NoFade,
    /// What a planner does not say counts as its word that the node lives, warm or not.
    EmptyCounts,
    /// A planner gives again what was lowered without waiting until the lower part is held.
    NoLease,
    /// Forwarders with planners rise to the even part as soon as they hear nothing.
    EarlyRise,
    /// One forwarder is witness enough.
    OneWitness,
    /// A planner that has lost its numbers starts again at the old ones.
    NumbersGoBack,
}

/// What rules of this process have planted from now on, unless they say otherwise: for hosts that start whole programs.
#[cfg(feature = "planted")]
static PLANTED: std::sync::OnceLock<Planted> = std::sync::OnceLock::new();

/// Plants a fault in all rules that this process makes from now on; once.
#[cfg(feature = "planted")]
pub fn plant(fault: Planted) {
    let _ = PLANTED.set(fault);
}

/// What is planted in rules that say nothing of it.
fn planted() -> Option<Planted> {
    #[cfg(feature = "planted")]
    return PLANTED.get().copied();
    #[cfg(not(feature = "planted"))]
    return None;
}

/// Parts are multiples of this: they are the same as `f32`, and sums of them are exact.
pub const GRAIN: f64 = 1.0 / (1u64 << 20) as f64;

/// A part, rounded down to grains.
pub fn round_to_grain(part: f64) -> f64 {
    (part / GRAIN).floor() * GRAIN
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The greatest number of forwarders that may run at once, those of a roll-out counted twice.
    pub forwarders: u32,
    /// Time between two reports of a forwarder, two plans of a planner, two tellings of terms.
    pub report_every: Micros,
    /// See [`Rules::report_every`].
    pub plan_every: Micros,
    /// See [`Rules::report_every`].
    pub terms_every: Micros,
    /// Age of its evidence up to which a plan votes.
    pub vote_max_age: Micros,
    /// How long a mark stands without a majority, and how long it then takes to fade.
    pub hold: Micros,
    /// See [`Rules::hold`].
    pub fade: Micros,
    /// How long a mark stays at least, the first time; doubled each time, at most so often.
    pub min_stay: Micros,
    /// See [`Rules::min_stay`].
    pub max_stay_doublings: u32,
    /// Time without a mark after which earlier ones are forgotten.
    pub forget_mark_after: Micros,
    /// Within what time forwarders leave a node, and come back to it.
    pub enter_spread: Micros,
    /// See [`Rules::enter_spread`].
    pub return_spread: Micros,
    /// How long a node that returns takes to have all of its keys again.
    pub return_over: Micros,
    /// A forwarder that heard a node within this time does not leave it at a planner's word.
    pub own_sign_max_age: Micros,
    /// The part of the ready nodes that plans may take out.
    pub max_marked_part: f64,
    /// Without an answer for this long, with two unanswered, a node is silent to a forwarder: at least, and
    /// at most, where answers are slow.
    pub silent_after: Micros,
    /// See [`Rules::silent_after`].
    pub silent_after_max: Micros,
    /// Age up to which a report is evidence, and up to which a sign of life is one.
    pub report_max_age: Micros,
    /// See [`Rules::report_max_age`].
    pub sign_max_age: Micros,
    /// How long a planner vouches for a node that it marked.
    pub vouch_for: Micros,
    /// Time without a report after which a planner forgets a forwarder.
    pub forget_forwarder_after: Micros,
    /// Age of its evidence at which what is above the even part begins to fall, and at which it is there.
    pub lease: Micros,
    /// See [`Rules::lease`].
    pub lease_end: Micros,
    /// Time without word from a forwarder after which planners keep the even part free for it.
    pub guard: Micros,
    /// Time since a plan came after which what is below the even part begins to rise, and how long that
    /// takes.
    pub rise: Micros,
    /// See [`Rules::rise`].
    pub rise_over: Micros,
    /// Time since its start after which a planner gives opinions and parts.
    pub warm_up: Micros,
    /// The part of the even part that is every forwarder's own.
    pub reserved: f64,
    /// Memory of the moments of arrivals and of service, and of the tenants' use.
    pub memory: Micros,
    /// See [`Rules::memory`].
    pub use_memory: Micros,
    /// Age at which terms are no longer used; their trust falls to none until then.
    pub terms_max_age: Micros,
    /// First and longest wait before a planner is dialled again.
    pub dial_backoff_min: Micros,
    /// See [`Rules::dial_backoff_min`].
    pub dial_backoff_max: Micros,
    /// For tests.
    #[doc(hidden)]
    pub planted: Option<Planted>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            forwarders: 1,
            report_every: 250 * MS,
            plan_every: 250 * MS,
            terms_every: SECOND,
            vote_max_age: 1200 * MS,
            hold: 5 * SECOND,
            fade: 10 * SECOND,
            min_stay: SECOND,
            max_stay_doublings: 5,
            forget_mark_after: 60 * SECOND,
            enter_spread: 300 * MS,
            return_spread: 2 * SECOND,
            return_over: 2 * SECOND,
            own_sign_max_age: SECOND,
            max_marked_part: 1.0 / 3.0,
            silent_after: 600 * MS,
            silent_after_max: 1000 * MS,
            report_max_age: 1500 * MS,
            sign_max_age: 800 * MS,
            vouch_for: 60 * SECOND,
            forget_forwarder_after: 10 * SECOND,
            lease: 2 * SECOND,
            lease_end: 3 * SECOND,
            guard: 1500 * MS,
            rise: 5 * SECOND,
            rise_over: 5 * SECOND,
            warm_up: 3500 * MS,
            reserved: 0.5,
            memory: 4 * SECOND,
            use_memory: 10 * SECOND,
            terms_max_age: 8 * SECOND,
            dial_backoff_min: 200 * MS,
            dial_backoff_max: 5 * SECOND,
            planted: planted(),
        }
    }
}

impl Rules {
    /// The even part of a whole, for one forwarder.
    pub fn even_part(&self) -> f64 {
        round_to_grain(1.0 / f64::from(self.forwarders.max(1)))
    }

    /// Of that, what is every forwarder's own.
    pub fn reserved_part(&self) -> f64 {
        round_to_grain(self.reserved * self.even_part())
    }

    /// How many of so many ready nodes plans may take out.
    pub fn max_marked(&self, ready: usize) -> usize {
        if self.has(Planted::NoBound) {
            return ready;
        }
        (ready as f64 * self.max_marked_part.clamp(0.0, 1.0)) as usize
    }

    /// How long a mark stays that comes into force for the n-th time.
    pub fn stay_at(&self, times: u32) -> Micros {
        if self.has(Planted::NoStay) {
            return 0;
        }
        self.doubled(times)
    }

    /// The most changes of one mark, coming and going, within a window no longer than [`Rules::forget_mark_after`]:
    /// either it comes at the window's beginning for the first time, or it leaves then and comes for the
    /// second.
    pub fn max_changes(&self, window: Micros) -> usize {
        let from = |first: u32| {
            let (mut left, mut times, mut changes) = (window, first, 1);
            while left >= self.doubled(times) {
                left -= self.doubled(times);
                times += 1;
                changes += 2;
            }
            changes
        };
        from(1).max(1 + from(2))
    }

    fn doubled(&self, times: u32) -> Micros {
        self.min_stay.max(1).saturating_mul(1 << times.saturating_sub(1).min(self.max_stay_doublings).min(32))
    }

    /// What must hold between the times, so that sums of parts hold; else what does not.
    pub fn check(&self) -> Result<(), &'static str> {
        let positive =
            [self.report_every, self.plan_every, self.terms_every, self.min_stay, self.terms_max_age];
        match () {
            () if self.forwarders == 0 => Err("there must be a forwarder"),
            () if positive.iter().any(|t| *t <= 0) => Err("periods must be positive"),
            () if self.lease > self.lease_end => Err("a lease must begin to end before it has ended"),
            () if self.rise < self.guard + self.lease_end + self.plan_every => {
                Err("parts must not rise before those of others have fallen")
            }
            () if self.warm_up < self.lease_end => Err("a planner must not give before old leases are over"),
            () if !(0.0..=1.0).contains(&self.reserved) => Err("what is a forwarder's own must be a part"),
            () if !(0.0..1.0).contains(&self.max_marked_part) => Err("a plan must leave some nodes"),
            () => Ok(()),
        }
    }

    /// Whether a fault is planted.
    pub(crate) fn has(&self, fault: Planted) -> bool {
        cfg!(feature = "planted") && self.planted == Some(fault)
    }
}
