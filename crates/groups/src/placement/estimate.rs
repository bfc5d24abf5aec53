//! Estimates the load of each expert from reports that are late, noisy and incomplete.

/// The difference between a report and the estimate, relative to the estimate, above which the
/// report counts as a change of popularity rather than noise.
const CHANGE_DISTANCE: f64 = 0.5;

/// The least weight of a report that counts as a change.
const CHANGE_WEIGHT: f64 = 0.4;

/// The weight of a report in the trend, applied to its difference from the estimate.
const TREND_WEIGHT: f64 = 0.01;

/// The estimated load of each expert and its trend.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadEstimate {
    loads: Vec<f64>,
    /// The change of each load per round.
    trends: Vec<f64>,
    reported: Vec<bool>,
    report_weight: f64,
    /// How many rounds after the last report the loads are forecast.
    forecast_rounds: f64,
}

impl LoadEstimate {
    /// Returns an estimate for `experts` experts without any reports.
    ///
    /// `report_weight` is the weight of a new report, from 0 to 1. Loads are forecast for
    /// `forecast_rounds` rounds after the last report, to make up for the delay of reports and for
    /// the time that a map change takes.
    #[must_use]
    pub fn new(experts: usize, report_weight: f64, forecast_rounds: f64) -> Self {
        Self {
            loads: vec![0.0; experts],
            trends: vec![0.0; experts],
            reported: vec![false; experts],
            report_weight,
            forecast_rounds,
        }
    }

    /// Updates the estimate with one round of reports: tokens per expert, `None` where a report is
    /// missing. Negative and non-finite values are ignored.
    pub fn record_loads(&mut self, round: &[Option<f64>]) {
        for (expert, tokens) in round.iter().enumerate().take(self.loads.len()) {
            self.loads[expert] = (self.loads[expert] + self.trends[expert]).max(0.0);
            if let Some(tokens) = tokens.filter(|tokens| tokens.is_finite() && *tokens >= 0.0) {
                self.update_load(expert, tokens);
            }
        }
    }

    /// Returns the forecast load of each expert; an expert without reports gets the mean load.
    #[must_use]
    pub fn loads(&self) -> Vec<f64> {
        let known = self
            .reported
            .iter()
            .filter(|reported| **reported)
            .count()
            .max(1);
        let mean = self.loads.iter().sum::<f64>() / known as f64;
        (0..self.loads.len())
            .map(|expert| match self.reported[expert] {
                true => (self.loads[expert] + self.forecast_rounds * self.trends[expert]).max(0.0),
                false => mean,
            })
            .collect()
    }

    fn update_load(&mut self, expert: usize, tokens: f64) {
        let load = &mut self.loads[expert];
        if !self.reported[expert] {
            *load = tokens;
            self.reported[expert] = true;
            return;
        }
        let error = tokens - *load;
        let changed = error.abs() > CHANGE_DISTANCE * *load;
        let weight = if changed {
            self.report_weight.max(CHANGE_WEIGHT)
        } else {
            self.report_weight
        };
        *load += weight * error;
        self.trends[expert] += TREND_WEIGHT * error;
    }
}
