//! What a gateway knows of the limit of one upstream, and its permits to send there.
//!
//! This answers an upstream in need that names how many requests it takes from all gateways together. A gateway asks an agent for
//! permits, which are valid for a moment only, so that those saved up at many gateways do not add up. While no agent replies it takes
//! turns with the others by itself, at a part of the limit.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_protocol::{PermitGrant, RequestRate};

use crate::cold_bound::ColdBound;
use crate::heard_limit::{HeardLimit, LimitNotice};
use crate::token_bucket::{BucketSize, TokenBucket};

/// How long a permit is valid.
pub(super) const PERMIT_TTL: Millis = Millis(300);

/// How long a turn without an agent is valid.
const TURN_TTL: Millis = Millis(1_000);

/// The part of the limit that all gateways without an agent use together.
const TURN_SHARE: f64 = 0.25;

/// The part of the cold bound that all gateways without an agent use together, beside those with one.
const COLD_TURN_SHARE: f64 = 0.1;

/// The delay until an agent that did not reply is asked again.
const ASK_RETRY_DELAY: Millis = Millis(250);

/// The longest interval at which an agent is asked for requests that wait, once there may be a permit.
const ASK_INTERVAL_MAX: Millis = Millis(100);

/// The shortest and the longest interval at which an agent is asked for spare permits.
const SPARE_INTERVAL_MIN: Millis = Millis(100);
const SPARE_INTERVAL_MAX: Millis = Millis(2_000);

/// The age up to which a request without an answer may still be on its way.
pub(super) const ON_WAY_TIME: Millis = Millis(300);

/// How many gateways take turns without an agent, and where this one stands.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turns {
    pub(super) gateways: f64,
    /// From 0 to 1; differs between gateways.
    pub(super) position: f64,
}

/// The limit of one upstream and the permits for it.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    heard: HeardLimit,
    /// The bound in force while the upstream is cold.
    pub(super) cold: ColdBound,
    /// When the permits expire, the earliest first.
    permits: VecDeque<Millis>,
    /// The requests on their way when the limit was heard, until an agent counts them.
    on_way: u16,
    /// Whether a change has to be told to an agent, although no permit is wanted.
    is_untold: bool,
    is_asking: bool,
    /// Until when there is certainly no permit.
    next_at: Millis,
    /// When the next permit is expected.
    turn_at: Millis,
    /// When an agent may be asked for a request that waits.
    ask_at: Millis,
    /// When an agent may be asked for spare permits.
    spare_at: Millis,
    /// The turns of this gateway, while no agent replies.
    turns: Option<TokenBucket>,
}

