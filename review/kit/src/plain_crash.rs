//! One part of a prompt crashes each worker that begins to write an answer on it. The answers have a length and are no streams: the
//! worker has written the head and the first bytes when it crashes.

use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Entry, HEARTBEAT, MODEL, WINDOW_MS, ZONES, request};
use crate::http::{Handler, Message, Server, call, respond};
use crate::record::Record;
use crate::store::Store;
use crate::workers::turn_away;

/// The part of a prompt that crashes workers.
pub const BAD_PART: &str = "5c1e07a2";

/// How long a worker is away after a crash.
const AWAY: Duration = Duration::from_millis(2_000);

/// The most requests with the part that may reach workers from `WINDOW_MS` after the fifth crash on.
pub const LATE_MAX: usize = 3;

/// What all workers have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// When requests with the part reached a worker.
    pub arrivals: Vec<u64>,
    pub crashes: Vec<u64>,
    pub sound: u64,
}

impl Seen {
    /// Returns the verdict on the rule, and the requests that reached workers too late.
    pub fn verdict(&self) -> Verdict {
        let Some(fifth) = self.crashes.get(4) else {
            return Verdict::Held;
        };
        let after = fifth + WINDOW_MS;
        let late = self.arrivals.iter().filter(|at| **at > after).count();
        match late > LATE_MAX {
            true => Verdict::Broken(format!(
                "{late} requests with the part reached workers later than {WINDOW_MS} ms after the fifth crash (at {fifth} ms); \
                 {} crashes in all, {} sound requests answered",
                self.crashes.len(),
                self.sound
            )),
            false => Verdict::Held,
        }
    }
}

/// A worker that crashes as it begins to write an answer on the part, while `is_bad`.
pub struct FragileWorker {
    pub id: String,
    pub record: Record,
    pub seen: Arc<Mutex<Seen>>,
    pub is_bad: Arc<AtomicBool>,
    /// Whether the answers are streams.
    pub streams: bool,
    pub crash: Mutex<Sender<()>>,
}

impl FragileWorker {
    fn write_stream(&self, id: &str, stream: &mut TcpStream, crashes: bool) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=4 {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            if crashes {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(30));
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn write_plain(&self, id: &str, stream: &mut TcpStream, crashes: bool) -> io::Result<()> {
        let fields = [("x-attempt-id", id), ("x-response-signature", "3e1b.07")];
        if !crashes {
            return respond(stream, "200 OK", &fields, b"a draft of one hundred bytes");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\n\
             content-length: 28\r\n\r\na draft of"
        );
        stream.write_all(head.as_bytes())
    }
}

impl Handler for FragileWorker {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if turn_away(&self.id, request, stream)? {
            return Ok(());
        }
        let id = request.field("x-attempt-id").unwrap_or_default();
        let parts = request.field("x-prompt-prefix").unwrap_or_default();
        let at = self.record.line(&format!("{} runs {id} {parts}", self.id));
        let has_part = parts.contains(BAD_PART);
        let crashes = has_part && self.is_bad.load(Ordering::Relaxed);
        if crashes {
            self.seen.lock().unwrap().arrivals.push(at);
        }
        let written = match self.streams {
            true => self.write_stream(id, stream, crashes),
            false => self.write_plain(id, stream, crashes),
        };
        if crashes {
            let at = self.record.line(&format!("{} crashes", self.id));
            self.seen.lock().unwrap().crashes.push(at);
            let _ = self.crash.lock().unwrap().send(());
            thread::sleep(Duration::from_secs(1));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.seen.lock().unwrap().sound += u64::from(!has_part);
        written
    }
}

/// Keeps one worker alive: after each crash it is back after some seconds, under a new identifier. Its old entry lapses.
pub struct Keeper {
    pub number: usize,
    pub zone: &'static str,
    pub streams: bool,
    pub record: Record,
    pub seen: Arc<Mutex<Seen>>,
    pub is_bad: Arc<AtomicBool>,
    pub is_over: Arc<AtomicBool>,
}

impl Keeper {
    fn spawn(
        &self,
        address: SocketAddr,
        life: usize,
    ) -> io::Result<(String, Entry, Server, std::sync::mpsc::Receiver<()>)> {
        let id = format!("i-{}-{life}", self.number);
        let (sender, crashed) = channel();
        let worker = FragileWorker {
            id: id.clone(),
            record: self.record.clone(),
            seen: Arc::clone(&self.seen),
            is_bad: Arc::clone(&self.is_bad),
            streams: self.streams,
            crash: Mutex::new(sender),
        };
        let server = Server::start(address, Arc::new(worker))?;
        let entry = Entry {
            service: MODEL,
            address: server.address,
            zone: self.zone,
            state: "ready",
            born: 1_700_000_000_000 + (life * 10 + self.number) as u64,
        };
        Ok((id, entry, server, crashed))
    }

