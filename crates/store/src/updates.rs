//! Conversion of store listings to configuration updates.

use sardinepin_config::{ConfigEntry, ConfigUpdate};

use crate::store::{Listing, Object};

/// The prefix of configuration keys in the store; keys in a snapshot do not have it.
pub const CONFIG_PREFIX: &str = "config/";

/// Converts a listing of the whole configuration.
///
/// A listing contains no deletions, so objects that it lacks were deleted.
#[must_use]
pub fn listing_update(listing: Listing) -> ConfigUpdate {
    ConfigUpdate {
        revision: listing.revision,
        whole: true,
        entries: listing.objects.into_iter().map(config_entry).collect(),
    }
}

/// Converts the result of a watch.
///
/// The update gets the revision of the last configuration write, because the store's own revision
/// also advances with writes under other prefixes, which other nodes need not hear of.
#[must_use]
pub fn watch_update(listing: Listing) -> ConfigUpdate {
    let last_write = listing.objects.iter().map(|object| object.revision).max();
    ConfigUpdate {
        revision: last_write.unwrap_or(listing.revision),
        whole: false,
        entries: listing.objects.into_iter().map(config_entry).collect(),
    }
}

fn config_entry(object: Object) -> ConfigEntry {
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
