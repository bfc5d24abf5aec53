//! Each end of a request has a line of its own, and each reason a counter.

use std::sync::{Arc, Mutex, OnceLock};

use log::kv::{Key, VisitSource};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sardinepin_common::Millis;
use sardinepin_gateway::{AttemptFailure, GroupMembership, RequestOutcome, RunningGateway, start};
use sardinepin_protocol::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::util::{
    FakeStore, ScriptedUpstream, Step, UnusedPort, chunk, is_ready, last_chunk, manifest,
    not_run_answer, request, send_raw, settings, signed_answer, start_gateway, stream_head,
    wait_for,
};

/// The event and the request of each line.
static LINES: Mutex<Vec<(String, String)>> = Mutex::new(Vec::new());

struct Lines;

#[derive(Default)]
struct Fields {
    event: String,
    request: String,
}

impl<'kvs> VisitSource<'kvs> for Fields {
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

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = Fields::default();
        record.key_values().visit(&mut fields).unwrap();
        LINES.lock().unwrap().push((fields.event, fields.request));
    }

    fn flush(&self) {}
}

/// Returns the metrics of this process, whose lines are collected from the first call on.
fn records() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        log::set_logger(&Lines).unwrap();
        log::set_max_level(log::LevelFilter::Info);
        PrometheusBuilder::new().install_recorder().unwrap()
    })
}

fn has_line(event: &str, id: &str) -> bool {
    let lines = LINES.lock().unwrap();
    lines.iter().any(|line| line.0 == event && line.1 == id)
}

fn is_counted(metric: &str, label: &str) -> bool {
    let text = records().render();
    text.lines()
        .any(|line| line.starts_with(metric) && line.contains(label))
}

fn events(last: bool) -> Vec<Step> {
    let mut steps = vec![stream_head(), chunk("id: 1\ndata: a\n\n")];
    steps.push(if last { last_chunk() } else { Step::Close });
    steps
}

/// Brings about an end for the request `id`.
async fn bring_about(end: RequestOutcome, id: &str) {
    let script = match end {
        RequestOutcome::Answered => signed_answer("200 OK", "well"),
        RequestOutcome::Streamed => events(true),
        RequestOutcome::Cut => events(false),
        RequestOutcome::CallerLeft => vec![Step::Hang],
        RequestOutcome::GivenUp => not_run_answer(),
        RequestOutcome::TurnedDown => Vec::new(),
    };
    let upstream = ScriptedUpstream::start("one", vec![script]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let path = match end {
        RequestOutcome::Answered | RequestOutcome::CallerLeft | RequestOutcome::GivenUp => {
            "/once/a"
        }
        RequestOutcome::Streamed | RequestOutcome::Cut => "/stream/fixed/a",
        RequestOutcome::TurnedDown => "/nowhere/a",
    };
    let request = request(path, id, "");
    if end == RequestOutcome::CallerLeft {
        let mut stream = TcpStream::connect(running.caller_address()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        wait_for(async || upstream.count() == 1).await;
    } else {
        send_raw(running.caller_address(), &request).await;
    }
    wait_for(async || has_line(end.label(), id)).await;
}

#[tokio::test]
async fn each_end_of_a_request_has_a_line_and_a_counter() {
    records();
    for end in RequestOutcome::ALL {
        let id = format!("end-{}", end.label());
        bring_about(end, &id).await;
        let label = format!("end=\"{}\"", end.label());
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

fn group(name: &str) -> Option<GroupMembership> {
    Some(GroupMembership {
        name: name.into(),
        rank: 0,
        broken: false,
    })
}

/// Starts a gateway that leaves a silent upstream after two seconds.
async fn quick_gateway(upstreams: &[&ScriptedUpstream]) -> RunningGateway {
    let mut quick = manifest(1);
    for route in &mut quick.routes {
        route.latency_objective = Millis(1_000);
    }
    let store = FakeStore::default();
    store.set_manifest(quick);
    store.set_upstreams(upstreams.iter().map(|one| one.spec.clone()).collect());
    let running = start(settings(), Arc::new(store)).await.unwrap();
    wait_for(async || is_ready(&running).await).await;
    running
}

/// Brings about one more attempt after a failure; the second upstream answers well.
async fn bring_about_retry(failure: AttemptFailure) {
    let group_broken =
        "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-fault-at: other\r\ncontent-length: 0\r\n\r\n";
    let script = match failure {
        AttemptFailure::NotSent => Vec::new(),
        AttemptFailure::Rejected => not_run_answer(),
        AttemptFailure::GroupBroken => vec![Step::Write(group_broken.to_owned())],
        AttemptFailure::Stalled | AttemptFailure::TimedOut => vec![Step::Hang],
        AttemptFailure::BrokenResponse => vec![Step::Close],
    };
    let mut bad = ScriptedUpstream::start("bad", vec![script]).await;
    let mut good = ScriptedUpstream::start("good", vec![events(true)]).await;
    // An upstream of another availability zone comes second.
    good.spec.zone = "zone-b".into();
    if matches!(
        failure,
        AttemptFailure::GroupBroken | AttemptFailure::Stalled
    ) {
        bad.spec.group = group("bad");
        good.spec.group = group("good");
    }
    let port = UnusedPort::new();
    if failure == AttemptFailure::NotSent {
        bad.spec.address = port.address();
    }
    let running = quick_gateway(&[&bad, &good]).await;
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
async fn each_reason_for_one_more_attempt_has_a_counter() {
    records();
    for failure in AttemptFailure::ALL {
        bring_about_retry(failure).await;
    }
}

#[tokio::test]
async fn each_refusal_is_counted_by_its_reason() {
    records();
    let (running, _) = start_gateway(&[]).await;
    for (path, more, reason) in [
        ("/once/a", "", ErrorKind::NoUpstream),
        ("/nowhere/a", "", ErrorKind::NoService),
    ] {
        let answer = send_raw(running.caller_address(), &request(path, "r", more)).await;
        assert!(answer.contains(reason.answer().label), "{answer}");
        let label = format!("reason=\"{}\"", reason.answer().label);
        assert!(is_counted("sardinepin_refusals_total", &label), "{label}");
    }
}
