//! Follows a request from its arrival to its answer, over as many upstreams as it takes.

use std::sync::Arc;

use http::{Response, StatusCode};
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::answer::{self, Body};
use crate::attempt::{Begun, Failure, Plain, Plan};
use crate::balance::{Demand, Verdict};
use crate::call::Call;
use crate::dispatch::Place;
use crate::fleet::{Room, UpstreamId};
use crate::gateway::Gateway;
use crate::headers;
use crate::measure::{self, End, Part};
use crate::relay::Relay;

/// The least time left in which a request is sent once more.
const AGAIN_MIN: Millis = Millis(50);

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Upstreams that got the request, or could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// How many upstreams the request was sent to.
    pub(crate) sent: u32,
    /// Whether it may have run.
    pub(crate) ran: bool,
}

/// The end of a request without an upstream's answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GivenUp {
    pub(crate) kind: ErrorKind,
    pub(crate) retry_after: Millis,
    /// How the upstreams were, if that decided it.
    pub(crate) room: Room,
}

impl GivenUp {
    fn new(kind: ErrorKind, retry_after: Millis) -> Self {
        Self {
            kind,
            retry_after,
            room: Room::default(),
        }
    }
}

/// A request without an answer; if it is dropped, its caller has left.
struct Unanswered<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        let call = self.call;
        measure::ended(call, End::CallerLeft);
        log::info!(
            event = "caller_left", request = call.name(), service = &*call.service, chunks = 0,
            after_ms = self.gateway.clock.now().since(call.came).0;
            "caller left before its answer"
        );
    }
}

impl Gateway {
    /// Serves a request.
    pub(crate) async fn follow(self: &Arc<Self>, call: Call) -> Response<Body> {
        let service = Arc::clone(&call.service);
        self.dispatch
            .with(|balance, now| balance.requested(now, &service));
        let call = Arc::new(call);
        let mut tries = Tries::default();
        if let Some(retry_after) = self.held_back(&call) {
            let end = GivenUp::new(ErrorKind::Quarantined, retry_after);
            return self.give_up(&call, &tries, end);
        }
        let unanswered = Unanswered {
            gateway: self,
            call: &call,
        };
        let result = if call.is_stream() {
            self.follow_stream(&call, &mut tries).await
        } else {
            self.follow_plain(&call, &mut tries).await
        };
        // From here on the end has a line of its own.
        std::mem::forget(unanswered);
        match result {
            Ok(response) => response,
            Err(end) => self.give_up(&call, &tries, end),
        }
    }

    fn give_up(&self, call: &Call, tries: &Tries, end: GivenUp) -> Response<Body> {
        measure::ended(call, End::GivenUp);
        log::info!(
            event = "given_up", request = call.name(), service = &*call.service,
            route = &*call.route.name, reason = end.kind.answer().label, sent = tries.sent,
            ran = tries.ran, after_ms = self.clock.now().since(call.came).0,
            allowed_ms = call.deadline.since(call.came).0, retry_ms = end.retry_after.0,
            listed = end.room.listed, leaving = end.room.leaving, resting = end.room.resting,
            shut = end.room.shut, usable = end.room.usable;
            "request given up"
        );
        answer::error(
            end.kind,
            end.retry_after,
            Some((&self.names.request_id, &call.id)),
        )
    }

    async fn follow_plain(
        self: &Arc<Self>,
        call: &Arc<Call>,
        tries: &mut Tries,
    ) -> Result<Response<Body>, GivenUp> {
        loop {
            let place = self.place(call, tries).await?;
            let until = self.attempt_until(call, tries);
            let begun = self
                .attempt(
                    call,
                    place,
                    Plan {
                        until,
                        last_event: None,
                        movable: false,
                    },
                )
                .await;
            let plain = match begun {
                Ok(begun) => begun.read_whole(self, until).await,
                Err(failure) => Err(failure),
            };
            match plain {
                Ok(plain) if !plain.parts.status.is_server_error() => {
                    return Ok(self.pass_on(call, plain));
                }
                Ok(plain) => {
                    tries.ran = true;
                    if !self.may_try_again(call, tries, Failure::Broken) {
                        return Ok(self.pass_on(call, plain));
                    }
                }
                Err(failure) => self.failed(call, tries, failure)?,
            }
        }
    }

    async fn follow_stream(
        self: &Arc<Self>,
        call: &Arc<Call>,
        tries: &mut Tries,
    ) -> Result<Response<Body>, GivenUp> {
        loop {
            let place = self.place(call, tries).await?;
            let last = call.last_event(&self.names);
            let plan = Plan {
                until: call.deadline,
                last_event: last,
                movable: is_movable(call, tries),
            };
            match self.attempt(call, place, plan).await {
                Ok(begun) if begun.parts.status == StatusCode::OK => {
                    return Ok(self.stream(call, tries, begun));
                }
                Ok(begun) => {
                    let plain = begun.read_whole(self, call.deadline).await;
                    tries.ran = true;
                    match plain {
                        Ok(plain) if !self.may_try_again(call, tries, Failure::Broken) => {
                            return Ok(self.pass_on(call, plain));
                        }
                        Ok(_) => {}
                        Err(failure) => self.failed(call, tries, failure)?,
                    }
                }
                Err(failure) => self.failed(call, tries, failure)?,
            }
        }
    }

