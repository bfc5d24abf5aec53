//! Detects upstream crashes and the requests that caused them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_protocol::Digest;
use tokio::net::TcpStream;

use crate::call::Call;
use crate::constants::CONNECT_TIMEOUT;
use crate::gateway::Gateway;
use sardinepin_decisions::direct::Crash;
use sardinepin_decisions::direct::UpstreamSpec;

/// An observation of a request that concerns crashes.
#[derive(Debug)]
pub(crate) enum CrashEvent {
    /// An upstream's connection broke before it sent a response.
    Suspected {
        request: Digest,
        upstream: UpstreamSpec,
    },
    /// A suspected request got a response, so it did not cause the crashes with these names.
    Cleared(Vec<Arc<str>>),
    /// The store came back from an older copy, which holds the crashes with these names.
    StoreRestored(Vec<Arc<str>>),
}

impl Gateway {
    /// Logs that an upstream broke off after `chunks` chunks of its response had been forwarded.
    pub(crate) fn log_broken_response(&self, call: &Call, upstream: &UpstreamSpec, chunks: u64) {
        let parts: Vec<&str> = call.shared_parts(&self.names).collect();
        log::info!(
            event = "broke_off", request = call.id_text(), digest:% = call.digest(),
            parts = parts.join(","), upstream = &*upstream.id, chunks = chunks;
            "an upstream broke off"
        );
    }

    /// Reports that an upstream's connection broke before it responded to a request.
    pub(crate) fn report_suspected_crash(&self, call: &Call, upstream: &UpstreamSpec) {
        self.send_crash_event(CrashEvent::Suspected {
            request: call.digest(),
            upstream: upstream.clone(),
        });
    }

    /// Removes the crashes attributed to a request, as it got a response.
    pub(crate) fn clear_crashes(&self, call: &Call) {
        let mut crashes = self.crashes();
        if crashes.is_empty() {
            return;
        }
        let names = crashes.remove_request(&call.digest());
        drop(crashes);
        if !names.is_empty() {
            self.send_crash_event(CrashEvent::Cleared(names));
        }
    }

    /// Returns how much longer a request is quarantined, or `None` if it is not.
    pub(crate) fn quarantine_remaining(&self, call: &Call) -> Option<Millis> {
        let crashes = self.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.quarantine_remaining(Clock::wall_time(), &call.digest())
    }

    /// Records a crash if the upstream refuses connections; returns it unless it was known.
    pub(crate) async fn confirm_crash(
        &self,
        request: Digest,
        upstream: &UpstreamSpec,
    ) -> Option<Crash> {
        if !refuses_connections(upstream.address).await {
            return None;
        }
        let crash = Crash::new(
            Clock::wall_time(),
            request,
            &upstream.id,
            upstream.started_at,
        );
        if !self.crashes().add(crash.clone()) {
            return None;
        }
        metrics::counter!("sardinepin_upstream_crashes_total").increment(1);
        log::info!(
            event = "suspect", digest:% = request, upstream = &*upstream.id, born = upstream.started_at;
            "an upstream crashed before it responded to a request"
        );
        Some(crash)
    }
}

/// Returns whether the host refuses connections at `address`: it responds, but nothing listens
/// there.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address));
    matches!(connecting.await, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
