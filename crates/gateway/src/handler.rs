//! Handles a request from its arrival to its response, over one or more attempts.

mod attempts;
mod placing;

use std::sync::Arc;

use http::{Response, StatusCode};
use http_body_util::BodyExt;
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;
use sardinepin_runtime::GuardedBody;

use crate::attempt::{AttemptFailure, AttemptOptions};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::handler::attempts::UnansweredRequest;
pub(crate) use crate::handler::attempts::{Attempts, RequestFailure, can_move};
use crate::headers;
use crate::relay::{self, StreamRelay};
use crate::request_metrics::{self, Latency, RequestOutcome};
use crate::response::{self, Body};
use crate::upstream_response::{CompleteResponse, UpstreamResponse};
use sardinepin_decisions::direct::AttemptEnd;
use sardinepin_decisions::{EventSequence, Framing};

impl Gateway {
    /// Handles a request and returns the response for its caller.
    pub(crate) async fn handle(self: &Arc<Self>, mut call: Call) -> Response<Body> {
        call.returning = self.record_caller_timeout(&call.route.name, call.timeout());
        let service = Arc::clone(&call.service);
        self.dispatcher
            .with_balancer(|balancer, now| balancer.record_request(now, &service));
        if !self.may_begin(&call) {
            let attempts = Attempts::default();
            return self.fail_request(&call, &attempts, attempts.not_continued());
        }
        let admitted = self.admit(&mut call).await;
        let call = Arc::new(call);
        if let Err(retry_after) = admitted {
            let error = RequestFailure::new(ErrorKind::Quarantined, retry_after);
            return self.fail_request(&call, &Attempts::default(), error);
        }
        let mut unanswered = UnansweredRequest::new(self, &call);
        let attempts = &mut unanswered.attempts;
        let handling = async {
            match call.is_stream() {
                true => self.handle_stream(&call, attempts).await,
                false => self.handle_plain(&call, attempts).await,
            }
        };
        let result = tokio::select! {
            biased;
            result = handling => Some(result),
            () = self.wait_for_cut() => None,
        };
        let attempts = unanswered.disarm();
        let result = result.unwrap_or_else(|| Err(attempts.stopped()));
        match result {
            Ok(response) => response,
            Err(error) => self.fail_request(&call, &attempts, error),
        }
    }

    fn fail_request(
        &self,
        call: &Call,
        attempts: &Attempts,
        error: RequestFailure,
    ) -> Response<Body> {
        request_metrics::count_outcome(call, RequestOutcome::GivenUp);
        self.record_refused_caller();
        log::info!(
            event = "given_up", request = call.id_text(), service = &*call.service,
            route = &*call.route.name, reason = error.kind.response().label, sent = attempts.sent,
            ran = attempts.maybe_ran, returning = call.returning, after_ms = self.clock.now().since(call.received_at).0,
            allowed_ms = call.deadline.since(call.received_at).0, retry_ms = error.retry_after.0,
            listed = error.counts.listed, leaving = error.counts.draining, resting = error.counts.backing_off,
            shut = error.counts.group_suspended, evacuated = error.counts.evacuated, outside = error.counts.outside_regions, limited = error.counts.limited, spared = error.counts.resting, usable = error.counts.usable;
            "request ended with an error response"
        );
        response::error_response(
            error.kind,
            error.retry_after,
            Some((&self.names.request_id, &call.id)),
        )
    }

