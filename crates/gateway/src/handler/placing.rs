//! Finds the upstream of each attempt.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::attempts::{Attempts, RequestFailure};
use crate::admission_report;
use crate::attempt::{AttemptFailure, AttemptOptions};
use crate::call::Call;
use crate::dispatch::{ReservedRetry, UpstreamPermit};
use crate::gateway::Gateway;
use crate::request_metrics::{self, Latency};
use sardinepin_decisions::direct::{AttemptEnd, Decision, PlacementRequest};

impl Attempts {
    /// Returns the request for a place of the next attempt; `resumed` says whether the caller resumes a stream.
    fn placement(&mut self, call: &Call, resumed: bool) -> PlacementRequest {
        PlacementRequest {
            number: call.number,
            service: Arc::clone(&call.service),
            priority: call.priority,
            latency_objective: call.route.latency_objective,
            deadline: call.deadline,
            regions: call.regions.clone(),
            tried: self.tried.clone(),
            returning: call.returning,
            is_retry: self.reserved.take().map(ReservedRetry::place).is_some(),
            organisation: call.organisation.as_ref().map(|one| Arc::clone(&one.name)),
            continues: !self.tried.is_empty() || resumed,
        }
    }

    /// Returns the error of a request that is refused a place.
    fn refused(&self, call: &Call, decision: Decision) -> RequestFailure {
        let mut error = match decision {
            Decision::Refuse {
                kind,
                retry_after,
                counts,
            } => RequestFailure {
                kind,
                retry_after,
                counts,
            },
            Decision::Send(_) => RequestFailure::new(ErrorKind::Internal, Millis::ZERO),
        };
        if error.kind == ErrorKind::NotAdmitted {
            admission_report::count_refusal(call);
        }
        if self.maybe_ran {
            error.kind = ErrorKind::UpstreamBroke;
        }
        error
    }
}

impl Gateway {
    /// Hedges a request whose upstream is silent: sends it to another one as well; returns whether that one answers.
    ///
    /// The silent upstream may go on, and the other one may turn the request away: neither is given up before the other has answered.
    pub(crate) fn open_next<'a>(
        &'a self,
        call: &'a Call,
        attempts: &'a mut Attempts,
        failure: AttemptFailure,
        last_event_id: Option<u64>,
    ) -> BoxFuture<'a, bool> {
        // An attempt may open the next one, so that its future cannot hold that of the next one itself.
        Box::pin(self.try_next(call, attempts, failure, last_event_id))
    }

    async fn try_next(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        failure: AttemptFailure,
        last_event_id: Option<u64>,
    ) -> bool {
        if self.retry_bar(call, attempts.sent, failure).is_some() {
            return false;
        }
        attempts.reserved = self.dispatcher.reserve_retry(&call.service);
        if attempts.reserved.is_none() {
            return false;
        }
        self.log_retry(call, attempts, failure);
        let Ok(permit) = self.acquire_upstream(call, attempts).await else {
            return false;
        };
        let options = AttemptOptions {
            moves_at: None,
            last_event_id,
        };
        let failure = match self.attempt(call, permit, options, None).await {
            Ok(response) if response.parts.status.is_success() => {
                attempts.next = Some(response);
                return true;
            }
            Ok(mut response) => {
                response.permit.set_end(AttemptEnd::Failed);
                AttemptFailure::BrokenResponse
            }
            Err(failure) => failure,
        };
        attempts.maybe_ran |= !failure.not_run();
        if failure.not_sent() {
            attempts.sent -= 1;
        }
        log::info!(
            event = "not_moved", request = call.id_text(), service = &*call.service,
            upstream = self.last_upstream(attempts).as_deref(), reason = failure.label(), sent = attempts.sent;
            "request stays at its silent upstream"
        );
        false
    }

    /// Waits for a permit for an upstream that has not been tried.
    pub(crate) async fn acquire_upstream(
        &self,
        call: &Call,
        attempts: &mut Attempts,
    ) -> Result<UpstreamPermit, RequestFailure> {
        let permit = self.find_place(call, attempts).await?;
        attempts.first_at.get_or_insert(permit.sent_at);
        attempts.tried.push(permit.id);
        attempts.sent += 1;
        self.log_placement(call, attempts, &permit);
        Ok(permit)
    }

    async fn find_place(
        &self,
        call: &Call,
        attempts: &mut Attempts,
    ) -> Result<UpstreamPermit, RequestFailure> {
        let request = attempts.placement(call, call.is_resumed(&self.names));
        let acquired = tokio::select! {
            biased;
            acquired = self.dispatcher.acquire(request) => acquired,
            () = self.wait_too_late(call) => return Err(attempts.not_continued()),
        };
        let permit = acquired.map_err(|decision| attempts.refused(call, decision))?;
        if !self.may_begin(call) {
            return Err(attempts.not_continued());
        }
        // The wait may have been long, and a retry follows a crash.
        if let Some(retry_after) = self.quarantine_remaining(call) {
            let kind = match attempts.maybe_ran {
                true => ErrorKind::UpstreamBroke,
                false => ErrorKind::Quarantined,
            };
            return Err(RequestFailure::new(kind, retry_after));
        }
        Ok(permit)
    }

    fn log_placement(&self, call: &Call, attempts: &Attempts, permit: &UpstreamPermit) {
        let load = self.dispatcher.with_balancer(|balancer, now| {
            let upstream = balancer.upstreams().get(permit.id);
            upstream.map_or(0.0, |upstream| upstream.estimated_load(now))
        });
        let group = permit.spec.group.as_ref().map_or("", |group| &*group.name);
        let wait_time = self.clock.now().since(call.received_at);
        if attempts.sent == 1 {
            request_metrics::record_latency(call, Latency::Wait, wait_time);
        }
        log::info!(
            event = "placed", request = call.id_text(), service = &*call.service,
            upstream = &*permit.spec.id, zone = &*permit.spec.zone, group = group, held = load,
            sent = attempts.sent, waited_ms = wait_time.0;
            "request assigned to an upstream"
        );
    }
}
