//! Tracks rank groups: whether they work, and how many gateways use them.
//!
//! This answers a group that stands still and one that comes back. When a group loses a rank, all its
//! ranks stall, then reject requests, and seem to have more capacity than those of groups that still
//! work. When it opens again, all gateways see an empty group at the same moment.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::GroupLoad;

use crate::direct::overtaking::AnsweredRequests;
use crate::direct::place_share::{GroupPlaces, PlaceShare};
use crate::direct::policy::Policy;
use crate::direct::upstream_set::AttemptEnd;

/// The time without data after which a group with attempts in flight counts as stalled.
const STALL_TIMEOUT: Millis = Millis(500);

/// How long a group is suspended after one of its ranks rejected a request as broken or could not be
/// reached; doubles with each further failure.
const SUSPEND_MIN: Millis = Millis(150);

/// The maximum suspension.
const SUSPEND_MAX: Millis = Millis(600);

/// The maximum number of times that the suspension doubles.
const SUSPEND_DOUBLINGS: u32 = 2;

/// The age after which a report of the group's load says nothing any more.
const REPORT_RETENTION: Millis = Millis(700);

/// How long after its first report a gateway does not rely on the number of gateways.
const GATEWAYS_SETTLE_TIME: Millis = Millis(1_000);

/// The last report of a group's load.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: Millis,
    open: bool,
    epoch: u64,
    step: u64,
    /// When the step number last rose, or when the group was last idle.
    stepped_at: Millis,
    /// Whether no request is at the group.
    idle: bool,
    /// When the load was sampled; `None` if it is unknown.
    sampled_at: Option<Millis>,
    gateways: f64,
}

impl Report {
    fn is_stalled(&self, now: Millis) -> bool {
        now.since(self.stepped_at) >= STALL_TIMEOUT
    }
}

/// The state of one group.
#[derive(Debug)]
struct RankGroup {
    in_flight: u32,
    /// When the group last sent data, or when the first attempt after an idle time started if that
    /// is later; `None` while no attempt is in flight.
    silent_since: Option<Millis>,
    failures: u32,
    failed_at: Millis,
    suspended_until: Millis,
    report: Option<Report>,
    share: PlaceShare,
    answered: AnsweredRequests,
}

impl RankGroup {
    fn new(position: f64) -> Self {
        Self {
            in_flight: 0,
            silent_since: None,
            failures: 0,
            failed_at: Millis::ZERO,
            suspended_until: Millis::ZERO,
            report: None,
            share: PlaceShare::new(position),
            answered: AnsweredRequests::default(),
        }
    }

    /// Returns the last report unless it is too old.
    fn fresh_report(&self, now: Millis) -> Option<&Report> {
        let report = self.report.as_ref()?;
        (now.since(report.at) < REPORT_RETENTION).then_some(report)
    }

    /// Returns the last report that says how many requests are at the group.
    fn fresh_sample(&self, now: Millis) -> Option<&Report> {
        let report = self.fresh_report(now)?;
        let sampled_at = report.sampled_at?;
        (now.since(sampled_at) < REPORT_RETENTION).then_some(report)
    }

    fn is_stalled(&self, now: Millis) -> bool {
        if let Some(report) = self.fresh_report(now) {
            return report.is_stalled(now);
        }
        self.silent_since
            .is_some_and(|since| now.since(since) >= STALL_TIMEOUT)
    }

    /// Returns whether a stalled group may be sent one request, to see whether it works again: only
    /// while it has none.
    fn may_test(&self, now: Millis) -> bool {
        self.in_flight == 0 && self.fresh_report(now).is_none_or(|report| report.idle)
    }

    fn is_suspended(&self, now: Millis) -> bool {
        match self.fresh_report(now) {
            Some(report) if !report.open => true,
            // A report says more than a failure before it.
            Some(report) if report.at > self.failed_at => false,
            _ => now < self.suspended_until,
        }
    }
}

/// All groups that requests were sent to or that reports arrived from.
#[derive(Debug, Default)]
pub(crate) struct RankGroups {
    policy: Policy,
    /// This gateway's position among all, from 0 to 1.
    position: f64,
    groups: Map<Arc<str>, RankGroup>,
    /// When the first report arrived.
    reports_began: Option<Millis>,
}

impl RankGroups {
    pub(crate) fn new(policy: Policy, position: f64) -> Self {
        Self {
            policy,
            position,
            groups: Map::default(),
            reports_began: None,
        }
    }

    fn group_mut(&mut self, name: &Arc<str>) -> &mut RankGroup {
        let position = self.position;
        self.groups
            .entry(Arc::clone(name))
            .or_insert_with(|| RankGroup::new(position))
    }

    /// Records the start of an attempt.
    pub(crate) fn record_start(&mut self, now: Millis, name: &Arc<str>) {
        let group = self.group_mut(name);
        group.in_flight += 1;
        group.silent_since.get_or_insert(now);
        if group.failures > 0 && group.fresh_report(now).is_none() {
            // Suspends the group again, so that one attempt at a time tests whether it works.
            group.suspended_until = now + suspend_time(group.failures);
        }
    }

