//! Which rule decides a request, and why the earlier ones did not.

use crate::kinds::Organisation;
use crate::rules::{Action, Condition, HeaderMatch, Limit, Rule, RuleList};

/// What rules look at.
#[derive(Debug, Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// The organisation's name.
    pub organisation: &'a str,
    /// The organisation's tags.
    pub tags: &'a [String],
    /// The service's name.
    pub service: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The header fields, names in lower case.
    pub headers: &'a [(String, String)],
}

/// What the rule list decides for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The name of the deciding rule, if one matched.
    pub rule: Option<String>,
    /// The class.
    pub class: String,
    /// The weight.
    pub weight: u32,
    /// The limit on the organisation.
    pub limit: Option<Limit>,
    /// The deadline in milliseconds, if the rule gives one.
    pub deadline_ms: Option<u64>,
    /// Whether the request is refused.
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

/// One line of the explanation of a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleEvaluation {
    /// The rule's name.
    pub rule: String,
    /// The first condition that did not hold, with what was asked and found; `None` if it matched.
    pub mismatch: Option<String>,
}

/// Returns what the first matching rule decides, or the default.
#[must_use]
pub fn evaluate_rules(list: &RuleList, facts: &RequestAttributes<'_>) -> Decision {
    list.rules
        .iter()
        .find(|rule| mismatch(&rule.when, facts).is_none())
        .map_or_else(Decision::default, |rule| decision(&rule.name, &rule.then))
}

/// Returns a line for each rule up to the one that matched.
#[must_use]
pub fn explain_rules(list: &RuleList, facts: &RequestAttributes<'_>) -> Vec<RuleEvaluation> {
    let mut lines = Vec::new();
    for Rule { name, when, .. } in &list.rules {
        let line = RuleEvaluation {
            rule: name.clone(),
            mismatch: mismatch(when, facts),
        };
        let matched = line.mismatch.is_none();
        lines.push(line);
        if matched {
            break;
        }
    }
    lines
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

/// Returns the first condition that does not hold.
fn mismatch(when: &Condition, facts: &RequestAttributes<'_>) -> Option<String> {
    one_of("organisation", &when.organisations, facts.organisation)
        .or_else(|| all_tags(&when.tags, facts.tags))
        .or_else(|| one_of("service", &when.services, facts.service))
        .or_else(|| one_of("method", &when.methods, facts.method))
        .or_else(|| begins("path", &when.paths, facts.path))
        .or_else(|| {
            when.headers
                .iter()
                .find_map(|header| has_header(header, facts.headers))
        })
}

fn one_of(what: &str, wanted: &[String], found: &str) -> Option<String> {
    let holds = wanted.is_empty() || wanted.iter().any(|name| name.eq_ignore_ascii_case(found));
    (!holds).then(|| format!("{what} is '{found}', not one of {wanted:?}"))
}

fn begins(what: &str, wanted: &[String], found: &str) -> Option<String> {
    let holds = wanted.is_empty()
        || wanted
            .iter()
            .any(|prefix| found.starts_with(prefix.as_str()));
    (!holds).then(|| format!("{what} '{found}' begins with none of {wanted:?}"))
}

fn all_tags(wanted: &[String], found: &[String]) -> Option<String> {
    wanted
        .iter()
        .find(|tag| !found.contains(tag))
        .map(|tag| format!("the organisation lacks the tag '{tag}'"))
}

fn has_header(wanted: &HeaderMatch, found: &[(String, String)]) -> Option<String> {
    let mut values = found
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case(&wanted.name))
        .map(|(_, value)| value);
    let holds = match &wanted.value {
        Some(value) => values.any(|given| given == value),
        None => values.next().is_some(),
    };
    (!holds).then(|| match &wanted.value {
        Some(value) => format!("header '{}' is not '{value}'", wanted.name),
        None => format!("header '{}' is missing", wanted.name),
    })
}

/// Returns the tags of an organisation, none if it is unknown.
#[must_use]
pub fn organisation_tags(organisation: Option<&Organisation>) -> &[String] {
    organisation.map_or(&[], |found| found.tags.as_slice())
}
