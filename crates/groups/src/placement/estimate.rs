//! The popularity of experts, from reports that are late, noisy and have gaps.

/// How far from the estimate a report has to be, as a share of it, to be taken for a change.
const FAR: f64 = 0.5;

/// What such a report counts.
const FAR_SHARE: f64 = 0.4;

/// What a report counts for the trend, as a share of its distance from the estimate.
const TREND_SHARE: f64 = 0.01;

/// The popularity of each expert, as far as reports tell, and its trend.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadEstimate {
    loads: Vec<f64>,
    /// The change of each load from one round to the next.
    trends: Vec<f64>,
    seen: Vec<bool>,
    share: f64,
    /// How many rounds ahead of the last report the loads are wanted.
    ahead: f64,
}

impl LoadEstimate {
    /// Makes an estimate that knows nothing of `experts` experts.
    ///
    /// A new report counts `share`; loads are given for `ahead` rounds after the last report,
    /// which makes up for late reports and for the time that a change of the map takes.
    #[must_use]
    pub fn new(experts: usize, share: f64, ahead: f64) -> Self {
        Self {
            loads: vec![0.0; experts],
            trends: vec![0.0; experts],
            seen: vec![false; experts],
            share,
            ahead,
        }
    }

    /// Takes one round of reports in: tokens per expert, or nothing where a report is missing.
    pub fn observe(&mut self, round: &[Option<f64>]) {
        for (expert, tokens) in round.iter().enumerate().take(self.loads.len()) {
            self.loads[expert] = (self.loads[expert] + self.trends[expert]).max(0.0);
            if let Some(tokens) = tokens.filter(|tokens| tokens.is_finite() && *tokens >= 0.0) {
                self.blend(expert, tokens);
            }
        }
    }

    /// Returns the expected load of each expert; experts never heard of count as the mean.
    #[must_use]
    pub fn loads(&self) -> Vec<f64> {
        let known = self.seen.iter().filter(|seen| **seen).count().max(1);
        let mean = self.loads.iter().sum::<f64>() / known as f64;
        (0..self.loads.len())
            .map(|expert| match self.seen[expert] {
                true => (self.loads[expert] + self.ahead * self.trends[expert]).max(0.0),
                false => mean,
            })
            .collect()
    }

    fn blend(&mut self, expert: usize, tokens: f64) {
        let load = &mut self.loads[expert];
        if !self.seen[expert] {
            *load = tokens;
            self.seen[expert] = true;
            return;
        }
        let error = tokens - *load;
        let far = error.abs() > FAR * *load;
        let share = if far {
            self.share.max(FAR_SHARE)
        } else {
            self.share
        };
        *load += share * error;
        self.trends[expert] += TREND_SHARE * error;
    }
}
