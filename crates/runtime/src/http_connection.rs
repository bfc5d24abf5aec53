//! HTTP/1.1 connections to upstreams, which bound what an upstream sends, and a pool of them for short calls.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sardinepin_common::{Clock, Map, Millis};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::bounded_stream::{BoundedStream, ByteAllowance};

/// The size limit of the read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The most bytes that an upstream may send until the head of its response or the next piece of its body is complete, interim responses
/// and framing included.
const PART_MAX_BYTES: usize = 64 * 1024;

/// How long a connection of a pool may be idle.
const IDLE_TIMEOUT: Millis = Millis(2_000);

/// The most idle connections of a pool to one address.
const IDLE_MAX: usize = 4;

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the upstream.
    MaybeSent,
}

/// An open connection, which is closed when it is dropped, whatever its upstream still sends.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ByteAllowance,
    driver: AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Prepares an open stream for requests.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if that fails.
    pub async fn new(stream: TcpStream) -> Result<Self, SendError> {
        let allowance = ByteAllowance::default();
        let stream = BoundedStream::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_broke", error:% = error; "a connection to an upstream broke");
            }
        });
        Ok(Self {
            sender,
            allowance,
            driver: driver.abort_handle(),
        })
    }

    /// Returns whether the connection takes no more requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Bounds the bytes that may come before the next part of a response.
    pub fn expect_part(&self) {
        self.allowance.set(PART_MAX_BYTES);
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have reached the upstream.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        self.expect_part();
        let response = self.sender.try_send_request(request).await;
        self.allowance.set(usize::MAX);
        response.map_err(|error| match error.message() {
            Some(_) => SendError::NotSent,
            None => SendError::MaybeSent,
        })
    }

    /// Sends a request and reads the whole response, whose body has at most `body_max` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have reached the upstream.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        body_max: usize,
    ) -> Result<(Parts, Bytes), SendError> {
        let (parts, body) = self.send(request).await?.into_parts();
        // The framing of a body may be longer than the body.
        self.allowance.set(body_max.saturating_add(PART_MAX_BYTES));
        let body = Limited::new(body, body_max).collect().await;
        self.allowance.set(usize::MAX);
        let body = body.map_err(|_| SendError::MaybeSent)?;
        Ok((parts, body.to_bytes()))
    }
}

/// An idle connection, and since when it is.
type Idle = (Millis, HttpConnection);

/// A client for short calls, which keeps connections that are whole and closes all others.
#[derive(Debug)]
pub struct HttpPool {
    clock: Clock,
    connect_timeout: Millis,
    idle: Mutex<Map<SocketAddr, Vec<Idle>>>,
}

impl HttpPool {
    /// Creates a pool without connections; opening one may take `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Millis) -> Self {
        Self {
            clock: Clock::start(),
            connect_timeout,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Map<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if that fails.
    pub async fn open(&self, address: SocketAddr) -> Result<HttpConnection, SendError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout.duration(), connecting).await;
        let stream = stream
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "socket_option", error:% = error; "cannot set TCP_NODELAY");
        }
        HttpConnection::new(stream).await
    }

    /// Returns an idle connection that is still open.
    pub fn reuse(&self, address: SocketAddr) -> Option<HttpConnection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        connections.retain(|(since, one)| now.since(*since) < IDLE_TIMEOUT && !one.is_closed());
        let found = connections.pop();
        if connections.is_empty() {
            idle.remove(&address);
        }
        found.map(|(_, connection)| connection)
    }

    /// Keeps a connection whose last response was read to its end.
    pub fn put(&self, address: SocketAddr, connection: HttpConnection) {
        let now = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        connections.retain(|(since, _)| now.since(*since) < IDLE_TIMEOUT);
        if connections.len() < IDLE_MAX && !connection.is_closed() {
            // Nothing is due any more.
            connection.expect_part();
            connections.push((now, connection));
        }
    }

    /// Sends a request over a kept connection or a new one, and reads the whole response. A call that is given up closes its connection.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have reached the upstream.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        body_max: usize,
    ) -> Result<(Parts, Bytes), SendError> {
        if let Some(mut connection) = self.reuse(address) {
            match connection.exchange(request.clone(), body_max).await {
                // The upstream had closed it.
                Err(SendError::NotSent) => {}
                Err(error) => return Err(error),
                Ok(response) => {
                    self.put(address, connection);
                    return Ok(response);
                }
            }
        }
        let mut connection = self.open(address).await?;
        let response = connection.exchange(request, body_max).await?;
        self.put(address, connection);
        Ok(response)
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotSent => "the request could not be sent",
            Self::MaybeSent => "no whole response came",
        })
    }
}

impl std::error::Error for SendError {}
