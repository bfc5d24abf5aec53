//! Splits a model's response into complete server-sent events and counts their tokens.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// The prefix of a line that carries an event's data.
const DATA_PREFIX: &[u8] = b"data: ";

/// The data of the last event of a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Assembles chunks of bytes into complete events; a partial event is kept until its end arrives.
#[derive(Debug, Default)]
pub(crate) struct EventStream {
    partial: BytesMut,
    tokens: u64,
    done: bool,
}

/// The fields of a chat completion chunk that carry text.
#[derive(Deserialize)]
struct ChatChunk {
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
    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.scan(&complete);
        complete
    }

    /// Discards a partial event before another upstream resumes the stream.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of complete events that carry text, one token each.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether the event that ends the stream has arrived.
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
    let Ok(chunk) = serde_json::from_slice::<ChatChunk>(data) else {
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

/// Returns the position after the last complete event; `None` if no event is complete.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)
        .map(|start| start + EVENT_END.len())
}
