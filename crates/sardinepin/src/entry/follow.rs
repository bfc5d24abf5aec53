//! Carries one request from its arrival to its final response, through one or more attempts.

use std::sync::Arc;

use sardinepin_common::{AttemptId, Millis};
use sardinepin_decisions::{
    Arrival, AttemptEnd, Event, FollowAction, FollowEvent, FollowMachine, RequestNumber, UpstreamId,
};
use sardinepin_protocol::{Attempt, Digest, ErrorKind, Outcome, ToAgent};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::entry::agent_link::AgentLink;
use crate::entry::attempts::LinkEvent;
use crate::entry::balancer::RequestCommand;
use crate::entry::call::Call;
use crate::entry::responses::{CallerResponse, ForwardError};
use crate::entry::server::Entry;

/// The class that agents run before all others.
const URGENT_CLASS: &str = "urgent";

/// The task of one request.
#[derive(Debug)]
pub(crate) struct RequestFollower {
    entry: Arc<Entry>,
    request_id: String,
    call: Call,
    number: RequestNumber,
    deadline: Millis,
    response: CallerResponse,
    commands: mpsc::UnboundedReceiver<RequestCommand>,
    /// The error of an earlier attempt that may have run; `None` if none may have.
    unknown_kind: Option<ErrorKind>,
}

/// The attempt in flight.
struct CurrentAttempt {
    id: AttemptId,
    upstream: UpstreamId,
    link: AgentLink,
    events: mpsc::UnboundedReceiver<LinkEvent>,
    machine: FollowMachine,
    /// The settle timeout: when a lost link must be back and the agent must have replied to the
    /// query about the attempt. `None` if the link was not lost or the attempt has resumed.
    settle_by: Option<Millis>,
}

/// What an attempt in flight reacts to.
enum Wakeup {
    Event(LinkEvent),
    Command(RequestCommand),
    HungUp,
    Timeout,
}

impl RequestFollower {
    /// Passes a request to the balancer and runs its commands until the final response.
    pub(crate) async fn run(
        entry: Arc<Entry>,
        request_id: String,
        call: Call,
        response: CallerResponse,
    ) {
        let (sender, commands) = mpsc::unbounded_channel();
        let now = entry.clock.now();
        let mut follower = Self {
            number: RequestNumber(entry.next_number()),
            deadline: now + Millis(call.deadline_ms()),
            entry,
            request_id,
            call,
            response,
            commands,
            unknown_kind: None,
        };
        follower.entry.balancer.submit(follower.arrival(), sender);
        follower.run_commands().await;
    }

    fn arrival(&self) -> Arrival {
        let call = &self.call;
        Arrival {
            request: self.number,
            service: Arc::from(call.service.name.as_str()),
            organisation: Arc::clone(&call.organisation),
            organisation_weight: call.weight,
            class: Arc::from(call.decision.class.as_str()),
            class_weight: call.decision.weight,
            rate_limit: call.decision.limit,
            deadline: self.deadline,
            digest: call.digest,
            parts: call.parts.clone(),
            prefix: call.prefix,
            idempotency_key: call
                .key
                .as_ref()
                .map(|key| Digest::of(&[key.key.as_bytes()])),
            idempotent: call.idempotent,
            cost: call.cost,
        }
    }

    async fn run_commands(&mut self) {
        loop {
            // A command to send must not win against a caller that has left.
            let command = tokio::select! {
                biased;
                () = self.response.hung_up() => None,
                command = self.commands.recv() => command,
            };
            match command {
                Some(RequestCommand::Send(upstream)) => {
                    let end = self.run_attempt(upstream).await;
                    if self.report_end(upstream, end).await {
                        return;
                    }
                }
                Some(RequestCommand::Withdraw) => {}
                Some(RequestCommand::GiveUp { kind, retry_after }) => {
                    return self.give_up(kind, retry_after).await;
                }
                None => {
                    self.entry.balancer.notify(Event::HungUp(self.number));
                    return;
                }
            }
        }
    }

    /// Reports the end of an attempt to the balancer; returns whether the request has ended too.
    async fn report_end(&mut self, upstream: UpstreamId, end: AttemptEnd) -> bool {
        let number = self.number;
        let hung_up = matches!(
            end,
            AttemptEnd::Unknown {
                kind: ErrorKind::HungUp,
                ..
            }
        );
        if let AttemptEnd::Unknown { kind, .. } = end {
            self.unknown_kind = Some(kind);
        }
        if hung_up {
            self.entry.balancer.notify(Event::HungUp(number));
        }
        if end == AttemptEnd::Complete {
            self.response.complete();
        }
        self.entry.balancer.notify(Event::Ended {
            request: number,
            upstream,
            end,
        });
        hung_up || end == AttemptEnd::Complete
    }

