//! What came of the calls of a run.

use sardinepin_common::Millis;

use crate::fleet::callers::ORGANISATIONS;
use crate::fleet::policies::OBJECTIVE;

/// The longest pause between two events that is still in time.
const PAUSE_MAX: Millis = Millis(120);

/// What became of one call.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fate {
    pub(crate) organisation: usize,
    /// From the first attempt to the first event.
    pub(crate) first: Option<Millis>,
    /// The longest pause between two events.
    pub(crate) pause: Millis,
    pub(crate) whole: bool,
    pub(crate) refused: bool,
}

impl Fate {
    fn is_good(&self) -> bool {
        let in_time = self.first.is_some_and(|first| first <= OBJECTIVE);
        self.whole && in_time && self.pause <= PAUSE_MAX
    }
}

/// The figures of a run, as shares of its calls unless said.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Figures {
    pub(crate) calls: usize,
    /// Whole, with the first event and every pause in time.
    pub(crate) good: f64,
    pub(crate) served: f64,
    pub(crate) refused: f64,
    /// The first event of served calls, in milliseconds.
    pub(crate) first_p50: u64,
    pub(crate) first_p95: u64,
    /// The share of good calls of the worst-served organisation over that of all.
    pub(crate) fair_min: f64,
}

impl Figures {
    pub(crate) fn of(fates: &[Fate]) -> Self {
        let share = |holds: fn(&Fate) -> bool| share(fates.iter(), holds);
        let served = fates.iter().filter(|fate| fate.whole);
        let mut firsts: Vec<u64> = served.filter_map(|fate| Some(fate.first?.0)).collect();
        firsts.sort_unstable();
        let good = share(Fate::is_good);
        let of = |one| fates.iter().filter(move |fate| fate.organisation == one);
        let worst = (0..ORGANISATIONS)
            .map(|one| self::share(of(one), Fate::is_good))
            .fold(f64::INFINITY, f64::min);
        Self {
            calls: fates.len(),
            good,
            served: share(|fate| fate.whole),
            refused: share(|fate| fate.refused),
            first_p50: percentile(&firsts, 50),
            first_p95: percentile(&firsts, 95),
            fair_min: worst / good.max(f64::MIN_POSITIVE),
        }
    }
}

fn share<'a>(fates: impl Iterator<Item = &'a Fate>, holds: fn(&Fate) -> bool) -> f64 {
    let (mut all, mut held) = (0_usize, 0_usize);
    for fate in fates {
        all += 1;
        held += usize::from(holds(fate));
    }
    held as f64 / all.max(1) as f64
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let at = sorted.len() * percent / 100;
    sorted.get(at).copied().unwrap_or_default()
}
