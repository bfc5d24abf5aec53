//! A small deployment: the store's stand-in, workers, and gateways as processes of their own.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Server, call};
use crate::record::Record;
use crate::store::Store;
use crate::watchdog;

/// How often a worker writes its entry, as in the settings of a small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a worker may still get requests after it was reported to be leaving.
pub const DRAIN_MS: u64 = 2_000;

/// How long a machine is undisturbed before the time bounds hold for it.
pub const WINDOW_MS: u64 = 3_000;

/// How long the case waits for a process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The zones and the services of the small deployment.
pub const ZONES: [&str; 3] = ["bergen-a", "bergen-b", "forde"];
pub const BOOKING: &str = "opptak-app";
pub const MODEL: &str = "veileder-llm";

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Returns the manifest: routes of the kinds safe, unsafe and streaming to two services.
pub fn manifest(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout-ms\":8000,\"target-latency-ms\":400,\"max-attempts\":2,\"priority\":1,\
             \"service\":\"{service}\"{more}}}"
        )
    };
    let routes = [
        route("status", "/status/", "safe", BOOKING, ""),
        route("book", "/book/", "unsafe", BOOKING, ""),
        route("check", "/check/", "safe", MODEL, ",\"sticky\":true"),
        route(
            "ask",
            "/ask/",
            "streaming",
            MODEL,
            ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":120",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{BOOKING}\",\"health-path\":\"/health\"}},\
         {{\"name\":\"{MODEL}\",\"health-path\":\"/health\"}}],\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"]}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}

/// The entry of a worker in the store.
#[derive(Debug, Clone)]
pub struct Entry {
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub born: u64,
}

impl Entry {
    /// Returns the text that the worker writes.
    pub fn spec(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":6,\
             \"state\":\"{}\",\"cold-remaining-ms\":0,\"seq\":0,\"born\":{}}}",
            self.service, self.address, self.zone, self.state, self.born
        )
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let (front, ready, control) = (free_address(), free_address(), free_address());
        let port = free_address().port();
        let settings = format!(
            r#"{{"node":"{name}","role":"gateway","machine-class":"front","serves":["front"],"ip":"127.0.0.1",
"zone":"{zone}","region":"vestland","zones":{{"bergen-a":"vestland","bergen-b":"vestland","forde":"vestland"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},"internal-ports":[{port},{port}],"seeds":[],
"bootstrap":true,"in-loss-budget":false,
"limits":{{"cpu-share":0.25,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"],
"fault-tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stability-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-stretch-ms":5000,
"strict-revoke":false,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":92,
"recover-s":12,"pass_ms":120,"again_s":0,"stall_ms":1500,"require-fence":true}},
"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history-s":20,
"value_bytes":1048576,"ttl_min_ms":1000}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let process = Command::new("target/release/sardinepin")
            .arg("gateway")
            .env("SARDINEPIN_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        watchdog::add(process.id());
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            process,
        })
    }

    /// Returns the identifier of the process.
    pub fn process(&self) -> u32 {
        self.process.id()
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let request = "GET /readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        while Instant::now() < until {
            let answer = call(self.ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.message.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The store, the gateways, and the folder for their settings and logs.
pub struct Deployment {
    pub store: Arc<Store>,
    pub server: Server,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store and one gateway in each of `zones`. The workers are entered by `enter` before the gateways start.
    pub fn start(record: &Record, zones: &[&str], enter: impl FnOnce(&Store)) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::new();
        store.put("config", "main", &manifest(3));
        enter(&store);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::start(any, Arc::clone(&store) as _)?;
        let mut deployment = Self {
            store,
            server,
            gateways: Vec::new(),
            folder,
        };
        for (number, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{}", number + 1);
            let folder = deployment.folder.clone();
            let gateway = Gateway::start(&folder, &name, zone, deployment.server.address)?;
            deployment.gateways.push(gateway);
        }
        for gateway in &deployment.gateways {
            gateway.wait_ready()?;
            record.line(&format!("{} is ready", gateway.name));
        }
        Ok(deployment)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the head of a client's request, with the time budget of its kind.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {KEY}\r\nConnection: close\r\n{fields}\r\n"
    )
}
