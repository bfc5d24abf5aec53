//! The drivers of the cases.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, RouteText, describe, request};
use crate::http::{End, Pace, ask, read_answer};
use crate::worker::whole_body;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn verdict(mut deployment: Deployment, broken: usize, of: usize, what: &str) -> ExitCode {
    deployment.close();
    deployment.note(&format!("{broken} of {of}: {what}"));
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// A worker crashes in the middle of an answer without length and starts again under its id while the gateway is frozen.
pub fn restarted_worker(record: &str) -> ExitCode {
    const ROUNDS: usize = 3;
    let mut deployment = Deployment::new(record);
    let route = RouteText {
        prefix: "/puxa403/",
        kind: "unsafe",
        service: "opptak",
        timeout_ms: 8_000,
        objective_ms: 400,
        attempts: 1,
        more: "",
    };
    deployment.put_manifest(7, &[route], &["opptak"]);
    let mut worker = deployment.place_worker("i-7f3a91c2", "opptak", "bergen-a");
    deployment.start_worker(&mut worker);
    let gateway = deployment.start_gateway("front-bergen-a-1");
    let front = gateway.front;
    let size = 4_000;
    let mut broken = 0;
    for round in 0..ROUNDS {
        let attempt = format!("9c41d07be2a35f{round:02}");
        let target = format!("/puxa403/2f?size={size}&pause=600&form=unframed");
        let text = request("POST", &target, &attempt, 8_000, "");
        deployment.note(&format!("client sends POST {target} as {attempt}"));
        let asking = std::thread::spawn(move || ask(front, &text, None, millis(10_000)));
        sleep(millis(300));
        if deployment.trouble {
            gateway.process.freeze();
            deployment.note("gateway frozen");
            sleep(millis(100));
            if let Some(process) = &mut worker.process {
                process.kill();
            }
            deployment.note("worker killed, in the middle of its answer");
            sleep(millis(2_500));
            deployment.start_worker(&mut worker);
            sleep(millis(1_000));
            gateway.process.wake();
            deployment.note("gateway awake");
        }
        let Ok(answer) = asking.join() else {
            deployment.cannot_run("the client failed");
        };
        let is_whole = answer.body == whole_body(&attempt, size);
        let is_broken = answer.is_complete_success() && !is_whole;
        deployment.note(&format!(
            "client got {}; the worker's whole body: {is_whole}",
            describe(&answer)
        ));
        if !deployment.trouble && !(answer.is_complete_success() && is_whole) {
            deployment.cannot_run("without the disruption the answer is not whole either");
        }
        broken += usize::from(is_broken);
        sleep(millis(4_000));
    }
    drop(gateway);
    drop(worker);
    verdict(
        deployment,
        broken,
        ROUNDS,
        "a success that looks complete, with a body that is not the worker's whole body",
    )
}

/// A gateway is killed while it writes answers that have no length to clients that read slowly.
pub fn killed_gateway(record: &str) -> ExitCode {
    const CLIENTS: usize = 8;
    let mut deployment = Deployment::new(record);
    let route = RouteText {
        prefix: "/cufi504/",
        kind: "safe",
        service: "opptak",
        timeout_ms: 8_000,
        objective_ms: 400,
        attempts: 2,
        more: "",
    };
    deployment.put_manifest(7, &[route], &["opptak"]);
    let mut worker = deployment.place_worker("i-7f3a91c2", "opptak", "bergen-a");
    deployment.start_worker(&mut worker);
    let mut gateway = deployment.start_gateway("front-bergen-a-1");
    let front = gateway.front;
    let size = 250_000;
    let pace = Pace {
        piece: 4_096,
        pause: millis(40),
    };
    let mut broken = 0;
    let asking: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let attempt = format!("5b20c07be2a35f{client:02}");
            let target = format!("/cufi504/2f?size={size}&pause=50&form=unframed");
            let text = request("GET", &target, &attempt, 8_000, "");
            deployment.note(&format!("client sends GET {target} as {attempt}"));
            let asking = std::thread::spawn(move || ask(front, &text, Some(pace), millis(9_000)));
            (attempt, asking)
        })
        .collect();
    sleep(millis(150));
    if deployment.trouble {
        gateway.process.kill();
        deployment.note("gateway killed");
    }
    for (attempt, asking) in asking {
        let Ok(answer) = asking.join() else {
            deployment.cannot_run("a client failed");
        };
        let is_whole = answer.body == whole_body(&attempt, size);
        let is_broken = answer.is_complete_success() && !is_whole;
        deployment.note(&format!(
            "{attempt} got {}; the worker's whole body: {is_whole}",
            describe(&answer)
        ));
        if !deployment.trouble && !(answer.is_complete_success() && is_whole) {
            deployment.cannot_run("without the disruption the answer is not whole either");
        }
        broken += usize::from(is_broken);
    }
    drop(gateway);
    drop(worker);
    verdict(
        deployment,
        broken,
        CLIENTS,
        "a success that looks complete, with a body that is not the worker's whole body",
    )
}

