//! The injected faults of the engine.

use serde::{Deserialize, Serialize};

/// Injected faults, all off by default; `POST /faults` replaces all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The delay of a request before it waits for a slot, in milliseconds.
    pub delay_ms: u64,
    /// The engine starts no step until `POST /release`.
    pub stall: bool,
    /// The time added to each step, in microseconds.
    pub slow_micros: u64,
    /// A request whose body contains this text crashes the process.
    pub crash_on: Option<String>,
    /// The number of tokens that are sent for that request before the crash.
    pub crash_after: u64,
    /// Each connection is broken after this number of tokens.
    pub break_after: Option<u64>,
    /// The delay until a cache event becomes visible, in milliseconds.
    pub cache_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this are never shown; 0 drops none.
    pub cache_gap: u64,
    /// Orders are held until `POST /release` and then executed, even if the caller has
    /// disconnected.
    pub hold_orders: bool,
    /// Orders are executed but not answered.
    pub lose_orders: bool,
    /// The weight store is unavailable: loading maps do not become ready.
    pub weights_out: bool,
    /// The minimum age of load reports, in milliseconds.
    pub load_lag_ms: u64,
}

impl Faults {
    /// Returns whether a request with this body crashes the engine after `sent` tokens.
    pub(super) fn crashes(&self, body: &[u8], sent: u64) -> bool {
        let contains = |marker: &str| {
            marker.is_empty()
                || body
                    .windows(marker.len())
                    .any(|window| window == marker.as_bytes())
        };
        sent >= self.crash_after && self.crash_on.as_deref().is_some_and(contains)
    }
}
