//! Plan numbers that never decrease, neither at a restart nor when the clock steps back.
//!
//! It stores a planner's epoch and count, and when the last plans were made. The epoch is taken from the
//! clock at start. Plans that forwarders hold from an earlier start correct it, so no disk is needed. Until a
//! forwarder has reported what it holds, it may refuse some plans and keeps the plan that it has.

use crate::bounds;
use crate::ids::PlanNumber;
use crate::Micros;
use std::collections::VecDeque;

/// Number of plans whose time is remembered; 16 s at four plans per second.
const REMEMBERED_PLANS: usize = 64;

/// The plan numbers of this start; see the module documentation.
#[derive(Clone, Debug)]
pub struct PlanNumbers {
    last: PlanNumber,
    made: VecDeque<(PlanNumber, Micros)>,
}

impl PlanNumbers {
    /// Starts at an epoch that should increase with each start, such as the clock's milliseconds.
    pub fn new(epoch: u64) -> Self {
        let last = PlanNumber { epoch: epoch.min(bounds::EPOCH), count: 0 };
        PlanNumbers { last, made: VecDeque::with_capacity(REMEMBERED_PLANS) }
    }

    /// Assigns the number of a plan made now.
    pub fn next(&mut self, now: Micros) -> PlanNumber {
        self.last.count = self.last.count.saturating_add(1);
        if self.made.len() >= REMEMBERED_PLANS {
            self.made.pop_front();
        }
        self.made.push_back((self.last, now));
        self.last
    }

    /// Records that a forwarder holds this plan of this planner. A plan not made in this start is from an
    /// earlier one, so all following numbers will be greater than it.
    pub fn learn(&mut self, held: PlanNumber) {
        if held > self.last {
            let next = PlanNumber { epoch: held.epoch.saturating_add(1), count: 0 };
            // Beyond the greatest epoch, which no clock reaches, counting continues from the held number.
            self.last = if next.epoch <= bounds::EPOCH { next } else { held };
        }
    }

    /// When a plan was made, if it is among the last ones of this start.
    pub fn made(&self, number: PlanNumber) -> Option<Micros> {
        self.made.iter().find(|(n, _)| *n == number).map(|(_, at)| *at)
    }

    /// The last assigned number.
    pub fn last(&self) -> PlanNumber {
        self.last
    }
}
