//! The limit that an upstream has named, as one node has heard it.

use sardinepin_common::Millis;
use sardinepin_protocol::RequestRate;

/// What an answer of an upstream says about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// The upstream takes this many requests from all nodes together.
    Named(RequestRate),
    /// The upstream names no limit.
    None,
    /// What the answer says cannot be read, so that it says nothing.
    Unreadable,
}

impl LimitNotice {
    /// Returns what the values of the header field say: the lowest of those that can be read.
    #[must_use]
    pub fn from_values<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let mut notice = Self::None;
        for value in values {
            let rates = value.into_iter().flat_map(|value| value.split(','));
            let lowest = rates.filter_map(RequestRate::parse).min();
            notice = match (notice, lowest) {
                (Self::Named(known), Some(rate)) => Self::Named(known.min(rate)),
                (_, Some(rate)) => Self::Named(rate),
                (Self::None, None) => Self::Unreadable,
                (known, None) => known,
            };
        }
        notice
    }
}

/// The last limit that an upstream has named.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeardLimit {
    rate: Option<RequestRate>,
    /// When it was heard, or heard to be lifted.
    heard_at: Millis,
}

impl HeardLimit {
    /// Returns the limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns when the limit was last heard, or heard to be lifted.
    #[must_use]
    pub fn heard_at(&self) -> Millis {
        self.heard_at
    }

    /// Records what an answer to a request sent at `sent_at` says; returns whether the limit changed.
    ///
    /// Answers overtake each other, so one without a limit counts only if its request was sent after the limit was heard.
    pub fn record_answer(&mut self, now: Millis, sent_at: Millis, notice: LimitNotice) -> bool {
        let rate = match notice {
            LimitNotice::Named(rate) => Some(rate),
            LimitNotice::None if sent_at >= self.heard_at => None,
            LimitNotice::None | LimitNotice::Unreadable => return false,
        };
        self.set(now, rate)
    }

    /// Records what another node heard at `heard_at`, unless something was heard here since; returns whether the limit changed.
    pub fn record_report(&mut self, heard_at: Millis, rate: Option<RequestRate>) -> bool {
        heard_at > self.heard_at && self.set(heard_at, rate)
    }

    fn set(&mut self, heard_at: Millis, rate: Option<RequestRate>) -> bool {
        let changed = rate != self.rate;
        if changed || rate.is_some() {
            self.heard_at = heard_at;
        }
        self.rate = rate;
        changed
    }
}
