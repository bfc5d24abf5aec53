//! Clients send bodies of the largest size that the manifest allows, through one gateway whose machine kills it over its memory.

use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{BOOKING, Deployment, Entry, HOST, KEY, ZONES};
use crate::http::{Handler, Message, Reader, Server, respond};
use crate::record::Record;
use crate::store::Store;
use crate::watchdog;
use crate::workers::turn_away;

const BODY_BYTES: usize = 4_194_304;
const MEMORY_MB: u64 = 260;

struct SlowWorker {
    id: String,
    record: Record,
    running: Mutex<usize>,
    ran: Arc<AtomicUsize>,
}

impl Handler for SlowWorker {
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
        let load = format!("{},0,6", running.min(6));
        let result = if running > 6 {
            respond(
                stream,
                "503 Service Unavailable",
                &[
                    ("x-attempt-id", id),
                    ("x-not-executed", "1"),
                    ("x-server-load", &*load),
                ],
                b"",
            )
        } else {
            self.record.line(&format!(
                "{} runs {id} with {} bytes",
                self.id,
                request.body.len()
            ));
            self.ran.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(60));
            respond(
                stream,
                "200 OK",
                &[
                    ("x-attempt-id", id),
                    ("x-response-signature", "3e1b"),
                    ("x-server-load", &*load),
                ],
                b"booked",
            )
        };
        *self.running.lock().unwrap() -= 1;
        result
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let ran = Arc::new(AtomicUsize::new(0));
    let mut entries = Vec::new();
    let mut servers = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let id = format!("i-{}", number + 1);
        let worker = SlowWorker {
            id: id.clone(),
            record: record.clone(),
            running: Mutex::new(0),
            ran: Arc::clone(&ran),
        };
        let server = Server::start(any, Arc::new(worker))?;
        entries.push((
            id,
            Entry {
                service: BOOKING,
                address: server.address,
                zone,
                state: "ready",
                born: 1,
            },
        ));
        servers.push(server);
    }
    let deployment = Deployment::start(record, &ZONES[..1], |store: &Store| {
        for (id, entry) in &entries {
            store.put("servers", id, &entry.spec());
        }
    })?;
    thread::sleep(Duration::from_secs(4));
    let front = deployment.gateways[0].front;
    let process = deployment.gateways[0].process();
    let is_over = Arc::new(AtomicBool::new(false));
    let watcher = thread::spawn({
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        move || {
            let mut most = 0;
            while !is_over.load(Ordering::Relaxed) {
                let status =
                    fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
                let line = status.lines().find(|line| line.starts_with("VmRSS"));
                let kb: u64 = line
                    .and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
                    .unwrap_or(0);
                if kb / 1024 > most {
                    most = kb / 1024;
                    record.line(&format!("the gateway holds {most} MB"));
                }
                if most > MEMORY_MB {
                    record.line("over its memory: the machine kills it");
                    watchdog::signal(process, 9);
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
            most
        }
    });
    let count: usize = std::env::var("CLIENTS")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(60);
    let clients = (0..count).map(|number| {
        let record = record.clone();
        thread::spawn(move || -> io::Result<u16> {
            let mut stream = TcpStream::connect(front)?;
            stream.set_read_timeout(Some(Duration::from_secs(6)))?;
            let size = if trouble { BODY_BYTES } else { 600 };
            let head = format!(
                "POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c{number}\r\nX-Deadline-Ms: 4000\r\n\
                 Authorization: Token {KEY}\r\nContent-Length: {size}\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for piece in vec![b'x'; size].chunks(16 * 1024) {
                stream.write_all(piece)?;
            }
            let mut reader = Reader::new(stream);
            let answer = reader.head()?;
            record.line(&format!("client gets {} for c{number}", answer.status()));
            Ok(answer.status())
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut lost = 0;
    for client in clients {
        lost += usize::from(
            client
                .join()
                .map_err(|_| io::Error::other("client"))?
                .is_err(),
        );
    }
    is_over.store(true, Ordering::Relaxed);
    let most = watcher.join().unwrap_or(0);
    record.line(&format!(
        "at most {most} MB, {lost} clients without an answer, {} ran",
        ran.load(Ordering::Relaxed)
    ));
    Ok(if most > MEMORY_MB {
        Verdict::Broken(format!("{most} MB, {lost} clients without an answer"))
    } else {
        Verdict::Held
    })
}
