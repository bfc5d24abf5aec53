//! Starts a deployment on loopback, sends some calls and prints a summary.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use anyhow::{Context, Result};
use sardinepin_common::{Clock, Millis};
use sardinepin_config::{Service, ServiceKind};
use serde_json::Value;

use crate::fleet::{Deployment, Fleet, FleetOptions};
use crate::load::{self, Report};

/// The default deployment file, relative to the root of the workspace.
const DEFAULT_DEPLOYMENT: &str = "sample_configs/kveldsskole/deployment.yaml";

/// The number of calls that are in flight at once.
const CONCURRENCY: usize = 16;

/// The share of keyed calls that are sent twice, in thousandths.
const COPIES_MILLI: u32 = 200;

/// The time limit for all nodes to use the same configuration revision.
const SETTLE_TIMEOUT: Millis = Millis(10_000);

/// The interval between two reads of the status.
const POLL_INTERVAL: Millis = Millis(100);

/// Settings of the demo.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The deployment file.
    pub deployment: PathBuf,
    /// The number of entries to start.
    pub entries: usize,
    /// The number of calls, not counting the copies of keyed calls.
    pub requests: u64,
    /// The maximum number of upstreams per service and availability zone; 0 starts all.
    pub upstreams: usize,
    /// The time after which no new call starts, in seconds; 0 means no limit.
    pub seconds: u64,
    /// The seed of the random generator that draws the calls.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
        Self {
            deployment: root.unwrap_or(Path::new(".")).join(DEFAULT_DEPLOYMENT),
            entries: 3,
            requests: 600,
            upstreams: 0,
            seconds: 0,
            seed: 1,
        }
    }
}

/// The results of a demo run; its `Display` prints them for a reader.
#[derive(Debug)]
pub struct Summary {
    process_count: usize,
    report: Report,
    nodes: Vec<Value>,
    exits: Vec<(String, ExitStatus)>,
}

impl Summary {
    /// Returns whether no answer was wrong and every node exited successfully.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.report.wrong == 0 && self.exits.iter().all(|(_, status)| status.success())
    }
}

/// Runs the demo, and stops or kills all of its processes.
///
/// # Errors
///
/// Fails if the deployment cannot be read, started, called or stopped.
pub async fn run(settings: Settings) -> Result<Summary> {
    let deployment = Deployment::read(&settings.deployment)?.limit_upstreams(settings.upstreams);
    let load = load_settings(&deployment, &settings)?;
    let options = FleetOptions {
        deployment,
        entries: settings.entries,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await?;
    let load = load::Settings {
        entries: fleet.entry_addresses(),
        ..load
    };
    let report = load::run(load).await?;
    let nodes = wait_settled(&fleet).await?;
    let process_count = 1 + fleet.upstreams.len() + fleet.agents.len() + fleet.entries.len();
    Ok(Summary {
        process_count,
        report,
        nodes,
        exits: fleet.stop().await?,
    })
}

/// Waits until the first entry lists all nodes with its own configuration revision, or until the
/// time limit, and returns the nodes that it lists.
async fn wait_settled(fleet: &Fleet) -> Result<Vec<Value>> {
    let clock = Clock::start();
    let expected = fleet.entries.len() + fleet.agents.len();
    let first = fleet
        .entries
        .first()
        .context("the deployment has no entry")?;
    loop {
        let status = fleet.admin_get(first, "/v1/status").await?;
        let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
        let has_revision = |node: &Value| node["revision"] == status["revision"];
        let settled = nodes.len() == expected && nodes.iter().all(has_revision);
        if settled || clock.now() >= SETTLE_TIMEOUT {
            return Ok(nodes);
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}

/// Returns load settings that cover the first plain and the first model service of the deployment
/// and all of its organisations.
fn load_settings(deployment: &Deployment, settings: &Settings) -> Result<load::Settings> {
    let services = &deployment.services;
    let service_of = |kind| services.iter().find(|service| service.kind == kind);
    let plain = service_of(ServiceKind::Plain).context("the deployment has no plain service")?;
    let model = service_of(ServiceKind::Model).context("the deployment has no model service")?;
    let model_name = |service: &Service| service.models.first().cloned();
    let organisations = deployment.organisations.iter();
    Ok(load::Settings {
        requests: settings.requests,
        seconds: settings.seconds,
        seed: settings.seed,
        concurrency: CONCURRENCY,
        organisations: organisations
            .map(|organisation| organisation.name.clone())
            .collect(),
        plain_path: plain
            .paths
            .first()
            .cloned()
            .context("the plain service has no path")?,
        keyed_path: plain
            .keyed_paths
            .first()
            .cloned()
            .context("the plain service has no keyed path")?,
        model: model_name(model).context("the model service has no model")?,
        copies_milli: COPIES_MILLI,
        ..load::Settings::default()
    })
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            sent,
            answered,
            not_run,
            unknown,
            wrong,
            ..
        } = self.report;
        writeln!(out, "{} processes on loopback", self.process_count)?;
        writeln!(out, "{sent} requests in {:.1} s", self.report.seconds)?;
        writeln!(
            out,
            "outcomes: {answered} answered, {not_run} not run, {unknown} unknown; {wrong} wrong"
        )?;
        for (reason, count) in &self.report.reasons {
            writeln!(out, "  {reason}: {count}")?;
        }
        writeln!(out, "latency in ms, by class of call:")?;
        for (class, latency) in &self.report.latency_ms {
            writeln!(
                out,
                "  {class:<12} {:>5} calls  p50 {:>8.2}  p95 {:>8.2}  p99 {:>8.2}",
                latency.count, latency.p50, latency.p95, latency.p99
            )?;
        }
        writeln!(out, "configuration revision, by node:")?;
        for node in &self.nodes {
            let name = node["name"].as_str().unwrap_or_default();
            writeln!(out, "  {name:<16} {}", node["revision"])?;
        }
        let failed = self.exits.iter().filter(|(_, status)| !status.success());
        writeln!(
            out,
            "{} nodes stopped, {} of them with an error",
            self.exits.len(),
            failed.count()
        )
    }
}
