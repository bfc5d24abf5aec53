//! What each field of the settings allows: the one table behind messages, checks and the page.

use sardinepin_protocol::FRAME_MAX_BYTES;

/// The bytes of a frame that are kept for everything but a call's headers and body.
const FRAME_RESERVE: usize = 64 * 1024;

/// The largest request, headers and body together, in bytes.
pub(crate) const REQUEST_MAX: usize = FRAME_MAX_BYTES - FRAME_RESERVE;

/// The least room for the head of a request that the HTTP library takes, in bytes.
const HEADERS_MIN: u64 = 8_192;

/// The longest span of time that a field takes, in milliseconds.
const SPAN_MAX_MS: u64 = 3_600_000;

/// The fewest bytes of a secret.
const SECRET_MIN: u64 = 16;

/// The least bound on the log, in bytes a second: some lines have to fit.
const LOG_BYTES_MIN: u64 = 4_096;

/// The largest bound on the log, in bytes a second.
const LOG_BYTES_MAX: u64 = 1 << 30;

const SOCKET: Allowed = Allowed::Shape("an IP number and port, such as 127.0.0.1:8080");
const MAPPING: Allowed = Allowed::Shape("a mapping of fields");

/// What a field allows.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Allowed {
    /// A whole number of `unit`, from `min` to `max`.
    Number {
        min: u64,
        max: u64,
        unit: &'static str,
    },
    /// Text of at least `min` bytes.
    Text { min: u64 },
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// Something else, in words.
    Shape(&'static str),
}

impl Allowed {
    /// Returns what is allowed, in words.
    pub(crate) fn words(self) -> String {
        match self {
            Self::Number { min, max, unit } => format!("a number of {unit}, {min} to {max}"),
            Self::Text { min: 1 } => "text that is not empty".to_owned(),
            Self::Text { min } => format!("text of at least {min} bytes"),
            Self::OneOf(words) => format!("one of {}", words.join(", ")),
            Self::Shape(words) => words.to_owned(),
        }
    }
}

/// One row of the table.
#[derive(Debug)]
pub(crate) struct FieldRule {
    /// The path, with `[]` for the items of a list.
    pub(crate) path: &'static str,
    /// What the field allows.
    pub(crate) allowed: Allowed,
}

/// Every field of the settings.
pub(crate) const FIELDS: &[FieldRule] = &[
    field("name", Allowed::Text { min: 1 }),
    field("zone", Allowed::Text { min: 1 }),
    field("admin_listen", SOCKET),
    field("tokens_file", Allowed::Shape("the path of a file, or null")),
    field("entry", MAPPING),
    field("entry.listen", SOCKET),
    field(
        "entry.organisation_header",
        Allowed::Shape("the name of a header field"),
    ),
    field(
        "entry.trusted_peers",
        Allowed::Shape("a list of IP numbers"),
    ),
    field("entry.trusted_peers[]", Allowed::Shape("an IP number")),
    field("entry.body_max", number(1, REQUEST_MAX as u64, "bytes")),
    field(
        "entry.headers_max",
        number(HEADERS_MIN, REQUEST_MAX as u64, "bytes"),
    ),
    field("entry.open_max", number(1, 1_000_000, "requests")),
    field("entry.attempts_max", number(1, 10, "attempts")),
    field("entry.settle_ms", span()),
    field(
        "entry.policy",
        Allowed::OneOf(&["sardinepin", "round_robin", "least_in_flight"]),
    ),
    field("agent", MAPPING),
    field("agent.listen", SOCKET),
    field("agent.upstream", SOCKET),
    field("agent.slots", number(1, 100_000, "attempts")),
    field("agent.queue_max", number(0, 100_000, "attempts")),
    field("agent.window", number(1, 65_536, "chunks")),
    field("agent.keep_ms", span()),
    field("agent.answer_max", number(0, 512 * 1024, "bytes")),
    field(
        "agent.claim_keep_ms",
        number(256, 2_592_000_000, "milliseconds"),
    ),
    field("agent.report_ms", span()),
    field("platform", MAPPING),
    field(
        "platform.address",
        Allowed::Shape("an IP number and port, such as 127.0.0.1:8080, or null"),
    ),
    field("platform.timeout_ms", span()),
    field("platform.watch_ms", span()),
    field("platform.instances_ms", span()),
    field("cluster", MAPPING),
    field("cluster.listen", SOCKET),
    field(
        "cluster.seeds",
        Allowed::Shape("a list of IP numbers and ports"),
    ),
    field("cluster.seeds[]", SOCKET),
    field(
        "cluster.keys",
        Allowed::Shape("a list of keys with number and secret"),
    ),
    field(
        "cluster.keys[]",
        Allowed::Shape("a mapping of number and secret"),
    ),
    field(
        "cluster.keys[].number",
        Allowed::Shape("a number, 0 to 255"),
    ),
    field("cluster.keys[].secret", Allowed::Text { min: SECRET_MIN }),
    field("cluster.round_ms", span()),
    field("cluster.peers", number(1, 100, "peers")),
    field(
        "cluster.peer_choice",
        Allowed::OneOf(&["uniform", "long_links"]),
    ),
    field("cluster.across_milli", number(0, 1_000, "thousandths")),
    field("cluster.faults", MAPPING),
    field("cluster.faults.loss_milli", number(0, 1_000, "thousandths")),
    field(
        "cluster.faults.cut_file",
        Allowed::Shape("the path of a file, or null"),
    ),
    field("log", MAPPING),
    field("log.level", Allowed::OneOf(LEVELS)),
    field(
        "log.bytes_max",
        number(LOG_BYTES_MIN, LOG_BYTES_MAX, "bytes a second"),
    ),
    field("stop", MAPPING),
    field("stop.grace_ms", number(0, SPAN_MAX_MS, "milliseconds")),
];

/// The levels of the log, least talkative first.
pub(crate) const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// Returns what the field at `path` of the settings allows.
pub(crate) fn allowed_at(path: &str) -> Option<Allowed> {
    find_allowed(FIELDS, path)
}

/// Returns what the field at `path` allows by `table`; list positions such as `[3]` count as `[]`.
pub(crate) fn find_allowed(table: &[FieldRule], path: &str) -> Option<Allowed> {
    let pattern = pattern_of(path);
    table
        .iter()
        .find(|rule| rule.path == pattern)
        .map(|rule| rule.allowed)
}

/// Replaces each `[3]` by `[]`.
fn pattern_of(path: &str) -> String {
    let mut inside = false;
    path.chars()
        .filter(|&letter| {
            if letter == ']' {
                inside = false;
            }
            let keep = !inside;
            if letter == '[' {
                inside = true;
            }
            keep
        })
        .collect()
}

const fn field(path: &'static str, allowed: Allowed) -> FieldRule {
    FieldRule { path, allowed }
}

const fn number(min: u64, max: u64, unit: &'static str) -> Allowed {
    Allowed::Number { min, max, unit }
}

const fn span() -> Allowed {
    number(1, SPAN_MAX_MS, "milliseconds")
}
