//! The popularity of experts, from reports that are late, noisy and have gaps.

/// How far from the estimate a report has to be, as a share of it, to be taken for a change.
const FAR: f64 = 0.3;

/// What such a report counts.
const FAR_SHARE: f64 = 0.4;

/// The popularity of each expert, as far as reports tell.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    loads: Vec<f64>,
    seen: Vec<bool>,
    share: f64,
}

impl Estimate {
    /// Makes an estimate that knows nothing of `experts` experts; a new report counts `share`.
    #[must_use]
    pub fn new(experts: usize, share: f64) -> Self {
        Self {
            loads: vec![0.0; experts],
            seen: vec![false; experts],
            share,
        }
    }

    /// Takes one round of reports in: tokens per expert, or nothing where a report is missing.
    pub fn report(&mut self, round: &[Option<f64>]) {
        for (expert, tokens) in round.iter().enumerate().take(self.loads.len()) {
            if let Some(tokens) = tokens.filter(|tokens| tokens.is_finite() && *tokens >= 0.0) {
                self.blend(expert, tokens);
            }
        }
    }

    /// Returns the estimated load of each expert; experts never heard of count as the mean.
    #[must_use]
    pub fn loads(&self) -> Vec<f64> {
        let known = self.seen.iter().filter(|seen| **seen).count().max(1);
        let mean = self.loads.iter().sum::<f64>() / known as f64;
        self.loads
            .iter()
            .zip(&self.seen)
            .map(|(load, seen)| if *seen { *load } else { mean })
            .collect()
    }

    fn blend(&mut self, expert: usize, tokens: f64) {
        let load = &mut self.loads[expert];
        if self.seen[expert] {
            let far = (tokens - *load).abs() > FAR * *load;
            let share = if far {
                self.share.max(FAR_SHARE)
            } else {
                self.share
            };
            *load += share * (tokens - *load);
        } else {
            *load = tokens;
            self.seen[expert] = true;
        }
    }
}
