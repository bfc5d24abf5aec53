//! The callers' HTTP server.

use std::net::{IpAddr, SocketAddr};
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
use hyper_util::server::graceful::GracefulShutdown;
use sardinepin_common::{AttemptId, Clock, Millis, Revision};
use sardinepin_config::Snapshot;
use sardinepin_protocol::ErrorKind;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::entry::answers::{Body, Outbound, problem};
use crate::entry::call::Call;
use crate::entry::core::Core;
use crate::entry::follow::Follow;
use crate::entry::links::Links;
use crate::link::Identity;
use crate::node::Node;
use crate::options::Settings;
use crate::telemetry::count_refusal;

/// The wait after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Millis = Millis(50);

/// How long open connections may still send a request after no more are accepted.
const LINGER: Millis = Millis(250);

/// How long a caller may take over the head of a request.
const HEAD_MAX: Millis = Millis(10_000);

/// How long a caller may take over the body of a request.
const BODY_MAX: Millis = Millis(30_000);

/// When to come back to an instance that cannot serve yet or any more.
const COME_BACK: Millis = Millis(1_000);

/// The longest request identifier that is taken over from a caller, in bytes.
const REQUEST_ID_MAX: usize = 64;

/// One entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) core: Core,
    pub(crate) links: Links,
    identity: Identity,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    ready: watch::Receiver<bool>,
    numbers: AtomicU64,
    open: AtomicUsize,
    leaving: AtomicBool,
    /// Whether the configuration could be relied on when this entry began to leave.
    was_ready: AtomicBool,
    closed: CancellationToken,
}

impl Entry {
    /// Makes an entry that has served nothing.
    pub(crate) fn new(settings: Settings, node: &Node, core: Core, links: Links) -> Self {
        Self {
            settings,
            clock: node.clock,
            core,
            links,
            identity: node.identity.clone(),
            snapshots: node.control.snapshots(),
            ready: node.control.readiness(),
            numbers: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            was_ready: AtomicBool::new(false),
            closed: CancellationToken::new(),
        }
    }

    /// Returns a number that was not used before at this entry, from 1.
    pub(crate) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the identifier of a new attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.identity.incarnation,
            number: self.next_number(),
        }
    }

    /// Says that this entry is not ready any more; requests are still taken.
    ///
    /// It must be called before the control part leaves, after which that is never ready.
    pub(crate) fn leave(&self) {
        self.was_ready
            .store(*self.ready.borrow(), Ordering::Release);
        self.leaving.store(true, Ordering::Release);
    }

    /// Takes no new connections and ends those that are open after their requests.
    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    /// Returns how many requests are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the configuration in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Returns whether the configuration may be relied on.
    ///
    /// Where all that can be reached have none, the node knows no more than they do, and waits.
    fn has_configuration(&self) -> bool {
        let ready = *self.ready.borrow() || self.was_ready.load(Ordering::Acquire);
        ready && self.snapshots.borrow().revision() > Revision::default()
    }

    /// Says why callers should not be sent here, if they should not.
    pub(crate) fn waiting(&self) -> Option<String> {
        if self.leaving.load(Ordering::Acquire) {
            return Some("this instance is stopping".to_owned());
        }
        if !self.has_configuration() {
            return Some("the newest configuration is not known yet".to_owned());
        }
        None
    }

    async fn answer(self: Arc<Self>, peer: IpAddr, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let id = self.request_id(&parts);
        let _open = match Open::count(&self) {
            Ok(open) => open,
            Err(kind) => return refuse(kind, &id),
        };
        let call = match self.read(peer, &parts, body).await {
            Ok(call) => call,
            Err(kind) => return refuse(kind, &id),
        };
        let (reply, answer) = oneshot::channel();
        let out = Outbound::new(&id, reply);
        let follow = Follow::run(Arc::clone(&self), id.clone(), call, out);
        // The request outlives its caller: what has begun is followed to its end.
        tokio::spawn(follow);
        match answer.await {
            Ok(response) => response,
            Err(_) => refuse(ErrorKind::Internal, &id),
        }
    }

    async fn read(&self, peer: IpAddr, parts: &Parts, body: Incoming) -> Result<Call, ErrorKind> {
        let organisation = self.organisation(peer, parts)?;
        if !self.has_configuration() {
            return Err(ErrorKind::NotReady);
        }
        let snapshot = self.snapshot();
        let body = read_body(body, self.settings.entry.body_max).await?;
        Call::read(&snapshot, &organisation, parts, body)
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

    /// Takes over the caller's request identifier if it is plain and short, or makes one.
    fn request_id(&self, parts: &Parts) -> String {
        let given = parts.headers.get("x-request-id");
        let given = given.and_then(|value| value.to_str().ok());
        let plain = |id: &&str| !id.is_empty() && id.len() <= REQUEST_ID_MAX;
        match given.filter(plain) {
            Some(id) => id.to_owned(),
            None => format!("{}-{}", self.identity.incarnation, self.next_number()),
        }
    }
}

