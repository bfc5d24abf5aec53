//! Which rule a described request meets, and why the earlier ones did not match.

use std::sync::Arc;

use sardinepin_config::{Decision, Facts, RuleList, Snapshot, decide, explain, tags_of};

use super::views::{MatchView, TestAnswer, TestRequest};

/// Holds a described request against the rules in force, or against those that it brings.
pub(crate) fn explain_request(snapshot: &Snapshot, request: &TestRequest) -> TestAnswer {
    let list = match &request.rules {
        Some(rules) => Arc::new(RuleList {
            rules: rules.clone(),
        }),
        None => snapshot.rules(),
    };
    let organisation = snapshot.organisation(&request.organisation);
    let known = tags_of(organisation.map(Arc::as_ref));
    let service = match &request.service {
        Some(service) => service.clone(),
        None => service_of(snapshot, &request.path),
    };
    let facts = Facts {
        organisation: &request.organisation,
        tags: request.tags.as_deref().unwrap_or(known),
        service: &service,
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
    };
    let rules = explain(&list, &facts)
        .into_iter()
        .map(|line| MatchView {
            rule: line.rule,
            missed: line.missed,
        })
        .collect();
    let Decision {
        rule,
        class,
        weight,
        limit,
        deadline_ms,
        refuse,
    } = decide(&list, &facts);
    TestAnswer {
        revision: snapshot.revision(),
        service,
        rule,
        class,
        weight,
        limit,
        deadline_ms,
        refuse,
        rules,
    }
}

/// Returns the service whose path prefix is the longest, or no name.
fn service_of(snapshot: &Snapshot, path: &str) -> String {
    snapshot
        .services()
        .flat_map(|service| service.paths.iter().map(move |prefix| (prefix, service)))
        .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
        .max_by_key(|(prefix, _)| prefix.len())
        .map(|(_, service)| service.name.clone())
        .unwrap_or_default()
}
