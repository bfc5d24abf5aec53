//! The ordered list of when-then rules.

use serde::{Deserialize, Serialize};

/// When a rule matches: every condition that is given must hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Condition {
    /// The organisation is one of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<String>,
    /// The organisation bears all of these tags.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tags: Vec<String>,
    /// The service is one of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// The method is one of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The path begins with one of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub paths: Vec<String>,
    /// Each of these header fields has this value.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<HeaderMatch>,
}

/// A header field and the value that it must have.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// The name of the field, in any case.
    pub name: String,
    /// The value; any value will do if it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// A limit on the requests of each organisation that a rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests per second in the long run, at each entry.
    pub per_second: u32,
    /// Requests that may come at once.
    pub burst: u32,
}

/// What is done with a request that a rule matches.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Action {
    /// The class; `urgent` goes before all others.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The weight of the class's requests, from 1 to 1,000.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The limit on each organisation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// The deadline, in milliseconds after the request came.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether the request is refused.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub refuse: bool,
}

/// One rule.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The rule's name, unique within the list.
    pub name: String,
    /// When it matches; always, if nothing is given.
    #[serde(default)]
    pub when: Condition,
    /// What is then done.
    pub then: Action,
}

/// The ordered list; the first rule that matches decides.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleList {
    /// The rules, first to last.
    pub rules: Vec<Rule>,
}
