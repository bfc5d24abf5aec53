//! Detects upstream crashes and the requests that caused them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::StatusCode;
use sardinepin_common::{Clock, Map, Millis};
use tokio::sync::oneshot;

use crate::call::Call;
use crate::constants::CONNECT_TIMEOUT;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use sardinepin_decisions::Admission;
use sardinepin_decisions::direct::{Crash, CrashedAttempt, UpstreamId};
use sardinepin_runtime::Connecting;

/// How long an upstream that refused connections counts as crashed for requests that break off there
/// later.
const PROBE_RETENTION: Millis = Millis(500);

/// How long a request waits for the right to test a culprit.
const CLAIM_TIMEOUT: Millis = Millis(500);

/// A change of the crash records that other gateways have to know.
#[derive(Debug)]
pub(crate) enum CrashEvent {
    /// This gateway has seen a crash.
    Seen(Crash),
    /// The crashes with these names count no longer: their request got a response, or they expired.
    Removed(Vec<Arc<str>>),
    /// The store came back from an older copy, which holds the crashes with these names.
    StoreRestored(Vec<Arc<str>>),
    /// This gateway wants to test a culprit, which one gateway does for all.
    ClaimProbe {
        /// The name of the test.
        name: Arc<str>,
        /// Receives whether this gateway has the right to; dropped if the store does not tell.
        granted: oneshot::Sender<bool>,
    },
}

/// Probes of upstreams at which requests broke off.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    upstreams: Mutex<Map<UpstreamId, Arc<Probe>>>,
}

/// The last probe of one upstream, locked while it runs: its time, and whether connections were refused.
type Probe = tokio::sync::Mutex<Option<(Millis, bool)>>;

impl Gateway {
    /// Logs that an upstream broke off after `chunks` chunks of its response had been forwarded.
    pub(crate) fn log_broken_response(&self, call: &Call, permit: &UpstreamPermit, chunks: u64) {
        let parts: Vec<&str> = call.shared_parts(&self.names).collect();
        log::info!(
            event = "broke_off", request = call.id_text(), digest:% = call.digest(),
            parts = parts.join(","), upstream = &*permit.spec.id, chunks = chunks;
            "an upstream broke off"
        );
    }

    /// Returns whether the upstream of a broken attempt has crashed; if it has, the crash counts
    /// against the request.
    pub(crate) async fn confirm_crash(&self, call: &Call, permit: &UpstreamPermit) -> bool {
        let broken_at = self.clock.now();
        // A probe is a connection to the upstream, which an evacuated zone does not get either.
        if !self.wait_to_send(&permit.spec.zone).await
            || !self.refuses_connections(permit, broken_at).await
        {
            return false;
        }
        let now = self.clock.now();
        let attempt = CrashedAttempt {
            traits: call.traits(),
            upstream: &permit.spec.id,
            started_at: permit.spec.started_at,
            age: broken_at.since(permit.sent_at),
            is_probe: call.is_probe(),
        };
        let seen_at = Clock::wall_time().since(now.since(broken_at));
        let mut crashes = self.crashes();
        let recorded = crashes.record_crash(broken_at, seen_at, attempt);
        let tally = crashes.tally(&call.digest());
        drop(crashes);
        let Some(crash) = recorded else { return true };
        metrics::counter!("sardinepin_upstream_crashes_total").increment(1);
        let parts: Vec<&str> = call.shared_parts(&self.names).collect();
        log::info!(
            event = "suspect", request = call.id_text(), digest:% = crash.request,
            parts = parts.join(","), doubtful = crash.parts.unanswered.len(), upstream = &*crash.upstream,
            born = crash.started_at, known = tally.known, counted = tally.counted;
            "an upstream crashed as it began to respond to a request"
        );
        self.send_crash_event(CrashEvent::Seen(crash));
        true
    }

