//! A store in memory with faults to be switched on, for tests and trials only.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Map, Millis, Revision};
use tokio::sync::Notify;

use crate::store::{
    BoxFuture, ConditionalWrite, Instance, Listing, Object, Precondition, Store, StoreError,
};

/// The faults that a [`MemoryStore`] shows.
#[derive(Debug, Clone, Default)]
pub struct InjectedFaults {
    /// Every call is refused.
    pub down: bool,
    /// So many writes lose their answers after they have taken effect.
    pub lost_responses: u32,
    /// So many writes are lost before they take effect.
    pub lost_writes: u32,
    /// So many writes lose their answers and take effect only at [`MemoryStore::apply_delayed`].
    pub delayed_writes: u32,
    /// So many reads of single objects lose their answers.
    pub lost_reads: u32,
    /// Reads and watches show the store as it was at this revision.
    pub stale_at: Option<Revision>,
}

/// How many calls a [`MemoryStore`] has had.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of single objects.
    pub gets: u64,
    /// Listings.
    pub lists: u64,
    /// Writes.
    pub puts: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

/// A store in memory, for tests and trials.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
}

/// A write whose effect is put off.
#[derive(Debug)]
struct Late {
    key: String,
    precondition: Precondition,
    write_id: String,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    /// Every write, by revision from 1.
    log: Vec<Object>,
    late: Vec<Late>,
    faults: InjectedFaults,
    calls: CallCounts,
    instances: Vec<Instance>,
}

impl MemoryStore {
    /// Makes an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the faults.
    pub fn inject_faults(&self, change: impl FnOnce(&mut InjectedFaults)) {
        change(&mut self.state().faults);
        self.changed.notify_waiters();
    }

    /// Lets the writes take effect that were put off, in their order, where their conditions hold.
    pub fn apply_delayed(&self) {
        let mut state = self.state();
        for late in std::mem::take(&mut state.late) {
            // A condition that does not hold any more is what a late write meets.
            let _ = state.apply(ConditionalWrite {
                key: &late.key,
                precondition: late.precondition,
                write_id: &late.write_id,
                value: late.value.as_deref(),
            });
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns how many calls have come.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.state().calls
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state().newest()
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.state().instances = instances;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock can leave it half changed.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_put(&self, change: ConditionalWrite<'_>) -> Result<Revision, StoreError> {
        let mut state = self.state();
        state.calls.puts += 1;
        state.check_up()?;
        if state.faults.lost_writes > 0 {
            state.faults.lost_writes -= 1;
            return Err(lost());
        }
        if state.faults.delayed_writes > 0 {
            state.faults.delayed_writes -= 1;
            state.late.push(Late {
                key: change.key.to_owned(),
                precondition: change.precondition,
                write_id: change.write_id.to_owned(),
                value: change.value.map(str::to_owned),
            });
            return Err(lost());
        }
        let result = state.apply(change);
        if state.faults.lost_responses > 0 {
            state.faults.lost_responses -= 1;
            return Err(lost());
        }
        result
    }

    async fn wait_for(&self, prefix: &str, after: Revision) -> Result<Listing, StoreError> {
        loop {
            let changed = self.changed.notified();
            let listing = {
                let state = self.state();
                state.check_up()?;
                state.writes(prefix, after)
            };
            if !listing.objects.is_empty() {
                return Ok(listing);
            }
            changed.await;
        }
    }
}

impl State {
    fn check_up(&self) -> Result<(), StoreError> {
        if self.faults.down {
            return Err(StoreError::Refused("down".to_owned()));
        }
        Ok(())
    }

    fn newest(&self) -> Revision {
        Revision(self.log.len() as u64)
    }

    /// Returns the revision that reads show.
    fn shown(&self) -> Revision {
        match self.faults.stale_at {
            Some(stale) => stale.min(self.newest()),
            None => self.newest(),
        }
    }

    fn last(&self, key: &str, at: Revision) -> Option<&Object> {
        self.log
            .iter()
            .rev()
            .find(|object| object.key == key && object.revision <= at)
            .filter(|object| object.value.is_some())
    }

    fn apply(&mut self, change: ConditionalWrite<'_>) -> Result<Revision, StoreError> {
        let standing = self.last(change.key, self.newest());
        let holds = match change.precondition {
            Precondition::Absent => standing.is_none(),
            Precondition::Revision(revision) => {
                standing.is_some_and(|held| held.revision == revision)
            }
        };
        if !holds {
            return Err(StoreError::Conflict(standing.cloned()));
        }
        let revision = Revision(self.newest().0 + 1);
        self.log.push(Object {
            key: change.key.to_owned(),
            revision,
            write_id: change.write_id.to_owned(),
            value: change.value.map(str::to_owned),
        });
        Ok(revision)
    }

    /// Returns the last write of each key under `prefix` that was written after `after`.
    fn writes(&self, prefix: &str, after: Revision) -> Listing {
        let shown = self.shown();
        let mut last: Map<&str, &Object> = Map::default();
        for object in &self.log {
            if object.revision <= shown && object.key.starts_with(prefix) {
                last.insert(&object.key, object);
            }
        }
        let mut objects: Vec<Object> = last
            .into_values()
            .filter(|object| object.revision > after)
            .cloned()
            .collect();
        objects.sort_by_key(|object| object.revision);
        Listing {
            revision: shown,
            objects,
        }
    }
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let mut state = self.state();
            state.calls.gets += 1;
            state.check_up()?;
            if state.faults.lost_reads > 0 {
                state.faults.lost_reads -= 1;
                return Err(lost());
            }
            Ok(state.last(key, state.shown()).cloned())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let mut state = self.state();
            state.calls.lists += 1;
            state.check_up()?;
            let mut listing = state.writes(prefix, Revision::default());
            listing.objects.retain(|object| object.value.is_some());
            Ok(listing)
        })
    }

    fn put<'a>(
        &'a self,
        change: ConditionalWrite<'a>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(async move {
            let result = self.take_put(change);
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
            match tokio::time::timeout(wait.duration(), self.wait_for(prefix, after)).await {
                Ok(result) => result,
                Err(_) => Ok(Listing {
                    revision: self.state().shown(),
                    objects: Vec::new(),
                }),
            }
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<Instance>, StoreError>> {
        Box::pin(async move {
            let mut state = self.state();
            state.calls.instances += 1;
            state.check_up()?;
            Ok(state.instances.clone())
        })
    }
}

fn lost() -> StoreError {
    StoreError::Indeterminate("the answer was lost".to_owned())
}
