//! The response of an upstream, whose head has been received and whose body is read piece by piece or as a whole.

use bytes::Bytes;
use http::header;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Frame, Incoming};
use sardinepin_common::Millis;

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::connection::Connection;
use crate::constants::PLAIN_BODY_MAX;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::headers;
use sardinepin_decisions::StreamHead;
use sardinepin_decisions::direct::{AttemptEnd, LoadReport};

/// An attempt whose response head has been received.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) permit: UpstreamPermit,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    /// The load that the upstream reported in the response head.
    pub(crate) load: Option<LoadReport>,
    pub(crate) connection: Connection,
}

/// A complete non-streaming response.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

impl UpstreamResponse {
    /// Reads the body of a non-streaming response to its end.
    pub(crate) async fn read_body(
        mut self,
        gateway: &Gateway,
        call: &Call,
        deadline: Millis,
    ) -> Result<CompleteResponse, AttemptFailure> {
        let left = deadline.since(gateway.clock.now()).duration();
        let collect = Limited::new(&mut self.body, PLAIN_BODY_MAX).collect();
        let body = match tokio::time::timeout(left, collect).await {
            Err(_) => Err(AttemptFailure::TimedOut),
            Ok(Err(_)) => Err(self.end_broken(gateway, call).await),
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
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
        let failed = self.parts.status.is_server_error();
        let end = if failed {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Served
        };
        let parts = self.finish(gateway, end);
        Ok(CompleteResponse { parts, body })
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

    /// Returns whether the response ends with its connection, as it has neither a length nor chunks.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let headers = &self.parts.headers;
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
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
