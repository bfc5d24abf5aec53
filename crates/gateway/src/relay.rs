//! Forwards a stream of events to its caller, and resumes it at another upstream when one fails.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use sardinepin_common::Millis;

use crate::attempt::{AttemptFailure, AttemptOptions, WaitLimits};
use crate::call::Call;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::handler::Attempts;
use crate::header_names::HeaderNames;
use crate::request_metrics::{self, Latency, RequestOutcome};
use crate::response::Body;
use crate::upstream_response::UpstreamResponse;
use sardinepin_decisions::direct::AttemptEnd;
use sardinepin_decisions::{EventOrder, EventSequence, StreamFault};

/// How long after its first bytes an upstream that crashes may have crashed because of the request.
const ANSWER_BEGIN_TIME: Millis = Millis(1_000);

/// A stream that is being forwarded to its caller.
#[derive(Debug)]
pub(crate) struct StreamRelay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    attempts: Attempts,
    /// The response that the stream is read from; `None` once it has ended.
    response: Option<UpstreamResponse>,
    events: EventSequence,
    /// A rule that the current response broke after the events that were read of it last.
    fault: Option<StreamFault>,
    /// When the upstream of the current attempt sent the first bytes of its answer.
    attempt_began: Option<Millis>,
    timing: Timing,
}

/// The timing of the chunks of a stream; a chunk holds one or more complete events.
#[derive(Debug, Default)]
struct Timing {
    chunks: u64,
    first_at: Option<Millis>,
    last_at: Millis,
    /// The longest pause between two chunks.
    longest_pause: Millis,
    /// Whether the caller's connection has room for a further chunk, so that the upstream is read.
    is_wanted: bool,
}

impl Timing {
    fn record_chunk(&mut self, now: Millis) {
        if self.first_at.is_none() {
            self.first_at = Some(now);
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        }
        self.last_at = now;
        self.chunks += 1;
    }

    /// Returns the time since the last chunk, and how much of it the caller's connection has had no room for more.
    fn silences(&self, now: Millis, received_at: Millis) -> (Millis, Millis) {
        let silence = now.since(self.last_at.max(received_at));
        match self.is_wanted {
            true => (silence, Millis::ZERO),
            false => (silence, silence),
        }
    }
}

/// The result of reading from an upstream.
enum StreamStep {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream failed before its end.
    Broken(AttemptFailure),
}