/// Sends requests one after the other for some seconds; returns how many were served, and how many were sent.
fn serve_path(
    deployment: &mut Deployment,
    front: SocketAddr,
    path: &str,
    name: &str,
    count: usize,
) -> (usize, usize) {
    let mut served = 0;
    for number in 0..count {
        let attempt = format!("{name}{number:04}");
        let target = &format!("{path}2f?size=800&pause=20");
        let answer = ask(
            front,
            &request("GET", target, &attempt, 4_000, ""),
            None,
            millis(4_500),
        );
        let is_whole = answer.body == whole_body(&attempt, 800);
        deployment.note(&format!("{attempt} GET {target}: {}", describe(&answer)));
        served += usize::from(answer.is_complete_success() && is_whole);
        sleep(millis(100));
    }
    (served, count)
}

/// An entry of another writer holds bytes that cannot be read when all processes are killed and start again.
pub fn unreadable_entry(record: &str) -> ExitCode {
    const RECOVER: u64 = 12_000;
    let mut deployment = Deployment::new(record);
    let route = RouteText {
        prefix: "/cufi504/",
        kind: "safe",
        service: "opptak",
        timeout_ms: 2_000,
        objective_ms: 300,
        attempts: 2,
        more: "",
    };
    deployment.put_manifest(7, &[route], &["opptak"]);
    let mut workers = [
        deployment.place_worker("i-7f3a91c2", "opptak", "bergen-a"),
        deployment.place_worker("i-b2c07d11", "opptak", "bergen-a"),
    ];
    for worker in &mut workers {
        deployment.start_worker(worker);
    }
    let mut gateway = deployment.start_gateway("front-bergen-a-1");
    let before = serve_path(&mut deployment, gateway.front, "/cufi504/", "before", 20);
    if deployment.trouble {
        let bytes = match std::env::var("BYTES").as_deref() {
            Ok("high") => [0x9f, 0x92, 0x96, 0xff],
            _ => [0x9f, 0x02, 0x96, 0x1e],
        };
        let entry = [
            br#"{"service":"opptak","address":"127.0.0.1:9","zone":"bergen-a","version":""#
                .as_slice(),
            &bytes,
            br#"","slots":6,"state":"ready","cold-remaining-ms":0,"seq":1}"#,
        ];
        deployment
            .store
            .put("servers", "x-foreign-1", &entry.concat());
        deployment.note(&format!(
            "another writer's entry with the bytes {bytes:02x?} in its field version"
        ));
        sleep(millis(1_000));
    }
    let during = serve_path(&mut deployment, gateway.front, "/cufi504/", "during", 10);
    gateway.process.kill();
    deployment.note("final fault: the gateway killed");
    sleep(millis(1_000));
    deployment.restart_gateway(&mut gateway);
    sleep(millis(RECOVER));
    let is_ready = gateway.is_ready();
    deployment.note(&format!("{RECOVER} ms after it is back: ready {is_ready}"));
    let after = serve_path(&mut deployment, gateway.front, "/cufi504/", "after", 40);
    drop(gateway);
    drop(workers);
    deployment.note(&format!(
        "served before {before:?}, with the entry {during:?}, from recover-s on {after:?}"
    ));
    let is_broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    if before.0 < before.1 {
        deployment.cannot_run("not all requests were served before");
    }
    verdict(
        deployment,
        usize::from(is_broken),
        1,
        "less than a quarter of the requests is served after recover-s",
    )
}

