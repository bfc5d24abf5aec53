//! What each field of rule lists and deployment files allows.

use crate::options::fields::{Allowed, FieldRule, find_allowed};

const NAMES: Allowed = Allowed::Shape("a list of names");
const PATHS: Allowed = Allowed::Shape("a list of path prefixes, each beginning with /");
const NAME: Allowed = Allowed::Shape("a name: letters, digits, '-', '_' and '.'");
const TEXT: Allowed = Allowed::Shape("text");
const SPAN: Allowed = number(1, 3_600_000, "milliseconds");
const WEIGHT: Allowed = number(1, 1_000, "shares");

/// Every field of a deployment file; a rule list is its part `rules`.
const FIELDS: &[FieldRule] = &[
    field("rules", Allowed::Shape("a list of rules")),
    field(
        "rules[]",
        Allowed::Shape("a mapping of name, when and then"),
    ),
    field("rules[].name", TEXT),
    field("rules[].when", Allowed::Shape("a mapping of conditions")),
    field("rules[].when.organisations", NAMES),
    field("rules[].when.organisations[]", TEXT),
    field("rules[].when.tags", NAMES),
    field("rules[].when.tags[]", TEXT),
    field("rules[].when.services", NAMES),
    field("rules[].when.services[]", TEXT),
    field("rules[].when.methods", NAMES),
    field("rules[].when.methods[]", TEXT),
    field("rules[].when.paths", PATHS),
    field("rules[].when.paths[]", TEXT),
    field(
        "rules[].when.headers",
        Allowed::Shape("a list of header fields, each with name and value"),
    ),
    field(
        "rules[].when.headers[]",
        Allowed::Shape("a mapping of name and value"),
    ),
    field("rules[].when.headers[].name", TEXT),
    field("rules[].when.headers[].value", TEXT),
    field("rules[].then", Allowed::Shape("a mapping of actions")),
    field("rules[].then.class", TEXT),
    field("rules[].then.weight", WEIGHT),
    field(
        "rules[].then.limit",
        Allowed::Shape("a mapping of per_second and burst"),
    ),
    field(
        "rules[].then.limit.per_second",
        number(1, u32::MAX as u64, "requests a second"),
    ),
    field(
        "rules[].then.limit.burst",
        number(1, u32::MAX as u64, "requests"),
    ),
    field("rules[].then.deadline_ms", SPAN),
    field("rules[].then.refuse", Allowed::Shape("true or false")),
    field("services", Allowed::Shape("a list of services")),
    field("services[]", Allowed::Shape("a mapping of fields")),
    field("services[].name", NAME),
    field("services[].kind", Allowed::OneOf(&["model", "plain"])),
    field("services[].paths", PATHS),
    field("services[].paths[]", TEXT),
    field("services[].models", NAMES),
    field("services[].models[]", TEXT),
    field("services[].keyed_paths", PATHS),
    field("services[].keyed_paths[]", TEXT),
    field("services[].deadline_ms", SPAN),
    field(
        "services[].retry_milli",
        number(0, 1_000, "retries in a thousand sends"),
    ),
    field("upstreams", Allowed::Shape("a list of upstreams")),
    field("upstreams[]", Allowed::Shape("a mapping of fields")),
    field("upstreams[].name", NAME),
    field("upstreams[].service", NAME),
    field("upstreams[].zone", TEXT),
    field(
        "upstreams[].address",
        Allowed::Shape("an IP number and port, such as 10.0.0.1:7000"),
    ),
    field(
        "upstreams[].group",
        Allowed::Shape("the name of a group, or null"),
    ),
    field(
        "upstreams[].state",
        Allowed::OneOf(&["active", "draining", "retired"]),
    ),
    field("organisations", Allowed::Shape("a list of organisations")),
    field("organisations[]", Allowed::Shape("a mapping of fields")),
    field("organisations[].name", TEXT),
    field("organisations[].tags", NAMES),
    field("organisations[].tags[]", TEXT),
    field("organisations[].weight", WEIGHT),
    field("groups", Allowed::Shape("a list of groups")),
    field("groups[]", Allowed::Shape("a mapping of fields")),
    field("groups[].name", NAME),
    field("groups[].service", NAME),
    field(
        "groups[].ranks",
        Allowed::Shape("a list of names of upstreams, in the order of their ranks"),
    ),
    field("groups[].ranks[]", NAME),
    field(
        "groups[].skew_milli",
        number(0, u32::MAX as u64, "thousandths"),
    ),
    field(
        "groups[].moves_milli",
        number(0, u32::MAX as u64, "thousandths"),
    ),
    field("groups[].held", Allowed::Shape("true or false")),
];

/// Returns what the field at `path` allows.
pub(crate) fn allowed_at(path: &str) -> Option<Allowed> {
    find_allowed(FIELDS, path)
}

/// Returns the table, for checks by its rows.
pub(crate) fn fields() -> &'static [FieldRule] {
    FIELDS
}

const fn field(path: &'static str, allowed: Allowed) -> FieldRule {
    FieldRule { path, allowed }
}

const fn number(min: u64, max: u64, unit: &'static str) -> Allowed {
    Allowed::Number { min, max, unit }
}
