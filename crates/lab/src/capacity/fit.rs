//! How a quantity grows with its size: least squares for a few forms, the one that is taken, and what it says of a
//! size that was not run.
//!
//! A form is a single term with an intercept. The one with the least error at points that it has not seen leads
//! (leave-one-out cross-validation, PRESS: Allen, "The relationship between variable selection and data augmentation
//! and a method for prediction", Technometrics 16, 1974); a simpler one that errs hardly more is taken in its place, so
//! that noise does not pick a form. The interval is that of one new observation at the size (Montgomery, Peck and Vining,
//! "Introduction to Linear Regression Analysis", 5th ed., 2.5), and spans those of all forms that cannot be told from the
//! one taken: beyond the sizes run, which form it is says more than the noise round it.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt;

/// How sure the interval is to hold the value, if the form is right.
pub const CONFIDENCE: f64 = 0.95;
/// A simpler form whose error at unseen points is at most this many times the least is taken in its place, and those
/// within it cannot be told apart.
pub const CLOSE: f64 = 1.25;
/// Errors below this part of the largest value are those of floating point.
const EXACT: f64 = 1e-9;
/// The fewest points that a form is fitted to: with three, one left out is predicted without any freedom.
pub const POINTS: usize = 4;

/// One term of a size, in the order of how simple they are; `n` and `m` are its axes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Form {
    #[serde(rename = "flat")]
    Flat,
    #[serde(rename = "log n")]
    LogN,
    #[serde(rename = "log m")]
    LogM,
    #[serde(rename = "n")]
    N,
    #[serde(rename = "m")]
    M,
    #[serde(rename = "n log n")]
    NLogN,
    #[serde(rename = "m log m")]
    MLogM,
    #[serde(rename = "n m")]
    NM,
}

const ONE_AXIS: [Form; 4] = [Form::Flat, Form::LogN, Form::N, Form::NLogN];
const TWO_AXES: [Form; 8] =
    [Form::Flat, Form::LogN, Form::LogM, Form::N, Form::M, Form::NLogN, Form::MLogM, Form::NM];

impl Form {
    /// Those that are tried, the simplest first.
    pub fn tried(two_axes: bool) -> &'static [Form] {
        if two_axes {
            &TWO_AXES
        } else {
            &ONE_AXIS
        }
    }

    /// The term at a size, both of whose axes are positive.
    pub fn term(self, n: f64, m: f64) -> f64 {
        match self {
            Form::Flat => 0.0,
            Form::LogN => n.ln(),
            Form::LogM => m.ln(),
            Form::N => n,
            Form::M => m,
            Form::NLogN => n * n.ln(),
            Form::MLogM => m * m.ln(),
            Form::NM => n * m,
        }
    }

    /// Coefficients that are fitted.
    fn coefficients(self) -> usize {
        if self == Form::Flat {
            1
        } else {
            2
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Form::Flat => "flat",
            Form::LogN => "log n",
            Form::LogM => "log m",
            Form::N => "n",
            Form::M => "m",
            Form::NLogN => "n log n",
            Form::MLogM => "m log m",
            Form::NM => "n m",
        })
    }
}

/// A value at a size; `m` is 1 where there is one axis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observed {
    pub n: f64,
    pub m: f64,
    pub value: f64,
}

/// A form with its coefficients, and how well it holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub form: Form,
    pub intercept: f64,
    pub slope: f64,
    /// Root of the sum of squared residuals over the degrees of freedom, in the unit of the values.
    pub residual: f64,
    /// That over the mean of the values, where it is not 0.
    pub relative: f64,
    /// Root mean square of the error at each point, predicted from the others.
    pub left_out: f64,
    #[serde(skip)]
    points: usize,
    #[serde(skip)]
    mean_term: f64,
    #[serde(skip)]
    spread: f64,
}

/// A value at a size that was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Predicted {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

