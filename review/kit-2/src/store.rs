//! The platform's store: objects by kind and name, listings and watches.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message, json_response};
use crate::json::Json;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Kind, name and the object as JSON.
    objects: Vec<(String, String, String)>,
    /// Revision, kind and event as JSON.
    changes: Vec<(u64, String, String)>,
}

/// A store in memory.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts a store at an address.
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.state().revision = 100;
        let listener = TcpListener::bind(address)?;
        let shared = Arc::clone(&store);
        http::serve(listener, move |request, stream| {
            stream.write_all(&shared.handle(request))?;
            Ok(true)
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state();
        state.remove(kind, name);
        state.revision += 1;
        let object = object(name, state.revision, spec);
        state.add_change(kind, &object, false);
        state
            .objects
            .push((kind.to_owned(), name.to_owned(), object));
        state.objects.sort();
        self.changed.notify_all();
    }

    /// Waits for the next change of an object of this kind.
    pub fn wait_for_change(&self, kind: &str) {
        let mut state = self.state();
        let known = state.changes.len();
        while !state.changes[known..].iter().any(|(_, of, _)| of == kind) {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let Some(rest) = request.path().strip_prefix("/objects/") else {
            return json_response(404, "{}");
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        match (request.method(), name) {
            ("GET", None) => match request.query("watch") {
                Some(revision) => self.watch(kind, revision.parse().unwrap_or(0), request),
                None => self.list(kind),
            },
            ("POST", None) => self.create(kind, request),
            ("DELETE", Some(name)) => self.delete(kind, name),
            _ => json_response(404, "{}"),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.state();
        let items = state.objects.iter().filter(|(of, _, _)| of == kind);
        let items: Vec<&str> = items.map(|(_, _, object)| object.as_str()).collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        );
        json_response(200, &body)
    }

    fn watch(&self, kind: &str, after: u64, request: &Message) -> Vec<u8> {
        let wait = request.query("wait-ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.state();
        loop {
            let changes = state.changes.iter();
            let events = changes.filter(|(revision, of, _)| *revision > after && of == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"at\":{at}}}");
                return json_response(200, &body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn create(&self, kind: &str, request: &Message) -> Vec<u8> {
        let body = request.body_text();
        let name = Json::parse(&body).and_then(|object| {
            let name = object.get("metadata")?.get("name")?.text()?;
            Some(name.to_owned())
        });
        let Some(name) = name else {
            return json_response(400, "{}");
        };
        let mut state = self.state();
        let exists = |entry: &&(String, String, String)| entry.0 == kind && entry.1 == name;
        if let Some((_, _, object)) = state.objects.iter().find(exists) {
            return json_response(409, object);
        }
        state.revision += 1;
        let spec = body
            .split_once("\"spec\":")
            .map_or("{}", |(_, rest)| rest.strip_suffix('}').unwrap_or(rest));
        let object = object(&name, state.revision, spec);
        state.add_change(kind, &object, false);
        state.objects.push((kind.to_owned(), name, object.clone()));
        self.changed.notify_all();
        json_response(200, &object)
    }

    fn delete(&self, kind: &str, name: &str) -> Vec<u8> {
        let mut state = self.state();
        let Some(object) = state.remove(kind, name) else {
            return json_response(404, "{}");
        };
        state.revision += 1;
        state.add_change(kind, &object, true);
        self.changed.notify_all();
        json_response(200, "{}")
    }
}

impl State {
    fn remove(&mut self, kind: &str, name: &str) -> Option<String> {
        let found = |entry: &(String, String, String)| entry.0 == kind && entry.1 == name;
        let at = self.objects.iter().position(found)?;
        Some(self.objects.remove(at).2)
    }

    fn add_change(&mut self, kind: &str, object: &str, gone: bool) {
        let event = format!("{{\"gone\":{gone},\"object\":{object}}}");
        self.changes.push((self.revision, kind.to_owned(), event));
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
