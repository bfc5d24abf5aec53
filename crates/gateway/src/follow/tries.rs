//! The attempts of one request: whether there is one more, and what its caller is told otherwise.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::attempt::Failure;
use crate::call::Call;
use crate::fleet::{Room, UpstreamId};
use crate::gateway::Gateway;
use crate::measure::{self, End};

/// The least time left in which a request is sent once more.
const AGAIN_MIN: Millis = Millis(50);

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Upstreams that got the request, or could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// How many upstreams the request was sent to.
    pub(crate) sent: u32,
    /// Whether it may have run.
    pub(crate) ran: bool,
}

/// The end of a request without an upstream's answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GivenUp {
    pub(crate) kind: ErrorKind,
    pub(crate) retry_after: Millis,
    /// How the upstreams were, if that decided it.
    pub(crate) room: Room,
}

impl GivenUp {
    pub(super) fn new(kind: ErrorKind, retry_after: Millis) -> Self {
        Self {
            kind,
            retry_after,
            room: Room::default(),
        }
    }
}

/// A request without an answer; if it is dropped, its caller has left.
pub(super) struct Unanswered<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) call: &'a Call,
}

impl Unanswered<'_> {
    /// Says that there is an answer, whose end has a line of its own.
    pub(super) fn answer(self) {
        std::mem::forget(self);
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        let call = self.call;
        measure::ended(call, End::CallerLeft);
        log::info!(
            event = "caller_left", request = call.name(), service = &*call.service, chunks = 0,
            after_ms = self.gateway.clock.now().since(call.came).0;
            "caller left before its answer"
        );
    }
}

impl Gateway {
    /// Returns until when an upstream may take over a plain answer before another is tried.
    pub(super) fn attempt_until(&self, call: &Call, tries: &Tries) -> Millis {
        if !call.repeatable() || tries.sent >= call.route.max_attempts {
            return call.deadline;
        }
        let patience = Millis(call.route.latency_objective.0 * 2);
        call.deadline.min(self.clock.now() + patience)
    }

    /// Takes in a failure; returns an error if the request is not tried again.
    pub(crate) fn failed(
        &self,
        call: &Call,
        tries: &mut Tries,
        failure: Failure,
    ) -> Result<(), GivenUp> {
        tries.ran |= !failure.not_run();
        if failure == Failure::NotSent {
            tries.sent -= 1;
        }
        if self.may_try_again(call, tries, failure) {
            return Ok(());
        }
        let kind = match failure {
            _ if !tries.ran && failure == Failure::NotSent => ErrorKind::Unreachable,
            _ if !tries.ran => ErrorKind::Busy,
            Failure::Silent => ErrorKind::DeadlinePassed,
            Failure::Stalled => ErrorKind::Stalled,
            _ => ErrorKind::UpstreamBroke,
        };
        let retry_after = self.dispatch.with(|balance, _| balance.retry_delay());
        Err(GivenUp::new(kind, retry_after))
    }

    /// Decides whether a request is sent to one more upstream.
    pub(crate) fn may_try_again(&self, call: &Call, tries: &Tries, failure: Failure) -> bool {
        let left = call.deadline.since(self.clock.now());
        let allowed = failure.not_run() || call.repeatable();
        if !allowed || left < AGAIN_MIN || tries.sent >= call.route.max_attempts {
            return false;
        }
        // What never reached an upstream costs nothing of the budget.
        let paid = failure == Failure::NotSent
            || self
                .dispatch
                .with(|balance, now| balance.take_retry(now, &call.service));
        if paid {
            measure::retried(failure);
            log::info!(
                event = "again", request = call.name(), service = &*call.service,
                upstream = self.last_upstream(tries).as_deref(), reason = failure.label(),
                sent = tries.sent, left_ms = left.0;
                "request tried again"
            );
        }
        paid
    }

    /// Returns the upstream that was tried last.
    pub(super) fn last_upstream(&self, tries: &Tries) -> Option<Arc<str>> {
        let last = *tries.tried.last()?;
        self.dispatch.with(|balance, _| {
            let upstream = balance.upstreams().get(last)?;
            Some(Arc::clone(&upstream.spec.id))
        })
    }
}

/// Returns whether a stream may be sent to one more upstream.
pub(crate) fn is_movable(call: &Call, tries: &Tries) -> bool {
    call.resumable() && tries.sent < call.route.max_attempts
}
