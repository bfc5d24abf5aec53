//! Asks whether the process of an upstream has outlived an answer of its.

use std::net::SocketAddr;
use std::pin::pin;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sardinepin_common::Millis;
use sardinepin_decisions::ProcessState;
use sardinepin_runtime::Connecting;
use tokio::net::TcpStream;

use crate::call::Call;
use crate::constants::CONNECT_TIMEOUT;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;

/// How long an upstream may take to respond. One that keeps the connection for so long lives, but is busy.
const RESPONSE_TIMEOUT: Millis = Millis(100);

/// What became of the question.
enum Asked {
    Answered(Response<Incoming>),
    /// The connection is open, but nothing has come.
    Silent,
    /// The connection broke.
    Broken,
}

impl Gateway {
    /// Returns whether the process that answered a request still runs. It is asked at its health path, or only for a
    /// connection if its service has none.
    pub(crate) async fn process_state(&self, call: &Call, permit: &UpstreamPermit) -> ProcessState {
        let state = self.ask_process(call, permit).await;
        log::info!(
            event = "process_asked", request = call.id_text(), upstream = &*permit.spec.id,
            rule = "whole_answer", process:? = state;
            "an answer without length has ended; its process is asked whether it lives"
        );
        state
    }

    async fn ask_process(&self, call: &Call, permit: &UpstreamPermit) -> ProcessState {
        // An evacuated zone gets no connections either.
        if !self.wait_to_send(&permit.spec.zone).await {
            return ProcessState::Unknown;
        }
        let address = permit.spec.address;
        let path = self
            .table()
            .and_then(|table| table.health_path(&call.service));
        let Some(path) = path else {
            return listens_later(address).await;
        };
        let stream = match Connecting::to(address, CONNECT_TIMEOUT).await {
            Connecting::Open(stream) => stream,
            Connecting::Refused => return ProcessState::Gone,
            Connecting::Failed => return ProcessState::Unknown,
        };
        match self.ask(stream, permit, &path).await {
            Asked::Answered(response) => self.judge_response(permit, &response),
            Asked::Silent => ProcessState::Alive,
            Asked::Broken => listens_later(address).await,
        }
    }

    async fn ask(&self, stream: TcpStream, permit: &UpstreamPermit, path: &str) -> Asked {
        let Ok(request) = self.health_request(permit, path) else {
            return Asked::Broken;
        };
        let exchange = async {
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            let mut response = pin!(sender.send_request(request));
            tokio::select! {
                biased;
                response = response.as_mut() => response,
                // It may have ended right after the response.
                _ = connection => response.await,
            }
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT.duration(), exchange).await {
            Ok(Ok(response)) => Asked::Answered(response),
            Ok(Err(_)) => Asked::Broken,
            Err(_) => Asked::Silent,
        }
    }

    fn health_request(
        &self,
        permit: &UpstreamPermit,
        path: &str,
    ) -> Result<Request<Empty<Bytes>>, http::Error> {
        let spec = &permit.spec;
        Request::get(path)
            .header(header::HOST, spec.address.to_string())
            .header(header::CONNECTION, HeaderValue::from_static("close"))
            .header(&self.names.target_upstream, &*spec.id)
            .body(Empty::new())
    }

    /// Returns whether a response was given by the upstream itself, and not by another process at its address.
    fn judge_response(
        &self,
        permit: &UpstreamPermit,
        response: &Response<Incoming>,
    ) -> ProcessState {
        let named = response.headers().get(&self.names.upstream);
        let is_other = named.is_some_and(|name| name.as_bytes() != permit.spec.id.as_bytes());
        match is_other || response.status() == StatusCode::MISDIRECTED_REQUEST {
            true => ProcessState::Gone,
            false => ProcessState::Alive,
        }
    }
}

/// Returns whether something listens at an address after a process that crashed has closed its sockets.
async fn listens_later(address: SocketAddr) -> ProcessState {
    match Connecting::after_close(address, CONNECT_TIMEOUT).await {
        Connecting::Open(_) => ProcessState::Alive,
        Connecting::Refused => ProcessState::Gone,
        Connecting::Failed => ProcessState::Unknown,
    }
}
