//! Decides whether a request is retried, and which error its caller gets otherwise.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::dispatch::ReservedRetry;
use crate::gateway::Gateway;
use crate::request_metrics::{self, RequestOutcome};
use crate::upstream_response::UpstreamResponse;
use sardinepin_decisions::BudgetStatus;
use sardinepin_decisions::direct::{UpstreamCounts, UpstreamId};

/// The minimum time left before the deadline for a retry.
const RETRY_MIN_LEFT: Millis = Millis(50);

/// Why a request is not sent to another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryBar {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// It crashes upstreams.
    Quarantined,
    /// It tested whether it crashes upstreams.
    TestOver,
    /// This instance ends before the request surely does.
    Stopping,
    /// Its deadline is near.
    NoTime,
    /// It has had all attempts that its route allows.
    NoAttempt,
}

impl RetryBar {
    fn label(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Quarantined => "quarantined",
            Self::TestOver => "test_over",
            Self::Stopping => "stopping",
            Self::NoTime => "no_time",
            Self::NoAttempt => "no_attempt",
        }
    }
}

/// The attempts made for one request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Upstreams that received the request or could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// When it was given its first upstream.
    pub(crate) first_at: Option<Millis>,
    /// The number of upstreams that the request was sent to.
    pub(crate) sent: u32,
    /// Whether an upstream may have run it.
    pub(crate) maybe_ran: bool,
    /// The retry that is reserved for its next attempt.
    pub(crate) reserved: Option<ReservedRetry>,
    /// The response of another upstream, which has come while the upstream of the current attempt was silent.
    pub(crate) next: Option<UpstreamResponse>,
}

impl Attempts {
    /// Returns the error of a request that is not sent any more, as this instance stops.
    pub(crate) fn not_continued(&self) -> RequestFailure {
        let kind = match self.maybe_ran {
            true => ErrorKind::Stopped,
            false => ErrorKind::ShuttingDown,
        };
        RequestFailure::new(kind, Millis::ZERO)
    }

    /// Returns the error of a request that is ended wherever it is, as this instance stops.
    pub(crate) fn stopped(&self) -> RequestFailure {
        match self.sent {
            0 => self.not_continued(),
            _ => RequestFailure::new(ErrorKind::Stopped, Millis::ZERO),
        }
    }
}

/// The error that ends a request without an upstream's response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestFailure {
    pub(crate) kind: ErrorKind,
    pub(crate) retry_after: Millis,
    /// The number of upstreams in each state, if they were the reason.
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

/// Logs and counts a caller disconnect if it is dropped before `disarm` is called.
pub(super) struct UnansweredRequest<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
    pub(super) attempts: Attempts,
}

impl<'a> UnansweredRequest<'a> {
    pub(super) fn new(gateway: &'a Gateway, call: &'a Call) -> Self {
        Self {
            gateway,
            call,
            attempts: Attempts::default(),
        }
    }

    /// Drops the guard without a log line and returns the attempts; the end of the response is
    /// logged elsewhere.
    pub(super) fn disarm(mut self) -> Attempts {
        let attempts = std::mem::take(&mut self.attempts);
        std::mem::forget(self);
        attempts
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        let call = self.call;
        let waited = self.gateway.clock.now().since(call.received_at);
        request_metrics::count_outcome(call, RequestOutcome::CallerLeft);
        self.gateway
            .dispatcher
            .with_balancer(|balancer, _| balancer.record_departure(waited));
        log::info!(
            event = "caller_left", request = call.id_text(), service = &*call.service,
            route = &*call.route.name, upstream = self.gateway.last_upstream(&self.attempts).as_deref(),
            sent = self.attempts.sent, chunks = 0,
            after_ms = waited.0;
            "caller disconnected before its response"
        );
    }
}

impl Gateway {
    /// Returns when another upstream is tried as well if a non-streaming response has not arrived: after twice the latency objective.
    pub(super) fn plain_moves_at(&self, call: &Call) -> Millis {
        self.clock.now() + Millis(call.route.latency_objective.0 * 2)
    }

