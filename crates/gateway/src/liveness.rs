//! Asks an upstream at its health path: whether its process has outlived an answer of its, and whether it is there although its entry
//! may be outdated.

use std::net::SocketAddr;
use std::pin::pin;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sardinepin_common::Millis;
use sardinepin_decisions::ProcessState;
use sardinepin_decisions::direct::UpstreamSpec;
use sardinepin_runtime::Connecting;
use tokio::net::TcpStream;

use crate::call::Call;
use crate::constants::CONNECT_TIMEOUT;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::withdrawals::is_leaving;

/// How long an upstream may take to say that it is there; the question may wait for a slot there.
const PRESENCE_TIMEOUT: Millis = Millis(1_000);

/// How long an upstream may take to respond after an answer. One that keeps the connection for so long lives, but is busy.
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
    ///
    /// `answer` is the head of that answer. A process that started at another time than the one that wrote it is another one.
    pub(crate) async fn process_state(
        &self,
        call: &Call,
        permit: &UpstreamPermit,
        answer: &HeaderMap,
    ) -> ProcessState {
        let state = self.ask_process(call, permit, answer).await;
        log::info!(
            event = "process_asked", request = call.id_text(), upstream = &*permit.spec.id,
            rule = "whole_answer", process:? = state;
            "an answer without length has ended; its process is asked whether it lives"
        );
        state
    }

    async fn ask_process(
        &self,
        call: &Call,
        permit: &UpstreamPermit,
        answer: &HeaderMap,
    ) -> ProcessState {
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
        match self
            .ask(stream, &permit.spec, &path, RESPONSE_TIMEOUT)
            .await
        {
            Asked::Answered(response) => self.judge_response(permit, answer, &response),
            Asked::Silent => ProcessState::Alive,
            Asked::Broken => listens_later(address).await,
        }
    }

    /// Returns whether an upstream says itself that it is there, healthy and not leaving.
    ///
    /// One whose service has no health path cannot say so.
    pub(crate) async fn is_there(&self, spec: &UpstreamSpec) -> bool {
        // An evacuated zone gets no connections.
        if !self.wait_to_send(&spec.zone).await {
            return false;
        }
        let path = self
            .table()
            .and_then(|table| table.health_path(&spec.service));
        let Some(path) = path else { return false };
        let Connecting::Open(stream) = Connecting::to(spec.address, CONNECT_TIMEOUT).await else {
            return false;
        };
        match self.ask(stream, spec, &path, PRESENCE_TIMEOUT).await {
            Asked::Answered(response) => self.says_it_is_there(spec, &response),
            Asked::Silent | Asked::Broken => false,
        }
    }

    /// Returns when the process of an upstream started, as a response of its says.
    fn started_at(&self, headers: &HeaderMap) -> Option<u64> {
        let value = headers.get(&self.names.started_at)?;
        value.to_str().ok()?.trim().parse().ok()
    }

    fn says_it_is_there(&self, spec: &UpstreamSpec, response: &Response<Incoming>) -> bool {
        let headers = response.headers();
        let named = headers.get(&self.names.upstream);
        let is_named = named.is_some_and(|name| name.as_bytes() == spec.id.as_bytes());
        let started_at = self.started_at(headers);
        let is_listed = spec.started_at == 0 || started_at.is_none_or(|at| at == spec.started_at);
        let is_itself = is_named && is_listed;
        response.status() == StatusCode::OK
            && is_itself
            && !is_leaving(headers, &self.names.leaving)
    }

    async fn ask(
        &self,
        stream: TcpStream,
        spec: &UpstreamSpec,
        path: &str,
        timeout: Millis,
    ) -> Asked {
        let Ok(request) = self.health_request(spec, path) else {
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
        match tokio::time::timeout(timeout.duration(), exchange).await {
            Ok(Ok(response)) => Asked::Answered(response),
            Ok(Err(_)) => Asked::Broken,
            Err(_) => Asked::Silent,
        }
    }

    fn health_request(
        &self,
        spec: &UpstreamSpec,
        path: &str,
    ) -> Result<Request<Empty<Bytes>>, http::Error> {
        Request::get(path)
            .header(header::HOST, spec.address.to_string())
            .header(header::CONNECTION, HeaderValue::from_static("close"))
            .header(&self.names.target_upstream, &*spec.id)
            .body(Empty::new())
    }

    /// Returns whether a response was given by the process that wrote `answer`, and not by another one at its address: one of another
    /// upstream, or a later one of the same.
    fn judge_response(
        &self,
        permit: &UpstreamPermit,
        answer: &HeaderMap,
        response: &Response<Incoming>,
    ) -> ProcessState {
        let named = response.headers().get(&self.names.upstream);
        let is_other = named.is_some_and(|name| name.as_bytes() != permit.spec.id.as_bytes());
        let listed = Some(permit.spec.started_at).filter(|at| *at > 0);
        let wrote = self.started_at(answer).or(listed);
        let responds = self.started_at(response.headers());
        let is_later = wrote.zip(responds).is_some_and(|(one, other)| one != other);
        match is_other || is_later || response.status() == StatusCode::MISDIRECTED_REQUEST {
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
