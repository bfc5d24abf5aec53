//! Configuration that operators change at run time: rules, services, upstreams, organisations and
//! rank groups, their validation, and the snapshot that a node has in force.

mod kinds;
mod matching;
mod routing;
mod rules;
mod snapshot;
mod validation;

pub use kinds::{Group, Organisation, Service, ServiceKind, Upstream, object_key};
pub use matching::{
    Decision, RequestAttributes, RuleEvaluation, evaluate_rules, explain_rules, organisation_tags,
};
pub use routing::{find_service, longest_prefix_len};
pub use rules::{Action, Condition, HeaderMatch, Limit, Rule, RuleList};
pub use snapshot::{ConfigEntry, ConfigUpdate, MergeResult, Snapshot, parse_value};
pub use validation::{ValidationError, validate_rules, validate_snapshot};
