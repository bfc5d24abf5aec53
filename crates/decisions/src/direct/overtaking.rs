//! Finds requests that later ones to the same rank group have overtaken.
//!
//! This answers a rank that accepts requests and never begins to answer them, while its health checks are good. All ranks of a group
//! make the same steps, so a request that still waits while several later ones are answered by other ranks does not wait for the group.
//! The wait alone says less: it grows for all requests when the group slows down.

use std::collections::VecDeque;

use sardinepin_common::Millis;

/// How many answered requests of a group are remembered.
const ANSWERED_MAX: usize = 32;

/// How many later requests have to be answered before a waiting one counts as overtaken. A full rank lets a few pass.
const OVERTAKEN_MIN: usize = 4;

/// The requests of one gateway that a group has begun to answer.
#[derive(Debug, Default)]
pub(super) struct AnsweredRequests {
    /// When the requests that were answered last had been sent.
    sent: VecDeque<Millis>,
}

impl AnsweredRequests {
    /// Records that the answer to a request that was sent at `sent_at` has begun.
    pub(super) fn record(&mut self, sent_at: Millis) {
        if self.sent.len() == ANSWERED_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back(sent_at);
    }

    /// Returns whether a request that was sent at `sent_at` and waits for its answer has been overtaken.
    pub(super) fn have_overtaken(&self, sent_at: Millis) -> bool {
        let later = self.sent.iter().filter(|answered| **answered > sent_at);
        later.count() >= OVERTAKEN_MIN
    }
}
