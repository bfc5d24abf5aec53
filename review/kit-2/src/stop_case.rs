//! A stream that a stopping gateway takes and then cuts.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, StreamAnswer};
use crate::deployment::{Deployment, SIGTERM};
use crate::http::Connection;
use crate::note;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub const SERVICE: &str = "veileder-llm";

/// The time budget of a client, and the timeout of the routes.
pub const DEADLINE_MS: u64 = 8_000;

/// How long the kept channel's first stream has run when the gateway is told to stop.
const BEFORE_STOP: Duration = Duration::from_millis(300);

/// When the second request is sent, after the SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(3_150);

/// The events of the streams, which come each 100 ms.
const FIRST_EVENTS: u64 = 30;
const USUAL_EVENTS: u64 = 10;
const LONG_EVENTS: u64 = 46;

/// Returns a manifest with two streaming routes to one service.
pub fn manifest() -> String {
    let route = |name: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"calls.example","path-prefix":"/{name}/","kind":"streaming","timeout-ms":{DEADLINE_MS},"target-latency-ms":400,"priority":1,"service":"{SERVICE}","max-attempts":2,"public":true,"resumable":true,"gap_aim_ms":120}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-connections":418,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[]}}"#,
        route("summary"),
        route("question")
    )
}

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::choose()?;
    let store = Store::start(deployment.store())?;
    let worker = Worker::start("i-2c90a1f4", deployment.app(11), &record)?;
    store.put("config", "main", &manifest());
    store.put("servers", worker.id, &worker.entry(SERVICE));
    let gateway = deployment.start_gateway(1)?;
    deployment.wait_until_ready(1)?;
    let front = deployment.front(1);
    for number in 0..4 {
        let request = client::request(
            "POST",
            &format!("/question/{USUAL_EVENTS}"),
            &format!("a{number:015x}"),
            DEADLINE_MS,
        );
        let answer = client::stream(front, &request)?;
        note!(record, "a usual question: {}", describe(&answer));
    }
    let mut channel = Connection::open(front)?;
    let first = client::request(
        "POST",
        &format!("/summary/{FIRST_EVENTS}"),
        "b000000000000001",
        DEADLINE_MS,
    );
    note!(
        record,
        "the client sends a summary on a channel that it keeps"
    );
    channel.send(&first)?;
    std::thread::sleep(BEFORE_STOP);
    if trouble {
        note!(record, "SIGTERM to the gateway");
        gateway.signal(SIGTERM);
    }
    let stopped_at = record.now();
    let answer = client::read_stream(&mut channel, |_| {})?;
    note!(record, "the summary: {}", describe(&answer));
    let may_reuse = answer.complete && !answer.head.closes();
    if !may_reuse {
        note!(record, "the channel cannot be used again");
        return Ok(Verdict::NotRun);
    }
    std::thread::sleep(SENT_AFTER.saturating_sub(record.now() - stopped_at));
    let second = client::request(
        "POST",
        &format!("/question/{LONG_EVENTS}"),
        "c000000000000001",
        DEADLINE_MS,
    );
    channel.send(&second)?;
    let sent = (record.now() - stopped_at).as_millis();
    note!(
        record,
        "the client sends a question on the same channel, {sent} ms after the stop signal"
    );
    let answer = client::read_stream(&mut channel, |_| {});
    let after = (record.now() - stopped_at).as_millis();
    let verdict = match &answer {
        Ok(answer) => {
            note!(
                record,
                "the question, {after} ms after the stop signal: {}",
                describe(answer)
            );
            match answer.complete {
                true => Verdict::Held,
                false => Verdict::Broken,
            }
        }
        Err(error) => {
            note!(
                record,
                "the channel ended without an answer, {after} ms after the stop signal: {error}"
            );
            // A request that crosses the close of an idle channel has not been read.
            Verdict::NotRun
        }
    };
    std::thread::sleep(Duration::from_millis(300));
    for line in deployment.log_lines(
        "gateway",
        1,
        &[
            "stopping", "placed", "cut", "given_up", "streamed", "stopped",
        ],
    ) {
        note!(record, "log of the gateway: {line}");
    }
    note!(record, "LOST: {verdict:?}");
    Ok(verdict)
}

pub fn describe(answer: &StreamAnswer) -> String {
    let (status, events) = (answer.head.status(), answer.events.len());
    let end = if answer.complete {
        "complete"
    } else {
        "CUT OFF"
    };
    format!("status {status}, {events} events, {end}")
}
