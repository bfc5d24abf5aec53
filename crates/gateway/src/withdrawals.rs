//! Reads from the answers of an upstream that it is leaving, or wants no requests for some time, and
//! keeps requests away that had chosen it before.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime};

use http::{HeaderMap, HeaderName, header};
use sardinepin_common::Millis;
use sardinepin_decisions::direct::UpstreamSpec;

use crate::call::Call;
use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;

/// The longest rest that is kept: more than a process of an upstream lives.
const REST_MAX: Millis = Millis(24 * 3_600 * 1_000);

/// Returns whether an answer says that its upstream is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap, name: &HeaderName) -> bool {
    let mut values = headers.get_all(name).iter();
    values.any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Returns how long the upstream of an answer wants no requests: the longest time that can be read, or `None`.
///
/// A number is seconds, with fractions. A date counts from the date of the answer, as the clocks of instances differ; without one
/// it says nothing. Neither do negative numbers and what is no time.
#[must_use]
pub fn rest_time(headers: &HeaderMap) -> Option<Millis> {
    let answered_at = headers
        .get(header::DATE)
        .and_then(|value| value.to_str().ok());
    let answered_at = answered_at.and_then(|value| httpdate::parse_http_date(value).ok());
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let times = values.filter_map(|value| parse_time(value.trim(), answered_at));
    times.max().map(|time| time.min(REST_MAX))
}

fn parse_time(value: &str, answered_at: Option<SystemTime>) -> Option<Millis> {
    let is_number = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if value.bytes().all(is_number) {
        let seconds: f64 = value.parse().ok()?;
        // The conversion of a number that is too large gives the largest one.
        return Some(Millis((seconds * 1_000.0).ceil() as u64));
    }
    let until = httpdate::parse_http_date(value).ok()?;
    let time = until.duration_since(answered_at?).unwrap_or(Duration::ZERO);
    Some(Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX)))
}

impl Gateway {
    /// Returns whether the upstream of a permit still takes requests. Every attempt asks just before it is sent, since it may have
    /// waited for a connection, or for news of the store, after it had chosen the upstream.
    pub(crate) fn may_send(&self, call: &Call, permit: &UpstreamPermit) -> bool {
        let dispatcher = &self.dispatcher;
        let (takes, now) = dispatcher.with_balancer(|balancer, now| {
            let takes = balancer.upstreams().takes_requests(now, permit.id);
            (takes, now)
        });
        if !takes {
            log::info!(
                event = "withdrawn", request = call.id_text(), upstream = &*permit.spec.id,
                chosen_ms = now.since(permit.sent_at).0;
                "the upstream has withdrawn since it was chosen; the request is not sent there"
            );
        }
        takes
    }
}

/// Logs and counts that an upstream has said that it is leaving.
pub(crate) fn log_leaving(spec: &UpstreamSpec) {
    metrics::counter!("sardinepin_upstream_leaving_total", "service" => spec.service.to_string())
        .increment(1);
    log::info!(
        event = "upstream_leaving", upstream = &*spec.id, service = &*spec.service;
        "an upstream says that it is leaving"
    );
}

/// Logs and counts that an upstream has turned a request away and wants none for some time.
pub(crate) fn log_rest(spec: &UpstreamSpec, time: Millis) {
    metrics::counter!("sardinepin_upstream_rests_total", "service" => spec.service.to_string())
        .increment(1);
    log::info!(
        event = "upstream_resting", upstream = &*spec.id, service = &*spec.service, time_ms = time.0;
        "an upstream wants no requests for some time"
    );
}
