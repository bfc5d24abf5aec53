//! Plans small changes to the map of one layer that are worth their cost.

use sardinepin_common::{Map, Millis};

use crate::placement::map::ExpertMap;
use crate::placement::settings::PlacementSettings;
use crate::placement::split::{Split, split_loads};

/// How many of the least loaded ranks are considered for a swap with the most loaded one.
const SWAP_RANKS: usize = 4;

/// How many of the least loaded replicas are considered for replacement by another expert.
const REPLICA_SLOTS: usize = 16;

/// How many sweeps compute the split to evaluate a candidate change.
const CANDIDATE_SWEEPS: usize = 2;

/// How many sweeps compute the split after a change is applied.
const CHANGE_SWEEPS: usize = 4;

/// The reason for a decision, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The gain is worth the cost.
    Worthwhile,
    /// The predicted skew of the current map is within [`PlacementSettings::skew_allowed`].
    Balanced,
    /// No candidate change gains enough.
    NoGain,
    /// The best change costs more than it gains.
    TooCostly,
}

/// The result of a decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The map to switch to, if one is worth its cost.
    pub map: Option<ExpertMap>,
    /// The reason for the decision.
    pub reason: Reason,
    /// The predicted skew (slowest rank over mean) on the current map.
    pub skew_before: f64,
    /// The predicted skew on the best map found.
    pub skew_after: f64,
    /// How many experts the ranks load for the best map.
    pub transfers: usize,
}

/// Compares small changes of one layer's map with their cost.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlacementSettings,
    /// The map of the last decision.
    last: Option<ExpertMap>,
    /// When an expert left a rank. It is not placed there again for
    /// [`PlacementSettings::return_delay`].
    departures: Map<(usize, u16), Millis>,
}

impl Planner {
    /// Returns a planner without earlier decisions.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            last: None,
            departures: Map::default(),
        }
    }

    /// Decides whether the layer should switch to another map.
    ///
    /// `loads` are the estimated tokens of each expert. The estimate is smoothed, and a gain must be
    /// worth its cost over the horizon, so a steady load causes no further changes.
    #[must_use]
    pub fn decide(&mut self, now: Millis, map: &ExpertMap, loads: &[f64]) -> Proposal {
        self.record_departures(now, map);
        let mut search = Search::new(&self.settings, map, loads, &self.departures);
        let initial_skew = search.best.skew;
        if initial_skew <= self.settings.skew_allowed {
            return Proposal {
                map: None,
                reason: Reason::Balanced,
                skew_before: initial_skew,
                skew_after: initial_skew,
                transfers: 0,
            };
        }
        let mut best = map.clone();
        let mut best_value = 0.0;
        let mut gain = 0.0;
        while let Some(next) = search.apply_best_change() {
            let transfers = next.transfers_from(map);
            if transfers > self.settings.batch_max {
                break;
            }
            gain = initial_skew - search.best.skew;
            let value = self.value(gain, transfers);
            if value > best_value {
                best_value = value;
                best = next;
            }
        }
        let transfers = best.transfers_from(map);
        let skew_after = Score::of(&split_loads(&best, loads)).skew;
        let reason = match (transfers, gain < self.settings.gain_min) {
            (0, true) => Reason::NoGain,
            (0, false) => Reason::TooCostly,
            _ => Reason::Worthwhile,
        };
        Proposal {
            map: (reason == Reason::Worthwhile).then_some(best),
            reason,
            skew_before: initial_skew,
            skew_after,
            transfers,
        }
    }

    /// Records which experts left which ranks since the last decision, and removes old records.
    fn record_departures(&mut self, now: Millis, map: &ExpertMap) {
        let delay = self.settings.return_delay;
        self.departures.retain(|_, left| now.since(*left) < delay);
        let same_size = |last: &&ExpertMap| last.rank_count() == map.rank_count();
        if let Some(last) = self.last.as_ref().filter(same_size) {
            for (rank, (old, new)) in last.ranks().zip(map.ranks()).enumerate() {
                let gone = old.iter().filter(|expert| !new.contains(expert));
                self.departures
                    .extend(gone.map(|expert| ((rank, *expert), now)));
            }
        }
        if self.last.as_ref() != Some(map) {
            self.last = Some(map.clone());
        }
    }

    /// Returns the value of a change in weighted seconds; negative if it costs more than it gains.
    fn value(&self, gain: f64, transfers: usize) -> f64 {
        if gain < self.settings.gain_min {
            return -1.0;
        }
        let settings = &self.settings;
        let saved = gain * settings.horizon.as_f64() / 1_000.0;
        let bytes = transfers as f64 * settings.expert_bytes as f64;
        let loading = bytes / settings.store_rate as f64;
        let pause = settings.switch_pause.as_f64() / 1_000.0;
        settings.skew_weight * saved - settings.transfer_weight * (loading + pause)
    }
}

/// The quality of a map for a load; lower is better.
#[derive(Debug, Clone, Copy)]
struct Score {
    /// The highest rank load, relative to the mean.
    skew: f64,
    /// The skew plus a small term for each rank above the mean. Unlike the skew alone, it shows
    /// progress when several ranks are equally slow.
    smoothed: f64,
}

