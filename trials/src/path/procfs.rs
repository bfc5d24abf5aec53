//! Reads memory and load figures from `/proc`.

use anyhow::{Context, Result};

/// The number of kibibytes in a mebibyte.
const KIB_PER_MIB: f64 = 1_024.0;

/// Returns the resident memory of a process, in mebibytes.
pub(super) fn rss_mb(pid: i32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("/proc/PID/status has no VmRSS line")?;
    let kib = line
        .split_whitespace()
        .next()
        .context("the VmRSS line has no value")?;
    Ok(kib.parse::<f64>()? / KIB_PER_MIB)
}

/// Returns the load average of the last minute.
pub(super) fn load_average() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let one_minute = text
        .split_whitespace()
        .next()
        .context("/proc/loadavg is empty")?;
    Ok(one_minute.parse()?)
}
