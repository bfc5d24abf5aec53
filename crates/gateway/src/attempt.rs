//! Sends a request to one upstream and checks the response.

use std::pin::{Pin, pin};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Response;
use http::response::Parts;
use hyper::body::{Frame, Incoming};
use sardinepin_common::Millis;

use crate::body_reader::{BodyError, WholeBody};
use crate::call::Call;
use crate::connection::{Connection, ConnectionNeed, SendError};
use crate::constants::STALL_CHECK_INTERVAL;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::handler::{Attempts, can_move};
use crate::response_head;
use crate::upstream_response::UpstreamResponse;
use sardinepin_decisions::direct::{AttemptEnd, UpstreamId};

/// Why an attempt gave no response that can be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request reached the upstream.
    NotSent,
    /// The deadline passed before the request was sent.
    Expired,
    /// The zone of the upstream was evacuated before the request was sent.
    Evacuated,
    /// The upstream withdrew before the request was sent: it is leaving, no longer listed, or rests.
    Withdrawn,
    /// The upstream responded that it did not run the request.
    Rejected,
    /// The upstream responded that it did not run the request because its group lacks a rank.
    GroupBroken,
    /// The upstream's group has stalled while another has capacity; the request may have run.
    Stalled,
    /// The connection broke, or the response is invalid; the request may have run.
    BrokenResponse,
    /// The response is no part of the stream that the caller has received so far; the request may have run.
    Discontinuous,
    /// The upstream crashed; the request may have run.
    Crashed,
    /// The request was put in quarantine while it was in flight; it may have run.
    Quarantined,
    /// The upstream did not respond in time; the request may have run.
    TimedOut,
    /// This instance ended before the response had; the request may have run.
    Stopped,
}

impl AttemptFailure {
    /// The failures after which a request may be retried.
    pub const RETRIED: [Self; 10] = [
        Self::NotSent,
        Self::Evacuated,
        Self::Withdrawn,
        Self::Rejected,
        Self::GroupBroken,
        Self::Stalled,
        Self::BrokenResponse,
        Self::Discontinuous,
        Self::Crashed,
        Self::TimedOut,
    ];

    /// Returns whether it is certain that the request did not run.
    #[must_use]
    pub fn not_run(self) -> bool {
        self.not_sent() || matches!(self, Self::Rejected | Self::GroupBroken)
    }

    /// Returns whether nothing was sent to the upstream.
    pub(crate) fn not_sent(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Expired | Self::Evacuated | Self::Withdrawn
        )
    }

    /// Returns the label used in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Expired => "expired",
            Self::Evacuated => "evacuated",
            Self::Withdrawn => "withdrawn",
            Self::Rejected => "rejected",
            Self::GroupBroken => "group_broken",
            Self::Stalled => "stalled",
            Self::BrokenResponse => "broken",
            Self::Discontinuous => "discontinuous",
            Self::Crashed => "crashed",
            Self::Quarantined => "quarantined",
            Self::TimedOut => "silent",
            Self::Stopped => "stopped",
        }
    }
}

/// The limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptOptions {
    /// When another upstream is tried as well if this one has not answered.
    pub(crate) moves_at: Option<Millis>,
    /// The number of the last event that the caller received.
    pub(crate) last_event_id: Option<u64>,
}

/// What ends the wait for an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitLimits<'a> {
    pub(crate) call: &'a Call,
    /// When another upstream is tried as well.
    pub(crate) moves_at: Option<Millis>,
    /// The number of the last event that the caller received.
    pub(crate) last_event_id: Option<u64>,
    /// When the request was sent, until the upstream begins to write an answer.
    pub(crate) unanswered_since: Option<Millis>,
}

impl WaitLimits<'_> {
    /// Returns the time until the limits are checked next.
    fn time_to_check(&self, now: Millis) -> Millis {
        let next = self.moves_at.filter(|at| *at > now);
        let next = next.unwrap_or(self.call.deadline).min(self.call.deadline);
        next.since(now).min(STALL_CHECK_INTERVAL)
    }
}

/// What an upstream sends: the head of a response, or a piece of its body.
pub(crate) trait UpstreamProgress {
    /// Returns whether it brings the request forward.
    fn goes_on(&self) -> bool;
}

impl UpstreamProgress for Result<Response<Incoming>, SendError> {
    fn goes_on(&self) -> bool {
        self.as_ref()
            .is_ok_and(|response| response.status().is_success())
    }
}

