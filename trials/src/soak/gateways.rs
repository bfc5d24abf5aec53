//! The processes of the half with gateways: a rank agent, workers behind relays, and the object store.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use anyhow::{Result, bail};
use bytes::Bytes;
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use sardinepin_standins::fleet::{ChildProcess, TempDirectory, binary_path};
use sardinepin_standins::http::HttpClient;
use sardinepin_standins::load::PLATFORM_HOST;
use sardinepin_standins::relay::Relay;
use serde_json::{Value, json};

/// The number of gateways.
const GATEWAYS: usize = 3;

/// The number of plain workers; one more worker is alone in a rank group and has an agent.
const PLAIN_WORKERS: usize = 3;

/// The organisation of all callers, which is also its key.
pub(crate) const ORGANISATION: &str = "school";

/// The path of calls that must not run twice.
pub(crate) const ONCE_PATH: &str = "/once/a";

/// The path of calls to the rank group, which may run more than once.
pub(crate) const MODEL_PATH: &str = "/model/a";

/// The delay of each answer, so that faults occur during open calls.
const DELAY_MS: u64 = 30;

/// The time limit for a gateway to become ready: far above what a busy machine needs.
const READY_TIMEOUT: Millis = Millis(30_000);

/// The interval between two questions for readiness.
const READY_POLL_INTERVAL: Millis = Millis(20);

/// A gateway process.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) child: ChildProcess,
    ready: SocketAddr,
}

/// The running processes; dropping them kills them.
#[derive(Debug)]
pub(crate) struct GatewayFleet {
    pub(crate) store: ChildProcess,
    pub(crate) workers: Vec<ChildProcess>,
    /// The relays through which gateways reach the workers, in the same order.
    pub(crate) relays: Vec<Relay>,
    pub(crate) agent: ChildProcess,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) client: HttpClient,
    starts: u64,
    _directory: TempDirectory,
}

