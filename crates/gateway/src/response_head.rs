//! What the head of a response says about its upstream, and whether the response answers its request.

use http::response::Parts;
use http::{HeaderMap, StatusCode, header};

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::header_names::HeaderNames;
use crate::headers;
use crate::upstream_limits;
use crate::withdrawals;
use sardinepin_decisions::LimitNotice;
use sardinepin_decisions::direct::LoadReport;

impl Gateway {
    /// Records what the head of a response says about its upstream: its load, its limit, and whether it withdraws.
    pub(crate) fn record_head(&self, call: &Call, permit: &UpstreamPermit, parts: &Parts) {
        self.record_load(permit, &parts.headers);
        self.record_limit(call, permit, parts);
        self.record_withdrawal(permit, parts);
    }

    fn record_load(&self, permit: &UpstreamPermit, headers: &HeaderMap) {
        if let Some(report) = self.load_report(headers) {
            self.dispatcher.record_load(permit.id, report);
        }
    }

    /// Records the limit that an answer names, or that it names none, whatever its status.
    fn record_limit(&self, call: &Call, permit: &UpstreamPermit, parts: &Parts) {
        let values = parts.headers.get_all(&self.names.limit).iter();
        let mut notice = LimitNotice::from_values(values.map(|value| value.to_str().ok()));
        let is_other = parts.status == StatusCode::MISDIRECTED_REQUEST;
        let is_own = parts.headers.get(&self.names.request_id) == Some(&call.id);
        if is_other || notice == LimitNotice::None && !is_own {
            // Another upstream has answered, or an answer to an earlier request has come late.
            notice = LimitNotice::Unreadable;
        }
        let changed = self.dispatcher.with_balancer(|balancer, now| {
            balancer.record_limit(now, permit.id, permit.sent_at, notice)
        });
        if changed {
            upstream_limits::log_change(permit, notice);
            self.dispatcher.permits_wanted.notify_one();
        }
    }

    /// Records that an upstream is leaving, or wants no requests for some time, as an answer says. The process that answers a request
    /// for another one speaks only for itself.
    fn record_withdrawal(&self, permit: &UpstreamPermit, parts: &Parts) {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let id = permit.id;
        let is_leaving = withdrawals::is_leaving(&parts.headers, &self.names.leaving);
        let dispatcher = &self.dispatcher;
        if is_leaving && dispatcher.with_balancer(|balancer, now| balancer.record_leaving(now, id))
        {
            withdrawals::log_leaving(&permit.spec);
        }
        if parts.status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(time) = withdrawals::rest_time(&parts.headers)
        {
            dispatcher.with_balancer(|balancer, now| balancer.record_rest(now, id, time));
            withdrawals::log_rest(&permit.spec, time);
        }
    }

    pub(crate) fn load_report(&self, headers: &HeaderMap) -> Option<LoadReport> {
        parse_load(headers::text(headers, &self.names.load)?)
    }

    /// Returns an error if a response must not be forwarded.
    ///
    /// A refusal that names another request, or none on a connection that was used before, says nothing of this request, which may have
    /// run.
    pub(crate) fn check_response(
        &self,
        call: &Call,
        permit: &UpstreamPermit,
        parts: &Parts,
        is_reused: bool,
    ) -> Result<(), AttemptFailure> {
        let names = &self.names;
        let echoed = parts.headers.get(&names.request_id);
        if echoed.map_or(is_reused, |id| *id != call.id) {
            return Err(AttemptFailure::BrokenResponse);
        }
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            self.dispatcher
                .with_balancer(|balancer, now| balancer.record_leaving(now, permit.id));
            return Err(AttemptFailure::Rejected);
        }
        if parts.headers.contains_key(&names.not_run) {
            let faulty_upstream = headers::text(&parts.headers, &names.faulty_upstream);
            let other_at_fault =
                faulty_upstream.is_some_and(|faulty_upstream| faulty_upstream != &*permit.spec.id);
            let in_group = permit.spec.group.is_some();
            return Err(if other_at_fault && in_group {
                AttemptFailure::GroupBroken
            } else {
                AttemptFailure::Rejected
            });
        }
        if echoed.is_none() || is_altered(names, parts) {
            return Err(AttemptFailure::BrokenResponse);
        }
        Ok(())
    }
}

/// Logs that a response cannot be the answer to its request.
pub(crate) fn log_no_answer(call: &Call, permit: &UpstreamPermit, status: StatusCode) {
    log::info!(
        event = "response_rejected", request = call.id_text(), service = &*call.service,
        upstream = &*permit.spec.id, rule = "status", fault = status.as_u16();
        "a response has a status that does not answer its request"
    );
    metrics::counter!("sardinepin_responses_rejected_total", "rule" => "status", "fault" => "no_answer")
        .increment(1);
}

/// Returns whether a response was not sent by the upstream in this form: a success lacks the
/// signature, or the body is content-encoded.
fn is_altered(names: &HeaderNames, parts: &Parts) -> bool {
    let unsigned = parts.status.is_success() && !parts.headers.contains_key(&names.signature);
    unsigned || parts.headers.contains_key(header::CONTENT_ENCODING)
}

fn parse_load(value: &str) -> Option<LoadReport> {
    let mut numbers = value.split(',').map(|part| part.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
    })
}
