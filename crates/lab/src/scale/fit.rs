//! Linear regression through measured points.

use std::fmt;

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The largest vertical distance of a point from the line, as a fraction of the largest value.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to pairs of size and value; at least two sizes must differ.
    pub fn new(points: &[(f64, f64)]) -> Fit {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let variance: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = y - slope * x;
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distances = points.iter().map(|point| (point.1 - intercept - slope * point.0).abs());
        Fit { intercept, slope, residual: distances.fold(0.0, f64::max) / largest }
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fit { intercept, slope, residual } = self;
        write!(f, "{intercept:.3} + {slope:.6} x\tresidual {:.1} %", residual * 100.0)
    }
}
