//! Which responses continue a stream of events, which bytes are its events, and what may end it.

mod block;

use bytes::{Bytes, BytesMut};

use block::{Block, PartialBlock};

/// The largest incomplete event that is buffered, in bytes.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The status of a response that holds events of a stream.
const STATUS_OK: u16 = 200;

/// How the events of a stream are ordered, and how its end is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventOrder {
    /// Each event has a number, one higher than that of the event before.
    Numbered,
    /// The first event decides whether all have numbers or none has.
    AsFirst,
    /// Events need no numbers, and the last one holds this data.
    EndEvent(&'static [u8]),
}

/// The head of a response, as far as it matters to a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamHead<'a> {
    /// The HTTP status code.
    pub status: u16,
    /// The field `content-type`, if there is one.
    pub content_type: Option<&'a str>,
}

impl<'a> StreamHead<'a> {
    /// Returns the media type without its parameters.
    fn media_type(self) -> Option<&'a str> {
        let value = self.content_type?;
        Some(value.split(';').next().unwrap_or(value).trim())
    }
}

/// Why a response is no part of a stream, or ends without having completed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The status of the response is not 200.
    Status,
    /// The response is no stream of events, or of another media type than the stream began with.
    MediaType,
    /// A line is no field of an event.
    Malformed,
    /// An event has no number, several, or one where the others have none.
    Number,
    /// Events are missing between two numbers.
    Gap,
    /// An incomplete event exceeds the size limit.
    TooLarge,
    /// An event follows the one that ends the stream.
    AfterEnd,
    /// The response ended inside an event.
    CutEvent,
    /// The response ended before any event, or before the last one that was forwarded.
    NoEvent,
    /// The response ended before the event that ends the stream.
    NoEndEvent,
}

impl StreamFault {
    /// All faults.
    pub const ALL: [Self; 10] = [
        Self::Status,
        Self::MediaType,
        Self::Malformed,
        Self::Number,
        Self::Gap,
        Self::TooLarge,
        Self::AfterEnd,
        Self::CutEvent,
        Self::NoEvent,
        Self::NoEndEvent,
    ];

    /// Returns the label used in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Status => "status",
            Self::MediaType => "media_type",
            Self::Malformed => "malformed",
            Self::Number => "number",
            Self::Gap => "gap",
            Self::TooLarge => "too_large",
            Self::AfterEnd => "after_end",
            Self::CutEvent => "cut_event",
            Self::NoEvent => "no_event",
            Self::NoEndEvent => "no_end_event",
        }
    }
}

/// What became of bytes that were pushed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PushedEvents {
    /// Complete events that the caller does not have yet; they are forwarded also if a fault follows them.
    pub forward: Bytes,
    /// Why the rest of the response is no part of the stream.
    pub fault: Option<StreamFault>,
}

/// A stream of events that consists of one or more responses.
///
/// A response that breaks a rule counts as broken off after its last event that keeps them: another response may
/// continue after it, but the stream never ends there as a complete one.
#[derive(Debug)]
pub struct EventSequence {
    order: EventOrder,
    /// The media type that the stream began with; `None` before its first response.
    media_type: Option<Option<Box<str>>>,
    /// Whether events have numbers, once that is known.
    numbered: Option<bool>,
    /// The number of the last event that was forwarded, by this stream or an earlier one of the same caller.
    last: Option<u64>,
    part: ResponsePart,
}

/// What has been read of the current response.
#[derive(Debug, Default)]
struct ResponsePart {
    partial: PartialBlock,
    /// The number of complete events, those that the caller has had before included.
    events: u64,
    /// The number of the last of them.
    last: Option<u64>,
    /// Whether the event that ends the stream has been read.
    ended: bool,
}

