//! Tests for the validation of rule lists and deployment files.

use super::deployment::read_deployment;
use super::fields::field_constraints;
use super::rules::read_rules;
use super::{FileKind, detect_kind};
use crate::options::FileErrors;
use crate::options::document::Document;

fn error_lines<T>(result: Result<T, FileErrors>) -> Vec<String> {
    match result {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

fn rule_list_errors(text: &str) -> Vec<String> {
    error_lines(read_rules(&Document {
        file: "r.yaml",
        text,
    }))
}

fn deployment_errors(text: &str) -> Vec<String> {
    error_lines(read_deployment(&Document {
        file: "d.yaml",
        text,
    }))
}

#[test]
fn the_kind_of_a_file_is_detected_from_its_fields() {
    assert_eq!(detect_kind("rules: []\n"), FileKind::Rules);
    assert_eq!(detect_kind("rules: []\ngroups: []\n"), FileKind::Deployment);
    assert_eq!(detect_kind("name: a\n"), FileKind::Settings);
    assert_eq!(detect_kind(": ["), FileKind::Settings);
    let platform = "{\"node\": \"a\", \"bounds\": {}, \"internal-ports\": [1, 2]}";
    assert_eq!(detect_kind(platform), FileKind::PlatformSettings);
}

#[test]
fn invalid_rules_are_reported_with_line_field_and_allowed_values() {
    let text = "\
rules:
  - name: status-first
    when: { paths: [/status] }
    then:
      class: urgent
      weight: 5000
  - name: status-first
    then: { refuse: true, weight: 1 }
  - name: idle
    then: {}
";
    assert_eq!(
        rule_list_errors(text),
        [
            "r.yaml:6: rules[0].then.weight: 5000; 1 to 1000 are allowed",
            "r.yaml:7: rules[1].name: 'status-first' stands twice; names are unique",
            "r.yaml:8: rules[1].then.refuse: a rule that refuses sets nothing else",
            "r.yaml:10: rules[2].then: nothing is done; class, weight, limit, deadline_ms or refuse is needed",
        ]
    );
}

#[test]
fn type_errors_and_unknown_fields_of_rules_are_all_reported() {
    let text = "\
rules:
  - name: a
    when: { path: /x }
    then: { weight: heavy, deadline_ms: 5s }
  - then: { limit: { per_second: 1 } }
";
    assert_eq!(
        rule_list_errors(text),
        [
            "r.yaml:3: rules[0].when.path: unknown field `path`, expected one of `organisations`, \
             `tags`, `services`, `methods`, `paths`, `headers`",
            "r.yaml:4: rules[0].then.weight: invalid type: string \"heavy\", \
             expected a number of shares, 1 to 1000",
            "r.yaml:4: rules[0].then.deadline_ms: invalid type: string \"5s\", \
             expected a number of milliseconds, 1 to 3600000",
            "r.yaml:5: rules[1].then.limit: missing field `burst`, \
             expected a mapping of per_second and burst",
            "r.yaml:5: rules[1]: missing field `name`, expected a mapping of name, when and then",
        ]
    );
}

#[test]
fn all_inconsistencies_of_a_deployment_are_reported() {
    let text = "\
services:
  - { name: app, paths: [/app], keyed_paths: [/other] }
  - { name: app, paths: [/app, bare], retry_milli: 1001 }
  - { name: idle }
upstreams:
  - { name: up-1, service: app, zone: a, address: '10.0.0.1:7000', group: g }
  - { name: up/2, service: none, zone: a, address: '10.0.0.1:7000' }
  - { name: up-3, service: app, address: host }
organisations:
  - { name: '' }
  - { name: one, weight: 0 }
groups:
  - { name: g, service: app, ranks: [up-1, up-1, up-3, up-9] }
rules:
  - { name: r, when: { services: [appp], organisations: [two] }, then: { weight: 0 } }
";
    assert_eq!(
        deployment_errors(text),
        [
            "d.yaml:2: services[0].keyed_paths[0]: '/other' is under none of the service's paths",
            "d.yaml:3: services[1].name: 'app' is the name of services[0] too; names are unique",
            "d.yaml:3: services[1].paths[0]: '/app' leads to services[0] too, and no model tells them apart",
            "d.yaml:3: services[1].paths[1]: 'bare'; a path begins with /",
            "d.yaml:3: services[1].retry_milli: 1001, \
             expected a number of retries in a thousand sends, 0 to 1000",
            "d.yaml:4: services[2]: no call leads here; paths is needed",
            "d.yaml:7: upstreams[1].name: 'up/2'; letters, digits, '-', '_' and '.' are allowed",
            "d.yaml:7: upstreams[1].address: 10.0.0.1:7000 is the address of upstreams[0] too",
            "d.yaml:7: upstreams[1].service: 'none' is no service",
            "d.yaml:8: upstreams[2].zone: an availability zone is needed",
            "d.yaml:8: upstreams[2].address: 'host' is no IP number and port, such as 10.0.0.1:7000",
            "d.yaml:10: organisations[0].name: 0 bytes; 1 to 100 are allowed",
            "d.yaml:11: organisations[1].weight: 0, expected a number of shares, 1 to 1000",
            "d.yaml:13: groups[0].ranks[1]: 'up-1' is a rank already",
            "d.yaml:13: groups[0].ranks[2]: the upstream 'up-3' does not name this group",
            "d.yaml:13: groups[0].ranks[3]: 'up-9' is no upstream",
            "d.yaml:15: rules[0].when.services[0]: 'appp' is no service",
            "d.yaml:15: rules[0].when.organisations[0]: 'two' is no organisation",
            "d.yaml:15: rules[0].then.weight: 0; 1 to 1000 are allowed",
        ]
    );
}

#[test]
fn services_with_distinct_models_may_share_a_path() {
    let text = "\
services:
  - { name: one, kind: model, paths: [/v1/], models: [a] }
  - { name: two, kind: model, paths: [/v1/], models: [b] }
  - { name: three, kind: model, paths: [/v1/], models: [c, a] }
";
    assert_eq!(
        deployment_errors(text),
        [
            "d.yaml:4: services[2].paths[0]: '/v1/' leads to services[0] too, and no model tells them apart"
        ]
    );
}

#[test]
fn the_settings_page_lists_every_deployment_field() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let missing: Vec<String> = field_constraints()
        .iter()
        .map(|field| format!("| `{}` | {} |", field.path, field.constraint.description()))
        .filter(|row| !page.lines().any(|line| line.starts_with(row.as_str())))
        .collect();
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