impl UpstreamProgress for Option<hyper::Result<Frame<Bytes>>> {
    fn goes_on(&self) -> bool {
        !matches!(self, Some(Err(_)))
    }
}

impl UpstreamProgress for Result<WholeBody, BodyError> {
    fn goes_on(&self) -> bool {
        self.is_ok()
    }
}

/// Which of two upstreams has answered.
enum FirstAnswer<T> {
    /// The current one, or both have failed.
    Current(T),
    /// The next one.
    Next,
    /// The next one has failed, and the current one is still silent.
    Neither,
}

/// Waits for the current upstream and the `opening` of the next one. A failure of the current one waits for the next one, which may
/// take the request over.
async fn first_to_answer<T: UpstreamProgress>(
    mut current: Pin<&mut impl Future<Output = T>>,
    mut opening: BoxFuture<'_, bool>,
) -> FirstAnswer<T> {
    let failed = tokio::select! {
        biased;
        done = current.as_mut() => done,
        opened = &mut opening => return match opened {
            true => FirstAnswer::Next,
            false => FirstAnswer::Neither,
        },
    };
    if failed.goes_on() || !opening.await {
        return FirstAnswer::Current(failed);
    }
    FirstAnswer::Next
}

impl Gateway {
    /// Sends a request to the upstream of `permit` and waits for the response head. With its `attempts`, a stream may leave a silent
    /// upstream for another one.
    pub(crate) async fn attempt(
        &self,
        call: &Call,
        mut permit: UpstreamPermit,
        options: AttemptOptions,
        attempts: Option<&mut Attempts>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let result = self
            .send_attempt(call, &mut permit, options, attempts)
            .await;
        match &result {
            Err(AttemptFailure::NotSent | AttemptFailure::Crashed) => {
                permit.set_end(AttemptEnd::Unreachable)
            }
            Err(AttemptFailure::Rejected) => permit.set_end(AttemptEnd::Rejected),
            Err(AttemptFailure::GroupBroken) => permit.set_end(AttemptEnd::GroupBroken),
            // The group is at fault and is already recorded as stalled, or nobody is: the upstream's
            // failure rate stays.
            Err(
                AttemptFailure::Stalled
                | AttemptFailure::Expired
                | AttemptFailure::Evacuated
                | AttemptFailure::Withdrawn
                | AttemptFailure::Quarantined
                | AttemptFailure::Stopped,
            ) => {}
            Err(
                AttemptFailure::BrokenResponse
                | AttemptFailure::Discontinuous
                | AttemptFailure::TimedOut,
            ) => permit.set_end(AttemptEnd::Failed),
            Ok(_) => {}
        }
        let (parts, body, connection) = result?;
        Ok(UpstreamResponse {
            has_no_body: call.allows_no_body(parts.status),
            load: self.load_report(&parts.headers),
            permit,
            parts,
            body,
            connection,
        })
    }

