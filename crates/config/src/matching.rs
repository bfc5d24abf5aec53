//! Rule evaluation: finds the first rule that matches a request and explains why earlier ones do not.

use crate::kinds::Organisation;
use crate::rules::{Action, Condition, HeaderMatch, Limit, Rule, RuleList};

/// The attributes of a request that rule conditions can match.
#[derive(Debug, Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// The name of the caller's organisation.
    pub organisation: &'a str,
    /// The tags of the organisation; empty if it is not configured.
    pub tags: &'a [String],
    /// The name of the service that the request is routed to.
    pub service: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The request path without the query.
    pub path: &'a str,
    /// The header fields, with names in lower case.
    pub headers: &'a [(String, String)],
}

/// The result of evaluating the rule list for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The name of the rule that matched; `None` if the defaults apply.
    pub rule: Option<String>,
    /// The priority class of the request.
    pub class: String,
    /// The weight of the class's requests.
    pub weight: u32,
    /// The rate limit of the organisation, if the rule sets one.
    pub limit: Option<Limit>,
    /// The deadline in milliseconds after arrival, if the rule sets one.
    pub deadline_ms: Option<u64>,
    /// Whether the rule refuses the request.
    pub refuse: bool,
}

impl Default for Decision {
    fn default() -> Self {
        Self {
            rule: None,
            class: "normal".to_owned(),
            weight: 1,
            limit: None,
            deadline_ms: None,
            refuse: false,
        }
    }
}

/// The result of testing one rule against a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleEvaluation {
    /// The name of the rule.
    pub rule: String,
    /// The first condition that does not hold, with the expected and actual values; `None` if the
    /// rule matches.
    pub mismatch: Option<String>,
}

/// Returns the decision of the first rule that matches, or the default decision.
#[must_use]
pub fn evaluate_rules(list: &RuleList, request: &RequestAttributes<'_>) -> Decision {
    list.rules
        .iter()
        .find(|rule| first_mismatch(&rule.when, request).is_none())
        .map_or_else(Decision::default, |rule| decision(&rule.name, &rule.then))
}

/// Returns the evaluation of each rule up to and including the first that matches.
#[must_use]
pub fn explain_rules(list: &RuleList, request: &RequestAttributes<'_>) -> Vec<RuleEvaluation> {
    let mut evaluations = Vec::new();
    for Rule { name, when, .. } in &list.rules {
        let evaluation = RuleEvaluation {
            rule: name.clone(),
            mismatch: first_mismatch(when, request),
        };
        let matched = evaluation.mismatch.is_none();
        evaluations.push(evaluation);
        if matched {
            break;
        }
    }
    evaluations
}

fn decision(name: &str, action: &Action) -> Decision {
    let default = Decision::default();
    Decision {
        rule: Some(name.to_owned()),
        class: action.class.clone().unwrap_or(default.class),
        weight: action.weight.unwrap_or(default.weight),
        limit: action.limit,
        deadline_ms: action.deadline_ms,
        refuse: action.refuse,
    }
}

/// Describes the first condition that does not hold; `None` if all hold.
fn first_mismatch(when: &Condition, request: &RequestAttributes<'_>) -> Option<String> {
    value_mismatch("organisation", &when.organisations, request.organisation)
        .or_else(|| missing_tag(&when.tags, request.tags))
        .or_else(|| value_mismatch("service", &when.services, request.service))
        .or_else(|| value_mismatch("method", &when.methods, request.method))
        .or_else(|| prefix_mismatch("path", &when.paths, request.path))
        .or_else(|| {
            when.headers
                .iter()
                .find_map(|header| header_mismatch(header, request.headers))
        })
}

fn value_mismatch(attribute: &str, allowed: &[String], actual: &str) -> Option<String> {
    let holds = allowed.is_empty() || allowed.iter().any(|name| name.eq_ignore_ascii_case(actual));
    (!holds).then(|| format!("{attribute} is '{actual}', not one of {allowed:?}"))
}

fn prefix_mismatch(attribute: &str, allowed: &[String], actual: &str) -> Option<String> {
    let holds = allowed.is_empty()
        || allowed
            .iter()
            .any(|prefix| actual.starts_with(prefix.as_str()));
    (!holds).then(|| format!("{attribute} '{actual}' begins with none of {allowed:?}"))
}

fn missing_tag(required: &[String], actual: &[String]) -> Option<String> {
    required
        .iter()
        .find(|tag| !actual.contains(tag))
        .map(|tag| format!("the organisation lacks the tag '{tag}'"))
}

fn header_mismatch(required: &HeaderMatch, actual: &[(String, String)]) -> Option<String> {
    let mut values = actual
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case(&required.name))
        .map(|(_, value)| value);
    let holds = match &required.value {
        Some(value) => values.any(|actual| actual == value),
        None => values.next().is_some(),
    };
    (!holds).then(|| match &required.value {
        Some(value) => format!("header '{}' is not '{value}'", required.name),
        None => format!("header '{}' is missing", required.name),
    })
}

/// Returns the tags of an organisation, or none if it is not configured.
#[must_use]
pub fn organisation_tags(organisation: Option<&Organisation>) -> &[String] {
    organisation.map_or(&[], |organisation| organisation.tags.as_slice())
}
