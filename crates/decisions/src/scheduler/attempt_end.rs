//! Handling of ended attempts: health and crash accounting, then a retry or a final response.

use sardinepin_common::Millis;
use sardinepin_protocol::{ErrorKind, RetryAdvice};

use super::Scheduler;
use crate::events::{AttemptEnd, Effect, RequestNumber, UpstreamId};
use crate::pending::Pending;
use crate::suspects::CrashedAttempt;
use crate::upstream::Attempt;

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
struct Failure {
    kind: ErrorKind,
    /// Whether the request may be retried.
    retryable: bool,
    /// The retry delay that the upstream asked for.
    retry_after: Millis,
}

impl Scheduler {
    /// Handles the end of an attempt.
    pub(super) fn handle_end(
        &mut self,
        now: Millis,
        request: RequestNumber,
        upstream: UpstreamId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.fleet.index_of(upstream).and_then(|index| {
            let attempt = self.fleet.upstreams[index].remove_attempt(request)?;
            Some((index, attempt))
        });
        if let Some((index, attempt)) = attempt {
            self.record_end(now, index, &attempt, end, effects);
        }
        match end {
            AttemptEnd::Complete => {
                self.pending.remove(&request);
            }
            AttemptEnd::NotRun { kind, retry_after } => {
                let failure = Failure {
                    kind,
                    retryable: is_retryable(kind),
                    retry_after,
                };
                self.retry(now, request, failure, effects);
            }
            AttemptEnd::Unknown {
                kind, unresumable, ..
            } => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.unknown_cause.get_or_insert(kind);
                    let retryable =
                        pending.arrival.idempotent && !unresumable && is_retryable(kind);
                    let failure = Failure {
                        kind,
                        retryable,
                        retry_after: Millis::ZERO,
                    };
                    self.retry(now, request, failure, effects);
                }
            }
        }
        if let Some((index, _)) = attempt
            && let Some(pool) = self
                .pools
                .index_of(&self.fleet.upstreams[index].info.service)
        {
            self.dispatch_after_end(now, pool, index, effects);
        }
    }

    /// Records an end in the upstream's health and limit, and in the suspects.
    fn record_end(
        &mut self,
        now: Millis,
        index: usize,
        attempt: &Attempt,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        match end {
            AttemptEnd::Complete => {
                self.record_answer(now, attempt.request);
                self.handle_completion(now, index, attempt);
            }
            AttemptEnd::NotRun { kind, retry_after } => {
                if attempt.crash_counted {
                    self.suspects.clear(&attempt.digest);
                }
                if kind == ErrorKind::UpstreamLimited {
                    self.handle_limit(now, index, retry_after);
                } else {
                    self.handle_refusal(now, index, attempt, kind);
                }
            }
            AttemptEnd::Unknown { kind, crashed, .. } => {
                if crashed {
                    self.handle_crash(now, index, attempt, effects);
                } else if is_upstream_failure(kind) {
                    self.handle_failure(now, index);
                }
            }
        }
    }

    fn record_answer(&mut self, now: Millis, request: RequestNumber) {
        if let Some(pending) = self.pending.get(&request) {
            self.suspects.record_answer(now, &pending.arrival.parts);
        }
    }

    fn handle_completion(&mut self, now: Millis, index: usize, attempt: &Attempt) {
        self.suspects.clear(&attempt.digest);
        let upstream = &mut self.fleet.upstreams[index];
        upstream.last_progress = now;
        if upstream.health.record_success() {
            upstream.limiter.restart(&self.settings.concurrency);
        }
        let Some(pool) = self.pools.index_of(&upstream.info.service) else {
            return;
        };
        let times = &mut self.pools.list[pool].service_time;
        match attempt.first_byte {
            Some(began) => times.record_rest(now.since(began), attempt.cost),
            None => times.record_first_byte(now.since(attempt.sent)),
        }
    }

    /// Sends nothing to an upstream until the limit that it has named allows it.
    fn handle_limit(&mut self, now: Millis, index: usize, retry_after: Millis) {
        let upstream = &mut self.fleet.upstreams[index];
        upstream.last_progress = now;
        upstream.limited_until = now + retry_after;
        upstream.limiter.pause_until(upstream.limited_until);
    }

    fn handle_refusal(&mut self, now: Millis, index: usize, attempt: &Attempt, kind: ErrorKind) {
        let upstream = &mut self.fleet.upstreams[index];
        match kind {
            ErrorKind::Busy => {
                upstream.last_progress = now;
                let in_flight = upstream.attempts.len() + 1;
                upstream
                    .limiter
                    .record_refusal(now, in_flight, &self.settings.concurrency);
            }
            ErrorKind::Leaving | ErrorKind::ShuttingDown => {
                upstream.leaving = true;
                self.fleet.lower_group_if_stopped(index);
                if let Some(pool) = self
                    .pools
                    .index_of(&self.fleet.upstreams[index].info.service)
                {
                    self.pools.list[pool].update_availability(now, &self.fleet);
                }
            }
            ErrorKind::Unreachable | ErrorKind::NotReady => self.handle_failure(now, index),
            ErrorKind::Tombstoned if !attempt.withdrawn => self.handle_failure(now, index),
            _ => {}
        }
    }

    fn handle_failure(&mut self, now: Millis, index: usize) {
        if self.fleet.upstreams[index]
            .health
            .record_failure(&self.settings.ejection)
        {
            self.eject(now, index);
        }
    }

    /// Counts a crash once for all attempts that were in flight on the upstream.
    fn handle_crash(
        &mut self,
        now: Millis,
        index: usize,
        ended: &Attempt,
        effects: &mut Vec<Effect>,
    ) {
        if ended.crash_counted {
            return;
        }
        let pending = &self.pending;
        let crashed = |attempt: &Attempt| CrashedAttempt {
            request: attempt.digest,
            sent: attempt.sent,
            parts: pending
                .get(&attempt.request)
                .map(|pending| pending.arrival.parts.clone())
                .unwrap_or_default(),
        };
        let mut attempts = vec![crashed(ended)];
        for attempt in &mut self.fleet.upstreams[index].attempts {
            if !attempt.crash_counted {
                attempt.crash_counted = true;
                attempts.push(crashed(attempt));
            }
        }
        // Of several attempts with the same digest, the one sent last counts.
        attempts.sort_unstable_by(|a, b| b.cmp(a));
        attempts.dedup_by_key(|attempt| attempt.request);
        for (digest, remaining) in self.suspects.record_crash(now, attempts) {
            effects.push(Effect::Quarantine { digest, remaining });
            self.give_up_quarantined(now, effects);
        }
        self.eject(now, index);
    }

    /// Ejects an upstream, unless too many of its service and zone are ejected already.
    pub(super) fn eject(&mut self, now: Millis, index: usize) {
        let upstream = &self.fleet.upstreams[index];
        let mut total = 0;
        let mut ejected = 0;
        for other in &self.fleet.upstreams {
            if other.accepts_work()
                && other.info.service == upstream.info.service
                && other.info.zone == upstream.info.zone
            {
                total += 1;
                ejected += usize::from(
                    other.health.is_ejected_or_probing() && other.id() != upstream.id(),
                );
            }
        }
        let share = total * self.settings.ejection.ejected_milli as usize / 1_000;
        let ejected_max = share.max(usize::from(total > 1));
        if ejected < ejected_max {
            self.fleet.upstreams[index]
                .health
                .eject(now, &self.settings.ejection);
            self.fleet.lower_group_if_stopped(index);
        }
    }

    /// Queues a request for a retry if it is allowed, or else gives it up.
    fn retry(
        &mut self,
        now: Millis,
        request: RequestNumber,
        failure: Failure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut pending) = self.pending.remove(&request) else {
            return;
        };
        pending.last_error = Some(failure.kind);
        let (pool, class) = (pending.pool, pending.class);
        match self.check_retry(now, &pending, failure) {
            Ok(reserved) => {
                pending.retry_reserved = reserved;
                self.enqueue(pending);
            }
            Err(kind) => {
                self.pending.insert(request, pending);
                let retry_after = self.retry_after_drain(pool, class).max(failure.retry_after);
                self.give_up(now, request, kind, retry_after, effects);
            }
        }
    }

    /// Returns whether a retry was reserved in the budget, or why the request is not retried.
    fn check_retry(
        &mut self,
        now: Millis,
        pending: &Pending,
        failure: Failure,
    ) -> Result<bool, ErrorKind> {
        let pool = &mut self.pools.list[pending.pool];
        let attempts = u32::try_from(pending.tried.len()).unwrap_or(u32::MAX);
        if !failure.retryable || attempts >= self.settings.attempts_max {
            return Err(failure.kind);
        }
        if pending.misses_deadline(now, pool.service_time.upper_estimate(pending.arrival.cost)) {
            return Err(ErrorKind::TooLate);
        }
        if self
            .suspects
            .quarantine_remaining(now, pending.arrival.traits())
            .is_some()
        {
            return Err(ErrorKind::Quarantined);
        }
        // A request that never reached an upstream does not count against the retry budget.
        if matches!(
            failure.kind,
            ErrorKind::Unreachable | ErrorKind::UpstreamLimited
        ) {
            return Ok(false);
        }
        let (budget, settings) = pool.retry_budget(&self.settings.retry);
        match budget.try_reserve(now, &settings) {
            true => Ok(true),
            false => Err(ErrorKind::BudgetSpent),
        }
    }
}

/// Returns whether another upstream may succeed after this error.
fn is_retryable(kind: ErrorKind) -> bool {
    let passed = matches!(kind, ErrorKind::DeadlinePassed | ErrorKind::Quarantined);
    kind.response().retry == RetryAdvice::Later && !passed
}

/// Returns whether this error counts as a failure of the upstream.
fn is_upstream_failure(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::UpstreamBroke | ErrorKind::LinkLost)
}
