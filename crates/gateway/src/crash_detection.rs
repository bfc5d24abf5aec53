//! Finds out whether an upstream that broke off has crashed, and with which request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_protocol::Digest;
use tokio::net::TcpStream;

use crate::call::Call;
use crate::constants::CONNECT_TIMEOUT;
use crate::crashes::Crash;
use crate::gateway::Gateway;
use crate::upstream_spec::UpstreamSpec;

/// What the requests of a gateway say about crashes.
#[derive(Debug)]
pub(crate) enum CrashEvent {
    /// An upstream broke off before it began to answer.
    Suspected {
        request: Digest,
        upstream: UpstreamSpec,
    },
    /// A request under suspicion was answered, so these crashes were not its own.
    Cleared(Vec<Arc<str>>),
}

impl Gateway {
    /// Notes that an upstream broke off before it began to answer a request.
    pub(crate) fn report_suspected_crash(&self, call: &Call, upstream: &UpstreamSpec) {
        self.send_crash_event(CrashEvent::Suspected {
            request: call.digest(),
            upstream: upstream.clone(),
        });
    }

    /// Notes that a request was answered.
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

    /// Returns for how long a request is held back, if it is.
    pub(crate) fn quarantine_left(&self, call: &Call) -> Option<Millis> {
        let crashes = self.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.quarantine_left(Clock::wall(), &call.digest())
    }

    /// Makes sure that an upstream has crashed, and remembers it; returns what is new.
    pub(crate) async fn confirm_crash(
        &self,
        request: Digest,
        upstream: &UpstreamSpec,
    ) -> Option<Crash> {
        if !refuses_connections(upstream.address).await {
            return None;
        }
        let crash = Crash::new(Clock::wall(), request, &upstream.id, upstream.started_at);
        if !self.crashes().add(crash.clone()) {
            return None;
        }
        metrics::counter!("sardinepin_upstream_crashes_total").increment(1);
        log::info!(
            event = "suspect", digest:% = request, upstream = &*upstream.id, born = upstream.started_at;
            "an upstream crashed with a request that it had not begun to answer"
        );
        Some(crash)
    }
}

/// Returns whether nothing listens at an address, though its instance answers.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address));
    matches!(connecting.await, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
