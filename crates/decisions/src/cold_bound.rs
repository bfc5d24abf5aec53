//! The bound on the requests to one cold upstream, as one node knows it.
//!
//! This answers an upstream that has started while requests arrive: while it is cold it takes few requests a second from all gateways
//! together, and crashes well above that.

use sardinepin_common::Millis;
use sardinepin_protocol::{ColdReport, RequestRate};

/// What of a rate reaches an upstream at most in a second, as a multiple of the rate: what accrues in it, in the lifetime of a permit
/// and on the way, what is saved up, and the turns that gateways without an agent take.
const WINDOW_FACTOR: f64 = 1.8;

/// The rule for cold upstreams: in a second at most `overage` times their rate and `slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// The multiple of the rate.
    pub overage: f64,
    /// The requests beyond it.
    pub slack: f64,
}

impl Default for ColdRule {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdRule {
    /// Returns the rate at which permits are granted, for upstreams that take `per_second` requests while they are cold; `None` if
    /// they have no bound.
    #[must_use]
    pub fn permit_rate(self, per_second: f64) -> Option<RequestRate> {
        if per_second.is_nan() || per_second <= 0.0 {
            return None;
        }
        let allowed = self.overage * per_second + self.slack - 1.0;
        let rate = (allowed / WINDOW_FACTOR).min(per_second).max(0.0);
        Some(RequestRate((rate * 1_000.0) as u32))
    }
}

/// The rate of an upstream while it is cold, and until when it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdBound {
    rate: Option<RequestRate>,
    /// Until when it is cold, as this node knows by itself.
    own_until: Millis,
    /// The same as other nodes say. It is not passed on, so that nodes do not prolong it for one another.
    heard_until: Millis,
}

impl ColdBound {
    /// Sets the rate at which permits are granted; `None` if there is no bound.
    pub fn set_rate(&mut self, rate: Option<RequestRate>) {
        self.rate = rate;
    }

    /// Records how much longer the upstream is cold, as its entry says.
    pub fn record_remaining(&mut self, now: Millis, remaining: Millis) {
        self.own_until = match remaining {
            Millis::ZERO => Millis::ZERO,
            remaining => now + remaining,
        };
    }

    /// Records that the upstream may be cold for a time, whatever its entry says.
    pub fn record_assumption(&mut self, now: Millis, time: Millis) {
        self.heard_until = self.heard_until.max(now + time);
    }

    /// Records what a node knew at `heard_at`.
    pub fn record_report(&mut self, heard_at: Millis, report: ColdReport) {
        self.rate = Some(report.rate);
        self.record_assumption(heard_at, report.remaining);
    }

    /// Forgets when the cold state ends, but not the rate.
    pub fn clear(&mut self) {
        self.own_until = Millis::ZERO;
        self.heard_until = Millis::ZERO;
    }

    /// Returns until when the bound is in force; zero if it never was.
    #[must_use]
    pub fn until(&self) -> Millis {
        match self.rate {
            Some(_) => self.own_until.max(self.heard_until),
            None => Millis::ZERO,
        }
    }

    /// Returns the rate in force.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let rate = self.rate.filter(|_| now < self.until())?;
        Some(rate.per_second())
    }

    /// Returns what a gateway tells an agent: what it knows by itself.
    #[must_use]
    pub fn own_report(&self, now: Millis) -> Option<ColdReport> {
        self.report_until(now, self.own_until)
    }

    /// Returns what an agent tells gateways: all that it has heard.
    #[must_use]
    pub fn report(&self, now: Millis) -> Option<ColdReport> {
        self.report_until(now, self.until())
    }

    fn report_until(&self, now: Millis, until: Millis) -> Option<ColdReport> {
        let rate = self.rate.filter(|_| now < until)?;
        Some(ColdReport {
            rate,
            remaining: until.since(now),
        })
    }
}
