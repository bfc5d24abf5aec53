//! The retry budget of one service.
//!
//! This answers upstreams that fail many requests at once, at all nodes. Each node earns retries by its own requests, and a part of
//! what all nodes share by time. It starts with none and saves up a few: what it may save and what it earns within a window come to
//! the budget together. So all nodes stay within it in every window, whatever one did before a restart, and however callers move
//! between nodes. A granted retry counts as saved until it is sent, so that many which wait cannot arrive together on top of those
//! earned meanwhile.

use std::collections::VecDeque;

use sardinepin_common::Millis;

use crate::node_count::NodeCount;
use crate::token_bucket::{BucketSize, TokenBucket, WHOLE_TOKEN};

/// Settings of a retry budget.
///
/// In every window all nodes together make at most `ratio + saved_ratio` retries for each request of it or of the window before it,
/// and `shared_slack` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// The retries that each request earns.
    pub ratio: f64,
    /// The retries per request of the last window that may be saved up, of those earned.
    pub saved_ratio: f64,
    /// The additional retries that all nodes together may make in a window, whatever the number of requests.
    pub shared_slack: f64,
    /// The length of the window.
    pub window: Millis,
    /// The retries that a node has at its start, beyond the bound.
    pub initial: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            saved_ratio: 0.025,
            shared_slack: 20.0,
            window: Millis(10_000),
            initial: 0.0,
        }
    }
}

/// The part of the shared slack that nodes save up; the rest accrues during a window.
const SAVED_SLACK: f64 = 0.5;

/// How long it is a node's turn to save a retry, if there are fewer to save than nodes.
const TURN_TIME: Millis = Millis(10_000);

/// How far a node's position moves from one turn to the next: the golden ratio spreads positions evenly.
const TURN_STEP: f64 = 0.618_033_988_749_895;

/// What is left of a budget, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetStatus {
    /// The retries that may still be made now.
    pub remaining: f64,
    /// How many nodes the shared part is divided by; `None` if that is unknown.
    pub nodes: Option<f64>,
}

/// The retries of one service that one node may make.
#[derive(Debug)]
pub struct RetryBudget {
    bucket: TokenBucket,
    /// The times of the requests within the last window.
    requests: VecDeque<Millis>,
    /// The granted retries that have not been sent yet.
    reserved: u32,
    nodes: NodeCount,
    /// This node's position in the first turn, from 0 to 1.
    position: f64,
}

impl RetryBudget {
    /// Returns the budget of a node that starts. `position` is from 0 to 1 and differs between nodes.
    #[must_use]
    pub fn new(now: Millis, position: f64, settings: &BudgetSettings) -> Self {
        Self {
            bucket: TokenBucket::with_tokens(now, settings.initial),
            requests: VecDeque::new(),
            reserved: 0,
            nodes: NodeCount::default(),
            position,
        }
    }

    /// Records how many nodes share the budget.
    pub fn record_nodes(&mut self, now: Millis, nodes: f64) {
        self.nodes.record(now, nodes);
    }

    /// Counts a request, which earns a part of a retry.
    pub fn record_request(&mut self, now: Millis, settings: &BudgetSettings) {
        self.refill(now, settings);
        self.requests.push_back(now);
        let size = self.size(now, settings);
        self.bucket.add(settings.ratio, size.capacity);
    }

    /// Reserves a retry if one is left; returns whether one was. Follow it by `record_sent` or `release`.
    pub fn try_reserve(&mut self, now: Millis, settings: &BudgetSettings) -> bool {
        self.refill(now, settings);
        let available = self.bucket.try_take();
        self.reserved += u32::from(available);
        available
    }

    /// Records that a reserved retry was sent.
    pub fn record_sent(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Gives back a reserved retry that will not be sent.
    pub fn release(&mut self, now: Millis, settings: &BudgetSettings) {
        self.reserved = self.reserved.saturating_sub(1);
        let size = self.size(now, settings);
        self.bucket.add(1.0, size.capacity);
    }

    /// Returns what is left of the budget.
    pub fn status(&mut self, now: Millis, settings: &BudgetSettings) -> BudgetStatus {
        self.refill(now, settings);
        let size = self.size(now, settings);
        BudgetStatus {
            remaining: self.bucket.tokens_at(now, size),
            nodes: self.nodes.known(),
        }
    }

    /// Returns whether a retry is left, without reserving it.
    pub fn has_retry(&mut self, now: Millis, settings: &BudgetSettings) -> bool {
        self.status(now, settings).remaining >= WHOLE_TOKEN
    }

    fn refill(&mut self, now: Millis, settings: &BudgetSettings) {
        let expired = |at: &Millis| now.since(*at) > settings.window;
        while self.requests.front().is_some_and(expired) {
            self.requests.pop_front();
        }
        let size = self.size(now, settings);
        self.bucket.refill(now, size);
    }

    /// Returns the rate and the capacity of this node's part, less what is reserved.
    fn size(&self, now: Millis, settings: &BudgetSettings) -> BucketSize {
        let part = settings.shared_slack / self.nodes.divisor();
        let earlier = settings.saved_ratio * self.requests.len() as f64;
        let saved = part * SAVED_SLACK + earlier;
        let accrues = part * (1.0 - SAVED_SLACK) * 1_000.0 / settings.window.as_f64().max(1.0);
        let (saved, accrues) = match saved {
            saved if saved >= WHOLE_TOKEN => (saved, accrues),
            // A part of a retry is of no use, so some of the nodes save a whole one, in turn.
            saved if self.is_in_turn(now, saved) => (1.0, accrues / saved),
            _ => (0.0, 0.0),
        };
        BucketSize {
            per_second: accrues,
            capacity: (saved.max(settings.initial) - f64::from(self.reserved)).max(0.0),
        }
    }

    /// Returns whether this node is one of the `share` of nodes whose turn it is.
    fn is_in_turn(&self, now: Millis, share: f64) -> bool {
        let turn = (now.0 / TURN_TIME.0) as f64;
        (self.position + turn * TURN_STEP).fract() < share
    }
}
