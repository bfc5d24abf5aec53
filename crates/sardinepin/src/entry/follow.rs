//! Follows one request from its arrival to its final answer.

use std::sync::Arc;

use sardinepin_common::{AttemptId, Millis};
use sardinepin_decisions::{
    Arrival, AttemptEnd, Event, FollowAction, FollowEvent, FollowMachine, RequestNumber, UpstreamId,
};
use sardinepin_protocol::{Attempt, Digest, ErrorKind, Outcome, ToAgent};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::entry::answers::Outbound;
use crate::entry::call::Call;
use crate::entry::core::Order;
use crate::entry::flight::FromLink;
use crate::entry::server::Entry;
use crate::entry::uplink::Uplink;

/// The class that goes before all others.
const URGENT: &str = "urgent";

/// One request on its way.
#[derive(Debug)]
pub(crate) struct Follow {
    entry: Arc<Entry>,
    request: String,
    call: Call,
    ticket: RequestNumber,
    deadline: Millis,
    out: Outbound,
    orders: mpsc::UnboundedReceiver<Order>,
    /// Why an earlier attempt may have run, if one may have.
    unknown: Option<ErrorKind>,
}

/// An attempt under way.
struct Flight {
    id: AttemptId,
    upstream: UpstreamId,
    link: Uplink,
    inbox: mpsc::UnboundedReceiver<FromLink>,
    machine: FollowMachine,
    /// When the agent must have settled the attempt.
    settle_by: Option<Millis>,
}

/// What wakes an attempt up.
enum Wake {
    Message(FromLink),
    Order(Order),
    HungUp,
    Time,
}

impl Follow {
    /// Hands a request to the balancer and follows it to its final answer.
    pub(crate) async fn run(entry: Arc<Entry>, request: String, call: Call, out: Outbound) {
        let (sender, orders) = mpsc::unbounded_channel();
        let now = entry.clock.now();
        let mut follow = Self {
            ticket: RequestNumber(entry.next_number()),
            deadline: now + Millis(call.deadline_ms()),
            entry,
            request,
            call,
            out,
            orders,
            unknown: None,
        };
        follow.entry.core.arrive(follow.arrival(), sender);
        follow.obey().await;
    }

    fn arrival(&self) -> Arrival {
        let call = &self.call;
        Arrival {
            request: self.ticket,
            service: Arc::from(call.service.name.as_str()),
            organisation: Arc::clone(&call.organisation),
            organisation_weight: call.share,
            class: Arc::from(call.decision.class.as_str()),
            class_weight: call.decision.weight,
            rate_limit: call.decision.limit,
            deadline: self.deadline,
            digest: call.digest,
            prefix: call.prefix,
            idempotency_key: call
                .key
                .as_ref()
                .map(|key| Digest::of(&[key.key.as_bytes()])),
            idempotent: call.idempotent,
            cost: call.cost,
        }
    }

