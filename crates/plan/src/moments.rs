//! First two moments of a quantity, stored as sums. Used for intervals between sends and for response times;
//! they can be pooled, decayed and sent. They ignore the order of samples and cannot represent a trend.

use serde::{Deserialize, Serialize};

/// Greatest sample: one hour in us.
const MOST: f64 = 3.6e9;

/// Count, sum and sum of squares. Values that no set of samples can produce fail to deserialise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "[f32; 3]", try_from = "[f32; 3]")]
pub struct Moments {
    /// Number of samples, decayed.
    pub n: f64,
    /// Sum of the samples.
    pub sum: f64,
    /// Sum of the squared samples.
    pub squares: f64,
}

impl Moments {
    /// Adds a sample. Negative and non-finite samples count as 0; samples above the maximum are clamped to
    /// it.
    pub fn add(&mut self, x: f64) {
        let x = if x.is_finite() { x.clamp(0.0, MOST) } else { 0.0 };
        self.n += 1.0;
        self.sum += x;
        self.squares += x * x;
    }

    /// Adds the samples of another set.
    pub fn pool(&mut self, other: &Moments) {
        self.n += other.n;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// All sums multiplied by `f`.
    pub fn scaled(&self, f: f64) -> Moments {
        Moments { n: self.n * f, sum: self.sum * f, squares: self.squares * f }
    }

    /// The mean, or 0 without samples.
    pub fn mean(&self) -> f64 {
        if self.n > 0.0 {
            self.sum / self.n
        } else {
            0.0
        }
    }

    /// Mean and squared coefficient of variation (Var/E^2), each shrunk toward a prior with the weight of
    /// `samples` samples.
    pub fn shrunk(&self, samples: f64, mean: f64, scv: f64) -> (f64, f64) {
        let (own, n) = (self.mean(), self.n + samples);
        if n <= 0.0 {
            return (mean, scv);
        }
        let own_scv = if own > 0.0 { (self.squares / self.n / (own * own) - 1.0).max(0.0) } else { scv };
        ((self.sum + samples * mean) / n, (self.n * own_scv + samples * scv) / n)
    }
}

impl From<Moments> for [f32; 3] {
    fn from(m: Moments) -> Self {
        [m.n as f32, m.sum as f32, m.squares as f32]
    }
}

impl TryFrom<[f32; 3]> for Moments {
    type Error = &'static str;

    fn try_from(m: [f32; 3]) -> Result<Self, Self::Error> {
        let [n, sum, squares] = m.map(f64::from);
        let real = m.iter().all(|x| x.is_finite() && *x >= 0.0) && n <= 1e9 && sum <= n * MOST * 1.01;
        // Cauchy-Schwarz inequality with some tolerance for rounding: sum^2 <= n * squares.
        if real && sum * sum <= n * squares * 1.01 + 1e-3 {
            Ok(Moments { n, sum, squares })
        } else {
            Err("no set of samples has these moments")
        }
    }
}
