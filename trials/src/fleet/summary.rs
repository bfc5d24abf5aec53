//! The outcomes of calls and the figures of a simulation.

use sardinepin_common::Millis;

use crate::fleet::policies::FIRST_EVENT_OBJECTIVE;
use crate::fleet::workload::ORGANISATIONS;

/// The longest pause between two events that is still in time.
const PAUSE_MAX: Millis = Millis(120);

/// The outcome of one call.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallOutcome {
    pub(crate) organisation: usize,
    /// The time from the first attempt to the first event; `None` without an event.
    pub(crate) first_event: Option<Millis>,
    /// The longest pause between two events.
    pub(crate) max_pause: Millis,
    /// Whether all events arrived.
    pub(crate) is_complete: bool,
    /// Whether the last attempt was refused.
    pub(crate) refused: bool,
}

impl CallOutcome {
    fn is_good(&self) -> bool {
        let in_time = self
            .first_event
            .is_some_and(|first| first <= FIRST_EVENT_OBJECTIVE);
        self.is_complete && in_time && self.max_pause <= PAUSE_MAX
    }
}

/// The figures of a simulation; shares are of all calls.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Summary {
    pub(crate) calls: usize,
    /// The share of complete calls with the first event and every pause in time.
    pub(crate) good: f64,
    /// The share of complete calls.
    pub(crate) served: f64,
    /// The share of calls whose last attempt was refused.
    pub(crate) refused: f64,
    /// The time to the first event of complete calls, in milliseconds.
    pub(crate) first_p50_ms: u64,
    pub(crate) first_p95_ms: u64,
    /// The share of good calls of the worst-served organisation over that of all calls.
    pub(crate) fair_min: f64,
}

impl Summary {
    pub(crate) fn from_outcomes(outcomes: &[CallOutcome]) -> Self {
        let share = |holds: fn(&CallOutcome) -> bool| share(outcomes.iter(), holds);
        let served = outcomes.iter().filter(|outcome| outcome.is_complete);
        let mut firsts: Vec<u64> = served
            .filter_map(|outcome| Some(outcome.first_event?.0))
            .collect();
        firsts.sort_unstable();
        let good = share(CallOutcome::is_good);
        let of_organisation = |organisation| {
            outcomes
                .iter()
                .filter(move |outcome| outcome.organisation == organisation)
        };
        let worst = (0..ORGANISATIONS)
            .map(|organisation| self::share(of_organisation(organisation), CallOutcome::is_good))
            .fold(f64::INFINITY, f64::min);
        Self {
            calls: outcomes.len(),
            good,
            served: share(|outcome| outcome.is_complete),
            refused: share(|outcome| outcome.refused),
            first_p50_ms: percentile(&firsts, 50),
            first_p95_ms: percentile(&firsts, 95),
            fair_min: worst / good.max(f64::MIN_POSITIVE),
        }
    }
}

fn share<'a>(
    outcomes: impl Iterator<Item = &'a CallOutcome>,
    holds: fn(&CallOutcome) -> bool,
) -> f64 {
    let (mut total, mut matching) = (0_usize, 0_usize);
    for outcome in outcomes {
        total += 1;
        matching += usize::from(holds(outcome));
    }
    matching as f64 / total.max(1) as f64
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index).copied().unwrap_or_default()
}