    async fn send_attempt(
        &self,
        call: &Call,
        permit: &mut UpstreamPermit,
        options: AttemptOptions,
        attempts: Option<&mut Attempts>,
    ) -> Result<(Parts, Incoming, Connection), AttemptFailure> {
        let AttemptOptions {
            moves_at,
            last_event_id,
        } = options;
        let time_left = call.deadline.since(self.clock.now());
        let need = match call.is_repeatable() {
            _ if call.is_large() => ConnectionNeed::Patient(time_left),
            true => ConnectionNeed::Any,
            false => ConnectionNeed::New,
        };
        let pool = &self.dispatcher.pool;
        let connecting = pool.get(self.clock, permit.id, permit.spec.address, need);
        let mut connection = tokio::time::timeout(time_left.duration(), connecting)
            .await
            .map_err(|_| AttemptFailure::Expired)?
            .map_err(|_| AttemptFailure::NotSent)?;
        let time_left = call.deadline.since(self.clock.now());
        let sending = self.wait_to_send(&permit.spec.zone);
        match tokio::time::timeout(time_left.duration(), sending).await {
            Ok(true) => {}
            Ok(false) => return Err(AttemptFailure::Evacuated),
            Err(_) => return Err(AttemptFailure::Expired),
        }
        let now = self.clock.now();
        let left = call.deadline.since(now);
        if left == Millis::ZERO {
            return Err(AttemptFailure::Expired);
        }
        if !self.may_send(call, permit) {
            return Err(AttemptFailure::Withdrawn);
        }
        let request = call
            .to_upstream(&self.names, &permit.spec, left, last_event_id)
            .map_err(|_| AttemptFailure::NotSent)?;
        let limits = WaitLimits {
            call,
            moves_at,
            last_event_id,
            unanswered_since: Some(now),
        };
        let sending = connection.send(request);
        let response = self.wait_for_upstream(permit.id, limits, attempts, sending);
        let response = match response.await {
            Err(failure) => return Err(failure),
            Ok(Err(SendError::NotSent)) => return Err(AttemptFailure::NotSent),
            Ok(Err(SendError::MaybeSent)) => {
                self.log_broken_response(call, permit, 0);
                return Err(match self.confirm_crash(call, permit).await {
                    true => AttemptFailure::Crashed,
                    false => AttemptFailure::BrokenResponse,
                });
            }
            Ok(Ok(response)) => response,
        };
        let (parts, body) = response.into_parts();
        if !call.asked_answer().is_answered_by(parts.status.as_u16()) {
            response_head::log_no_answer(call, permit, parts.status);
            return Err(AttemptFailure::BrokenResponse);
        }
        self.record_head(call, permit, &parts);
        if parts.status.is_success() {
            self.record_progress(permit.id);
            self.dispatcher
                .with_balancer(|balancer, _| balancer.record_answer(permit.id, now));
        }
        self.check_response(call, permit, &parts, connection.is_reused())?;
        Ok((parts, body, connection))
    }

    /// Waits for `work` until it completes or the deadline of the request is reached. With its `attempts`, a request ends the wait once
    /// another upstream has answered it.
    pub(crate) async fn wait_for_upstream<T: UpstreamProgress>(
        &self,
        id: UpstreamId,
        limits: WaitLimits<'_>,
        mut attempts: Option<&mut Attempts>,
        work: impl Future<Output = T>,
    ) -> Result<T, AttemptFailure> {
        let call = limits.call;
        let mut work = pin!(work);
        loop {
            let now = self.clock.now();
            if now >= call.deadline {
                return Err(AttemptFailure::TimedOut);
            }
            let interval = limits.time_to_check(now);
            if let Ok(done) = tokio::time::timeout(interval.duration(), work.as_mut()).await {
                return Ok(done);
            }
            if limits.unanswered_since.is_some() && self.quarantine_remaining(call).is_some() {
                return Err(AttemptFailure::Quarantined);
            }
            let Some(attempts) = attempts.as_deref_mut() else {
                continue;
            };
            let Some(failure) = self.reason_to_move(id, limits, attempts) else {
                continue;
            };
            let opening = self.open_next(call, attempts, failure, limits.last_event_id);
            match first_to_answer(work.as_mut(), opening).await {
                FirstAnswer::Current(done) => return Ok(done),
                FirstAnswer::Next => return Err(failure),
                FirstAnswer::Neither => {}
            }
        }
    }

    /// Returns why a request should leave its upstream, if it may: it has waited for long, or the group of the upstream has stalled or
    /// answers later requests first.
    fn reason_to_move(
        &self,
        id: UpstreamId,
        limits: WaitLimits<'_>,
        attempts: &Attempts,
    ) -> Option<AttemptFailure> {
        let call = limits.call;
        if !can_move(call, attempts) {
            return None;
        }
        if limits.moves_at.is_some_and(|at| self.clock.now() >= at) {
            return Some(AttemptFailure::TimedOut);
        }
        if !call.is_resumable() {
            return None;
        }
        let stalled = self
            .dispatcher
            .with_balancer(|balancer, now| balancer.should_move(now, id, &call.regions));
        if stalled {
            return Some(AttemptFailure::Stalled);
        }
        let objective = call.route.latency_objective;
        let overtaken = limits.unanswered_since.is_some_and(|sent_at| {
            self.dispatcher
                .with_balancer(|balancer, now| balancer.is_overtaken(now, id, sent_at, objective))
        });
        overtaken.then_some(AttemptFailure::TimedOut)
    }

    /// Records that an upstream has sent data.
    pub(crate) fn record_progress(&self, id: UpstreamId) {
        self.dispatcher
            .with_balancer(|balancer, now| balancer.record_progress(now, id));
    }
}
