//! Workers answer with neither a length nor chunks. One of them is killed in the middle of its answer, between two pieces.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{
    BOOKING, Deployment, Entry, HEARTBEAT, MODEL, ZONES, free_address, request,
};
use crate::http::{Handler, Message, Server, call};
use crate::record::Record;
use crate::store::Store;
use crate::watchdog;
use crate::workers::turn_away;

/// How many pieces an answer has.
const PIECES: usize = 26;

/// After how many pieces the worker is killed.
const KILLED_AFTER: usize = 16;

/// Returns the pause between two pieces of an answer.
fn pause(is_stream: bool) -> Duration {
    Duration::from_millis(if is_stream { 100 } else { 20 })
}

/// A worker whose answers end with their channel. It says on its standard output what it runs.
struct UnframedWorker {
    id: String,
}

impl Handler for UnframedWorker {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if turn_away(&self.id, request, stream)? {
            return Ok(());
        }
        let id = request.field("x-attempt-id").unwrap_or_default();
        let after: usize = request
            .field("last-event-id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let is_stream = request.word(1).starts_with("/ask/");
        println!("{} runs {id} after {after}", self.id);
        let kind = if is_stream {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\ncontent-type: {kind}\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=PIECES {
            stream.write_all(piece(is_stream, number).as_bytes())?;
            println!("{} wrote {number} of {id}", self.id);
            thread::sleep(pause(is_stream));
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn piece(is_stream: bool, number: usize) -> String {
    match is_stream {
        true => format!("id: {number}\ndata: piece {number}\n\n"),
        false => format!("line {number}\n"),
    }
}

fn whole(is_stream: bool) -> String {
    (1..=PIECES)
        .map(|number| piece(is_stream, number))
        .collect()
}

/// Runs a worker as a process: `worker ID ADDRESS`.
pub fn run_worker(arguments: &[String]) -> ExitCode {
    let (Some(id), Some(address)) = (arguments.first(), arguments.get(1)) else {
        return ExitCode::from(2);
    };
    let Ok(address) = address.parse::<SocketAddr>() else {
        return ExitCode::from(2);
    };
    let Ok(_server) = Server::start(address, Arc::new(UnframedWorker { id: id.clone() })) else {
        return ExitCode::from(2);
    };
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

struct Worker(Child);

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Worker {
    /// Starts a worker; `wrote` hears of each piece that it has written, with the number of the piece.
    fn start(
        record: &Record,
        id: &str,
        address: SocketAddr,
        wrote: std::sync::mpsc::Sender<usize>,
    ) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["worker", id, &address.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        watchdog::add(child.id());
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let record = record.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&line);
                let number = line
                    .split(" wrote ")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next()?.parse().ok());
                if let Some(number) = number {
                    let _ = wrote.send(number);
                }
            }
        });
        Ok(Self(child))
    }
}

/// Sends one request and kills the worker that runs it once it has written some pieces; returns what is wrong with the answer.
fn play(record: &Record, trouble: bool, is_stream: bool) -> io::Result<Option<String>> {
    let (wrote, written) = std::sync::mpsc::channel();
    let addresses = [free_address(), free_address()];
    let mut workers = Vec::new();
    let mut entries = Vec::new();
    let service = if is_stream { MODEL } else { BOOKING };
    for (number, zone) in ZONES.into_iter().take(2).enumerate() {
        let id = format!("i-{}", number + 1);
        workers.push(Worker::start(
            record,
            &id,
            addresses[number],
            wrote.clone(),
        )?);
        let entry = Entry {
            service,
            address: addresses[number],
            zone,
            state: "ready",
            born: 1_700_000_000_000,
        };
        entries.push((id, entry));
    }
    let deployment = Deployment::start(record, &ZONES[..1], |store: &Store| {
        for (id, entry) in &entries {
            store.put("servers", id, &entry.spec());
        }
    })?;
    thread::sleep(Duration::from_secs(4));
    let front = deployment.gateways[0].front;
    let (method, path, id) = if is_stream {
        ("POST", "/ask/1", "stream-1")
    } else {
        ("GET", "/status/1", "plain-1")
    };
    let fields = match is_stream {
        true => {
            "X-Model: m\r\nX-Token-Count: 60,80\r\nX-Prompt-Prefix: 91bd3f06:40,e4402b7d:20\r\nContent-Length: 0\r\n"
        }
        false => "",
    };
    let sent = request(method, path, id, 8_000, fields);
    record.line(&format!("client sends {id}"));
    let client = thread::spawn(move || call(front, &sent, Duration::from_secs(10)));
    if trouble {
        // The worker in the zone of the gateway gets the request. It is killed well into its answer.
        while written
            .recv_timeout(Duration::from_secs(8))
            .map_err(io::Error::other)?
            < KILLED_AFTER
        {}
        thread::sleep(pause(is_stream) / 2);
        workers[0].0.kill()?;
        record.line("i-1 is killed");
        let store = Arc::clone(&deployment.store);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", "i-1");
        });
    }
    let answer = client.join().map_err(|_| io::Error::other("the client"))?;
    let Ok(answer) = answer else {
        record.line("client gets no answer");
        return Ok(None);
    };
    let body = String::from_utf8_lossy(&answer.message.body).into_owned();
    let pieces = body
        .matches(if is_stream { "data: " } else { "line " })
        .count();
    record.line(&format!(
        "client gets {} for {id}, looks complete: {}, framing: {:?}, {pieces} of {PIECES} pieces",
        answer.message.status(),
        answer.complete,
        answer
            .message
            .field("transfer-encoding")
            .or(answer.message.field("content-length"))
    ));
    let is_wrong = answer.message.status() == 200 && answer.complete && body != whole(is_stream);
    Ok(is_wrong.then(|| format!("{id}: 200 and complete with {pieces} of {PIECES} pieces")))
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let found = [play(record, trouble, true)?, play(record, trouble, false)?];
    let found: Vec<String> = found.into_iter().flatten().collect();
    Ok(match found.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(found.join("; ")),
    })
}
