//! The HTTP server for callers.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use sardinepin_common::{AttemptId, Clock, Millis, Revision};
use sardinepin_config::Snapshot;
use sardinepin_protocol::ErrorKind;
use sardinepin_runtime::{Activity, CallerStream, GuardedBody, OpenExchange};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::entry::balancer::BalancerHandle;
use crate::entry::call::Call;
use crate::entry::follow::RequestFollower;
use crate::entry::links::Links;
use crate::entry::responses::{Body, CallerResponse, problem};
use crate::link::Identity;
use crate::node::Node;
use crate::options::Settings;
use crate::telemetry::count_refusal;

/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// How long open connections may still send a request after the entry stops accepting connections.
const CLOSE_DELAY: Millis = Millis(250);

/// How long a connection has to be out of use until it is closed at a stop: a caller that sends one request after the other sends the
/// next one sooner.
const UNUSED_TIME: Millis = Millis(1_000);

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Millis = Millis(10_000);

/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Millis = Millis(30_000);

/// The retry delay in refusals by this instance itself, such as while it is not ready or is
/// stopping.
const RETRY_AFTER: Millis = Millis(1_000);

/// The longest request identifier that is accepted from a caller, in bytes.
const REQUEST_ID_MAX_BYTES: usize = 64;

/// The state of an entry that its requests share.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) balancer: BalancerHandle,
    pub(crate) links: Links,
    identity: Identity,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    ready: watch::Receiver<bool>,
    last_number: AtomicU64,
    open_requests: AtomicUsize,
    leaving: AtomicBool,
    /// Whether the configuration was up to date when this entry began to leave.
    ready_at_leave: AtomicBool,
    closed: CancellationToken,
}

impl Entry {
    /// Creates an entry without open requests.
    pub(crate) fn new(
        settings: Settings,
        node: &Node,
        balancer: BalancerHandle,
        links: Links,
    ) -> Self {
        Self {
            settings,
            clock: node.clock,
            balancer,
            links,
            identity: node.identity.clone(),
            snapshots: node.control.snapshots(),
            ready: node.control.readiness(),
            last_number: AtomicU64::new(0),
            open_requests: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            ready_at_leave: AtomicBool::new(false),
            closed: CancellationToken::new(),
        }
    }

