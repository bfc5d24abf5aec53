//! Cuts a stream of events into whole events.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// The start of the line that bears the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// The largest event that is put together, in bytes.
const EVENT_MAX: usize = 1 << 20;

/// An event that is larger than is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// Whole events in a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes, with the ends of the events.
    pub bytes: Bytes,
    /// The number of the last event that has one.
    pub last: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are whole, if there are any.
    ///
    /// # Errors
    ///
    /// Fails if an event grows over its bound.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<CompleteEvents>, EventTooLarge> {
        let from = self.rest.len().saturating_sub(EVENT_END.len() - 1);
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest[from..]) else {
            if self.rest.len() > EVENT_MAX {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let whole = self.rest.split_to(from + end).freeze();
        let last = event_ids(&whole).last();
        Ok(Some(CompleteEvents { bytes: whole, last }))
    }

    /// Returns whether bytes of an event that is not whole are held.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops the bytes of an event that is not whole.
    pub fn clear(&mut self) {
        self.rest.clear();
    }
}

/// Returns where the last whole event ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map(|at| at + EVENT_END.len())
}

/// Returns the numbers of the events in `bytes`, in order.
fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes.split(|byte| *byte == b'\n').filter_map(parse_id)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Drops the events with a number up to `last`, for a stream that goes on after it.
#[must_use]
pub fn events_after(whole: &CompleteEvents, last: u64) -> Bytes {
    let mut kept = BytesMut::new();
    let mut rest = &whole.bytes[..];
    while let Some(end) = first_end(rest) {
        let (event, next) = rest.split_at(end);
        if event_ids(event).last().is_none_or(|id| id > last) {
            kept.extend_from_slice(event);
        }
        rest = next;
    }
    kept.freeze()
}

fn first_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)
        .map(|at| at + EVENT_END.len())
}
