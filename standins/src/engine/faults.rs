//! The injected faults of the engine.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::http::{HandlerResult, streaming_response, text_response};

/// An answer that is no part of a stream of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForeignAnswer {
    /// A success of the type JSON, whose text ends like an event.
    Json,
    /// An error with a text that ends like an event.
    Error,
    /// A stream without events.
    Empty,
    /// A stream whose first event is the head of an error.
    Head,
}

/// Injected faults, all off by default; `POST /faults` replaces all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The delay of a request before it waits for a slot, in milliseconds.
    pub delay_ms: u64,
    /// The engine starts no step until `POST /release`.
    pub stall: bool,
    /// The time added to each step, in microseconds.
    pub slow_micros: u64,
    /// A request whose body contains this text crashes the process.
    pub crash_on: Option<String>,
    /// The number of tokens that are sent for that request before the crash.
    pub crash_after: u64,
    /// Each connection is broken after this number of tokens.
    pub break_after: Option<u64>,
    /// Chat completions are answered with this instead of tokens.
    pub foreign: Option<ForeignAnswer>,
    /// The delay until a cache event becomes visible, in milliseconds.
    pub cache_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this are never shown; 0 drops none.
    pub cache_gap: u64,
    /// Orders are held until `POST /release` and then executed, even if the caller has
    /// disconnected.
    pub hold_orders: bool,
    /// Orders are executed but not answered.
    pub lose_orders: bool,
    /// The weight store is unavailable: loading maps do not become ready.
    pub weights_out: bool,
    /// The minimum age of load reports, in milliseconds.
    pub load_lag_ms: u64,
}

impl ForeignAnswer {
    /// Returns the response.
    pub(super) fn response(self) -> HandlerResult {
        const TEXT: &str = "{\"error\":\"overloaded\"}\n\n";
        const HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        let stream = |text: &'static str| {
            let parts = futures_util::stream::iter([Ok(Bytes::from_static(text.as_bytes()))]);
            streaming_response("text/event-stream", parts)
        };
        match self {
            Self::Json => json_text(StatusCode::OK, TEXT),
            Self::Error => text_response(StatusCode::INTERNAL_SERVER_ERROR, TEXT),
            Self::Empty => stream(""),
            Self::Head => stream(HEAD),
        }
    }
}

fn json_text(status: StatusCode, text: &str) -> HandlerResult {
    let mut response = text_response(status, text)?;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    Ok(response)
}

impl Faults {
    /// Returns whether a request with this body crashes the engine after `sent` tokens.
    pub(super) fn crashes(&self, body: &[u8], sent: u64) -> bool {
        let contains = |marker: &str| {
            marker.is_empty()
                || body
                    .windows(marker.len())
                    .any(|window| window == marker.as_bytes())
        };
        sent >= self.crash_after && self.crash_on.as_deref().is_some_and(contains)
    }
}