    /// Waits for a place at an upstream that has not been tried.
    pub(crate) async fn place(
        self: &Arc<Self>,
        call: &Call,
        tries: &mut Tries,
    ) -> Result<Place, GivenUp> {
        let demand = Demand {
            ticket: call.ticket,
            service: Arc::clone(&call.service),
            priority: call.priority,
            objective: call.route.objective,
            deadline: call.deadline,
            tried: tries.tried.clone(),
        };
        let place = self.dispatch.place(demand).await.map_err(|verdict| {
            let mut end = match verdict {
                Verdict::Refuse {
                    kind,
                    retry_after,
                    room,
                } => GivenUp {
                    kind,
                    retry_after,
                    room,
                },
                Verdict::Send(_) => GivenUp::new(ErrorKind::Internal, Millis::ZERO),
            };
            if tries.ran {
                end.kind = ErrorKind::UpstreamBroke;
            }
            end
        })?;
        tries.tried.push(place.id);
        tries.sent += 1;
        self.log_placed(call, tries, &place);
        Ok(place)
    }

    fn log_placed(&self, call: &Call, tries: &Tries, place: &Place) {
        let held = self.dispatch.with(|balance, now| {
            let upstream = balance.fleet().get(place.id);
            upstream.map_or(0.0, |upstream| upstream.occupancy(now))
        });
        let group = place.spec.group.as_ref().map_or("", |group| &*group.name);
        let waited = self.clock.now().since(call.came);
        if tries.sent == 1 {
            measure::took(call, Part::Wait, waited);
        }
        log::info!(
            event = "placed", request = call.name(), service = &*call.service,
            upstream = &*place.spec.id, zone = &*place.spec.zone, group = group, held = held,
            sent = tries.sent, waited_ms = waited.0;
            "request placed"
        );
    }

    /// Returns until when an upstream may take over a plain answer before another is tried.
    fn attempt_until(&self, call: &Call, tries: &Tries) -> Millis {
        if !call.repeatable() || tries.sent >= call.route.attempts {
            return call.deadline;
        }
        let patience = Millis(call.route.objective.0 * 2);
        call.deadline.min(self.clock.now() + patience)
    }

    /// Takes in a failure; returns an error if the request is not tried again.
    pub(crate) fn failed(
        &self,
        call: &Call,
        tries: &mut Tries,
        failure: Failure,
    ) -> Result<(), GivenUp> {
        tries.ran |= !failure.not_run();
        if failure == Failure::NotSent {
            tries.sent -= 1;
        }
        if self.may_try_again(call, tries, failure) {
            return Ok(());
        }
        let kind = match failure {
            _ if !tries.ran && failure == Failure::NotSent => ErrorKind::Unreachable,
            _ if !tries.ran => ErrorKind::Busy,
            Failure::Silent => ErrorKind::DeadlinePassed,
            Failure::Stalled => ErrorKind::Stalled,
            _ => ErrorKind::UpstreamBroke,
        };
        let retry_after = self.dispatch.with(|balance, _| balance.come_back());
        Err(GivenUp::new(kind, retry_after))
    }

    /// Decides whether a request is sent to one more upstream.
    pub(crate) fn may_try_again(&self, call: &Call, tries: &Tries, failure: Failure) -> bool {
        let left = call.deadline.since(self.clock.now());
        let allowed = failure.not_run() || call.repeatable();
        if !allowed || left < AGAIN_MIN || tries.sent >= call.route.attempts {
            return false;
        }
        // What never reached an upstream costs nothing of the budget.
        let paid = failure == Failure::NotSent
            || self
                .dispatch
                .with(|balance, now| balance.take_retry(now, &call.service));
        if paid {
            measure::retried(failure);
            log::info!(
                event = "again", request = call.name(), service = &*call.service,
                upstream = self.last_upstream(tries).as_deref(), reason = failure.label(),
                sent = tries.sent, left_ms = left.0;
                "request tried again"
            );
        }
        paid
    }

    /// Returns the upstream that was tried last.
    fn last_upstream(&self, tries: &Tries) -> Option<Arc<str>> {
        let last = *tries.tried.last()?;
        self.dispatch.with(|balance, _| {
            let upstream = balance.fleet().get(last)?;
            Some(Arc::clone(&upstream.spec.id))
        })
    }

    /// Passes on a plain answer.
    fn pass_on(&self, call: &Call, plain: Plain) -> Response<Body> {
        let names = &self.names;
        let after = self.clock.now().since(call.came);
        measure::ended(call, End::Answered);
        measure::took(call, Part::Whole, after);
        log::info!(
            event = "answered", request = call.name(), service = &*call.service,
            status = plain.parts.status.as_u16(), after_ms = after.0;
            "plain answer passed on"
        );
        self.answered(call);
        let signed = plain.parts.headers.contains_key(&names.signature);
        let status = plain.parts.status;
        // These statuses promise that the request did not run, which the upstream did not say.
        if promises_not_run(status) || (!signed && !status.is_success() && status.as_u16() < 400) {
            return answer::error(
                ErrorKind::UpstreamBroke,
                Millis::ZERO,
                Some((&names.request_id, &call.id)),
            );
        }
        let mut response = Response::new(answer::whole(plain.body));
        *response.status_mut() = status;
        *response.headers_mut() = headers::to_caller(names, &plain.parts.headers);
        response
    }

    fn stream(
        self: &Arc<Self>,
        call: &Arc<Call>,
        tries: &mut Tries,
        begun: Begun,
    ) -> Response<Body> {
        let headers = headers::to_caller(&self.names, &begun.parts.headers);
        let tries = std::mem::take(tries);
        let relay = Relay::new(Arc::clone(self), Arc::clone(call), tries, begun);
        let mut response = Response::new(relay.into_body());
        *response.headers_mut() = headers;
        response
    }
}

/// Returns whether a stream may be sent to one more upstream.
pub(crate) fn is_movable(call: &Call, tries: &Tries) -> bool {
    call.resumable() && tries.sent < call.route.attempts
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
