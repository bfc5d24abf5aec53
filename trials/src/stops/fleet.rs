//! The processes of the trial: gateways and the object store, with workers in this process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;

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

use super::groups::{self, Group, Stalls};
use super::runs::{RunLog, RunsById};
use super::worker::{self, WorkerSettings};

/// The key of all callers.
pub(crate) const KEY: &str = "school";

/// The workers of each service.
const WORKERS: usize = 4;

/// How long a gateway may take to become ready.
const READY_TIMEOUT: Millis = Millis(30_000);

/// The interval between two questions for readiness.
const READY_POLL_INTERVAL: Millis = Millis(20);

/// A gateway process.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// What runs.
#[derive(Debug, Clone)]
pub(super) struct FleetSettings {
    pub(super) gateways: usize,
    pub(super) worker: WorkerSettings,
    /// The number of groups of the workers that stream; none if it is 0.
    pub(super) groups: usize,
    pub(super) stalls: Stalls,
    pub(super) keeps_logs: bool,
    /// The program of the gateways; that of this build if it is not given.
    pub(super) program: Option<PathBuf>,
}

/// The running processes; dropping them kills them.
#[derive(Debug)]
pub(crate) struct StopFleet {
    store: ChildProcess,
    gateways: Vec<Gateway>,
    program: PathBuf,
    clock: Clock,
    runs: Arc<RunLog>,
    client: HttpClient,
    /// Where the logs are, if they are kept.
    kept: Option<PathBuf>,
    _directory: TempDirectory,
}

impl StopFleet {
    /// Starts all processes and waits until the gateways are ready. Times are those of `clock`.
    pub(super) async fn start(settings: FleetSettings, clock: Clock) -> Result<Self> {
        let mut fleet = Self::start_store(settings.keeps_logs, settings.program, clock).await?;
        let groups: Vec<Group> = (0..settings.groups)
            .map(|number| Group::new(format!("g{number}")))
            .collect();
        fleet.start_workers(settings.worker, &groups).await?;
        fleet.start_gateways(settings.gateways).await?;
        tokio::spawn(groups::stall_in_turn(groups, settings.stalls));
        Ok(fleet)
    }

    /// Starts the store and gateways, for workers that are listed by somebody else.
    pub(crate) async fn start_without_workers(gateways: usize) -> Result<Self> {
        let mut fleet = Self::start_store(false, None, Clock::start()).await?;
        fleet.start_gateways(gateways).await?;
        Ok(fleet)
    }

    async fn start_store(keep_logs: bool, program: Option<PathBuf>, clock: Clock) -> Result<Self> {
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
        let program = match program {
            Some(program) => program,
            None => binary_path("sardinepin")?,
        };
        let fleet = Self {
            store,
            gateways: Vec::new(),
            program,
            clock,
            runs: Arc::new(RunLog::new(clock)),
            client: HttpClient::default(),
            kept,
            _directory: directory,
        };
        fleet.put_version(1).await?;
        Ok(fleet)
    }

    async fn start_gateways(&mut self, count: usize) -> Result<()> {
        for number in 0..count {
            let gateway = self.start_gateway(number)?;
            self.gateways.push(gateway);
        }
        for gateway in &self.gateways {
            self.wait_ready(gateway).await?;
        }
        Ok(())
    }

    /// Returns the address of the store.
    pub(crate) fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    async fn start_workers(&self, settings: WorkerSettings, groups: &[Group]) -> Result<()> {
        for number in 0..WORKERS {
            let group = match groups.len() {
                0 => None,
                count => Some(&groups[number % count]),
            };
            let rank = number.checked_div(groups.len()).unwrap_or_default();
            let group_entry = group.map(
                |group| json!({"name": group.name, "epoch": 1, "rank": rank, "state": "open"}),
            );
            self.start_worker(settings, "llm", number, (group.cloned(), group_entry))
                .await?;
            self.start_worker(settings, "app", number, (None, None))
                .await?;
        }
        Ok(())
    }

    async fn start_worker(
        &self,
        settings: WorkerSettings,
        service: &str,
        number: usize,
        (group, group_entry): (Option<Group>, Option<Value>),
    ) -> Result<()> {
        let id = format!("i-{service}-{number}");
        let runs = Arc::clone(&self.runs);
        let address = worker::start(&id, settings, group, runs).await?;
        let mut entry = json!({"service": service, "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": settings.slots, "state": "ready", "cold-remaining-ms": 0,
            "seq": 1, "born": 1});
        if let Some(group) = group_entry {
            entry["group"] = group;
            entry["size"] = json!(WORKERS);
        }
        self.control(&format!("/control/servers/{id}"), Method::PUT, &entry)
            .await
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
        let process = spawn(&self.program, &path, &log)?;
        Ok(Gateway {
            front,
            ready,
            settings: path,
            log,
            process,
        })
    }

    /// Returns the gateways, in the order in which they are stopped.
    pub(crate) fn gateways(&self) -> &[Gateway] {
        &self.gateways
    }

    /// Returns the folder of the logs, if they are kept.
    pub(super) fn log_folder(&self) -> Option<String> {
        self.kept
            .as_ref()
            .map(|folder| folder.display().to_string())
    }

    /// Returns what the workers have run.
    pub(super) fn runs(&self) -> RunsById {
        self.runs.snapshot()
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

    /// Starts a gateway again that has exited.
    pub(super) fn restart(&mut self, number: usize) -> Result<()> {
        let gateway = &mut self.gateways[number];
        gateway.process = spawn(&self.program, &gateway.settings, &gateway.log)?;
        Ok(())
    }

    /// Waits until a gateway is ready.
    pub(super) async fn wait_until_ready(&self, number: usize) -> Result<()> {
        self.wait_ready(&self.gateways[number]).await
    }

    async fn wait_ready(&self, gateway: &Gateway) -> Result<()> {
        let began = self.clock.now();
        while self.clock.now().since(began) < READY_TIMEOUT {
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
            "services": [{"name": "app", "health-path": "/health"}, {"name": "llm", "health-path": "/health"}],
            "tenants": [{"name": KEY, "api-keys": [KEY]}], "limits": {}});
        self.control("/control/config/main", Method::PUT, &manifest)
            .await
    }

    /// Sends a control call to the store.
    pub(crate) async fn control(&self, path: &str, method: Method, body: &Value) -> Result<()> {
        let address = self.store.address();
        let answer = self.client.send_json(method, address, path, body).await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => bail!("{path}: {}", answer.status),
        }
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
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