impl Fit {
    /// Least squares; `None` with too few points, or where the term is the same at all of them.
    fn of(form: Form, observed: &[Observed]) -> Option<Fit> {
        let points = observed.len();
        if points <= form.coefficients() {
            return None;
        }
        let count = points as f64;
        let terms: Vec<f64> = observed.iter().map(|o| form.term(o.n, o.m)).collect();
        let mean_term = terms.iter().sum::<f64>() / count;
        let mean = observed.iter().map(|o| o.value).sum::<f64>() / count;
        let spread = terms.iter().map(|t| (t - mean_term).powi(2)).sum::<f64>();
        let slope = if form == Form::Flat {
            0.0
        } else {
            let both =
                terms.iter().zip(observed).map(|(t, o)| (t - mean_term) * (o.value - mean)).sum::<f64>();
            if spread <= 0.0 {
                return None;
            }
            both / spread
        };
        let intercept = mean - slope * mean_term;
        let most = observed.iter().map(|o| o.value.abs()).fold(0.0, f64::max);
        let (mut squares, mut unseen) = (0.0, 0.0);
        for (t, o) in terms.iter().zip(observed) {
            let error = o.value - intercept - slope * t;
            let error = if error.abs() <= EXACT * most { 0.0 } else { error };
            // The error of a point that was left out, by its leverage.
            let leverage =
                1.0 / count + if form == Form::Flat { 0.0 } else { (t - mean_term).powi(2) / spread };
            squares += error.powi(2);
            unseen += (error / (1.0 - leverage).max(f64::EPSILON)).powi(2);
        }
        let residual = (squares / (points - form.coefficients()) as f64).sqrt();
        let relative = if mean == 0.0 { 0.0 } else { residual / mean.abs() };
        let left_out = (unseen / count).sqrt();
        Some(Fit { form, intercept, slope, residual, relative, left_out, points, mean_term, spread })
    }

    /// The value at a size, and the interval of one observation there.
    pub fn at(&self, n: f64, m: f64) -> Predicted {
        let term = self.form.term(n, m);
        let value = self.intercept + self.slope * term;
        let far = if self.form == Form::Flat { 0.0 } else { (term - self.mean_term).powi(2) / self.spread };
        let freedom = (self.points - self.form.coefficients()) as f64;
        let t = StudentsT::new(0.0, 1.0, freedom)
            .map_or(f64::INFINITY, |t| t.inverse_cdf(0.5 + CONFIDENCE / 2.0));
        let half = match self.residual {
            0.0 => 0.0,
            residual => t * residual * (1.0 + 1.0 / self.points as f64 + far).sqrt(),
        };
        Predicted { value, low: value - half, high: value + half }
    }
}

/// All forms at the same points, and which is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Fits {
    pub tried: Vec<Fit>,
    best: usize,
}

impl Fits {
    /// `None` below [`POINTS`] points, and where a value is no number or an axis not positive.
    pub fn of(observed: &[Observed], two_axes: bool) -> Option<Fits> {
        let sound = |o: &Observed| o.value.is_finite() && o.n > 0.0 && o.m > 0.0;
        if observed.len() < POINTS || !observed.iter().all(sound) {
            return None;
        }
        let tried: Vec<Fit> =
            Form::tried(two_axes).iter().filter_map(|form| Fit::of(*form, observed)).collect();
        let least = tried.iter().map(|f| f.left_out).fold(f64::INFINITY, f64::min);
        let best = tried.iter().position(|f| f.left_out <= CLOSE * least)?;
        Some(Fits { tried, best })
    }

    /// The form that is taken.
    pub fn best(&self) -> &Fit {
        &self.tried[self.best]
    }

    /// Others that cannot be told from it; of forms that leave nothing the simplest is as good as any.
    pub fn close(&self) -> impl Iterator<Item = &Fit> + '_ {
        let least = self.tried.iter().map(|f| f.left_out).fold(f64::INFINITY, f64::min);
        let (best, exact) = (self.best, least == 0.0);
        let close = move |i: usize, f: &Fit| !exact && i != best && f.left_out <= CLOSE * least;
        self.tried.iter().enumerate().filter(move |(i, f)| close(*i, f)).map(|(_, f)| f)
    }

    /// The value by the form that is taken; the interval spans those of the close ones.
    pub fn at(&self, n: f64, m: f64) -> Predicted {
        let value = self.best().at(n, m);
        self.close().map(|f| f.at(n, m)).fold(value, |all, one| Predicted {
            low: all.low.min(one.low),
            high: all.high.max(one.high),
            ..all
        })
    }
}

#[cfg(test)]
mod tests;
