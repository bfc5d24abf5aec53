//! Reads from the logs of nodes when configuration revisions came into force.

use std::time::UNIX_EPOCH;

use sardinepin_common::{Millis, Revision};
use serde_json::Value;

/// Returns the revisions that a node put into force, each with its wall-clock time.
pub(super) fn applied_revisions(output: &str) -> Vec<(Revision, Millis)> {
    output.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<(Revision, Millis)> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line.get("event")?.as_str()? != "config_in_force" {
        return None;
    }
    let revision = Revision(line.get("revision")?.as_u64()?);
    let time = humantime::parse_rfc3339(line.get("time")?.as_str()?).ok()?;
    let since_epoch = time.duration_since(UNIX_EPOCH).ok()?;
    Some((
        revision,
        Millis(u64::try_from(since_epoch.as_millis()).ok()?),
    ))
}

/// Returns the time from `written` until a node had at least `revision` in force; `None` if it
/// never had.
pub(super) fn lag(
    applied: &[(Revision, Millis)],
    revision: Revision,
    written: Millis,
) -> Option<Millis> {
    applied
        .iter()
        .filter(|(applied_revision, _)| *applied_revision >= revision)
        .map(|(_, at)| at.since(written))
        .min()
}