    /// Returns whether the host of an upstream responds, but nothing listens at its address.
    ///
    /// Requests that break off together share one probe.
    async fn refuses_connections(&self, permit: &UpstreamPermit, broken_at: Millis) -> bool {
        let probe = self.dispatcher.probes.of(permit.id);
        let mut last = probe.lock().await;
        if let Some((at, refused)) = *last
            && (at >= broken_at || refused && broken_at.since(at) < PROBE_RETENTION)
        {
            return refused;
        }
        let refused = refuses_connections(permit.spec.address).await;
        *last = Some((self.clock.now(), refused));
        refused
    }

    /// Records that an upstream has responded to a request.
    ///
    /// `succeeded` tells whether it wrote a whole answer, so that no part of the prompt is at fault.
    /// An upstream may fail a request without running it, so that an error proves nothing.
    pub(crate) fn record_response(&self, call: &Call, status: StatusCode, succeeded: bool) {
        if status.is_server_error() {
            return;
        }
        let mut crashes = self.crashes();
        if succeeded {
            crashes.record_answer(self.clock.now(), call.parts());
        }
        if crashes.is_empty() {
            return;
        }
        let mut names = crashes.remove_request(&call.digest());
        if succeeded && call.is_probe() {
            names.extend(crashes.refute(&call.probed));
        }
        drop(crashes);
        if !names.is_empty() {
            log::info!(
                event = "crashes_cleared", request = call.id_text(), digest:% = call.digest(),
                status = status.as_u16(), crashes = names.len();
                "a response clears the crashes of its request"
            );
            self.send_crash_event(CrashEvent::Removed(names));
        }
    }

    /// Returns how much longer a request is quarantined, or `None` if it is not.
    pub(crate) fn quarantine_remaining(&self, call: &Call) -> Option<Millis> {
        let mut crashes = self.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.quarantine_remaining(Clock::wall_time(), call.traits(), call.is_probe())
    }

    /// Decides whether a new request may run; returns how long it is quarantined if not.
    pub(crate) async fn admit(&self, call: &mut Call) -> Result<(), Millis> {
        let wall_now = Clock::wall_time();
        let admission = {
            let mut crashes = self.crashes();
            if crashes.is_empty() {
                return Ok(());
            }
            crashes.admit(self.clock.now(), wall_now, call.traits())
        };
        match admission {
            Admission::Run => Ok(()),
            Admission::Hold(until) => Err(until.since(wall_now)),
            Admission::Probe(claim) if self.claim_probe(&claim.name, call).await => {
                call.probed = claim.traits;
                Ok(())
            }
            Admission::Probe(claim) => Err(claim.held_until.since(wall_now)),
        }
    }

    /// Claims the test of a culprit; returns whether this gateway may send a request.
    async fn claim_probe(&self, name: &Arc<str>, call: &Call) -> bool {
        let (granted, answer) = oneshot::channel();
        self.send_crash_event(CrashEvent::ClaimProbe {
            name: Arc::clone(name),
            granted,
        });
        let answer = tokio::time::timeout(CLAIM_TIMEOUT.duration(), answer);
        let answer = answer.await.ok().and_then(Result::ok);
        if answer.is_none() {
            self.crashes().record_unclaimed(self.clock.now(), name);
        }
        let is_granted = answer == Some(true);
        log::info!(
            event = "crash_probe", request = call.id_text(), digest:% = call.digest(), test = &**name, granted = is_granted;
            "a request may find out whether it crashes upstreams, unless another gateway does"
        );
        is_granted
    }
}

impl CrashProbes {
    fn of(&self, upstream: UpstreamId) -> Arc<Probe> {
        let mut upstreams = self.lock();
        Arc::clone(upstreams.entry(upstream).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, Map<UpstreamId, Arc<Probe>>> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the upstreams that do not exist any more.
    pub(crate) fn retain(&self, exists: impl Fn(UpstreamId) -> bool) {
        self.lock().retain(|upstream, _| exists(*upstream));
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = Connecting::to(address, CONNECT_TIMEOUT).await;
    matches!(connecting, Connecting::Refused)
}
