//! Clients on kept channels read their answers slowly: after the first bytes they pause for some time.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{BOOKING, Deployment, Entry, HOST, KEY, ZONES};
use crate::http::{Handler, Message, Reader, Server, respond};
use crate::record::Record;
use crate::store::Store;
use crate::workers::turn_away;

/// The size of an answer: the largest on the sheet.
const ANSWER_BYTES: usize = 4_800;

/// How long a client pauses after it has read the first bytes of its answer.
const PAUSE: Duration = Duration::from_millis(2_500);

/// The most requests that may end without an answer.
const LOST_MAX: usize = 3;

const CLIENTS: usize = 8;

/// The receive buffer of a client: it holds less than an answer.
const RECEIVE_BUFFER: i32 = 2_304;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// An address as the system call takes it: the port and the address are in network order.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with a small receive buffer, which has to be set before the connection is opened.
fn connect_small(front: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(front) = front else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: front.port().to_be(),
        address: u32::from_ne_bytes(front.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is owned by the stream from its creation on, and the pointers are to values of the given sizes.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) < 0
            || connect(descriptor, &address, 16) < 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

struct LongWorker {
    id: String,
    record: Record,
    ran: Arc<Mutex<Vec<String>>>,
}

impl Handler for LongWorker {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if turn_away(&self.id, request, stream)? {
            return Ok(());
        }
        let id = request.field("x-attempt-id").unwrap_or_default();
        self.record.line(&format!("{} runs {id}", self.id));
        self.ran.lock().unwrap().push(id.to_owned());
        let fields = [("x-attempt-id", id), ("x-response-signature", "3e1b.07")];
        respond(stream, "200 OK", &fields, &vec![b'x'; ANSWER_BYTES])
    }
}

/// One client: a first request that it reads at once, and a second one on the same channel. Returns whether that was answered.
fn play(record: &Record, front: SocketAddr, number: usize, pause: Duration) -> io::Result<bool> {
    let mut stream = connect_small(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let mut reader = Reader::new(stream.try_clone()?);
    let request = |id: &str| {
        format!(
            "POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
             Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let id = format!("first-{number}");
    stream.write_all(request(&id).as_bytes())?;
    let mut answer = reader.head()?;
    let complete = reader.body(&mut answer, true)?;
    record.line(&format!(
        "client gets {} for {id}, complete: {complete}",
        answer.status()
    ));
    let id = format!("second-{number}");
    record.line(&format!("client sends {id} on the same channel"));
    stream.write_all(request(&id).as_bytes())?;
    let mut first = [0; 64];
    let count = stream.read(&mut first)?;
    record.line(&format!(
        "client reads {count} bytes of the answer to {id} and pauses for {} ms",
        pause.as_millis()
    ));
    thread::sleep(pause);
    let mut rest = first[..count].to_vec();
    let mut bytes = [0; 512];
    let end = loop {
        if rest
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .is_some_and(|at| rest.len() >= at + 4 + ANSWER_BYTES)
        {
            break "whole".to_owned();
        }
        match stream.read(&mut bytes) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => rest.extend_from_slice(&bytes[..count]),
            Err(error) => break error.to_string(),
        }
    };
    record.line(&format!(
        "client has read {} bytes of the answer to {id}: {end}",
        rest.len()
    ));
    Ok(end == "whole")
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut entries = Vec::new();
    let mut servers = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let id = format!("i-{}", number + 1);
        let worker = LongWorker {
            id: id.clone(),
            record: record.clone(),
            ran: Arc::clone(&ran),
        };
        let server = Server::start(any, Arc::new(worker))?;
        let entry = Entry {
            service: BOOKING,
            address: server.address,
            zone,
            state: "ready",
            born: 1_700_000_000_000,
        };
        entries.push((id, entry));
        servers.push(server);
    }
    let deployment = Deployment::start(record, &ZONES[..1], |store: &Store| {
        for (id, entry) in &entries {
            store.put("servers", id, &entry.spec());
        }
    })?;
    thread::sleep(Duration::from_secs(4));
    let front = deployment.gateways[0].front;
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let clients = (0..CLIENTS).map(|number| {
        let record = record.clone();
        thread::spawn(move || play(&record, front, number, pause))
    });
    let clients: Vec<_> = clients.collect();
    let mut lost = 0;
    for client in clients {
        let answered = client.join().map_err(|_| io::Error::other("a client"))??;
        lost += usize::from(!answered);
    }
    let ran = ran
        .lock()
        .unwrap()
        .iter()
        .filter(|id| id.starts_with("second"))
        .count();
    Ok(match lost > LOST_MAX {
        true => Verdict::Broken(format!(
            "{lost} of {CLIENTS} requests from kept channels were passed on, ran ({ran}) and their channels ended without the whole answer"
        )),
        false => Verdict::Held,
    })
}
