//! A sound worker without a group: streams of events at a steady pace, and plain answers.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::group::born_now;
use crate::http::{self, Message, response};
use crate::note;
use crate::record::Record;

/// The pause between two events.
pub const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// How long a plain answer takes.
const WORK_TIME: Duration = Duration::from_millis(60);

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub id: &'static str,
    pub address: SocketAddr,
    born: u64,
    pub runs: AtomicU64,
    /// Of so many streams one breaks off after its last event, as long as the worker is in trouble; 0 for none.
    breaks: AtomicU64,
    record: Record,
}

impl Worker {
    pub fn start(id: &'static str, address: SocketAddr, record: &Record) -> io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            id,
            address,
            born: born_now(),
            runs: AtomicU64::new(0),
            breaks: AtomicU64::new(0),
            record: record.clone(),
        });
        let shared = Arc::clone(&worker);
        http::serve(TcpListener::bind(address)?, move |request, stream| {
            shared.handle(request, stream)
        });
        Ok(worker)
    }

    /// Has one of so many streams break off after its last event from now on; none for 0.
    pub fn break_off(&self, one_of: u64) {
        self.breaks.store(one_of, Ordering::Relaxed);
    }

    /// Returns the entry that it writes to the store.
    pub fn entry(&self, service: &str) -> String {
        self.entry_of(service, 0)
    }

    /// Returns the entry with the number of the heartbeat.
    pub fn entry_of(&self, service: &str, number: u64) -> String {
        let (address, born) = (self.address, self.born);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"bergen-a","version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"born":{born},"seq":{number}}}"#
        )
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.path();
        if path == "/health" {
            stream.write_all(&response(200, &[("X-Instance-Id", self.id)], ""))?;
            return Ok(true);
        }
        let Some(id) = request.header("x-attempt-id") else {
            stream.write_all(&response(400, &[("X-Not-Executed", "1")], ""))?;
            return Ok(true);
        };
        let run = self.runs.fetch_add(1, Ordering::Relaxed) + 1;
        let last = request.header("last-event-id");
        note!(
            self.record,
            "worker {} runs {id}: {path}, time budget {} ms, last event {}",
            self.id,
            request.header("x-deadline-ms").unwrap_or("none"),
            last.unwrap_or("none")
        );
        let breaks = self.breaks.load(Ordering::Relaxed);
        let breaks = breaks > 0 && run.is_multiple_of(breaks);
        if !path.starts_with("/summary/") && !path.starts_with("/question/") {
            let signature = format!("3e1b.{}.{id}", self.id);
            std::thread::sleep(WORK_TIME);
            let fields = [
                ("X-Attempt-Id", id),
                ("X-Response-Signature", signature.as_str()),
            ];
            stream.write_all(&response(200, &fields, "done"))?;
            return Ok(true);
        }
        let number = path.rsplit('/').next().and_then(|text| text.parse().ok());
        let done = self.stream_events(id, number.unwrap_or(1), breaks, request, stream);
        let end = if done.is_ok() {
            "wrote its whole answer"
        } else {
            "found its channel broken"
        };
        note!(self.record, "worker {} {end} to {id}", self.id);
        done.map(|()| true)
    }

    fn stream_events(
        &self,
        id: &str,
        events: u64,
        breaks: bool,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in last.unwrap_or(0) + 1..=events {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        if breaks {
            note!(
                self.record,
                "worker {} breaks off {id} after its last event",
                self.id
            );
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
