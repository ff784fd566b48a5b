//! Numbers of plans that never go back: not at a restart, not when the clock steps.
//!
//! It owns a planner's epoch and count, and when the last plans were made. The epoch comes from the clock at
//! the start; what forwarders hold of an earlier start corrects it, so that no disk is needed. Until a
//! forwarder has told what it holds, it may refuse some plans: it keeps to what it has.

use crate::bounds;
use crate::ids::PlanNumber;
use crate::Micros;
use std::collections::VecDeque;

/// Plans of which the time is remembered; at four a second 16 s.
const REMEMBERED: usize = 64;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct PlanNumbers {
    last: PlanNumber,
    made: VecDeque<(PlanNumber, Micros)>,
}

impl PlanNumbers {
    /// Begins at an epoch that should grow from start to start, such as the clock's milliseconds.
    pub fn new(epoch: u64) -> Self {
        let last = PlanNumber { epoch: epoch.min(bounds::EPOCH), count: 0 };
        PlanNumbers { last, made: VecDeque::with_capacity(REMEMBERED) }
    }

    /// The number of a plan that is made now.
    pub fn next(&mut self, now: Micros) -> PlanNumber {
        self.last.count = self.last.count.saturating_add(1);
        if self.made.len() >= REMEMBERED {
            self.made.pop_front();
        }
        self.made.push_back((self.last, now));
        self.last
    }

    /// A forwarder holds this of this planner. What was not made in this life is of an earlier one: the next
    /// numbers are greater.
    pub fn learn(&mut self, held: PlanNumber) {
        if held > self.last {
            let next = PlanNumber { epoch: held.epoch.saturating_add(1), count: 0 };
            // Past the last epoch, which no clock reaches, it goes on from what is held.
            self.last = if next.epoch <= bounds::EPOCH { next } else { held };
        }
    }

    /// When a plan was made, if it was one of the last of this life.
    pub fn made(&self, number: PlanNumber) -> Option<Micros> {
        self.made.iter().find(|(n, _)| *n == number).map(|(_, at)| *at)
    }

    /// The last number.
    pub fn last(&self) -> PlanNumber {
        self.last
    }
}
