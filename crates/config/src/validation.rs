//! Checks of configuration objects before they are accepted.

use std::fmt;

use sardinepin_common::Set;

use crate::rules::{Action, RuleList};
use crate::snapshot::Snapshot;

/// The most rules that a list may hold.
const RULES_MAX: usize = 1_000;

/// The weights that a rule may give.
const WEIGHTS: std::ops::RangeInclusive<u32> = 1..=1_000;

/// The deadlines that a rule may give, in milliseconds.
const DEADLINES_MS: std::ops::RangeInclusive<u64> = 1..=3_600_000;

/// One fault in an object, with the field and what is allowed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// The path of the field, such as `rules[2].then.weight`.
    pub field: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.field, self.message)
    }
}

/// Returns every fault of a rule list.
#[must_use]
pub fn validate_rules(list: &RuleList) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    if list.rules.len() > RULES_MAX {
        faults.push(fault(
            "rules",
            format!(
                "{} rules; at most {RULES_MAX} are allowed",
                list.rules.len()
            ),
        ));
    }
    let mut names = Set::default();
    for (at, rule) in list.rules.iter().enumerate() {
        let field = format!("rules[{at}]");
        if rule.name.is_empty() {
            faults.push(fault(
                &format!("{field}.name"),
                "a name is needed".to_owned(),
            ));
        }
        if !names.insert(rule.name.as_str()) {
            faults.push(fault(
                &format!("{field}.name"),
                format!("'{}' stands twice; names are unique", rule.name),
            ));
        }
        validate_action(&rule.then, &format!("{field}.then"), &mut faults);
    }
    faults
}

/// Returns every fault of a whole configuration, such as an upstream of an unknown service.
#[must_use]
pub fn validate_snapshot(snapshot: &Snapshot) -> Vec<ValidationError> {
    let mut faults = validate_rules(&snapshot.rules());
    for upstream in snapshot.upstreams() {
        if snapshot.service(&upstream.service).is_none() {
            faults.push(fault(
                &format!("upstreams/{}.service", upstream.name),
                format!("'{}' is no service", upstream.service),
            ));
        }
        if upstream.address.parse::<std::net::SocketAddr>().is_err() {
            faults.push(fault(
                &format!("upstreams/{}.address", upstream.name),
                format!(
                    "'{}' is no IP number and port, such as 10.0.0.1:7000",
                    upstream.address
                ),
            ));
        }
    }
    faults
}

fn validate_action(action: &Action, field: &str, faults: &mut Vec<ValidationError>) {
    if let Some(weight) = action.weight.filter(|weight| !WEIGHTS.contains(weight)) {
        faults.push(fault(
            &format!("{field}.weight"),
            format!(
                "{weight}; {} to {} are allowed",
                WEIGHTS.start(),
                WEIGHTS.end()
            ),
        ));
    }
    if let Some(deadline) = action
        .deadline_ms
        .filter(|deadline| !DEADLINES_MS.contains(deadline))
    {
        faults.push(fault(
            &format!("{field}.deadline_ms"),
            format!(
                "{deadline}; {} to {} are allowed",
                DEADLINES_MS.start(),
                DEADLINES_MS.end()
            ),
        ));
    }
    if let Some(limit) = action
        .limit
        .filter(|limit| limit.per_second == 0 || limit.burst == 0)
    {
        faults.push(fault(
            &format!("{field}.limit"),
            format!(
                "{} a second, burst {}; both are at least 1",
                limit.per_second, limit.burst
            ),
        ));
    }
    if action.class.as_deref() == Some("") {
        faults.push(fault(
            &format!("{field}.class"),
            "a class has a name".to_owned(),
        ));
    }
    let acts = action.class.is_some()
        || action.weight.is_some()
        || action.limit.is_some()
        || action.deadline_ms.is_some();
    if action.refuse && acts {
        faults.push(fault(
            &format!("{field}.refuse"),
            "a rule that refuses sets nothing else".to_owned(),
        ));
    }
    if !action.refuse && !acts {
        faults.push(fault(
            field,
            "nothing is done; class, weight, limit, deadline_ms or refuse is needed".to_owned(),
        ));
    }
}

fn fault(field: &str, message: String) -> ValidationError {
    ValidationError {
        field: field.to_owned(),
        message,
    }
}
