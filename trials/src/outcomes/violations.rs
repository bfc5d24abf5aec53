//! Compares the outcomes that callers were told with what ran.

use std::collections::BTreeMap;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Outcome;
use sardinepin_standins::load::{CallKind, SendRecord};

/// How long after its caller has left a call may still arrive at a service.
const LATE_MIN: Millis = Millis(500);

/// How often each call ran, summed over all plain services.
#[derive(Debug, Default)]
pub(crate) struct RunCounts {
    /// By idempotency key.
    pub(crate) keys: Map<String, u64>,
    /// By request identifier.
    pub(crate) requests: Map<String, u64>,
    /// When each call arrived last, by request identifier, in wall-clock time.
    pub(crate) arrivals: Map<String, Millis>,
}

/// Calls whose outcomes contradict what ran.
#[derive(Debug, Default)]
pub(crate) struct Violations {
    /// Idempotency keys that ran more than once.
    pub(crate) ran_twice: Vec<String>,
    /// Keys and requests that ran although every answer said `not_run`.
    pub(crate) false_not_run: Vec<String>,
    /// Keys and requests that were answered but ran at no service.
    pub(crate) never_ran: Vec<String>,
    /// Requests that arrived after their callers had left.
    pub(crate) late: Vec<String>,
}

/// Compares the records of the load client with the counts of the services.
pub(crate) fn find_violations(records: &[SendRecord], runs: &RunCounts) -> Violations {
    let mut violations = Violations::default();
    for (key, copies) in outcomes_by_key(records) {
        let count = runs.keys.get(key).copied().unwrap_or_default();
        violations.check(key, &copies, count);
        if count > 1 {
            violations.ran_twice.push(key.to_owned());
        }
    }
    for record in records
        .iter()
        .filter(|record| record.kind == CallKind::Plain)
    {
        let count = runs.requests.get(&record.request).copied();
        violations.check(
            &record.request,
            &[record.outcome],
            count.unwrap_or_default(),
        );
        violations.check_late(record, runs);
    }
    violations
}

/// Returns the outcomes of all copies of each key. They are judged together, because the outcome of
/// one copy does not tell whether another copy ran.
fn outcomes_by_key(records: &[SendRecord]) -> BTreeMap<&str, Vec<Outcome>> {
    let mut keys: BTreeMap<&str, Vec<Outcome>> = BTreeMap::new();
    for record in records {
        if let Some(key) = &record.key {
            keys.entry(key).or_default().push(record.outcome);
        }
    }
    keys
}

impl Violations {
    fn check_late(&mut self, record: &SendRecord, runs: &RunCounts) {
        let arrival = runs.arrivals.get(&record.request);
        if let (Some(left_at), Some(arrival)) = (record.left_at, arrival)
            && arrival.since(left_at) > LATE_MIN
        {
            self.late.push(record.request.clone());
        }
    }

    fn check(&mut self, name: &str, outcomes: &[Outcome], count: u64) {
        let all_not_run = outcomes.iter().all(|outcome| *outcome == Outcome::NotRun);
        if all_not_run && count > 0 {
            self.false_not_run.push(name.to_owned());
        }
        if outcomes.contains(&Outcome::Answered) && count == 0 {
            self.never_ran.push(name.to_owned());
        }
    }
}
