//! Small changes to a map that pay for themselves.

use crate::placement::map::ExpertMap;
use crate::placement::settings::PlacementSettings;
use crate::placement::split::split;

/// How many of the least loaded ranks are weighed as partners of the most loaded one.
const PARTNERS: usize = 6;

/// Why a decision came out as it did, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The gain is worth the cost.
    Pays,
    /// No change that was weighed gains enough.
    NoGain,
    /// The best change costs more than it gains.
    TooDear,
}

/// What a decision came to.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The map to switch to, if one pays for itself.
    pub map: Option<ExpertMap>,
    /// Why.
    pub reason: Reason,
    /// The predicted skew (slowest rank over mean) on the present map.
    pub skew_now: f64,
    /// The predicted skew on the best map that was found.
    pub skew_then: f64,
    /// How many experts the best map loads.
    pub loads: usize,
}

/// Weighs small changes of one layer's map against their cost.
#[derive(Debug, Clone, Copy)]
pub struct Planner {
    settings: PlacementSettings,
}

impl Planner {
    /// Makes a planner.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings }
    }

    /// Decides whether the layer should go over to another map.
    ///
    /// `loads` are the estimated tokens of each expert; the estimate is smooth, and a gain has to
    /// be worth its cost over the horizon, so a steady load leads to no further changes.
    #[must_use]
    pub fn decide(&self, map: &ExpertMap, loads: &[f64]) -> Proposal {
        let mut search = Search::new(&self.settings, map, loads);
        let first = search.best.skew;
        let mut best = map.clone();
        let mut worth = 0.0;
        let mut tried = 0.0;
        while let Some(next) = search.improve() {
            let moved = next.loads_from(map);
            if moved > self.settings.batch_max {
                break;
            }
            tried = first - search.best.skew;
            let value = self.value(tried, moved);
            if value > worth {
                worth = value;
                best = next;
            }
        }
        let moved = best.loads_from(map);
        let skew_then = Score::of(&best, loads).skew;
        let reason = match (moved, tried < self.settings.gain_min) {
            (0, true) => Reason::NoGain,
            (0, false) => Reason::TooDear,
            _ => Reason::Pays,
        };
        Proposal {
            map: (reason == Reason::Pays).then_some(best),
            reason,
            skew_now: first,
            skew_then,
            loads: moved,
        }
    }

    /// Returns what a change is worth, in weighted seconds; negative if it costs more.
    fn value(&self, gain: f64, moved: usize) -> f64 {
        if gain < self.settings.gain_min {
            return -1.0;
        }
        let settings = &self.settings;
        let saved = gain * settings.horizon.as_f64() / 1_000.0;
        let bytes = moved as f64 * settings.expert_bytes as f64;
        let loading = bytes / settings.store_rate as f64;
        let pause = settings.switch_pause.as_f64() / 1_000.0;
        settings.skew_weight * saved - settings.moves_weight * (loading + pause)
    }
}

/// How good a map is for a load.
#[derive(Debug, Clone, Copy)]
struct Score {
    /// The slowest rank over the mean.
    skew: f64,
    /// The skew with a small part for all ranks above the mean, so that a search sees progress
    /// where several ranks are equally slow.
    smooth: f64,
}

impl Score {
    fn of(map: &ExpertMap, loads: &[f64]) -> Self {
        Self::from_totals(&totals(map, loads))
    }

    fn from_totals(totals: &[f64]) -> Self {
        let mean = (totals.iter().sum::<f64>() / totals.len() as f64).max(f64::MIN_POSITIVE);
        let slowest = totals.iter().copied().fold(0.0, f64::max);
        let over: f64 = totals
            .iter()
            .map(|total| (total / mean - 1.0).max(0.0).powi(2))
            .sum();
        Self {
            skew: slowest / mean,
            smooth: slowest / mean + over,
        }
    }
}

fn totals(map: &ExpertMap, loads: &[f64]) -> Vec<f64> {
    split(&map.hosts(loads.len()), loads, map.rank_count())
}

/// A search for better maps, one small change after the other.
struct Search<'a> {
    loads: &'a [f64],
    map: ExpertMap,
    best: Score,
    left: usize,
}

impl<'a> Search<'a> {
    fn new(settings: &PlacementSettings, map: &ExpertMap, loads: &'a [f64]) -> Self {
        Self {
            loads,
            map: map.clone(),
            best: Score::of(map, loads),
            left: settings.trials_max,
        }
    }

    /// Makes the change that helps most and returns the map, or `None` if none helps.
    fn improve(&mut self) -> Option<ExpertMap> {
        let totals = totals(&self.map, self.loads);
        let mut order: Vec<usize> = (0..totals.len()).collect();
        order.sort_by(|a, b| totals[*b].total_cmp(&totals[*a]).then(a.cmp(b)));
        let hot = *order.first()?;
        let hosts = self.map.hosts(self.loads.len());
        let mut found: Option<(Score, ExpertMap)> = None;
        for cold in order.iter().rev().take(PARTNERS) {
            for next in neighbours(&self.map, &hosts, hot, *cold) {
                if self.left == 0 {
                    break;
                }
                self.left -= 1;
                let score = Score::of(&next, self.loads);
                let bar = found
                    .as_ref()
                    .map_or(self.best.smooth, |(best, _)| best.smooth);
                if score.smooth < bar {
                    found = Some((score, next));
                }
            }
        }
        let (score, map) = found?;
        self.best = score;
        self.map = map.clone();
        Some(map)
    }
}

/// Returns the maps that differ by one exchange between two ranks, or by one replica given from
/// the slow rank's experts to the other in place of one that is held elsewhere too.
fn neighbours(map: &ExpertMap, hosts: &[Vec<u16>], hot: usize, cold: usize) -> Vec<ExpertMap> {
    let mut maps = Vec::new();
    for from in 0..map.per_rank() {
        let expert = map.rank(hot)[from];
        if map.rank(cold).contains(&expert) {
            continue;
        }
        for to in 0..map.per_rank() {
            let other = map.rank(cold)[to];
            if hosts[usize::from(other)].len() > 1 {
                let mut next = map.clone();
                next.set(cold, to, expert);
                maps.push(next);
            }
            if !map.rank(hot).contains(&other) {
                let mut next = map.clone();
                next.set(cold, to, expert);
                next.set(hot, from, other);
                maps.push(next);
            }
        }
    }
    maps
}
