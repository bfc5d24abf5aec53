//! What follows from the end of an attempt: an answer, a retry, or a request given up.

use sardinepin_common::Millis;
use sardinepin_protocol::{Digest, ErrorKind, RetryAdvice};

use super::Scheduler;
use crate::events::{AttemptEnd, Effect, RequestNumber, UpstreamId};
use crate::pending::Pending;
use crate::slot::Attempt;

/// How an attempt failed.
#[derive(Debug, Clone, Copy)]
struct Failure {
    kind: ErrorKind,
    /// Whether the request may be sent again.
    again: bool,
    /// When coming back makes sense by the upstream's word.
    retry_after: Millis,
}

impl Scheduler {
    /// Takes in the end of an attempt.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        ticket: RequestNumber,
        upstream: UpstreamId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.fleet.place(upstream).and_then(|at| {
            let attempt = self.fleet.slots[at].ended(ticket)?;
            Some((at, attempt))
        });
        if let Some((at, attempt)) = attempt {
            self.learn_from(now, at, &attempt, end, effects);
        }
        match end {
            AttemptEnd::Complete => {
                self.pending.remove(&ticket);
            }
            AttemptEnd::NotRun { kind, retry_after } => {
                let failure = Failure {
                    kind,
                    again: repeatable(kind),
                    retry_after,
                };
                self.retry(now, ticket, failure, effects);
            }
            AttemptEnd::Unknown {
                kind,
                unresumable: spoiled,
                ..
            } => {
                if let Some(one) = self.pending.get_mut(&ticket) {
                    one.unknown.get_or_insert(kind);
                    let again = one.arrival.idempotent && !spoiled && repeatable(kind);
                    let failure = Failure {
                        kind,
                        again,
                        retry_after: Millis::ZERO,
                    };
                    self.retry(now, ticket, failure, effects);
                }
            }
        }
        if let Some((at, _)) = attempt
            && let Some(pool) = self.pools.place(&self.fleet.slots[at].info.service)
        {
            self.pump_freed(now, pool, at, effects);
        }
    }

    /// Lets an end count for the upstream and for the suspicion on the request.
    fn learn_from(
        &mut self,
        now: Millis,
        at: usize,
        attempt: &Attempt,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        match end {
            AttemptEnd::Complete => self.answered(now, at, attempt),
            AttemptEnd::NotRun { kind, .. } => {
                if attempt.struck {
                    self.suspects.clear(&attempt.digest);
                }
                self.refused(now, at, attempt, kind);
            }
            AttemptEnd::Unknown { kind, crashed, .. } => {
                if crashed {
                    self.crashed(now, at, attempt, effects);
                } else if broken(kind) {
                    self.failed(now, at);
                }
            }
        }
    }

    fn answered(&mut self, now: Millis, at: usize, attempt: &Attempt) {
        self.suspects.clear(&attempt.digest);
        let slot = &mut self.fleet.slots[at];
        slot.progress = now;
        if slot.health.answered() {
            slot.limiter.restart(&self.settings.concurrency);
        }
        let Some(pool) = self.pools.place(&slot.info.service) else {
            return;
        };
        let times = &mut self.pools.list[pool].times;
        match attempt.began {
            Some(began) => times.ended(now.since(began), attempt.cost),
            None => times.began(now.since(attempt.sent)),
        }
    }

    fn refused(&mut self, now: Millis, at: usize, attempt: &Attempt, kind: ErrorKind) {
        let slot = &mut self.fleet.slots[at];
        match kind {
            ErrorKind::Busy => {
                slot.progress = now;
                let in_flight = slot.attempts.len() + 1;
                slot.limiter
                    .refused(now, in_flight, &self.settings.concurrency);
            }
            ErrorKind::Leaving | ErrorKind::ShuttingDown => {
                slot.leaving = true;
                self.fleet.judge(at);
                if let Some(pool) = self.pools.place(&self.fleet.slots[at].info.service) {
                    self.pools.list[pool].count(now, &self.fleet);
                }
            }
            ErrorKind::Unreachable | ErrorKind::NotReady => self.failed(now, at),
            ErrorKind::Tombstoned if !attempt.withdrawn => self.failed(now, at),
            _ => {}
        }
    }

    fn failed(&mut self, now: Millis, at: usize) {
        if self.fleet.slots[at].health.failed(&self.settings.ejection) {
            self.eject(now, at);
        }
    }

    /// Counts a crash, once for all attempts that were in flight there.
    fn crashed(&mut self, now: Millis, at: usize, ended: &Attempt, effects: &mut Vec<Effect>) {
        if ended.struck {
            return;
        }
        let mut marks: Vec<(Digest, Millis)> = vec![(ended.digest, ended.sent)];
        for attempt in &mut self.fleet.slots[at].attempts {
            if !attempt.struck {
                attempt.struck = true;
                marks.push((attempt.digest, attempt.sent));
            }
        }
        // Of several attempts with one digest, the latest counts.
        marks.sort_unstable_by(|a, b| b.cmp(a));
        marks.dedup_by_key(|mark| mark.0);
        for (digest, sent) in marks {
            if let Some(left) = self.suspects.crashed(now, sent, digest) {
                effects.push(Effect::Quarantine {
                    digest,
                    remaining: left,
                });
                self.refuse_repeats(now, &digest, effects);
            }
        }
        self.eject(now, at);
    }

    /// Ejects an upstream, unless too many of its zone and service are out already.
    pub(super) fn eject(&mut self, now: Millis, at: usize) {
        let slot = &self.fleet.slots[at];
        let mut total = 0;
        let mut out = 0;
        for other in &self.fleet.slots {
            if other.live()
                && other.info.service == slot.info.service
                && other.info.zone == slot.info.zone
            {
                total += 1;
                out += usize::from(other.health.out() && other.id() != slot.id());
            }
        }
        let share = total * self.settings.ejection.ejected_milli as usize / 1_000;
        let most = share.max(usize::from(total > 1));
        if out < most {
            self.fleet.slots[at]
                .health
                .eject(now, &self.settings.ejection);
            self.fleet.judge(at);
        }
    }

    /// Sends a request again if it may and the budget allows it, or else gives it up.
    fn retry(
        &mut self,
        now: Millis,
        ticket: RequestNumber,
        failure: Failure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut one) = self.pending.remove(&ticket) else {
            return;
        };
        one.cause = Some(failure.kind);
        let (pool, class) = (one.pool, one.class);
        match self.may_retry(now, &one, failure) {
            Ok(()) => self.enqueue(one),
            Err(kind) => {
                self.pending.insert(ticket, one);
                let retry_after = self.come_back(pool, class).max(failure.retry_after);
                self.give_up(ticket, kind, retry_after, effects);
            }
        }
    }

    fn may_retry(&mut self, now: Millis, one: &Pending, failure: Failure) -> Result<(), ErrorKind> {
        let pool = &mut self.pools.list[one.pool];
        let attempts = u32::try_from(one.tried.len()).unwrap_or(u32::MAX);
        if !failure.again || attempts >= self.settings.attempts_max {
            return Err(failure.kind);
        }
        if one.too_late(now, pool.times.expected(one.arrival.cost)) {
            return Err(ErrorKind::TooLate);
        }
        if self
            .suspects
            .quarantined(now, &one.arrival.digest)
            .is_some()
        {
            return Err(ErrorKind::Quarantined);
        }
        if !pool.budget.spend() {
            return Err(ErrorKind::BudgetSpent);
        }
        Ok(())
    }
}

/// Returns whether another upstream may do better after this.
fn repeatable(kind: ErrorKind) -> bool {
    let passed = matches!(kind, ErrorKind::DeadlinePassed | ErrorKind::Quarantined);
    kind.response().retry == RetryAdvice::Later && !passed
}

/// Returns whether this speaks against the upstream.
fn broken(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::UpstreamBroke | ErrorKind::LinkLost)
}
