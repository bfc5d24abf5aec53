//! Ranks that start again during the day and are cold, and the check of their bound in the words of the users' rule.
//!
//! In any second a cold upstream gets at most a multiple of its cold rate and some requests, from all senders together, whether or not
//! they read the store.

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng};
use sardinepin_decisions::ColdRule;
use sardinepin_decisions::direct::{ColdService, UpstreamSpec};

use crate::bounds::budget_check::Window;
use crate::bounds::record::{Record, RequestId};

/// The length of the rule's window.
const WINDOW: Millis = Millis(1_000);

/// How long a process is down before it starts again.
const DOWN_TIME: Millis = Millis(1_500);

/// The latest time after a restart at which a sender that reads the store knows of it, in milliseconds.
const LIST_DELAY_MS: u64 = 600;

/// The share of the senders that do not read the store on a disturbed day.
const UNCONNECTED_SHARE: f64 = 0.25;

/// The cold state of ranks on a day.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdSettings {
    /// The requests that a cold rank takes in a second.
    pub(super) per_second: f64,
    /// The requests of all callers in a second.
    pub(super) load: f64,
    /// The part of the ranks that starts again.
    pub(super) share: f64,
    /// Whether nothing else happens on that day.
    pub(super) calm: bool,
}

/// Which ranks are cold, and when.
#[derive(Debug, Clone)]
pub(super) struct ColdPlan {
    pub(super) per_second: f64,
    /// When they start again.
    pub(super) from: Millis,
    pub(super) until: Millis,
    /// Their positions.
    pub(super) ranks: Vec<usize>,
    /// Whether all senders read the store.
    is_connected: bool,
}

impl ColdPlan {
    /// Lets a part of the ranks, in a row, start again in the middle of the day.
    pub(super) fn draw(
        settings: &ColdSettings,
        ranks: usize,
        start: Millis,
        rng: &mut Rng,
    ) -> Self {
        let count = ((ranks as f64 * settings.share) as usize).clamp(1, ranks);
        let first = rng.random_range(0..ranks);
        let from = start + Millis(5_000);
        Self {
            per_second: settings.per_second,
            from,
            until: from + Millis(rng.random_range(3_000..8_000)),
            ranks: (0..count).map(|step| (first + step) % ranks).collect(),
            is_connected: settings.calm,
        }
    }

    /// Returns the cold state of the service of the ranks.
    pub(super) fn service(&self) -> ColdService {
        ColdService {
            per_second: self.per_second,
            duration: self.until.since(self.from),
        }
    }

    /// Returns whether a rank accepts no connections.
    pub(super) fn is_down(&self, at: Millis, upstream: usize) -> bool {
        let is_between = at + DOWN_TIME >= self.from && at < self.from;
        is_between && self.ranks.contains(&upstream)
    }

    /// Returns after which time a sender reads the entries of the ranks that have started again; `None` if it does not.
    pub(super) fn list_delay(&self, rng: &mut Rng) -> Option<Millis> {
        let is_read = self.is_connected || !rng.random_bool(UNCONNECTED_SHARE);
        is_read.then(|| Millis(rng.random_range(0..LIST_DELAY_MS)))
    }

    /// Changes the list to what it says at a time.
    pub(super) fn update(&self, now: Millis, specs: &mut [UpstreamSpec]) {
        for (index, spec) in specs.iter_mut().enumerate() {
            spec.cold_remaining = Some(Millis::ZERO);
            if now >= self.from && self.ranks.contains(&index) {
                spec.started_at = 1;
                spec.cold_remaining = Some(self.until.since(now));
            }
        }
    }

    /// Returns the worst window of all cold ranks.
    pub(super) fn worst_window(&self, record: &Record) -> Window {
        let rule = ColdRule::default();
        let allowed = rule.overage * self.per_second + rule.slack;
        let worst = self.ranks.iter().filter_map(|rank| {
            let counted = record.arrivals.iter().filter(|arrival| {
                arrival.upstream == *rank && self.from <= arrival.at && arrival.at < self.until
            });
            let counted: Vec<Millis> = counted.map(|arrival| arrival.at).collect();
            // The count is highest in a window that begins with an arrival.
            let windows = counted.iter().enumerate().map(|(position, from)| Window {
                from: *from,
                counted: counted.partition_point(|at| *at < *from + WINDOW) - position,
                allowed,
            });
            Window::worst(windows)
        });
        Window::worst(worst).unwrap_or(Window {
            allowed,
            ..Window::default()
        })
    }

    /// Returns how the requests of the cold time fared.
    pub(super) fn fare(&self, record: &Record) -> ColdFare {
        let mut first: Map<RequestId, Millis> = Map::default();
        for arrival in &record.arrivals {
            first.entry(arrival.request).or_insert(arrival.at);
        }
        let requests = record.requests.iter().enumerate();
        let cold = requests.filter(|(_, at)| self.from <= **at && **at < self.until);
        let cold: Vec<Option<Millis>> = cold
            .map(|(request, at)| Some(first.get(&(request as RequestId))?.since(*at)))
            .collect();
        let mut waits: Vec<Millis> = cold.iter().flatten().copied().collect();
        waits.sort_unstable();
        let at = |part: f64| waits.get((waits.len() as f64 * part) as usize).copied();
        let arrived = record.arrivals.iter();
        let arrived = arrived.filter(|one| self.from <= one.at && one.at < self.until);
        let at_cold = arrived
            .clone()
            .filter(|one| self.ranks.contains(&one.upstream));
        ColdFare {
            unsent: cold.len() - waits.len(),
            requests: cold.len(),
            wait_p50: at(0.5).unwrap_or_default(),
            wait_p99: at(0.99).unwrap_or_default(),
            at_cold: at_cold.count() as f64 / arrived.count().max(1) as f64,
        }
    }
}

/// How the requests of the cold time fared.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdFare {
    pub(super) requests: usize,
    /// Those that were sent to no upstream.
    pub(super) unsent: usize,
    /// The time from the caller to the first upstream.
    pub(super) wait_p50: Millis,
    pub(super) wait_p99: Millis,
    /// The part of the arrivals that went to cold ranks.
    pub(super) at_cold: f64,
}
