//! Answers of workers in trouble.

use rand::Rng as _;
use sardinepin_common::Rng;

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Wrong {
    /// A success of the type JSON, whose text ends like an event.
    Json,
    /// An error with a text that ends like an event.
    Error,
    /// A stream of length 0.
    Empty,
    /// A stream in chunks without any.
    NoChunk,
    /// A stream that leaves out an event.
    Gap,
    /// A stream with the head of an error in its middle, which then breaks off.
    HeadInside,
    /// A stream that breaks off within an event.
    CutEvent,
    /// A stream that breaks off between two events, or an answer that is shorter than it says.
    BreakOff,
    /// A head that breaks off.
    CutHead,
    /// A whole head without length, and nothing after it.
    HeadAlone,
    /// An answer without length, in the middle of which the worker crashes.
    Crash,
}

impl Wrong {
    const OF_STREAMS: [Self; 11] = [
        Self::Json,
        Self::Error,
        Self::Empty,
        Self::NoChunk,
        Self::Gap,
        Self::HeadInside,
        Self::CutEvent,
        Self::BreakOff,
        Self::CutHead,
        Self::HeadAlone,
        Self::Crash,
    ];

    const OF_PLAIN: [Self; 4] = [Self::BreakOff, Self::CutHead, Self::HeadAlone, Self::Crash];

    /// Draws what is wrong with an answer; `None` for most, if `percent` is low.
    pub(super) fn draw(rng: &mut Rng, percent: u64, is_stream: bool) -> Option<Self> {
        let kinds = match is_stream {
            true => &Self::OF_STREAMS[..],
            false => &Self::OF_PLAIN[..],
        };
        let is_wrong = rng.random_range(0..100) < percent;
        is_wrong.then(|| kinds[rng.random_range(0..kinds.len())])
    }

    /// Returns whether the answer has a length or chunks.
    pub(super) fn is_marked(self) -> bool {
        !matches!(self, Self::HeadAlone | Self::Crash)
    }
}
