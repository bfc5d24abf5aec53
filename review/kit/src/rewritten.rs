//! A worker drains. After its time, another writer writes its entry, without the field `born`, until the worker's next status report.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{BOOKING, DRAIN_MS, Deployment, Entry, HEARTBEAT, ZONES, request};
use crate::http::{Server, call};
use crate::record::Record;
use crate::store::Store;
use crate::workers::{Arrival, SoundWorker};

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
            born: 1_700_000_000_000,
        };
        entries.push((id, entry));
        servers.push(server);
    }
    let deployment = Deployment::start(record, &ZONES[..1], |store: &Store| {
        for (id, entry) in &entries {
            store.put("servers", id, &entry.spec());
        }
    })?;
    let store = &deployment.store;
    let is_over = Arc::new(AtomicBool::new(false));
    let front = deployment.gateways[0].front;
    let client = thread::spawn({
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("c{number:05}");
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
    let draining = Entry {
        state: "draining",
        ..entries[0].1.clone()
    };
    store.put("servers", LEAVING, &draining.spec());
    let drained_at = record.line("the store takes the report of i-1 that it is draining");
    sleep(DRAIN_MS + 1_000);
    if trouble {
        let address = entries[0].1.address;
        let other = format!(
            "{{\"service\":\"{BOOKING}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":1,\"slots\":6,\"state\":\"ready\"}}",
            entries[0].1.zone
        );
        store.put("servers", LEAVING, &other);
        record.line("another writer writes the entry of i-1, without the fields born and seq");
    }
    thread::sleep(HEARTBEAT);
    store.put("servers", LEAVING, &draining.spec());
    record.line("i-1 reports again that it is draining");
    sleep(1_500);
    store.remove("servers", LEAVING);
    record.line("i-1 has left");
    sleep(500);
    is_over.store(true, Ordering::Relaxed);
    let _ = client.join();
    let late: Vec<Arrival> = leaving_arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.at > drained_at + DRAIN_MS)
        .cloned()
        .collect();
    for server in &servers {
        server.stop();
    }
    let Some(first) = late.first() else {
        return Ok(Verdict::Held);
    };
    Ok(Verdict::Broken(format!(
        "{} requests reached i-1 later than {DRAIN_MS} ms after the store had taken that it is draining, the first ({}) {} ms after it",
        late.len(),
        first.id,
        first.at - drained_at
    )))
}
