//! The state of an entry for the administration API.

use std::sync::Arc;

use sardinepin_protocol::Digest;
use sardinepin_store::BoxFuture;

use crate::admin::{Health, LoadView, QuarantineView, RuntimeState, UpstreamStatus};
use crate::entry::quarantine::Quarantine;
use crate::entry::server::Entry;

/// Gives the administration API access to the links and quarantines of a running entry.
#[derive(Debug)]
pub(crate) struct EntryStatus {
    pub(crate) entry: Arc<Entry>,
    pub(crate) quarantine: Quarantine,
}

impl Health for EntryStatus {
    fn not_ready_reason(&self) -> Option<String> {
        self.entry.not_ready_reason()
    }
}

impl RuntimeState for EntryStatus {
    fn upstream_statuses(&self) -> BoxFuture<'_, Vec<UpstreamStatus>> {
        let snapshot = self.entry.snapshot();
        let link_status = |name: &str| self.entry.links.status(name);
        let statuses = snapshot
            .upstreams()
            .filter_map(|upstream| {
                let status = link_status(&upstream.name)?;
                Some(UpstreamStatus {
                    name: upstream.name.clone(),
                    linked: status.linked,
                    leaving: status.leaving,
                    load: status.load.map(|(age, load)| LoadView {
                        load,
                        since_ms: age.0,
                    }),
                })
            })
            .collect();
        Box::pin(async move { statuses })
    }

    fn quarantined(&self) -> BoxFuture<'_, Vec<QuarantineView>> {
        let active = self.quarantine.active();
        Box::pin(async move {
            active
                .into_iter()
                .map(|(digest, remaining)| QuarantineView {
                    digest: digest.to_string(),
                    remaining_ms: remaining.0,
                })
                .collect()
        })
    }

    fn lift_quarantine(&self, digest: Digest) -> BoxFuture<'_, bool> {
        Box::pin(self.quarantine.lift(digest))
    }
}