    /// Starts the worker; returns a thread that keeps it alive until the case is over.
    pub fn start(self, store: Arc<Store>) -> io::Result<thread::JoinHandle<()>> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (mut id, entry, mut server, mut crashed) = self.spawn(any, 0)?;
        let address = server.address;
        store.put("servers", &id, &entry.spec());
        Ok(thread::spawn(move || {
            let mut life = 0;
            while !self.is_over.load(Ordering::Relaxed) {
                if crashed.recv_timeout(Duration::from_millis(100)).is_err() {
                    continue;
                }
                server.stop();
                let (old, lapsing) = (id.clone(), Arc::clone(&store));
                thread::spawn(move || {
                    thread::sleep(HEARTBEAT * 3);
                    lapsing.remove("servers", &old);
                });
                thread::sleep(AWAY);
                life += 1;
                let Ok((new, entry, next, receiver)) = self.spawn(address, life) else {
                    break;
                };
                self.record.line(&format!("{id} is back as {new}"));
                store.put("servers", &new, &entry.spec());
                (id, server, crashed) = (new, next, receiver);
            }
            server.stop();
        }))
    }
}

/// Sends requests at intervals to the gateways in turn until the case is over. Those with the part have another last part each.
pub fn spawn_client(
    record: &Record,
    fronts: Vec<SocketAddr>,
    interval: Duration,
    has_part: bool,
    streams: bool,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    let mark = if has_part { 'p' } else { 's' };
    thread::spawn(move || {
        let number = AtomicU64::new(0);
        let mut calls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let count = number.fetch_add(1, Ordering::Relaxed);
            let front = fronts[count as usize % fronts.len()];
            let (id, record) = (format!("{mark}{count:05}"), record.clone());
            let first = match has_part {
                true => BAD_PART.to_owned(),
                false => format!("0d{:06x}", count % 20),
            };
            calls.push(thread::spawn(move || {
                let fields = format!(
                    "X-Model: m\r\nX-Token-Count: 60,80\r\nX-Prompt-Prefix: {first}:40,{count:x}ff:20\r\nContent-Length: {}\r\n",
                    id.len()
                );
                let route = if streams { "ask" } else { "check" };
                let sent = request("POST", &format!("/{route}/{id}"), &id, 8_000, &fields) + &id;
                record.line(&format!("client sends {id}"));
                let answer = call(front, &sent, Duration::from_secs(9));
                let (status, complete) = answer.map_or((0, false), |answer| (answer.message.status(), answer.complete));
                record.line(&format!("client gets {status} for {id}, complete: {complete}"));
            }));
            thread::sleep(interval);
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

/// Plays the case; `bad_after` is how long the part is sound before it begins to crash workers.
pub fn play(
    record: &Record,
    trouble: bool,
    streams: bool,
    bad_after: Duration,
    zones: &[&str],
    length: Duration,
) -> io::Result<Verdict> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let is_bad = Arc::new(AtomicBool::new(trouble && bad_after.is_zero()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut keepers = Vec::new();
    let mut started = Ok(());
    let deployment = Deployment::start(record, zones, |_| {})?;
    for (number, zone) in ZONES.into_iter().cycle().take(6).enumerate() {
        let keeper = Keeper {
            number: number + 1,
            zone,
            streams,
            record: record.clone(),
            seen: Arc::clone(&seen),
            is_bad: Arc::clone(&is_bad),
            is_over: Arc::clone(&is_over),
        };
        match keeper.start(Arc::clone(&deployment.store)) {
            Ok(keeper) => keepers.push(keeper),
            Err(error) => started = Err(error),
        }
    }
    started?;
    thread::sleep(Duration::from_millis(WINDOW_MS + 1_000));
    let fronts: Vec<SocketAddr> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.front)
        .collect();
    let clients = [
        spawn_client(
            record,
            fronts.clone(),
            Duration::from_millis(100),
            false,
            streams,
            Arc::clone(&is_over),
        ),
        spawn_client(
            record,
            fronts,
            Duration::from_millis(250),
            true,
            streams,
            Arc::clone(&is_over),
        ),
    ];
    thread::sleep(bad_after);
    if trouble {
        record.line("from now on the part crashes workers");
        is_bad.store(true, Ordering::Relaxed);
    }
    thread::sleep(length);
    is_over.store(true, Ordering::Relaxed);
    for thread in clients.into_iter().chain(keepers) {
        let _ = thread.join();
    }
    let seen = seen.lock().unwrap();
    record.line(&format!(
        "{} crashes, {} arrivals with the part, {} sound requests",
        seen.crashes.len(),
        seen.arrivals.len(),
        seen.sound
    ));
    Ok(seen.verdict())
}

/// The same with streams: this is what the gateways notice.
pub fn run_streams(record: &Record, trouble: bool) -> io::Result<Verdict> {
    play(
        record,
        trouble,
        true,
        Duration::ZERO,
        &ZONES,
        Duration::from_secs(30),
    )
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    play(
        record,
        trouble,
        false,
        Duration::ZERO,
        &ZONES[..2],
        Duration::from_secs(30),
    )
}
