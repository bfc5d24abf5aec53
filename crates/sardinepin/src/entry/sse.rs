//! A model's response as a stream of events, whose tokens are counted.

use bytes::Bytes;
use sardinepin_decisions::{EventOrder, EventSequence, PushedEvents, StreamFault, StreamHead};
use serde::Deserialize;

/// The prefix of a line that holds an event's data.
const DATA_PREFIX: &[u8] = b"data: ";

/// The data of the last event of a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// The events of a stream over one or more attempts.
#[derive(Debug)]
pub(crate) struct EventStream {
    sequence: EventSequence,
    tokens: u64,
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
    /// Begins a stream with the response that has this head.
    pub(crate) fn begin(head: StreamHead<'_>) -> Result<Self, StreamFault> {
        let mut stream = Self {
            sequence: EventSequence::new(EventOrder::EndEvent(DONE_DATA), None),
            tokens: 0,
        };
        stream.resume(head)?;
        Ok(stream)
    }

    /// Continues the stream with the response that has this head.
    pub(crate) fn resume(&mut self, head: StreamHead<'_>) -> Result<(), StreamFault> {
        self.sequence.begin(head)
    }

    /// Appends bytes and returns the events that are complete now.
    pub(crate) fn push(&mut self, data: &[u8]) -> PushedEvents {
        let pushed = self.sequence.push(data);
        self.tokens += count_tokens(&pushed.forward);
        pushed
    }

    /// Returns the number of complete events that carry text, one token each.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether the stream is complete.
    pub(crate) fn is_done(&self) -> bool {
        self.sequence.end().is_ok()
    }
}

fn count_tokens(events: &Bytes) -> u64 {
    let lines = events.split(|byte| *byte == b'\n');
    let data = lines.filter_map(|line| line.strip_prefix(DATA_PREFIX));
    data.filter(|data| has_text(data)).count() as u64
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
