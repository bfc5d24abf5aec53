//! The instance list, whose changes become visible after a lag.

use sardinepin_common::Millis;
use sardinepin_store::Instance;

/// The instance list as a log of its changes, oldest first.
#[derive(Debug, Default)]
pub(super) struct Instances {
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Change {
    at: Millis,
    name: String,
    /// The new state, or `None` if the instance was removed.
    instance: Option<Instance>,
}

impl Instances {
    /// Adds or replaces an instance.
    pub(super) fn put(&mut self, at: Millis, instance: Instance) {
        self.changes.push(Change {
            at,
            name: instance.name.clone(),
            instance: Some(instance),
        });
    }

    /// Removes an instance.
    pub(super) fn remove(&mut self, at: Millis, name: &str) {
        self.changes.push(Change {
            at,
            name: name.to_owned(),
            instance: None,
        });
    }

    /// Returns the list as it was `lag` before `now`, sorted by name.
    pub(super) fn list_at(&self, now: Millis, lag: Millis) -> Vec<Instance> {
        let mut listed = std::collections::BTreeMap::new();
        let shown = self.changes.iter().filter(|change| change.at + lag <= now);
        for change in shown {
            listed.insert(&change.name, change.instance.clone());
        }
        listed.into_values().flatten().collect()
    }
}
