//! How long answers took lately.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

/// How long a time counts at least; it counts for twice as long at most.
const PERIOD: Millis = Millis(15_000);

/// The longest time of an answer lately, by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: Map<Arc<str>, RecentLongest>,
}

/// The longest times of the current period and the one before.
#[derive(Debug, Default, Clone, Copy)]
struct RecentLongest {
    began: Millis,
    current: Option<Millis>,
    previous: Option<Millis>,
}

impl AnswerTimes {
    /// Records that a request was answered after `took`.
    pub fn record(&mut self, now: Millis, route: &Arc<str>, took: Millis) {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(Arc::clone(route), RecentLongest::default());
        }
        if let Some(longest) = self.routes.get_mut(route) {
            *longest = longest.at(now);
            longest.current = longest.current.max(Some(took));
        }
    }

    /// Returns the longest time that an answer of a route took lately.
    #[must_use]
    pub fn longest(&self, now: Millis, route: &str) -> Option<Millis> {
        let longest = self.routes.get(route)?.at(now);
        longest.current.max(longest.previous)
    }
}

impl RecentLongest {
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
