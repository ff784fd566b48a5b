//! Times and thresholds of both state machines. All forwarders and planners of a site must use the same
//! values.
//!
//! Use the defaults. Tests use shorter times; [`Rules::check`] verifies the constraints between them.

use crate::{Micros, SECOND};

const MS: Micros = 1000;

/// A fault that tests inject to show that a property can be violated. It has an effect only with the feature
/// `planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A forwarder accepts plans regardless of their number.
    OldPlans,
    /// No limit on how much of the fleet may be marked.
    NoBound,
    /// Marks change with each plan, without a minimum duration.
    NoStay,
    /// Marks without support never fade.
    NoFade,
    /// A node that a planner does not mention counts as alive, even if the planner has not warmed up.
    EmptyCounts,
    /// A planner reassigns a lowered part without waiting for the confirmation of the lower one.
    NoLease,
    /// Forwarders rise to the even part as soon as they hear nothing from planners.
    EarlyRise,
    /// One forwarder suffices as a witness.
    OneWitness,
    /// A planner that has lost its numbers starts again at the old ones.
    NumbersGoBack,
}

/// The fault in all rules of this process that do not set one; for hosts that start whole programs.
#[cfg(feature = "planted")]
static PLANTED: std::sync::OnceLock<Planted> = std::sync::OnceLock::new();

/// Injects a fault into all rules that this process creates from now on. Only the first call has an effect.
#[cfg(feature = "planted")]
pub fn plant(fault: Planted) {
    let _ = PLANTED.set(fault);
}

/// The fault in rules that do not set one.
fn planted() -> Option<Planted> {
    #[cfg(feature = "planted")]
    return PLANTED.get().copied();
    #[cfg(not(feature = "planted"))]
    return None;
}

/// Parts are multiples of this value: they are exact as `f32`, and so are their sums.
pub const GRAIN: f64 = 1.0 / (1u64 << 20) as f64;

/// Rounds a part down to a multiple of [`GRAIN`].
pub fn round_to_grain(part: f64) -> f64 {
    (part / GRAIN).floor() * GRAIN
}

/// Times and thresholds; see the module documentation.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Maximum number of forwarders running at once; those of a roll-out count twice.
    pub forwarders: u32,
    /// Interval between two reports of a forwarder, two plans of a planner, two terms messages.
    pub report_every: Micros,
    /// See [`Rules::report_every`].
    pub plan_every: Micros,
    /// See [`Rules::report_every`].
    pub terms_every: Micros,
    /// Maximum age of the report on which a plan is based for the plan to vote.
    pub vote_max_age: Micros,
    /// How long a mark stays in force without a majority, and how long it then takes to fade.
    pub hold: Micros,
    /// See [`Rules::hold`].
    pub fade: Micros,
    /// Minimum duration of a mark at its first activation; it doubles with each activation, up to the given
    /// number of doublings.
    pub min_stay: Micros,
    /// See [`Rules::min_stay`].
    pub max_stay_doublings: u32,
    /// Time without a mark after which its earlier activations are forgotten.
    pub forget_mark_after: Micros,
    /// The range over which forwarders spread the start of avoiding a node, and the return to it.
    pub enter_spread: Micros,
    /// See [`Rules::enter_spread`].
    pub return_spread: Micros,
    /// How long a returning node takes to regain all of its keys.
    pub return_over: Micros,
    /// A forwarder that received a sign of life within this time does not start to avoid the node.
    pub own_sign_max_age: Micros,
    /// Maximum fraction of the ready nodes that plans may mark.
    pub max_marked_part: f64,
    /// A node with two unanswered requests is silent to a forwarder after this long without an answer: the
    /// minimum, and the maximum where responses are slow.
    pub silent_after: Micros,
    /// See [`Rules::silent_after`].
    pub silent_after_max: Micros,
    /// Maximum age of a report, and of a sign of life, to count as evidence.
    pub report_max_age: Micros,
    /// See [`Rules::report_max_age`].
    pub sign_max_age: Micros,
    /// How long a planner vouches for a node that it had marked.
    pub vouch_for: Micros,
    /// Time without a report after which a planner forgets a forwarder.
    pub forget_forwarder_after: Micros,
    /// Age of the underlying report at which a part above the even part begins to fall, and at which it has
    /// fallen to it.
    pub lease: Micros,
    /// See [`Rules::lease`].
    pub lease_end: Micros,
    /// Time without contact to a forwarder after which planners reserve the even part for it.
    pub guard: Micros,
    /// Time since the last plan after which a part below the even part begins to rise, and how long the rise
    /// takes.
    pub rise: Micros,
    /// See [`Rules::rise`].
    pub rise_over: Micros,
    /// Time after its start from which a planner makes statements and assigns parts.
    pub warm_up: Micros,
    /// Fraction of the even part that is reserved for every forwarder.
    pub reserved: f64,
    /// Time constant of the moments of arrivals and service, and of the tenants' usage.
    pub memory: Micros,
    /// See [`Rules::memory`].
    pub use_memory: Micros,
    /// Age from which terms are no longer used; their trust falls to 0 until then.
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
    /// The even part of a budget for one forwarder.
    pub fn even_part(&self) -> f64 {
        round_to_grain(1.0 / f64::from(self.forwarders.max(1)))
    }

    /// The part that is reserved for every forwarder.
    pub fn reserved_part(&self) -> f64 {
        round_to_grain(self.reserved * self.even_part())
    }

    /// How many of `ready` nodes plans may mark.
    pub fn max_marked(&self, ready: usize) -> usize {
        if self.has(Planted::NoBound) {
            return ready;
        }
        (ready as f64 * self.max_marked_part.clamp(0.0, 1.0)) as usize
    }

    /// Minimum duration of a mark at its n-th activation.
    pub fn stay_at(&self, times: u32) -> Micros {
        if self.has(Planted::NoStay) {
            return 0;
        }
        self.doubled(times)
    }

    /// Maximum number of changes of one mark, both activations and deactivations, within a window no longer
    /// than [`Rules::forget_mark_after`]. At the start of the window the mark is either activated for the
    /// first time, or deactivated and then activated for the second time.
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

    /// Checks the constraints between the times on which the bound on sums of parts depends; returns the
    /// first violation.
    pub fn check(&self) -> Result<(), &'static str> {
        let positive =
            [self.report_every, self.plan_every, self.terms_every, self.min_stay, self.terms_max_age];
        match () {
            () if self.forwarders == 0 => Err("the number of forwarders must be at least 1"),
            () if positive.iter().any(|t| *t <= 0) => {
                Err("report_every, plan_every, terms_every, min_stay and terms_max_age must be positive")
            }
            () if self.lease > self.lease_end => Err("lease must not exceed lease_end"),
            () if self.rise < self.guard + self.lease_end + self.plan_every => {
                Err("rise must be at least guard + lease_end + plan_every, so that other parts fall first")
            }
            () if self.warm_up < self.lease_end => Err(
                "warm_up must be at least lease_end, so that old leases end before new parts are assigned",
            ),
            () if !(0.0..=1.0).contains(&self.reserved) => Err("reserved must be between 0 and 1"),
            () if !(0.0..1.0).contains(&self.max_marked_part) => {
                Err("max_marked_part must be at least 0 and below 1")
            }
            () => Ok(()),
        }
    }

    /// Whether the fault is injected.
    pub(crate) fn has(&self, fault: Planted) -> bool {
        cfg!(feature = "planted") && self.planted == Some(fault)
    }
}
