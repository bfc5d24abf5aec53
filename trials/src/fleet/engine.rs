//! A model of rank groups in lockstep: every pass lasts as long as that of the slowest rank.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_decisions::direct::LoadReport;
use sardinepin_protocol::{GroupSample, RankLoad};

/// The ranks of a group.
pub(crate) const RANKS: usize = 8;

/// The maximum number of concurrent requests of a rank.
pub(crate) const RANK_SLOTS: usize = 12;

/// The maximum number of queued requests of a rank.
const RANK_QUEUE_MAX: usize = 24;

/// The token steps of a pass; each decoding request returns one event per pass.
const STEPS_PER_PASS: f64 = 6.0;

/// The base time of a step, in milliseconds.
const STEP_MS: f64 = 4.84;

/// The time that each decoding request adds to a step, in milliseconds.
const STEP_MS_PER_DECODE: f64 = 0.362;

/// The prefill throughput of a rank, in prompt tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 74.8;

/// The maximum number of prompt tokens that a rank prefills in one pass.
const PREFILL_TOKENS_MAX: u32 = 512 * 6;

/// The share of a step's work that is done by experts.
const EXPERT_SHARE: f64 = 0.85;

/// The expert load of the slowest rank over the mean.
const SKEW: f64 = 1.35;

/// A request at a rank, with the prompt tokens and events that remain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineRequest {
    pub(crate) attempt: usize,
    pub(crate) prompt: u32,
    pub(crate) events: u32,
    /// The priority that the engine was told; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// The result of a pass for a request; the number is that of its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassResult {
    /// The request returned an event.
    Event(usize),
    /// The request returned its last event.
    Last(usize),
}

/// A rank.
#[derive(Debug, Default)]
struct Rank {
    running: Vec<EngineRequest>,
    waiting: VecDeque<EngineRequest>,
}

/// The number of ranks of a group and the limits of each.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupShape {
    pub(crate) ranks: usize,
    pub(crate) slots: usize,
    pub(crate) queue_max: usize,
    /// The duration of a pass over that of today's deployment.
    pub(crate) pass_time: f64,
}

impl Default for GroupShape {
    fn default() -> Self {
        Self {
            ranks: RANKS,
            slots: RANK_SLOTS,
            queue_max: RANK_QUEUE_MAX,
            pass_time: 1.0,
        }
    }
}

/// A rank group.
#[derive(Debug)]
pub(crate) struct Group {
    shape: GroupShape,
    ranks: Vec<Rank>,
    /// The number of passes that have ended.
    pub(crate) step: u64,
    /// Whether a pass is running.
    pub(crate) in_pass: bool,
    /// Whether the group has an outage.
    pub(crate) is_out: bool,
}

impl Default for Group {
    fn default() -> Self {
        Self::new(GroupShape::default())
    }
}

impl Group {
    pub(crate) fn new(shape: GroupShape) -> Self {
        Self {
            shape,
            ranks: (0..shape.ranks).map(|_| Rank::default()).collect(),
            step: 0,
            in_pass: false,
            is_out: false,
        }
    }

    /// Queues a request at a rank; returns `false` if the group has an outage or the queue is full.
    pub(crate) fn accept(&mut self, rank: usize, request: EngineRequest) -> bool {
        let rank = &mut self.ranks[rank];
        let has_room = !self.is_out && rank.waiting.len() < self.shape.queue_max;
        if has_room {
            let ahead = |queued: &EngineRequest| queued.priority <= request.priority;
            let position = rank.waiting.partition_point(ahead);
            rank.waiting.insert(position, request);
        }
        has_room
    }

    /// Returns the load report of a rank.
    pub(crate) fn report(&self, rank: usize) -> LoadReport {
        let rank = &self.ranks[rank];
        LoadReport {
            running: rank.running.len() as u32,
            waiting: rank.waiting.len() as u32,
        }
    }

    /// Drops the request of an attempt.
    pub(crate) fn cancel(&mut self, rank: usize, attempt: usize) {
        let rank = &mut self.ranks[rank];
        rank.running.retain(|request| request.attempt != attempt);
        rank.waiting.retain(|request| request.attempt != attempt);
    }

    /// Drops all requests; returns their attempts.
    pub(crate) fn drop_all(&mut self) -> Vec<usize> {
        let mut attempts = Vec::new();
        for rank in &mut self.ranks {
            attempts.extend(rank.running.drain(..).map(|request| request.attempt));
            attempts.extend(rank.waiting.drain(..).map(|request| request.attempt));
        }
        attempts
    }

    /// Starts a pass if there is work; returns its duration.
    pub(crate) fn start_pass(&mut self) -> Option<Millis> {
        if self.is_out {
            return None;
        }
        let mut slowest_ms: f64 = 0.0;
        let mut has_work = false;
        for rank in &mut self.ranks {
            while rank.running.len() < self.shape.slots
                && let Some(request) = rank.waiting.pop_front()
            {
                rank.running.push(request);
            }
            has_work |= !rank.running.is_empty();
            slowest_ms = slowest_ms.max(rank.pass_time_ms());
        }
        self.in_pass = has_work;
        let skew_factor = 1.0 - EXPERT_SHARE + EXPERT_SHARE * SKEW;
        has_work.then(|| Millis((slowest_ms * skew_factor * self.shape.pass_time).ceil() as u64))
    }

    /// Returns the load of all ranks, as the coordinator of the group samples it.
    pub(crate) fn sample(&self, gateways: usize) -> GroupSample {
        let ranks = self.ranks.iter().map(|rank| {
            Some(RankLoad {
                running: rank.running.len() as u16,
                waiting: rank.waiting.len() as u16,
                pace_percent: 100,
            })
        });
        GroupSample {
            ranks: ranks.collect(),
            gateways: gateways as u32,
            ..GroupSample::default()
        }
    }

    /// Ends a pass; returns its results.
    pub(crate) fn end_pass(&mut self) -> Vec<PassResult> {
        self.in_pass = false;
        self.step += 1;
        let mut results = Vec::new();
        for rank in &mut self.ranks {
            rank.end_pass(&mut results);
        }
        results
    }
}

impl Rank {
    fn pass_time_ms(&self) -> f64 {
        let decoding = self
            .running
            .iter()
            .filter(|request| request.prompt == 0)
            .count();
        let prefill_tokens: u32 = self.running.iter().map(|request| request.prompt).sum();
        let prefill_ms = f64::from(prefill_tokens.min(PREFILL_TOKENS_MAX)) / PREFILL_TOKENS_PER_MS;
        let decode_ms = if decoding > 0 {
            STEPS_PER_PASS * (STEP_MS + STEP_MS_PER_DECODE * decoding as f64)
        } else {
            0.0
        };
        prefill_ms + decode_ms
    }

    fn end_pass(&mut self, results: &mut Vec<PassResult>) {
        let mut remaining = PREFILL_TOKENS_MAX;
        for request in &mut self.running {
            let prefilled = request.prompt.min(remaining);
            remaining -= prefilled;
            request.prompt -= prefilled;
            if request.prompt > 0 {
                continue;
            }
            request.events -= 1;
            results.push(match request.events {
                0 => PassResult::Last(request.attempt),
                _ => PassResult::Event(request.attempt),
            });
        }
        self.running.retain(|request| request.events > 0);
    }
}
