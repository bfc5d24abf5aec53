//! Configuration that operators change while traffic flows: rules, services, upstreams,
//! organisations and groups, their checks, and the version that a node has in force.

mod check;
mod kinds;
mod matching;
mod routing;
mod rules;
mod snapshot;

pub use check::{Fault, check_rules, check_snapshot};
pub use kinds::{Group, Organisation, Service, ServiceKind, Upstream, object_key};
pub use matching::{Decision, Explained, Facts, decide, explain, tags_of};
pub use routing::{find_service, longest_prefix};
pub use rules::{Action, Condition, HeaderMatch, Limit, Rule, RuleList};
pub use snapshot::{Entry, Merge, Offer, Snapshot, as_json};
