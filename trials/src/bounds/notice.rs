//! What an answer says about requests that its upstream does not want.

use sardinepin_common::Millis;
use sardinepin_decisions::LimitNotice;

/// What an answer says about its upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Notice {
    /// How many requests it takes from all senders together.
    pub(super) limit: LimitNotice,
    /// Whether it is leaving.
    pub(super) leaving: bool,
    /// For how long it wants no requests of the sender, after it has turned one away.
    pub(super) rest: Option<Millis>,
}

impl Notice {
    /// What a sender knows without an answer.
    pub(super) const NONE: Self = Self {
        limit: LimitNotice::Unreadable,
        leaving: false,
        rest: None,
    };
}
