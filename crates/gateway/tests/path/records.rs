//! Each end of a request has a line of its own, and each reason a counter.

use std::sync::{Arc, Mutex, OnceLock};

use log::kv::{Key, VisitSource};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sardinepin_common::Millis;
use sardinepin_gateway::{End, Failure, GroupMembership, Running, start};
use sardinepin_protocol::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::util::{
    Act, Shelf, Unreachable, Upstream, chunk, exchange, gateway, is_ready, last_chunk, manifest,
    not_run, request, settings, stream_head, wait_for, whole,
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

fn events(last: bool) -> Vec<Act> {
    let mut acts = vec![stream_head(), chunk("id: 1\ndata: a\n\n")];
    acts.push(if last { last_chunk() } else { Act::Close });
    acts
}

/// Brings about an end for the request `id`.
async fn bring_about(end: End, id: &str) {
    let script = match end {
        End::Answered => whole("200 OK", "well"),
        End::Streamed => events(true),
        End::Cut => events(false),
        End::CallerLeft => vec![Act::Hang],
        End::GivenUp => not_run(),
        End::TurnedDown => Vec::new(),
    };
    let upstream = Upstream::start("one", vec![script]).await;
    let (running, _) = gateway(&[&upstream]).await;
    let path = match end {
        End::Answered | End::CallerLeft | End::GivenUp => "/once/a",
        End::Streamed | End::Cut => "/stream/fixed/a",
        End::TurnedDown => "/nowhere/a",
    };
    let request = request(path, id, "");
    if end == End::CallerLeft {
        let mut stream = TcpStream::connect(running.callers()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        wait_for(async || upstream.count() == 1).await;
    } else {
        exchange(running.callers(), &request).await;
    }
    wait_for(async || has_line(end.label(), id)).await;
}

#[tokio::test]
async fn each_end_of_a_request_has_a_line_and_a_counter() {
    records();
    for end in End::ALL {
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
async fn quick_gateway(upstreams: &[&Upstream]) -> Running {
    let mut quick = manifest(1);
    for route in &mut quick.routes {
        route.latency_objective = Millis(1_000);
    }
    let shelf = Shelf::default();
    shelf.set_manifest(quick);
    shelf.set_upstreams(upstreams.iter().map(|one| one.spec.clone()).collect());
    let running = start(settings(), Arc::new(shelf)).await.unwrap();
    wait_for(async || is_ready(&running).await).await;
    running
}

/// Brings about one more attempt after a failure; the second upstream answers well.
async fn bring_about_retry(failure: Failure) {
    let group_broken =
        "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-fault-at: other\r\ncontent-length: 0\r\n\r\n";
    let script = match failure {
        Failure::NotSent => Vec::new(),
        Failure::Rejected => not_run(),
        Failure::GroupBroken => vec![Act::Write(group_broken.to_owned())],
        Failure::Stalled | Failure::Silent => vec![Act::Hang],
        Failure::Broken => vec![Act::Close],
    };
    let mut bad = Upstream::start("bad", vec![script]).await;
    let mut good = Upstream::start("good", vec![events(true)]).await;
    // An upstream of another availability zone comes second.
    good.spec.zone = "zone-b".into();
    if matches!(failure, Failure::GroupBroken | Failure::Stalled) {
        bad.spec.group = group("bad");
        good.spec.group = group("good");
    }
    let port = Unreachable::new();
    if failure == Failure::NotSent {
        bad.spec.address = port.address();
    }
    let running = quick_gateway(&[&bad, &good]).await;
    let path = match failure {
        Failure::Silent => "/safe/a",
        _ => "/stream/a",
    };
    let callers = running.callers();
    let label = format!("reason=\"{}\"", failure.label());
    println!("waiting for {label}");
    wait_for(async || {
        let call = request(path, "again", "");
        tokio::spawn(async move { exchange(callers, &call).await });
        tokio::time::sleep(Millis(300).duration()).await;
        is_counted("sardinepin_retries_total", &label)
    })
    .await;
}

#[tokio::test]
async fn each_reason_for_one_more_attempt_has_a_counter() {
    records();
    for failure in Failure::ALL {
        bring_about_retry(failure).await;
    }
}

#[tokio::test]
async fn each_refusal_is_counted_by_its_reason() {
    records();
    let (running, _) = gateway(&[]).await;
    for (path, more, reason) in [
        ("/once/a", "", ErrorKind::NoUpstream),
        ("/nowhere/a", "", ErrorKind::NoService),
    ] {
        let answer = exchange(running.callers(), &request(path, "r", more)).await;
        assert!(answer.contains(reason.response().label), "{answer}");
        let label = format!("reason=\"{}\"", reason.response().label);
        assert!(is_counted("sardinepin_refusals_total", &label), "{label}");
    }
}
