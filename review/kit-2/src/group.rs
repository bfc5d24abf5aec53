//! A rank group of model workers, as the pages describe it: reports, counts, orders and passes.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message, json_response, response};
use crate::json::Json;
use crate::note;
use crate::record::Record;

pub const EXPERTS: usize = 8;
const PLACES: usize = 6;
const SPARE: usize = 4;

/// The size of an expert and the rate at which a rank copies experts, as in the manifest.
pub const EXPERT_MB: f64 = 100.0;
pub const LINK_MBPS: f64 = 92_000.0;

/// The time that a pass takes.
const PASS_TIME: Duration = Duration::from_millis(30);

/// How long one hot expert stays hot, in passes.
const SHIFT_PASSES: u64 = 100;

/// How long after it has arrived an order is carried out that gets no answer.
const LATE_TIME: Duration = Duration::from_secs(3);

thread_local! {
    /// The last report that was sent over this connection, which has a thread of its own.
    static LAST_REPORT: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The experts of every rank, for the one set of layers.
type Map = Vec<Vec<u16>>;

#[derive(Debug)]
struct Copy {
    version: u64,
    map: Map,
    done_at: Instant,
}

#[derive(Debug)]
struct Rank {
    id: String,
    born: u64,
    fence: u64,
    sequence: u64,
    active: u64,
    map: Map,
    copy: Option<Copy>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    running: usize,
}

impl Rank {
    fn prepared(&self) -> Option<&Copy> {
        self.copy
            .as_ref()
            .filter(|copy| Instant::now() >= copy.done_at)
    }
}

#[derive(Debug)]
struct State {
    step: u64,
    ranks: Vec<Rank>,
    /// Passes that began while two ranks had different maps.
    mixed: u64,
    switches: u64,
}

/// A group of ranks whose engines run in lock-step.
#[derive(Debug)]
pub struct Group {
    pub name: &'static str,
    epoch: u64,
    pub addresses: Vec<SocketAddr>,
    state: Mutex<State>,
    stepped: Condvar,
    /// The rank whose next order to arm gets no answer and is carried out late, while a second copy of its last report comes.
    faulty: AtomicUsize,
    record: Record,
}

/// No rank is faulty.
const SOUND: usize = usize::MAX;

impl Group {
    /// Starts the engines of a group; `ids` are their identifiers, by rank.
    pub fn start(
        name: &'static str,
        ids: &[&str],
        addresses: Vec<SocketAddr>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let size = ids.len();
        let turn =
            |rank: usize| (0..EXPERTS as u16).filter(move |one| usize::from(*one) % size == rank);
        let map: Map = (0..size).map(|rank| turn(rank).collect()).collect();
        let rank = |id: &&str| Rank {
            id: (*id).to_owned(),
            born: born_now(),
            fence: 0,
            sequence: 0,
            active: 0,
            map: map.clone(),
            copy: None,
            highest: 0,
            armed: None,
            held: None,
            counts: vec![0; EXPERTS],
            running: 0,
        };
        let group = Arc::new(Self {
            name,
            epoch: 1,
            addresses,
            state: Mutex::new(State {
                step: 0,
                ranks: ids.iter().map(rank).collect(),
                mixed: 0,
                switches: 0,
            }),
            stepped: Condvar::new(),
            faulty: AtomicUsize::new(SOUND),
            record: record.clone(),
        });
        for rank in 0..size {
            let shared = Arc::clone(&group);
            let listener = TcpListener::bind(group.addresses[rank])?;
            http::serve(listener, move |request, stream| {
                shared.handle(rank, request, stream)
            });
        }
        let shared = Arc::clone(&group);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(PASS_TIME);
                shared.begin_pass();
            }
        });
        Ok(group)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many passes began, began on different maps, and switched the map.
    pub fn passes(&self) -> (u64, u64, u64) {
        let state = self.state();
        (state.step, state.mixed, state.switches)
    }

    /// Returns the entry that a rank writes to the store.
    pub fn entry(&self, rank: usize, service: &str) -> (String, String) {
        let state = self.state();
        let Rank { id, born, .. } = &state.ranks[rank];
        let (address, name, epoch) = (self.addresses[rank], self.name, self.epoch);
        let size = state.ranks.len();
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"bergen-a","version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"born":{born},"seq":0,"group":{{"name":"{name}","epoch":{epoch},"rank":{rank},"state":"open"}},"size":{size}}}"#
        );
        (id.clone(), entry)
    }

    /// Begins the next pass, unless the group is idle or holds it.
    fn begin_pass(&self) {
        let mut state = self.state();
        if state.ranks.iter().all(|rank| rank.running == 0) {
            return;
        }
        let next = state.step + 1;
        if state
            .ranks
            .iter()
            .any(|rank| rank.held.is_some_and(|held| next >= held))
        {
            return;
        }
        state.step = next;
        let hot = (next / SHIFT_PASSES) as usize % EXPERTS;
        let mut switched = false;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, step)| step == next)
                && let Some(copy) = rank.copy.take()
            {
                rank.armed = None;
                rank.active = copy.version;
                rank.map = copy.map;
                switched = true;
            }
            for (expert, count) in rank.counts.iter_mut().enumerate() {
                *count += if expert == hot { 40 } else { 2 };
            }
        }
        let first = (state.ranks[0].active, state.ranks[0].map.clone());
        let is_mixed = state
            .ranks
            .iter()
            .any(|rank| (rank.active, &rank.map) != (first.0, &first.1));
        state.switches += u64::from(switched);
        state.mixed += u64::from(is_mixed);
        if switched || is_mixed && state.mixed <= 5 {
            let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.active).collect();
            let verdict = if is_mixed {
                "DIFFERENT MAPS"
            } else {
                "one map"
            };
            note!(
                self.record,
                "{} pass {next} begins: versions by rank {versions:?}: {verdict}",
                self.name
            );
        }
        drop(state);
        self.stepped.notify_all();
    }

    /// Has the next order to arm a rank fail.
    pub fn disturb(&self, rank: usize) {
        self.faulty.store(rank, Ordering::Relaxed);
    }

    fn handle(
        self: &Arc<Self>,
        rank: usize,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        match (request.method(), request.path()) {
            ("GET", "/report") => {
                let answer = json_response(200, &self.report(rank));
                stream.write_all(&answer)?;
                LAST_REPORT.set(answer);
            }
            ("GET", "/picked") => {
                stream.write_all(&json_response(200, &self.picked(rank, request)))?
            }
            ("POST", "/order") if self.is_disturbed(rank, request) => {
                self.carry_out_late(rank, request.body_text());
                stream.write_all(&LAST_REPORT.take())?;
            }
            ("POST", "/order") => {
                let status = self.order(rank, &request.body_text());
                stream.write_all(&json_response(status, "{}"))?;
            }
            ("GET", "/health") => {
                let id = self.state().ranks[rank].id.clone();
                stream.write_all(&response(200, &[("X-Instance-Id", &id)], ""))?;
            }
            _ => return self.generate(rank, request, stream),
        }
        Ok(true)
    }

    fn report(&self, rank: usize) -> String {
        let state = self.state();
        let size = state.ranks.len();
        let (name, epoch, step) = (self.name, self.epoch, state.step);
        let this = &state.ranks[rank];
        let or_null =
            |value: Option<u64>| value.map_or("null".to_owned(), |value| value.to_string());
        let armed = this.armed.map_or("null".to_owned(), |(version, step)| {
            format!(r#"{{"version":{version},"step":{step}}}"#)
        });
        let busy = this.copy.is_some() && this.prepared().is_none();
        let prepared = or_null(this.prepared().map(|copy| copy.version));
        let Rank {
            born,
            sequence,
            active,
            running,
            ..
        } = this;
        format!(
            r#"{{"born":{born},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{busy},"seq":{sequence},"waiting":0,"running":{running},"kv-used":100,"kv-total":494000,"handles":0,"pace":1.0,"group":{{"name":"{name}","epoch":{epoch},"rank":{rank},"state":"open"}},"size":{size},"step":{step},"map":{active},"prepared":{prepared},"armed":{armed},"held":{}}}"#,
            or_null(this.held)
        )
    }

    fn picked(&self, rank: usize, request: &Message) -> String {
        let state = self.state();
        let this = &state.ranks[rank];
        let counts: Vec<String> = this.counts.iter().map(u64::to_string).collect();
        let mut text = format!(
            r#"{{"step":{},"epoch":{},"counts":[{}]"#,
            state.step,
            self.epoch,
            counts.join(",")
        );
        if request.query("lists").is_some() {
            text += &format!(
                r#","map":{{"version":{},"experts":[{:?}]}},"prepared":null"#,
                this.active, this.map[rank]
            );
        }
        text + "}"
    }

    fn order(&self, at: usize, body: &str) -> u16 {
        let Some(order) = Json::parse(body) else {
            return 400;
        };
        let mut state = self.state();
        let step = state.step;
        let status = carry_out(&mut state.ranks[at], at, step, self.epoch, &order);
        let op = order.get("op").and_then(Json::text).unwrap_or_default();
        let number = |name| order.number_of(name).unwrap_or(0);
        note!(
            self.record,
            "{} rank {at} at pass {step}: order {op} version {} step {} from term {}: {status}",
            self.name,
            number("version"),
            number("step"),
            number("fence")
        );
        status
    }

    /// Returns whether this is the order that is to fail; a copy of a report needs one that was sent over the same connection.
    fn is_disturbed(&self, rank: usize, request: &Message) -> bool {
        let is_arm = request.body_text().contains("\"op\":\"arm\"");
        let has_report = LAST_REPORT.with_borrow(|report| !report.is_empty());
        let wanted = is_arm && has_report;
        wanted
            && self
                .faulty
                .compare_exchange(rank, SOUND, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    fn carry_out_late(self: &Arc<Self>, rank: usize, body: String) {
        note!(
            self.record,
            "{} rank {rank}: an order to arm gets no answer and is carried out in {} s; the second copy of the last report comes",
            self.name,
            LATE_TIME.as_secs()
        );
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(LATE_TIME);
            group.order(rank, &body);
        });
    }

    /// Runs a request: one event a pass, as many as its path says.
    fn generate(&self, rank: usize, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let Some(id) = request.header("x-attempt-id") else {
            stream.write_all(&response(400, &[("X-Not-Executed", "1")], ""))?;
            return Ok(true);
        };
        let own = self.state().ranks[rank].id.clone();
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != own)
        {
            stream.write_all(&response(
                421,
                &[("X-Attempt-Id", id), ("X-Instance-Id", &own)],
                "",
            ))?;
            return Ok(true);
        }
        let events: u64 = request
            .path()
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        let resumed = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.state().ranks[rank].running += 1;
        let sent = self.write_events(stream, &head, resumed.unwrap_or(0), events);
        self.state().ranks[rank].running -= 1;
        sent.map(|()| true)
    }

    fn write_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        last: u64,
        events: u64,
    ) -> io::Result<()> {
        stream.write_all(head.as_bytes())?;
        let mut seen = self.state().step;
        for number in last + 1..=events {
            let mut state = self.state();
            while state.step == seen {
                let waited = self.stepped.wait_timeout(state, Duration::from_secs(10));
                let (next, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
                state = next;
                if timeout.timed_out() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            seen = state.step;
            drop(state);
            let event = format!("id: {number}\ndata: token {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Carries out an order as the pages say; returns the status of the answer.
fn carry_out(rank: &mut Rank, at: usize, step: u64, epoch: u64, order: &Json) -> u16 {
    let number = |name| order.number_of(name);
    let fence = number("fence").unwrap_or(0);
    if fence < rank.fence {
        return 412;
    }
    rank.fence = fence;
    if number("epoch").is_some_and(|wanted| wanted != epoch) {
        return 409;
    }
    let (version, wanted) = (number("version").unwrap_or(0), number("step").unwrap_or(0));
    let op = order.get("op").and_then(Json::text).unwrap_or_default();
    let holds = match op {
        "prepare" => rank
            .copy
            .as_ref()
            .is_some_and(|copy| copy.version == version),
        "arm" => rank.armed == Some((version, wanted)),
        "disarm" => rank.armed.is_none_or(|(armed, _)| armed != version) && rank.active != version,
        "hold" => rank.held == Some(wanted),
        "go" => rank.held != Some(wanted),
        _ => return 400,
    };
    if holds {
        return 200;
    }
    if number("expected-revision").is_some_and(|expected| expected != rank.sequence) {
        return 409;
    }
    match op {
        "prepare" => prepare(rank, at, version, order),
        "arm" => {
            let is_prepared = rank.prepared().is_some_and(|copy| copy.version == version);
            if !is_prepared || wanted <= step {
                return 409;
            }
            rank.armed = Some((version, wanted));
            200
        }
        "disarm" if rank.active == version => 409,
        "disarm" => {
            rank.armed = None;
            200
        }
        "hold" if wanted <= step || rank.held.is_some() => 409,
        "hold" => {
            rank.held = Some(wanted);
            200
        }
        _ => {
            rank.held = None;
            200
        }
    }
}

fn prepare(rank: &mut Rank, at: usize, version: u64, order: &Json) -> u16 {
    let sets = order.get("map").map_or(&[][..], Json::list);
    let experts = |list: &Json| {
        list.list()
            .iter()
            .filter_map(Json::number)
            .map(|one| one as u16)
            .collect()
    };
    let map: Map = sets
        .first()
        .map_or(&[][..], Json::list)
        .iter()
        .map(experts)
        .collect();
    let held: BTreeSet<u16> = rank.map[at].iter().copied().collect();
    let Some(own) = map.get(at) else {
        return 409;
    };
    let new = own.iter().filter(|expert| !held.contains(expert)).count();
    let all: BTreeSet<u16> = map.iter().flatten().copied().collect();
    let fits = own.len() <= PLACES && all.len() == EXPERTS && new <= SPARE;
    if version <= rank.highest || rank.armed.is_some() || !fits {
        return 409;
    }
    let seconds = new as f64 * EXPERT_MB * 8.0 / LINK_MBPS;
    rank.highest = version;
    rank.sequence += 1;
    rank.copy = Some(Copy {
        version,
        map,
        done_at: Instant::now() + Duration::from_secs_f64(seconds),
    });
    202
}

/// Returns the time of day in milliseconds.
pub fn born_now() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
