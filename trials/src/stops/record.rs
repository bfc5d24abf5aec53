//! What callers got, and the checks of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

use super::runs::{Runs, RunsById};

/// How long after its last byte a request may end without an answer as it crossed the end of its connection.
const CROSSING_TIME: Millis = Millis(200);

/// Until when after the signal a request may come that is cut at the end of the grace, while its worker is at work.
const EXCUSED_UNTIL: Millis = Millis(3_000);

/// The time budget of every request. One that has used it may end anyhow.
pub(super) const TIME_BUDGET: Millis = Millis(8_000);

/// How much of it may be left: caller and gateway each cut their times to whole milliseconds.
const BUDGET_MARGIN: Millis = Millis(2);

/// When after the signal such requests may be cut: the last sixth of the grace.
const EXCUSED_FROM: Millis = Millis(6_667);

/// How long after its stop a gateway counts as stopping.
const STOP_TIME: Millis = Millis(9_000);

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A stream that may be resumed.
    Ask,
    /// A request that must not run twice.
    Book,
    /// A plain request that may be repeated.
    Status,
}

impl Kind {
    /// The kinds, as often as they are sent.
    pub(super) const ALL: [Self; 6] = [
        Self::Ask,
        Self::Ask,
        Self::Ask,
        Self::Ask,
        Self::Book,
        Self::Status,
    ];

    /// Returns the first part of its path.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Ask => "ask",
            Self::Book => "book",
            Self::Status => "status",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Ending {
    /// A whole answer.
    Served,
    /// A promise that the request did not run.
    Refused,
    /// An error that promises nothing.
    Failed,
    /// A part of an answer, which its caller can tell from a whole one.
    Cut,
    /// A part of an answer, or one of another request, that looks whole.
    LooksWhole,
    /// Bytes that are no part of the answer.
    Foreign,
    /// The connection ended without a byte of an answer.
    Unanswered,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) gateway: SocketAddr,
    /// Whether its connection had been used before.
    pub(super) is_kept: bool,
    pub(super) sent_at: Millis,
    pub(super) ended_at: Millis,
    pub(super) ending: Ending,
}

/// A stop of a gateway.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stop {
    pub(super) gateway: SocketAddr,
    pub(super) began: Millis,
    pub(super) exited: Millis,
}

/// All that callers got.
#[derive(Debug)]
pub(super) struct Records {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    attempts: Vec<Attempt>,
    stops: Vec<Stop>,
    finals: BTreeMap<(Kind, Ending), u64>,
    unconnected: BTreeMap<Kind, u64>,
}

impl Records {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Adds an attempt.
    pub(super) fn add(&self, attempt: Attempt) {
        self.state().attempts.push(attempt);
    }

    /// Adds an attempt for which no connection could be made.
    pub(super) fn add_unconnected(&self, kind: Kind) {
        *self.state().unconnected.entry(kind).or_default() += 1;
    }

    /// Adds how a request ended after all its attempts.
    pub(super) fn add_final(&self, kind: Kind, ending: Ending) {
        *self.state().finals.entry((kind, ending)).or_default() += 1;
    }

    /// Adds a stop.
    pub(super) fn add_stop(&self, stop: Stop) {
        self.state().stops.push(stop);
    }

    /// Returns the figures and the broken rules.
    pub(super) fn summary(&self, runs: &RunsById) -> Value {
        let state = self.state();
        let mut at_stops: BTreeMap<String, u64> = BTreeMap::new();
        let mut excused: BTreeMap<&'static str, u64> = BTreeMap::new();
        let mut cut_by_second: BTreeMap<i64, u64> = BTreeMap::new();
        let mut violations = Vec::new();
        for attempt in &state.attempts {
            let stop = state.stops.iter().find(|stop| stop.covers(attempt));
            if stop.is_some() {
                let label = format!("{}_{:?}", attempt.kind.label(), attempt.ending);
                *at_stops.entry(label.to_lowercase()).or_default() += 1;
            }
            if matches!(attempt.ending, Ending::Cut | Ending::Unanswered) {
                if let Some(excuse) = excuse(attempt, stop, runs_of(attempt, runs)) {
                    *excused.entry(excuse.label()).or_default() += 1;
                }
                if let Some(stop) = stop {
                    let sent = attempt.sent_at.0 as i64 - stop.began.0 as i64;
                    *cut_by_second.entry(sent.div_euclid(1_000)).or_default() += 1;
                }
            }
            violations.extend(violation(attempt, stop, runs));
        }
        let finals: BTreeMap<String, u64> = state
            .finals
            .iter()
            .map(|((kind, ending), count)| {
                (
                    format!("{}_{ending:?}", kind.label()).to_lowercase(),
                    *count,
                )
            })
            .collect();
        let stop_times: Vec<u64> = state
            .stops
            .iter()
            .map(|stop| stop.exited.since(stop.began).0)
            .collect();
        json!({
            "attempts": state.attempts.len(), "at_stops": at_stops, "finally": finals,
            "unconnected": state.unconnected.values().sum::<u64>(), "stop_ms": stop_times,
            "excused": excused, "cut_by_second_sent": cut_by_second, "violations": violations,
        })
    }
}

