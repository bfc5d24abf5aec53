//! Another writer's incomplete entry in place of a worker's own.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::deployment::Deployment;
use crate::http;
use crate::note;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// The two services; the route of each has its name.
const CLAIMS: &str = "opptak-app";
const LOOKUPS: &str = "status-app";

/// How often a worker writes its entry (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// When the other writer writes, after a heartbeat.
const WRITTEN_AFTER: Duration = Duration::from_millis(100);

/// How many requests are sent, one each so often.
const REQUESTS: u64 = 250;
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

const DEADLINE_MS: u64 = 4_000;

/// Returns a manifest with a route to each service.
fn manifest() -> String {
    let route = |service: &str| {
        format!(
            r#"{{"name":"r-{service}","host":"calls.example","path-prefix":"/{service}/","kind":"unsafe","timeout-ms":2000,"target-latency-ms":300,"priority":2,"service":"{service}","max-attempts":1,"public":true}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[]}}"#,
        route(CLAIMS),
        route(LOOKUPS),
        service(CLAIMS),
        service(LOOKUPS)
    )
}

/// Returns what the other writer writes in place of a worker's entry: another service, and no `version`, `cold-remaining-ms` or
/// `seq`.
fn incomplete_entry(worker: &Worker) -> String {
    let address = worker.address;
    format!(
        r#"{{"service":"{CLAIMS}","address":"{address}","zone":"bergen-a","slots":6,"state":"ready"}}"#
    )
}

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::choose()?;
    let store = Store::start(deployment.store())?;
    let claims = Worker::start("i-2c90a1f4", deployment.app(11), &record)?;
    let lookups = Worker::start("i-6e0b77d3", deployment.app(12), &record)?;
    store.put("config", "main", &manifest());
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| write_heartbeats(&store, &[(&claims, CLAIMS), (&lookups, LOOKUPS)], &ended));
        let found = (|| {
            let gateway = deployment.start_gateway(1)?;
            deployment.wait_until_ready(1)?;
            std::thread::sleep(HEARTBEAT);
            if trouble {
                scope.spawn(|| write_incomplete(&store, &lookups, &record));
            }
            send_claims(&deployment, &record);
            for line in deployment.log_lines("gateway", 1, &["upstream"]) {
                note!(record, "log of the gateway: {line}");
            }
            drop(gateway);
            Ok(())
        })();
        ended.store(true, Ordering::Relaxed);
        found
    })
    .and_then(|()| judge(&record, &claims, &lookups))
}

/// Writes the entries of workers at intervals, as they do it themselves.
fn write_heartbeats(store: &Store, workers: &[(&Arc<Worker>, &str)], ended: &AtomicBool) {
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        for (worker, service) in workers {
            store.put("servers", worker.id, &worker.entry_of(service, number));
        }
        number += 1;
        std::thread::sleep(HEARTBEAT);
    }
}

/// Writes the incomplete entry once, soon after a heartbeat of the worker.
fn write_incomplete(store: &Store, worker: &Worker, record: &Record) {
    store.wait_for_change("servers");
    std::thread::sleep(WRITTEN_AFTER);
    let entry = incomplete_entry(worker);
    note!(
        record,
        "another writer writes servers/{}: {entry}",
        worker.id
    );
    store.put("servers", worker.id, &entry);
}

/// Sends requests at a steady rate, each on a channel of its own.
fn send_claims(deployment: &Deployment, record: &Record) {
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            scope.spawn(move || {
                let id = format!("c{number:015x}");
                let path = format!("/{CLAIMS}/1");
                let request = client::request("POST", &path, &id, DEADLINE_MS);
                match http::call(deployment.front(1), &request) {
                    Ok(answer) => {
                        let signature = answer.header("x-response-signature").unwrap_or("none");
                        let status = answer.status();
                        note!(
                            record,
                            "the client's {id} gets {status} with signature {signature}"
                        );
                    }
                    Err(error) => note!(record, "the client's {id} gets no answer: {error}"),
                }
            });
            std::thread::sleep(REQUEST_PAUSE);
        }
    });
}

fn judge(record: &Record, claims: &Worker, lookups: &Worker) -> io::Result<Verdict> {
    let (right, wrong) = (
        claims.runs.load(Ordering::Relaxed),
        lookups.runs.load(Ordering::Relaxed),
    );
    note!(
        record,
        "claims that ran: {right} at the worker of {CLAIMS}, {wrong} at the worker of {LOOKUPS}, which no manifest allows"
    );
    let verdict = match (right, wrong) {
        (0, 0) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    };
    note!(record, "ROUTE: {verdict:?}");
    Ok(verdict)
}
