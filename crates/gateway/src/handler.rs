//! Follows a request from its arrival to its answer, over as many upstreams as it takes.

mod attempts;

use std::sync::Arc;

use http::{Response, StatusCode};
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::attempt::{AttemptFailure, AttemptOptions, CompleteResponse, UpstreamResponse};
use crate::balancer::{Decision, PlacementRequest};
use crate::call::Call;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::handler::attempts::UnansweredRequest;
pub(crate) use crate::handler::attempts::{Attempts, RequestFailure, can_move};
use crate::headers;
use crate::relay::StreamRelay;
use crate::request_metrics::{self, Latency, RequestOutcome};
use crate::response::{self, Body};

impl Gateway {
    /// Serves a request.
    pub(crate) async fn handle(self: &Arc<Self>, call: Call) -> Response<Body> {
        let service = Arc::clone(&call.service);
        self.dispatcher
            .with_balancer(|balancer, now| balancer.record_request(now, &service));
        let call = Arc::new(call);
        let mut attempts = Attempts::default();
        if let Some(retry_after) = self.quarantine_left(&call) {
            let end = RequestFailure::new(ErrorKind::Quarantined, retry_after);
            return self.fail_request(&call, &attempts, end);
        }
        let unanswered = UnansweredRequest {
            gateway: self,
            call: &call,
        };
        let result = if call.is_stream() {
            self.handle_stream(&call, &mut attempts).await
        } else {
            self.handle_plain(&call, &mut attempts).await
        };
        unanswered.disarm();
        match result {
            Ok(response) => response,
            Err(end) => self.fail_request(&call, &attempts, end),
        }
    }

    fn fail_request(
        &self,
        call: &Call,
        attempts: &Attempts,
        end: RequestFailure,
    ) -> Response<Body> {
        request_metrics::count_outcome(call, RequestOutcome::GivenUp);
        log::info!(
            event = "given_up", request = call.id_text(), service = &*call.service,
            route = &*call.route.name, reason = end.kind.answer().label, sent = attempts.sent,
            ran = attempts.may_have_run, after_ms = self.clock.now().since(call.received_at).0,
            allowed_ms = call.deadline.since(call.received_at).0, retry_ms = end.retry_after.0,
            listed = end.counts.listed, leaving = end.counts.draining, resting = end.counts.backing_off,
            shut = end.counts.group_suspended, usable = end.counts.usable;
            "request given up"
        );
        response::error_response(
            end.kind,
            end.retry_after,
            Some((&self.names.request_id, &call.id)),
        )
    }

