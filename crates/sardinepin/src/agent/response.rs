//! The response of one attempt, buffered until its entry has acknowledged it.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use sardinepin_common::{AttemptId, Millis};
use sardinepin_protocol::{ErrorKind, HeaderField, ToEntry};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// How long a stopping agent keeps an ended response for an entry whose link is closed.
const ABANDON_AFTER: Millis = Millis(3_000);

/// The queue of frames to write to one link.
pub(crate) type FrameSender = mpsc::UnboundedSender<ToEntry>;

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseEnd {
    /// The upstream sent the complete response.
    Complete,
    /// The attempt did not run.
    Refused {
        kind: ErrorKind,
        /// When a retry may succeed; zero if unknown.
        retry: Millis,
    },
    /// The response broke off; the attempt may have run.
    Broken(ErrorKind),
}

impl ResponseEnd {
    /// Returns the end of an attempt that did not run, without a time for a retry.
    pub(crate) fn refused(kind: ErrorKind) -> Self {
        Self::Refused {
            kind,
            retry: Millis::ZERO,
        }
    }
}

/// The buffered response of one attempt.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    id: AttemptId,
    link: FrameSender,
    head: Option<(u16, Vec<HeaderField>)>,
    /// The sequence number of the first buffered chunk.
    first_seq: u64,
    chunks: VecDeque<Bytes>,
    end: Option<(Millis, ResponseEnd)>,
    /// Whether the entry has cancelled the attempt or acknowledged the end of the response.
    discarded: bool,
    window_changed: Arc<Notify>,
    stop_token: CancellationToken,
}

impl BufferedResponse {
    /// Creates an empty response that is sent over `link`.
    pub(crate) fn new(id: AttemptId, link: FrameSender) -> Self {
        Self {
            id,
            link,
            head: None,
            first_seq: 0,
            chunks: VecDeque::new(),
            end: None,
            discarded: false,
            window_changed: Arc::default(),
            stop_token: CancellationToken::new(),
        }
    }

    /// Returns the notification that is sent when chunks are acknowledged or the response ends.
    pub(crate) fn window_changed(&self) -> Arc<Notify> {
        Arc::clone(&self.window_changed)
    }

    /// Returns the token whose cancellation stops the attempt.
    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.stop_token.clone()
    }

    /// Returns whether `window` chunks are unacknowledged, so that the next one has to wait.
    pub(crate) fn is_window_full(&self, window: u64) -> bool {
        self.end.is_none() && self.chunks.len() as u64 >= window
    }

    /// Returns when the response ended.
    pub(crate) fn ended_at(&self) -> Option<Millis> {
        self.end.map(|(at, _)| at)
    }

    /// Returns whether the response ended at least [`ABANDON_AFTER`] ago and its link is closed.
    pub(crate) fn is_abandoned(&self, now: Millis) -> bool {
        let ended = self
            .ended_at()
            .is_some_and(|at| now.since(at) >= ABANDON_AFTER);
        ended && self.link.is_closed()
    }

    /// Stores the status and the header fields, and sends them.
    pub(crate) fn set_head(&mut self, status: u16, headers: Vec<HeaderField>) {
        if self.end.is_some() {
            return;
        }
        self.head = Some((status, headers));
        self.send_head();
    }

    /// Appends the next chunk and sends it.
    pub(crate) fn push_chunk(&mut self, data: Bytes) {
        if self.discarded || self.end.is_some() {
            return;
        }
        let seq = self.first_seq + self.chunks.len() as u64;
        self.chunks.push_back(data);
        self.send_chunk(seq);
    }

    /// Ends the response; only the first call has an effect.
    pub(crate) fn finish(&mut self, now: Millis, end: ResponseEnd) {
        if self.end.is_some() {
            return;
        }
        self.end = Some((now, end));
        self.window_changed.notify_one();
        self.send_end();
    }

    /// Discards the buffered chunks: the entry needs nothing more of the response.
    pub(crate) fn discard(&mut self) {
        self.discarded = true;
        self.chunks.clear();
        self.window_changed.notify_one();
    }

    /// Returns whether the response has ended and the entry needs nothing more of it.
    pub(crate) fn is_discardable(&self) -> bool {
        self.discarded && self.end.is_some()
    }

    /// Drops the first `chunks` chunks of the response, which the entry has received.
    pub(crate) fn acknowledge(&mut self, chunks: u64) {
        while self.first_seq < chunks && self.chunks.pop_front().is_some() {
            self.first_seq += 1;
        }
        self.window_changed.notify_one();
    }

    /// Moves the response to another link and sends everything after the first `chunks` chunks.
    pub(crate) fn attach(&mut self, link: FrameSender, chunks: u64) {
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
            ResponseEnd::Complete => ToEntry::End {
                id,
                chunks: self.first_seq + self.chunks.len() as u64,
            },
            ResponseEnd::Refused { kind, retry } => ToEntry::Refused {
                id,
                kind,
                retry_ms: u32::try_from(retry.0).unwrap_or(u32::MAX),
            },
            ResponseEnd::Broken(kind) => ToEntry::Broken { id, kind },
        });
    }

    /// Queues a frame; on a closed link it is lost, and the entry asks again over its next link.
    fn send(&self, frame: ToEntry) {
        let _ = self.link.send(frame);
    }
}
