//! The ordered list of rules that classify, limit or refuse requests.

use serde::{Deserialize, Serialize};

/// The condition of a rule: every part that is present must hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Condition {
    /// The organisation is one of these; names are compared without regard to case.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<String>,
    /// The organisation has all of these tags.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tags: Vec<String>,
    /// The service is one of these; names are compared without regard to case.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// The HTTP method is one of these; names are compared without regard to case.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The path starts with one of these prefixes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub paths: Vec<String>,
    /// The request has all of these header fields.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<HeaderMatch>,
}

/// A header field that must be present, and optionally its value.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// The name of the field; case does not matter.
    pub name: String,
    /// The exact value; any value matches if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// A token-bucket rate limit, applied to each organisation that the rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The sustained rate in requests per second, at each entry.
    pub per_second: u32,
    /// The number of requests allowed in a burst.
    pub burst: u32,
}

/// The action of a rule on the requests that it matches.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Action {
    /// The priority class; `urgent` has priority over all others.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The weight of the class's requests, from 1 to 1,000.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The rate limit of each organisation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// The deadline in milliseconds after the request's arrival, from 1 to 3,600,000.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether to refuse the request; excludes all other actions.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub refuse: bool,
}

/// A condition and the action on the requests that meet it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The name of the rule, unique within the list.
    pub name: String,
    /// The condition; an empty one matches every request.
    #[serde(default)]
    pub when: Condition,
    /// The action on matching requests.
    pub then: Action,
}

/// The ordered list of rules; the first rule that matches a request applies.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleList {
    /// The rules in the order of evaluation.
    pub rules: Vec<Rule>,
}