    async fn handle_plain(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, RequestFailure> {
        loop {
            let options = AttemptOptions {
                moves_at: Some(self.plain_moves_at(call)),
                last_event_id: None,
            };
            let complete = match self.next_response(call, attempts, options).await? {
                Ok(response) => {
                    response
                        .read_body(self, call, options.moves_at, Some(attempts))
                        .await
                }
                Err(failure) => Err(failure),
            };
            match complete {
                Ok(complete) if !complete.parts.status.is_server_error() => {
                    return Ok(self.forward_plain(call, attempts, complete));
                }
                Ok(complete) => {
                    attempts.maybe_ran = true;
                    if !self.try_retry(call, attempts, AttemptFailure::BrokenResponse) {
                        return Ok(self.forward_plain(call, attempts, complete));
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
            let last_event_id = call.last_event_id(&self.names);
            let options = AttemptOptions {
                moves_at: None,
                last_event_id,
            };
            let attempted = self.next_response(call, attempts, options).await?;
            let mut events = relay::event_sequence(call, &self.names);
            match attempted {
                Ok(mut response) if response.parts.status == StatusCode::OK => {
                    let Err(fault) = events.begin(response.stream_head()) else {
                        return Ok(self.forward_stream(call, attempts, response, events));
                    };
                    relay::log_fault(call, &response.permit, fault, events.last());
                    response.permit.set_end(AttemptEnd::Failed);
                    drop(response);
                    self.record_failure(call, attempts, AttemptFailure::Discontinuous)?;
                }
                Ok(response) => {
                    let complete = response.read_body(self, call, None, None).await;
                    attempts.maybe_ran = true;
                    match complete {
                        Ok(complete)
                            if !self.try_retry(call, attempts, AttemptFailure::BrokenResponse) =>
                        {
                            return Ok(self.forward_plain(call, attempts, complete));
                        }
                        Ok(_) => {}
                        Err(failure) => self.record_failure(call, attempts, failure)?,
                    }
                }
                Err(failure) => self.record_failure(call, attempts, failure)?,
            }
        }
    }

    /// Sends a request to an upstream, unless one has answered already; fails if there is no place for it.
    async fn next_response(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        options: AttemptOptions,
    ) -> Result<Result<UpstreamResponse, AttemptFailure>, RequestFailure> {
        if let Some(response) = attempts.next.take() {
            return Ok(Ok(response));
        }
        let permit = self.acquire_upstream(call, attempts).await?;
        Ok(self.attempt(call, permit, options, Some(attempts)).await)
    }

    /// Forwards a non-streaming response.
    fn forward_plain(
        &self,
        call: &Call,
        attempts: &Attempts,
        complete: CompleteResponse,
    ) -> Response<Body> {
        let names = &self.names;
        let elapsed = self.clock.now().since(call.received_at);
        request_metrics::count_outcome(call, RequestOutcome::Answered);
        request_metrics::record_latency(call, Latency::Total, elapsed);
        self.record_answer_time(call, attempts);
        log::info!(
            event = "answered", request = call.id_text(), service = &*call.service,
            route = &*call.route.name, status = complete.parts.status.as_u16(), after_ms = elapsed.0,
            objective_ms = call.route.latency_objective.0;
            "response forwarded"
        );
        let status = complete.parts.status;
        self.record_response(call, status, status.is_success());
        let signed = complete.parts.headers.contains_key(&names.signature);
        // A caller takes these statuses to mean that the request did not run, which the upstream
        // did not say.
        if promises_not_run(status) || (!signed && !status.is_success() && status.as_u16() < 400) {
            return response::error_response(
                ErrorKind::UpstreamBroke,
                Millis::ZERO,
                Some((&names.request_id, &call.id)),
            );
        }
        let mut response = match complete.framing {
            Framing::Marked => Response::new(response::full_body(complete.body.bytes)),
            Framing::Connection => response::unframed(complete.body.bytes),
        };
        *response.status_mut() = status;
        *response.headers_mut() = headers::to_caller(names, &complete.parts.headers);
        // The memory of the body is free once the body has been written.
        let reserved = complete.body.reserved;
        response.map(|body| GuardedBody::new(body, reserved).boxed_unsync())
    }

    fn forward_stream(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
        response: UpstreamResponse,
        events: EventSequence,
    ) -> Response<Body> {
        let headers = headers::to_caller(&self.names, &response.parts.headers);
        let attempts = std::mem::take(attempts);
        let relay = StreamRelay::new(
            Arc::clone(self),
            Arc::clone(call),
            attempts,
            response,
            events,
        );
        let mut response = Response::new(relay.into_body());
        *response.headers_mut() = headers;
        response
    }
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
