//! A worker leaves: its entry is removed, and it goes on serving for some seconds. Then the store comes back from an older copy,
//! in which the entry still stands until it lapses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{
    BOOKING, DRAIN_MS, Deployment, Entry, HEARTBEAT, ZONES, manifest, request,
};
use crate::http::{Server, call};
use crate::record::Record;
use crate::store::Store;
use crate::workers::{Arrival, SoundWorker};

/// The worker that leaves; it is the one in the zone of the gateway.
const LEAVING: &str = "i-1";

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    let leaving_arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let id = format!("i-{}", number + 1);
        let arrivals = match id == LEAVING {
            true => Arc::clone(&leaving_arrivals),
            false => Arc::default(),
        };
        let worker = SoundWorker {
            id: id.clone(),
            record: record.clone(),
            arrivals,
        };
        let server = Server::start(any, Arc::new(worker))?;
        let entry = Entry {
            service: BOOKING,
            address: server.address,
            zone,
            state: "ready",
            born: 1_000,
        };
        entries.push((id, entry));
        servers.push(server);
    }
    let enter = |store: &Store| {
        for (id, entry) in &entries {
            store.put("servers", id, &entry.spec());
        }
    };
    let deployment = Deployment::start(record, &ZONES[..1], enter)?;
    let store = &deployment.store;
    let is_over = Arc::new(AtomicBool::new(false));
    let front = deployment.gateways[0].front;

    // A client that sends a request each 100 ms.
    let client = thread::spawn({
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        move || {
            let number = AtomicU64::new(0);
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("c{:05}", number.fetch_add(1, Ordering::Relaxed));
                record.line(&format!("client sends {id}"));
                let sent = request("POST", "/book/1", &id, 4_000, "Content-Length: 0\r\n");
                let answer = call(front, &sent, Duration::from_secs(5));
                let status = answer.map_or(0, |answer| answer.message.status());
                record.line(&format!("client gets {status} for {id}"));
                sleep(100);
            }
        }
    });
    sleep(4_000);

    // The worker leaves without a word: its entry is removed.
    let copy = store.copy();
    store.put("config", "main", &manifest(4));
    record.line("the operator writes version 4 of the manifest");
    sleep(500);
    store.remove("servers", LEAVING);
    let removed_at = record.line("the store removes the entry of i-1, which leaves");
    sleep(DRAIN_MS + 600);
    let before = leaving_arrivals.lock().unwrap().len();
    let last_before = leaving_arrivals
        .lock()
        .unwrap()
        .last()
        .map_or(0, |arrival| arrival.at);
    record.line(&format!(
        "i-1 has got {before} requests, the last at {last_before} ms"
    ));

    if trouble {
        // The drill: the store is away for a moment and comes back from a copy some seconds old.
        *store.away.lock().unwrap() = true;
        deployment.server.cut();
        record.line("the store is away");
        sleep(500);
        store.restore(&copy);
        *store.away.lock().unwrap() = false;
        record.line("the store is back from a copy from before the removal");
        // What the operator and the workers wrote is written again: version 4, and entries that are the same as in the copy.
        sleep(600);
        store.put("config", "main", &manifest(4));
        record.line("the operator writes version 4 again");
        sleep((HEARTBEAT * 3).as_millis() as u64 - 600);
        store.remove("servers", LEAVING);
        record.line("the entry of i-1 lapses after three intervals of silence");
    } else {
        sleep(500 + (HEARTBEAT * 3).as_millis() as u64);
    }
    sleep(1_500);
    is_over.store(true, Ordering::Relaxed);
    let _ = client.join();
    let late: Vec<Arrival> = leaving_arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.at > removed_at + DRAIN_MS)
        .cloned()
        .collect();
    for server in &servers {
        server.stop();
    }
    let Some(first) = late.first() else {
        return Ok(Verdict::Held);
    };
    Ok(Verdict::Broken(format!(
        "{} requests reached i-1 later than {DRAIN_MS} ms after the store had removed its entry, \
         the first ({}) {} ms after it",
        late.len(),
        first.id,
        first.at - removed_at
    )))
}
