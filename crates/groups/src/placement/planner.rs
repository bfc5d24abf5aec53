//! Small changes to a map that pay for themselves.

use sardinepin_common::{Map, Millis};

use crate::placement::map::ExpertMap;
use crate::placement::settings::PlacementSettings;
use crate::placement::split::{Split, split_loads};

/// How many of the least loaded ranks are weighed as partners of the most loaded one.
const PARTNERS: usize = 4;

/// How many of the replicas that carry least are weighed as places for another expert.
const SPARE: usize = 16;

/// How often replicated experts are spread anew to weigh a change.
const TRIAL_SWEEPS: usize = 2;

/// How often they are spread anew after a change.
const SETTLE_SWEEPS: usize = 4;

/// Why a decision came out as it did, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The gain is worth the cost.
    Worthwhile,
    /// The predicted skew is small enough as it is.
    Balanced,
    /// No change that was weighed gains enough.
    NoGain,
    /// The best change costs more than it gains.
    TooCostly,
}

/// What a decision came to.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The map to switch to, if one pays for itself.
    pub map: Option<ExpertMap>,
    /// Why.
    pub reason: Reason,
    /// The predicted skew (slowest rank over mean) on the present map.
    pub skew_before: f64,
    /// The predicted skew on the best map that was found.
    pub skew_after: f64,
    /// How many experts the best map loads.
    pub transfers: usize,
}

/// Weighs small changes of one layer's map against their cost.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlacementSettings,
    /// The map of the last decision.
    last: Option<ExpertMap>,
    /// When an expert left a rank; it does not come back there for a while.
    departures: Map<(usize, u16), Millis>,
}

impl Planner {
    /// Makes a planner.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            last: None,
            departures: Map::default(),
        }
    }

    /// Decides whether the layer should go over to another map.
    ///
    /// `loads` are the estimated tokens of each expert; the estimate is smooth, and a gain has to
    /// be worth its cost over the horizon, so a steady load leads to no further changes.
    #[must_use]
    pub fn decide(&mut self, now: Millis, map: &ExpertMap, loads: &[f64]) -> Proposal {
        self.remember(now, map);
        let mut search = Search::new(&self.settings, map, loads, &self.departures);
        let first = search.best.skew;
        if first <= self.settings.skew_allowed {
            return Proposal {
                map: None,
                reason: Reason::Balanced,
                skew_before: first,
                skew_after: first,
                transfers: 0,
            };
        }
        let mut best = map.clone();
        let mut worth = 0.0;
        let mut tried = 0.0;
        while let Some(next) = search.improve() {
            let moved = next.transfers_from(map);
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
        let moved = best.transfers_from(map);
        let skew_after = Score::of(&split_loads(&best, loads)).skew;
        let reason = match (moved, tried < self.settings.gain_min) {
            (0, true) => Reason::NoGain,
            (0, false) => Reason::TooCostly,
            _ => Reason::Worthwhile,
        };
        Proposal {
            map: (reason == Reason::Worthwhile).then_some(best),
            reason,
            skew_before: first,
            skew_after,
            transfers: moved,
        }
    }

    /// Notes which experts left which ranks since the last decision, and forgets old departures.
    fn remember(&mut self, now: Millis, map: &ExpertMap) {
        let hold = self.settings.return_delay;
        self.departures.retain(|_, left| now.since(*left) < hold);
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
        settings.skew_weight * saved - settings.transfer_weight * (loading + pause)
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
    fn of(totals: &[f64]) -> Self {
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

/// A change of one or two slots.
#[derive(Debug, Clone, Copy)]
struct Change {
    first: (usize, u16),
    second: Option<(usize, u16)>,
}

impl Change {
    fn parts(self) -> impl Iterator<Item = (usize, u16)> {
        std::iter::once(self.first).chain(self.second)
    }
}

/// A search for better maps, one small change after the other.
struct Search<'a> {
    present: Split<'a>,
    /// Where changes are tried.
    trial: Split<'a>,
    best: Score,
    left: usize,
    departures: &'a Map<(usize, u16), Millis>,
}

impl<'a> Search<'a> {
    fn new(
        settings: &PlacementSettings,
        map: &ExpertMap,
        loads: &'a [f64],
        departures: &'a Map<(usize, u16), Millis>,
    ) -> Self {
        let present = Split::new(map, loads);
        Self {
            trial: present.clone(),
            best: Score::of(present.totals()),
            present,
            left: settings.candidates_max,
            departures,
        }
    }

    /// Makes the change that helps most and returns the map, or `None` if none helps.
    fn improve(&mut self) -> Option<ExpertMap> {
        let mut found = None;
        let mut bar = self.best.smooth;
        for change in self.changes() {
            if self.left == 0 {
                break;
            }
            self.left -= 1;
            let smooth = self.weigh(change);
            if smooth < bar {
                bar = smooth;
                found = Some(change);
            }
        }
        self.make(found?);
        self.present.map()
    }

    /// Returns how good the map would be after a change.
    fn weigh(&mut self, change: Change) -> f64 {
        let undo: Vec<(usize, u16)> = change
            .parts()
            .map(|(slot, expert)| (slot, self.trial.set(slot, expert)))
            .collect();
        self.trial.sweep(TRIAL_SWEEPS);
        let smooth = Score::of(self.trial.totals()).smooth;
        for (slot, expert) in undo.into_iter().rev() {
            self.trial.set(slot, expert);
        }
        self.trial.copy_loads(&self.present);
        smooth
    }

    fn make(&mut self, change: Change) {
        for (slot, expert) in change.parts() {
            self.present.set(slot, expert);
        }
        self.present.sweep(SETTLE_SWEEPS);
        self.trial = self.present.clone();
        self.best = Score::of(self.present.totals());
    }

    /// Returns the changes that may relieve the slowest rank: its experts get a replica in place
    /// of one that carries little, or trade places with an expert of a rank with little load.
    fn changes(&self) -> Vec<Change> {
        let totals = self.present.totals();
        let mut order: Vec<usize> = (0..totals.len()).collect();
        order.sort_by(|a, b| totals[*b].total_cmp(&totals[*a]).then(a.cmp(b)));
        let Some(hot) = order.first().copied() else {
            return Vec::new();
        };
        let mut changes = self.replicas(hot);
        for cold in order.iter().rev().take(PARTNERS) {
            self.trades(hot, *cold, &mut changes);
        }
        let per_rank = self.present.rank(hot).len();
        let returns =
            |(slot, expert): (usize, u16)| self.departures.contains_key(&(slot / per_rank, expert));
        changes.retain(|change| !change.parts().any(returns));
        changes
    }

    fn replicas(&self, hot: usize) -> Vec<Change> {
        let per_rank = self.present.rank(hot).len();
        let spare = self.present.spare_slots();
        let mut changes = Vec::new();
        for slot in spare.into_iter().take(SPARE) {
            let there = self.present.rank(slot / per_rank);
            for expert in self.present.rank(hot) {
                if !there.contains(expert) {
                    changes.push(Change {
                        first: (slot, *expert),
                        second: None,
                    });
                }
            }
        }
        changes
    }

    fn trades(&self, hot: usize, cold: usize, changes: &mut Vec<Change>) {
        let (here, there) = (self.present.rank(hot), self.present.rank(cold));
        let per_rank = here.len();
        for (from, expert) in here.iter().enumerate() {
            for (to, other) in there.iter().enumerate() {
                if there.contains(expert) || here.contains(other) {
                    continue;
                }
                changes.push(Change {
                    first: (cold * per_rank + to, *expert),
                    second: Some((hot * per_rank + from, *other)),
                });
            }
        }
    }
}
