//! Validation of configuration objects before they are accepted.

use std::fmt;

use sardinepin_common::Set;

use crate::rules::{Action, RuleList};
use crate::snapshot::Snapshot;

/// The maximum number of rules in a list.
const MAX_RULES: usize = 1_000;

/// The weights that a rule may set.
const ALLOWED_WEIGHTS: std::ops::RangeInclusive<u32> = 1..=1_000;

/// The deadlines that a rule may set, in milliseconds.
const ALLOWED_DEADLINES_MS: std::ops::RangeInclusive<u64> = 1..=3_600_000;

/// An invalid field of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// The path of the field, such as `rules[2].then.weight`.
    pub field: String,
    /// What is wrong with the value and which values are allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.message)
    }
}

/// Returns all errors in a rule list; empty if it is valid.
#[must_use]
pub fn validate_rules(list: &RuleList) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    if list.rules.len() > MAX_RULES {
        errors.push(validation_error(
            "rules",
            format!(
                "{} rules; at most {MAX_RULES} are allowed",
                list.rules.len()
            ),
        ));
    }
    let mut names = Set::default();
    for (index, rule) in list.rules.iter().enumerate() {
        let field = format!("rules[{index}]");
        if rule.name.is_empty() {
            errors.push(validation_error(
                &format!("{field}.name"),
                "a name is needed".to_owned(),
            ));
        }
        if !names.insert(rule.name.as_str()) {
            errors.push(validation_error(
                &format!("{field}.name"),
                format!("'{}' stands twice; names are unique", rule.name),
            ));
        }
        validate_action(&rule.then, &format!("{field}.then"), &mut errors);
    }
    errors
}

/// Returns all errors in a complete configuration, such as an upstream with an unknown service.
#[must_use]
pub fn validate_snapshot(snapshot: &Snapshot) -> Vec<ValidationError> {
    let mut errors = validate_rules(&snapshot.rules());
    for upstream in snapshot.upstreams() {
        if snapshot.service(&upstream.service).is_none() {
            errors.push(validation_error(
                &format!("upstreams/{}.service", upstream.name),
                format!("'{}' is no service", upstream.service),
            ));
        }
        if upstream.address.parse::<std::net::SocketAddr>().is_err() {
            errors.push(validation_error(
                &format!("upstreams/{}.address", upstream.name),
                format!(
                    "'{}' is no IP number and port, such as 10.0.0.1:7000",
                    upstream.address
                ),
            ));
        }
    }
    errors
}

fn validate_action(action: &Action, field: &str, errors: &mut Vec<ValidationError>) {
    if let Some(weight) = action
        .weight
        .filter(|weight| !ALLOWED_WEIGHTS.contains(weight))
    {
        errors.push(validation_error(
            &format!("{field}.weight"),
            format!(
                "{weight}; {} to {} are allowed",
                ALLOWED_WEIGHTS.start(),
                ALLOWED_WEIGHTS.end()
            ),
        ));
    }
    if let Some(deadline) = action
        .deadline_ms
        .filter(|deadline| !ALLOWED_DEADLINES_MS.contains(deadline))
    {
        errors.push(validation_error(
            &format!("{field}.deadline_ms"),
            format!(
                "{deadline}; {} to {} are allowed",
                ALLOWED_DEADLINES_MS.start(),
                ALLOWED_DEADLINES_MS.end()
            ),
        ));
    }
    if let Some(limit) = action
        .limit
        .filter(|limit| limit.per_second == 0 || limit.burst == 0)
    {
        errors.push(validation_error(
            &format!("{field}.limit"),
            format!(
                "{} a second, burst {}; both are at least 1",
                limit.per_second, limit.burst
            ),
        ));
    }
    if action.class.as_deref() == Some("") {
        errors.push(validation_error(
            &format!("{field}.class"),
            "a class has a name".to_owned(),
        ));
    }
    let sets_something = action.class.is_some()
        || action.weight.is_some()
        || action.limit.is_some()
        || action.deadline_ms.is_some();
    if action.refuse && sets_something {
        errors.push(validation_error(
            &format!("{field}.refuse"),
            "a rule that refuses sets nothing else".to_owned(),
        ));
    }
    if !action.refuse && !sets_something {
        errors.push(validation_error(
            field,
            "nothing is done; class, weight, limit, deadline_ms or refuse is needed".to_owned(),
        ));
    }
}

fn validation_error(field: &str, message: String) -> ValidationError {
    ValidationError {
        field: field.to_owned(),
        message,
    }
}
