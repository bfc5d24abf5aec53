//! The stand-in for a plain service, which counts its runs so that tests know what was executed.

mod counts;
mod faults;

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Version};
use sardinepin_common::{Clock, Millis};
use sardinepin_protocol::Digest;
use sardinepin_store::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

pub use counts::Counts;
pub use faults::{CrashPoint, Faults};

use crate::http::{
    Body, CloseConnection, Handler, HandlerResult, json_response, streaming_response,
    text_response, truncated_body,
};
use crate::pause::pause;
use counts::Journal;

/// The exit code of a process that a call crashes.
const CRASH_EXIT_CODE: i32 = 70;

/// How long after a part of its answer a process crashes, so that the part is on its way.
const CRASH_DELAY: Millis = Millis(50);

/// The duration of a step that the report of a model worker implies.
const STEP_TIME: Millis = Millis(10);

/// The header field of the users' platform with the identifier of an attempt; an answer repeats it.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// The header field by which a worker of the users' platform signs an answer.
const SIGNATURE_HEADER: &str = "x-response-signature";

/// The header field of the users' platform that says that a call did not run.
const NOT_RUN_HEADER: &str = "x-not-executed";

/// The body of an answer, which repeats the relevant parts of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The request method.
    pub method: String,
    /// The request path with its query.
    pub path: String,
    /// The value of `x-organisation`, or of `x-tenant` on the users' platform.
    pub organisation: String,
    /// The value of `x-request-id`, or of `x-attempt-id` on the users' platform.
    pub request: String,
    /// The value of `idempotency-key`.
    pub key: String,
    /// The digest of the request body.
    pub digest: String,
    /// How often this key has run by now, or this request identifier if there is no key; 0 for a
    /// method other than `POST`, which is not counted.
    pub run: u64,
}

/// A plain service that counts its runs.
#[derive(Debug)]
pub struct PlainService {
    faults: watch::Sender<Faults>,
    journal: Mutex<Journal>,
}

/// The parts of a call that are needed after its connection is closed.
#[derive(Debug)]
struct Call {
    echo: Echo,
    body: Bytes,
    /// The identifier of the attempt, on the users' platform.
    attempt: Option<HeaderValue>,
}

impl PlainService {
    /// Starts a service that continues the run counts of the journal file, or counts from zero
    /// without one.
    ///
    /// # Errors
    ///
    /// Fails if the journal cannot be read or written.
    pub fn start(journal: Option<&Path>) -> io::Result<Arc<Self>> {
        Self::start_with(journal, Faults::default())
    }

