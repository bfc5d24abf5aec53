//! The limit that an upstream has named, as one node has heard it.

use sardinepin_common::Millis;
use sardinepin_protocol::RequestRate;

/// The lowest rate that is used: an upstream that takes nothing gets a request now and then, by whose answer it is known whether it
/// still does.
const RATE_MIN: f64 = 0.1;

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
    /// Since when it is known, or known to be lifted; `None` if nothing has been heard.
    heard_at: Option<Millis>,
}

impl HeardLimit {
    /// Returns the limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns how many requests a second may be sent; `None` if there is no limit.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        Some(self.rate?.per_second().max(RATE_MIN))
    }

    /// Returns when the limit was last heard, or heard to be lifted; `None` if nothing has been heard.
    #[must_use]
    pub fn heard_at(&self) -> Option<Millis> {
        self.heard_at
    }

    /// Records what an answer to a request sent at `sent_at` says; returns whether the limit changed.
    ///
    /// Answers overtake each other, so one without a limit counts only if its request was sent after the limit was heard.
    pub fn record_answer(&mut self, now: Millis, sent_at: Millis, notice: LimitNotice) -> bool {
        let known = self.heard_at.unwrap_or_default();
        match notice {
            LimitNotice::Named(rate) => self.set(now, Some(rate)),
            LimitNotice::None if sent_at >= known => self.set(sent_at, None),
            LimitNotice::None | LimitNotice::Unreadable => false,
        }
    }

    /// Records what another node heard at `heard_at`, unless something was heard here since; returns whether the limit changed.
    pub fn record_report(&mut self, heard_at: Millis, rate: Option<RequestRate>) -> bool {
        let is_newer = self.heard_at.is_none_or(|known| heard_at > known);
        is_newer && self.set(heard_at, rate)
    }

    fn set(&mut self, heard_at: Millis, rate: Option<RequestRate>) -> bool {
        let changed = rate != self.rate;
        self.heard_at = Some(heard_at);
        self.rate = rate;
        changed
    }
}