    async fn handle_plain(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, RequestFailure> {
        loop {
            let permit = self.acquire_upstream(call, attempts).await?;
            let until = self.attempt_deadline(call, attempts);
            let response = self
                .attempt(
                    call,
                    permit,
                    AttemptOptions {
                        deadline: until,
                        last_event_id: None,
                        can_move: false,
                    },
                )
                .await;
            let plain = match response {
                Ok(response) => response.read_body_whole(self, until).await,
                Err(failure) => Err(failure),
            };
            match plain {
                Ok(plain) if !plain.parts.status.is_server_error() => {
                    return Ok(self.forward_plain(call, plain));
                }
                Ok(plain) => {
                    attempts.may_have_run = true;
                    if !self.may_retry(call, attempts, AttemptFailure::BrokenResponse) {
                        return Ok(self.forward_plain(call, plain));
                    }
                }
                Err(failure) => self.record_failure(call, attempts, failure)?,
            }
        }
    }

    async fn handle_stream(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, RequestFailure> {
        loop {
            let permit = self.acquire_upstream(call, attempts).await?;
            let last = call.last_event_id(&self.names);
            let plan = AttemptOptions {
                deadline: call.deadline,
                last_event_id: last,
                can_move: can_move(call, attempts),
            };
            match self.attempt(call, permit, plan).await {
                Ok(response) if response.parts.status == StatusCode::OK => {
                    return Ok(self.forward_stream(call, attempts, response));
                }
                Ok(response) => {
                    let plain = response.read_body_whole(self, call.deadline).await;
                    attempts.may_have_run = true;
                    match plain {
                        Ok(plain)
                            if !self.may_retry(call, attempts, AttemptFailure::BrokenResponse) =>
                        {
                            return Ok(self.forward_plain(call, plain));
                        }
                        Ok(_) => {}
                        Err(failure) => self.record_failure(call, attempts, failure)?,
                    }
                }
                Err(failure) => self.record_failure(call, attempts, failure)?,
            }
        }
    }

    /// Waits for a place at an upstream that has not been tried.
    pub(crate) async fn acquire_upstream(
        self: &Arc<Self>,
        call: &Call,
        attempts: &mut Attempts,
    ) -> Result<UpstreamPermit, RequestFailure> {
        let demand = PlacementRequest {
            number: call.number,
            service: Arc::clone(&call.service),
            priority: call.priority,
            latency_objective: call.route.latency_objective,
            deadline: call.deadline,
            tried: attempts.tried.clone(),
        };
        let permit = self.dispatcher.acquire(demand).await.map_err(|verdict| {
            let mut end = match verdict {
                Decision::Refuse {
                    kind,
                    retry_after,
                    counts: room,
                } => RequestFailure {
                    kind,
                    retry_after,
                    counts: room,
                },
                Decision::Send(_) => RequestFailure::new(ErrorKind::Internal, Millis::ZERO),
            };
            if attempts.may_have_run {
                end.kind = ErrorKind::UpstreamBroke;
            }
            end
        })?;
        attempts.tried.push(permit.id);
        attempts.sent += 1;
        self.log_placement(call, attempts, &permit);
        Ok(permit)
    }

    fn log_placement(&self, call: &Call, attempts: &Attempts, permit: &UpstreamPermit) {
        let held = self.dispatcher.with_balancer(|balancer, now| {
            let upstream = balancer.upstreams().get(permit.id);
            upstream.map_or(0.0, |upstream| upstream.estimated_load(now))
        });
        let group = permit.spec.group.as_ref().map_or("", |group| &*group.name);
        let waited = self.clock.now().since(call.received_at);
        if attempts.sent == 1 {
            request_metrics::record_latency(call, Latency::Wait, waited);
        }
        log::info!(
            event = "placed", request = call.id_text(), service = &*call.service,
            upstream = &*permit.spec.id, zone = &*permit.spec.zone, group = group, held = held,
            sent = attempts.sent, waited_ms = waited.0;
            "request placed"
        );
    }

    /// Passes on a plain answer.
    fn forward_plain(&self, call: &Call, plain: CompleteResponse) -> Response<Body> {
        let names = &self.names;
        let after = self.clock.now().since(call.received_at);
        request_metrics::count_outcome(call, RequestOutcome::Answered);
        request_metrics::record_latency(call, Latency::Total, after);
        log::info!(
            event = "answered", request = call.id_text(), service = &*call.service,
            status = plain.parts.status.as_u16(), after_ms = after.0;
            "plain answer passed on"
        );
        self.clear_crashes(call);
        let signed = plain.parts.headers.contains_key(&names.signature);
        let status = plain.parts.status;
        // These statuses promise that the request did not run, which the upstream did not say.
        if promises_not_run(status) || (!signed && !status.is_success() && status.as_u16() < 400) {
            return response::error_response(
                ErrorKind::UpstreamBroke,
                Millis::ZERO,
                Some((&names.request_id, &call.id)),
            );
        }
        let mut response = Response::new(response::full_body(plain.body));
        *response.status_mut() = status;
        *response.headers_mut() = headers::to_caller(names, &plain.parts.headers);
        response
    }

    fn forward_stream(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
        response: UpstreamResponse,
    ) -> Response<Body> {
        let headers = headers::to_caller(&self.names, &response.parts.headers);
        let attempts = std::mem::take(attempts);
        let relay = StreamRelay::new(Arc::clone(self), Arc::clone(call), attempts, response);
        let mut response = Response::new(relay.into_body());
        *response.headers_mut() = headers;
        response
    }
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
