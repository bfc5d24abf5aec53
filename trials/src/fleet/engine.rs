//! Rank groups in lock-step: every pass lasts as long as the slowest rank.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_gateway::LoadReport;

/// The ranks of a group.
pub(crate) const RANKS: usize = 8;

/// The requests that a rank runs at once, and those that may wait at it.
pub(crate) const SLOTS: usize = 12;
const WAITING: usize = 24;

/// The token steps of a pass.
const STRIDE: f64 = 6.0;

/// The time of one step, and what each writing request adds, in milliseconds.
const STEP: f64 = 4.84;
const STEP_PER_WRITER: f64 = 0.362;

/// The prompt tokens read in a millisecond, and the most of one pass.
const READ: f64 = 74.8;
const READ_MAX: u32 = 512 * 6;

/// The share of a step that goes to experts, and the slowest rank's share of it over the mean.
const EXPERT_SHARE: f64 = 0.85;
const SKEW: f64 = 1.35;

/// A request at a rank.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) attempt: usize,
    pub(crate) prompt: u32,
    pub(crate) events: u32,
}

/// What a pass did to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Done {
    /// It gave one more event.
    Event(usize),
    /// It gave its last event.
    Last(usize),
}

/// One rank.
#[derive(Debug, Default)]
struct Rank {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
}

/// One group.
#[derive(Debug)]
pub(crate) struct Group {
    ranks: Vec<Rank>,
    pub(crate) passing: bool,
    pub(crate) is_out: bool,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            ranks: (0..RANKS).map(|_| Rank::default()).collect(),
            passing: false,
            is_out: false,
        }
    }
}

impl Group {
    /// Takes in a request; returns whether the rank has room for it.
    pub(crate) fn take(&mut self, rank: usize, run: Run) -> bool {
        let rank = &mut self.ranks[rank];
        let room = !self.is_out && rank.waiting.len() < WAITING;
        if room {
            rank.waiting.push_back(run);
        }
        room
    }

    /// Returns what a rank reports of its load.
    pub(crate) fn report(&self, rank: usize) -> LoadReport {
        let rank = &self.ranks[rank];
        LoadReport {
            running: rank.running.len() as u32,
            waiting: rank.waiting.len() as u32,
        }
    }

    /// Drops a request.
    pub(crate) fn cancel(&mut self, rank: usize, attempt: usize) {
        let rank = &mut self.ranks[rank];
        rank.running.retain(|run| run.attempt != attempt);
        rank.waiting.retain(|run| run.attempt != attempt);
    }

    /// Drops everything; returns the attempts.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        let mut attempts = Vec::new();
        for rank in &mut self.ranks {
            attempts.extend(rank.running.drain(..).map(|run| run.attempt));
            attempts.extend(rank.waiting.drain(..).map(|run| run.attempt));
        }
        attempts
    }

    /// Begins a pass if there is work; returns how long it lasts.
    pub(crate) fn begin(&mut self) -> Option<Millis> {
        if self.is_out {
            return None;
        }
        let mut slowest: f64 = 0.0;
        let mut any = false;
        for rank in &mut self.ranks {
            while rank.running.len() < SLOTS
                && let Some(run) = rank.waiting.pop_front()
            {
                rank.running.push(run);
            }
            any |= !rank.running.is_empty();
            slowest = slowest.max(rank.time());
        }
        self.passing = any;
        let spread = 1.0 - EXPERT_SHARE + EXPERT_SHARE * SKEW;
        any.then(|| Millis((slowest * spread).ceil() as u64))
    }

    /// Ends a pass; returns what became of the requests.
    pub(crate) fn end(&mut self) -> Vec<Done> {
        self.passing = false;
        let mut done = Vec::new();
        for rank in &mut self.ranks {
            rank.end(&mut done);
        }
        done
    }
}

impl Rank {
    fn time(&self) -> f64 {
        let writers = self.running.iter().filter(|run| run.prompt == 0).count();
        let unread: u32 = self.running.iter().map(|run| run.prompt).sum();
        let reading = f64::from(unread.min(READ_MAX)) / READ;
        let writing = if writers > 0 {
            STRIDE * (STEP + STEP_PER_WRITER * writers as f64)
        } else {
            0.0
        };
        reading + writing
    }

    fn end(&mut self, done: &mut Vec<Done>) {
        let mut left = READ_MAX;
        for run in &mut self.running {
            let read = run.prompt.min(left);
            left -= read;
            run.prompt -= read;
            if run.prompt > 0 {
                continue;
            }
            run.events -= 1;
            done.push(match run.events {
                0 => Done::Last(run.attempt),
                _ => Done::Event(run.attempt),
            });
        }
        self.running.retain(|run| run.events > 0);
    }
}
