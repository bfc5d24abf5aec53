//! Tests that each request outcome is logged and counted, and that each refusal and retry reason is
//! counted.

use std::sync::{Arc, Mutex, OnceLock};

use log::kv::{Key, VisitSource};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sardinepin_common::Millis;
use sardinepin_gateway::{
    AttemptFailure, BudgetSettings, GroupMembership, RequestOutcome, RunningGateway, start,
};
use sardinepin_protocol::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::util::{
    EVACUATION_BOUND, FakeStore, ScriptedUpstream, Step, UnusedPort, chunk, is_ready, last_chunk,
    manifest, not_run_response, request, send_raw, settings, signed_response,
    start_evacuable_gateway, start_gateway, stream_head, wait_for,
};

/// The `event` and `request` fields of each log line.
static LOG_LINES: Mutex<Vec<(String, String)>> = Mutex::new(Vec::new());

struct LogCollector;

#[derive(Default)]
struct LogFields {
    event: String,
    request: String,
}

impl<'kvs> VisitSource<'kvs> for LogFields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        match key.as_str() {
            "event" => self.event = value.to_string(),
            "request" => self.request = value.to_string(),
            _ => {}
        }
        Ok(())
    }
}

impl log::Log for LogCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = LogFields::default();
        record.key_values().visit(&mut fields).unwrap();
        LOG_LINES
            .lock()
            .unwrap()
            .push((fields.event, fields.request));
    }

    fn flush(&self) {}
}

/// Returns the metrics of this process; the first call also installs the log collector.
fn metrics_handle() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        log::set_logger(&LogCollector).unwrap();
        log::set_max_level(log::LevelFilter::Info);
        PrometheusBuilder::new().install_recorder().unwrap()
    })
}

fn is_logged(event: &str, id: &str) -> bool {
    let lines = LOG_LINES.lock().unwrap();
    lines.iter().any(|line| line.0 == event && line.1 == id)
}

fn is_counted(metric: &str, label: &str) -> bool {
    let text = metrics_handle().render();
    text.lines()
        .any(|line| line.starts_with(metric) && line.contains(label))
}

fn event_script(complete: bool) -> Vec<Step> {
    let mut steps = vec![stream_head(), chunk("id: 1\ndata: a\n\n")];
    steps.push(if complete { last_chunk() } else { Step::Close });
    steps
}