    /// Records that the group has sent data.
    pub(crate) fn record_progress(&mut self, now: Millis, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.silent_since = Some(now);
            group.failures = 0;
            group.suspended_until = Millis::ZERO;
        }
    }

    /// Records that the answer to a request that was sent to the group at `sent_at` has begun.
    pub(crate) fn record_answer(&mut self, name: &str, sent_at: Millis) {
        if let Some(group) = self.groups.get_mut(name) {
            group.answered.record(sent_at);
        }
    }

    /// Returns whether the group has answered requests that were sent after one that waits since `sent_at`.
    pub(crate) fn have_overtaken(&self, name: &str, sent_at: Millis) -> bool {
        let group = self.groups.get(name);
        group.is_some_and(|group| group.answered.have_overtaken(sent_at))
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(&mut self, now: Millis, name: &str, end: AttemptEnd) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        group.in_flight = group.in_flight.saturating_sub(1);
        // A rank that this gateway cannot reach is usually missing for its whole group.
        if matches!(end, AttemptEnd::GroupBroken | AttemptEnd::Unreachable) {
            group.failures += 1;
            group.failed_at = now;
            group.suspended_until = now + suspend_time(group.failures);
        }
        if group.in_flight == 0 {
            group.silent_since = None;
        }
    }

    /// Records a report of the load of a group.
    pub(crate) fn record_report(&mut self, now: Millis, load: &GroupLoad) {
        self.reports_began.get_or_insert(now);
        let group = self.group_mut(&load.group);
        let last = group.report;
        let loads = load.sample.iter().flat_map(|(_, sample)| &sample.ranks);
        let total: f64 = loads
            .flatten()
            .map(|rank| f64::from(rank.running) + f64::from(rank.waiting))
            .sum();
        let stepped = last.is_none_or(|last| last.step != load.step || last.epoch != load.epoch);
        let idle = group.in_flight == 0 && total < 1.0;
        let stepped_at = match last {
            // An idle group makes no steps, but one that has stalled is not known to work again.
            Some(last) if !stepped && load.open && (!idle || last.is_stalled(now)) => {
                last.stepped_at
            }
            _ => now,
        };
        let sampled_at = load.sample.as_ref().map(|(age, _)| now.since(*age));
        let report = Report {
            at: now,
            open: load.open,
            epoch: load.epoch,
            step: load.step,
            stepped_at,
            idle,
            sampled_at,
            gateways: load
                .sample
                .as_ref()
                .map_or(1.0, |(_, sample)| f64::from(sample.gateways.max(1))),
        };
        let reopened = load.open && last.is_some_and(|last| !last.open || last.epoch != load.epoch);
        if reopened {
            group.failures = 0;
        }
        group.report = Some(report);
    }

    /// Records the places of a group when its load was sampled.
    pub(super) fn record_places(&mut self, now: Millis, name: &Arc<str>, places: GroupPlaces) {
        self.group_mut(name).share.record_sample(now, places);
    }

    /// Returns whether free places are shared between gateways.
    pub(super) fn shares_places(&self) -> bool {
        self.policy.shares_places
    }

    /// Returns whether this gateway may send one more request to a group.
    pub(super) fn has_place(&self, now: Millis, name: &str) -> bool {
        let group = self.groups.get(name);
        !self.policy.shares_places
            || group.is_none_or(|group| group.share.has_place(now, group.in_flight))
    }

    /// Returns the number of gateways that read the load of a group, as last reported; `None` until
    /// all of them, which may have started together, have had time to be counted.
    pub(crate) fn gateways(&self, now: Millis) -> Option<f64> {
        let began = self.reports_began?;
        if now.since(began) < GATEWAYS_SETTLE_TIME {
            return None;
        }
        let reports = self.groups.values();
        let known = reports.filter_map(|group| Some(group.fresh_sample(now)?.gateways));
        known.max_by(f64::total_cmp)
    }

    /// Returns whether no requests are sent to a group: it is suspended, or it has stalled.
    pub(crate) fn is_closed(&self, now: Millis, name: &str) -> bool {
        let Some(group) = self.groups.get(name) else {
            return false;
        };
        let stalled = self.policy.closes_stalled && group.is_stalled(now) && !group.may_test(now);
        stalled || group.is_suspended(now)
    }

    /// Returns whether a group is suspended.
    pub(crate) fn is_suspended(&self, now: Millis, name: &str) -> bool {
        self.groups
            .get(name)
            .is_some_and(|group| group.is_suspended(now))
    }

    /// Returns whether a group that has work has made no step for `STALL_TIMEOUT`.
    pub(crate) fn is_stalled(&self, now: Millis, name: &str) -> bool {
        self.groups
            .get(name)
            .is_some_and(|group| group.is_stalled(now))
    }
}

fn suspend_time(failures: u32) -> Millis {
    let doublings = failures.saturating_sub(1).min(SUSPEND_DOUBLINGS);
    Millis(SUSPEND_MIN.0 << doublings).min(SUSPEND_MAX)
}
