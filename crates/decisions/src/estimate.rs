//! Estimates of service times and queue drain rates from measurements.

use sardinepin_common::Millis;

/// The weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f32 = 0.1;

/// The multiple of the mean at which outliers are capped.
const OUTLIER_FACTOR: f32 = 4.0;

/// How many mean deviations the upper estimate lies above the mean.
const UPPER_DEVIATIONS: f32 = 2.0;

/// The shortest measurement window of a drain rate.
const DRAIN_WINDOW_MIN: Millis = Millis(200);

/// The longest measurement window of a drain rate.
const DRAIN_WINDOW_MAX: Millis = Millis(3_000);

/// The number of requests after which a measurement window may end at its shortest length.
const DRAIN_REQUESTS_MIN: u32 = 8;

/// The weight of a new drain rate measurement below the current estimate.
const DRAIN_WEIGHT_FALLING: f32 = 0.3;

/// The weight of a new drain rate measurement above the current estimate.
const DRAIN_WEIGHT_RISING: f32 = 0.7;

/// The factor on a service time estimate after each interval without a sample.
const IDLE_DECAY: f32 = 0.8;

/// A running mean and mean deviation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunningMean {
    mean: f32,
    deviation: f32,
    sampled: bool,
}

impl RunningMean {
    /// Adds a sample.
    pub(crate) fn add_sample(&mut self, sample: f32) {
        if !self.sampled {
            self.mean = sample;
            self.deviation = sample / 2.0;
            self.sampled = true;
            return;
        }
        let error = sample.min(self.mean.max(1.0) * OUTLIER_FACTOR) - self.mean;
        self.mean += SAMPLE_WEIGHT * error;
        self.deviation += SAMPLE_WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the mean, zero before the first sample.
    pub(crate) fn mean(self) -> f32 {
        self.mean
    }

    fn decay(&mut self) {
        self.mean *= IDLE_DECAY;
        self.deviation *= IDLE_DECAY;
    }

    fn upper_estimate(self) -> f32 {
        self.mean + UPPER_DEVIATIONS * self.deviation
    }
}

/// How long the requests of a service take after they are sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    /// The milliseconds to the first byte.
    first_byte: RunningMean,
    /// The milliseconds from the first byte to the end, per unit of cost.
    per_cost: RunningMean,
    /// Whether a first byte was recorded since the last call of `decay`.
    updated: bool,
}

impl ServiceTime {
    /// Records the time to a first byte.
    pub(crate) fn record_first_byte(&mut self, time: Millis) {
        self.first_byte.add_sample(time.0 as f32);
        self.updated = true;
    }

    /// Records the time from the first byte to the end of a complete response.
    pub(crate) fn record_rest(&mut self, time: Millis, cost: u32) {
        self.per_cost.add_sample(time.0 as f32 / cost.max(1) as f32);
    }

    /// Lowers the estimate if no first byte was recorded since the last call.
    ///
    /// Without decay, an estimate above every deadline would refuse all requests for ever, since no
    /// request would run to correct it.
    pub(crate) fn decay(&mut self) {
        if !self.updated {
            self.first_byte.decay();
            self.per_cost.decay();
        }
        self.updated = false;
    }

    /// Returns the mean time to the first byte, in milliseconds.
    pub(crate) fn first_byte_mean(&self) -> f32 {
        self.first_byte.mean()
    }

    /// Returns the mean service time of a request; zero before the first sample.
    pub(crate) fn mean(&self, cost: u32) -> Millis {
        Millis((self.first_byte.mean() + self.per_cost.mean() * cost as f32) as u64)
    }

    /// Returns an upper estimate of the service time of a request; zero before the first sample.
    pub(crate) fn upper_estimate(&self, cost: u32) -> Millis {
        let rest = self.per_cost.upper_estimate() * cost as f32;
        Millis((self.first_byte.upper_estimate() + rest) as u64)
    }
}

/// The rate at which cost leaves a queue while requests wait in it, per millisecond.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DrainRate {
    rate: f32,
    sent: u64,
    requests: u32,
    since: Millis,
    /// Whether requests have been waiting ever since `since`.
    backlogged: bool,
}

impl DrainRate {
    /// Records a request that left the queue.
    pub(crate) fn record_dequeue(&mut self, cost: u32) {
        self.sent += u64::from(cost);
        self.requests += 1;
    }

    /// Ends the measurement window if it is long enough, or restarts it if the queue was empty.
    pub(crate) fn update(&mut self, now: Millis, waiting: bool) {
        if !waiting || !self.backlogged {
            return self.restart(now, waiting);
        }
        let elapsed = now.since(self.since);
        let enough = elapsed >= DRAIN_WINDOW_MIN && self.requests >= DRAIN_REQUESTS_MIN;
        if !enough && elapsed < DRAIN_WINDOW_MAX {
            return;
        }
        let sample = self.sent as f32 / elapsed.0 as f32;
        let weight = if sample > self.rate {
            DRAIN_WEIGHT_RISING
        } else {
            DRAIN_WEIGHT_FALLING
        };
        if self.rate == 0.0 {
            self.rate = sample;
        } else {
            self.rate += weight * (sample - self.rate);
        }
        self.restart(now, waiting);
    }

    /// Returns how long `cost` takes to leave the queue; `None` before the first measurement.
    pub(crate) fn time_for(&self, cost: f32) -> Option<Millis> {
        (self.rate > 0.0).then(|| Millis((cost / self.rate) as u64))
    }

    fn restart(&mut self, now: Millis, waiting: bool) {
        self.sent = 0;
        self.requests = 0;
        self.since = now;
        self.backlogged = waiting;
    }
}
