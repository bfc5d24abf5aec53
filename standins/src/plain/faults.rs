//! The faults of the plain service.

use serde::{Deserialize, Serialize};

/// Where a call crashes the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashPoint {
    /// Before the run is counted.
    #[default]
    BeforeRun,
    /// After the run and before the answer.
    AfterRun,
}

/// Faults, all off by default; setting them replaces those set before.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The faults concern only calls whose body holds this text; an empty text is in all.
    pub only: String,
    /// How long an answer is delayed, in milliseconds.
    pub delay_ms: u64,
    /// Calls wait before their run is counted, until `POST /release`.
    pub hold_before: bool,
    /// Calls wait after their run and before the answer, until `POST /release`.
    pub hold_after: bool,
    /// A call whose body holds this text ends the process.
    pub crash_on: Option<String>,
    /// Where it does so.
    pub crash_point: CrashPoint,
    /// The connection is closed after the run, without any answer.
    pub unanswered: bool,
    /// The connection is broken after the head and this many bytes of the body.
    pub break_after: Option<usize>,
}

impl Faults {
    /// Returns whether the faults concern a call with this body.
    pub(super) fn concern(&self, body: &[u8]) -> bool {
        holds(body, &self.only)
    }

    /// Returns whether a call with this body ends the process.
    pub(super) fn crashes(&self, body: &[u8]) -> bool {
        self.crash_on
            .as_deref()
            .is_some_and(|marker| holds(body, marker))
    }
}

fn holds(body: &[u8], text: &str) -> bool {
    text.is_empty()
        || body
            .windows(text.len())
            .any(|window| window == text.as_bytes())
}
