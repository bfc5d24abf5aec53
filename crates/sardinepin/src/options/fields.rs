//! The table of what each setting allows.
//!
//! Error messages, range checks and the documentation page of the settings all use it.

use sardinepin_protocol::FRAME_MAX_BYTES;

/// The part of a frame that is reserved for everything but a request's headers and body, in bytes.
const FRAME_RESERVE_BYTES: usize = 64 * 1024;

/// The largest request, headers and body together, in bytes.
pub(crate) const REQUEST_MAX_BYTES: usize = FRAME_MAX_BYTES - FRAME_RESERVE_BYTES;

/// The smallest limit on request headers that the HTTP library accepts, in bytes.
const HEADERS_MIN_BYTES: u64 = 8_192;

/// The longest duration that most settings accept, in milliseconds.
const DURATION_MAX_MS: u64 = 3_600_000;

/// The shortest secret, in bytes.
const SECRET_MIN_BYTES: u64 = 16;

/// The lowest rate limit of the log, in bytes a second; it leaves room for several lines.
const LOG_RATE_MIN: u64 = 4_096;

/// The highest rate limit of the log, in bytes a second.
const LOG_RATE_MAX: u64 = 1 << 30;

const SOCKET_ADDRESS: Constraint =
    Constraint::Format("an IP number and port, such as 127.0.0.1:8080");
const MAPPING: Constraint = Constraint::Format("a mapping of fields");

/// The values that a field allows.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Constraint {
    /// A whole number of `unit`, from `min` to `max`.
    Number {
        min: u64,
        max: u64,
        unit: &'static str,
    },
    /// Text of at least `min` bytes.
    Text { min: u64 },
    /// One of the listed strings.
    OneOf(&'static [&'static str]),
    /// A format that the type of the field checks; the text describes it in messages.
    Format(&'static str),
}

impl Constraint {
    /// Returns what is allowed, as text for error messages and the documentation page.
    pub(crate) fn description(self) -> String {
        match self {
            Self::Number { min, max, unit } => format!("a number of {unit}, {min} to {max}"),
            Self::Text { min: 1 } => "text that is not empty".to_owned(),
            Self::Text { min } => format!("text of at least {min} bytes"),
            Self::OneOf(values) => format!("one of {}", values.join(", ")),
            Self::Format(description) => description.to_owned(),
        }
    }
}

/// The constraint on one field.
#[derive(Debug)]
pub(crate) struct FieldConstraint {
    /// The path, such as `cluster.keys[].number`; `[]` stands for every item of a list.
    pub(crate) path: &'static str,
    /// The values that the field allows.
    pub(crate) constraint: Constraint,
}

