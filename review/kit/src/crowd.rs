//! Clients leave before they are answered, at a gateway whose core has a usage cap.

use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{BOOKING, Deployment, Entry, MODEL, ZONES, request};
use crate::http::{Handler, Message, Reader, Server, call, respond};
use crate::record::Record;
use crate::store::Store;
use crate::watchdog;
use crate::workers::turn_away;

/// How many clients leave, and for how long.
const CLIENTS: usize = 27;
const STORM: Duration = Duration::from_millis(5_500);

/// The longest time after which such a client leaves: half the objective of its requests.
const LEAVES_WITHIN_MS: u64 = 150;

/// How many times clients begin to leave, and the time between.
const STORMS: usize = 4;
const CALM: Duration = Duration::from_millis(2_000);

/// How long the traffic goes on after the last storm.
const AFTER: Duration = Duration::from_secs(30);

/// The core of a machine runs at full speed until the cap is used up, and then not at all for the rest of that tenth of a second.
const RUNS: Duration = Duration::from_millis(50);
const STOPS: Duration = Duration::from_millis(50);

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

/// A sound worker with slots: it takes some time for each request, and turns away what it has no slot for.
struct SlotWorker {
    id: String,
    record: Record,
    work: Duration,
    running: Mutex<usize>,
    slots: usize,
}

impl Handler for SlotWorker {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if turn_away(&self.id, request, stream)? {
            return Ok(());
        }
        let id = request.field("x-attempt-id").unwrap_or_default();
        let running = {
            let mut running = self.running.lock().unwrap();
            *running += 1;
            *running
        };
        let load = format!("{},0,{}", running.min(self.slots), self.slots);
        let result = if running > self.slots {
            let fields = [
                ("x-attempt-id", id),
                ("x-not-executed", "1"),
                ("x-server-load", &*load),
            ];
            respond(stream, "503 Service Unavailable", &fields, b"")
        } else {
            self.record.line(&format!("{} runs {id}", self.id));
            thread::sleep(self.work);
            let fields = [
                ("x-attempt-id", id),
                ("x-response-signature", "3e1b.07"),
                ("x-server-load", &*load),
            ];
            respond(stream, "200 OK", &fields, b"booked")
        };
        *self.running.lock().unwrap() -= 1;
        result
    }
}

/// How a kind of request was served.
#[derive(Debug, Default)]
struct Served {
    sent: usize,
    served: usize,
}

fn spawn_client(
    record: &Record,
    front: SocketAddr,
    path: &'static str,
    interval: Duration,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<Served> {
    let record = record.clone();
    thread::spawn(move || {
        let mut calls = Vec::new();
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{}{number:05}", &path[1..2]);
            let record = record.clone();
            calls.push(thread::spawn(move || {
                let sent = request("POST", path, &id, 4_000, "Content-Length: 0\r\n");
                record.line(&format!("client sends {id}"));
                let answer = call(front, &sent, Duration::from_secs(5));
                let status = answer.map_or(0, |answer| answer.message.status());
                record.line(&format!("client gets {status} for {id}"));
                status == 200
            }));
            thread::sleep(interval);
        }
        let mut served = Served::default();
        for call in calls {
            served.sent += 1;
            served.served += usize::from(call.join().unwrap_or_default());
        }
        served
    })
}

/// Plays the usage cap of a core until the case is over.
fn spawn_cap(process: u32, is_over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            watchdog::signal(process, SIGSTOP);
            thread::sleep(STOPS);
            watchdog::signal(process, SIGCONT);
            thread::sleep(RUNS);
        }
    })
}

/// One client that sends one request after the other until `until`. If it is in a hurry, it leaves each within half the objective.
fn send_in_storm(record: &Record, front: SocketAddr, client: usize, until: Instant, hurries: bool) {
    let mut random = client as u64 * 7_919 + 17;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("w{client}-{number}");
        let sent = request("POST", "/book/1", &id, 4_000, "Content-Length: 0\r\n");
        let Ok(mut stream) = TcpStream::connect(front) else {
            continue;
        };
        if stream.write_all(sent.as_bytes()).is_err() {
            continue;
        }
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let patience = match hurries {
            true => Duration::from_millis(20 + (random >> 33) % (LEAVES_WITHIN_MS - 20)),
            false => Duration::from_secs(4),
        };
        let _ = stream.set_read_timeout(Some(patience));
        let mut reader = Reader::new(stream);
        match reader.head() {
            Ok(answer) => {
                record.line(&format!("client gets {} for {id}", answer.status()));
                if answer.status() != 200 {
                    thread::sleep(Duration::from_millis(100));
                }
            }
            Err(_) => {
                record.line(&format!(
                    "client leaves {id} after {} ms",
                    patience.as_millis()
                ));
            }
        }
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut entries = Vec::new();
    let mut servers = Vec::new();
    for (service, mark) in [(BOOKING, 'b'), (MODEL, 'm')] {
        for (number, zone) in ZONES.into_iter().enumerate() {
            let id = format!("i-{mark}{}", number + 1);
            let worker = SlotWorker {
                id: id.clone(),
                record: record.clone(),
                work: Duration::from_millis(if service == BOOKING { 160 } else { 60 }),
                running: Mutex::new(0),
                slots: 6,
            };
            let server = Server::start(any, Arc::new(worker))?;
            let entry = Entry {
                service,
                address: server.address,
                zone,
                state: "ready",
                born: 1_700_000_000_000,
            };
            entries.push((id, entry));
            servers.push(server);
        }
    }
    let deployment = Deployment::start(record, &ZONES[..1], |store: &Store| {
        for (id, entry) in &entries {
            store.put("servers", id, &entry.spec());
        }
    })?;
    thread::sleep(Duration::from_secs(4));
    let front = deployment.gateways[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let cap = spawn_cap(deployment.gateways[0].process(), Arc::clone(&is_over));
    let clients = [
        spawn_client(
            record,
            front,
            "/book/1",
            Duration::from_millis(400),
            Arc::clone(&is_over),
        ),
        spawn_client(
            record,
            front,
            "/check/1",
            Duration::from_millis(60),
            Arc::clone(&is_over),
        ),
    ];
    thread::sleep(Duration::from_secs(2));
    for storm in 0..STORMS {
        record.line(&format!("storm {storm} begins, clients leave: {trouble}"));
        let until = Instant::now() + STORM;
        let crowd = (0..CLIENTS).map(|client| {
            let record = record.clone();
            let client = storm * CLIENTS + client;
            thread::spawn(move || send_in_storm(&record, front, client, until, trouble))
        });
        for client in crowd.collect::<Vec<_>>() {
            let _ = client.join();
        }
        record.line(&format!("storm {storm} is over"));
        thread::sleep(CALM);
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    let mut found = Vec::new();
    for client in clients {
        found.push(client.join().map_err(|_| io::Error::other("a client"))?);
    }
    let _ = cap.join();
    for server in &servers {
        server.stop();
    }
    let sent: usize = found.iter().map(|kind| kind.sent).sum();
    let served: usize = found.iter().map(|kind| kind.served).sum();
    let booking = &found[0];
    record.line(&format!("bookings: {booking:?}, others: {:?}", found[1]));
    let share = booking.served as f64 / booking.sent.max(1) as f64;
    let all = served as f64 / sent.max(1) as f64;
    Ok(match share < all / 4.0 {
        true => Verdict::Broken(format!(
            "{} of {} bookings were served, of all requests {served} of {sent}",
            booking.served, booking.sent
        )),
        false => Verdict::Held,
    })
}