impl StreamRelay {
    /// Creates the relay of a stream whose response head has been received.
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        call: Arc<Call>,
        attempts: Attempts,
        response: UpstreamResponse,
        events: EventSequence,
    ) -> Self {
        Self {
            gateway,
            call,
            attempts,
            response: Some(response),
            events,
            fault: None,
            attempt_began: None,
            timing: Timing::default(),
        }
    }

    /// Returns a response body that yields the stream.
    pub(crate) fn into_body(self) -> Body {
        let frames = unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_chunk().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, io::Error>> {
        let gateway = Arc::clone(&self.gateway);
        self.timing.is_wanted = true;
        let chunk = tokio::select! {
            biased;
            chunk = self.read_chunk() => chunk,
            () = gateway.wait_for_cut() => {
                self.response = None;
                Some(Err(self.cut_off(AttemptFailure::Stopped)))
            }
        };
        self.timing.is_wanted = false;
        chunk
    }

    async fn read_chunk(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            match self.read_events().await {
                StreamStep::Events(bytes) => {
                    self.timing.record_chunk(self.gateway.clock.now());
                    return Some(Ok(bytes));
                }
                StreamStep::End => {
                    if let Some(response) = self.response.take() {
                        self.record_completion(&response);
                        let written = self.timing.chunks > 0;
                        let status = response.parts.status;
                        self.gateway.record_response(&self.call, status, written);
                        response.finish(&self.gateway, AttemptEnd::Served);
                    }
                    return None;
                }
                StreamStep::Broken(failure) => {
                    let failure = self.end_attempt(failure).await;
                    if !self.resume(failure).await {
                        return Some(Err(self.cut_off(failure)));
                    }
                }
            }
        }
    }

    /// Records the end of a broken attempt; returns the failure, which is a crash if it was one.
    async fn end_attempt(&mut self, failure: AttemptFailure) -> AttemptFailure {
        let Some(mut response) = self.response.take() else {
            return failure;
        };
        if matches!(
            failure,
            AttemptFailure::Stalled | AttemptFailure::Quarantined
        ) {
            return failure;
        }
        let permit = &mut response.permit;
        let gateway = &self.gateway;
        gateway.log_broken_response(&self.call, permit, self.timing.chunks);
        let may_have_crashed = failure == AttemptFailure::BrokenResponse && self.has_just_begun();
        if may_have_crashed && gateway.confirm_crash(&self.call, permit).await {
            permit.set_end(AttemptEnd::Unreachable);
            return AttemptFailure::Crashed;
        }
        permit.set_end(AttemptEnd::Failed);
        failure
    }

    /// Returns whether the upstream of the current attempt has begun to write its answer only now, or
    /// not yet.
    fn has_just_begun(&self) -> bool {
        let now = self.gateway.clock.now();
        let begun = |at| now.since(at) < ANSWER_BEGIN_TIME;
        self.attempt_began.is_none_or(begun)
    }

    fn record_completion(&self, response: &UpstreamResponse) {
        let call = &self.call;
        let first_event = self
            .timing
            .first_at
            .unwrap_or_default()
            .since(call.received_at);
        let elapsed = self.gateway.clock.now().since(call.received_at);
        log::info!(
            event = "streamed", request = call.id_text(), service = &*call.service,
            route = &*call.route.name, upstream = &*response.permit.spec.id, sent = self.attempts.sent,
            running = response.load.map(|load| load.running),
            waiting = response.load.map(|load| load.waiting), chunks = self.timing.chunks,
            first_ms = first_event.0, pause_ms = self.timing.longest_pause.0, after_ms = elapsed.0,
            objective_ms = call.route.latency_objective.0, pause_max_ms = call.route.event_pause.0;
            "stream forwarded to its end"
        );
        request_metrics::count_outcome(call, RequestOutcome::Streamed);
        request_metrics::record_latency(call, Latency::FirstEvent, first_event);
        request_metrics::record_latency(call, Latency::EventPause, self.timing.longest_pause);
        request_metrics::record_latency(call, Latency::Total, elapsed);
        self.gateway.record_answer_time(call, &self.attempts);
    }

    fn cut_off(&self, failure: AttemptFailure) -> io::Error {
        let now = self.gateway.clock.now();
        let (silence, _) = self.timing.silences(now, self.call.received_at);
        log::info!(
            event = "cut", request = self.call.id_text(), service = &*self.call.service,
            route = &*self.call.route.name, reason = failure.label(), sent = self.attempts.sent, chunks = self.timing.chunks,
            last = self.events.last(), after_ms = now.since(self.call.received_at).0, silent_ms = silence.0,
            left_ms = self.call.deadline.since(now).0, ends_ms = self.gateway.time_to_end().map(|time| time.0);
            "stream cut off"
        );
        request_metrics::count_outcome(&self.call, RequestOutcome::Cut);
        metrics::counter!("sardinepin_streams_cut_total", "reason" => failure.label()).increment(1);
        io::Error::new(io::ErrorKind::ConnectionAborted, failure.label())
    }

    /// Reads until complete events have been received or the stream has ended.
    async fn read_events(&mut self) -> StreamStep {
        loop {
            if let Some(fault) = self.fault.take() {
                return self.reject(fault);
            }
            let frame = match self.read_frame().await {
                Ok(Some(frame)) => frame,
                Ok(None) => return self.end_response().await,
                Err(failure) => return StreamStep::Broken(failure),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let now = self.gateway.clock.now();
            self.attempt_began.get_or_insert(now);
            let pushed = self.events.push(&data);
            self.fault = pushed.fault;
            if !pushed.forward.is_empty() {
                return StreamStep::Events(pushed.forward);
            }
        }
    }

    /// Decides what the end of the current response is to the stream.
    async fn end_response(&self) -> StreamStep {
        match self.events.end() {
            Ok(()) if self.is_whole().await => StreamStep::End,
            Ok(()) => StreamStep::Broken(AttemptFailure::BrokenResponse),
            // An upstream that crashes may end its response in order.
            Err(StreamFault::CutEvent | StreamFault::NoEvent) => {
                StreamStep::Broken(AttemptFailure::BrokenResponse)
            }
            Err(fault) => self.reject(fault),
        }
    }

    /// Ends the current response, which is no part of the stream from here on.
    fn reject(&self, fault: StreamFault) -> StreamStep {
        if let Some(response) = &self.response {
            log_fault(&self.call, &response.permit, fault, self.events.last());
        }
        StreamStep::Broken(AttemptFailure::Discontinuous)
    }

    /// Returns whether the current response, which has ended between two events, is whole.
    async fn is_whole(&self) -> bool {
        match &self.response {
            Some(response) => response.is_whole(&self.gateway, &self.call, true).await,
            None => false,
        }
    }

    async fn read_frame(&mut self) -> Result<Option<Frame<Bytes>>, AttemptFailure> {
        let Some(response) = &mut self.response else {
            return Err(AttemptFailure::BrokenResponse);
        };
        let id = response.permit.id;
        let limits = WaitLimits {
            call: &self.call,
            moves_at: None,
            last_event_id: self.events.last(),
            unanswered_since: self
                .attempt_began
                .is_none()
                .then_some(response.permit.sent_at),
        };
        let frame = response.next_frame();
        let attempts = Some(&mut self.attempts);
        match self
            .gateway
            .wait_for_upstream(id, limits, attempts, frame)
            .await?
        {
            None => Ok(None),
            Some(Ok(frame)) => {
                self.gateway.record_progress(id);
                Ok(Some(frame))
            }
            Some(Err(_)) => Err(AttemptFailure::BrokenResponse),
        }
    }

    /// Sends the stream to another upstream, unless one has answered already; `None` if there is no place for it.
    async fn next_attempt(&mut self) -> Option<Result<UpstreamResponse, AttemptFailure>> {
        if let Some(response) = self.attempts.next.take() {
            return Some(Ok(response));
        }
        let gateway = Arc::clone(&self.gateway);
        let acquired = gateway.acquire_upstream(&self.call, &mut self.attempts);
        let permit = acquired.await.ok()?;
        let options = AttemptOptions {
            moves_at: None,
            last_event_id: self.events.last(),
        };
        let attempts = Some(&mut self.attempts);
        let attempted = gateway.attempt(&self.call, permit, options, attempts);
        Some(attempted.await)
    }

    /// Resumes the stream at another upstream; returns whether that succeeded.
    async fn resume(&mut self, failure: AttemptFailure) -> bool {
        let gateway = Arc::clone(&self.gateway);
        let call = Arc::clone(&self.call);
        let mut failure = failure;
        while call.is_resumable() && gateway.try_retry(&call, &mut self.attempts, failure) {
            let Some(attempted) = self.next_attempt().await else {
                return false;
            };
            match attempted {
                Ok(mut response) => {
                    let Err(fault) = self.events.begin(response.stream_head()) else {
                        self.response = Some(response);
                        self.attempt_began = None;
                        return true;
                    };
                    log_fault(&call, &response.permit, fault, self.events.last());
                    response.permit.set_end(AttemptEnd::Failed);
                    failure = AttemptFailure::Discontinuous;
                }
                Err(next_failure) => {
                    if next_failure.not_sent() {
                        self.attempts.sent -= 1;
                    }
                    failure = next_failure;
                }
            }
        }
        false
    }
}

