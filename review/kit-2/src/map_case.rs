//! Another writer's entries in the list of workers, for a group of the same name.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::deployment::{Deployment, Process};
use crate::group::{EXPERT_MB, EXPERTS, Group, LINK_MBPS};
use crate::note;
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, client};

const SERVICE: &str = "veileder-llm";
const OTHER_ID: &str = "i-4a31e9f8";
const RUN_TIME: Duration = Duration::from_secs(20);

/// Returns a manifest with one streaming route to a service of engines.
fn manifest() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"calls.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":1,"service":"{SERVICE}","max-attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":120}}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-connections":418,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv-tokens":494000,"stride":1,"models":[{{"name":"m"}}],"step_ms":30.0,"per_seq_ms":0.362,"sets":1,"experts":{EXPERTS},"places":6,"spare":4,"expert_mb":{EXPERT_MB},"link-mbps":{LINK_MBPS},"expert_share":0.85,"form_ms":600.0}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[]}}"#
    )
}

/// Returns an entry of another writer. Its service is not named anywhere, and it says that rank 1 of the first group is where rank 1
/// of the second one is.
fn other_entry(second: &Group) -> String {
    let (_, entry) = second.entry(1, "another-llm");
    entry.replace("\"name\":\"g2\"", "\"name\":\"g1\"")
}

/// What disturbs the groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// An entry of another writer.
    Entry,
    /// A worker sends the second copy of an answer, and carries out an order late.
    Copy,
}

pub fn run(folder: &Path, trouble: Trouble) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::choose()?;
    let store = Store::start(deployment.store())?;
    let machines = [11, 12, 21, 22];
    let app = |machine| deployment.app(machine);
    let groups = [
        Group::start(
            "g1",
            &["i-2c90a1f4", "i-6e0b77d3"],
            vec![app(11), app(12)],
            &record,
        )?,
        Group::start(
            "g2",
            &["i-85d2c6b0", "i-b34f09ae"],
            vec![app(21), app(22)],
            &record,
        )?,
    ];
    store.put("config", "main", &manifest());
    for group in &groups {
        for rank in 0..2 {
            let (id, entry) = group.entry(rank, SERVICE);
            note!(record, "a worker writes servers/{id}: {entry}");
            store.put("servers", &id, &entry);
        }
    }
    if trouble == Trouble::Entry {
        let entry = other_entry(&groups[1]);
        note!(record, "another writer writes servers/{OTHER_ID}: {entry}");
        store.put("servers", OTHER_ID, &entry);
    }
    let agents: io::Result<Vec<Process>> = machines
        .iter()
        .map(|machine| deployment.start_rank(*machine, SERVICE))
        .collect();
    let agents = agents?;
    let gateway = deployment.start_gateway(1)?;
    deployment.wait_until_ready(1)?;
    note!(record, "the gateway is ready; clients begin");
    if trouble == Trouble::Copy {
        // Its agent leads, so that it is the last to be armed.
        groups[0].disturb(1);
    }
    let (answered, failed) = send_streams(&deployment);
    for machine in machines {
        for line in deployment.log_lines(
            "rank",
            machine,
            &[
                "coordinator",
                "map_planned",
                "switched",
                "abort",
                "step_down",
            ],
        ) {
            note!(record, "log of the agent on machine {machine}: {line}");
        }
    }
    drop((agents, gateway));
    note!(record, "streams answered {answered}, failed {failed}");
    let mut verdict = Verdict::Held;
    for group in &groups {
        let (passes, mixed, switches) = group.passes();
        note!(
            record,
            "{}: passes {passes}, switches of the map {switches}, passes on different maps {mixed}",
            group.name
        );
        verdict = match (passes, mixed) {
            (0, _) if verdict == Verdict::Held => Verdict::NotRun,
            (_, 0) => verdict,
            _ => Verdict::Broken,
        };
    }
    note!(record, "MAP: {verdict:?}");
    Ok(verdict)
}

/// Keeps a few streams running; returns how many were answered whole and how many were not.
fn send_streams(deployment: &Deployment) -> (u64, u64) {
    let (answered, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let ended = Arc::new(AtomicBool::new(false));
    let front = deployment.front(1);
    let clients: Vec<_> = (0..6)
        .map(|one| {
            let (answered, failed, ended) = (
                Arc::clone(&answered),
                Arc::clone(&failed),
                Arc::clone(&ended),
            );
            std::thread::spawn(move || {
                let mut sent = 0;
                while !ended.load(Ordering::Relaxed) {
                    sent += 1;
                    let id = format!("{one:x}{sent:015x}");
                    let request = client::request("POST", "/stream/26", &id, 8_000);
                    let answer = client::stream(front, &request);
                    let is_whole =
                        answer.is_ok_and(|answer| answer.complete && answer.events.len() == 26);
                    let count = if is_whole { &answered } else { &failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(if is_whole { 5 } else { 200 }));
                }
            })
        })
        .collect();
    std::thread::sleep(RUN_TIME);
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    (
        answered.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed),
    )
}
