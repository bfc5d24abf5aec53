//! A sender: the product's balancer, and the order in which a gateway asks it.

use std::sync::Arc;

use sardinepin_common::{Map, Millis, Set};
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, ColdService, Decision, PermitAsk,
    PermitReply, PlacementRequest, QueueDecision, RequestNumber, UpstreamId, UpstreamSpec,
};
use sardinepin_decisions::{BudgetSettings, LimitNotice};
use sardinepin_protocol::GroupLoad;

use crate::bounds::budget_check::BudgetRule;
use crate::bounds::mutant::Mutant;
use crate::bounds::notice::Notice;
use crate::bounds::record::RequestId;
use crate::bounds::upstreams::{RunEnd, SERVICES, ServiceIndex, Upstreams, zone_name};

/// The minimum time left before the deadline for a retry.
const RETRY_MIN_LEFT: Millis = Millis(50);

/// The response time within which a request is of full use.
const LATENCY_OBJECTIVE: Millis = Millis(500);

/// The part of the rule's ratio that senders earn by each request.
const RATIO_SHARE: f64 = 0.65;

/// The part of the rule's ratio that senders may save up.
const SAVED_SHARE: f64 = 0.3;

/// The part of the rule's slack that gateways use.
const SLACK_SHARE: f64 = 0.75;

/// How an attempt ended, as a sender sees it; ordered for the event queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Outcome {
    /// The upstream said how.
    Run(RunEnd),
    /// No connection could be opened.
    NotSent,
    /// The upstream has withdrawn since it was chosen; nothing was sent.
    Withdrawn,
    /// The group stalled while another had capacity.
    Stalled,
}

impl Outcome {
    /// Returns whether nothing was sent to the upstream.
    fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::Withdrawn)
    }
}

/// What a sender does about a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Action {
    /// Sends it to the upstream at this position.
    Send {
        request: RequestId,
        attempt: u64,
        upstream: usize,
    },
    /// Refuses it.
    Refuse {
        request: RequestId,
        retry_after: Millis,
    },
    /// Gives its caller an answer.
    Answer,
}

/// A request in progress.
#[derive(Debug)]
struct Open {
    request: RequestId,
    service: Arc<str>,
    deadline: Millis,
    tried: Vec<UpstreamId>,
    /// When the current attempt was sent.
    sent_at: Millis,
    /// The number of upstreams that it was sent to.
    sent: u32,
    /// The number of the current attempt; 0 while it waits.
    attempt: u64,
}

/// A sender.
#[derive(Debug)]
pub(super) struct Sender {
    balancer: Balancer,
    attempts_max: u32,
    mutant: Mutant,
    open: Map<RequestNumber, Open>,
    /// The requests by their current attempts.
    attempts: Map<u64, RequestNumber>,
    next_number: u64,
    next_attempt: u64,
    /// The retries granted so far.
    retries: u64,
}

/// What a sender is made from.
#[derive(Debug, Clone, Copy)]
pub(super) struct SenderSettings {
    pub(super) identity: u64,
    pub(super) zone: usize,
    pub(super) seed: u64,
    pub(super) attempts_max: u32,
    pub(super) mutant: Mutant,
    /// The cold state of the upstreams of the first service, if it names one.
    pub(super) cold: Option<ColdService>,
}

impl Sender {
    /// Starts a sender that knows the list of upstreams.
    pub(super) fn start(now: Millis, settings: SenderSettings, specs: &[UpstreamSpec]) -> Self {
        let rule = BudgetRule::default();
        let mut balancer = Balancer::new(BalancerSettings {
            zone: zone_name(settings.zone).to_string(),
            identity: settings.identity,
            seed: settings.seed,
            retry_budget: BudgetSettings {
                ratio: rule.ratio * RATIO_SHARE,
                saved_ratio: rule.ratio * SAVED_SHARE,
                shared_slack: rule.slack * SLACK_SHARE,
                window: rule.window,
                ..BudgetSettings::default()
            },
            ..BalancerSettings::default()
        });
        if settings.mutant != Mutant::ColdUnread {
            let cold = settings.cold.map(|cold| (Arc::from(SERVICES[0]), cold));
            balancer.set_cold_services(cold);
        }
        balancer.replace_upstreams(now, specs);
        Self {
            balancer,
            attempts_max: settings.attempts_max,
            mutant: settings.mutant,
            open: Map::default(),
            attempts: Map::default(),
            next_number: 0,
            next_attempt: 0,
            retries: 0,
        }
    }

    /// Takes up the list of upstreams.
    pub(super) fn read_list(
        &mut self,
        now: Millis,
        specs: &[UpstreamSpec],
        actions: &mut Vec<Action>,
    ) {
        let decisions = self.balancer.replace_upstreams(now, specs);
        self.carry_out_all(now, decisions, actions);
    }