/// Returns the rules for the events of a request's stream.
pub(crate) fn event_sequence(call: &Call, names: &HeaderNames) -> EventSequence {
    let order = match call.is_resumable() {
        true => EventOrder::Numbered,
        false => EventOrder::AsFirst,
    };
    EventSequence::new(order, call.last_event_id(names))
}

/// Logs that a response of an upstream is no part of a stream, or not from some event on.
pub(crate) fn log_fault(
    call: &Call,
    permit: &UpstreamPermit,
    fault: StreamFault,
    last: Option<u64>,
) {
    log::info!(
        event = "response_rejected", request = call.id_text(), service = &*call.service,
        upstream = &*permit.spec.id, rule = "stream", fault = fault.label(), last = last;
        "a response is no part of the stream"
    );
    metrics::counter!("sardinepin_responses_rejected_total", "rule" => "stream", "fault" => fault.label())
        .increment(1);
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.response.is_some() {
            let now = self.gateway.clock.now();
            let elapsed = now.since(self.call.received_at);
            let upstream = self
                .response
                .as_ref()
                .map(|response| &*response.permit.spec.id);
            let (silence, unread) = self.timing.silences(now, self.call.received_at);
            request_metrics::count_outcome(&self.call, RequestOutcome::CallerLeft);
            log::info!(
                event = "caller_left", request = self.call.id_text(), service = &*self.call.service,
                route = &*self.call.route.name, upstream = upstream, chunks = self.timing.chunks, silent_ms = silence.0,
                unread_ms = unread.0, after_ms = elapsed.0, left_ms = self.call.deadline.since(now).0,
                ends_ms = self.gateway.time_to_end().map(|time| time.0);
                "connection of a caller ended during its stream"
            );
        }
    }
}
