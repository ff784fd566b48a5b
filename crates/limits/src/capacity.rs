//! What servers were seen to be able to do, as a rate that outlasts the time in which they did it.
//!
//! Use one for each group of servers whose load is compared by weight. It only ever learns from work that was done, so it
//! is at most the capacity, however much is asked of the servers or turned away by them. It falls slowly, so that it stays
//! true when less is asked of them, or when none of them is left.
//!
//! Source: a decaying maximum over an exponentially weighted mean.

/// What is left of the highest rate after a step that leaves `keep` of the present one: sixteen times slower, a minute.
const PEAK_DECAY: f64 = 1.0 / 16.0;

/// A rate in requests of mean work a second and unit of weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedCapacity {
    mean: f64,
    peak: f64,
}

impl ObservedCapacity {
    /// Takes in the requests of mean work that servers of this weight did a second, without what takes far less, such as
    /// a miss; what was before keeps the part `keep`.
    pub fn add(&mut self, served: f64, weight: f64, keep: f64) {
        let rate = if weight > 0.0 { served / weight } else { 0.0 };
        self.mean = keep * self.mean + (1.0 - keep) * rate;
        self.peak = self.mean.max(self.peak * keep.powf(PEAK_DECAY));
    }

    /// The rate.
    pub fn get(&self) -> f64 {
        self.peak
    }
}

#[cfg(test)]
mod tests;