/// The metrics of a gateway are not fetched, as no incident is being examined. The platform kills a process that exceeds its memory.
pub fn unread_metrics(record: &str) -> ExitCode {
    const CLIENTS: usize = 24;
    const MEMORY_MB: u32 = 112;
    const SECONDS: u64 = 111;
    /// The streams after which a gateway exceeds its memory, with some to spare.
    const ENOUGH: u64 = 1_350_000;
    let mut deployment = Deployment::new(record);
    deployment.memory_mb = MEMORY_MB;
    deployment.keeps_log = false;
    let route = RouteText {
        prefix: "/lohu930/",
        kind: "streaming",
        service: "veileder",
        timeout_ms: 8_000,
        objective_ms: 400,
        attempts: 2,
        more: ",\"resumable\":true",
    };
    deployment.put_manifest(7, &[route], &["veileder"]);
    let mut workers = [
        deployment.place_worker("i-7f3a91c2", "veileder", "bergen-a"),
        deployment.place_worker("i-b2c07d11", "veileder", "bergen-a"),
    ];
    for worker in &mut workers {
        deployment.start_worker(worker);
    }
    let mut gateway = deployment.start_gateway("front-bergen-a-1");
    let front = gateway.front;
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            std::thread::spawn(move || send_streams(front, client, &stop, &served))
        })
        .collect();
    let mut exceeded = false;
    for second in 0..SECONDS {
        sleep(millis(1_000));
        if !deployment.trouble && second % 5 == 0 && !read_metrics() {
            deployment.cannot_run("the metrics cannot be fetched");
        }
        let memory = gateway.memory_kb();
        let count = served.load(Ordering::Relaxed);
        exceeded = memory > u64::from(MEMORY_MB) * 1024;
        if second % 5 == 4 || exceeded {
            deployment.note(&format!(
                "{count} streams served, the gateway takes {memory} kB of {MEMORY_MB} MB"
            ));
        }
        if exceeded {
            gateway.process.kill();
            deployment.note("the platform kills the gateway: it exceeds its memory");
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let count = served.load(Ordering::Relaxed);
    if deployment.trouble && !exceeded && count < ENOUGH {
        deployment.cannot_run(&format!(
            "only {count} streams in the time; {ENOUGH} are needed"
        ));
    }
    drop(gateway);
    drop(workers);
    verdict(
        deployment,
        usize::from(exceeded),
        1,
        "a gateway's process ends, as it exceeds its memory, with no disturbance",
    )
}

/// Fetches the metrics as the deploy file names them; returns whether they came.
fn read_metrics() -> bool {
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let address = SocketAddr::from(([127, 0, 0, 1], 9464));
    ask(address, request, None, millis(2_000)).status == 200
}

/// Sends streams over a kept channel, one after the other.
fn send_streams(
    front: SocketAddr,
    client: usize,
    stop: &AtomicBool,
    served: &AtomicU64,
) -> Option<()> {
    let mut stream = crate::http::open(front).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let attempt = format!("{client:04x}{number:012x}");
        let text = request("POST", "/lohu930/one", &attempt, 8_000, "");
        stream.write_all(text.as_bytes()).ok()?;
        let answer = read_answer(&mut reader, None, Instant::now() + millis(8_000));
        match answer.end {
            End::Framed if answer.is_complete_success() => {
                served.fetch_add(1, Ordering::Relaxed);
            }
            End::Framed => {}
            _ => return None,
        }
    }
    Some(())
}

/// The zone of a service's workers is cut off for some seconds. Later the store comes back from a copy.
pub fn restored_store(record: &str) -> ExitCode {
    let mut deployment = Deployment::new(record);
    let route = |prefix, service| RouteText {
        prefix,
        kind: "safe",
        service,
        timeout_ms: 2_000,
        objective_ms: 300,
        attempts: 2,
        more: "",
    };
    let services = ["opptak", "veileder"];
    deployment.put_manifest(7, &[route("/puxa403/", "veileder")], &services);
    let ids = [
        ("i-7f3a91c2", "opptak", "forde"),
        ("i-b2c07d11", "opptak", "forde"),
        ("i-91d3f06b", "veileder", "bergen-a"),
        ("i-e4402b7d", "veileder", "bergen-a"),
    ];
    let mut workers: Vec<_> = ids
        .map(|(id, service, zone)| deployment.place_worker(id, service, zone))
        .into();
    for worker in &mut workers {
        deployment.start_worker(worker);
    }
    let gateway = deployment.start_gateway("front-bergen-a-1");
    let front = gateway.front;
    deployment.put_manifest(
        8,
        &[route("/puxa403/", "veileder"), route("/cufi504/", "opptak")],
        &services,
    );
    deployment.note("manifest 8 adds the route /cufi504/");
    sleep(millis(2_500));
    let before = serve_path(&mut deployment, front, "/cufi504/", "before", 20);
    if deployment.trouble {
        deployment.note("zone forde is cut off; its workers do not reach the store");
        sleep(millis(3_600));
        for worker in &workers[..2] {
            deployment.store.remove("servers", &worker.id);
        }
        deployment.note("their entries are removed after three status report intervals");
        sleep(millis(1_900));
        for worker in &workers[..2] {
            deployment.report(worker);
        }
        deployment.note("zone forde is back; its workers report");
    }
    sleep(millis(5_000));
    let between = serve_path(&mut deployment, front, "/cufi504/", "between", 20);
    if deployment.trouble {
        let copy = deployment.store.copy();
        sleep(millis(2_000));
        deployment.store.leave();
        deployment.note("drill: the store is away");
        sleep(millis(1_000));
        deployment.store.come_back(copy);
        deployment.note("the store is back from a copy that is 3 s old, with the next era");
    }
    // All write again what they wrote, every `heartbeat-ms`.
    for _ in 0..15 {
        for worker in &workers {
            deployment.report(worker);
        }
        sleep(millis(1_200));
    }
    let (mut added, mut first) = ((0, 0), (0, 0));
    for round in 0..4 {
        let one = serve_path(
            &mut deployment,
            front,
            "/cufi504/",
            &format!("added{round}"),
            10,
        );
        let two = serve_path(
            &mut deployment,
            front,
            "/puxa403/",
            &format!("first{round}"),
            10,
        );
        added = (added.0 + one.0, added.1 + one.1);
        first = (first.0 + two.0, first.1 + two.1);
        for worker in &workers {
            deployment.report(worker);
        }
    }
    drop(gateway);
    drop(workers);
    deployment.note(&format!(
        "served on the route that was added later: before {before:?}, between {between:?}, from 18 s after the store is back on {added:?}; on the first route {first:?}"
    ));
    if before.0 < before.1 || between.0 < between.1 {
        deployment.cannot_run("not all requests were served before");
    }
    let is_broken = added.0 * first.1 * 4 < first.0 * added.1;
    verdict(
        deployment,
        usize::from(is_broken),
        1,
        "the route that was added later is served less than a quarter as often as the first",
    )
}

