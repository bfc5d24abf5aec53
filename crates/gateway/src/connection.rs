//! HTTP/1.1 connections to upstreams, and the pool of idle ones. A connection in a doubtful state is
//! closed instead of reused.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use sardinepin_common::{Clock, Map, Millis};
use sardinepin_runtime::{HttpConnection, reset_on_close, set_user_timeout};
use tokio::net::TcpStream;

use crate::constants::{CONNECT_TIMEOUT, IDLE_MARGIN, IDLE_TIMEOUT_DEFAULT, TCP_USER_TIMEOUT};
use sardinepin_decisions::direct::UpstreamId;
pub(crate) use sardinepin_runtime::SendError;

/// The maximum number of idle connections kept to one upstream.
const IDLE_PER_UPSTREAM: usize = 16;

/// An open connection, which is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    http: HttpConnection,
    /// Whether a response has been read from it before.
    is_reused: bool,
    /// Whether the upstream may be silent for longer than usual.
    is_patient: bool,
}

/// What a request needs of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionNeed {
    /// Any will do.
    Any,
    /// A new one: on one that was used before, it may be unknown whether the request was sent.
    New,
    /// A new one whose upstream may take so long to read the request. The system does not tell an upstream that reads nothing from one
    /// that is gone.
    Patient(Millis),
}

impl Connection {
    async fn open(address: SocketAddr, need: ConnectionNeed) -> Result<Self, SendError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting)
            .await
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        set_socket_options(&stream);
        if let ConnectionNeed::Patient(time) = need {
            set_user_timeout(&stream, time.max(TCP_USER_TIMEOUT));
        }
        reset_on_close(&stream);
        Ok(Self {
            http: HttpConnection::new(stream).await?,
            is_reused: false,
            is_patient: matches!(need, ConnectionNeed::Patient(_)),
        })
    }

    /// Returns whether a response has been read from it before, so that the next one may be a late one to an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Bounds the bytes that may come before the next part of a response.
    pub(crate) fn expect_part(&self) {
        self.http.expect_part();
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.http.send(request).await
    }
}

/// Sets `TCP_NODELAY`, and `TCP_USER_TIMEOUT` so that a connection to an unresponsive peer is
/// closed.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "socket_option", error:% = error; "cannot set TCP_NODELAY");
    }
    set_user_timeout(stream, TCP_USER_TIMEOUT);
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Millis,
}

/// The idle connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<Map<UpstreamId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns a connection: an idle one if that will do and there is one, otherwise a new one.
    pub(crate) async fn get(
        &self,
        clock: Clock,
        id: UpstreamId,
        address: SocketAddr,
        need: ConnectionNeed,
    ) -> Result<Connection, SendError> {
        if need == ConnectionNeed::Any
            && let Some(connection) = self.reuse(clock.now(), id)
        {
            return Ok(connection);
        }
        metrics::counter!("sardinepin_upstream_connections_total").increment(1);
        Connection::open(address, need).await
    }

    fn reuse(&self, now: Millis, id: UpstreamId) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&id)?;
        while let Some(last) = connections.pop() {
            if now < last.expires_at && !last.connection.http.is_closed() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read to its end.
    pub(crate) fn put(
        &self,
        now: Millis,
        id: UpstreamId,
        mut connection: Connection,
        headers: &http::HeaderMap,
    ) {
        let Some(time) = idle_time(headers).filter(|_| !connection.is_patient) else {
            return;
        };
        connection.is_reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(id).or_default();
        if connections.len() < IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                expires_at: now + time,
            });
        }
    }

    /// Closes connections whose idle timeout has passed, and those to upstreams that do not exist
    /// any more.
    pub(crate) fn close_idle(&self, now: Millis, exists: impl Fn(UpstreamId) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|id, connections| {
            connections.retain(|idle_connection| {
                now < idle_connection.expires_at && !idle_connection.connection.http.is_closed()
            });
            !connections.is_empty() && exists(*id)
        });
    }
}

/// Returns the idle timeout of a connection, or `None` if it must not be reused.
fn idle_time(headers: &http::HeaderMap) -> Option<Millis> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let Some(keep_alive) = text(header::HeaderName::from_static("keep-alive")) else {
        return Some(IDLE_TIMEOUT_DEFAULT);
    };
    let seconds = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|value| value.trim().parse::<u64>().ok());
    match seconds {
        Some(seconds) => Some(Millis(seconds * 1_000).since(IDLE_MARGIN)),
        None => Some(IDLE_TIMEOUT_DEFAULT),
    }
}
