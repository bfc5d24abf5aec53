//! Reads the metrics and resource usage of a node.

use anyhow::{Context, Result};
use bytes::Bytes;
use hyper::Method;
use sardinepin_standins::fleet::Node;
use sardinepin_standins::http::HttpClient;

/// The kernel's unit of processor time, in clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// The kernel's unit of resident memory, in bytes.
const BYTES_PER_KIB: f64 = 1024.0;

/// The metrics and resource usage of a node.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    /// Bytes of datagrams and fetches, sent and received.
    pub(super) bytes: f64,
    /// Bytes received in fetches; `bytes` includes them.
    pub(super) fetched: f64,
    /// Datagrams, sent and received.
    pub(super) messages: f64,
    /// How often other nodes considered this node gone while it was running.
    pub(super) suspicions: f64,
    /// The number of nodes that this node considers present.
    pub(super) present: f64,
    /// The configuration revision in force.
    pub(super) revision: f64,
    /// Processor time, in seconds.
    pub(super) cpu: f64,
    /// Resident memory, in bytes.
    pub(super) rss: f64,
}

/// Reads the usage of a node from its metrics and from `/proc`.
pub(super) async fn read_usage(client: &HttpClient, node: &Node) -> Result<Usage> {
    let admin = node
        .admin_address()
        .context("the node reports no admin address")?;
    let answer = client
        .request(Method::GET, admin, "/metrics", &[], Bytes::new())
        .await?;
    let text = String::from_utf8_lossy(&answer.body);
    let pid = node.child.pid();
    Ok(Usage {
        bytes: metric_sum(&text, "sardinepin_cluster_bytes_total"),
        fetched: metric_sum(&text, "sardinepin_cluster_bytes_total{way=\"fetched\"}"),
        messages: metric_sum(&text, "sardinepin_cluster_datagrams_total"),
        suspicions: metric_sum(&text, "sardinepin_members_doubted_total"),
        present: metric_sum(&text, "sardinepin_members_present"),
        revision: metric_sum(&text, "sardinepin_config_revision"),
        cpu: cpu_seconds(pid).context("cannot read the processor time from /proc/PID/stat")?,
        rss: rss_bytes(pid).context("cannot read the resident memory from /proc/PID/status")?,
    })
}

/// Returns the sum of a metric over all its label values.
fn metric_sum(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter(|rest| rest.starts_with(['{', ' ']))
        .filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Returns the processor time of a process, in seconds.
fn cpu_seconds(pid: i32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name may contain spaces and brackets, so fields are counted after the last
    // bracket: user time is the 12th and system time the 13th.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
fn rss_bytes(pid: i32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
