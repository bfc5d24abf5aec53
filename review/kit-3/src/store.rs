//! The platform's store: objects by kind and name, lists and watches (PROTOCOL.md, "The platform's metadata store").

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_head, read_request_body};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Vec<u8>,
}

/// A copy of all objects.
pub struct Copy {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: Vec<u8>,
    gone: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
    /// How often the store has come back from a copy, and one.
    era: u64,
    /// Whether it answers nobody.
    is_away: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn render(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let metadata = format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":1,"finalizers":[],"deleting":false}},"spec":"#
    );
    [metadata.as_bytes(), spec, br#","status":null}"#].concat()
}

impl Store {
    /// Starts a store on a free port of loopback.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Self {
            address: listener.local_addr().expect("its address"),
            state: Arc::new((
                Mutex::new(State {
                    revision: 100,
                    era: 1,
                    ..State::default()
                }),
                Condvar::new(),
            )),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object; returns the revision, which confirms it.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.revision += 1;
        let revision = state.revision;
        let objects = state.kinds.entry(kind.to_owned()).or_default();
        objects.insert(
            name.to_owned(),
            Object {
                revision,
                spec: spec.to_vec(),
            },
        );
        let event = (kind.to_owned(), name.to_owned(), spec.to_vec());
        state.events.push(Event {
            revision,
            kind: event.0,
            name: event.1,
            spec: event.2,
            gone: false,
        });
        changed.notify_all();
        revision
    }

    /// Writes an object like [`Store::put`], unless that changes nothing.
    pub fn put_if_changed(&self, kind: &str, name: &str, spec: &[u8]) {
        let is_same = {
            let state = self.state.0.lock().expect("the state");
            let known = state.kinds.get(kind).and_then(|objects| objects.get(name));
            state.is_away || known.is_some_and(|object| object.spec == spec)
        };
        if !is_same {
            self.put(kind, name, spec);
        }
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().expect("the state");
        Copy {
            revision: state.revision,
            kinds: state.kinds.clone(),
        }
    }

    /// Stops answering.
    pub fn leave(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("the state").is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy.
    pub fn come_back(&self, copy: Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.is_away = false;
        state.era += 1;
        state.revision = copy.revision;
        state.kinds = copy.kinds;
        state.events.clear();
        changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let Some(object) = state
            .kinds
            .get_mut(kind)
            .and_then(|objects| objects.remove(name))
        else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let event = (kind.to_owned(), name.to_owned());
        state.events.push(Event {
            revision,
            kind: event.0,
            name: event.1,
            spec: object.spec,
            gone: true,
        });
        changed.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        loop {
            let (start, fields) = read_head(&mut reader).ok()??;
            let body = read_request_body(&mut reader, &fields).ok()?;
            let mut words = start.split(' ');
            let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
            let (status, body) = self.handle(&method, &target, &String::from_utf8_lossy(&body));
            let (era, is_away) = {
                let state = self.state.0.lock().expect("the state");
                (state.era, state.is_away)
            };
            if is_away {
                return None;
            }
            write_answer(&mut stream, status, era, &body).ok()?;
        }
    }

    fn handle(&self, method: &str, target: &str, body: &str) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("");
        let name = parts.next();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        match (method, name) {
            ("GET", None) => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(from) => {
                    let wait = parameter("wait-ms").and_then(|text| text.parse().ok());
                    match self.watch(kind, from, Duration::from_millis(wait.unwrap_or(0))) {
                        Some(changes) => (200, changes),
                        None => (410, b"{}".to_vec()),
                    }
                }
                None => (200, self.list(kind)),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().expect("the state");
                match state.kinds.get(kind).and_then(|objects| objects.get(name)) {
                    Some(object) => (200, render(name, object.revision, &object.spec)),
                    None => (404, b"{}".to_vec()),
                }
            }
            ("POST", None) => self.create(kind, body),
            ("DELETE", Some(name)) => match self.remove(kind, name) {
                true => (200, b"{}".to_vec()),
                false => (404, b"{}".to_vec()),
            },
            _ => (400, b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.state.0.lock().expect("the state");
        let objects = state.kinds.get(kind).into_iter().flatten();
        let items: Vec<Vec<u8>> = objects
            .map(|(name, object)| render(name, object.revision, &object.spec))
            .collect();
        let last = format!(r#"],"more":false,"at":{}}}"#, state.revision);
        [
            br#"{"items":["#,
            items.join(&b',').as_slice(),
            last.as_bytes(),
        ]
        .concat()
    }

    /// Returns the changes after a revision; `None` if that history is gone.
    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Option<Vec<u8>> {
        let by = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let era = state.era;
        loop {
            if from > state.revision || state.era != era || state.is_away {
                return None;
            }
            let events = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > from);
            let events: Vec<Vec<u8>> = events
                .map(|event| {
                    let object = render(&event.name, event.revision, &event.spec);
                    let first = format!(r#"{{"gone":{},"object":"#, event.gone);
                    [first.as_bytes(), object.as_slice(), b"}"].concat()
                })
                .collect();
            let left = by.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let last = format!(r#"],"at":{}}}"#, state.revision);
                return Some(
                    [
                        br#"{"events":["#,
                        events.join(&b',').as_slice(),
                        last.as_bytes(),
                    ]
                    .concat(),
                );
            }
            state = changed.wait_timeout(state, left).expect("the state").0;
        }
    }

    /// Creates an object of the system's own: `{"metadata":{"name":...},"spec":...}`.
    fn create(&self, kind: &str, body: &str) -> (u16, Vec<u8>) {
        let name = body
            .split_once(r#""name":""#)
            .and_then(|(_, rest)| rest.split_once('"'));
        let spec = body.split_once(r#""spec":"#).map(|(_, rest)| rest);
        let (Some((name, _)), Some(spec)) = (name, spec) else {
            return (400, b"{}".to_vec());
        };
        let spec = spec.strip_suffix('}').unwrap_or(spec);
        let is_known = {
            let state = self.state.0.lock().expect("the state");
            state
                .kinds
                .get(kind)
                .is_some_and(|objects| objects.contains_key(name))
        };
        if is_known {
            return (409, b"{}".to_vec());
        }
        let revision = self.put(kind, name, spec.as_bytes());
        (200, render(name, revision, spec.as_bytes()))
    }
}

fn write_answer(stream: &mut TcpStream, status: u16, era: u64, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}