impl EventSequence {
    /// Creates a stream for a caller that has all events up to `last`.
    #[must_use]
    pub fn new(order: EventOrder, last: Option<u64>) -> Self {
        Self {
            order,
            media_type: None,
            numbered: match order {
                EventOrder::Numbered => Some(true),
                EventOrder::AsFirst => last.is_some().then_some(true),
                EventOrder::EndEvent(_) => Some(false),
            },
            last,
            part: ResponsePart::default(),
        }
    }

    /// Begins the next response of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the response is no part of the stream.
    pub fn begin(&mut self, head: StreamHead<'_>) -> Result<(), StreamFault> {
        self.part = ResponsePart::default();
        if head.status != STATUS_OK {
            return Err(StreamFault::Status);
        }
        let media_type = head.media_type();
        let is_expected = match &self.media_type {
            None => media_type.is_none_or(|one| one.eq_ignore_ascii_case(EVENT_STREAM)),
            Some(first) => match (first.as_deref(), media_type) {
                (Some(first), Some(one)) => first.eq_ignore_ascii_case(one),
                (first, one) => first == one,
            },
        };
        if !is_expected {
            return Err(StreamFault::MediaType);
        }
        if self.media_type.is_none() {
            self.media_type = Some(media_type.map(Box::from));
        }
        Ok(())
    }

    /// Appends bytes of the current response and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> PushedEvents {
        self.part.partial.push(bytes);
        let mut forward = BytesMut::new();
        let fault = loop {
            let Some(block) = self.part.partial.next() else {
                let is_large = self.part.partial.len() > EVENT_MAX_BYTES;
                break is_large.then_some(StreamFault::TooLarge);
            };
            match self.accept(&block) {
                Ok(true) => forward.unsplit(block),
                Ok(false) => {}
                Err(fault) => break Some(fault),
            }
        };
        PushedEvents {
            forward: forward.freeze(),
            fault,
        }
    }

    /// Checks the end of the current response, which its framing says is its end.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not complete.
    pub fn end(&self) -> Result<(), StreamFault> {
        if self.part.partial.len() > 0 {
            return Err(StreamFault::CutEvent);
        }
        if matches!(self.order, EventOrder::EndEvent(_)) {
            return match self.part.ended {
                true => Ok(()),
                false => Err(StreamFault::NoEndEvent),
            };
        }
        // Nothing tells the end of a stream after event `last` from a response of another request that has none.
        if self.part.events == 0 || self.part.last < self.last {
            return Err(StreamFault::NoEvent);
        }
        Ok(())
    }

    /// Returns the number of the last event that was forwarded.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks a block of lines and returns whether the caller does not have it yet.
    fn accept(&mut self, block: &[u8]) -> Result<bool, StreamFault> {
        let block = Block::read(block)?;
        if !block.is_event {
            return Ok(true);
        }
        if self.part.ended {
            return Err(StreamFault::AfterEnd);
        }
        if let EventOrder::EndEvent(data) = self.order {
            let found = block.data.ok_or(StreamFault::Malformed)?;
            self.part.ended = found == data && block.data_lines == 1;
        }
        let is_new = match (
            *self.numbered.get_or_insert(block.number.is_some()),
            block.number,
        ) {
            (true, Some(number)) => self.accept_number(number)?,
            (false, None) => true,
            (false, Some(_)) if matches!(self.order, EventOrder::EndEvent(_)) => true,
            _ => return Err(StreamFault::Number),
        };
        self.part.events += 1;
        Ok(is_new)
    }

    /// Checks the number of an event and returns whether the caller does not have the event yet.
    fn accept_number(&mut self, number: u64) -> Result<bool, StreamFault> {
        let follows = |last: u64| last.checked_add(1) == Some(number);
        if self.part.last.is_some_and(|last| !follows(last)) {
            return Err(StreamFault::Gap);
        }
        if self
            .last
            .is_some_and(|last| number > last && !follows(last))
        {
            return Err(StreamFault::Gap);
        }
        self.part.last = Some(number);
        let is_new = self.last.is_none_or(|last| number > last);
        if is_new {
            self.last = Some(number);
        }
        Ok(is_new)
    }
}
