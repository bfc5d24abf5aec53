//! The stand-in for the platform: an object API with revisions and watches, and an instance list.

mod counts;
mod faults;
mod instances;
mod objects;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use sardinepin_common::{Clock, Millis, Revision};
use sardinepin_store::{BoxFuture, Instance, Listing, Precondition};
use serde::Deserialize;
use tokio::sync::watch;

pub use counts::Counts;
pub use faults::Faults;

use crate::http::{CloseConnection, Handler, HandlerResult, json_response, text_response};
use crate::pause::pause;
use crate::query::{percent_decode, query_parameter};
use counts::ApiCall;
use faults::{FaultState, WriteFault};
use instances::Instances;
use objects::{Objects, Write, WriteResult};

/// A platform that keeps its objects in memory.
#[derive(Debug)]
pub struct Platform {
    clock: Clock,
    state: Mutex<State>,
    revision: watch::Sender<Revision>,
    outage: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    instances: Instances,
    faults: FaultState,
    counts: Counts,
}

/// The JSON body of a write.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WriteBody {
    write_id: String,
    value: Option<String>,
}

impl Platform {
    /// Returns a platform without objects or instances.
    #[must_use]
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::default(),
            revision: watch::Sender::new(Revision::default()),
            outage: watch::Sender::new(false),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a control call of a test or operator, which is not counted; returns `None` for other
    /// calls.
    fn handle_control(&self, request: &Request<Bytes>) -> Option<HandlerResult> {
        let path = request.uri().path();
        let name = path.strip_prefix("/instances/").map(percent_decode);
        match (request.method(), path, name) {
            (&Method::GET, "/counts", _) => {
                Some(json_response(StatusCode::OK, &self.state().counts))
            }
            (&Method::POST, "/faults", _) => Some(self.set_faults(request.body())),
            (&Method::PUT, _, Some(name)) => Some(self.put_instance(&name, request.body())),
            (&Method::DELETE, _, Some(name)) => {
                self.state().instances.remove(self.clock.now(), &name);
                Some(json_response(StatusCode::OK, &name))
            }
            _ => None,
        }
    }

