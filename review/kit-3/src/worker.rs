//! A worker of a plain service. It does what the pages say of a sound one (PROTOCOL.md, "Workers").

use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Fields, field, read_head, read_request_body};

pub struct Worker {
    id: String,
    /// Whether its group stalls once in each stream, for as long as the request says.
    stalls: bool,
    /// How many streams it has continued that another worker began.
    continued: AtomicU64,
    /// Unix milliseconds of this lifetime's start.
    born: u64,
    log: String,
}

/// The whole body of the answer to a request.
pub fn whole_body(attempt: &str, size: usize) -> Vec<u8> {
    let first = format!("begin {attempt}\n");
    let last = format!("end {attempt}\n");
    let filler = size.saturating_sub(first.len() + last.len());
    let mut body = first.into_bytes();
    body.extend(std::iter::repeat_n(b'.', filler));
    body.extend(last.into_bytes());
    body
}

pub fn run(address: SocketAddr, id: &str, born: u64, log: &str) {
    let listener = TcpListener::bind(address).expect("the worker's address");
    let worker = Arc::new(Worker {
        id: id.to_owned(),
        stalls: std::env::var("STALLS").is_ok(),
        continued: AtomicU64::new(0),
        born,
        log: log.to_owned(),
    });
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        std::thread::spawn(move || worker.serve(stream));
    }
}

impl Worker {
    fn record(&self, text: &str) {
        let file = OpenOptions::new().create(true).append(true).open(&self.log);
        if let Ok(mut file) = file {
            // One write a line, as several workers write to the file.
            let _ = file.write_all(format!("{text}\n").as_bytes());
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let (start, fields) = read_head(&mut reader).ok()??;
            read_request_body(&mut reader, &fields).ok()?;
            let target = start.split(' ').nth(1)?.to_owned();
            if target == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nborn: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id, self.born
                );
                stream.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let named = field(&fields, "x-target-instance");
            if named.is_some_and(|named| named != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            self.run_request(&mut stream, &start, &target, &fields)?;
        }
    }

    /// Answers with a stream of events. One answer in three to a stream that another worker began is lost, if the request says so.
    fn send_events(
        &self,
        stream: &mut TcpStream,
        target: &str,
        attempt: &str,
        fields: &Fields,
    ) -> Option<()> {
        let number = |name: &str| {
            let pairs = target
                .split(['?', '&'])
                .filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            values
                .find_map(|(_, value)| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (events, step, stall) = (number("events"), number("step"), number("stall"));
        let after = field(fields, "last-event-id").and_then(|text| text.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: mac.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        if stall > 0 && after.is_some() && self.continued.fetch_add(1, Ordering::Relaxed) % 3 == 0 {
            self.record(&format!("{} loses its answer to {attempt}", self.id));
            std::thread::sleep(Duration::from_millis(20));
            crate::system::reset(stream);
            return None;
        }
        for event in after.unwrap_or(0) + 1..=events {
            let is_stalled = self.stalls && event == events / 3;
            let pause = if is_stalled { stall.max(step) } else { step };
            std::thread::sleep(Duration::from_millis(pause));
            let text = format!("id: {event}\ndata: {attempt}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                self.record(&format!(
                    "{} is left by {attempt} before event {event}",
                    self.id
                ));
                return None;
            }
        }
        self.record(&format!("{} has sent {attempt} to its end", self.id));
        stream.write_all(b"0\r\n\r\n").ok()
    }

    /// Answers with a stream of one event.
    fn send_one_event(&self, stream: &mut TcpStream, attempt: &str) -> Option<()> {
        let event = format!("id: 1\ndata: {attempt}\n\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: mac.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n",
            event.len()
        );
        stream.write_all(answer.as_bytes()).ok()
    }

    /// Runs a request. Its query says how long the answer is and how it is sent.
    fn run_request(
        &self,
        stream: &mut TcpStream,
        start: &str,
        target: &str,
        fields: &Fields,
    ) -> Option<()> {
        let attempt = field(fields, "x-attempt-id")?.to_owned();
        if target.ends_with("/one") {
            return self.send_one_event(stream, &attempt);
        }
        self.record(&format!("run {attempt} born {} {start}", self.born));
        if target.contains("/stream?") {
            return self.send_events(stream, target, &attempt, fields);
        }
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| {
            parameter(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let body = whole_body(&attempt, number("size") as usize);
        let pause = Duration::from_millis(number("pause"));
        let is_unframed = parameter("form") == Some("unframed");
        let framing = match is_unframed {
            true => "Connection: close\r\n".to_owned(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: mac.{attempt}\r\n\
             X-Instance-Id: {}\r\nborn: {}\r\nContent-Type: text/plain\r\n{framing}\r\n",
            self.id, self.born
        );
        let (first, second) = body.split_at(body.len() / 2);
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(first).ok()?;
        std::thread::sleep(pause);
        stream.write_all(second).ok()?;
        self.record(&format!("answered {attempt} whole, {} bytes", body.len()));
        // An answer without a length ends with its channel.
        (!is_unframed).then_some(())
    }
}
