//! The policies of a gateway and their parameters.
//!
//! Each mechanism can be switched off, so that it can be measured what it is worth.

use sardinepin_common::Millis;
use serde::{Deserialize, Serialize};

/// The policies by which a gateway places, queues and refuses requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Policy {
    /// Whether the loads of rank groups are read from their agents.
    pub group_loads: bool,
    /// Whether no requests are sent to a group that has made no step for a while.
    pub closes_stalled: bool,
    /// Whether a request to a rank that does not answer moves to another one when later requests have overtaken it.
    pub moves_overtaken: bool,
    /// How many requests beyond its slots an upstream may be estimated to hold.
    pub backlog: f64,
    /// How many random ranks of all groups are compared for one request, at least 1. Comparing all of
    /// them would lead all gateways to the same rank until its next report.
    pub rank_choices: usize,
    /// Whether the free places of a rank group are shared between the gateways, from one sample of its load to the next.
    pub shares_places: bool,
    /// The longest time in the queue of a request that can still be on time, as a fraction of its
    /// latency objective.
    pub wait_ratio: f64,
    /// The longest time in the queue of a request whose caller has come back after a refusal.
    pub return_wait: Millis,
    /// Whether the requests of returning callers are held while the rank groups of their service are out.
    pub holds_returns: bool,
    /// Whether callers are asked back when an outage is expected to be over; otherwise at any time.
    pub expects_outages: bool,
    /// Whether the admission levels that the coordinators of rank groups decide are applied.
    pub admission: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            group_loads: true,
            closes_stalled: true,
            moves_overtaken: true,
            backlog: 0.0,
            rank_choices: 4,
            shares_places: true,
            wait_ratio: 0.5,
            return_wait: Millis(300),
            holds_returns: true,
            expects_outages: true,
            admission: true,
        }
    }
}
