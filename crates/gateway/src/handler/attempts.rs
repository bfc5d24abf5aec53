//! The attempts of one request: whether there is one more, and what its caller is told otherwise.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::request_metrics::{self, RequestOutcome};
use crate::upstream_set::{UpstreamCounts, UpstreamId};

/// The least time left in which a request is sent once more.
const RETRY_MIN_LEFT: Millis = Millis(50);

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Upstreams that got the request, or could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// How many upstreams the request was sent to.
    pub(crate) sent: u32,
    /// Whether it may have run.
    pub(crate) may_have_run: bool,
}

/// The end of a request without an upstream's answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestFailure {
    pub(crate) kind: ErrorKind,
    pub(crate) retry_after: Millis,
    /// How the upstreams were, if that decided it.
    pub(crate) counts: UpstreamCounts,
}

impl RequestFailure {
    pub(super) fn new(kind: ErrorKind, retry_after: Millis) -> Self {
        Self {
            kind,
            retry_after,
            counts: UpstreamCounts::default(),
        }
    }
}

/// A request without an answer; if it is dropped, its caller has left.
pub(super) struct UnansweredRequest<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) call: &'a Call,
}

impl UnansweredRequest<'_> {
    /// Says that there is an answer, whose end has a line of its own.
    pub(super) fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        let call = self.call;
        request_metrics::count_outcome(call, RequestOutcome::CallerLeft);
        log::info!(
            event = "caller_left", request = call.id_text(), service = &*call.service, chunks = 0,
            after_ms = self.gateway.clock.now().since(call.received_at).0;
            "caller left before its answer"
        );
    }
}

impl Gateway {
    /// Returns until when an upstream may take over a plain answer before another is tried.
    pub(super) fn attempt_deadline(&self, call: &Call, attempts: &Attempts) -> Millis {
        if !call.is_repeatable() || attempts.sent >= call.route.max_attempts {
            return call.deadline;
        }
        let patience = Millis(call.route.latency_objective.0 * 2);
        call.deadline.min(self.clock.now() + patience)
    }

    /// Takes in a failure; returns an error if the request is not tried again.
    pub(crate) fn record_failure(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        failure: AttemptFailure,
    ) -> Result<(), RequestFailure> {
        attempts.may_have_run |= !failure.not_run();
        if failure == AttemptFailure::NotSent {
            attempts.sent -= 1;
        }
        if self.may_retry(call, attempts, failure) {
            return Ok(());
        }
        let kind = match failure {
            _ if !attempts.may_have_run && failure == AttemptFailure::NotSent => {
                ErrorKind::Unreachable
            }
            _ if !attempts.may_have_run => ErrorKind::Busy,
            AttemptFailure::TimedOut => ErrorKind::DeadlinePassed,
            AttemptFailure::Stalled => ErrorKind::Stalled,
            _ => ErrorKind::UpstreamBroke,
        };
        let retry_after = self
            .dispatcher
            .with_balancer(|balancer, _| balancer.retry_delay());
        Err(RequestFailure::new(kind, retry_after))
    }

    /// Decides whether a request is sent to one more upstream.
    pub(crate) fn may_retry(
        &self,
        call: &Call,
        attempts: &Attempts,
        failure: AttemptFailure,
    ) -> bool {
        let left = call.deadline.since(self.clock.now());
        let allowed = failure.not_run() || call.is_repeatable();
        if !allowed || left < RETRY_MIN_LEFT || attempts.sent >= call.route.max_attempts {
            return false;
        }
        // What never reached an upstream costs nothing of the budget.
        let paid = failure == AttemptFailure::NotSent
            || self
                .dispatcher
                .with_balancer(|balancer, now| balancer.take_retry(now, &call.service));
        if paid {
            request_metrics::count_retry(failure);
            log::info!(
                event = "again", request = call.id_text(), service = &*call.service,
                upstream = self.last_upstream(attempts).as_deref(), reason = failure.label(),
                sent = attempts.sent, left_ms = left.0;
                "request tried again"
            );
        }
        paid
    }

    /// Returns the upstream that was tried last.
    pub(super) fn last_upstream(&self, attempts: &Attempts) -> Option<Arc<str>> {
        let last = *attempts.tried.last()?;
        self.dispatcher.with_balancer(|balancer, _| {
            let upstream = balancer.upstreams().get(last)?;
            Some(Arc::clone(&upstream.spec.id))
        })
    }
}

/// Returns whether a stream may be sent to one more upstream.
pub(crate) fn can_move(call: &Call, attempts: &Attempts) -> bool {
    call.is_resumable() && attempts.sent < call.route.max_attempts
}
