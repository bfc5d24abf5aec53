//! The settings of the load client.

use std::net::SocketAddr;

/// How many of the calls are of each kind, in parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallMix {
    /// Plain calls that may not be repeated and bear a key.
    pub keyed: u32,
    /// Plain calls that may be repeated.
    pub plain: u32,
    /// Streamed chat completions.
    pub stream: u32,
    /// Chat completions answered in whole.
    pub chat: u32,
}

impl Default for CallMix {
    fn default() -> Self {
        Self {
            keyed: 1,
            plain: 1,
            stream: 1,
            chat: 0,
        }
    }
}

impl CallMix {
    /// Returns the sum of the parts.
    pub(super) fn total(self) -> u32 {
        self.keyed + self.plain + self.stream + self.chat
    }
}

/// Settings of a run of load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The addresses of the entries, or of a stand-in itself.
    pub entries: Vec<SocketAddr>,
    /// How many calls are made, copies of keyed ones not counted; 0 for no bound.
    pub requests: u64,
    /// How long calls are begun, in seconds; 0 for no bound.
    pub seconds: u64,
    /// How many calls are open at once.
    pub concurrency: usize,
    /// The seed that calls are drawn from.
    pub seed: u64,
    /// The organisations that calls are made for.
    pub organisations: Vec<String>,
    /// The header field that names the organisation.
    pub organisation_header: String,
    /// The kinds of calls.
    pub mix: CallMix,
    /// The path of keyed calls.
    pub keyed_path: String,
    /// The path of plain calls that may be repeated.
    pub plain_path: String,
    /// The model of chat completions.
    pub model: String,
    /// The most tokens of an answer; each has at least one.
    pub tokens_max: u64,
    /// The size of a body's padding, in bytes.
    pub padding: usize,
    /// The share of keyed calls that are sent twice, in thousandths: half of them at once to two
    /// entries, half again after the first outcome.
    pub copies_milli: u32,
    /// How long an answer may take, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the report holds a record of each send.
    pub records: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            requests: 0,
            seconds: 0,
            concurrency: 8,
            seed: 1,
            organisations: vec!["organisation-1".to_owned()],
            organisation_header: "x-organisation".to_owned(),
            mix: CallMix::default(),
            keyed_path: "/keyed".to_owned(),
            plain_path: "/plain".to_owned(),
            model: "model".to_owned(),
            tokens_max: 32,
            padding: 64,
            copies_milli: 0,
            timeout_ms: 120_000,
            records: false,
        }
    }
}
