//! Cuts server-sent events out of a byte stream.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const END: &[u8] = b"\n\n";

/// One event.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Event {
    /// The type, empty if none is given.
    pub(super) kind: String,
    /// The data.
    pub(super) data: String,
}

/// Bytes that are no whole event yet.
#[derive(Debug, Default)]
pub(super) struct Events {
    partial: BytesMut,
}

impl Events {
    /// Takes in bytes.
    pub(super) fn push(&mut self, data: &Bytes) {
        self.partial.extend_from_slice(data);
    }

    /// Returns the next whole event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let end = self
            .partial
            .windows(END.len())
            .position(|window| window == END)?;
        let bytes = self.partial.split_to(end + END.len());
        let text = String::from_utf8_lossy(&bytes);
        let field = |name: &str| {
            let values = text.lines().filter_map(|line| line.strip_prefix(name));
            values.map(str::trim_start).collect::<Vec<_>>().join("\n")
        };
        Some(Event {
            kind: field("event:"),
            data: field("data:"),
        })
    }

    /// Returns whether bytes are left that are no whole event.
    pub(super) fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}
