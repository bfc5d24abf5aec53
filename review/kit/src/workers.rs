//! Stand-ins for workers that run in this process.

use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use crate::http::{Handler, Message, respond};
use crate::record::Record;

/// One request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
}

/// A sound worker that answers at once, and notes each request that it runs.
pub struct SoundWorker {
    pub id: String,
    pub record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// Answers what is not for the worker `id`, or no request; returns whether it did.
pub fn turn_away(id: &str, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
    if request.word(1) == "/health" {
        respond(stream, "200 OK", &[("x-instance-id", id)], b"")?;
        return Ok(true);
    }
    let attempt = request.field("x-attempt-id").unwrap_or_default();
    let named = request.field("x-target-instance");
    if named.is_some_and(|named| named != id) {
        respond(
            stream,
            "421 Misdirected Request",
            &[("x-attempt-id", attempt)],
            b"",
        )?;
        return Ok(true);
    }
    Ok(false)
}

impl Handler for SoundWorker {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if turn_away(&self.id, request, stream)? {
            return Ok(());
        }
        let id = request.field("x-attempt-id").unwrap_or_default();
        let at = self
            .record
            .line(&format!("{} runs {id} {}", self.id, request.line));
        self.arrivals.lock().unwrap().push(Arrival {
            at,
            id: id.to_owned(),
        });
        let body = format!("answer to {id} by {}", self.id);
        let fields = [
            ("x-attempt-id", id),
            ("x-response-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("x-server-load", "1,0,6"),
        ];
        respond(stream, "200 OK", &fields, body.as_bytes())
    }
}
