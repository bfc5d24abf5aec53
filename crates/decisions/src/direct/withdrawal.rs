//! What the processes of upstreams have said about requests that they do not want.
//!
//! This answers upstreams that leave, or are overloaded one by one, while the store or the load reports do not tell it yet: what an
//! upstream says in its own answers holds at once, for every request of this node.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::direct::upstream_spec::UpstreamSpec;
use crate::withdrawal::Withdrawal;

/// How long it is remembered what a process has said: longer than one takes to leave.
const RECORD_RETENTION: Millis = Millis(3_600_000);

/// What a process of an upstream has said, and when.
#[derive(Debug)]
struct Record {
    started_at: u64,
    recorded_at: Millis,
    withdrawal: Withdrawal,
}

/// What processes have said, by the identifiers of their upstreams.
///
/// An entry may expire while the store is out and be listed again later. The process behind it is the
/// same, so that what it has said still holds.
#[derive(Debug, Default)]
pub(super) struct WithdrawalRecords(Map<Arc<str>, Record>);

impl WithdrawalRecords {
    /// Records what the process of an upstream has said by `now`.
    pub(super) fn record(&mut self, now: Millis, spec: &UpstreamSpec, withdrawal: Withdrawal) {
        let record = Record {
            started_at: spec.started_at,
            recorded_at: now,
            withdrawal,
        };
        self.0.insert(Arc::clone(&spec.id), record);
    }

    /// Returns what the process of an upstream has said.
    pub(super) fn of(&self, spec: &UpstreamSpec) -> Withdrawal {
        let record = self.0.get(&spec.id);
        let record = record.filter(|record| record.started_at == spec.started_at);
        record.map(|record| record.withdrawal).unwrap_or_default()
    }

    /// Forgets what is too old to matter.
    pub(super) fn remove_old(&mut self, now: Millis) {
        self.0.retain(|_, record| {
            record.withdrawal.is_resting(now) || now.since(record.recorded_at) < RECORD_RETENTION
        });
    }
}
