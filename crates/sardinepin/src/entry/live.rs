//! What an entry shows of itself in the administration API.

use std::sync::Arc;

use sardinepin_protocol::Digest;
use sardinepin_store::BoxFuture;

use crate::admin::{Health, LoadView, QuarantineView, RuntimeState, UpstreamStatus};
use crate::entry::quarantine::Quarantine;
use crate::entry::server::Entry;

/// The running entry.
#[derive(Debug)]
pub(crate) struct EntryLive {
    pub(crate) entry: Arc<Entry>,
    pub(crate) quarantine: Quarantine,
}

impl Health for EntryLive {
    fn unready_reason(&self) -> Option<String> {
        self.entry.waiting()
    }
}

impl RuntimeState for EntryLive {
    fn upstream_statuses(&self) -> BoxFuture<'_, Vec<UpstreamStatus>> {
        let snapshot = self.entry.snapshot();
        let load = |name: &str| self.entry.links.sight(name);
        let loads = snapshot
            .upstreams()
            .filter_map(|upstream| {
                let sight = load(&upstream.name)?;
                Some(UpstreamStatus {
                    name: upstream.name.clone(),
                    linked: sight.linked,
                    leaving: sight.leaving,
                    load: sight.load.map(|(since, load)| LoadView {
                        load,
                        since_ms: since.0,
                    }),
                })
            })
            .collect();
        Box::pin(async move { loads })
    }

    fn quarantined(&self) -> BoxFuture<'_, Vec<QuarantineView>> {
        let held = self.quarantine.held();
        Box::pin(async move {
            held.into_iter()
                .map(|(digest, left)| QuarantineView {
                    digest: digest.to_string(),
                    left_ms: left.0,
                })
                .collect()
        })
    }

    fn lift_quarantine(&self, digest: Digest) -> BoxFuture<'_, bool> {
        Box::pin(self.quarantine.lift(digest))
    }
}
