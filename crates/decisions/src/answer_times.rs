//! How long answers took lately.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

/// How long a time counts at least; it counts for twice as long at most.
const PERIOD: Millis = Millis(15_000);

const MICROS_PER_MILLI: u64 = 1_000;

/// How long the answers of each route took lately.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: Map<Arc<str>, RouteTimes>,
}

#[derive(Debug, Default)]
struct RouteTimes {
    /// The longest time of an answer, in milliseconds.
    longest: RecentHighest,
    /// The longest time for each token that an answer was allowed, in microseconds.
    token_time: RecentHighest,
}

/// The highest values of the current period and the one before.
#[derive(Debug, Default, Clone, Copy)]
struct RecentHighest {
    began: Millis,
    current: Option<u64>,
    previous: Option<u64>,
}

impl AnswerTimes {
    /// Records that a request was answered after `took`, whose answer was allowed this number of tokens, if its request says so.
    pub fn record(&mut self, now: Millis, route: &Arc<str>, took: Millis, tokens: Option<u64>) {
        if !self.routes.contains_key(route) {
            self.routes.insert(Arc::clone(route), RouteTimes::default());
        }
        let Some(times) = self.routes.get_mut(route) else {
            return;
        };
        times.longest.record(now, took.0);
        let micros = took.0.saturating_mul(MICROS_PER_MILLI);
        if let Some(time) = tokens.and_then(|tokens| micros.checked_div(tokens)) {
            times.token_time.record(now, time);
        }
    }

    /// Returns how long an answer of a route that is allowed this number of tokens takes, as far as the answers of that route tell:
    /// as long as the longest one lately, and longer if its request allows it more tokens. `None` if there was no answer lately.
    #[must_use]
    pub fn expected(&self, now: Millis, route: &str, tokens: Option<u64>) -> Option<Millis> {
        let times = self.routes.get(route)?;
        let longest = times.longest.highest(now).map(Millis)?;
        let token_time = times.token_time.highest(now).unwrap_or_default();
        let micros = tokens.unwrap_or_default().saturating_mul(token_time);
        Some(longest.max(Millis(micros / MICROS_PER_MILLI)))
    }
}

impl RecentHighest {
    fn record(&mut self, now: Millis, value: u64) {
        *self = self.at(now);
        self.current = self.current.max(Some(value));
    }

    fn highest(self, now: Millis) -> Option<u64> {
        let recent = self.at(now);
        recent.current.max(recent.previous)
    }

    /// Returns what still counts at `now`.
    fn at(self, now: Millis) -> Self {
        let periods = now.since(self.began).0 / PERIOD.0;
        match periods {
            0 => self,
            1 => Self {
                began: self.began + PERIOD,
                current: None,
                previous: self.current,
            },
            _ => Self {
                began: now,
                ..Self::default()
            },
        }
    }
}
