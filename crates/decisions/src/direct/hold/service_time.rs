//! Learns how long the requests of one service take.

use sardinepin_common::Millis;

/// The weight of a new sample in the moving average of the service time.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// The weight of a new sample in the moving average of the deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The service time that is assumed before any request has been served.
const INITIAL_SERVICE_TIME: Millis = Millis(2_000);

/// The time that the requests of one service take from their placement to their end.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    /// The moving average, in milliseconds; `None` before the first sample.
    mean: Option<f64>,
    /// The moving average of the distance from the mean, in milliseconds.
    deviation: f64,
}

impl ServiceTime {
    /// Records how long a request that was served took.
    pub(super) fn record(&mut self, took: Millis) {
        let took = took.as_f64();
        match &mut self.mean {
            Some(mean) => {
                self.deviation += ((took - *mean).abs() - self.deviation) * DEVIATION_GAIN;
                *mean += (took - *mean) * MEAN_GAIN;
            }
            None => self.mean = Some(took),
        }
    }

    /// Returns the time within which most requests end.
    fn usual(&self) -> Millis {
        self.mean.map_or(INITIAL_SERVICE_TIME, |mean| {
            Millis((mean + self.deviation) as u64)
        })
    }

    /// Returns the latest time at which a request can be placed so that it probably ends before its deadline; `None` if that has passed.
    pub(super) fn latest_start(&self, now: Millis, deadline: Millis) -> Option<Millis> {
        let latest = deadline - self.usual();
        (latest > now).then_some(latest)
    }
}
