//! Whether an answer that has ended is whole.

/// How an answer tells where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length, by chunks, or by having no body: an answer that is cut is not read to its end.
    Marked,
    /// By the end of its connection, which looks the same whether the process has written all or has crashed.
    Connection,
}

/// What is known of the process that wrote an answer, after the answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// It has been heard since.
    Alive,
    /// It is gone, or another process is at its address.
    Gone,
    /// It could not be reached in time.
    Unknown,
}

/// What is known of an answer when its connection or its framing says that it has ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedAnswer {
    /// How it tells where it ends.
    pub framing: Framing,
    /// Whether its status is a success.
    pub is_success: bool,
    /// Whether it has a body.
    pub has_body: bool,
}

/// What becomes of an answer that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It is whole by its own framing.
    Whole,
    /// It is whole if the process that wrote it has outlived it.
    NeedsProcess,
    /// Nothing can vouch for it: it may have been cut.
    Doubtful,
}

impl EndedAnswer {
    /// Decides whether the answer is whole, or what has to be asked.
    ///
    /// A success without length and without a byte of body is never whole: an upstream that gives up after the head of
    /// its answer looks like that.
    #[must_use]
    pub fn judge(self) -> AnswerEnd {
        match self.framing {
            Framing::Marked => AnswerEnd::Whole,
            Framing::Connection if self.is_success && !self.has_body => AnswerEnd::Doubtful,
            Framing::Connection => AnswerEnd::NeedsProcess,
        }
    }

    /// Decides whether the answer is whole once the process that wrote it has been asked.
    #[must_use]
    pub fn is_whole(self, process: ProcessState) -> bool {
        match self.judge() {
            AnswerEnd::Whole => true,
            AnswerEnd::NeedsProcess => process == ProcessState::Alive,
            AnswerEnd::Doubtful => false,
        }
    }
}
