//! The answer of one attempt, kept until its entry has it.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use sardinepin_common::{AttemptId, Millis};
use sardinepin_protocol::{ErrorKind, HeaderField, ToEntry};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// How long an ended answer waits for an entry whose link is gone, when the agent stops.
const ABANDON_AFTER: Millis = Millis(3_000);

/// Where frames to one entry go.
pub(crate) type EntrySender = mpsc::UnboundedSender<ToEntry>;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// It is whole.
    Complete,
    /// The attempt did not run.
    Refused(ErrorKind),
    /// No more of it will come.
    Broken(ErrorKind),
}

/// The answer of one attempt.
#[derive(Debug)]
pub(crate) struct Answer {
    id: AttemptId,
    link: EntrySender,
    head: Option<(u16, Vec<HeaderField>)>,
    /// The number of the first chunk that is still kept.
    first_seq: u64,
    chunks: VecDeque<Bytes>,
    end: Option<(Millis, AnswerEnd)>,
    /// Whether the entry wants no more of it.
    unwanted: bool,
    window_changed: Arc<Notify>,
    stop_token: CancellationToken,
}

impl Answer {
    /// Starts an empty answer that goes to `link`.
    pub(crate) fn new(id: AttemptId, link: EntrySender) -> Self {
        Self {
            id,
            link,
            head: None,
            first_seq: 0,
            chunks: VecDeque::new(),
            end: None,
            unwanted: false,
            window_changed: Arc::default(),
            stop_token: CancellationToken::new(),
        }
    }

    /// Returns the signal that chunks were acknowledged.
    pub(crate) fn window_changed(&self) -> Arc<Notify> {
        Arc::clone(&self.window_changed)
    }

    /// Returns the token that stops the attempt.
    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.stop_token.clone()
    }

    /// Returns whether `window` chunks are kept unacknowledged and one more has to wait.
    pub(crate) fn is_window_full(&self, window: u64) -> bool {
        self.end.is_none() && self.chunks.len() as u64 >= window
    }

    /// Returns when the answer ended.
    pub(crate) fn ended_at(&self) -> Option<Millis> {
        self.end.map(|(at, _)| at)
    }

    /// Returns whether the answer ended a while ago and no entry has come back for it.
    pub(crate) fn is_abandoned(&self, now: Millis) -> bool {
        let ended = self
            .ended_at()
            .is_some_and(|at| now.since(at) >= ABANDON_AFTER);
        ended && self.link.is_closed()
    }

    /// Takes in the head.
    pub(crate) fn set_head(&mut self, status: u16, headers: Vec<HeaderField>) {
        if self.end.is_some() {
            return;
        }
        self.head = Some((status, headers));
        self.send_head();
    }

    /// Takes in the next chunk.
    pub(crate) fn push_chunk(&mut self, data: Bytes) {
        if self.unwanted || self.end.is_some() {
            return;
        }
        let seq = self.first_seq + self.chunks.len() as u64;
        self.chunks.push_back(data);
        self.send_chunk(seq);
    }

    /// Ends the answer.
    pub(crate) fn finish(&mut self, now: Millis, end: AnswerEnd) {
        if self.end.is_some() {
            return;
        }
        self.end = Some((now, end));
        self.window_changed.notify_one();
        self.send_end();
    }

    /// Drops the answer: its entry wants no more of it.
    pub(crate) fn abandon(&mut self) {
        self.unwanted = true;
        self.chunks.clear();
        self.window_changed.notify_one();
    }

    /// Returns whether the answer has ended and nobody wants it.
    pub(crate) fn is_discardable(&self) -> bool {
        self.unwanted && self.end.is_some()
    }

    /// Drops the chunks that the entry has.
    pub(crate) fn acknowledge(&mut self, chunks: u64) {
        while self.first_seq < chunks && self.chunks.pop_front().is_some() {
            self.first_seq += 1;
        }
        self.window_changed.notify_one();
    }

    /// Sends to another link what the entry lacks.
    pub(crate) fn attach(&mut self, link: EntrySender, chunks: u64) {
        self.link = link;
        self.acknowledge(chunks);
        self.send_head();
        for seq in self.first_seq..self.first_seq + self.chunks.len() as u64 {
            self.send_chunk(seq);
        }
        self.send_end();
    }

    fn send_head(&self) {
        if let Some((status, headers)) = &self.head {
            self.send(ToEntry::Head {
                id: self.id,
                status: *status,
                headers: headers.clone(),
            });
        }
    }

    fn send_chunk(&self, seq: u64) {
        let at = usize::try_from(seq - self.first_seq).unwrap_or(usize::MAX);
        if let Some(data) = self.chunks.get(at) {
            self.send(ToEntry::Chunk {
                id: self.id,
                seq,
                data: data.clone(),
            });
        }
    }

    fn send_end(&self) {
        let Some((_, end)) = self.end else { return };
        let id = self.id;
        self.send(match end {
            AnswerEnd::Complete => ToEntry::End {
                id,
                chunks: self.first_seq + self.chunks.len() as u64,
            },
            AnswerEnd::Refused(kind) => ToEntry::Refused {
                id,
                kind,
                retry_ms: 0,
            },
            AnswerEnd::Broken(kind) => ToEntry::Broken { id, kind },
        });
    }

    /// A link that is gone takes nothing; the entry asks again over its next one.
    fn send(&self, frame: ToEntry) {
        let _ = self.link.send(frame);
    }
}
