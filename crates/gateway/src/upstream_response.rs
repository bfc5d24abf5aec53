//! The response of an upstream, whose head has been received and whose body is read piece by piece or as a whole.

use bytes::Bytes;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use sardinepin_common::Millis;

use crate::attempt::{AttemptFailure, WaitLimits};
use crate::body_reader::{self, WholeBody};
use crate::call::Call;
use crate::connection::Connection;
use crate::constants::PLAIN_BODY_MAX;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::handler::Attempts;
use crate::headers;
use sardinepin_decisions::direct::{AttemptEnd, LoadReport};
use sardinepin_decisions::{AnswerEnd, EndedAnswer, Framing, ProcessState, StreamHead};

/// An attempt whose response head has been received.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) permit: UpstreamPermit,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    /// Whether its request or its status allows no body.
    pub(crate) has_no_body: bool,
    /// The load that the upstream reported in the response head.
    pub(crate) load: Option<LoadReport>,
    pub(crate) connection: Connection,
}

/// A complete non-streaming response.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) parts: Parts,
    pub(crate) body: WholeBody,
    pub(crate) framing: Framing,
}

impl UpstreamResponse {
    /// Reads the body of a non-streaming response to its end. With its `attempts`, the request is sent to another upstream as well from
    /// `moves_at` on.
    pub(crate) async fn read_body(
        mut self,
        gateway: &Gateway,
        call: &Call,
        moves_at: Option<Millis>,
        attempts: Option<&mut Attempts>,
    ) -> Result<CompleteResponse, AttemptFailure> {
        let left = call.deadline.since(gateway.clock.now());
        let memory = &gateway.memory.responses;
        let limits = WaitLimits {
            call,
            moves_at,
            last_event_id: None,
            unanswered_since: None,
        };
        let reading = body_reader::read_whole(&mut self.body, PLAIN_BODY_MAX, memory, left);
        let read = gateway.wait_for_upstream(self.permit.id, limits, attempts, reading);
        let body = match read.await {
            Err(failure) => Err(failure),
            Ok(Err(_)) => Err(self.end_broken(gateway, call).await),
            Ok(Ok(whole)) => self.check_end(gateway, call, whole).await,
        };
        let body = match body {
            Ok(body) => body,
            Err(failure) => {
                let end = match failure {
                    AttemptFailure::Crashed => AttemptEnd::Unreachable,
                    _ => AttemptEnd::Failed,
                };
                self.permit.set_end(end);
                return Err(failure);
            }
        };
        let framing = self.framing();
        let failed = self.parts.status.is_server_error();
        let end = if failed {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Served
        };
        let parts = self.finish(gateway, end);
        Ok(CompleteResponse {
            parts,
            body,
            framing,
        })
    }

    /// Returns the body of a response that has ended, if it is whole.
    async fn check_end(
        &self,
        gateway: &Gateway,
        call: &Call,
        body: WholeBody,
    ) -> Result<WholeBody, AttemptFailure> {
        let has_body = !body.bytes.is_empty();
        match self.is_whole(gateway, call, has_body).await {
            true => Ok(body),
            false => Err(self.end_broken(gateway, call).await),
        }
    }

    /// Returns whether a response that has ended is whole; its process is asked if nothing else tells.
    pub(crate) async fn is_whole(&self, gateway: &Gateway, call: &Call, has_body: bool) -> bool {
        let ended = EndedAnswer {
            framing: self.framing(),
            is_success: self.parts.status.is_success(),
            has_body,
        };
        let process = match ended.judge() {
            AnswerEnd::NeedsProcess => {
                let headers = &self.parts.headers;
                gateway.process_state(call, &self.permit, headers).await
            }
            AnswerEnd::Whole | AnswerEnd::Doubtful => ProcessState::Unknown,
        };
        let is_whole = ended.is_whole(process);
        if !is_whole {
            self.log_doubtful_end(call, process, has_body);
        }
        is_whole
    }

    fn log_doubtful_end(&self, call: &Call, process: ProcessState, has_body: bool) {
        let fault = match (has_body, process) {
            (false, _) => "head_alone",
            (true, ProcessState::Gone) => "process_gone",
            (true, _) => "process_unknown",
        };
        log::info!(
            event = "response_rejected", request = call.id_text(), service = &*call.service,
            upstream = &*self.permit.spec.id, rule = "whole_answer", fault = fault;
            "nothing vouches for the end of a response without length"
        );
        metrics::counter!("sardinepin_responses_rejected_total", "rule" => "whole_answer", "fault" => fault)
            .increment(1);
    }

    /// Returns why a response broke off in its body, which counts against the request if its upstream has crashed.
    async fn end_broken(&self, gateway: &Gateway, call: &Call) -> AttemptFailure {
        gateway.log_broken_response(call, &self.permit, 0);
        match gateway.confirm_crash(call, &self.permit).await {
            true => AttemptFailure::Crashed,
            false => AttemptFailure::BrokenResponse,
        }
    }

    /// Returns what the head says about a stream of events.
    pub(crate) fn stream_head(&self) -> StreamHead<'_> {
        StreamHead {
            status: self.parts.status.as_u16(),
            content_type: headers::text(&self.parts.headers, &header::CONTENT_TYPE),
        }
    }

    /// Reads the next piece of a stream; fails if too many bytes come without one.
    pub(crate) fn next_frame(
        &mut self,
    ) -> impl Future<Output = Option<hyper::Result<Frame<Bytes>>>> {
        self.connection.expect_part();
        self.body.frame()
    }

    /// Returns how the response tells where it ends.
    fn framing(&self) -> Framing {
        let headers = &self.parts.headers;
        // Only chunks mark the end of a body with a transfer coding.
        let codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let last_coding = codings.filter_map(|value| value.to_str().ok()).next_back();
        let last_coding = last_coding.and_then(|codings| codings.rsplit(',').next());
        let is_chunked =
            last_coding.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
        let has_coding = headers.contains_key(header::TRANSFER_ENCODING);
        let has_length = !has_coding && headers.contains_key(header::CONTENT_LENGTH);
        let is_marked = self.has_no_body || is_chunked || has_length;
        match is_marked {
            true => Framing::Marked,
            false => Framing::Connection,
        }
    }

    /// Ends an attempt whose response was read to its end, and returns its connection to the pool.
    pub(crate) fn finish(self, gateway: &Gateway, end: AttemptEnd) -> Parts {
        let Self {
            mut permit,
            parts,
            connection,
            ..
        } = self;
        permit.set_end(end);
        let now = gateway.clock.now();
        let pool = &gateway.dispatcher.pool;
        pool.put(now, permit.id, connection, &parts.headers);
        parts
    }
}