    fn set_faults(&self, body: &[u8]) -> HandlerResult {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                self.outage.send_replace(faults.down);
                self.state().faults.set(self.clock.now(), faults.clone());
                json_response(StatusCode::OK, &faults)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn put_instance(&self, name: &str, body: &[u8]) -> HandlerResult {
        match serde_json::from_slice::<Instance>(body) {
            Ok(instance) if instance.name == name => {
                self.state().instances.put(self.clock.now(), instance);
                json_response(StatusCode::OK, &name)
            }
            Ok(_) => text_response(StatusCode::BAD_REQUEST, "the names differ"),
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Handles a call of the object API or the instance list, subject to rates and delays.
    async fn handle_api(self: Arc<Self>, request: Request<Bytes>) -> HandlerResult {
        let Some(kind) = ApiCall::of(&request) else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        let (is_allowed, delay_ms) = {
            let mut state = self.state();
            state.counts.count(kind);
            let now = self.clock.now();
            (
                state.faults.allows(now, kind),
                state.faults.current().slow_ms,
            )
        };
        if !is_allowed {
            self.state().counts.refused += 1;
            return text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate");
        }
        pause(Millis(delay_ms)).await;
        match kind {
            ApiCall::Write => self.write(request).await,
            ApiCall::Watch => self.watch(&request).await,
            ApiCall::Read => self.read(&request),
        }
    }

    fn read(&self, request: &Request<Bytes>) -> HandlerResult {
        let mut state = self.state();
        let lag = state.faults.current().instance_lag_ms;
        if request.uri().path() == "/v1/instances" {
            let listed = state.instances.list_at(self.clock.now(), Millis(lag));
            return json_response(StatusCode::OK, &listed);
        }
        let revision = state.visible_revision();
        if let Some(key) = object_key(request) {
            return match state.objects.get(&key, revision) {
                Some(object) => json_response(StatusCode::OK, &object),
                None => text_response(StatusCode::NOT_FOUND, "no such key"),
            };
        }
        let prefix = query_parameter(request.uri(), "prefix").unwrap_or_default();
        json_response(StatusCode::OK, &state.objects.list(&prefix, revision))
    }

    async fn watch(&self, request: &Request<Bytes>) -> HandlerResult {
        let number = |name| query_parameter(request.uri(), name).and_then(|text| text.parse().ok());
        let prefix = query_parameter(request.uri(), "prefix").unwrap_or_default();
        let after = Revision(number("after").unwrap_or(0));
        let wait = Millis(number("wait_ms").unwrap_or(0));
        let mut revisions = self.revision.subscribe();
        let changed = async {
            loop {
                revisions.borrow_and_update();
                let listing = self.changes(&prefix, after);
                if !listing.objects.is_empty() || revisions.changed().await.is_err() {
                    return listing;
                }
            }
        };
        let listing = tokio::time::timeout(wait.duration(), changed)
            .await
            .unwrap_or_else(|_| self.changes(&prefix, after));
        json_response(StatusCode::OK, &listing)
    }

    fn changes(&self, prefix: &str, after: Revision) -> Listing {
        let mut state = self.state();
        let revision = state.visible_revision();
        state.objects.changes(prefix, after, revision)
    }

    async fn write(self: Arc<Self>, request: Request<Bytes>) -> HandlerResult {
        let Some(write) = parse_write(&request) else {
            return text_response(StatusCode::BAD_REQUEST, "not a conditional write");
        };
        let fault = self.state().faults.take_write_fault();
        match fault {
            WriteFault::None => self.apply(write),
            WriteFault::AnswerLost => self.apply(write).and(Err(CloseConnection)),
            WriteFault::Late(delay) => {
                // The connection closes at once; the write takes effect after the delay.
                tokio::spawn(async move {
                    pause(delay).await;
                    self.apply(write)
                });
                Err(CloseConnection)
            }
        }
    }

    fn apply(&self, write: Write) -> HandlerResult {
        let result = self.state().objects.write(write);
        match result {
            WriteResult::Done(object) => {
                self.revision.send_replace(object.revision);
                json_response(StatusCode::OK, &object)
            }
            WriteResult::Conflict(found) => json_response(StatusCode::PRECONDITION_FAILED, &found),
            WriteResult::Missing => text_response(StatusCode::NOT_FOUND, "no such key"),
            WriteResult::TooLarge => {
                text_response(StatusCode::PAYLOAD_TOO_LARGE, "over a megabyte")
            }
        }
    }
}

impl State {
    /// Returns the revision that the next read shows, and uses up one stale read.
    fn visible_revision(&mut self) -> Revision {
        let revisions = self.faults.take_stale_read();
        Revision(self.objects.revision().0.saturating_sub(revisions))
    }
}

impl Handler for Platform {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        Box::pin(async move {
            if let Some(reply) = self.handle_control(&request) {
                return reply;
            }
            let mut outage = self.outage.subscribe();
            // An outage also closes calls in progress, including waiting watches. A write that has
            // been accepted continues without its caller.
            tokio::select! {
                biased;
                _ = outage.wait_for(|down| *down) => Err(CloseConnection),
                reply = serve_api(Arc::clone(&self), request) => reply,
            }
        })
    }
}

async fn serve_api(platform: Arc<Platform>, request: Request<Bytes>) -> HandlerResult {
    match ApiCall::of(&request) {
        Some(ApiCall::Write) => tokio::spawn(platform.handle_api(request))
            .await
            .unwrap_or(Err(CloseConnection)),
        _ => platform.handle_api(request).await,
    }
}

fn object_key(request: &Request<Bytes>) -> Option<String> {
    request
        .uri()
        .path()
        .strip_prefix("/v1/objects/")
        .map(percent_decode)
}

fn parse_write(request: &Request<Bytes>) -> Option<Write> {
    let headers = request.headers();
    let revision = headers
        .get(IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok());
    let precondition = match (revision, headers.get(IF_NONE_MATCH)) {
        (Some(revision), None) => Precondition::Revision(Revision(revision)),
        (None, Some(value)) if value == "*" => Precondition::Absent,
        _ => return None,
    };
    let is_delete = request.method() == Method::DELETE;
    let body = match request.body().as_ref() {
        [] if is_delete => WriteBody::default(),
        body => serde_json::from_slice(body).ok()?,
    };
    if body.value.is_some() == is_delete {
        return None;
    }
    Some(Write {
        key: object_key(request)?,
        precondition,
        write_id: body.write_id,
        value: body.value,
    })
}
