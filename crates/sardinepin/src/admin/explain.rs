//! Which rule a described request meets, and why the earlier ones did not match.

use std::sync::Arc;

use sardinepin_config::{
    Decision, RequestAttributes, RuleList, Snapshot, evaluate_rules, explain_rules, find_service,
    organisation_tags,
};

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
    let known = organisation_tags(organisation.map(Arc::as_ref));
    let service = match &request.service {
        Some(service) => service.clone(),
        None => {
            let model = request.model.as_deref().unwrap_or_default();
            let found = find_service(snapshot, &request.path, model);
            found
                .map(|service| service.name.clone())
                .unwrap_or_default()
        }
    };
    let facts = RequestAttributes {
        organisation: &request.organisation,
        tags: request.tags.as_deref().unwrap_or(known),
        service: &service,
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
    };
    let rules = explain_rules(&list, &facts)
        .into_iter()
        .map(|line| MatchView {
            rule: line.rule,
            missed: line.mismatch,
        })
        .collect();
    let Decision {
        rule,
        class,
        weight,
        limit,
        deadline_ms,
        refuse,
    } = evaluate_rules(&list, &facts);
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
