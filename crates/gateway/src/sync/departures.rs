//! Remembers which upstreams have left, for the case that an older copy of the store still lists them.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::sync::upstreams::is_same_lifetime;
use sardinepin_decisions::direct::UpstreamSpec;

/// How long a departure is remembered. An older copy of the store lacks only some seconds.
const RETENTION: Millis = Millis(120_000);

/// The processes that were removed from the list and have not been listed since.
#[derive(Debug, Default)]
pub(super) struct Departures {
    processes: Map<Arc<str>, Departure>,
}

#[derive(Debug)]
struct Departure {
    at: Millis,
    /// What the last entry of the process said.
    spec: UpstreamSpec,
}

impl Departures {
    /// Records that the process of `spec` was removed from the list at `now`.
    pub(super) fn insert(&mut self, now: Millis, name: &Arc<str>, spec: &UpstreamSpec) {
        let departure = Departure {
            at: now,
            spec: spec.clone(),
        };
        self.processes.insert(Arc::clone(name), departure);
    }

    /// Forgets a departure, as the store lists the name again.
    pub(super) fn remove(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// Returns whether the process of `spec` has left.
    pub(super) fn contains(&self, name: &str, spec: &UpstreamSpec) -> bool {
        let departure = self.processes.get(name);
        departure.is_some_and(|departure| is_same_lifetime(&departure.spec, spec))
    }

    /// Forgets departures that no older copy of the store can lack.
    pub(super) fn remove_old(&mut self, now: Millis) {
        self.processes
            .retain(|_, departure| now.since(departure.at) < RETENTION);
    }
}
