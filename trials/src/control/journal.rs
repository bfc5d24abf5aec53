//! When changes came into force, as the nodes' logs say.

use std::time::UNIX_EPOCH;

use sardinepin_common::{Millis, Revision};
use serde_json::Value;

/// Returns the revisions that a node put into force, with the wall-clock times.
pub(super) fn in_force(output: &str) -> Vec<(Revision, Millis)> {
    output.lines().filter_map(record).collect()
}

fn record(line: &str) -> Option<(Revision, Millis)> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line.get("event")?.as_str()? != "config_in_force" {
        return None;
    }
    let revision = Revision(line.get("revision")?.as_u64()?);
    let time = humantime::parse_rfc3339(line.get("time")?.as_str()?).ok()?;
    let since = time.duration_since(UNIX_EPOCH).ok()?;
    Some((revision, Millis(u64::try_from(since.as_millis()).ok()?)))
}

/// Returns how long after `written` a node had at least `revision` in force.
pub(super) fn lag(
    journal: &[(Revision, Millis)],
    revision: Revision,
    written: Millis,
) -> Option<Millis> {
    journal
        .iter()
        .filter(|(held, _)| *held >= revision)
        .map(|(_, at)| at.since(written))
        .min()
}
