//! Reads from the log of a gateway how its requests ended.

use std::time::UNIX_EPOCH;

use sardinepin_common::{Map, Millis};
use serde_json::Value;

use super::outcome::{Outcome, RequestResult};
use crate::log_lines::Fields;

/// The part of the latency objective above which the wait at the gateway is the cause of a late request.
const WAIT_SHARE: f64 = 0.5;

/// A request that has ended.
#[derive(Debug)]
pub(super) struct Ended {
    /// When it arrived, since the Unix epoch.
    pub(super) arrived_at: Millis,
    /// Its service; empty if it was rejected before that was known.
    pub(super) service: String,
    /// The name of its route; empty as for the service.
    pub(super) route: String,
    pub(super) outcome: Outcome,
}

/// What is known of a request that has been sent to an upstream.
#[derive(Debug, Clone, Copy)]
struct Placement {
    /// The time from its arrival to its first attempt.
    waited: Millis,
    attempts: u64,
}

/// Reads the log of one gateway.
#[derive(Debug, Default)]
pub(super) struct LogReader {
    /// The requests in progress.
    placed: Map<String, Placement>,
}

impl LogReader {
    /// Reads a line; returns a request that has ended with it.
    pub(super) fn read(&mut self, fields: &Fields) -> Option<Ended> {
        let event = text(fields, "event")?;
        let request = text(fields, "request").unwrap_or_default();
        if event == "placed" {
            let placement = Placement {
                waited: millis(fields, "waited_ms"),
                attempts: 0,
            };
            let known = self.placed.entry(request.to_owned()).or_insert(placement);
            known.attempts += 1;
            return None;
        }
        let placement = self.placed.get(request).copied();
        let outcome = outcome(event, fields, placement)?;
        self.placed.remove(request);
        let ended_at = time(text(fields, "time")?)?;
        Some(Ended {
            arrived_at: ended_at.since(millis(fields, "after_ms")),
            service: text(fields, "service").unwrap_or_default().to_owned(),
            route: text(fields, "route").unwrap_or_default().to_owned(),
            outcome,
        })
    }
}

/// Returns what became of a request, as the line says that ends it; `None` for other lines.
fn outcome(event: &str, fields: &Fields, placement: Option<Placement>) -> Option<Outcome> {
    let reason = text(fields, "reason").unwrap_or_default();
    let outcome = match event {
        "answered" => answered(fields, placement),
        "streamed" => streamed(fields, placement),
        "given_up" if flag(fields, "ran") => Outcome::new(RequestResult::Failed, reason),
        "given_up" if flag(fields, "returning") => {
            Outcome::new(RequestResult::Refused, &format!("{reason}_again"))
        }
        "given_up" | "turned_down" => Outcome::new(RequestResult::Refused, reason),
        "cut" => Outcome::new(RequestResult::Failed, reason),
        "caller_left" => Outcome::new(RequestResult::Left, progress(fields, placement)),
        _ => return None,
    };
    Some(outcome)
}

fn answered(fields: &Fields, placement: Option<Placement>) -> Outcome {
    let status = fields.get("status").and_then(Value::as_u64);
    match status {
        Some(200..=299) => {}
        Some(status) => {
            return Outcome::new(RequestResult::Failed, &format!("upstream_status_{status}"));
        }
        None => return Outcome::new(RequestResult::Failed, "upstream_status"),
    }
    let objective = millis(fields, "objective_ms");
    match millis(fields, "after_ms") <= objective {
        true => Outcome::IN_TIME,
        false => Outcome::new(RequestResult::Late, delay_cause(objective, placement)),
    }
}

fn streamed(fields: &Fields, placement: Option<Placement>) -> Outcome {
    let objective = millis(fields, "objective_ms");
    if millis(fields, "first_ms") > objective {
        return Outcome::new(RequestResult::Late, delay_cause(objective, placement));
    }
    match millis(fields, "pause_ms") <= millis(fields, "pause_max_ms") {
        true => Outcome::IN_TIME,
        false => Outcome::new(RequestResult::Late, "pause"),
    }
}

/// Returns where a late request has lost the most time.
fn delay_cause(objective: Millis, placement: Option<Placement>) -> &'static str {
    match placement {
        Some(placement) if placement.waited.as_f64() > objective.as_f64() * WAIT_SHARE => "waited",
        Some(placement) if placement.attempts > 1 => "retried",
        _ => "upstream",
    }
}

/// Returns how far a request had got when its caller left.
fn progress(fields: &Fields, placement: Option<Placement>) -> &'static str {
    let chunks = fields.get("chunks").and_then(Value::as_u64);
    match (placement, chunks) {
        (None, _) => "while_waiting",
        (Some(_), None | Some(0)) => "before_the_answer",
        (Some(_), Some(_)) => "during_the_answer",
    }
}

fn text<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    fields.get(name)?.as_str()
}

fn millis(fields: &Fields, name: &str) -> Millis {
    Millis(fields.get(name).and_then(Value::as_u64).unwrap_or_default())
}

fn flag(fields: &Fields, name: &str) -> bool {
    fields.get(name).and_then(Value::as_bool) == Some(true)
}

/// Returns the time of a line, since the Unix epoch.
fn time(text: &str) -> Option<Millis> {
    let time = humantime::parse_rfc3339(text).ok()?;
    let since_epoch = time.duration_since(UNIX_EPOCH).ok()?;
    u64::try_from(since_epoch.as_millis()).ok().map(Millis)
}
