use serde::{Deserialize, Serialize};

/// Measured value of a deployment of one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SizePoint {
    pub members: usize,
    pub value: f64,
}

/// Least squares line through the measured values of several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct LineFit {
    pub name: &'static str,
    pub points: Vec<SizePoint>,
    pub intercept: f64,
    /// Increase per member.
    pub slope: f64,
    /// Largest absolute residual.
    pub worst_residual: f64,
}

impl LineFit {
    pub fn of(name: &'static str, points: Vec<SizePoint>) -> Self {
        let count = as_float(points.len());
        let mean_size = points
            .iter()
            .map(|point| as_float(point.members))
            .sum::<f64>()
            / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for point in &points {
            let offset = as_float(point.members) - mean_size;
            covariance += offset * (point.value - mean_value);
            variance += offset * offset;
        }
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        let residual =
            |point: &SizePoint| (point.value - intercept - slope * as_float(point.members)).abs();
        let worst_residual = points.iter().map(residual).fold(0.0, f64::max);
        Self {
            name,
            points,
            intercept,
            slope,
            worst_residual,
        }
    }

    /// Largest measured value.
    pub fn highest_value(&self) -> f64 {
        let values = self.points.iter().map(|point| point.value);
        values.fold(0.0, f64::max)
    }

    /// Value of the line at `members`.
    pub fn value_at(&self, members: usize) -> f64 {
        self.intercept + self.slope * as_float(members)
    }
}

pub fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
