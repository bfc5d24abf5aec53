//! What a node has used and counted so far.

use anyhow::{Context, Result};
use bytes::Bytes;
use hyper::Method;
use sardinepin_standins::fleet::Node;
use sardinepin_standins::http::HttpClient;

/// The kernel's clock ticks in a second, in which it counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The bytes of a kibibyte, in which the kernel counts resident memory.
const KIB: f64 = 1024.0;

/// What a node has used and counted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    /// Bytes of datagrams and fetches, both ways.
    pub(super) bytes: f64,
    /// Bytes of fetches among these, as received.
    pub(super) fetched: f64,
    /// Datagrams, both ways.
    pub(super) messages: f64,
    /// How many times the node was given up by others while it was there.
    pub(super) doubted: f64,
    /// How many nodes it sees.
    pub(super) present: f64,
    /// The revision that it has in force.
    pub(super) revision: f64,
    /// Processor time, in seconds.
    pub(super) cpu: f64,
    /// Resident memory, in bytes.
    pub(super) rss: f64,
}

/// Asks a node and the kernel.
pub(super) async fn usage(caller: &HttpClient, node: &Node) -> Result<Usage> {
    let admin = node
        .admin_address()
        .context("the node names no admin address")?;
    let answer = caller
        .request(Method::GET, admin, "/metrics", &[], Bytes::new())
        .await?;
    let text = String::from_utf8_lossy(&answer.body);
    let pid = node.child.pid();
    Ok(Usage {
        bytes: sum(&text, "sardinepin_cluster_bytes_total"),
        fetched: sum(&text, "sardinepin_cluster_bytes_total{way=\"fetched\"}"),
        messages: sum(&text, "sardinepin_cluster_datagrams_total"),
        doubted: sum(&text, "sardinepin_members_doubted_total"),
        present: sum(&text, "sardinepin_members_present"),
        revision: sum(&text, "sardinepin_config_revision"),
        cpu: cpu(pid).context("no processor time")?,
        rss: rss(pid).context("no resident memory")?,
    })
}

/// Returns the sum of a metric over its labels.
fn sum(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter(|rest| rest.starts_with(['{', ' ']))
        .filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn cpu(pid: i32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command's name ends with the last bracket; user and system time are 12th and 13th after.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

fn rss(pid: i32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}
