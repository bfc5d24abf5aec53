//! Starts a deployment on loopback, sends some calls and tells what it saw.

use std::fmt::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use anyhow::{Context, Result};
use sardinepin_config::{Service, ServiceKind};
use serde_json::Value;

use crate::fleet::{Deployment, Fleet, Plan};
use crate::load::{self, Report};

/// The deployment file that is taken if none is named, from the root of the workspace.
const DEPLOYMENT: &str = "sample_configs/kveldsskole/deployment.yaml";

/// How many calls are open at once.
const CONCURRENCY: usize = 16;

/// The share of keyed calls that are sent twice, in thousandths.
const COPIES_MILLI: u32 = 200;

/// Settings of the demo.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The deployment file.
    pub deployment: PathBuf,
    /// How many entries are started.
    pub entries: usize,
    /// How many calls are made.
    pub requests: u64,
    /// The seed that calls are drawn from.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
        Self {
            deployment: root.unwrap_or(Path::new(".")).join(DEPLOYMENT),
            entries: 3,
            requests: 600,
            seed: 1,
        }
    }
}

/// What the demo saw.
#[derive(Debug)]
pub struct Seen {
    processes: usize,
    report: Report,
    status: Vec<Value>,
    ended: Vec<(String, ExitStatus)>,
}

/// Runs the demo; nothing is left running.
///
/// # Errors
///
/// Fails if the deployment cannot be read, started, called or stopped.
pub async fn run(settings: Settings) -> Result<Seen> {
    let deployment = Deployment::read(&settings.deployment)?;
    let load = load_settings(&deployment, &settings)?;
    let plan = Plan {
        deployment,
        entries: settings.entries,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await?;
    let load = load::Settings {
        entries: fleet.entry_addresses(),
        ..load
    };
    let report = load::run(load).await?;
    let mut status = Vec::new();
    for entry in &fleet.entries {
        status.push(fleet.read(entry, "/v1/status").await?);
    }
    let processes = 1 + fleet.upstreams.len() + fleet.agents.len() + fleet.entries.len();
    Ok(Seen {
        processes,
        report,
        status,
        ended: fleet.stop().await?,
    })
}

/// Calls what the deployment serves, for all of its organisations.
fn load_settings(deployment: &Deployment, settings: &Settings) -> Result<load::Settings> {
    let services = &deployment.services;
    let of_kind = |kind| services.iter().find(|service| service.kind == kind);
    let plain = of_kind(ServiceKind::Plain).context("no plain service")?;
    let model = of_kind(ServiceKind::Model).context("no model service")?;
    let names = |service: &Service| service.models.first().cloned();
    let organisations = deployment.organisations.iter();
    Ok(load::Settings {
        requests: settings.requests,
        seed: settings.seed,
        concurrency: CONCURRENCY,
        organisations: organisations.map(|one| one.name.clone()).collect(),
        plain_path: plain.paths.first().cloned().context("no path")?,
        keyed_path: plain
            .keyed_paths
            .first()
            .cloned()
            .context("no keyed path")?,
        model: names(model).context("no model")?,
        copies_milli: COPIES_MILLI,
        ..load::Settings::default()
    })
}

impl fmt::Display for Seen {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            sent,
            answered,
            not_run,
            unknown,
            wrong,
            ..
        } = self.report;
        writeln!(out, "{} processes on loopback", self.processes)?;
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
        let mut versions = String::new();
        for status in &self.status {
            let node = status["node"].as_str().unwrap_or_default();
            write!(versions, " {node} {}", status["revision"])?;
        }
        writeln!(out, "configuration version:{versions}")?;
        let failed = self.ended.iter().filter(|(_, status)| !status.success());
        writeln!(
            out,
            "{} nodes stopped, {} of them not in order",
            self.ended.len(),
            failed.count()
        )
    }
}