/// A group of ranks stalls for a moment in the middle of its streams, while the other group loses a third of its answers.
pub fn stalled_group(record: &str) -> ExitCode {
    const ROUNDS: usize = 4;
    const STREAMS: usize = 16;
    let mut deployment = Deployment::new(record);
    let route = RouteText {
        prefix: "/lohu930/",
        kind: "streaming",
        service: "veileder",
        timeout_ms: 8_000,
        objective_ms: 400,
        attempts: 2,
        more: ",\"resumable\":true,\"gap_aim_ms\":120",
    };
    deployment.put_manifest(7, &[route], &["veileder"]);
    let ids = [
        ("i-7f3a91c2", "g1", 0),
        ("i-b2c07d11", "g1", 1),
        ("i-91d3f06b", "g2", 0),
        ("i-e4402b7d", "g2", 1),
    ];
    let mut workers = Vec::new();
    for (id, group, rank) in ids {
        let mut place = deployment.place_worker(id, "veileder", "bergen-a");
        place.group = Some((group, rank));
        place.stalls = group == "g1";
        deployment.start_worker(&mut place);
        workers.push(place);
    }
    let gateway = deployment.start_gateway("front-bergen-a-1");
    let front = gateway.front;
    let stall = if deployment.trouble { 1_200 } else { 0 };
    let (mut whole, mut cut) = (0, 0);
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..STREAMS)
            .map(|stream| {
                let attempt = format!("3e71c07be2a3{round:02}{stream:02}");
                std::thread::spawn(move || {
                    let answer = kept_stream(front, &attempt, stall);
                    (attempt, answer)
                })
            })
            .collect();
        for client in clients {
            let Ok((attempt, Some(answer))) = client.join() else {
                deployment.cannot_run("a client failed");
            };
            let events = String::from_utf8_lossy(&answer.body)
                .matches("id: ")
                .count();
            deployment.note(&format!(
                "{attempt}: {events} events of 26, {}",
                describe(&answer)
            ));
            match (answer.is_complete_success() && events == 26, answer.end) {
                (true, _) => whole += 1,
                (false, End::Broken) => cut += 1,
                (false, _) => {}
            }
        }
        sleep(millis(1_000));
    }
    drop(gateway);
    drop(workers);
    deployment.note(&format!("{whole} streams whole, {cut} cut"));
    if !deployment.trouble && whole < ROUNDS * STREAMS {
        deployment.cannot_run("not all streams were whole without the disruption");
    }
    let is_broken = usize::from(cut > 3);
    verdict(
        deployment,
        is_broken,
        1,
        "more than three kept channels are closed before the end of an answer that a sound worker goes on to write",
    )
}

/// Sends a stream over a channel that has served one before, and returns its answer.
fn kept_stream(front: SocketAddr, attempt: &str, stall: u64) -> Option<crate::http::Answer> {
    let mut stream = crate::http::open(front).ok()?;
    stream.set_read_timeout(Some(millis(9_000))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let first = request("POST", "/lohu930/one", &format!("{attempt}f"), 8_000, "");
    stream.write_all(first.as_bytes()).ok()?;
    let by = Instant::now() + millis(9_000);
    read_answer(&mut reader, None, by)
        .is_complete_success()
        .then_some(())?;
    let target = format!("/lohu930/stream?events=26&step=60&stall={stall}");
    let second = request(
        "POST",
        &target,
        attempt,
        8_000,
        "X-Token-Count: 714,160\r\n",
    );
    stream.write_all(second.as_bytes()).ok()?;
    Some(read_answer(&mut reader, None, by))
}
