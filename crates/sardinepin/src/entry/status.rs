//! The state of an entry for the administration API.

use std::sync::Arc;

use sardinepin_protocol::Digest;
use sardinepin_store::BoxFuture;

use crate::admin::{Health, Live, LoadView, QuarantineView, UpstreamLoad};
use crate::entry::quarantine::Quarantine;
use crate::entry::server::Entry;

/// Gives the administration API access to the links and quarantines of a running entry.
#[derive(Debug)]
pub(crate) struct EntryStatus {
    pub(crate) entry: Arc<Entry>,
    pub(crate) quarantine: Quarantine,
}

impl Health for EntryStatus {
    fn waiting(&self) -> Option<String> {
        self.entry.not_ready_reason()
    }
}

impl Live for EntryStatus {
    fn loads(&self) -> BoxFuture<'_, Vec<UpstreamLoad>> {
        let snapshot = self.entry.snapshot();
        let link_status = |name: &str| self.entry.links.status(name);
        let loads = snapshot
            .upstreams()
            .filter_map(|upstream| {
                let status = link_status(&upstream.name)?;
                Some(UpstreamLoad {
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
        Box::pin(async move { loads })
    }

    fn quarantine(&self) -> BoxFuture<'_, Vec<QuarantineView>> {
        let active = self.quarantine.active();
        Box::pin(async move {
            active
                .into_iter()
                .map(|(digest, left)| QuarantineView {
                    digest: digest.to_string(),
                    left_ms: left.0,
                })
                .collect()
        })
    }

    fn lift(&self, digest: Digest) -> BoxFuture<'_, bool> {
        Box::pin(self.quarantine.lift(digest))
    }
}