    /// Sends the caller an error response. The outcome is never "not run" if any attempt may have
    /// run.
    async fn give_up(&mut self, kind: ErrorKind, retry_after: Millis) {
        let kind = match self.unknown_kind {
            Some(unknown_kind) if kind.response().outcome == Outcome::NotRun => unknown_kind,
            _ => kind,
        };
        log::info!(
            event = "given_up", request = self.request_id.as_str(), reason:% = kind;
            "a request ends with an error response"
        );
        self.response.fail(kind, retry_after).await;
    }

    async fn run_attempt(&mut self, upstream: UpstreamId) -> AttemptEnd {
        if self.entry.clock.now() >= self.deadline {
            return not_run(ErrorKind::TooLate);
        }
        let Some(mut attempt) = self.start_attempt(upstream) else {
            return not_run(ErrorKind::Unreachable);
        };
        self.response.reset();
        let end = loop {
            let wakeup = self.next_wakeup(&mut attempt).await;
            if let Some(end) = self.handle_wakeup(&mut attempt, wakeup).await {
                break end;
            }
        };
        self.finish_attempt(&attempt, end);
        end
    }

    /// Queues an attempt on the upstream's link; `None` if there is no link or it is down, so that
    /// no byte is written.
    fn start_attempt(&self, upstream: UpstreamId) -> Option<CurrentAttempt> {
        let link = self.entry.links.get(upstream)?;
        let id = self.entry.next_attempt();
        let (agent, events) = link.queue_attempt(self.attempt_frame(id))?;
        log::debug!(
            event = "attempt", request = self.request_id.as_str(), attempt:% = id;
            "queued an attempt on a link"
        );
        Some(CurrentAttempt {
            id,
            upstream,
            link,
            events,
            machine: FollowMachine::new(agent),
            settle_by: None,
        })
    }

    fn attempt_frame(&self, id: AttemptId) -> Attempt {
        let remaining = self.deadline.since(self.entry.clock.now());
        Attempt {
            id,
            request: self.request_id.clone(),
            service: self.call.service.name.clone(),
            organisation: self.call.organisation.to_string(),
            digest: self.call.digest,
            budget_ms: u32::try_from(remaining.0).unwrap_or(u32::MAX),
            priority: u8::from(self.call.decision.class != URGENT_CLASS),
            idempotent: self.call.idempotent,
            key: self.call.key.clone(),
            resume: self.response.tokens(),
            call: self.call.upstream_request.clone(),
        }
    }

    async fn next_wakeup(&mut self, attempt: &mut CurrentAttempt) -> Wakeup {
        let now = self.entry.clock.now();
        let until = attempt
            .settle_by
            .map_or(self.deadline, |by| by.min(self.deadline));
        let event = async {
            tokio::select! {
                biased;
                event = attempt.events.recv() => event.map_or(Wakeup::Timeout, Wakeup::Event),
                command = self.commands.recv() => command.map_or(Wakeup::Timeout, Wakeup::Command),
                () = self.response.hung_up() => Wakeup::HungUp,
            }
        };
        timeout(until.since(now).duration(), event)
            .await
            .unwrap_or(Wakeup::Timeout)
    }

    /// Handles a wakeup; returns the end of the attempt if it ended.
    async fn handle_wakeup(
        &mut self,
        attempt: &mut CurrentAttempt,
        wakeup: Wakeup,
    ) -> Option<AttemptEnd> {
        let event = match wakeup {
            Wakeup::Event(event) => event,
            Wakeup::HungUp => return Some(self.unknown_end(ErrorKind::HungUp)),
            Wakeup::Command(RequestCommand::Withdraw) => {
                return Some(self.unknown_end(ErrorKind::Stalled));
            }
            Wakeup::Command(_) => return None,
            Wakeup::Timeout => {
                let past_deadline = self.entry.clock.now() >= self.deadline;
                let event = if past_deadline {
                    FollowEvent::Deadline
                } else {
                    FollowEvent::SettleTimeout
                };
                let action = attempt.machine.handle(event)?;
                return self.apply_action(attempt, action, None).await;
            }
        };
        let action = attempt.machine.handle(follow_event(&event))?;
        self.apply_action(attempt, action, Some(event)).await
    }