    /// Returns the next unused number of this entry, starting from 1.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the identifier of a new attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.identity.incarnation,
            number: self.next_number(),
        }
    }

    /// Reports this entry as no longer ready; requests are still accepted.
    ///
    /// Must be called before the control part leaves the cluster, after which the configuration
    /// never counts as ready.
    pub(crate) fn leave(&self) {
        self.ready_at_leave
            .store(*self.ready.borrow(), Ordering::Release);
        self.leaving.store(true, Ordering::Release);
    }

    /// Stops accepting connections and closes each open one after its current request.
    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    /// Waits until a connection has to be closed: the entry has closed, and no request comes over it any more.
    ///
    /// Callers that speak HTTP/2 are told by the connection itself.
    async fn wait_until_unused(&self, is_http2: &AtomicBool, activity: &Activity) {
        self.closed.cancelled().await;
        tokio::time::sleep(CLOSE_DELAY.duration()).await;
        if !is_http2.load(Ordering::Relaxed) {
            activity.wait_until_idle(UNUSED_TIME).await;
        }
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Returns the configuration in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Returns whether there is a configuration and it is up to date, or was when this entry began
    /// to leave.
    ///
    /// If no reachable node has a configuration, this node counts as ready with an empty one, so
    /// the revision is checked too.
    fn has_configuration(&self) -> bool {
        let ready = *self.ready.borrow() || self.ready_at_leave.load(Ordering::Acquire);
        ready && self.snapshots.borrow().revision() > Revision::default()
    }

    /// Returns why this entry is not ready for callers; `None` if it is ready.
    pub(crate) fn not_ready_reason(&self) -> Option<String> {
        if self.leaving.load(Ordering::Acquire) {
            return Some("this instance is stopping".to_owned());
        }
        if !self.has_configuration() {
            return Some("the newest configuration is not known yet".to_owned());
        }
        None
    }

    async fn respond(self: Arc<Self>, peer: IpAddr, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let id = self.request_id(&parts);
        let _open = match OpenRequestGuard::count(&self) {
            Ok(open) => open,
            Err(kind) => return refuse(kind, &id),
        };
        let call = match self.read_call(peer, &parts, body).await {
            Ok(call) => call,
            Err(kind) => return refuse(kind, &id),
        };
        let (sender, receiver) = oneshot::channel();
        let caller_response = CallerResponse::new(&id, sender);
        let follower = RequestFollower::run(Arc::clone(&self), id.clone(), call, caller_response);
        // A separate task, because this future is dropped when the caller hangs up, and the end of
        // a request that has begun must still be reported to the balancer and the agent.
        tokio::spawn(follower);
        match receiver.await {
            Ok(response) => response,
            Err(_) => refuse(ErrorKind::Internal, &id),
        }
    }

    async fn read_call(
        &self,
        peer: IpAddr,
        parts: &Parts,
        body: Incoming,
    ) -> Result<Call, ErrorKind> {
        let organisation = self.organisation(peer, parts)?;
        if !self.has_configuration() {
            return Err(ErrorKind::NotReady);
        }
        let snapshot = self.snapshot();
        let body = read_body(body, self.settings.entry.body_max).await?;
        Call::parse(&snapshot, &organisation, parts, body)
    }

    fn organisation(&self, peer: IpAddr, parts: &Parts) -> Result<String, ErrorKind> {
        let settings = &self.settings.entry;
        if !settings.trusted_peers.contains(&peer) {
            return Err(ErrorKind::NoOrganisation);
        }
        let value = parts.headers.get(settings.organisation_header.as_str());
        let name = value.and_then(|value| value.to_str().ok());
        name.filter(|name| !name.is_empty())
            .map(str::to_owned)
            .ok_or(ErrorKind::NoOrganisation)
    }

    /// Returns the caller's request identifier if it is valid and short enough, else a new one.
    fn request_id(&self, parts: &Parts) -> String {
        let given = parts.headers.get("x-request-id");
        let given = given.and_then(|value| value.to_str().ok());
        let is_valid = |id: &&str| !id.is_empty() && id.len() <= REQUEST_ID_MAX_BYTES;
        match given.filter(is_valid) {
            Some(id) => id.to_owned(),
            None => format!("{}-{}", self.identity.incarnation, self.next_number()),
        }
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequestGuard<'a>(&'a Entry);

impl<'a> OpenRequestGuard<'a> {
    fn count(entry: &'a Entry) -> Result<Self, ErrorKind> {
        let open = Self(entry);
        let before = entry.open_requests.fetch_add(1, Ordering::AcqRel);
        if before >= entry.settings.entry.open_max {
            return Err(ErrorKind::QueueFull);
        }
        Ok(open)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

fn refuse(kind: ErrorKind, request_id: &str) -> Response<Body> {
    count_refusal(kind);
    problem(kind, RETRY_AFTER, request_id)
}

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, ErrorKind> {
    let announced = body.size_hint().lower();
    if announced > max as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let read = Limited::new(body, max).collect();
    match tokio::time::timeout(BODY_TIMEOUT.duration(), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ErrorKind::BodyTooLarge)
        }
        _ => Err(ErrorKind::BadRequest),
    }
}

/// Serves callers until the entry closes, then waits until no connection is in use any more.
pub(crate) async fn serve(entry: Arc<Entry>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(serve_connection(Arc::clone(&entry), stream, peer));
                }
                Err(error) => {
                    log::warn!(event = "accept_failed", error:% = error; "cannot accept a caller's connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = entry.closed.cancelled() => break,
        }
    }
    // Callers that connected before the close are still served. The runtime may not have been notified of the last of them, so
    // the remaining ones are accepted from the socket itself.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, peer)) = listener.accept() {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => {
                    connections.spawn(serve_connection(Arc::clone(&entry), stream, peer));
                }
                Err(error) => {
                    log::warn!(event = "accept_failed", error:% = error; "cannot accept a caller's connection");
                }
            }
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(entry: Arc<Entry>, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    let headers_max = entry.settings.entry.headers_max;
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.duration())
        .max_buf_size(headers_max);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(headers_max).unwrap_or(u32::MAX));
    let stream = CallerStream::new(stream, entry.clock);
    let is_http2 = Arc::new(AtomicBool::new(false));
    let service = service_fn(|request| {
        is_http2.store(request.version() == Version::HTTP_2, Ordering::Relaxed);
        respond(
            Arc::clone(&entry),
            stream.activity().begin(),
            peer.ip(),
            request,
        )
    });
    let connection = builder.serve_connection(TokioIo::new(stream.clone()), service);
    let mut connection = pin!(connection);
    let serving = async {
        tokio::select! {
            biased;
            result = connection.as_mut() => result,
            () = entry.wait_until_unused(&is_http2, stream.activity()) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        biased;
        result = serving => if let Err(error) = result {
            log::debug!(event = "caller_broke", error:% = error; "a caller's connection broke");
        },
        // Ends the request in progress.
        () = stream.closed_by_caller() => {}
    }
}

async fn respond(
    entry: Arc<Entry>,
    open: OpenExchange,
    peer: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody<Body, OpenExchange>>, Infallible> {
    let is_http11 = request.version() == Version::HTTP_11;
    let mut response = Arc::clone(&entry).respond(peer, request).await;
    // With `connection: close`, the caller sends its next request elsewhere and not on a
    // connection that is being closed.
    if entry.leaving.load(Ordering::Acquire) && is_http11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| GuardedBody::new(body, open)))
}
