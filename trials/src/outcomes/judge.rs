//! Compares what callers were told with what ran.

use std::collections::BTreeMap;

use sardinepin_common::Map;
use sardinepin_protocol::Outcome;
use sardinepin_standins::load::{CallKind, SendRecord};

/// What has run at all plain services together.
#[derive(Debug, Default)]
pub(super) struct Runs {
    /// By idempotency key.
    pub(super) keys: Map<String, u64>,
    /// By request identifier.
    pub(super) requests: Map<String, u64>,
}

/// What speaks against the promises.
#[derive(Debug, Default)]
pub(super) struct Judgement {
    /// Keys that ran more than once.
    pub(super) ran_twice: Vec<String>,
    /// Keys and requests that ran though every answer said that they did not.
    pub(super) false_not_run: Vec<String>,
    /// Answered keys and requests that no service knows of.
    pub(super) never_ran: Vec<String>,
}

/// Judges the records of a run against the services' own counts.
pub(super) fn judge(records: &[SendRecord], runs: &Runs) -> Judgement {
    let mut judgement = Judgement::default();
    for (key, copies) in by_key(records) {
        let count = runs.keys.get(key).copied().unwrap_or_default();
        judgement.add(key, &copies, count);
        if count > 1 {
            judgement.ran_twice.push(key.to_owned());
        }
    }
    for record in records
        .iter()
        .filter(|record| record.kind == CallKind::Plain)
    {
        let count = runs.requests.get(&record.request).copied();
        judgement.add(
            &record.request,
            &[record.outcome],
            count.unwrap_or_default(),
        );
    }
    judgement
}

/// Returns the outcomes of all copies of each key: one copy says nothing of the others.
fn by_key(records: &[SendRecord]) -> BTreeMap<&str, Vec<Outcome>> {
    let mut keys: BTreeMap<&str, Vec<Outcome>> = BTreeMap::new();
    for record in records {
        if let Some(key) = &record.key {
            keys.entry(key).or_default().push(record.outcome);
        }
    }
    keys
}

impl Judgement {
    fn add(&mut self, name: &str, outcomes: &[Outcome], count: u64) {
        let all_not_run = outcomes.iter().all(|outcome| *outcome == Outcome::NotRun);
        if all_not_run && count > 0 {
            self.false_not_run.push(name.to_owned());
        }
        if outcomes.contains(&Outcome::Answered) && count == 0 {
            self.never_ran.push(name.to_owned());
        }
    }
}
