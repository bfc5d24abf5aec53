//! A client of the system.

use std::io;
use std::net::SocketAddr;

use crate::http::{self, Connection, Message};

/// A stream's answer, as far as it came.
#[derive(Debug, Default)]
pub struct StreamAnswer {
    pub head: Message,
    pub events: Vec<u64>,
    /// Whether the answer ended as complete.
    pub complete: bool,
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 800,400\r\nX-Prompt-Prefix: 5c1e07a2:40,{id}:760\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Reads the answer to a stream request to its end, or until the channel ends.
pub fn read_stream(
    connection: &mut Connection,
    mut seen: impl FnMut(u64),
) -> io::Result<StreamAnswer> {
    let mut answer = StreamAnswer {
        head: http::read_head(&mut connection.reader)?,
        ..StreamAnswer::default()
    };
    if !http::is_chunked(&answer.head) {
        let length = answer
            .head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        io::Read::read_exact(&mut connection.reader, &mut body)?;
        answer.head.body = body;
        answer.complete = true;
        return Ok(answer);
    }
    let mut text = String::new();
    loop {
        let Ok(chunk) = http::read_chunk(&mut connection.reader) else {
            return Ok(answer);
        };
        if chunk.is_empty() {
            answer.complete = true;
            return Ok(answer);
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            if let Some(number) = number.and_then(|text| text.parse().ok()) {
                answer.events.push(number);
                seen(number);
            }
            text = rest.to_owned();
        }
    }
}

/// Sends a stream request over a channel of its own.
pub fn stream(address: SocketAddr, request: &str) -> io::Result<StreamAnswer> {
    let mut connection = Connection::open(address)?;
    connection.send(request)?;
    read_stream(&mut connection, |_| {})
}
