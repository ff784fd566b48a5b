//! How a quantity grows with its size: least squares for a few forms, the one that is taken, and what it says of a
//! size that was not run.
//!
//! A form is a term with an intercept, or n and n m with one: what each proxy takes by itself, and by each node. The one with the least error at points that it has not seen leads
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

/// Terms of a size, in the order of how simple they are; `n` and `m` are its axes.
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
    #[serde(rename = "n + n m")]
    NAndNM,
}

const ONE_AXIS: [Form; 4] = [Form::Flat, Form::LogN, Form::N, Form::NLogN];
const TWO_AXES: [Form; 9] =
    [Form::Flat, Form::LogN, Form::LogM, Form::N, Form::M, Form::NLogN, Form::MLogM, Form::NM, Form::NAndNM];
/// Coefficients of the richest form.
const MOST: usize = 3;

impl Form {
    /// Those that are tried, the simplest first.
    pub fn tried(two_axes: bool) -> &'static [Form] {
        if two_axes {
            &TWO_AXES
        } else {
            &ONE_AXIS
        }
    }

    /// The term that leads at a size, both of whose axes are positive.
    pub fn term(self, n: f64, m: f64) -> f64 {
        match self {
            Form::Flat => 0.0,
            Form::LogN => n.ln(),
            Form::LogM => m.ln(),
            Form::N => n,
            Form::M => m,
            Form::NLogN => n * n.ln(),
            Form::MLogM => m * m.ln(),
            Form::NM | Form::NAndNM => n * m,
        }
    }

    /// What its coefficients are of.
    fn columns(self, n: f64, m: f64) -> Vec<f64> {
        match self {
            Form::Flat => vec![1.0],
            Form::NAndNM => vec![1.0, n, n * m],
            _ => vec![1.0, self.term(n, m)],
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
            Form::NAndNM => "n + n m",
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
    /// Of [`Form::term`].
    pub slope: f64,
    /// Of n beside it, in the form that has both.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slope_n: Option<f64>,
    /// Root of the sum of squared residuals over the degrees of freedom, in the unit of the values.
    pub residual: f64,
    /// That over the mean of the values, where it is not 0.
    pub relative: f64,
    /// Root mean square of the error at each point, predicted from the others.
    pub left_out: f64,
    #[serde(skip)]
    points: usize,
    /// What turns the columns of a size into those of the orthonormal base.
    #[serde(skip)]
    base: Base,
}

/// The columns of a form over its points, made orthonormal one after the other (modified Gram and Schmidt: Golub and Van
/// Loan, "Matrix Computations", 4th ed., 5.2.8): `over[j][i]` is the part of base column `i` in column `j`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Base {
    columns: usize,
    over: [[f64; MOST]; MOST],
}

impl Base {
    /// With the base's rows, a row a point; `None` where a column is made of the others.
    fn of(rows: &[Vec<f64>]) -> Option<(Base, Vec<[f64; MOST]>)> {
        let columns = rows.first()?.len().min(MOST);
        let mut base = Base { columns, over: [[0.0; MOST]; MOST] };
        let mut made = vec![[0.0; MOST]; rows.len()];
        for j in 0..columns {
            let mut column: Vec<f64> = rows.iter().map(|r| r[j]).collect();
            let length = column.iter().map(|x| x * x).sum::<f64>().sqrt();
            for i in 0..j {
                let part: f64 = column.iter().zip(&made).map(|(x, q)| x * q[i]).sum();
                base.over[j][i] = part;
                column.iter_mut().zip(&made).for_each(|(x, q)| *x -= part * q[i]);
            }
            let left = column.iter().map(|x| x * x).sum::<f64>().sqrt();
            if left <= EXACT * length {
                return None;
            }
            base.over[j][j] = left;
            column.iter().zip(&mut made).for_each(|(x, q)| q[j] = x / left);
        }
        Some((base, made))
    }

    /// A size's place in the base.
    fn place(&self, columns: &[f64]) -> [f64; MOST] {
        let mut place = [0.0; MOST];
        for j in 0..self.columns {
            let before: f64 = (0..j).map(|i| self.over[j][i] * place[i]).sum();
            place[j] = (columns[j] - before) / self.over[j][j];
        }
        place
    }

    /// Coefficients of the columns from those of the base.
    fn coefficients(&self, parts: [f64; MOST]) -> [f64; MOST] {
        let mut found = [0.0; MOST];
        for i in (0..self.columns).rev() {
            let behind: f64 = (i + 1..self.columns).map(|j| self.over[j][i] * found[j]).sum();
            found[i] = (parts[i] - behind) / self.over[i][i];
        }
        found
    }
}

/// A value at a size that was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Predicted {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

impl Fit {
    /// Least squares; `None` with too few points, or where a term is the same at all of them.
    fn of(form: Form, observed: &[Observed]) -> Option<Fit> {
        let rows: Vec<Vec<f64>> = observed.iter().map(|o| form.columns(o.n, o.m)).collect();
        let (base, made) = Base::of(&rows)?;
        let points = observed.len();
        if points <= base.columns {
            return None;
        }
        let mut parts = [0.0; MOST];
        let mut left: Vec<f64> = observed.iter().map(|o| o.value).collect();
        for (i, part) in parts.iter_mut().enumerate().take(base.columns) {
            *part = left.iter().zip(&made).map(|(x, q)| x * q[i]).sum();
            left.iter_mut().zip(&made).for_each(|(x, q)| *x -= *part * q[i]);
        }
        let most = observed.iter().map(|o| o.value.abs()).fold(0.0, f64::max);
        let (mut squares, mut unseen) = (0.0, 0.0);
        for (error, q) in left.iter().zip(&made) {
            let error = if error.abs() <= EXACT * most { 0.0 } else { *error };
            // The error of a point that was left out, by its leverage.
            let leverage: f64 = q.iter().map(|q| q * q).sum();
            squares += error.powi(2);
            unseen += (error / (1.0 - leverage).max(f64::EPSILON)).powi(2);
        }
        let [intercept, first, second] = base.coefficients(parts);
        let both = form == Form::NAndNM;
        let (slope, slope_n) = if both { (second, Some(first)) } else { (first, None) };
        let mean = observed.iter().map(|o| o.value).sum::<f64>() / points as f64;
        let residual = (squares / (points - base.columns) as f64).sqrt();
        let relative = if mean == 0.0 { 0.0 } else { residual / mean.abs() };
        let left_out = (unseen / points as f64).sqrt();
        Some(Fit { form, intercept, slope, slope_n, residual, relative, left_out, points, base })
    }

    /// The value at a size, and the interval of one observation there: the wider of those for errors of one width and for
    /// errors that grow with the value. Counts have such: numbers get longer, tables are cut in powers of two.
    pub fn at(&self, n: f64, m: f64) -> Predicted {
        let value = self.intercept + self.slope_n.unwrap_or(0.0) * n + self.slope * self.form.term(n, m);
        let far: f64 = self.base.place(&self.form.columns(n, m)).iter().map(|q| q * q).sum();
        let freedom = (self.points - self.base.columns) as f64;
        let t = StudentsT::new(0.0, 1.0, freedom)
            .map_or(f64::INFINITY, |t| t.inverse_cdf(0.5 + CONFIDENCE / 2.0));
        let width = (self.residual * (1.0 + far).sqrt()).max(self.relative * value.abs());
        let half = if width == 0.0 { EXACT * value.abs() } else { t * width };
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