    /// Records a failed attempt; returns an error if the request is not retried.
    pub(crate) fn record_failure(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        failure: AttemptFailure,
    ) -> Result<(), RequestFailure> {
        attempts.maybe_ran |= !failure.not_run();
        if failure.not_sent() {
            attempts.sent -= 1;
        }
        if self.try_retry(call, attempts, failure) {
            return Ok(());
        }
        let kind = match failure {
            _ if !attempts.maybe_ran && !self.may_begin(call) => ErrorKind::ShuttingDown,
            AttemptFailure::Expired if !attempts.maybe_ran => ErrorKind::TooLate,
            AttemptFailure::Evacuated if !attempts.maybe_ran => ErrorKind::ZonesEvacuated,
            _ if !attempts.maybe_ran && failure == AttemptFailure::NotSent => {
                ErrorKind::Unreachable
            }
            _ if !attempts.maybe_ran => ErrorKind::Busy,
            AttemptFailure::TimedOut => ErrorKind::DeadlinePassed,
            AttemptFailure::Crashed => ErrorKind::UpstreamCrashed,
            AttemptFailure::Stalled => ErrorKind::Stalled,
            AttemptFailure::Stopped => ErrorKind::Stopped,
            _ => ErrorKind::UpstreamBroke,
        };
        let retry_after = self
            .dispatcher
            .with_balancer(|balancer, now| balancer.retry_delay(now, call.deadline));
        Err(RequestFailure::new(kind, retry_after))
    }

    /// Returns why a request is not sent again after a failure, whatever the retry budget says; `None` if it may be.
    pub(super) fn retry_bar(
        &self,
        call: &Call,
        sent: u32,
        failure: AttemptFailure,
    ) -> Option<RetryBar> {
        let time_left = call.deadline.since(self.clock.now());
        let bars = [
            (
                RetryBar::MayHaveRun,
                !failure.not_run() && !call.is_repeatable(),
            ),
            (
                RetryBar::Quarantined,
                self.quarantine_remaining(call).is_some(),
            ),
            (RetryBar::TestOver, !failure.not_run() && call.is_probe()),
            (RetryBar::Stopping, !self.may_begin(call)),
            (RetryBar::NoTime, time_left < RETRY_MIN_LEFT),
            (RetryBar::NoAttempt, sent >= call.route.max_attempts),
        ];
        let first = bars.into_iter().find(|(_, holds)| *holds);
        first.map(|(bar, _)| bar)
    }

    /// Returns whether a request is retried, and reserves the retry in the budget unless another upstream has answered already.
    pub(crate) fn try_retry(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        failure: AttemptFailure,
    ) -> bool {
        let time_left = call.deadline.since(self.clock.now());
        if attempts.next.is_some() {
            return true;
        }
        if let Some(bar) = self.retry_bar(call, attempts.sent, failure) {
            log::info!(
                event = "not_retried", request = call.id_text(), service = &*call.service,
                upstream = self.last_upstream(attempts).as_deref(), reason = failure.label(),
                barred = bar.label(), sent = attempts.sent, left_ms = time_left.0,
                ends_ms = self.time_to_end().map(|time| time.0);
                "request is not retried"
            );
            return false;
        }
        // A request that never reached an upstream does not count against the retry budget.
        let is_free = failure.not_sent();
        if !is_free {
            attempts.reserved = self.dispatcher.reserve_retry(&call.service);
        }
        let granted = is_free || attempts.reserved.is_some();
        if granted {
            self.log_retry(call, attempts, failure);
        } else {
            let budget = self.retry_budget(call);
            request_metrics::count_refused_retry(call);
            log::info!(
                event = "retry_refused", request = call.id_text(), service = &*call.service,
                reason = failure.label(), sent = attempts.sent, budget = budget.remaining,
                gateways = budget.nodes;
                "no retry is left in the budget of the service"
            );
        }
        if matches!(
            failure,
            AttemptFailure::Evacuated | AttemptFailure::Withdrawn
        ) {
            // It was not tried; its zone or its own notice is what keeps the request away.
            attempts.tried.pop();
        }
        granted
    }

    fn retry_budget(&self, call: &Call) -> BudgetStatus {
        self.dispatcher
            .with_balancer(|balancer, now| balancer.retry_budget(now, &call.service))
    }

    pub(super) fn log_retry(&self, call: &Call, attempts: &Attempts, failure: AttemptFailure) {
        let budget = self.retry_budget(call);
        let time_left = call.deadline.since(self.clock.now());
        request_metrics::count_retry(failure);
        log::info!(
            event = "again", request = call.id_text(), service = &*call.service,
            upstream = self.last_upstream(attempts).as_deref(), reason = failure.label(),
            sent = attempts.sent, left_ms = time_left.0, budget = budget.remaining,
            gateways = budget.nodes;
            "request is retried at another upstream"
        );
    }

    /// Returns the identifier of the upstream that was tried last.
    pub(super) fn last_upstream(&self, attempts: &Attempts) -> Option<Arc<str>> {
        let last = *attempts.tried.last()?;
        self.dispatcher.with_balancer(|balancer, _| {
            let upstream = balancer.upstreams().get(last)?;
            Some(Arc::clone(&upstream.spec.id))
        })
    }
}

/// Returns whether a request that may have run may be sent to another upstream.
pub(crate) fn can_move(call: &Call, attempts: &Attempts) -> bool {
    call.is_repeatable() && attempts.sent < call.route.max_attempts
}
