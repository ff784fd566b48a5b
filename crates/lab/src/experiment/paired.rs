//! Two variants on the same seeds: the interval of their difference, and a plain verdict.
//!
//! Both variants of a pair play the same seed, so what the seed brings to both falls out of the difference
//! (common random numbers: Law, "Simulation Modeling and Analysis", 5th ed., 11.2). The interval is Student's
//! t for the mean of the paired differences ("paired-t", ibid. 10.2.1). It is exact for normal differences and
//! good enough for means of bounded ones from about ten seeds on; with fewer, read it with care.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt;

/// How sure an interval is to hold the true mean difference.
pub const CONFIDENCE: f64 = 0.95;

/// The mean of `a - b` over the seeds, and the bounds of its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub pairs: usize,
}

/// The interval of the mean of these differences; `None` below two pairs or where one is not a number.
pub fn interval(differences: &[f64], confidence: f64) -> Option<Interval> {
    let pairs = differences.len();
    if pairs < 2 || differences.iter().any(|d| !d.is_finite()) || !(0.0..1.0).contains(&confidence) {
        return None;
    }
    let n = pairs as f64;
    let mean = differences.iter().sum::<f64>() / n;
    let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = StudentsT::new(0.0, 1.0, n - 1.0).ok()?.inverse_cdf(0.5 + confidence / 2.0);
    let half = t * (variance / n).sqrt();
    Some(Interval { mean, low: mean - half, high: mean + half, pairs })
}

/// Which way of a figure is the better one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Better {
    Higher,
    Lower,
}

/// What the interval says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The interval lies on one side of zero: this variant is better by `low` to `high`.
    Better { variant: char, low: f64, high: f64 },
    /// The interval holds zero.
    NoDifference,
}

impl Interval {
    /// The verdict where `better` is the good direction of the figure.
    pub fn verdict(&self, better: Better) -> Verdict {
        let (low, high) = match better {
            Better::Higher => (self.low, self.high),
            Better::Lower => (-self.high, -self.low),
        };
        if low > 0.0 {
            Verdict::Better { variant: 'a', low, high }
        } else if high < 0.0 {
            Verdict::Better { variant: 'b', low: -high, high: -low }
        } else {
            Verdict::NoDifference
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Better { variant, low, high } => {
                write!(f, "{variant} is better by {} to {}", short(*low), short(*high))
            }
            Verdict::NoDifference => write!(f, "no difference seen"),
        }
    }
}

/// A figure with about three digits that matter, without trailing zeros.
pub fn short(x: f64) -> String {
    let magnitude = if x == 0.0 { 0 } else { x.abs().log10().floor() as i32 };
    let digits = (2 - magnitude).clamp(0, 9) as usize;
    let text = format!("{x:.digits$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

#[cfg(test)]
mod tests;
