//! Observed capacity of servers, as a rate that persists beyond the period in which it was observed.
//!
//! Use one for each group of servers whose load is compared by weight. It learns only from completed work,
//! so it never exceeds the real capacity, however much is requested from the servers or rejected by them.
//! It decays slowly, so that it stays valid when the load drops or none of the servers is left.
//!
//! Source: a decaying maximum over an exponentially weighted mean.

/// Decay of the peak relative to the decay of the mean: sixteen times slower, about a minute.
const PEAK_DECAY: f64 = 1.0 / 16.0;

/// A rate in requests of mean work per second and unit of weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedCapacity {
    mean: f64,
    peak: f64,
}

impl ObservedCapacity {
    /// Records the requests of mean work that servers with this total weight completed per second,
    /// excluding those that take far less work, such as misses. `keep` is the share of the previous mean to
    /// keep.
    pub fn add(&mut self, served: f64, weight: f64, keep: f64) {
        let rate = if weight > 0.0 { served / weight } else { 0.0 };
        self.mean = keep * self.mean + (1.0 - keep) * rate;
        self.peak = self.mean.max(self.peak * keep.powf(PEAK_DECAY));
    }

    /// The observed capacity.
    pub fn get(&self) -> f64 {
        self.peak
    }
}

#[cfg(test)]
mod tests;
