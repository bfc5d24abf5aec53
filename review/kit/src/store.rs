//! A stand-in for the platform's store: objects by kind and name, lists, watches, and a restore from an older copy.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Message, respond};

/// One object, as the text of its `spec`.
#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    gone: bool,
}

#[derive(Debug, Clone)]
struct State {
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// The store. Its methods are the writes of the operator and the workers.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// The callers that are turned away, by a mark in the address that they call; empty for none.
    pub away: Mutex<bool>,
}

/// A copy of the store's data.
pub struct Copy(State);

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                era: 1,
                revision: 100,
                objects: BTreeMap::new(),
                history: Vec::new(),
            }),
            changed: Condvar::new(),
            away: Mutex::new(false),
        })
    }

    /// Writes an object; one that is already there with the same content is left as it is.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state
            .objects
            .get(&key)
            .is_some_and(|object| object.spec == spec)
        {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            spec: spec.to_owned(),
        };
        state.objects.insert(key, object);
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.to_owned(),
            gone: false,
        });
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: object.spec,
            gone: true,
        });
        self.changed.notify_all();
        true
    }

    /// Returns a copy of all data, as it is now.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Comes back from a copy: revisions go back, and the era rises by one.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = copy.0.clone();
        state.era = era;
        self.changed.notify_all();
    }

    fn list(state: &State, kind: &str) -> String {
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((own, _), _)| own == kind)
            .map(|((_, name), object)| envelope(name, object.revision, &object.spec))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    /// Returns the changes of a kind after a revision, as soon as there is one; `None` if that history is gone.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u64, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era || after > state.revision {
                return None;
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.kind == kind && change.revision > after)
                .map(|change| {
                    let object = envelope(&change.name, change.revision, &change.spec);
                    format!("{{\"object\":{object},\"gone\":{}}}", change.gone)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((state.era, body));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn era(&self) -> u64 {
        self.state.lock().unwrap().era
    }
}

fn envelope(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Returns the value of a parameter of a query.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(own, _)| *own == name).map(|(_, value)| value)
}

/// Returns the name and the `spec` of an object that the system creates: `{"metadata":{"name":NAME},"spec":SPEC}`.
fn created(body: &str) -> Option<(String, String)> {
    let name = body.split("\"name\":\"").nth(1)?.split('"').next()?;
    let spec = body.split_once("\"spec\":")?.1.strip_suffix('}')?;
    Some((name.to_owned(), spec.to_owned()))
}

impl Handler for Store {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if *self.away.lock().unwrap() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut words = path.trim_start_matches("/objects/").split('/');
        let kind = words.next().unwrap_or_default().to_owned();
        let name = words.next().unwrap_or_default().to_owned();
        let number = |name| parameter(query, name).and_then(|value| value.parse::<u64>().ok());
        let (status, body) = match request.word(0) {
            "GET" => match number("watch") {
                Some(after) => {
                    let wait = Duration::from_millis(number("wait-ms").unwrap_or_default());
                    match self.watch(&kind, after, wait) {
                        Some((_, body)) => ("200 OK", body),
                        None => ("410 Gone", String::new()),
                    }
                }
                None => ("200 OK", Self::list(&self.state.lock().unwrap(), &kind)),
            },
            "POST" => match created(&String::from_utf8_lossy(&request.body)) {
                Some((name, spec)) => {
                    self.put(&kind, &name, &spec);
                    ("201 Created", String::from("{}"))
                }
                None => ("400 Bad Request", String::new()),
            },
            "DELETE" => match self.remove(&kind, &name) {
                true => ("200 OK", String::from("{}")),
                false => ("404 Not Found", String::new()),
            },
            _ => ("405 Method Not Allowed", String::new()),
        };
        if *self.away.lock().unwrap() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let era = self.era().to_string();
        let fields = [("content-type", "application/json"), ("store-era", &*era)];
        respond(stream, status, &fields, body.as_bytes())
    }
}
