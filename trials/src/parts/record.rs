//! What reached workers and what callers got.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

/// After how many crashes a part is known to the users' rules.
const CRASHES_MIN: usize = 5;

/// How long after the last of these crashes requests with the part may still reach workers, and how many after that.
const WINDOW: Millis = Millis(3_000);
const ARRIVALS_MAX: usize = 3;

/// Crashes, arrivals and answers.
#[derive(Debug)]
pub(super) struct Records {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When each part crashed workers.
    crashes: BTreeMap<String, Vec<Millis>>,
    /// When requests with each part reached workers.
    arrivals: BTreeMap<String, Vec<Millis>>,
    /// When sound requests were sent, and whether they were served.
    sound: Vec<(Millis, bool)>,
    /// How requests with a part ended, by status.
    statuses: BTreeMap<u16, u64>,
}

impl Records {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records that a request with a part has reached a worker.
    pub(super) fn add_arrival(&self, part: &str) {
        let now = self.now();
        let mut state = self.state();
        state.arrivals.entry(part.to_owned()).or_default().push(now);
    }

    /// Records that a part has crashed a worker.
    pub(super) fn add_crash(&self, part: &str) {
        let now = self.now();
        let mut state = self.state();
        state.crashes.entry(part.to_owned()).or_default().push(now);
    }

    /// Records the answer to a sound request.
    pub(super) fn add_sound(&self, sent_at: Millis, is_served: bool) {
        self.state().sound.push((sent_at, is_served));
    }

    /// Records the status of the answer to a request with a part; 0 if there was none.
    pub(super) fn add_status(&self, status: u16) {
        *self.state().statuses.entry(status).or_default() += 1;
    }

    /// Returns the figures and the broken rules.
    pub(super) fn summary(&self) -> Value {
        let state = self.state();
        let mut violations = Vec::new();
        let mut late_arrivals = BTreeMap::new();
        let mut calm_from = Millis::ZERO;
        for (part, crashes) in &state.crashes {
            let last = crashes.get(CRASHES_MIN - 1).or(crashes.last()).copied();
            let known_at = last.unwrap_or_default() + WINDOW;
            calm_from = calm_from.max(known_at + WINDOW);
            if crashes.len() < CRASHES_MIN {
                continue;
            }
            let arrivals = state.arrivals.get(part).map_or(&[][..], Vec::as_slice);
            let late = arrivals.iter().filter(|at| **at > known_at).count();
            late_arrivals.insert(part.clone(), late);
            if late > ARRIVALS_MAX {
                violations.push(json!({"rule": "budget", "part": part, "arrivals": late}));
            }
        }
        let later: Vec<_> = state
            .sound
            .iter()
            .filter(|(at, _)| *at > calm_from)
            .collect();
        let served = later.iter().filter(|(_, served)| *served).count();
        if served * 2 < later.len() {
            violations.push(json!({"rule": "lost", "sound": later.len(), "served": served}));
        }
        let crashes: BTreeMap<_, _> = state
            .crashes
            .iter()
            .map(|(part, crashes)| (part.clone(), crashes.len()))
            .collect();
        json!({
            "crashes": crashes, "late_arrivals": late_arrivals, "sound": state.sound.len(),
            "sound_served": state.sound.iter().filter(|(_, served)| *served).count(),
            "sound_later": later.len(), "sound_served_later": served, "statuses": state.statuses,
            "violations": violations,
        })
    }
}
