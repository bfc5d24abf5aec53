//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// The delimiter after an event.
const EVENT_END: &[u8] = b"\n\n";

/// The prefix of the line that holds the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// The largest event that is buffered, in bytes.
const EVENT_MAX: usize = 256 * 1024;

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    remaining: BytesMut,
}

/// One or more consecutive complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes, including the delimiters.
    pub bytes: Bytes,
    /// The number of the last event that has one.
    pub last: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the complete events, if there are any.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event exceeds the size limit.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<CompleteEvents>, EventTooLarge> {
        let from = self.remaining.len().saturating_sub(EVENT_END.len() - 1);
        self.remaining.extend_from_slice(bytes);
        let Some(end) = last_end(&self.remaining[from..]) else {
            if self.remaining.len() > EVENT_MAX {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let complete = self.remaining.split_to(from + end).freeze();
        let last = event_ids(&complete).last();
        Ok(Some(CompleteEvents {
            bytes: complete,
            last,
        }))
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.remaining.is_empty()
    }

    /// Discards an incomplete event.
    pub fn clear(&mut self) {
        self.remaining.clear();
    }
}

/// Returns the position after the last complete event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map(|at| at + EVENT_END.len())
}

/// Returns the event numbers in `bytes`, in order.
fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes.split(|byte| *byte == b'\n').filter_map(parse_id)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the events without those numbered up to `last`, for a stream that resumes after it.
#[must_use]
pub fn events_after(complete: &CompleteEvents, last: u64) -> Bytes {
    let mut kept = BytesMut::new();
    let mut remaining = &complete.bytes[..];
    while let Some(end) = first_end(remaining) {
        let (event, next) = remaining.split_at(end);
        if event_ids(event).last().is_none_or(|id| id > last) {
            kept.extend_from_slice(event);
        }
        remaining = next;
    }
    kept.freeze()
}

fn first_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)
        .map(|at| at + EVENT_END.len())
}