    /// Starts a service with these faults.
    ///
    /// # Errors
    ///
    /// Fails if the journal cannot be read or written.
    pub fn start_with(journal: Option<&Path>, faults: Faults) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            faults: watch::Sender::new(faults),
            journal: Mutex::new(Journal::open(journal)?),
        }))
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.with_counts(|counts| counts.clone())
    }

    fn with_counts<T>(&self, change: impl FnOnce(&mut Counts) -> T) -> T {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut journal.counts)
    }

    fn set_faults(&self, body: &[u8]) -> HandlerResult {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.send_replace(faults);
                json_response(StatusCode::OK, &*self.faults.borrow())
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn release(&self) -> HandlerResult {
        self.faults.send_modify(|faults| {
            faults.hold_before = false;
            faults.hold_after = false;
        });
        json_response(StatusCode::OK, &*self.faults.borrow())
    }

    /// Runs a call to its end, even if its connection is closed.
    async fn run(self: Arc<Self>, mut call: Call) -> HandlerResult {
        self.with_counts(|counts| counts.record_arrival(&call.echo.request));
        let rest_seconds = self.faults.borrow().rest_seconds;
        if let Some(seconds) = rest_seconds {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "at rest")?;
            let headers = response.headers_mut();
            headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
            headers.insert(RETRY_AFTER, seconds.into());
            return self.complete(&call, response);
        }
        self.crash_if_set(&call, CrashPoint::BeforeRun);
        self.wait_while_held(
            &call,
            |faults| faults.hold_before,
            |counts| &mut counts.held_before,
        )
        .await;
        if call.echo.method == Method::POST.as_str() {
            call.echo.run = self
                .journal
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .run(&call.echo.key, &call.echo.request)
                .map_err(|_| CloseConnection)?;
        }
        self.crash_if_set(&call, CrashPoint::AfterRun);
        self.wait_while_held(
            &call,
            |faults| faults.hold_after,
            |counts| &mut counts.held_after,
        )
        .await;
        let faults = self.faults.borrow().clone();
        let mut response = respond(&faults, &call).await?;
        if let Some(milli) = faults.limit_milli {
            let limit = format!("{}", f64::from(milli) / 1_000.0);
            let limit = limit.parse().map_err(|_| CloseConnection)?;
            response.headers_mut().insert("x-limit", limit);
        }
        self.complete(&call, response)
    }

    /// Adds the header fields that the users' platform requires, to calls that name an attempt.
    fn complete(&self, call: &Call, mut response: Response<Body>) -> HandlerResult {
        let headers = response.headers_mut();
        if self.faults.borrow().leaving {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
        if let Some(attempt) = &call.attempt {
            if !headers.contains_key(NOT_RUN_HEADER) {
                headers.insert(SIGNATURE_HEADER, HeaderValue::from_static("signed"));
            }
            headers.insert(ATTEMPT_HEADER, attempt.clone());
        }
        Ok(response)
    }

    fn crash_if_set(&self, call: &Call, point: CrashPoint) {
        let faults = self.faults.borrow();
        if faults.crash_point == point && faults.crashes(&call.body) {
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    /// Waits while the fault selected by `is_held` is set; `counter` counts the waiting calls.
    async fn wait_while_held(
        &self,
        call: &Call,
        is_held: impl Fn(&Faults) -> bool,
        counter: impl Fn(&mut Counts) -> &mut u64,
    ) {
        let mut faults = self.faults.subscribe();
        if !faults.borrow().affect(&call.body) || !is_held(&faults.borrow()) {
            return;
        }
        self.with_counts(|counts| *counter(counts) += 1);
        // The sender lives as long as the service, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !is_held(faults)).await;
        self.with_counts(|counts| *counter(counts) -= 1);
    }
}

impl Handler for PlainService {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        Box::pin(async move {
            match (request.method().as_str(), request.uri().path()) {
                ("GET", "/counts") => json_response(StatusCode::OK, &self.counts()),
                ("GET", "/report") => json_response(StatusCode::OK, &idle_report()),
                ("POST", "/faults") => self.set_faults(request.body()),
                ("POST", "/release") => self.release(),
                // The call runs in a task of its own: a real service does not notice a disconnected
                // caller.
                _ => tokio::spawn(self.run(parse_call(request)))
                    .await
                    .unwrap_or(Err(CloseConnection)),
            }
        })
    }
}

/// Returns what a model worker of the users' platform reports that is alone in its rank group.
///
/// Its step rises with time: a group that makes no steps while requests run counts as stalled.
fn idle_report() -> Value {
    let step = Clock::wall_time().0 / STEP_TIME.0;
    json!({"group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"}, "size": 1,
        "busy": false, "seq": 0, "step": step, "map": 0, "prepared": null, "armed": null,
        "held": null, "running": 0, "waiting": 0, "pace": 1.0})
}

async fn respond(faults: &Faults, call: &Call) -> HandlerResult {
    if !faults.affect(&call.body) {
        return json_response(StatusCode::OK, &call.echo);
    }
    pause(Millis(faults.delay_ms)).await;
    if let Some(part) = faults.endless {
        return part.response();
    }
    if faults.unanswered {
        return Err(CloseConnection);
    }
    if let Some(bytes) = faults.break_after {
        let body = serde_json::to_vec(&call.echo).map_err(|_| CloseConnection)?;
        return streaming_response("application/json", truncated_body(&body.into(), bytes));
    }
    if faults.without_length || faults.crash_after.is_some() {
        let body = serde_json::to_vec(&call.echo).map_err(|_| CloseConnection)?;
        let mut response = streaming_response("application/json", body_parts(body, faults))?;
        if !faults.without_length {
            return Ok(response);
        }
        // The HTTP library writes neither a length nor chunks for this version.
        *response.version_mut() = Version::HTTP_10;
        return Ok(response);
    }
    json_response(StatusCode::OK, &call.echo)
}

/// Returns the parts of a body, up to the point at which the process crashes.
fn body_parts(mut body: Vec<u8>, faults: &Faults) -> impl Stream<Item = io::Result<Bytes>> + use<> {
    let crash_after = faults.crash_after;
    body.truncate(crash_after.unwrap_or(usize::MAX));
    stream::unfold(Some(Bytes::from(body)), move |rest| async move {
        if let Some(part) = rest {
            return Some((Ok(part), None));
        }
        if crash_after.is_some() {
            // The part has been written by now.
            pause(CRASH_DELAY).await;
            std::process::exit(CRASH_EXIT_CODE);
        }
        None
    })
}

fn parse_call(request: Request<Bytes>) -> Call {
    let (head, body) = request.into_parts();
    let header = |name: &str| {
        head.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let echo = Echo {
        method: head.method.to_string(),
        path: head.uri.to_string(),
        organisation: header("x-organisation") + &header("x-tenant"),
        request: header("x-request-id") + &header(ATTEMPT_HEADER),
        key: header("idempotency-key"),
        digest: Digest::of(&[&body]).to_string(),
        run: 0,
    };
    Call {
        echo,
        body,
        attempt: head.headers.get(ATTEMPT_HEADER).cloned(),
    }
}
