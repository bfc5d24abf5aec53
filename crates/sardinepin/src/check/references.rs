//! Checks the references between the parts of a deployment file.

use sardinepin_common::{Map, Set};
use sardinepin_config::{Group, Service, Upstream, ValidationError};

use super::deployment::Deployment;

/// Returns the errors for all inconsistent references between the parts of a deployment.
pub(crate) fn reference_errors(deployment: &Deployment) -> Vec<ValidationError> {
    let mut errors = service_errors(deployment);
    errors.extend(upstream_errors(deployment));
    errors.extend(group_errors(deployment));
    errors.extend(rule_errors(deployment));
    errors
}

/// Checks that each service has a path, and that each request leads to at most one service.
fn service_errors(deployment: &Deployment) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (index, service) in deployment.services.iter().enumerate() {
        let field = format!("services[{index}]");
        if service.paths.is_empty() {
            errors.push(validation_error(
                &field,
                "no call leads here; paths is needed",
            ));
        }
        let earlier = &deployment.services[..index];
        errors.extend(shared_path_errors(&field, service, earlier));
        errors.extend(path_errors(&format!("{field}.paths"), &service.paths));
        for (number, keyed) in service.keyed_paths.iter().enumerate() {
            if !service.paths.iter().any(|path| keyed.starts_with(path)) {
                errors.push(validation_error(
                    &format!("{field}.keyed_paths[{number}]"),
                    &format!("'{keyed}' is under none of the service's paths"),
                ));
            }
        }
    }
    errors
}

/// Checks that services share a path only if their models are distinct, since the model of a
/// request then selects the service.
fn shared_path_errors(field: &str, service: &Service, earlier: &[Service]) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (other_index, other) in earlier.iter().enumerate() {
        let distinct_models = !service.models.is_empty()
            && !other.models.is_empty()
            && service
                .models
                .iter()
                .all(|model| !other.models.contains(model));
        for (number, path) in service.paths.iter().enumerate() {
            if !distinct_models && other.paths.contains(path) {
                errors.push(validation_error(
                    &format!("{field}.paths[{number}]"),
                    &format!(
                        "'{path}' leads to services[{other_index}] too, and no model tells them apart"
                    ),
                ));
            }
        }
    }
    errors
}

fn path_errors(field: &str, paths: &[String]) -> Vec<ValidationError> {
    paths
        .iter()
        .enumerate()
        .filter(|(_, path)| !path.starts_with('/'))
        .map(|(number, path)| {
            validation_error(
                &format!("{field}[{number}]"),
                &format!("'{path}'; a path begins with /"),
            )
        })
        .collect()
}

/// Checks that each upstream has a zone, an address of its own and, if it names a group, a rank in
/// that group.
fn upstream_errors(deployment: &Deployment) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut index_by_address = Map::default();
    for (index, upstream) in deployment.upstreams.iter().enumerate() {
        let field = format!("upstreams[{index}]");
        if upstream.zone.is_empty() {
            errors.push(validation_error(
                &format!("{field}.zone"),
                "an availability zone is needed",
            ));
        }
        if let Some(previous) = index_by_address.insert(upstream.address.as_str(), index) {
            errors.push(validation_error(
                &format!("{field}.address"),
                &format!(
                    "{} is the address of upstreams[{previous}] too",
                    upstream.address
                ),
            ));
        }
        if let Some(group) = &upstream.group
            && !is_rank_of_group(deployment, group, upstream)
        {
            errors.push(validation_error(
                &format!("{field}.group"),
                &format!("'{group}' is no group that has this upstream among its ranks"),
            ));
        }
    }
    errors
}

fn is_rank_of_group(deployment: &Deployment, group: &str, upstream: &Upstream) -> bool {
    deployment
        .groups
        .iter()
        .any(|found| found.name == group && found.ranks.contains(&upstream.name))
}

/// Checks that each group has a known service and at least one rank, and that its ranks are
/// distinct upstreams of that service that name the group.
fn group_errors(deployment: &Deployment) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (index, group) in deployment.groups.iter().enumerate() {
        let field = format!("groups[{index}]");
        let service_exists = deployment
            .services
            .iter()
            .any(|found| found.name == group.service);
        if !service_exists {
            errors.push(validation_error(
                &format!("{field}.service"),
                &format!("'{}' is no service", group.service),
            ));
        }
        if group.ranks.is_empty() {
            errors.push(validation_error(
                &format!("{field}.ranks"),
                "at least one rank is needed",
            ));
        }
        for (rank, name) in group.ranks.iter().enumerate() {
            let message = rank_error(deployment, group, rank, name);
            errors.extend(
                message
                    .map(|message| validation_error(&format!("{field}.ranks[{rank}]"), &message)),
            );
        }
    }
    errors
}

fn rank_error(deployment: &Deployment, group: &Group, rank: usize, name: &str) -> Option<String> {
    if group.ranks[..rank].iter().any(|other| other == name) {
        return Some(format!("'{name}' is a rank already"));
    }
    let upstream = deployment.upstreams.iter().find(|found| found.name == name);
    let Some(upstream) = upstream else {
        return Some(format!("'{name}' is no upstream"));
    };
    if upstream.service != group.service {
        return Some(format!("'{name}' is of the service '{}'", upstream.service));
    }
    let names_group = upstream.group.as_ref() == Some(&group.name);
    (!names_group).then(|| format!("the upstream '{name}' does not name this group"))
}

/// Checks that the services and organisations that rules match exist.
fn rule_errors(deployment: &Deployment) -> Vec<ValidationError> {
    let services: Set<&str> = deployment
        .services
        .iter()
        .map(|item| item.name.as_str())
        .collect();
    let organisations: Set<&str> = deployment
        .organisations
        .iter()
        .map(|item| item.name.as_str())
        .collect();
    let mut errors = Vec::new();
    for (index, rule) in deployment.rules.iter().enumerate() {
        let field = format!("rules[{index}].when");
        for (number, name) in rule.when.services.iter().enumerate() {
            if !services.contains(name.as_str()) {
                errors.push(validation_error(
                    &format!("{field}.services[{number}]"),
                    &format!("'{name}' is no service"),
                ));
            }
        }
        for (number, name) in rule.when.organisations.iter().enumerate() {
            if !organisations.contains(name.as_str()) {
                errors.push(validation_error(
                    &format!("{field}.organisations[{number}]"),
                    &format!("'{name}' is no organisation"),
                ));
            }
        }
    }
    errors
}

fn validation_error(field: &str, message: &str) -> ValidationError {
    ValidationError {
        field: field.to_owned(),
        message: message.to_owned(),
    }
}