    async fn obey(&mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = self.out.gone() => None,
            };
            match order {
                Some(Order::Send(upstream)) => {
                    let end = self.attempt(upstream).await;
                    if self.ended(upstream, end).await {
                        return;
                    }
                }
                Some(Order::Withdraw) => {}
                Some(Order::GiveUp { kind, retry_after }) => {
                    return self.give_up(kind, retry_after).await;
                }
                None => {
                    self.entry.core.tell(Event::HungUp(self.ticket));
                    return;
                }
            }
        }
    }

    /// Tells the balancer how an attempt ended; returns whether the request is over.
    async fn ended(&mut self, upstream: UpstreamId, end: AttemptEnd) -> bool {
        let ticket = self.ticket;
        let hung_up = matches!(
            end,
            AttemptEnd::Unknown {
                kind: ErrorKind::HungUp,
                ..
            }
        );
        if let AttemptEnd::Unknown { kind, .. } = end {
            self.unknown = Some(kind);
        }
        if hung_up {
            self.entry.core.tell(Event::HungUp(ticket));
        }
        if end == AttemptEnd::Complete {
            self.out.finish();
        }
        self.entry.core.tell(Event::Ended {
            request: ticket,
            upstream,
            end,
        });
        hung_up || end == AttemptEnd::Complete
    }

    /// Gives the caller its final answer, which never calls "not run" what may have run.
    async fn give_up(&mut self, kind: ErrorKind, retry_after: Millis) {
        let kind = match self.unknown {
            Some(unknown) if kind.response().outcome == Outcome::NotRun => unknown,
            _ => kind,
        };
        log::info!(
            event = "given_up", request = self.request.as_str(), reason:% = kind;
            "a request was given up"
        );
        self.out.fail(kind, retry_after).await;
    }

    async fn attempt(&mut self, upstream: UpstreamId) -> AttemptEnd {
        let Some(mut flight) = self.take_off(upstream) else {
            return not_run(ErrorKind::Unreachable);
        };
        self.out.restart();
        let end = loop {
            let wake = self.wake(&mut flight).await;
            if let Some(end) = self.react(&mut flight, wake).await {
                break end;
            }
        };
        self.land(&flight, end);
        end
    }

    /// Hands an attempt to a link; `None` if no byte of it can leave.
    fn take_off(&self, upstream: UpstreamId) -> Option<Flight> {
        let link = self.entry.links.get(upstream)?;
        let id = self.entry.next_attempt();
        let (agent, inbox) = link.run(self.attempt_frame(id))?;
        log::debug!(
            event = "attempt", request = self.request.as_str(), attempt:% = id;
            "an attempt was handed to a link"
        );
        Some(Flight {
            id,
            upstream,
            link,
            inbox,
            machine: FollowMachine::new(agent),
            settle_by: None,
        })
    }

    fn attempt_frame(&self, id: AttemptId) -> Attempt {
        let left = self.deadline.since(self.entry.clock.now());
        Attempt {
            id,
            request: self.request.clone(),
            service: self.call.service.name.clone(),
            organisation: self.call.organisation.to_string(),
            digest: self.call.digest,
            budget_ms: u32::try_from(left.0).unwrap_or(u32::MAX),
            priority: u8::from(self.call.decision.class != URGENT),
            idempotent: self.call.idempotent,
            key: self.call.key.clone(),
            resume: self.out.tokens(),
            call: self.call.body.clone(),
        }
    }

    async fn wake(&mut self, flight: &mut Flight) -> Wake {
        let now = self.entry.clock.now();
        let until = flight
            .settle_by
            .map_or(self.deadline, |by| by.min(self.deadline));
        let event = async {
            tokio::select! {
                biased;
                message = flight.inbox.recv() => message.map_or(Wake::Time, Wake::Message),
                order = self.orders.recv() => order.map_or(Wake::Time, Wake::Order),
                () = self.out.gone() => Wake::HungUp,
            }
        };
        timeout(until.since(now).duration(), event)
            .await
            .unwrap_or(Wake::Time)
    }

    /// Takes in what woke the attempt up; returns how it ended, if it did.
    async fn react(&mut self, flight: &mut Flight, wake: Wake) -> Option<AttemptEnd> {
        let message = match wake {
            Wake::Message(message) => message,
            Wake::HungUp => return Some(self.unknown_end(ErrorKind::HungUp)),
            Wake::Order(Order::Withdraw) => return Some(self.unknown_end(ErrorKind::Stalled)),
            Wake::Order(_) => return None,
            Wake::Time => {
                let late = self.entry.clock.now() >= self.deadline;
                let event = if late {
                    FollowEvent::Deadline
                } else {
                    FollowEvent::SettleTimeout
                };
                let action = flight.machine.handle(event)?;
                return self.act(flight, action, None).await;
            }
        };
        let action = flight.machine.handle(event_of(&message))?;
        self.act(flight, action, Some(message)).await
    }

    async fn act(
        &mut self,
        flight: &mut Flight,
        action: FollowAction,
        message: Option<FromLink>,
    ) -> Option<AttemptEnd> {
        match (action, message) {
            (FollowAction::ForwardHead, Some(FromLink::Head { status, headers })) => {
                let (ticket, upstream) = (self.ticket, flight.upstream);
                self.entry.core.tell(Event::FirstByte {
                    request: ticket,
                    upstream,
                });
                let passed = self.out.head(status, headers);
                passed.err().map(|_| self.unknown_end(ErrorKind::HungUp))
            }
            (FollowAction::ForwardChunk, Some(FromLink::Chunk { data, .. })) => {
                let passed = self.out.chunk(data).await;
                flight.acknowledge(false);
                passed.err().map(|_| self.unknown_end(ErrorKind::HungUp))
            }
            (FollowAction::AwaitLink, _) => {
                let settle = Millis(self.entry.settings.entry.settle_ms);
                flight.settle_by = Some(self.entry.clock.now() + settle);
                None
            }
            (FollowAction::QueryAgent { chunks }, Some(FromLink::Up(agent))) => {
                let id = flight.id;
                flight.link.tell(ToAgent::Settle { id, agent, chunks });
                None
            }
            (FollowAction::Resumed, _) => {
                flight.settle_by = None;
                None
            }
            (FollowAction::Done(end), _) => Some(self.judge(end)),
            _ => None,
        }
    }

    /// Looks at an end from the caller's side.
    fn judge(&self, end: AttemptEnd) -> AttemptEnd {
        match end {
            AttemptEnd::Complete if !self.out.looks_whole() => {
                self.unknown_end(ErrorKind::UpstreamBroke)
            }
            AttemptEnd::Unknown { kind, crashed, .. } => AttemptEnd::Unknown {
                kind,
                crashed,
                unresumable: self.out.is_spoiled(),
            },
            other => other,
        }
    }

    fn unknown_end(&self, kind: ErrorKind) -> AttemptEnd {
        AttemptEnd::Unknown {
            kind,
            crashed: false,
            unresumable: kind == ErrorKind::HungUp || self.out.is_spoiled(),
        }
    }

    /// Leaves the link; an attempt that may run on is stopped if it may be repeated.
    fn land(&self, flight: &Flight, end: AttemptEnd) {
        let id = flight.id;
        if matches!(end, AttemptEnd::Unknown { .. }) && self.call.idempotent {
            flight.link.tell(ToAgent::Cancel { id });
        }
        flight.acknowledge(true);
        flight.link.forget(id);
    }
}

impl Flight {
    fn acknowledge(&self, ended: bool) {
        self.link.tell(ToAgent::Received {
            id: self.id,
            chunks: self.machine.chunks(),
            ended,
        });
    }
}

fn event_of(message: &FromLink) -> FollowEvent {
    match message {
        FromLink::Unsent => FollowEvent::Unsent,
        FromLink::Lost => FollowEvent::LinkLost,
        FromLink::Up(agent) => FollowEvent::LinkUp(*agent),
        FromLink::Refused { kind, retry_after } => FollowEvent::Refused {
            kind: *kind,
            retry_after: *retry_after,
        },
        FromLink::Head { .. } => FollowEvent::Head,
        FromLink::Chunk { seq, .. } => FollowEvent::Chunk { seq: *seq },
        FromLink::End { chunks } => FollowEvent::End { chunks: *chunks },
        FromLink::Broken(kind) => FollowEvent::Broken(*kind),
        FromLink::Settled(state) => FollowEvent::Settled(*state),
    }
}

fn not_run(kind: ErrorKind) -> AttemptEnd {
    AttemptEnd::NotRun {
        kind,
        retry_after: Millis::ZERO,
    }
}