/// The constraints on all settings.
pub(crate) const FIELDS: &[FieldConstraint] = &[
    field("name", Constraint::Text { min: 1 }),
    field("zone", Constraint::Text { min: 1 }),
    field("admin_listen", SOCKET_ADDRESS),
    field(
        "tokens_file",
        Constraint::Format("the path of a file, or null"),
    ),
    field("entry", MAPPING),
    field("entry.listen", SOCKET_ADDRESS),
    field(
        "entry.organisation_header",
        Constraint::Format("the name of a header field"),
    ),
    field(
        "entry.trusted_peers",
        Constraint::Format("a list of IP numbers"),
    ),
    field("entry.trusted_peers[]", Constraint::Format("an IP number")),
    field(
        "entry.body_max",
        number(1, REQUEST_MAX_BYTES as u64, "bytes"),
    ),
    field(
        "entry.headers_max",
        number(HEADERS_MIN_BYTES, REQUEST_MAX_BYTES as u64, "bytes"),
    ),
    field("entry.open_max", number(1, 1_000_000, "requests")),
    field("entry.attempts_max", number(1, 10, "attempts")),
    field("entry.settle_ms", duration_ms()),
    field(
        "entry.policy",
        Constraint::OneOf(&["sardinepin", "round_robin", "least_in_flight"]),
    ),
    field("agent", MAPPING),
    field("agent.listen", SOCKET_ADDRESS),
    field("agent.upstream", SOCKET_ADDRESS),
    field("agent.slots", number(1, 100_000, "attempts")),
    field("agent.queue_max", number(0, 100_000, "attempts")),
    field("agent.window", number(1, 65_536, "chunks")),
    field("agent.keep_ms", duration_ms()),
    field("agent.answer_max", number(0, 512 * 1024, "bytes")),
    field(
        "agent.claim_keep_ms",
        number(256, 2_592_000_000, "milliseconds"),
    ),
    field("agent.report_ms", duration_ms()),
    field("platform", MAPPING),
    field(
        "platform.address",
        Constraint::Format("an IP number and port, such as 127.0.0.1:8080, or null"),
    ),
    field("platform.timeout_ms", duration_ms()),
    field("platform.watch_ms", duration_ms()),
    field("platform.instances_ms", duration_ms()),
    field("cluster", MAPPING),
    field("cluster.listen", SOCKET_ADDRESS),
    field(
        "cluster.seeds",
        Constraint::Format("a list of IP numbers and ports"),
    ),
    field("cluster.seeds[]", SOCKET_ADDRESS),
    field(
        "cluster.keys",
        Constraint::Format("a list of keys with number and secret"),
    ),
    field(
        "cluster.keys[]",
        Constraint::Format("a mapping of number and secret"),
    ),
    field(
        "cluster.keys[].number",
        Constraint::Format("a number, 0 to 255"),
    ),
    field(
        "cluster.keys[].secret",
        Constraint::Text {
            min: SECRET_MIN_BYTES,
        },
    ),
    field("cluster.round_ms", duration_ms()),
    field("cluster.peers", number(1, 100, "peers")),
    field(
        "cluster.peer_choice",
        Constraint::OneOf(&["uniform", "long_links"]),
    ),
    field("cluster.across_milli", number(0, 1_000, "thousandths")),
    field("cluster.faults", MAPPING),
    field("cluster.faults.loss_milli", number(0, 1_000, "thousandths")),
    field(
        "cluster.faults.cut_file",
        Constraint::Format("the path of a file, or null"),
    ),
    field("log", MAPPING),
    field("log.level", Constraint::OneOf(LOG_LEVELS)),
    field(
        "log.bytes_max",
        number(LOG_RATE_MIN, LOG_RATE_MAX, "bytes a second"),
    ),
    field("stop", MAPPING),
    field("stop.grace_ms", number(0, DURATION_MAX_MS, "milliseconds")),
];

/// The log levels, from least to most verbose.
pub(crate) const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// Returns the constraint on the setting at `path`, or `None` if there is no such setting.
pub(crate) fn constraint_at(path: &str) -> Option<Constraint> {
    find_constraint(FIELDS, path)
}

/// Returns the constraint on the field at `path` in `table`; an index such as `[3]` matches `[]`.
pub(crate) fn find_constraint(table: &[FieldConstraint], path: &str) -> Option<Constraint> {
    let pattern = path_pattern(path);
    table
        .iter()
        .find(|field| field.path == pattern)
        .map(|field| field.constraint)
}

/// Replaces each index such as `[3]` by `[]`.
fn path_pattern(path: &str) -> String {
    let mut in_brackets = false;
    path.chars()
        .filter(|&letter| {
            if letter == ']' {
                in_brackets = false;
            }
            let keep = !in_brackets;
            if letter == '[' {
                in_brackets = true;
            }
            keep
        })
        .collect()
}

const fn field(path: &'static str, constraint: Constraint) -> FieldConstraint {
    FieldConstraint { path, constraint }
}

const fn number(min: u64, max: u64, unit: &'static str) -> Constraint {
    Constraint::Number { min, max, unit }
}

const fn duration_ms() -> Constraint {
    number(1, DURATION_MAX_MS, "milliseconds")
}
