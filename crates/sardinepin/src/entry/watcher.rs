//! Follows the configuration in the platform's store.

use std::sync::Arc;

use sardinepin_common::{Millis, Revision};
use sardinepin_config::{Entry, Snapshot};
use sardinepin_platform::{HttpSettings, HttpStore, Listing, Store, StoreError};
use tokio::sync::watch;

use crate::options::PlatformSettings;

/// The prefix of the configuration's keys in the store.
const PREFIX: &str = "config/";

/// The wait after the store could not be asked.
const PAUSE: Millis = Millis(200);

/// Starts following the configuration; without a platform it stays empty.
pub(crate) fn start(settings: &PlatformSettings) -> watch::Receiver<Arc<Snapshot>> {
    let (sender, receiver) = watch::channel(Arc::default());
    if let Some(address) = settings.address {
        let store = HttpStore::new(HttpSettings {
            address,
            timeout: Millis(settings.timeout_ms),
            ..HttpSettings::default()
        });
        tokio::spawn(follow(store, sender, Millis(settings.watch_ms)));
    }
    receiver
}

async fn follow(store: HttpStore, sender: watch::Sender<Arc<Snapshot>>, wait: Millis) {
    let mut snapshot = Snapshot::default();
    while !sender.is_closed() {
        match next(&store, snapshot.revision(), wait).await {
            Ok(listing) => {
                let entries: Vec<Entry> = listing.objects.into_iter().map(entry).collect();
                snapshot.merge(listing.revision, &entries);
                sender.send_replace(Arc::new(snapshot.clone()));
            }
            Err(error) => {
                log::warn!(event = "platform_out", error:% = error; "the configuration cannot be read");
                tokio::time::sleep(PAUSE.duration()).await;
            }
        }
    }
}

async fn next(store: &HttpStore, after: Revision, wait: Millis) -> Result<Listing, StoreError> {
    if after == Revision::default() {
        return store.list(PREFIX).await;
    }
    store.watch(PREFIX, after, wait).await
}

fn entry(object: sardinepin_platform::Object) -> Entry {
    Entry {
        key: object.key.trim_start_matches(PREFIX).to_owned(),
        revision: object.revision,
        value: object.value,
    }
}
