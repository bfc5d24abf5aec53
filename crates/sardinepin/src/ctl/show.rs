//! Answers as text for people.

use sardinepin_config::{Limit, RuleList};
use sardinepin_membership::MemberStatus;
use sardinepin_protocol::{Role, UpstreamState};
use serde::Serialize;
use serde_json::Value;

use super::client::read;
use super::failure::Failure;
use super::order::Order;
use crate::admin::{
    AppliedView, GroupView, LoadView, NodeView, QuarantineView, RulesView, StatusView, TestAnswer,
    UpstreamView, WrittenView,
};

/// The space between two columns.
const GAP: usize = 2;

/// Returns the text for the answer to `order`.
pub(crate) fn show(order: &Order, answer: &Value) -> Result<String, Failure> {
    let answer = answer.clone();
    match order {
        Order::GetRules => rules(read(answer)?),
        Order::TestRules(_) => Ok(explained(&read(answer)?)),
        Order::Status => Ok(status(&read(answer)?)),
        Order::Upstreams => Ok(upstreams(&read::<Vec<_>>(answer)?)),
        Order::Quarantine => Ok(quarantine(&read::<Vec<_>>(answer)?)),
        Order::Groups => Ok(groups(&read::<Vec<_>>(answer)?)),
        Order::Lift(digest) => Ok(format!("{digest} may pass again\n")),
        Order::Apply(_) => Ok(applied(&read::<Vec<_>>(answer)?)),
        Order::PutRules(..) | Order::PutUpstream(..) | Order::SetState(..) | Order::Hold(..) => {
            let written: WrittenView = read(answer)?;
            Ok(format!("accepted as of revision {}\n", written.revision))
        }
    }
}

/// The list can be edited and put again as it is printed.
fn rules(view: RulesView) -> Result<String, Failure> {
    let revision = view.revision;
    let list = yaml(&RuleList { rules: view.rules })?;
    Ok(format!("# revision {revision}\n{list}"))
}

fn explained(answer: &TestAnswer) -> String {
    let mut text = format!("configuration revision {}\n", answer.revision);
    for line in &answer.rules {
        match &line.missed {
            Some(missed) => text.push_str(&format!("  no   {}: {missed}\n", line.rule)),
            None => text.push_str(&format!("  yes  {}\n", line.rule)),
        }
    }
    match &answer.rule {
        Some(rule) => text.push_str(&format!("rule '{rule}' decides: ")),
        None => text.push_str("no rule matches; the default decides: "),
    }
    if answer.refuse {
        text.push_str("refused\n");
        return text;
    }
    text.push_str(&format!("class {}, weight {}", answer.class, answer.weight));
    if let Some(Limit { per_second, burst }) = answer.limit {
        text.push_str(&format!(", limit {per_second} a second, burst {burst}"));
    }
    if let Some(deadline) = answer.deadline_ms {
        text.push_str(&format!(", deadline {deadline} ms"));
    }
    text.push('\n');
    text
}

fn status(view: &StatusView) -> String {
    let ready = match &view.waiting {
        None => "ready".to_owned(),
        Some(why) => format!("not ready: {why}"),
    };
    let node = format!("{} at revision {}, {ready}\n\n", view.node, view.revision);
    let nodes = view.nodes.iter().map(node_row);
    let nodes = table(
        &[
            "NODE", "ROLE", "ZONE", "REVISION", "STANDING", "COUNTS", "HEARD",
        ],
        nodes,
    );
    format!("{node}{nodes}\n{}", upstreams(&view.upstreams))
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
        node.revision.map_or_else(dash, |at| at.to_string()),
        standing(node.standing).to_owned(),
        yes(node.live),
        format!("{} ms ago", node.age_ms),
    ]
}

fn standing(standing: MemberStatus) -> &'static str {
    match standing {
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
            state(view).to_owned(),
            view.linked.map_or_else(dash, yes),
            view.load.as_ref().map_or_else(dash, load),
            view.load.map_or_else(dash, |load| age(&load)),
        ]
    });
    let heads = [
        "UPSTREAM",
        "SERVICE",
        "ZONE",
        "AGENT",
        "STATE",
        "LINK",
        "RUNNING/WAITING/SLOTS",
        "AGE",
    ];
    table(&heads, rows)
}

fn state(view: &UpstreamView) -> &'static str {
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

/// The report's own age when it was sent counts too.
fn age(view: &LoadView) -> String {
    format!("{} ms", view.since_ms + u64::from(view.load.age_ms))
}

fn quarantine(views: &[QuarantineView]) -> String {
    let rows = views
        .iter()
        .map(|view| vec![view.digest.clone(), format!("{} ms", view.left_ms)]);
    table(&["DIGEST", "LEFT"], rows)
}

fn groups(views: &[GroupView]) -> String {
    let rows = views.iter().map(|view| {
        vec![
            view.name.clone(),
            view.service.clone(),
            view.ranks.len().to_string(),
            yes(view.held),
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
    let kept = views.len() - written.len();
    text.push_str(&format!(
        "{} written, {kept} as they stood\n",
        written.len()
    ));
    text
}

/// Writes rows under their heads, each column as wide as its widest cell.
fn table(heads: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let heads = heads.iter().map(|head| (*head).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(heads).chain(rows).collect();
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
            line.push_str(&format!("{cell:<width$}", width = width + GAP));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn dash() -> String {
    "-".to_owned()
}

fn yaml<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_yaml_ng::to_string(value).map_err(|error| Failure::Call(error.to_string()))
}
