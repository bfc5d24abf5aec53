//! Parses server-sent events from a byte stream.

use bytes::{Bytes, BytesMut};

/// The separator after each event.
const EVENT_END: &[u8] = b"\n\n";

/// A parsed event.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Event {
    /// The event type, empty if none is given.
    pub(super) kind: String,
    /// The data lines, joined by line feeds.
    pub(super) data: String,
}

/// A parser that buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub(super) struct EventParser {
    partial: BytesMut,
}

impl EventParser {
    /// Adds received bytes.
    pub(super) fn push(&mut self, data: &Bytes) {
        self.partial.extend_from_slice(data);
    }

    /// Removes and returns the next complete event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let end = self
            .partial
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        let bytes = self.partial.split_to(end + EVENT_END.len());
        let text = String::from_utf8_lossy(&bytes);
        let field_value = |name: &str| {
            let values = text.lines().filter_map(|line| line.strip_prefix(name));
            values.map(str::trim_start).collect::<Vec<_>>().join("\n")
        };
        Some(Event {
            kind: field_value("event:"),
            data: field_value("data:"),
        })
    }

    /// Returns whether the bytes of an incomplete event remain.
    pub(super) fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}
