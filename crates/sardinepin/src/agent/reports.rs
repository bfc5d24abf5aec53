//! Sends load reports to entries and reads the load of a model engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use sardinepin_common::Millis;
use sardinepin_config::{ServiceKind, Snapshot};
use sardinepin_protocol::ToEntry;
use tokio::sync::watch;

use crate::agent::response::FrameSender;
use crate::agent::state::SharedAgent;

/// The number of report periods after its last frame for which a link still carries load reports.
const ACTIVE_PERIODS: u64 = 4;

/// The time of the last frame that was received over a link.
#[derive(Debug, Default)]
pub(crate) struct LinkActivity {
    last_ms: AtomicU64,
}

impl LinkActivity {
    /// Records that a frame was received at `now`.
    pub(crate) fn record_frame(&self, now: Millis) {
        self.last_ms.store(now.0, Ordering::Relaxed);
    }

    fn is_recent(&self, now: Millis, max_age: Millis) -> bool {
        now.since(Millis(self.last_ms.load(Ordering::Relaxed))) < max_age
    }
}

/// Sends one load report at once, then one per period while the link is in use.
///
/// An idle link carries no reports: each upstream has a link to every entry, and most of these
/// links are idle.
pub(crate) async fn send_reports(
    agent: &SharedAgent,
    sender: &FrameSender,
    activity: &LinkActivity,
) {
    let period = Millis(agent.settings.agent.report_ms);
    let max_age = Millis(period.0 * ACTIVE_PERIODS);
    let _ = sender.send(ToEntry::Load(agent.load()));
    loop {
        tokio::time::sleep(period.duration()).await;
        if activity.is_recent(agent.clock.now(), max_age) {
            let _ = sender.send(ToEntry::Load(agent.load()));
        }
    }
}

/// Reads the engine's load once per report period if the upstream serves a model; never returns.
pub(crate) async fn poll_engine(agent: SharedAgent, snapshots: watch::Receiver<Arc<Snapshot>>) {
    let period = Millis(agent.settings.agent.report_ms);
    loop {
        tokio::time::sleep(period.duration()).await;
        if !serves_model(&agent.identity.name, &snapshots.borrow()) {
            continue;
        }
        if let Some(load) = agent.upstream.read_load(period).await {
            agent.gauge.set_engine_load(agent.clock.now(), load);
        }
    }
}

/// Returns whether the upstream belongs to a service of the kind `model`.
fn serves_model(name: &str, snapshot: &Snapshot) -> bool {
    let upstream = snapshot.upstream(name);
    let service = upstream.and_then(|upstream| snapshot.service(&upstream.service));
    service.is_some_and(|service| service.kind == ServiceKind::Model)
}
