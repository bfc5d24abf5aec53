//! The JSON shapes of the administration API, for its server and its client.

use sardinepin_common::Revision;
use sardinepin_config::{Limit, Rule};
use sardinepin_membership::{MemberStatus, MemberView};
use sardinepin_protocol::{Load, Role, UpstreamState};
use serde::{Deserialize, Serialize};

/// The rule list with its version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RulesView {
    /// The revision of the list's last write; 0 if there is none.
    pub revision: Revision,
    /// The rules, first to last.
    pub rules: Vec<Rule>,
}

/// The answer to a change that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrittenView {
    /// The revision from which the change is in force.
    pub revision: Revision,
}

/// A question whether a change is in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaitRequest {
    /// The revision that every live node should report.
    pub revision: Revision,
    /// How long to wait for it, in milliseconds; 30 seconds at most.
    pub wait_ms: u64,
}

/// A request as an operator describes it, to see which rule it meets.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TestRequest {
    /// The organisation.
    pub organisation: String,
    /// The organisation's tags; those of the configuration, if left out.
    pub tags: Option<Vec<String>>,
    /// The service; the one that takes the path and model, if left out.
    pub service: Option<String>,
    /// The model that the call names, if it names one.
    pub model: Option<String>,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The header fields.
    pub headers: Vec<(String, String)>,
    /// Rules to test in place of those in force.
    pub rules: Option<Vec<Rule>>,
}

/// One rule that a described request was held against.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MatchView {
    /// The rule's name.
    pub rule: String,
    /// The first condition that did not hold; `None` if the rule matched.
    pub missed: Option<String>,
}

/// What the rules decide for a described request, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TestAnswer {
    /// The revision of the configuration that was asked.
    pub revision: Revision,
    /// The service.
    pub service: String,
    /// The name of the rule that decides; `None` if none matched.
    pub rule: Option<String>,
    /// The class.
    pub class: String,
    /// The weight.
    pub weight: u32,
    /// The limit on the organisation.
    pub limit: Option<Limit>,
    /// The deadline in milliseconds, if the rule gives one.
    pub deadline_ms: Option<u64>,
    /// Whether the request is refused.
    pub refuse: bool,
    /// The rules up to the one that decides, in their order.
    pub rules: Vec<MatchView>,
}

/// A load report with its age.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadView {
    /// The report.
    #[serde(flatten)]
    pub load: Load,
    /// The time since the report came, in milliseconds.
    pub since_ms: u64,
}

/// An upstream as configured, and what the asked node sees of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The upstream's name.
    pub name: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The address of its agent.
    pub address: String,
    /// The rank group that it is a member of, if any.
    pub group: Option<String>,
    /// The state that operators want it in.
    pub state: UpstreamState,
    /// The revision of its last change.
    pub revision: Revision,
    /// Whether the asked node has a link to its agent; `None` if it keeps none.
    pub linked: Option<bool>,
    /// Whether its agent says that it is leaving.
    pub leaving: bool,
    /// The last load report, if one came.
    pub load: Option<LoadView>,
}

/// A node as the asked node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// The node's name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// How it stands.
    pub standing: MemberStatus,
    /// Whether a change is only in force everywhere once it is in force here.
    pub live: bool,
    /// The revision of the configuration that it last said it has, if it said so.
    pub revision: Option<Revision>,
    /// The time since it said so, in milliseconds; 0 for the asked node.
    pub age_ms: u64,
}

impl From<&MemberView> for NodeView {
    fn from(row: &MemberView) -> Self {
        Self {
            name: row.name.clone(),
            role: row.role,
            zone: row.zone.clone(),
            standing: row.status,
            live: row.must_confirm(),
            revision: row.revision,
            age_ms: row.revision_age.unwrap_or(row.status_age).0,
        }
    }
}

/// What a node knows of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The name of the asked node.
    pub node: String,
    /// The revision of the configuration that it has in force.
    pub revision: Revision,
    /// Why it is not ready; `None` if it is.
    pub waiting: Option<String>,
    /// All nodes that it knows of, itself among them.
    pub nodes: Vec<NodeView>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamView>,
}

/// A digest whose requests are held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// The digest of organisation, service and body.
    pub digest: String,
    /// The time left, in milliseconds.
    pub left_ms: u64,
}

/// A rank group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// The group's name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Its upstreams in the order of their ranks.
    pub ranks: Vec<String>,
    /// Whether operators hold rebalancing.
    pub held: bool,
    /// The revision of its last change.
    pub revision: Revision,
}

/// What became of one object of a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedView {
    /// The object's key.
    pub key: String,
    /// The revision of its last write.
    pub revision: Revision,
    /// Whether it was written; `false` if it stood as the file has it.
    pub written: bool,
}
