//! Formats responses as text.

use sardinepin_config::{Limit, RuleList};
use sardinepin_membership::MemberStatus;
use sardinepin_protocol::{Role, UpstreamState};
use serde::Serialize;
use serde_json::Value;

use super::client::parse_response;
use super::error::CtlError;
use super::operation::Operation;
use crate::admin::{
    AcceptedView, AppliedView, EvacuationView, GroupView, LoadView, NodeView, QuarantineView,
    RuleTestResponse, RulesView, StatusView, UpstreamView,
};

/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Formats the response to `operation` as text.
pub(crate) fn render(operation: &Operation, response: &Value) -> Result<String, CtlError> {
    let response = response.clone();
    match operation {
        Operation::GetRules => rules(parse_response(response)?),
        Operation::TestRules(_) => Ok(test_result(&parse_response(response)?)),
        Operation::Status => Ok(status(&parse_response(response)?)),
        Operation::Upstreams => Ok(upstreams(&parse_response::<Vec<_>>(response)?)),
        Operation::Quarantine => Ok(quarantine(&parse_response::<Vec<_>>(response)?)),
        Operation::Groups => Ok(groups(&parse_response::<Vec<_>>(response)?)),
        Operation::Evacuations => Ok(evacuations(&parse_response::<Vec<_>>(response)?)),
        Operation::Lift(digest) => Ok(format!("{digest} may pass again\n")),
        Operation::Apply(_) => Ok(applied(&parse_response::<Vec<_>>(response)?)),
        Operation::PutRules(..)
        | Operation::PutUpstream(..)
        | Operation::SetState(..)
        | Operation::Hold(..)
        | Operation::Evacuate(_)
        | Operation::Restore(_) => {
            let accepted: AcceptedView = parse_response(response)?;
            Ok(format!("accepted as of revision {}\n", accepted.revision))
        }
    }
}

/// Formats the rule list so that it can be edited and given to `rules put`.
fn rules(view: RulesView) -> Result<String, CtlError> {
    let revision = view.revision;
    let list = yaml(&RuleList { rules: view.rules })?;
    Ok(format!("# revision {revision}\n{list}"))
}

fn test_result(response: &RuleTestResponse) -> String {
    let mut text = format!("configuration revision {}\n", response.revision);
    for result in &response.rules {
        match &result.mismatch {
            Some(mismatch) => text.push_str(&format!("  no   {}: {mismatch}\n", result.rule)),
            None => text.push_str(&format!("  yes  {}\n", result.rule)),
        }
    }
    match &response.rule {
        Some(rule) => text.push_str(&format!("rule '{rule}' decides: ")),
        None => text.push_str("no rule matches; the default decides: "),
    }
    if response.refuse {
        text.push_str("refused\n");
        return text;
    }
    text.push_str(&format!(
        "class {}, weight {}",
        response.class, response.weight
    ));
    if let Some(Limit { per_second, burst }) = response.limit {
        text.push_str(&format!(", limit {per_second} a second, burst {burst}"));
    }
    if let Some(deadline) = response.deadline_ms {
        text.push_str(&format!(", deadline {deadline} ms"));
    }
    text.push('\n');
    text
}

fn status(view: &StatusView) -> String {
    let readiness = match &view.not_ready_reason {
        None => "ready".to_owned(),
        Some(reason) => format!("not ready: {reason}"),
    };
    let summary = format!(
        "{} at revision {}, {readiness}\n\n",
        view.node, view.revision
    );
    let nodes = view.nodes.iter().map(node_row);
    let nodes = table(
        &[
            "NODE", "ROLE", "ZONE", "REVISION", "STANDING", "COUNTS", "HEARD",
        ],
        nodes,
    );
    let mut text = format!("{summary}{nodes}\n{}", upstreams(&view.upstreams));
    if !view.evacuations.is_empty() {
        text.push('\n');
        text.push_str(&evacuations(&view.evacuations));
    }
    text
}

fn evacuations(views: &[EvacuationView]) -> String {
    let rows = views
        .iter()
        .map(|view| vec![view.zone.clone(), view.revision.to_string()]);
    table(&["EVACUATED ZONE", "REVISION"], rows)
}

fn node_row(node: &NodeView) -> Vec<String> {
    let role = match node.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    };
    vec![
        node.name.clone(),
        role.to_owned(),
        node.zone.clone(),
        node.revision
            .map_or_else(no_value, |revision| revision.to_string()),
        member_status(node.status).to_owned(),
        yes_or_no(node.live),
        format!("{} ms ago", node.age_ms),
    ]
}

fn member_status(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Undiscovered => "unheard",
        MemberStatus::Alive => "alive",
        MemberStatus::Suspected => "suspected",
        MemberStatus::Leaving => "leaving",
        MemberStatus::Gone => "gone",
    }
}

fn upstreams(views: &[UpstreamView]) -> String {
    let rows = views.iter().map(|view| {
        vec![
            view.name.clone(),
            view.service.clone(),
            view.zone.clone(),
            view.address.clone(),
            upstream_state(view).to_owned(),
            view.linked.map_or_else(no_value, yes_or_no),
            view.load.as_ref().map_or_else(no_value, load),
            view.load.map_or_else(no_value, |load| age(&load)),
        ]
    });
    let headings = [
        "UPSTREAM",
        "SERVICE",
        "ZONE",
        "AGENT",
        "STATE",
        "LINK",
        "RUNNING/WAITING/SLOTS",
        "AGE",
    ];
    table(&headings, rows)
}

/// Returns the upstream's state; `leaving` if an active upstream has announced that it stops.
fn upstream_state(view: &UpstreamView) -> &'static str {
    match view.state {
        UpstreamState::Active if view.leaving => "leaving",
        UpstreamState::Active => "active",
        UpstreamState::Draining => "draining",
        UpstreamState::Retired => "retired",
    }
}

fn load(view: &LoadView) -> String {
    let load = view.load;
    format!("{}/{}/{}", load.running, load.waiting, load.slots)
}

/// Formats the age of a load report, which includes its age when the agent sent it.
fn age(view: &LoadView) -> String {
    format!("{} ms", view.since_ms + u64::from(view.load.age_ms))
}

fn quarantine(views: &[QuarantineView]) -> String {
    let rows = views
        .iter()
        .map(|view| vec![view.digest.clone(), format!("{} ms", view.remaining_ms)]);
    table(&["DIGEST", "LEFT"], rows)
}

fn groups(views: &[GroupView]) -> String {
    let rows = views.iter().map(|view| {
        vec![
            view.name.clone(),
            view.service.clone(),
            view.ranks.len().to_string(),
            yes_or_no(view.held),
            view.revision.to_string(),
        ]
    });
    table(&["GROUP", "SERVICE", "RANKS", "HELD", "REVISION"], rows)
}

fn applied(views: &[AppliedView]) -> String {
    let written: Vec<&AppliedView> = views.iter().filter(|view| view.written).collect();
    let mut text = String::new();
    for view in &written {
        text.push_str(&format!("{} as of revision {}\n", view.key, view.revision));
    }
    let unchanged = views.len() - written.len();
    text.push_str(&format!(
        "{} written, {unchanged} as they stood\n",
        written.len()
    ));
    text
}

/// Formats rows as a table; each column is as wide as its widest cell.
fn table(headings: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let headings = headings.iter().map(|text| (*text).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(headings).chain(rows).collect();
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn no_value() -> String {
    "-".to_owned()
}

fn yaml<T: Serialize>(value: &T) -> Result<String, CtlError> {
    serde_yaml_ng::to_string(value).map_err(|error| CtlError::RequestFailed(error.to_string()))
}
