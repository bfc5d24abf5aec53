//! Follows a request from its arrival to its answer, over as many upstreams as it takes.

mod tries;

use std::sync::Arc;

use http::{Response, StatusCode};
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::answer::{self, Body};
use crate::attempt::{Begun, Failure, Plain, Plan};
use crate::balance::{Decision, PlacementRequest};
use crate::call::Call;
use crate::dispatch::Place;
use crate::follow::tries::Unanswered;
pub(crate) use crate::follow::tries::{GivenUp, Tries, is_movable};
use crate::gateway::Gateway;
use crate::headers;
use crate::measure::{self, End, Part};
use crate::relay::Relay;

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
        unanswered.answer();
        match result {
            Ok(response) => response,
            Err(end) => self.give_up(&call, &tries, end),
        }
    }

    fn give_up(&self, call: &Call, tries: &Tries, end: GivenUp) -> Response<Body> {
        measure::ended(call, End::GivenUp);
        log::info!(
            event = "given_up", request = call.name(), service = &*call.service,
            route = &*call.route.name, reason = end.kind.response().label, sent = tries.sent,
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
        let demand = PlacementRequest {
            number: call.ticket,
            service: Arc::clone(&call.service),
            priority: call.priority,
            latency_objective: call.route.latency_objective,
            deadline: call.deadline,
            tried: tries.tried.clone(),
        };
        let place = self.dispatch.place(demand).await.map_err(|verdict| {
            let mut end = match verdict {
                Decision::Refuse {
                    kind,
                    retry_after,
                    room,
                } => GivenUp {
                    kind,
                    retry_after,
                    room,
                },
                Decision::Send(_) => GivenUp::new(ErrorKind::Internal, Millis::ZERO),
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
            let upstream = balance.upstreams().get(place.id);
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

fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
