//! Finds the rule that a described request matches, and why earlier rules do not match.

use std::sync::Arc;

use sardinepin_config::{
    Decision, RequestAttributes, RuleList, Snapshot, evaluate_rules, explain_rules, find_service,
    organisation_tags,
};

use super::views::{RuleEvaluationView, RuleTestRequest, RuleTestResponse};

/// Evaluates a described request against the rules in force, or against those that it includes.
pub(crate) fn test_rules(snapshot: &Snapshot, request: &RuleTestRequest) -> RuleTestResponse {
    let list = match &request.rules {
        Some(rules) => Arc::new(RuleList {
            rules: rules.clone(),
        }),
        None => snapshot.rules(),
    };
    let organisation = snapshot.organisation(&request.organisation);
    let configured_tags = organisation_tags(organisation.map(Arc::as_ref));
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
    let attributes = RequestAttributes {
        organisation: &request.organisation,
        tags: request.tags.as_deref().unwrap_or(configured_tags),
        service: &service,
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
    };
    let rules = explain_rules(&list, &attributes)
        .into_iter()
        .map(|evaluation| RuleEvaluationView {
            rule: evaluation.rule,
            mismatch: evaluation.mismatch,
        })
        .collect();
    let Decision {
        rule,
        class,
        weight,
        limit,
        deadline_ms,
        refuse,
    } = evaluate_rules(&list, &attributes);
    RuleTestResponse {
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