impl LimitState {
    /// Returns the limit in force.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.heard.rate()
    }

    /// Returns how long ago the limit was heard.
    pub(super) fn age(&self, now: Millis) -> Millis {
        now.since(self.heard.heard_at().unwrap_or(now))
    }

    /// Returns whether a request may be sent: there is no limit, or a permit.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        !self.is_bounded(now) || self.count_permits(now) > 0
    }

    /// Returns whether requests need permits: a limit or the cold bound is in force.
    pub(super) fn is_bounded(&self, now: Millis) -> bool {
        self.rate().is_some() || now < self.cold.until()
    }

    /// Returns whether an agent is being asked.
    pub(super) fn is_asking(&self) -> bool {
        self.is_asking
    }

    /// Returns whether an agent may be asked for a request that waits.
    pub(super) fn may_ask(&self, now: Millis) -> bool {
        !self.is_asking && now >= self.ask_at
    }

    /// Drops what belongs to the cold bound once that has ended.
    pub(super) fn expire_cold(&mut self, now: Millis) {
        if now >= self.cold.until() && self.cold.until() > Millis::ZERO {
            self.cold.clear();
            if self.rate().is_none() {
                self.handle_change();
            }
        }
    }

    /// Returns whether an agent has to know of the limit: there is one, or its end has not been told.
    pub(super) fn concerns_agents(&self) -> bool {
        self.rate().is_some() || self.is_untold || self.cold.until() > Millis::ZERO
    }

    /// Returns the time before which certainly no request is allowed.
    pub(super) fn next_at(&self, now: Millis) -> Millis {
        match self.is_open(now) {
            true => now,
            false => self.next_at.max(now),
        }
    }

    /// Returns when the next request can be expected to be allowed.
    pub(super) fn turn_at(&self, now: Millis) -> Millis {
        self.next_at(now).max(self.turn_at)
    }

    /// Returns how many permits are valid.
    pub(super) fn count_permits(&self, now: Millis) -> usize {
        self.permits.iter().filter(|until| now < **until).count()
    }

    /// Uses a permit, if there is a limit.
    pub(super) fn use_permit(&mut self, now: Millis) {
        self.drop_expired(now);
        self.permits.pop_front();
    }

    fn drop_expired(&mut self, now: Millis) {
        self.permits.retain(|until| now < *until);
    }

    /// Records what an answer to a request sent at `sent_at` says; `on_way` requests may not have been read yet. Returns whether
    /// the limit changed.
    pub(super) fn record_answer(
        &mut self,
        now: Millis,
        sent_at: Millis,
        notice: LimitNotice,
        on_way: u16,
    ) -> bool {
        let had_limit = self.rate().is_some();
        let changed = self.heard.record_answer(now, sent_at, notice);
        if changed {
            self.on_way = if had_limit { 0 } else { on_way };
            self.is_untold = true;
            self.handle_change();
        }
        changed
    }

    /// Records what another node heard at `heard_at`; returns whether the limit changed.
    pub(super) fn record_report(&mut self, heard_at: Millis, rate: Option<RequestRate>) -> bool {
        let changed = self.heard.record_report(heard_at, rate);
        if changed {
            self.handle_change();
        }
        changed
    }

    fn handle_change(&mut self) {
        self.next_at = Millis::ZERO;
        self.ask_at = Millis::ZERO;
        self.turn_at = Millis::ZERO;
        self.spare_at = Millis::ZERO;
        if self.rate().is_none() {
            self.permits.clear();
            self.turns = None;
        }
    }

    /// Returns how many requests were on their way when the limit was heard, if an agent should be asked for permits now; then it
    /// counts as being asked. `wanted` requests wait, and `spare` permits would be used besides.
    pub(super) fn begin_asking(&mut self, now: Millis, wanted: u16, spare: u16) -> Option<u16> {
        let is_wanted = wanted > 0 && now >= self.ask_at;
        let is_spare = spare > 0 && now >= self.spare_at;
        if self.is_asking || !(is_wanted || is_spare || self.is_untold) {
            return None;
        }
        self.is_asking = true;
        Some(std::mem::take(&mut self.on_way))
    }

    /// Records the reply of an agent.
    pub(super) fn record_grant(&mut self, now: Millis, grant: &PermitGrant) {
        self.is_asking = false;
        self.is_untold = false;
        self.turns = None;
        self.drop_expired(now);
        let permits = std::iter::repeat_n(now + PERMIT_TTL, usize::from(grant.granted));
        self.permits.extend(permits);
        self.next_at = now + grant.next;
        self.turn_at = now + grant.turn;
        let interval = Millis(grant.turn.0 / 4).min(ASK_INTERVAL_MAX);
        self.ask_at = now + grant.next.max(interval);
        self.spare_at = now + grant.turn.clamp(SPARE_INTERVAL_MIN, SPARE_INTERVAL_MAX);
    }

    /// Records that no agent has replied: from now on this gateway takes turns.
    pub(super) fn record_silence(&mut self, now: Millis, turns: Turns) {
        self.is_asking = false;
        self.spare_at = now + ASK_RETRY_DELAY;
        self.ask_at = now + ASK_RETRY_DELAY;
        if self.is_bounded(now) {
            self.turns
                .get_or_insert(TokenBucket::with_tokens(now, turns.position));
            self.take_turn(now, turns);
        }
    }

    /// Returns whether no agent replies, so that this gateway takes turns.
    pub(super) fn takes_turns(&self) -> bool {
        self.turns.is_some()
    }

    /// Takes the turn of this gateway if it has come, while no agent replies.
    pub(super) fn take_turn(&mut self, now: Millis, turns: Turns) {
        let limit = self.heard.per_second().map(|rate| rate * TURN_SHARE);
        let cold = self.cold.per_second(now).map(|rate| rate * COLD_TURN_SHARE);
        let rates = limit.into_iter().chain(cold);
        let Some(per_second) = rates.min_by(f64::total_cmp) else {
            return;
        };
        let Some(bucket) = &mut self.turns else {
            return;
        };
        let size = BucketSize {
            per_second: per_second / turns.gateways.max(1.0),
            capacity: 1.0,
        };
        bucket.refill(now, size);
        if bucket.try_take() {
            self.permits.push_back(now + TURN_TTL);
        }
        self.next_at = now + bucket.time_to_token(size.per_second);
        self.turn_at = self.next_at;
    }
}