/// A request that is counted as open until this is dropped.
struct Open<'a>(&'a Entry);

impl<'a> Open<'a> {
    fn count(entry: &'a Entry) -> Result<Self, ErrorKind> {
        let open = Self(entry);
        let before = entry.open.fetch_add(1, Ordering::AcqRel);
        if before >= entry.settings.entry.open_max {
            return Err(ErrorKind::QueueFull);
        }
        Ok(open)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

fn refuse(kind: ErrorKind, request: &str) -> Response<Body> {
    count_refusal(kind);
    problem(kind, COME_BACK, request)
}

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, ErrorKind> {
    let announced = body.size_hint().lower();
    if announced > max as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let whole = Limited::new(body, max).collect();
    match tokio::time::timeout(BODY_MAX.duration(), whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ErrorKind::BodyTooLarge)
        }
        _ => Err(ErrorKind::BadRequest),
    }
}

/// Serves callers until the entry closes, then waits for the requests that are open.
pub(crate) async fn serve(entry: Arc<Entry>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => connect(&entry, &graceful, stream, peer),
                Err(error) => {
                    log::warn!(event = "accept_failed", error:% = error; "cannot accept a caller");
                    tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
                }
            },
            () = entry.closed.cancelled() => break,
        }
    }
    // Callers that connected before the end are still served, one request each. The runtime may not
    // have heard of the last of them, so the listener itself is asked.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, peer)) = listener.accept() {
            take_over(&entry, &graceful, stream, peer);
        }
    }
    tokio::time::sleep(LINGER.duration()).await;
    graceful.shutdown().await;
}

/// Connects a caller that was accepted without the runtime.
fn take_over(
    entry: &Arc<Entry>,
    graceful: &GracefulShutdown,
    stream: std::net::TcpStream,
    peer: SocketAddr,
) {
    let stream = stream
        .set_nonblocking(true)
        .and_then(|()| TcpStream::from_std(stream));
    match stream {
        Ok(stream) => connect(entry, graceful, stream, peer),
        Err(error) => {
            log::warn!(event = "accept_failed", error:% = error; "cannot accept a caller");
        }
    }
}

fn connect(entry: &Arc<Entry>, graceful: &GracefulShutdown, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    let headers_max = entry.settings.entry.headers_max;
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_MAX.duration())
        .max_buf_size(headers_max);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(headers_max).unwrap_or(u32::MAX));
    let shared = Arc::clone(entry);
    let service = service_fn(move |request| {
        let entry = Arc::clone(&shared);
        let keeps_open = request.version() != Version::HTTP_11;
        async move {
            let mut response = Arc::clone(&entry).answer(peer.ip(), request).await;
            // A caller that is told so sends its next request elsewhere, not into a closing end.
            if entry.leaving.load(Ordering::Acquire) && !keeps_open {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!(event = "caller_broke", error:% = error; "a caller's connection broke");
        }
    });
}
