//! Linear regression.

/// Returns the slope of the least-squares line, or `None` with fewer than two distinct x values.
pub(super) fn slope(points: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let points: Vec<(f64, f64)> = points.collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let products_xy = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    (sum_xx > 0.0).then(|| products_xy.sum::<f64>() / sum_xx)
}
