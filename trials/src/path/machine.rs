//! What the kernel says of a process and of the machine.

use anyhow::{Context, Result};

/// The kibibytes of a mebibyte.
const KIB: f64 = 1_024.0;

/// Returns the resident memory of a process, in mebibytes.
pub(super) fn rss_mb(pid: i32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("no resident memory")?;
    let kib = line.split_whitespace().next().context("an empty line")?;
    Ok(kib.parse::<f64>()? / KIB)
}

/// Returns how many processes have run or waited for a processor, on average over a minute.
pub(super) fn load_average() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().context("an empty file")?;
    Ok(first.parse()?)
}
