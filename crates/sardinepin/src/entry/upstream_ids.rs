//! The numeric identifiers of upstreams within this entry.

use std::sync::Arc;

use sardinepin_common::Map;
use sardinepin_config::{Snapshot, Upstream};
use sardinepin_decisions::{UpstreamId, UpstreamInfo};

/// Assigns identifiers to upstream names in order of first appearance; a name keeps its identifier
/// for the life of the process.
#[derive(Debug, Default)]
pub(crate) struct UpstreamIds {
    ids: Map<String, UpstreamId>,
}

impl UpstreamIds {
    /// Returns the upstreams of a configuration with their identifiers.
    pub(crate) fn infos(&mut self, snapshot: &Snapshot) -> Vec<UpstreamInfo> {
        snapshot
            .upstreams()
            .map(|upstream| UpstreamInfo {
                evacuated: snapshot.is_evacuated(&upstream.zone),
                ..self.info(upstream)
            })
            .collect()
    }

    fn info(&mut self, upstream: &Upstream) -> UpstreamInfo {
        let next = u32::try_from(self.ids.len()).unwrap_or(u32::MAX);
        let id = *self
            .ids
            .entry(upstream.name.clone())
            .or_insert(UpstreamId(next));
        UpstreamInfo {
            id,
            name: Arc::from(upstream.name.as_str()),
            service: Arc::from(upstream.service.as_str()),
            zone: Arc::from(upstream.zone.as_str()),
            group: upstream.group.as_deref().map(Arc::from),
            state: upstream.state,
            evacuated: false,
        }
    }
}
