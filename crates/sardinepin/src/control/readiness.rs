//! Decides when the configuration of a process that has just started is current.

use std::sync::Arc;

use sardinepin_common::{Millis, Revision};
use sardinepin_membership::Input;

use super::state::ControlState;
use super::watcher;

/// The interval between two checks.
const CHECK_INTERVAL: Millis = Millis(50);

/// How many rounds peers have to report their revisions.
const WAIT_ROUNDS: u64 = 3;

/// Marks this node as ready once it holds the platform's revision or, if the platform is
/// unavailable, the highest revision among its reachable peers.
pub(super) async fn wait_until_ready(state: Arc<ControlState>) {
    let report_timeout = Millis(state.settings.cluster.round_ms * WAIT_ROUNDS);
    let start = state.now();
    let mut contacted_at = None;
    let mut last_poll = None;
    loop {
        let now = state.now();
        let (highest, contacted) = state.highest_revision();
        if contacted > 0 {
            contacted_at.get_or_insert(now);
        }
        let poll_interval = Millis(state.settings.cluster.round_ms);
        if last_poll.is_none_or(|last| now.since(last) >= poll_interval) {
            last_poll = Some(now);
            state.handle(Input::PollRevision(Revision(u64::MAX)));
        }
        let inputs = ReadinessInputs {
            platform_read: state.has_read_platform(),
            isolated: is_isolated(&state),
            has_platform: state.store().is_some(),
            start_elapsed: now.since(start) >= report_timeout,
            contact_elapsed: contacted_at.is_some_and(|at| now.since(at) >= report_timeout),
            contacted: contacted > 0,
            has_config: state.revision() > Revision::default(),
            is_newest: state.revision() >= highest,
        };
        if is_ready(&inputs) {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
    }
    log::info!(event = "ready", revision = state.revision().0; "configuration is current");
    state.set_ready();
}

/// What a process that has just started knows.
struct ReadinessInputs {
    /// It has read the configuration from the platform.
    platform_read: bool,
    /// It knows of no other node.
    isolated: bool,
    /// A platform is configured.
    has_platform: bool,
    /// The time for peers to report has passed since the start.
    start_elapsed: bool,
    /// The time for peers to report has passed since the first datagram arrived from one.
    contact_elapsed: bool,
    /// A datagram has arrived from a peer.
    contacted: bool,
    /// It holds a configuration.
    has_config: bool,
    /// No live peer is known to hold a newer one.
    is_newest: bool,
}

fn is_ready(inputs: &ReadinessInputs) -> bool {
    if !inputs.is_newest {
        return false;
    }
    // The platform's response may be older than the configuration of peers, so peers get time to
    // report.
    let by_platform =
        inputs.platform_read && (inputs.isolated || inputs.contacted || inputs.start_elapsed);
    // If all peers have just started too, none of them has a configuration to rely on.
    let by_peers = inputs.contact_elapsed && inputs.has_config;
    let by_isolation = inputs.isolated && !inputs.has_platform;
    by_platform || by_peers || by_isolation
}

fn is_isolated(state: &ControlState) -> bool {
    state.udp().is_none()
        || (state.settings.cluster.seeds.is_empty() && state.member_views().len() == 1)
}

/// Reads the configuration and the instance list; retries the configuration until it can be read.
pub(super) async fn read_platform(state: Arc<ControlState>) {
    let Some(store) = state.store().map(Arc::clone) else {
        return;
    };
    watcher::read_instances(&state).await;
    while !state.has_read_platform() {
        if watcher::read_configuration(&state, store.as_ref())
            .await
            .is_err()
        {
            let pause = Millis(state.settings.cluster.round_ms);
            tokio::time::sleep(pause.duration()).await;
        }
    }
    watcher::read_instances(&state).await;
}
