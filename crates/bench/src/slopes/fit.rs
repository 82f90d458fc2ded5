//! Linear least squares with several drivers and a constant, with the standard error of each slope.
//! Performs no I/O.

use serde::Serialize;

/// Result of a least-squares fit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Fit {
    /// Cost without any driver.
    pub(crate) constant: Estimate,
    /// Cost of one unit of each driver, in the drivers' order.
    pub(crate) slopes: Vec<Estimate>,
    /// Number of observations.
    pub(crate) observations: usize,
    /// Share of the variance that the fit explains.
    pub(crate) r_squared: f64,
}

/// An estimated coefficient.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Estimate {
    /// The estimated value.
    pub(crate) value: f64,
    /// Its standard error; `None` without a degree of freedom.
    pub(crate) standard_error: Option<f64>,
}

/// One observation: amounts of the drivers, and the cost.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Observation {
    /// Amount of each driver.
    pub(crate) drivers: Vec<f64>,
    /// Measured cost.
    pub(crate) cost: f64,
}

/// Fits `cost = constant + sum(slope * driver)`. Returns `None` if the observations do not
/// determine it.
pub(crate) fn fit(observations: &[Observation]) -> Option<Fit> {
    let drivers = observations.first()?.drivers.len();
    let width = drivers + 1;
    let row = |o: &Observation| -> Vec<f64> {
        std::iter::once(1.0).chain(o.drivers.iter().copied()).collect()
    };
    let mut normal_matrix = vec![vec![0.0; width]; width];
    let mut moments = vec![0.0; width];
    for observation in observations {
        let row = row(observation);
        for i in 0..width {
            moments[i] += row[i] * observation.cost;
            for j in 0..width {
                normal_matrix[i][j] += row[i] * row[j];
            }
        }
    }
    let inverse = invert(normal_matrix)?;
    let values: Vec<f64> =
        inverse.iter().map(|line| line.iter().zip(&moments).map(|(a, b)| a * b).sum()).collect();
    let predicted = |o: &Observation| row(o).iter().zip(&values).map(|(a, b)| a * b).sum::<f64>();
    let residual: f64 = observations.iter().map(|o| (o.cost - predicted(o)).powi(2)).sum();
    let mean = observations.iter().map(|o| o.cost).sum::<f64>() / observations.len() as f64;
    let total: f64 = observations.iter().map(|o| (o.cost - mean).powi(2)).sum();
    let degrees_of_freedom = observations.len().checked_sub(width).filter(|f| *f > 0);
    let estimate = |index: usize| Estimate {
        value: values[index],
        standard_error: degrees_of_freedom
            .map(|f| (residual / f as f64 * inverse[index][index]).sqrt()),
    };
    Some(Fit {
        constant: estimate(0),
        slopes: (1..width).map(estimate).collect(),
        observations: observations.len(),
        r_squared: if total > 0.0 { 1.0 - residual / total } else { 1.0 },
    })
}

/// Inverts a matrix by Gauss-Jordan elimination with scaled pivots. Returns `None` if it is
/// singular.
fn invert(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let scale: Vec<f64> = (0..size).map(|i| matrix[i][i].sqrt().max(f64::MIN_POSITIVE)).collect();
    for i in 0..size {
        for j in 0..size {
            matrix[i][j] /= scale[i] * scale[j];
        }
        matrix[i].extend((0..size).map(|j| if i == j { 1.0 } else { 0.0 }));
    }
    for column in 0..size {
        let pivot = (column..size)
            .max_by(|a, b| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs()))?;
        if matrix[pivot][column].abs() < 1e-12 {
            return None;
        }
        matrix.swap(column, pivot);
        let divisor = matrix[column][column];
        matrix[column].iter_mut().for_each(|value| *value /= divisor);
        let pivot_row = matrix[column].clone();
        for (line, row) in matrix.iter_mut().enumerate().filter(|(line, _)| *line != column) {
            let factor = row[column];
            debug_assert_ne!(line, column);
            row.iter_mut().zip(&pivot_row).for_each(|(value, pivot)| *value -= factor * pivot);
        }
    }
    let unscaled = |i: usize, j: usize| matrix[i][size + j] / (scale[i] * scale[j]);
    Some((0..size).map(|i| (0..size).map(|j| unscaled(i, j)).collect()).collect())
}

#[cfg(test)]
mod tests;