impl Stop {
    /// Returns whether an attempt was at this gateway at some time of its stop.
    fn covers(&self, attempt: &Attempt) -> bool {
        attempt.gateway == self.gateway
            && attempt.ended_at >= self.began
            && attempt.sent_at < self.began + STOP_TIME
            && attempt.sent_at <= self.exited
    }
}

fn runs_of(attempt: &Attempt, runs: &RunsById) -> Runs {
    runs.get(&attempt.id).copied().unwrap_or_default()
}

/// Returns what is wrong with an attempt.
fn violation(attempt: &Attempt, stop: Option<&Stop>, runs: &RunsById) -> Option<Value> {
    let runs = runs_of(attempt, runs);
    let ran = runs.count;
    let rule = match attempt.ending {
        _ if attempt.kind == Kind::Book && ran > 1 => "twice",
        Ending::Refused if attempt.kind == Kind::Book && ran > 0 => "refused_but_ran",
        Ending::LooksWhole => "looks_whole",
        Ending::Foreign => "foreign",
        Ending::Cut | Ending::Unanswered if excuse(attempt, stop, runs).is_none() => "lost",
        _ => return None,
    };
    let after = stop.map(|stop| attempt.sent_at.0 as i64 - stop.began.0 as i64);
    Some(json!({
        "rule": rule, "id": attempt.id, "kind": attempt.kind.label(), "ending": format!("{:?}", attempt.ending),
        "kept": attempt.is_kept, "arrivals": runs.arrivals, "at_work": runs.at_work, "sent_after_signal_ms": after, "took_ms": attempt.ended_at.since(attempt.sent_at).0,
        "ran": ran, "ended_after_signal_ms": stop.map(|stop| attempt.ended_at.since(stop.began).0),
        "worker_ended_after_signal_ms": stop.map(|stop| runs.ended_at.0 as i64 - stop.began.0 as i64),
    }))
}

/// Why a request may end without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Excuse {
    /// It crossed the end of its connection, and no worker has read it.
    Crossed,
    /// Its time budget has been used.
    TimeUsed,
    /// Its worker broke off.
    WorkerBroke,
    /// It was sent early in the stop, and its worker was still at work near the end of the grace.
    WorkerAtWork,
}

impl Excuse {
    fn label(self) -> &'static str {
        match self {
            Self::Crossed => "crossed",
            Self::TimeUsed => "time_used",
            Self::WorkerBroke => "worker_broke",
            Self::WorkerAtWork => "worker_at_work",
        }
    }
}

/// Returns why an attempt may have ended without a whole answer; `None` if nothing excuses it.
fn excuse(attempt: &Attempt, stop: Option<&Stop>, runs: Runs) -> Option<Excuse> {
    let took = attempt.ended_at.since(attempt.sent_at);
    let unanswered = attempt.ending == Ending::Unanswered;
    if unanswered && runs.arrivals == 0 && took <= CROSSING_TIME {
        return Some(Excuse::Crossed);
    }
    if took + BUDGET_MARGIN >= TIME_BUDGET {
        return Some(Excuse::TimeUsed);
    }
    if runs.is_spoiled {
        return Some(Excuse::WorkerBroke);
    }
    let at_work = stop.is_some_and(|stop| {
        attempt.sent_at <= stop.began + EXCUSED_UNTIL
            && runs.were_at_work(stop.began + EXCUSED_FROM)
    });
    at_work.then_some(Excuse::WorkerAtWork)
}
