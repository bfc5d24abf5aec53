//! Answers that never end, as a stand-in in trouble sends them until its peer closes the connection.

use std::fmt;

use hyper::Response;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::server::{Body, CloseConnection, HandlerResult, text_response};

/// How many bytes are written at once.
const WRITE_BYTES: usize = 16 * 1024;

/// The part of an answer that never ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Endless {
    /// Bytes that are no answer.
    Garbage,
    /// The status line.
    StatusLine,
    /// The value of one header field.
    HeaderValue,
    /// Header fields, one after the other.
    HeaderFields,
    /// Interim responses before the final one.
    Interim,
    /// A body in chunks.
    ChunkedBody,
    /// A body that ends with its connection.
    PlainBody,
    /// The size of a chunk.
    ChunkSize,
    /// The header fields after a body in chunks.
    Trailers,
    /// Bytes after a complete answer.
    AfterAnswer,
}

impl Endless {
    /// All parts.
    pub const ALL: [Self; 10] = [
        Self::Garbage,
        Self::StatusLine,
        Self::HeaderValue,
        Self::HeaderFields,
        Self::Interim,
        Self::ChunkedBody,
        Self::PlainBody,
        Self::ChunkSize,
        Self::Trailers,
        Self::AfterAnswer,
    ];

    /// Returns what is written once, and what is repeated after it. `fields` are the header fields of a proper answer, each with its
    /// line end.
    #[must_use]
    pub fn bytes(self, fields: &str) -> (String, &'static str) {
        let chunked = format!("HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Garbage => (String::new(), "no answer at all "),
            Self::StatusLine => ("HTTP/1.1 200 O".to_owned(), "K"),
            Self::HeaderValue => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), "a"),
            Self::HeaderFields => ("HTTP/1.1 200 OK\r\n".to_owned(), "x-field: value\r\n"),
            Self::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::ChunkedBody => (chunked, "10\r\n0123456789abcdef\r\n"),
            Self::PlainBody => (format!("HTTP/1.1 200 OK\r\n{fields}\r\n"), "body "),
            Self::ChunkSize => (chunked, "0"),
            Self::Trailers => (format!("{chunked}0\r\n"), "x-trailer: value\r\n"),
            Self::AfterAnswer => (
                format!("HTTP/1.1 200 OK\r\n{fields}content-length: 2\r\n\r\nok"),
                "more ",
            ),
        }
    }

    /// Returns the mark by which the server writes this instead of the response.
    ///
    /// # Errors
    ///
    /// Closes the connection if the response cannot be built.
    pub fn response(self) -> HandlerResult {
        let mut response: Response<Body> = text_response(hyper::StatusCode::OK, "")?;
        response.extensions_mut().insert(self);
        Ok(response)
    }
}

/// Why the service writes no response, and what is done with the connection instead.
#[derive(Debug)]
pub(super) enum ConnectionEnd {
    /// It is closed.
    Close(CloseConnection),
    /// An answer that never ends is written.
    Endless(Endless),
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        CloseConnection.fmt(out)
    }
}

impl std::error::Error for ConnectionEnd {}

/// Writes an answer that never ends, until the peer closes the connection.
pub async fn write_endless(stream: &mut TcpStream, part: Endless, fields: &str) {
    let (once, repeated) = part.bytes(fields);
    let block = repeated.repeat(WRITE_BYTES / repeated.len());
    // An error means that the peer has closed the connection.
    if stream.write_all(once.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(block.as_bytes()).await.is_ok() {}
}
