//! What the store's answers say of the configuration.

use sardinepin_config::{ConfigEntry, ConfigUpdate};

use crate::store::{Listing, Object};

/// The prefix of the configuration's keys in the store; a snapshot's keys are without it.
pub const CONFIG_PREFIX: &str = "config/";

/// Reads a listing of all configuration: it shows no deletions, so what it lacks is gone.
#[must_use]
pub fn listing_update(listing: Listing) -> ConfigUpdate {
    ConfigUpdate {
        revision: listing.revision,
        whole: true,
        entries: listing.objects.into_iter().map(entry).collect(),
    }
}

/// Reads the answer to a watch.
///
/// The store's revision also counts writes under other prefixes, of which the other nodes need not
/// hear: so the last write of the configuration gives the revision.
#[must_use]
pub fn watch_update(listing: Listing) -> ConfigUpdate {
    let last = listing.objects.iter().map(|object| object.revision).max();
    ConfigUpdate {
        revision: last.unwrap_or(listing.revision),
        whole: false,
        entries: listing.objects.into_iter().map(entry).collect(),
    }
}

fn entry(object: Object) -> ConfigEntry {
    let key = match object.key.strip_prefix(CONFIG_PREFIX) {
        Some(key) => key.to_owned(),
        None => object.key,
    };
    ConfigEntry {
        key,
        revision: object.revision,
        value: object.value,
    }
}
