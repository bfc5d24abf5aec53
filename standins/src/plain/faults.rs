//! The injected faults of the plain service.

use serde::{Deserialize, Serialize};

use crate::http::Endless;

/// The point at which a call crashes the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashPoint {
    /// Before the run is counted.
    #[default]
    BeforeRun,
    /// After the run is counted and before the answer.
    AfterRun,
}

/// Injected faults, all off by default; `POST /faults` replaces all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The faults except `crash_on` affect only calls whose body contains this text; an empty text
    /// matches all calls.
    pub only: String,
    /// The delay of an answer, in milliseconds.
    pub delay_ms: u64,
    /// Calls are held before their run is counted, until `POST /release`.
    pub hold_before: bool,
    /// Calls are held after their run and before the answer, until `POST /release`.
    pub hold_after: bool,
    /// A call whose body contains this text crashes the process.
    pub crash_on: Option<String>,
    /// The point of that crash.
    pub crash_point: CrashPoint,
    /// The connection is closed after the run, without an answer.
    pub unanswered: bool,
    /// The answer has neither a length nor chunks, and ends with its connection.
    pub without_length: bool,
    /// The connection is broken after the response head and this number of bytes of the body.
    pub break_after: Option<usize>,
    /// The process crashes after the response head and this number of bytes of the body.
    pub crash_after: Option<usize>,
    /// The limit that every answer names, in thousandths of a request a second.
    pub limit_milli: Option<u32>,
    /// Every answer says that the service is leaving, as the users' platform does.
    pub leaving: bool,
    /// Calls are rejected without a run, with `Retry-After` of so many seconds.
    pub rest_seconds: Option<u32>,
    /// The part of every answer that never ends.
    pub endless: Option<Endless>,
}

impl Faults {
    /// Returns whether the faults affect a call with this body.
    pub(super) fn affect(&self, body: &[u8]) -> bool {
        contains(body, &self.only)
    }

    /// Returns whether a call with this body crashes the process.
    pub(super) fn crashes(&self, body: &[u8]) -> bool {
        self.crash_on
            .as_deref()
            .is_some_and(|marker| contains(body, marker))
    }
}

fn contains(body: &[u8], text: &str) -> bool {
    text.is_empty()
        || body
            .windows(text.len())
            .any(|window| window == text.as_bytes())
}
