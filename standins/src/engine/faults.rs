//! The faults of the engine.

use serde::{Deserialize, Serialize};

/// Faults, all off by default; setting them replaces those set before.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How long a request is delayed before it waits for a slot, in milliseconds.
    pub delay_ms: u64,
    /// The engine does not step until `POST /release`.
    pub stall: bool,
    /// The time by which each step is longer, in microseconds.
    pub slow_micros: u64,
    /// A request whose body holds this text ends the process.
    pub crash_on: Option<String>,
    /// How many tokens of that request are sent before.
    pub crash_after: u64,
    /// Connections are broken after this many tokens.
    pub break_after: Option<u64>,
    /// How late cache events are shown, in milliseconds.
    pub cache_lag_ms: u64,
    /// Each cache event whose number is a multiple of this is never shown; 0 for none.
    pub cache_gap: u64,
    /// Orders wait, with or without their caller, until `POST /release`.
    pub hold_orders: bool,
    /// Orders are carried out but not answered.
    pub lose_orders: bool,
    /// The weight store is out: maps that are being loaded do not get ready.
    pub weights_out: bool,
    /// How old load reports are, in milliseconds.
    pub load_lag_ms: u64,
}

impl Faults {
    /// Returns whether a request with this body crashes the engine once it has sent `sent` tokens.
    pub(super) fn crashes(&self, body: &[u8], sent: u64) -> bool {
        let holds = |marker: &str| {
            marker.is_empty()
                || body
                    .windows(marker.len())
                    .any(|window| window == marker.as_bytes())
        };
        sent >= self.crash_after && self.crash_on.as_deref().is_some_and(holds)
    }
}
