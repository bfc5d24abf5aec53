//! The table of what each field of a rule list or deployment file allows.

use crate::options::fields::{Constraint, FieldConstraint, find_constraint};

const NAMES: Constraint = Constraint::Format("a list of names");
const PATHS: Constraint = Constraint::Format("a list of path prefixes, each beginning with /");
const NAME: Constraint = Constraint::Format("a name: letters, digits, '-', '_' and '.'");
const TEXT: Constraint = Constraint::Format("text");
const DURATION_MS: Constraint = number(1, 3_600_000, "milliseconds");
const WEIGHT: Constraint = number(1, 1_000, "shares");

/// The constraints on all fields of a deployment file; a rule list has only the field `rules`.
const FIELDS: &[FieldConstraint] = &[
    field("rules", Constraint::Format("a list of rules")),
    field(
        "rules[]",
        Constraint::Format("a mapping of name, when and then"),
    ),
    field("rules[].name", TEXT),
    field(
        "rules[].when",
        Constraint::Format("a mapping of conditions"),
    ),
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
        Constraint::Format("a list of header fields, each with name and value"),
    ),
    field(
        "rules[].when.headers[]",
        Constraint::Format("a mapping of name and value"),
    ),
    field("rules[].when.headers[].name", TEXT),
    field("rules[].when.headers[].value", TEXT),
    field("rules[].then", Constraint::Format("a mapping of actions")),
    field("rules[].then.class", TEXT),
    field("rules[].then.weight", WEIGHT),
    field(
        "rules[].then.limit",
        Constraint::Format("a mapping of per_second and burst"),
    ),
    field(
        "rules[].then.limit.per_second",
        number(1, u32::MAX as u64, "requests a second"),
    ),
    field(
        "rules[].then.limit.burst",
        number(1, u32::MAX as u64, "requests"),
    ),
    field("rules[].then.deadline_ms", DURATION_MS),
    field("rules[].then.refuse", Constraint::Format("true or false")),
    field("services", Constraint::Format("a list of services")),
    field("services[]", Constraint::Format("a mapping of fields")),
    field("services[].name", NAME),
    field("services[].kind", Constraint::OneOf(&["model", "plain"])),
    field("services[].paths", PATHS),
    field("services[].paths[]", TEXT),
    field("services[].models", NAMES),
    field("services[].models[]", TEXT),
    field("services[].keyed_paths", PATHS),
    field("services[].keyed_paths[]", TEXT),
    field("services[].deadline_ms", DURATION_MS),
    field(
        "services[].retry_milli",
        number(0, 1_000, "retries in a thousand sends"),
    ),
    field("upstreams", Constraint::Format("a list of upstreams")),
    field("upstreams[]", Constraint::Format("a mapping of fields")),
    field("upstreams[].name", NAME),
    field("upstreams[].service", NAME),
    field("upstreams[].zone", TEXT),
    field(
        "upstreams[].address",
        Constraint::Format("an IP number and port, such as 10.0.0.1:7000"),
    ),
    field(
        "upstreams[].group",
        Constraint::Format("the name of a group, or null"),
    ),
    field(
        "upstreams[].state",
        Constraint::OneOf(&["active", "draining", "retired"]),
    ),
    field(
        "organisations",
        Constraint::Format("a list of organisations"),
    ),
    field("organisations[]", Constraint::Format("a mapping of fields")),
    field("organisations[].name", TEXT),
    field("organisations[].tags", NAMES),
    field("organisations[].tags[]", TEXT),
    field("organisations[].weight", WEIGHT),
    field("groups", Constraint::Format("a list of groups")),
    field("groups[]", Constraint::Format("a mapping of fields")),
    field("groups[].name", NAME),
    field("groups[].service", NAME),
    field(
        "groups[].ranks",
        Constraint::Format("a list of names of upstreams, in the order of their ranks"),
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
    field("groups[].held", Constraint::Format("true or false")),
];

/// Returns the constraint on the field at `path`, or `None` if there is no such field.
pub(crate) fn constraint_at(path: &str) -> Option<Constraint> {
    find_constraint(FIELDS, path)
}

/// Returns the constraints on all fields of a deployment file.
pub(crate) fn field_constraints() -> &'static [FieldConstraint] {
    FIELDS
}

const fn field(path: &'static str, constraint: Constraint) -> FieldConstraint {
    FieldConstraint { path, constraint }
}

const fn number(min: u64, max: u64, unit: &'static str) -> Constraint {
    Constraint::Number { min, max, unit }
}