impl Score {
    fn of(rank_loads: &[f64]) -> Self {
        let mean =
            (rank_loads.iter().sum::<f64>() / rank_loads.len() as f64).max(f64::MIN_POSITIVE);
        let slowest = rank_loads.iter().copied().fold(0.0, f64::max);
        let excess: f64 = rank_loads
            .iter()
            .map(|load| (load / mean - 1.0).max(0.0).powi(2))
            .sum();
        Self {
            skew: slowest / mean,
            smoothed: slowest / mean + excess,
        }
    }
}

/// The replacement of the experts in one or two slots.
#[derive(Debug, Clone, Copy)]
struct SlotChange {
    first: (usize, u16),
    second: Option<(usize, u16)>,
}

impl SlotChange {
    fn parts(self) -> impl Iterator<Item = (usize, u16)> {
        std::iter::once(self.first).chain(self.second)
    }
}

/// A greedy search for better maps, one small change at a time.
struct Search<'a> {
    current: Split<'a>,
    /// A copy of `current` on which candidate changes are evaluated.
    scratch: Split<'a>,
    best: Score,
    candidates_left: usize,
    departures: &'a Map<(usize, u16), Millis>,
}

impl<'a> Search<'a> {
    fn new(
        settings: &PlacementSettings,
        map: &ExpertMap,
        loads: &'a [f64],
        departures: &'a Map<(usize, u16), Millis>,
    ) -> Self {
        let current = Split::new(map, loads);
        Self {
            scratch: current.clone(),
            best: Score::of(current.rank_loads()),
            current,
            candidates_left: settings.candidates_max,
            departures,
        }
    }

    /// Applies the best candidate change and returns the new map, or `None` if none improves it.
    fn apply_best_change(&mut self) -> Option<ExpertMap> {
        let mut found = None;
        let mut lowest = self.best.smoothed;
        for change in self.candidates() {
            if self.candidates_left == 0 {
                break;
            }
            self.candidates_left -= 1;
            let smoothed = self.evaluate(change);
            if smoothed < lowest {
                lowest = smoothed;
                found = Some(change);
            }
        }
        self.apply(found?);
        self.current.map()
    }

    /// Returns the smoothed score of the map after a change.
    fn evaluate(&mut self, change: SlotChange) -> f64 {
        let undo: Vec<(usize, u16)> = change
            .parts()
            .map(|(slot, expert)| (slot, self.scratch.replace(slot, expert)))
            .collect();
        self.scratch.sweep(CANDIDATE_SWEEPS);
        let smoothed = Score::of(self.scratch.rank_loads()).smoothed;
        for (slot, expert) in undo.into_iter().rev() {
            self.scratch.replace(slot, expert);
        }
        self.scratch.copy_loads(&self.current);
        smoothed
    }

    fn apply(&mut self, change: SlotChange) {
        for (slot, expert) in change.parts() {
            self.current.replace(slot, expert);
        }
        self.current.sweep(CHANGE_SWEEPS);
        self.scratch = self.current.clone();
        self.best = Score::of(self.current.rank_loads());
    }

    /// Returns the candidate changes that may reduce the load of the most loaded rank.
    ///
    /// Either a lightly loaded replica is replaced by a replica of one of the rank's experts, or one
    /// of its experts is swapped with an expert of a lightly loaded rank.
    fn candidates(&self) -> Vec<SlotChange> {
        let rank_loads = self.current.rank_loads();
        let mut order: Vec<usize> = (0..rank_loads.len()).collect();
        order.sort_by(|a, b| rank_loads[*b].total_cmp(&rank_loads[*a]).then(a.cmp(b)));
        let Some(most_loaded) = order.first().copied() else {
            return Vec::new();
        };
        let mut changes = self.replica_changes(most_loaded);
        for least_loaded in order.iter().rev().take(SWAP_RANKS) {
            self.add_swaps(most_loaded, *least_loaded, &mut changes);
        }
        let per_rank = self.current.rank(most_loaded).len();
        let returns =
            |(slot, expert): (usize, u16)| self.departures.contains_key(&(slot / per_rank, expert));
        changes.retain(|change| !change.parts().any(returns));
        changes
    }

    fn replica_changes(&self, most_loaded: usize) -> Vec<SlotChange> {
        let per_rank = self.current.rank(most_loaded).len();
        let replicated = self.current.replicated_slots();
        let mut changes = Vec::new();
        for slot in replicated.into_iter().take(REPLICA_SLOTS) {
            let there = self.current.rank(slot / per_rank);
            for expert in self.current.rank(most_loaded) {
                if !there.contains(expert) {
                    changes.push(SlotChange {
                        first: (slot, *expert),
                        second: None,
                    });
                }
            }
        }
        changes
    }

    fn add_swaps(&self, most_loaded: usize, least_loaded: usize, changes: &mut Vec<SlotChange>) {
        let (here, there) = (
            self.current.rank(most_loaded),
            self.current.rank(least_loaded),
        );
        let per_rank = here.len();
        for (from, expert) in here.iter().enumerate() {
            for (to, other) in there.iter().enumerate() {
                if there.contains(expert) || here.contains(other) {
                    continue;
                }
                changes.push(SlotChange {
                    first: (least_loaded * per_rank + to, *expert),
                    second: Some((most_loaded * per_rank + from, *other)),
                });
            }
        }
    }
}