    async fn apply_action(
        &mut self,
        attempt: &mut CurrentAttempt,
        action: FollowAction,
        event: Option<LinkEvent>,
    ) -> Option<AttemptEnd> {
        match (action, event) {
            (FollowAction::ForwardHead, Some(LinkEvent::Head { status, headers })) => {
                let (number, upstream) = (self.number, attempt.upstream);
                self.entry.balancer.notify(Event::FirstByte {
                    request: number,
                    upstream,
                });
                let sent = self.response.set_head(status, headers);
                sent.err().map(|error| self.forward_end(attempt, error))
            }
            (FollowAction::ForwardChunk, Some(LinkEvent::Chunk { data, .. })) => {
                let sent = self.response.push_chunk(data).await;
                attempt.acknowledge(false);
                sent.err().map(|error| self.forward_end(attempt, error))
            }
            (FollowAction::AwaitLink, _) => {
                let settle = Millis(self.entry.settings.entry.settle_ms);
                attempt.settle_by = Some(self.entry.clock.now() + settle);
                None
            }
            (FollowAction::QueryAgent { chunks }, Some(LinkEvent::LinkUp(agent))) => {
                let id = attempt.id;
                attempt.link.send(ToAgent::Settle { id, agent, chunks });
                None
            }
            (FollowAction::Resumed, _) => {
                attempt.settle_by = None;
                None
            }
            (FollowAction::Done(end), _) => Some(self.classify_end(end)),
            _ => None,
        }
    }

    /// Adjusts the end of an attempt to what the caller has received.
    fn classify_end(&self, end: AttemptEnd) -> AttemptEnd {
        match end {
            AttemptEnd::Complete if !self.response.seems_complete() => {
                self.unknown_end(ErrorKind::UpstreamBroke)
            }
            AttemptEnd::Unknown { kind, crashed, .. } => AttemptEnd::Unknown {
                kind,
                crashed,
                unresumable: self.response.is_unresumable(),
            },
            other => other,
        }
    }

    /// Returns the end of an attempt whose response does not reach the caller.
    fn forward_end(&self, attempt: &CurrentAttempt, error: ForwardError) -> AttemptEnd {
        let ForwardError::Discontinuous(fault) = error else {
            return self.unknown_end(ErrorKind::HungUp);
        };
        log::info!(
            event = "response_rejected", request = self.request_id.as_str(), attempt:% = attempt.id,
            rule = "stream", fault = fault.label(), tokens = self.response.tokens();
            "a response is no part of the stream"
        );
        self.unknown_end(ErrorKind::UpstreamBroke)
    }

    fn unknown_end(&self, kind: ErrorKind) -> AttemptEnd {
        AttemptEnd::Unknown {
            kind,
            crashed: false,
            unresumable: kind == ErrorKind::HungUp || self.response.is_unresumable(),
        }
    }

    /// Removes the attempt from its link. If it may still run and is idempotent, the agent is told
    /// to cancel it.
    fn finish_attempt(&self, attempt: &CurrentAttempt, end: AttemptEnd) {
        let id = attempt.id;
        if matches!(end, AttemptEnd::Unknown { .. }) && self.call.idempotent {
            attempt.link.send(ToAgent::Cancel { id });
        }
        attempt.acknowledge(true);
        attempt.link.remove_attempt(id);
    }
}

impl CurrentAttempt {
    fn acknowledge(&self, ended: bool) {
        self.link.send(ToAgent::Received {
            id: self.id,
            chunks: self.machine.chunks(),
            ended,
        });
    }
}

fn follow_event(event: &LinkEvent) -> FollowEvent {
    match event {
        LinkEvent::Unsent => FollowEvent::Unsent,
        LinkEvent::LinkLost => FollowEvent::LinkLost,
        LinkEvent::LinkUp(agent) => FollowEvent::LinkUp(*agent),
        LinkEvent::Refused { kind, retry_after } => FollowEvent::Refused {
            kind: *kind,
            retry_after: *retry_after,
        },
        LinkEvent::Head { .. } => FollowEvent::Head,
        LinkEvent::Chunk { seq, .. } => FollowEvent::Chunk { seq: *seq },
        LinkEvent::End { chunks } => FollowEvent::End { chunks: *chunks },
        LinkEvent::Broken(kind) => FollowEvent::Broken(*kind),
        LinkEvent::Settled(state) => FollowEvent::Settled(*state),
    }
}

fn not_run(kind: ErrorKind) -> AttemptEnd {
    AttemptEnd::NotRun {
        kind,
        retry_after: Millis::ZERO,
    }
}
