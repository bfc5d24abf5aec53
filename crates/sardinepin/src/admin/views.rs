//! JSON types of the administration API, shared by its server and `ctl`.

use sardinepin_common::Revision;
use sardinepin_config::{Limit, Rule};
use sardinepin_membership::{MemberStatus, MemberView};
use sardinepin_protocol::{Load, Role, UpstreamState};
use serde::{Deserialize, Serialize};

/// The rule list with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RulesView {
    /// The revision of the list's last write; 0 if there is no list.
    pub revision: Revision,
    /// The rules in the order in which they are evaluated.
    pub rules: Vec<Rule>,
}

/// The response to a change that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedView {
    /// The revision from which the change is in force.
    pub revision: Revision,
}

/// A request to wait until a change is in force on every live node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaitRequest {
    /// The revision that every live node must report.
    pub revision: Revision,
    /// The maximum wait in milliseconds; the server caps it at 30 seconds.
    pub wait_ms: u64,
}

/// A request that an operator describes in order to see which rule it matches.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename = "TestRequest", deny_unknown_fields, default)]
pub struct RuleTestRequest {
    /// The name of the organisation that makes the request.
    pub organisation: String,
    /// The organisation's tags; if absent, those of the configuration.
    pub tags: Option<Vec<String>>,
    /// The service; if absent, the one that serves the path and model.
    pub service: Option<String>,
    /// The model that the request's body names, if any; serves to find the service.
    pub model: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The request path without the query.
    pub path: String,
    /// The header fields as pairs of name and value, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Rules to test instead of those in force.
    pub rules: Option<Vec<Rule>>,
}

/// The result of one rule for a described request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleEvaluationView {
    /// The name of the rule.
    pub rule: String,
    /// The first condition that is not met; `None` if the rule matches.
    #[serde(rename = "missed")]
    pub mismatch: Option<String>,
}

/// The decision of the rules on a described request, and how it comes about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "TestAnswer")]
pub struct RuleTestResponse {
    /// The revision of the configuration that the request was tested against.
    pub revision: Revision,
    /// The service that the rules were evaluated for; empty if none serves the request.
    pub service: String,
    /// The name of the rule that applies; `None` if the default applies.
    pub rule: Option<String>,
    /// The scheduling class of the request.
    pub class: String,
    /// The weight of the class's requests.
    pub weight: u32,
    /// The rate limit of the organisation, if the rule sets one.
    pub limit: Option<Limit>,
    /// The deadline in milliseconds after arrival, if the rule sets one.
    pub deadline_ms: Option<u64>,
    /// Whether the rule refuses the request.
    pub refuse: bool,
    /// The rules up to and including the one that applies, in their order.
    pub rules: Vec<RuleEvaluationView>,
}

/// A load report with its age.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadView {
    /// The load that the agent reported.
    #[serde(flatten)]
    pub load: Load,
    /// The time since the report arrived, in milliseconds; excludes the age that it had when sent.
    pub since_ms: u64,
}

/// An upstream's configuration, and its status as the responding node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The upstream's name.
    pub name: String,
    /// The name of the service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The address of its agent.
    pub address: String,
    /// The rank group that it is a member of, if any.
    pub group: Option<String>,
    /// The configured state.
    pub state: UpstreamState,
    /// The revision of its last change.
    pub revision: Revision,
    /// Whether the responding node is connected to its agent; `None` if it keeps no link to it.
    pub linked: Option<bool>,
    /// Whether its agent has announced that it is leaving.
    pub leaving: bool,
    /// The last load report; `None` until one arrives.
    pub load: Option<LoadView>,
}

/// A node as the responding node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// The node's name.
    pub name: String,
    /// Whether it is an entry or an agent.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// Its membership status.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// Whether a change must be in force on this node before it counts as in force everywhere.
    pub live: bool,
    /// The revision of the configuration that it last reported, if it reported one.
    pub revision: Option<Revision>,
    /// The time since that report or, without one, since the responding node learnt of the status,
    /// in milliseconds; 0 for the responding node itself and for an undiscovered one.
    pub age_ms: u64,
}

impl From<&MemberView> for NodeView {
    fn from(member: &MemberView) -> Self {
        Self {
            name: member.name.clone(),
            role: member.role,
            zone: member.zone.clone(),
            status: member.status,
            live: member.must_confirm(),
            revision: member.revision,
            age_ms: member.revision_age.unwrap_or(member.status_age).0,
        }
    }
}

/// A node's view of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The name of the responding node.
    pub node: String,
    /// The revision of the configuration that is in force on it.
    pub revision: Revision,
    /// Why it is not ready; `None` if it is ready.
    #[serde(rename = "waiting")]
    pub not_ready_reason: Option<String>,
    /// All nodes that it knows of, including itself.
    pub nodes: Vec<NodeView>,
    /// The evacuated availability zones.
    #[serde(default)]
    pub evacuations: Vec<EvacuationView>,
    /// All upstreams of its configuration.
    pub upstreams: Vec<UpstreamView>,
}

/// A quarantined digest: requests with it are refused because they crashed upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// The digest of organisation, service and body, in hexadecimal.
    pub digest: String,
    /// The time until the quarantine ends, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}

/// The configuration of a rank group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// The group's name.
    pub name: String,
    /// The name of the service that it belongs to.
    pub service: String,
    /// The names of its upstreams, in the order of their ranks.
    pub ranks: Vec<String>,
    /// Whether an operator has paused rebalancing.
    pub held: bool,
    /// The revision of its last change.
    pub revision: Revision,
}

/// An evacuated availability zone: no requests are sent to its upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// The zone.
    pub zone: String,
    /// The revision from which it is evacuated.
    pub revision: Revision,
}

/// The result of applying one object of a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedView {
    /// The object's key in the configuration, such as `services/app`.
    pub key: String,
    /// The revision of its last write.
    pub revision: Revision,
    /// Whether it was written; `false` if the stored object was already the same.
    pub written: bool,
}
