//! Sum of what arrived within a sliding window. Used to detect that a cold node or the origin receives too
//! much.
//!
//! The window holds the sums of short spans rather than every arrival, so its size does not depend on the
//! load.

use crate::Micros;
use std::collections::VecDeque;

/// Number of spans in a window; the sum is exact to one span.
const SPANS: i64 = 50;

#[derive(Clone, Debug)]
pub struct WindowSum {
    span: Micros,
    spans: VecDeque<(i64, f64)>,
    sum: f64,
}

impl WindowSum {
    pub fn new(window: Micros) -> Self {
        WindowSum { span: (window / SPANS).max(1), spans: VecDeque::new(), sum: 0.0 }
    }

    /// Adds what arrives now and returns the sum over the window up to now. Time must not go back.
    pub fn add(&mut self, now: Micros, amount: f64) -> f64 {
        let span = now / self.span;
        match self.spans.back_mut() {
            Some((at, sum)) if *at >= span => *sum += amount,
            _ => self.spans.push_back((span, amount)),
        }
        self.sum += amount;
        self.sum(now)
    }

    pub fn sum(&mut self, now: Micros) -> f64 {
        let span = now / self.span;
        while let Some((_, old)) = self.spans.front().copied().filter(|(at, _)| *at <= span - SPANS) {
            self.sum -= old;
            self.spans.pop_front();
        }
        if self.spans.is_empty() {
            // Start from zero, so that rounding errors don't carry over.
            self.sum = 0.0;
        }
        self.sum
    }

    pub fn clear(&mut self) {
        self.spans.clear();
        self.sum = 0.0;
    }
}

#[cfg(test)]
mod tests;
