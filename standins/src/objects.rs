//! The stand-in for the object store of the users' platform: listings, watches and faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use sardinepin_common::Millis;
use sardinepin_store::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::http::{CloseConnection, Handler, HandlerResult, json_response, text_response};
use crate::pause::pause;
use crate::query::query_parameter;

/// Injected faults, all off by default; `POST /faults` replaces all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is closed without an answer.
    pub down: bool,
    /// Calls are answered only once this fault is over.
    pub silent: bool,
    /// The delay of each call, in milliseconds.
    pub slow_ms: u64,
}

/// The object store.
///
/// Tests write an object with `PUT /control/KIND/NAME` and drop the history with `POST /forget`; neither is
/// subject to faults.
#[derive(Debug)]
pub struct Objects {
    faults: watch::Sender<Faults>,
    revision: watch::Sender<u64>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Value>,
    /// Each change with its revision and kind.
    changes: Vec<(u64, String, Value)>,
    /// The revision up to which the history has been dropped.
    dropped: u64,
}

impl Objects {
    /// Starts an empty store.
    #[must_use]
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            faults: watch::Sender::new(Faults::default()),
            revision: watch::Sender::new(1),
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object, or deletes it if `spec` is `None`.
    fn write(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut state = self.state();
        let revision = *self.revision.borrow() + 1;
        let object = json!({"metadata": {"name": name, "revision": revision, "made": 1,
            "finalizers": [], "deleting": false}, "spec": spec, "status": null});
        let key = (kind.to_owned(), name.to_owned());
        let change = json!({"object": object, "gone": spec.is_none()});
        match spec {
            Some(_) => state.objects.insert(key, object),
            None => state.objects.remove(&key),
        };
        state.changes.push((revision, kind.to_owned(), change));
        self.revision.send_replace(revision);
    }

    fn forget(&self) {
        let mut state = self.state();
        state.changes.clear();
        state.dropped = *self.revision.borrow();
        // Wakes the watches, which then find that the history has gone.
        self.revision.send_modify(|revision| *revision += 1);
    }

    fn list(&self, kind: &str) -> HandlerResult {
        let state = self.state();
        let items = state.objects.iter().filter(|(key, _)| key.0 == kind);
        let items: Vec<_> = items.map(|(_, object)| object).collect();
        let at = *self.revision.borrow();
        json_response(
            StatusCode::OK,
            &json!({"items": items, "more": false, "at": at}),
        )
    }

    async fn watch(&self, kind: &str, after: u64, wait: Millis) -> HandlerResult {
        let mut revisions = self.revision.subscribe();
        let changed =
            async { while self.has_no_news(kind, after) && revisions.changed().await.is_ok() {} };
        // A watch without a change ends with an empty list.
        let _ = tokio::time::timeout(wait.duration(), changed).await;
        let state = self.state();
        if after < state.dropped {
            return text_response(StatusCode::GONE, "the history has been dropped");
        }
        let at = *self.revision.borrow();
        let events = state.changes.iter();
        let events = events.filter(|(revision, of, _)| *revision > after && of == kind);
        let events: Vec<_> = events.map(|(_, _, change)| change).collect();
        json_response(StatusCode::OK, &json!({"events": events, "at": at}))
    }

    fn has_no_news(&self, kind: &str, after: u64) -> bool {
        let state = self.state();
        let mut changes = state.changes.iter();
        after >= state.dropped && !changes.any(|(revision, of, _)| *revision > after && of == kind)
    }

    fn set_faults(&self, body: &[u8]) -> HandlerResult {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                self.faults.send_replace(faults.clone());
                json_response(StatusCode::OK, &faults)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Handles a call of the object API.
    async fn handle_api(&self, request: &Request<Bytes>) -> HandlerResult {
        let slow_ms = self.faults.borrow().slow_ms;
        pause(Millis(slow_ms)).await;
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the store, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !faults.silent).await;
        let path = request.uri().path().strip_prefix("/objects/");
        let path = path.ok_or(CloseConnection)?;
        let number = |name| query_parameter(request.uri(), name)?.parse().ok();
        match (request.method().as_str(), path.split_once('/')) {
            ("GET", None) => match number("watch") {
                Some(after) => {
                    let wait = Millis(number("wait-ms").unwrap_or_default());
                    self.watch(path, after, wait).await
                }
                None => self.list(path),
            },
            ("POST", None) => {
                let object: Value =
                    serde_json::from_slice(request.body()).map_err(|_| CloseConnection)?;
                let name = object["metadata"]["name"].as_str().ok_or(CloseConnection)?;
                let key = (path.to_owned(), name.to_owned());
                if self.state().objects.contains_key(&key) {
                    return text_response(StatusCode::CONFLICT, "it exists");
                }
                self.write(path, name, Some(object["spec"].clone()));
                json_response(StatusCode::CREATED, &name)
            }
            ("DELETE", Some((kind, name))) => {
                self.write(kind, name, None);
                json_response(StatusCode::OK, &name)
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Handler for Objects {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        Box::pin(async move {
            let path = request.uri().path();
            let control = path.strip_prefix("/control/");
            if let Some((kind, name)) = control.and_then(|path| path.split_once('/'))
                && request.method() == Method::PUT
            {
                let spec = serde_json::from_slice(request.body()).map_err(|_| CloseConnection)?;
                self.write(kind, name, Some(spec));
                return json_response(StatusCode::OK, &name);
            }
            match path {
                "/faults" => return self.set_faults(request.body()),
                "/forget" => {
                    self.forget();
                    return json_response(StatusCode::OK, &());
                }
                _ => {}
            }
            let mut faults = self.faults.subscribe();
            tokio::select! {
                biased;
                _ = faults.wait_for(|faults| faults.down) => Err(CloseConnection),
                reply = self.handle_api(&request) => reply,
            }
        })
    }
}
