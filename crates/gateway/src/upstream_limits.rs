//! Logs and counts the limits that upstreams name.

use sardinepin_decisions::LimitNotice;

use crate::dispatch::UpstreamPermit;

/// Logs and counts that an upstream has named another limit, or none any more.
pub(crate) fn log_change(permit: &UpstreamPermit, notice: LimitNotice) {
    let spec = &permit.spec;
    let rate = match notice {
        LimitNotice::Named(rate) => Some(rate.per_second()),
        LimitNotice::None | LimitNotice::Unreadable => None,
    };
    let change = if rate.is_some() { "named" } else { "lifted" };
    metrics::counter!("sardinepin_upstream_limit_changes_total",
        "service" => spec.service.to_string(), "change" => change)
    .increment(1);
    log::info!(
        event = "upstream_limit", upstream = &*spec.id, service = &*spec.service, change = change,
        per_second = rate;
        "the limit of an upstream has changed"
    );
}