/// Sends a request that ends with `outcome`.
async fn produce_outcome(outcome: RequestOutcome, id: &str) {
    let script = match outcome {
        RequestOutcome::Answered => signed_response("200 OK", "well"),
        RequestOutcome::Streamed => event_script(true),
        RequestOutcome::Cut => event_script(false),
        RequestOutcome::CallerLeft => vec![Step::Hang],
        RequestOutcome::GivenUp => not_run_response(),
        RequestOutcome::TurnedDown => Vec::new(),
    };
    let upstream = ScriptedUpstream::start("one", vec![script]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let path = match outcome {
        RequestOutcome::Answered | RequestOutcome::CallerLeft | RequestOutcome::GivenUp => {
            "/once/a"
        }
        RequestOutcome::Streamed | RequestOutcome::Cut => "/stream/fixed/a",
        RequestOutcome::TurnedDown => "/nowhere/a",
    };
    let request = request(path, id, "");
    if outcome == RequestOutcome::CallerLeft {
        let mut stream = TcpStream::connect(running.caller_address()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        wait_for(async || upstream.count() == 1).await;
    } else {
        send_raw(running.caller_address(), &request).await;
    }
    wait_for(async || is_logged(outcome.label(), id)).await;
}

#[tokio::test]
async fn each_request_outcome_is_logged_and_counted() {
    metrics_handle();
    for outcome in RequestOutcome::ALL {
        let id = format!("end-{}", outcome.label());
        produce_outcome(outcome, &id).await;
        let label = format!("end=\"{}\"", outcome.label());
        assert!(
            is_counted("sardinepin_requests_ended_total", &label),
            "{label}"
        );
    }
    for metric in [
        "sardinepin_wait_milliseconds",
        "sardinepin_first_event_milliseconds",
        "sardinepin_event_pause_milliseconds",
        "sardinepin_request_milliseconds",
    ] {
        assert!(is_counted(metric, "service=\"app\""), "{metric}");
    }
}

fn membership(name: &str) -> Option<GroupMembership> {
    Some(GroupMembership {
        name: name.into(),
        rank: 0,
        broken: false,
    })
}

/// Starts a gateway that abandons a silent upstream after two seconds, twice the latency objective.
async fn short_timeout_gateway(upstreams: &[&ScriptedUpstream]) -> RunningGateway {
    let mut short_timeout = manifest(1);
    for route in &mut short_timeout.routes {
        route.latency_objective = Millis(1_000);
    }
    let store = FakeStore::default();
    store.set_manifest(short_timeout);
    store.set_upstreams(upstreams.iter().map(|one| one.spec.clone()).collect());
    let running = start(settings(), Arc::new(store)).await.unwrap();
    wait_for(async || is_ready(&running).await).await;
    running
}

/// Evacuates the zone of an upstream while a request for it is held.
async fn produce_evacuated_retry() {
    let held = ScriptedUpstream::start("held", vec![event_script(true)]).await;
    let mut good = ScriptedUpstream::start("good", vec![event_script(true)]).await;
    good.spec.zone = "zone-b".into();
    let (running, store) = start_evacuable_gateway(&[&held, &good]).await;
    store.stop_evacuations(true);
    tokio::time::sleep(EVACUATION_BOUND.duration()).await;
    let callers = running.caller_address();
    let call = request("/stream/a", "evacuated-retry", "");
    let response = tokio::spawn(async move { send_raw(callers, &call).await });
    wait_for(async || is_logged("placed", "evacuated-retry")).await;
    store.set_evacuated("zone-a", true);
    store.stop_evacuations(false);
    response.await.unwrap();
    assert!(is_counted(
        "sardinepin_retries_total",
        "reason=\"evacuated\""
    ));
    assert_eq!((held.count(), good.count()), (0, 1));
}

/// Removes an upstream from the list while a request for it is held.
async fn produce_withdrawn_retry() {
    let left = ScriptedUpstream::start("left", vec![event_script(true)]).await;
    let good = ScriptedUpstream::start("good", vec![event_script(true)]).await;
    let (running, store) = start_evacuable_gateway(&[&left]).await;
    store.stop_evacuations(true);
    tokio::time::sleep(EVACUATION_BOUND.duration()).await;
    let callers = running.caller_address();
    let call = request("/stream/a", "withdrawn-retry", "");
    let response = tokio::spawn(async move { send_raw(callers, &call).await });
    wait_for(async || is_logged("placed", "withdrawn-retry")).await;
    store.set_upstreams(vec![good.spec.clone()]);
    let reads = store.upstream_reads();
    wait_for(async || store.upstream_reads() > reads).await;
    tokio::time::sleep(Millis(100).duration()).await;
    store.stop_evacuations(false);
    response.await.unwrap();
    assert!(is_counted(
        "sardinepin_retries_total",
        "reason=\"withdrawn\""
    ));
    assert!(is_logged("withdrawn", "withdrawn-retry"));
    assert_eq!((left.count(), good.count()), (0, 1));
}

/// Sends requests until one is retried after `failure`; the second upstream responds well.
async fn produce_retry(failure: AttemptFailure) {
    let group_broken =
        "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-fault-at: other\r\ncontent-length: 0\r\n\r\n";
    let script = match failure {
        AttemptFailure::NotSent => Vec::new(),
        AttemptFailure::Rejected => not_run_response(),
        AttemptFailure::GroupBroken => vec![Step::Write(group_broken.to_owned())],
        AttemptFailure::Stalled | AttemptFailure::TimedOut => vec![Step::Hang],
        AttemptFailure::BrokenResponse => vec![Step::Close],
        AttemptFailure::Discontinuous => vec![stream_head(), chunk("no event\n\n")],
        AttemptFailure::Crashed => vec![Step::Crash],
        AttemptFailure::Evacuated => return produce_evacuated_retry().await,
        AttemptFailure::Withdrawn => return produce_withdrawn_retry().await,
        AttemptFailure::Expired | AttemptFailure::Quarantined | AttemptFailure::Stopped => {
            unreachable!("never retried")
        }
    };
    let mut bad = ScriptedUpstream::start("bad", vec![script]).await;
    let mut good = ScriptedUpstream::start("good", vec![event_script(true)]).await;
    // An upstream in another availability zone is tried second.
    good.spec.zone = "zone-b".into();
    if matches!(
        failure,
        AttemptFailure::GroupBroken | AttemptFailure::Stalled
    ) {
        bad.spec.group = membership("bad");
        good.spec.group = membership("good");
    }
    let port = UnusedPort::new();
    if failure == AttemptFailure::NotSent {
        bad.spec.address = port.address();
    }
    let running = short_timeout_gateway(&[&bad, &good]).await;
    let path = match failure {
        AttemptFailure::TimedOut => "/safe/a",
        _ => "/stream/a",
    };
    let callers = running.caller_address();
    let label = format!("reason=\"{}\"", failure.label());
    println!("waiting for {label}");
    wait_for(async || {
        let call = request(path, "again", "");
        tokio::spawn(async move { send_raw(callers, &call).await });
        tokio::time::sleep(Millis(300).duration()).await;
        is_counted("sardinepin_retries_total", &label)
    })
    .await;
}

#[tokio::test]
async fn each_retry_reason_is_counted() {
    metrics_handle();
    for failure in AttemptFailure::RETRIED {
        produce_retry(failure).await;
    }
}

#[tokio::test]
async fn a_retry_beyond_the_budget_is_logged_and_counted() {
    metrics_handle();
    let upstream = ScriptedUpstream::start("bad", vec![vec![Step::Close]]).await;
    let other = ScriptedUpstream::start("other", vec![vec![Step::Close]]).await;
    let mut settings = settings();
    settings.balancer.retry_budget = BudgetSettings {
        ratio: 0.0,
        saved_ratio: 0.0,
        shared_slack: 0.0,
        ..BudgetSettings::default()
    };
    let store = FakeStore::default();
    store.set_manifest(manifest(1));
    store.set_upstreams(vec![upstream.spec.clone(), other.spec.clone()]);
    let running = start(settings, Arc::new(store)).await.unwrap();
    wait_for(async || is_ready(&running).await).await;
    send_raw(
        running.caller_address(),
        &request("/safe/a", "no-budget", ""),
    )
    .await;
    assert!(is_logged("retry_refused", "no-budget"));
    assert!(is_counted(
        "sardinepin_retries_refused_total",
        "service=\"app\""
    ));
    assert_eq!(upstream.count() + other.count(), 1);
}

#[tokio::test]
async fn each_refusal_is_counted_by_its_reason() {
    metrics_handle();
    let (running, _) = start_gateway(&[]).await;
    for (path, extra_headers, reason) in [
        ("/once/a", "", ErrorKind::NoUpstream),
        ("/nowhere/a", "", ErrorKind::NoService),
    ] {
        let response = send_raw(running.caller_address(), &request(path, "r", extra_headers)).await;
        assert!(response.contains(reason.response().label), "{response}");
        let label = format!("reason=\"{}\"", reason.response().label);
        assert!(is_counted("sardinepin_refusals_total", &label), "{label}");
    }
}

/// At a start all gateways wait for the first configuration: each asks once, and is told.
#[tokio::test]
async fn a_gateway_watches_for_its_first_configuration_instead_of_reading_it_again() {
    let store = FakeStore::default();
    let running = start(settings(), Arc::new(store.clone())).await.unwrap();
    wait_for(async || store.manifest_watches() > 2).await;
    assert_eq!(store.manifest_reads(), 1);
    store.set_manifest(manifest(1));
    store.set_upstreams(Vec::new());
    wait_for(async || is_ready(&running).await).await;
}