impl GatewayFleet {
    /// Starts all processes and waits until the gateways are ready.
    pub(crate) async fn start() -> Result<Self> {
        let directory = TempDirectory::create()?;
        let (product, standins) = (
            binary_path("sardinepin")?,
            binary_path("sardinepin-standins")?,
        );
        let store = ChildProcess::start(&standins, &["objects".to_owned()]).await?;
        let (mut workers, mut relays) = (Vec::new(), Vec::new());
        for number in 0..=PLAIN_WORKERS {
            let journal = directory.file(&format!("worker-{number}.journal"));
            let arguments =
                ["plain", "--journal", &journal.display().to_string()].map(str::to_owned);
            let worker = ChildProcess::start(&standins, &arguments).await?;
            relays.push(Relay::start(worker.address()).await?);
            workers.push(worker);
        }
        let agent_address = free_address()?;
        let settings = |node: &str, own: Value| {
            let port = agent_address.port();
            let mut settings = json!({
                "node": node, "zone": "a", "ip": "127.0.0.1", "internal-ports": [port, port], "listen": {},
                "bounds": {"grace-s": 20, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                    "retry-budget-slack": 92},
                "platform": {"address": store.address().to_string()},
            });
            for (name, value) in own.as_object().into_iter().flatten() {
                settings[name] = value.clone();
            }
            let path = directory.file(&format!("{node}.json"));
            std::fs::write(&path, settings.to_string()).map(|()| path.display().to_string())
        };
        let start_role = |role: &str, path: String, address| {
            let arguments = [role, "--metrics-port", "0", "--settings", &path].map(str::to_owned);
            ChildProcess::start_at(&product, &arguments, address)
        };
        let app = workers[PLAIN_WORKERS].address().to_string();
        let path = settings("side-1", json!({"app": app, "service": "llm"}))?;
        let agent = start_role("rank", path, agent_address)?;
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let (front, ready) = (free_address()?, free_address()?);
            let listen = json!({"front": front.to_string(), "ready": ready.to_string()});
            let path = settings(&format!("front-{number}"), json!({"listen": listen}))?;
            let child = start_role("gateway", path, front)?;
            gateways.push(Gateway { child, ready });
        }
        let mut fleet = Self {
            store,
            workers,
            relays,
            agent,
            gateways,
            client: HttpClient::default(),
            starts: 0,
            _directory: directory,
        };
        fleet.put_version(0).await?;
        for worker in 0..fleet.workers.len() {
            fleet.list_worker(worker).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the addresses of the gateways for callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.child.address())
            .collect()
    }

    /// Writes the configuration of a version, which has a path of its own for each version so far.
    pub(crate) async fn put_version(&self, version: u64) -> Result<()> {
        let route = |name: String, prefix: String, kind: &str, service: &str| {
            json!({"name": name, "host": PLATFORM_HOST, "path-prefix": prefix, "kind": kind, "timeout-ms": 8_000,
                "target-latency-ms": 4_000, "service": service, "max-attempts": 3})
        };
        let mut routes = vec![
            route("once".to_owned(), "/once/".to_owned(), "unsafe", "app"),
            route("model".to_owned(), "/model/".to_owned(), "safe", "llm"),
        ];
        let versions = 1..=version;
        routes.extend(versions.map(|number| {
            route(
                format!("c-{number}"),
                format!("/c/{number}/"),
                "safe",
                "app",
            )
        }));
        let manifest = json!({"version": version + 1, "routes": routes, "services": [{"name": "app"}, {"name": "llm"}],
            "tenants": [{"name": ORGANISATION, "api-keys": [ORGANISATION]}], "limits": {}});
        self.control("/control/config/main", Method::PUT, &manifest)
            .await
    }

    /// Lists a worker as a new process, and sets the delay of its answers.
    pub(crate) async fn list_worker(&mut self, worker: usize) -> Result<()> {
        self.starts += 1;
        let is_rank = worker == PLAIN_WORKERS;
        let mut entry = json!({
            "service": if is_rank { "llm" } else { "app" }, "address": self.relays[worker].address().to_string(),
            "zone": "a", "slots": 30, "state": "ready", "version": "v1", "cold-remaining-ms": 0, "seq": 1, "born": self.starts,
        });
        if is_rank {
            entry["group"] = json!({"name": "g", "epoch": 1, "rank": 0, "state": "open"});
            entry["size"] = json!(1);
        }
        self.set_worker_faults(worker, json!({})).await?;
        self.control(&format!("/control/servers/i-{worker}"), Method::PUT, &entry)
            .await
    }

    /// Sets faults of a worker in addition to its delay.
    pub(crate) async fn set_worker_faults(&self, worker: usize, mut faults: Value) -> Result<()> {
        faults["delay_ms"] = DELAY_MS.into();
        self.client
            .post_json(self.workers[worker].address(), "/faults", &faults)
            .await
    }

    /// Sends a control call to the store.
    pub(crate) async fn control(&self, path: &str, method: Method, body: &Value) -> Result<()> {
        let call = self
            .client
            .send_json(method, self.store.address(), path, body)
            .await?;
        match call.status.is_success() {
            true => Ok(()),
            false => bail!("{path}: {}", call.status),
        }
    }

    /// Waits until all gateways are ready.
    pub(crate) async fn wait_ready(&self) -> Result<()> {
        let clock = Clock::start();
        for gateway in &self.gateways {
            loop {
                let call = self.client.request(
                    Method::GET,
                    gateway.ready,
                    "/readiness",
                    &[],
                    Bytes::new(),
                );
                if call.await.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if clock.now() > READY_TIMEOUT {
                    bail!(
                        "{} is not ready\n{}",
                        gateway.child.address(),
                        gateway.child.recent_output()
                    );
                }
                tokio::time::sleep(READY_POLL_INTERVAL.duration()).await;
            }
        }
        Ok(())
    }
}

/// Returns a loopback address with a free port.
fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}
