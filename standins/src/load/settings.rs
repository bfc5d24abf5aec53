//! The settings of the load client.

use std::net::SocketAddr;

/// The relative weights of the kinds of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallMix {
    /// The weight of plain calls with an idempotency key.
    pub keyed: u32,
    /// The weight of plain calls without a key.
    pub plain: u32,
    /// The weight of streamed chat completions.
    pub stream: u32,
    /// The weight of chat completions that are not streamed.
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
    /// Returns the sum of the weights.
    pub(super) fn total(self) -> u32 {
        self.keyed + self.plain + self.stream + self.chat
    }
}

/// Settings of a load run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The addresses of the entries, or of a stand-in itself.
    pub entries: Vec<SocketAddr>,
    /// The number of calls, not counting the copies of keyed calls; 0 means no limit.
    pub requests: u64,
    /// The time after which no new call starts, in seconds; 0 means no limit.
    pub seconds: u64,
    /// The number of calls that are in flight at once.
    pub concurrency: usize,
    /// The seed of the random generator that draws the calls.
    pub seed: u64,
    /// The organisations that send calls.
    pub organisations: Vec<String>,
    /// The header field that names the organisation.
    pub organisation_header: String,
    /// The relative weights of the kinds of calls.
    pub mix: CallMix,
    /// The path of keyed calls.
    pub keyed_path: String,
    /// The path of plain calls without a key.
    pub plain_path: String,
    /// The model of chat completions.
    pub model: String,
    /// The maximum number of tokens in an answer; the minimum is 1.
    pub tokens_max: u64,
    /// The size of the padding in each request body, in bytes.
    pub padding: usize,
    /// The share of keyed calls that are sent twice, in thousandths: half of them at the same time
    /// to two entries, half once more after the first outcome.
    pub copies_milli: u32,
    /// The share of plain calls whose callers leave early, in thousandths.
    pub leave_milli: u32,
    /// How long such a caller waits for its answer before it closes its connection, in milliseconds.
    pub leave_ms: u64,
    /// The share of calls whose callers read a stream slowly, in thousandths.
    pub slow_milli: u32,
    /// Whether calls are sent to gateways of the users' platform, with its header fields and with
    /// the statuses by which it tells what did not run.
    pub platform: bool,
    /// The time limit for one answer, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the report includes a record of each send.
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
            leave_milli: 0,
            leave_ms: 1_000,
            slow_milli: 0,
            platform: false,
            timeout_ms: 120_000,
            records: false,
        }
    }
}
