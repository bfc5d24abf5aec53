//! An in-memory store with fault injection, for tests and trials only.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Map, Millis, Revision};
use tokio::sync::Notify;

use crate::store::{
    BoxFuture, ConditionalWrite, Instance, Listing, Object, Precondition, Store, StoreError,
};

/// The faults that a [`MemoryStore`] injects; counters decrease with each fault injected.
#[derive(Debug, Clone, Default)]
pub struct InjectedFaults {
    /// Whether all calls are refused, waiting watches included.
    pub down: bool,
    /// The number of next writes that are applied but whose responses are lost.
    pub lost_responses: u32,
    /// The number of next writes that are lost before they are applied.
    pub lost_writes: u32,
    /// The number of next writes whose responses are lost and that are applied only by
    /// [`MemoryStore::apply_delayed`].
    pub delayed_writes: u32,
    /// The number of next reads of single objects whose responses are lost.
    pub lost_reads: u32,
    /// The revision at which reads, listings and watches see the store; `None` for the latest.
    pub stale_at: Option<Revision>,
}

/// The number of calls to a [`MemoryStore`], by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of single objects.
    pub gets: u64,
    /// Listings.
    pub lists: u64,
    /// Writes and deletions.
    pub puts: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

/// An in-memory [`Store`] with fault injection, for tests and trials.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
}

/// A write whose effect is delayed.
#[derive(Debug)]
struct DelayedWrite {
    key: String,
    precondition: Precondition,
    write_id: String,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    /// All writes; the write at index `i` has revision `i + 1`.
    log: Vec<Object>,
    delayed: Vec<DelayedWrite>,
    faults: InjectedFaults,
    calls: CallCounts,
    instances: Vec<Instance>,
}

impl MemoryStore {
    /// Creates an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the injected faults and wakes waiting watches.
    pub fn inject_faults(&self, change: impl FnOnce(&mut InjectedFaults)) {
        change(&mut self.state().faults);
        self.changed.notify_waiters();
    }

    /// Applies the delayed writes in order; those whose preconditions fail have no effect.
    pub fn apply_delayed(&self) {
        let mut state = self.state();
        for delayed in std::mem::take(&mut state.delayed) {
            // The precondition of a delayed write may fail by now, which is not an error here.
            let _ = state.apply(ConditionalWrite {
                key: &delayed.key,
                precondition: delayed.precondition,
                write_id: &delayed.write_id,
                value: delayed.value.as_deref(),
            });
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.state().calls
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state().latest_revision()
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.state().instances = instances;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no code that holds it can leave the state inconsistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_put(&self, write: ConditionalWrite<'_>) -> Result<Revision, StoreError> {
        let mut state = self.state();
        state.calls.puts += 1;
        state.check_available()?;
        if state.faults.lost_writes > 0 {
            state.faults.lost_writes -= 1;
            return Err(lost_response());
        }
        if state.faults.delayed_writes > 0 {
            state.faults.delayed_writes -= 1;
            state.delayed.push(DelayedWrite {
                key: write.key.to_owned(),
                precondition: write.precondition,
                write_id: write.write_id.to_owned(),
                value: write.value.map(str::to_owned),
            });
            return Err(lost_response());
        }
        let result = state.apply(write);
        if state.faults.lost_responses > 0 {
            state.faults.lost_responses -= 1;
            return Err(lost_response());
        }
        result
    }

    async fn wait_for_changes(&self, prefix: &str, after: Revision) -> Result<Listing, StoreError> {
        loop {
            let changed = self.changed.notified();
            let listing = {
                let state = self.state();
                state.check_available()?;
                state.changes_since(prefix, after)
            };
            if !listing.objects.is_empty() {
                return Ok(listing);
            }
            changed.await;
        }
    }
}

impl State {
    fn check_available(&self) -> Result<(), StoreError> {
        if self.faults.down {
            return Err(StoreError::Refused("down".to_owned()));
        }
        Ok(())
    }

    fn latest_revision(&self) -> Revision {
        Revision(self.log.len() as u64)
    }

    /// Returns the revision at which reads see the store.
    fn visible_revision(&self) -> Revision {
        match self.faults.stale_at {
            Some(stale) => stale.min(self.latest_revision()),
            None => self.latest_revision(),
        }
    }

    fn latest(&self, key: &str, at: Revision) -> Option<&Object> {
        self.log
            .iter()
            .rev()
            .find(|object| object.key == key && object.revision <= at)
            .filter(|object| object.value.is_some())
    }

    fn apply(&mut self, write: ConditionalWrite<'_>) -> Result<Revision, StoreError> {
        let current = self.latest(write.key, self.latest_revision());
        let precondition_holds = match write.precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => {
                current.is_some_and(|object| object.revision == revision)
            }
        };
        if !precondition_holds {
            return Err(StoreError::Conflict(current.cloned()));
        }
        let revision = Revision(self.latest_revision().0 + 1);
        self.log.push(Object {
            key: write.key.to_owned(),
            revision,
            write_id: write.write_id.to_owned(),
            value: write.value.map(str::to_owned),
        });
        Ok(revision)
    }

    /// Returns the last write of each key that starts with `prefix`, if it is later than `after`.
    fn changes_since(&self, prefix: &str, after: Revision) -> Listing {
        let visible = self.visible_revision();
        let mut last_writes: Map<&str, &Object> = Map::default();
        for object in &self.log {
            if object.revision <= visible && object.key.starts_with(prefix) {
                last_writes.insert(&object.key, object);
            }
        }
        let mut objects: Vec<Object> = last_writes
            .into_values()
            .filter(|object| object.revision > after)
            .cloned()
            .collect();
        objects.sort_by_key(|object| object.revision);
        Listing {
            revision: visible,
            objects,
        }
    }
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let mut state = self.state();
            state.calls.gets += 1;
            state.check_available()?;
            if state.faults.lost_reads > 0 {
                state.faults.lost_reads -= 1;
                return Err(lost_response());
            }
            Ok(state.latest(key, state.visible_revision()).cloned())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let mut state = self.state();
            state.calls.lists += 1;
            state.check_available()?;
            let mut listing = state.changes_since(prefix, Revision::default());
            listing.objects.retain(|object| object.value.is_some());
            Ok(listing)
        })
    }

    fn put<'a>(
        &'a self,
        write: ConditionalWrite<'a>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(async move {
            let result = self.handle_put(write);
            self.changed.notify_waiters();
            result
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.state().calls.watches += 1;
            match tokio::time::timeout(wait.duration(), self.wait_for_changes(prefix, after)).await
            {
                Ok(result) => result,
                Err(_) => Ok(Listing {
                    revision: self.state().visible_revision(),
                    objects: Vec::new(),
                }),
            }
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<Instance>, StoreError>> {
        Box::pin(async move {
            let mut state = self.state();
            state.calls.instances += 1;
            state.check_available()?;
            Ok(state.instances.clone())
        })
    }
}

fn lost_response() -> StoreError {
    StoreError::Indeterminate("the answer was lost".to_owned())
}
