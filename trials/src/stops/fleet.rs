//! The processes of the trial: gateways and the object store, with workers in this process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use hyper::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sardinepin_common::{Clock, Millis};
use sardinepin_standins::fleet::{ChildProcess, TempDirectory, binary_path};
use sardinepin_standins::http::HttpClient;
use sardinepin_standins::load::PLATFORM_HOST;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

use super::worker::{self, Runs, WorkerSettings};

/// The key of all callers.
pub(super) const KEY: &str = "school";

/// The workers of each service.
const WORKERS: usize = 4;

/// How long a gateway may take to become ready.
const READY_TIMEOUT: Millis = Millis(30_000);

/// The interval between two questions for readiness.
const READY_POLL_INTERVAL: Millis = Millis(20);

/// A gateway process.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) front: SocketAddr,
    pub(super) ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// The running processes; dropping them kills them.
#[derive(Debug)]
pub(super) struct StopFleet {
    store: ChildProcess,
    gateways: Vec<Gateway>,
    runs: Arc<Mutex<Runs>>,
    client: HttpClient,
    /// Where the logs are, if they are kept.
    kept: Option<PathBuf>,
    _directory: TempDirectory,
}

impl StopFleet {
    /// Starts all processes and waits until the gateways are ready.
    pub(super) async fn start(
        gateways: usize,
        settings: WorkerSettings,
        keep_logs: bool,
    ) -> Result<Self> {
        let directory = TempDirectory::create()?;
        let kept =
            keep_logs.then(|| std::env::temp_dir().join(format!("stops-{}", std::process::id())));
        if let Some(kept) = &kept {
            std::fs::create_dir_all(kept)?;
        }
        let store = ChildProcess::start(
            &binary_path("sardinepin-standins")?,
            &["objects".to_owned()],
        )
        .await?;
        let runs: Arc<Mutex<Runs>> = Arc::default();
        let mut fleet = Self {
            store,
            gateways: Vec::new(),
            runs,
            client: HttpClient::default(),
            kept,
            _directory: directory,
        };
        fleet.put_version(1).await?;
        fleet.start_workers(settings).await?;
        for number in 0..gateways {
            let gateway = fleet.start_gateway(number)?;
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            fleet.wait_ready(gateway).await?;
        }
        Ok(fleet)
    }

    async fn start_workers(&self, settings: WorkerSettings) -> Result<()> {
        for service in ["llm", "app"] {
            for number in 0..WORKERS {
                let id = format!("i-{service}-{number}");
                let runs = Arc::clone(&self.runs);
                let address = worker::start(&id, settings, runs).await?;
                let entry = json!({"service": service, "address": address.to_string(), "zone": "a",
                    "slots": settings.slots, "state": "ready", "seq": 1, "born": 1});
                self.control(&format!("/control/servers/{id}"), Method::PUT, &entry)
                    .await?;
            }
        }
        Ok(())
    }

    fn start_gateway(&self, number: usize) -> Result<Gateway> {
        let (front, ready) = (free_address()?, free_address()?);
        let port = free_address()?.port();
        let settings = json!({
            "node": format!("front-{number}"), "zone": "a", "ip": "127.0.0.1",
            "internal-ports": [port, port],
            "listen": {"front": front.to_string(), "ready": ready.to_string()},
            "bounds": {"grace-s": 8, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                "retry-budget-slack": 92},
            "platform": {"address": self.store.address().to_string()},
        });
        let folder = self.kept.clone();
        let folder = folder.unwrap_or_else(|| self._directory.file(""));
        let path = folder.join(format!("front-{number}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = folder.join(format!("front-{number}.log"));
        let process = spawn(&path, &log)?;
        Ok(Gateway {
            front,
            ready,
            settings: path,
            log,
            process,
        })
    }

    /// Returns the gateways, in the order in which they are stopped.
    pub(super) fn gateways(&self) -> &[Gateway] {
        &self.gateways
    }

    /// Returns the folder of the logs, if they are kept.
    pub(super) fn log_folder(&self) -> Option<String> {
        self.kept
            .as_ref()
            .map(|folder| folder.display().to_string())
    }

    /// Returns what the workers have run.
    pub(super) fn runs(&self) -> Runs {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    /// Tells a gateway to stop and returns its address for callers.
    pub(super) fn terminate(&self, number: usize) -> Result<SocketAddr> {
        self.signal(number, Signal::SIGTERM)?;
        Ok(self.gateways[number].front)
    }

    /// Tells a gateway that its settings have changed.
    pub(super) fn hang_up(&self, number: usize) -> Result<()> {
        self.signal(number, Signal::SIGHUP)
    }

    fn signal(&self, number: usize, signal: Signal) -> Result<()> {
        // A process that has exited gets no signal.
        if let Some(id) = self.gateways[number].process.id() {
            kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        }
        Ok(())
    }

    /// Returns whether a gateway has exited.
    pub(super) fn has_exited(&mut self, number: usize) -> Result<bool> {
        Ok(self.gateways[number].process.try_wait()?.is_some())
    }

    /// Kills a gateway.
    pub(super) async fn kill(&mut self, number: usize) -> Result<()> {
        Ok(self.gateways[number].process.kill().await?)
    }

    /// Starts a gateway again that has exited, and waits until it is ready.
    pub(super) async fn restart(&mut self, number: usize) -> Result<()> {
        let gateway = &mut self.gateways[number];
        gateway.process = spawn(&gateway.settings, &gateway.log)?;
        self.wait_ready(&self.gateways[number]).await
    }

    async fn wait_ready(&self, gateway: &Gateway) -> Result<()> {
        let clock = Clock::start();
        while clock.now() < READY_TIMEOUT {
            let call =
                self.client
                    .request(Method::GET, gateway.ready, "/readiness", &[], Bytes::new());
            if call.await.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL.duration()).await;
        }
        bail!("{} is not ready", gateway.front)
    }

    /// Writes a version of the configuration.
    pub(super) async fn put_version(&self, version: u64) -> Result<()> {
        let route = |name: &str, kind: &str, service: &str, timeout: u64| {
            json!({"name": name, "host": PLATFORM_HOST, "path-prefix": format!("/{name}/"), "kind": kind,
                "timeout-ms": timeout, "target-latency-ms": 400, "service": service, "max-attempts": 2,
                "resumable": kind == "streaming"})
        };
        let routes = [
            route("ask", "streaming", "llm", 8_000),
            route("book", "unsafe", "app", 8_000),
            route("status", "safe", "app", 8_000),
        ];
        let manifest = json!({"version": version, "routes": routes,
            "services": [{"name": "app"}, {"name": "llm"}],
            "tenants": [{"name": KEY, "api-keys": [KEY]}], "limits": {}});
        self.control("/control/config/main", Method::PUT, &manifest)
            .await
    }

    /// Sends a control call to the store.
    pub(super) async fn control(&self, path: &str, method: Method, body: &Value) -> Result<()> {
        let address = self.store.address();
        let answer = self.client.send_json(method, address, path, body).await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => bail!("{path}: {}", answer.status),
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(binary_path("sardinepin")?)
        .args(["gateway", "--metrics-port", "0", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .context("cannot start a gateway")
}

/// Returns a loopback address with a free port.
fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}