    /// Replaces the set of evacuated zones.
    pub(super) fn replace_evacuated(
        &mut self,
        now: Millis,
        zones: Set<Arc<str>>,
        actions: &mut Vec<Action>,
    ) {
        if self.mutant != Mutant::EvacuationUnread {
            let (_, decisions) = self.balancer.replace_evacuated(now, zones);
            self.carry_out_all(now, decisions, actions);
        }
    }

    /// Handles a request of a caller.
    pub(super) fn handle_request(
        &mut self,
        now: Millis,
        request: RequestId,
        service: ServiceIndex,
        deadline: Millis,
        actions: &mut Vec<Action>,
    ) {
        let service = Arc::from(SERVICES[service]);
        self.balancer.record_request(now, &service);
        self.next_number += 1;
        let number = RequestNumber(self.next_number);
        let open = Open {
            request,
            service,
            deadline,
            tried: Vec::new(),
            sent_at: now,
            sent: 0,
            attempt: 0,
        };
        self.open.insert(number, open);
        self.place(now, number, false, actions);
    }

    fn place(
        &mut self,
        now: Millis,
        number: RequestNumber,
        is_retry: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&number) else {
            return;
        };
        let request = PlacementRequest {
            number,
            service: Arc::clone(&open.service),
            priority: 1,
            latency_objective: LATENCY_OBJECTIVE,
            deadline: open.deadline,
            tried: open.tried.clone(),
            regions: AllowedRegions::default(),
            returning: false,
            is_retry,
            organisation: None,
            continues: false,
        };
        if let Some(decision) = self.balancer.place(now, request) {
            self.carry_out(now, number, decision, actions);
        }
    }

    fn carry_out(
        &mut self,
        now: Millis,
        number: RequestNumber,
        decision: Decision,
        actions: &mut Vec<Action>,
    ) {
        match decision {
            Decision::Send(id) => {
                let Some(open) = self.open.get_mut(&number) else {
                    return;
                };
                self.next_attempt += 1;
                open.attempt = self.next_attempt;
                open.sent_at = now;
                open.tried.push(id);
                open.sent += 1;
                self.attempts.insert(open.attempt, number);
                let upstream = self.balancer.upstreams().get(id);
                let position = upstream.map_or(0, |one| Upstreams::position_of(one.spec.address));
                actions.push(Action::Send {
                    request: open.request,
                    attempt: open.attempt,
                    upstream: position,
                });
            }
            Decision::Refuse { retry_after, .. } => {
                if let Some(open) = self.open.remove(&number) {
                    actions.push(Action::Refuse {
                        request: open.request,
                        retry_after,
                    });
                }
            }
        }
    }

    fn carry_out_all(
        &mut self,
        now: Millis,
        decisions: Vec<QueueDecision>,
        actions: &mut Vec<Action>,
    ) {
        for entry in decisions {
            self.carry_out(now, entry.number, entry.decision, actions);
        }
    }

    /// Handles the end of an attempt, unless it has ended before.
    pub(super) fn handle_end(
        &mut self,
        now: Millis,
        attempt: u64,
        outcome: Outcome,
        notice: Notice,
        actions: &mut Vec<Action>,
    ) {
        let Some(number) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        open.attempt = 0;
        if outcome.is_unsent() {
            open.sent -= 1;
        }
        let id = open.tried.last().copied().unwrap_or(UpstreamId(0));
        if outcome == Outcome::Withdrawn {
            // It was not tried; its own notice is what keeps the request away.
            open.tried.pop();
        }
        let sent_at = open.sent_at;
        self.record_notice(now, id, sent_at, notice);
        if outcome == Outcome::Run(RunEnd::Served) {
            self.balancer.record_progress(now, id);
        }
        let decisions = self.balancer.record_end(now, id, attempt_end(outcome));
        self.carry_out_all(now, decisions, actions);
        if outcome == Outcome::Run(RunEnd::Served) {
            self.open.remove(&number);
            actions.push(Action::Answer);
            return;
        }
        if let Some(charged) = self.try_retry(now, number, outcome) {
            self.place(now, number, charged, actions);
        } else if let Some(open) = self.open.remove(&number) {
            actions.push(Action::Refuse {
                request: open.request,
                retry_after: self.balancer.retry_delay(now, open.deadline),
            });
        }
    }

    /// Returns whether the retry of a request is charged; `None` if it is not retried.
    fn try_retry(&mut self, now: Millis, number: RequestNumber, outcome: Outcome) -> Option<bool> {
        let open = self.open.get(&number)?;
        if open.deadline.since(now) < RETRY_MIN_LEFT || open.sent >= self.attempts_max {
            return None;
        }
        if outcome.is_unsent() {
            return Some(false);
        }
        let charged = match self.mutant {
            Mutant::NeverCharged => false,
            Mutant::HalfCharged => self.retries.is_multiple_of(2),
            _ => true,
        };
        self.retries += 1;
        let granted = !charged || self.balancer.try_reserve_retry(now, &open.service);
        granted.then_some(charged)
    }

    /// Returns whether an attempt may still be sent to the upstream that it had chosen.
    pub(super) fn may_send(&self, now: Millis, attempt: u64) -> bool {
        let number = self.attempts.get(&attempt);
        let open = number.and_then(|number| self.open.get(number));
        let chosen = open.and_then(|open| open.tried.last().copied());
        self.mutant == Mutant::HeldUnchecked
            || chosen.is_some_and(|id| self.balancer.upstreams().takes_requests(now, id))
    }

    /// Returns whether a sender still reads the answer to an attempt: it has not moved the request elsewhere.
    pub(super) fn reads(&self, attempt: u64) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Records that an upstream has begun to answer, and what the answer says about its limit.
    pub(super) fn record_progress(&mut self, now: Millis, attempt: u64, notice: Notice) {
        let number = self.attempts.get(&attempt);
        if let Some(open) = number.and_then(|number| self.open.get(number)) {
            let sent_at = open.sent_at;
            let id = open.tried.last().copied().unwrap_or(UpstreamId(0));
            self.balancer.record_progress(now, id);
            self.record_notice(now, id, sent_at, notice);
        }
    }

    /// Records what an answer to a request sent at `sent_at` says about its upstream.
    fn record_notice(&mut self, now: Millis, id: UpstreamId, sent_at: Millis, notice: Notice) {
        let limit = match self.mutant {
            Mutant::Unlimited => LimitNotice::Unreadable,
            _ => notice.limit,
        };
        self.balancer.record_limit(now, id, sent_at, limit);
        if notice.leaving && self.mutant != Mutant::LeavingUnread {
            self.balancer.record_leaving(now, id);
        }
        if let Some(time) = notice.rest.filter(|_| self.mutant != Mutant::RestUnread) {
            self.balancer.record_rest(now, id, time);
        }
    }

    /// Records a report of the load of a group.
    pub(super) fn record_report(
        &mut self,
        now: Millis,
        load: &GroupLoad,
        actions: &mut Vec<Action>,
    ) {
        let decisions = self.balancer.record_group_load(now, load);
        self.carry_out_all(now, decisions, actions);
    }

    /// Looks after queued requests.
    pub(super) fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let decisions = self.balancer.process_queues(now);
        self.carry_out_all(now, decisions, actions);
    }

    /// Returns the requests for permits that should be sent now.
    pub(super) fn permit_asks(&mut self, now: Millis) -> Vec<PermitAsk> {
        match self.mutant {
            Mutant::Unlimited => Vec::new(),
            _ => self.balancer.permit_asks(now),
        }
    }

    /// Records the reply of an agent.
    pub(super) fn record_permits(
        &mut self,
        now: Millis,
        ask: &PermitAsk,
        reply: PermitReply,
        actions: &mut Vec<Action>,
    ) {
        let decisions = self.balancer.record_permits(now, ask, reply);
        self.carry_out_all(now, decisions, actions);
    }

    /// Moves attempts away from groups that have stalled.
    pub(super) fn move_stalled(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut waiting: Vec<u64> = self.attempts.keys().copied().collect();
        waiting.sort_unstable();
        for attempt in waiting {
            let open = self
                .attempts
                .get(&attempt)
                .and_then(|number| self.open.get(number));
            let Some(open) = open else { continue };
            let may_move = open.sent < self.attempts_max;
            let Some(id) = open.tried.last().copied().filter(|_| may_move) else {
                continue;
            };
            if self
                .balancer
                .should_move(now, id, &AllowedRegions::default())
            {
                self.handle_end(now, attempt, Outcome::Stalled, Notice::NONE, actions);
            }
        }
    }
}

fn attempt_end(outcome: Outcome) -> AttemptEnd {
    match outcome {
        Outcome::Run(RunEnd::Served) => AttemptEnd::Served,
        Outcome::Run(RunEnd::Rejected) => AttemptEnd::Rejected,
        Outcome::Run(RunEnd::GroupBroken) => AttemptEnd::GroupBroken,
        Outcome::Run(RunEnd::Broken) => AttemptEnd::Failed,
        Outcome::NotSent => AttemptEnd::Unreachable,
        Outcome::Stalled | Outcome::Withdrawn => AttemptEnd::Abandoned,
    }
}
