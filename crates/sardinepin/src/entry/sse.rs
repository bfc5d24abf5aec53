//! Server-sent events of a model's answer: whole events only, and how many tokens they bear.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// The start of an event's data.
const DATA_PREFIX: &[u8] = b"data: ";

/// The data of the event that ends a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct EventStream {
    partial: BytesMut,
    tokens: u64,
    done: bool,
}

/// The part of a chunk that bears text.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl EventStream {
    /// Takes in bytes and returns the whole events that they complete.
    pub(crate) fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.scan(&complete);
        complete
    }

    /// Forgets a partial event, before the stream goes on from another upstream.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns how many tokens the whole events bear.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether the event that ends the stream has come.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    fn scan(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let Some(data) = line.strip_prefix(DATA_PREFIX) else {
                continue;
            };
            if data == DONE_DATA {
                self.done = true;
            } else if has_text(data) {
                self.tokens += 1;
            }
        }
    }
}

fn has_text(data: &[u8]) -> bool {
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return false;
    };
    chunk.choices.iter().any(|choice| {
        choice
            .delta
            .content
            .as_deref()
            .is_some_and(|text| !text.is_empty())
    })
}

/// Returns where the last whole event ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map(|at| at + EVENT_END.len())
}
