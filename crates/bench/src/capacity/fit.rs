//! Linear least squares with an intercept and one or a few regressors.

/// The result of a fit: `value = coefficients[0] + coefficients[1] * x1 + ...`.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The intercept, then a slope for each regressor.
    pub coefficients: Vec<f64>,
    /// The standard error of each coefficient; `None` where there are no more points than coefficients.
    pub errors: Option<Vec<f64>>,
    /// Root mean square of the residuals, relative to the mean of the values.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
    /// The largest measured value of each regressor.
    pub max_regressors: Vec<f64>,
}

impl Fit {
    /// The value that the fit predicts at `x`.
    pub fn at(&self, x: &[f64]) -> f64 {
        self.coefficients[0] + self.coefficients[1..].iter().zip(x).map(|(slope, x)| slope * x).sum::<f64>()
    }
}

/// Fits `values` to the regressors in `rows`; `None` where the points don't determine the coefficients.
pub fn fit(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
    let width = rows.first()?.len() + 1;
    let points = rows.len();
    if points < width || values.len() != points {
        return None;
    }
    let with_intercept: Vec<Vec<f64>> = rows.iter().map(|row| [&[1.0], row.as_slice()].concat()).collect();
    let mut normal = vec![vec![0.0; width]; width];
    let mut moments = vec![0.0; width];
    for (row, value) in with_intercept.iter().zip(values) {
        for i in 0..width {
            moments[i] += row[i] * value;
            for j in 0..width {
                normal[i][j] += row[i] * row[j];
            }
        }
    }
    let inverse = inverse(normal)?;
    let product = |row: &Vec<f64>| row.iter().zip(&moments).map(|(a, b)| a * b).sum::<f64>();
    let coefficients: Vec<f64> = inverse.iter().map(product).collect();
    let predicted = |row: &Vec<f64>| row.iter().zip(&coefficients).map(|(a, b)| a * b).sum::<f64>();
    let residual_sum: f64 =
        with_intercept.iter().zip(values).map(|(row, value)| (value - predicted(row)).powi(2)).sum();
    let mean = values.iter().sum::<f64>() / points as f64;
    let degrees_of_freedom = points - width;
    let errors = (degrees_of_freedom > 0).then(|| {
        let variance = residual_sum / degrees_of_freedom as f64;
        (0..width).map(|i| (variance * inverse[i][i]).max(0.0).sqrt()).collect()
    });
    let max_regressors =
        (0..width - 1).map(|x| rows.iter().map(|row| row[x]).fold(f64::MIN, f64::max)).collect();
    let residual = (residual_sum / points as f64).sqrt() / mean.abs().max(f64::MIN_POSITIVE);
    Some(Fit { coefficients, errors, residual, points, max_regressors })
}

/// The inverse of a square matrix by Gauss-Jordan elimination after scaling; `None` if the matrix is singular.
fn inverse(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let scale: Vec<f64> = (0..size).map(|i| matrix[i][i].sqrt()).collect();
    if scale.iter().any(|scale| *scale <= 0.0 || !scale.is_finite()) {
        return None;
    }
    for i in 0..size {
        for j in 0..size {
            matrix[i][j] /= scale[i] * scale[j];
        }
        matrix[i].extend((0..size).map(|j| f64::from(u8::from(i == j))));
    }
    for column in 0..size {
        let pivot =
            (column..size).max_by(|a, b| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs()))?;
        matrix.swap(column, pivot);
        let lead = matrix[column][column];
        if lead.abs() < 1e-12 {
            return None;
        }
        matrix[column].iter_mut().for_each(|entry| *entry /= lead);
        let row = matrix[column].clone();
        for (_, other) in matrix.iter_mut().enumerate().filter(|(at, _)| *at != column) {
            let factor = other[column];
            other.iter_mut().zip(&row).for_each(|(entry, lead)| *entry -= factor * lead);
        }
    }
    let unscaled = |i: usize| (0..size).map(|j| matrix[i][size + j] / (scale[i] * scale[j])).collect();
    Some((0..size).map(unscaled).collect())
}
