//! Limits that upstreams name: requests for permits to agents, log lines and counters.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::LimitNotice;
use sardinepin_decisions::direct::PermitAsk;

use crate::dispatch::UpstreamPermit;
use crate::gateway::Gateway;
use crate::rank_agents::RankAgents;

/// The interval at which it is checked whether permits are wanted, while any upstream has a limit.
const CHECK_INTERVAL: Millis = Millis(20);

/// Requests permits for upstreams that have named limits, until the process ends.
pub(crate) async fn request_permits(gateway: Arc<Gateway>, agents: Option<Arc<dyn RankAgents>>) {
    let dispatcher = &gateway.dispatcher;
    let mut known_cold = 0;
    loop {
        let (has_limits, cold) = dispatcher
            .with_balancer(|balancer, now| (balancer.has_limits(), balancer.count_cold(now)));
        if cold != known_cold {
            known_cold = cold;
            metrics::gauge!("sardinepin_cold_upstreams").set(cold as f64);
            log::info!(event = "cold_upstreams", count = cold; "the number of cold upstreams has changed");
        }
        tokio::select! {
            () = dispatcher.permits_wanted.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL.duration()), if has_limits => {}
        }
        let asks = dispatcher.with_balancer(|balancer, now| balancer.permit_asks(now));
        for ask in asks {
            tokio::spawn(request_permit(Arc::clone(&gateway), agents.clone(), ask));
        }
    }
}

async fn request_permit(
    gateway: Arc<Gateway>,
    agents: Option<Arc<dyn RankAgents>>,
    ask: PermitAsk,
) {
    let reply = match (&agents, ask.agent) {
        (Some(agents), Some(engine)) => agents.permits(engine, ask.request.clone()).await,
        _ => None,
    };
    let label = match &reply {
        Some(grant) if grant.granted > 0 => "granted",
        Some(_) => "denied",
        None => "no_reply",
    };
    metrics::counter!("sardinepin_permit_requests_total", "reply" => label).increment(1);
    log::debug!(
        event = "permits", upstream = &*ask.request.upstream, wanted = ask.request.wanted,
        reply = label, granted = reply.map(|grant| grant.granted),
        turn_ms = reply.map(|grant| grant.turn.0);
        "permits requested for a limited upstream"
    );
    gateway.dispatcher.record_permits(&ask, reply);
}

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
