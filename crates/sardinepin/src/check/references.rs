//! Checks that the parts of a deployment file fit together.

use sardinepin_common::{Map, Set};
use sardinepin_config::{Group, Service, Upstream, ValidationError};

use super::deployment::Deployment;

/// Returns every fault of what the parts of a deployment say of each other.
pub(crate) fn reference_faults(deployment: &Deployment) -> Vec<ValidationError> {
    let mut faults = service_faults(deployment);
    faults.extend(upstream_faults(deployment));
    faults.extend(group_faults(deployment));
    faults.extend(rule_faults(deployment));
    faults
}

/// A call must lead to one service, and a service must be reached by some call.
fn service_faults(deployment: &Deployment) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for (at, service) in deployment.services.iter().enumerate() {
        let field = format!("services[{at}]");
        if service.paths.is_empty() {
            faults.push(fault(&field, "no call leads here; paths is needed"));
        }
        let before = &deployment.services[..at];
        faults.extend(shared_faults(&field, service, before));
        faults.extend(path_faults(&format!("{field}.paths"), &service.paths));
        for (number, keyed) in service.keyed_paths.iter().enumerate() {
            if !service.paths.iter().any(|path| keyed.starts_with(path)) {
                faults.push(fault(
                    &format!("{field}.keyed_paths[{number}]"),
                    &format!("'{keyed}' is under none of the service's paths"),
                ));
            }
        }
    }
    faults
}

/// Two services may share a path only if the model of a call tells them apart.
fn shared_faults(field: &str, service: &Service, before: &[Service]) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for (other_at, other) in before.iter().enumerate() {
        let apart = !service.models.is_empty()
            && !other.models.is_empty()
            && service
                .models
                .iter()
                .all(|model| !other.models.contains(model));
        for (number, path) in service.paths.iter().enumerate() {
            if !apart && other.paths.contains(path) {
                faults.push(fault(
                    &format!("{field}.paths[{number}]"),
                    &format!(
                        "'{path}' leads to services[{other_at}] too, and no model tells them apart"
                    ),
                ));
            }
        }
    }
    faults
}

fn path_faults(field: &str, paths: &[String]) -> Vec<ValidationError> {
    paths
        .iter()
        .enumerate()
        .filter(|(_, path)| !path.starts_with('/'))
        .map(|(number, path)| {
            fault(
                &format!("{field}[{number}]"),
                &format!("'{path}'; a path begins with /"),
            )
        })
        .collect()
}

/// Two agents cannot share an address, and an upstream's group must know it.
fn upstream_faults(deployment: &Deployment) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    let mut addresses = Map::default();
    for (at, upstream) in deployment.upstreams.iter().enumerate() {
        let field = format!("upstreams[{at}]");
        if upstream.zone.is_empty() {
            faults.push(fault(
                &format!("{field}.zone"),
                "an availability zone is needed",
            ));
        }
        if let Some(other) = addresses.insert(upstream.address.as_str(), at) {
            faults.push(fault(
                &format!("{field}.address"),
                &format!(
                    "{} is the address of upstreams[{other}] too",
                    upstream.address
                ),
            ));
        }
        if let Some(group) = &upstream.group
            && !is_rank(deployment, group, upstream)
        {
            faults.push(fault(
                &format!("{field}.group"),
                &format!("'{group}' is no group that has this upstream among its ranks"),
            ));
        }
    }
    faults
}

fn is_rank(deployment: &Deployment, group: &str, upstream: &Upstream) -> bool {
    deployment
        .groups
        .iter()
        .any(|found| found.name == group && found.ranks.contains(&upstream.name))
}

/// The ranks of a group are upstreams of its service that say so.
fn group_faults(deployment: &Deployment) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for (at, group) in deployment.groups.iter().enumerate() {
        let field = format!("groups[{at}]");
        let known = deployment
            .services
            .iter()
            .any(|found| found.name == group.service);
        if !known {
            faults.push(fault(
                &format!("{field}.service"),
                &format!("'{}' is no service", group.service),
            ));
        }
        if group.ranks.is_empty() {
            faults.push(fault(
                &format!("{field}.ranks"),
                "at least one rank is needed",
            ));
        }
        for (rank, name) in group.ranks.iter().enumerate() {
            let message = rank_fault(deployment, group, rank, name);
            faults
                .extend(message.map(|message| fault(&format!("{field}.ranks[{rank}]"), &message)));
        }
    }
    faults
}

fn rank_fault(deployment: &Deployment, group: &Group, rank: usize, name: &str) -> Option<String> {
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
    let agrees = upstream.group.as_ref() == Some(&group.name);
    (!agrees).then(|| format!("the upstream '{name}' does not name this group"))
}

/// Rules name services and organisations that there are.
fn rule_faults(deployment: &Deployment) -> Vec<ValidationError> {
    let services: Set<&str> = deployment
        .services
        .iter()
        .map(|found| found.name.as_str())
        .collect();
    let organisations: Set<&str> = deployment
        .organisations
        .iter()
        .map(|found| found.name.as_str())
        .collect();
    let mut faults = Vec::new();
    for (at, rule) in deployment.rules.iter().enumerate() {
        let field = format!("rules[{at}].when");
        for (number, name) in rule.when.services.iter().enumerate() {
            if !services.contains(name.as_str()) {
                faults.push(fault(
                    &format!("{field}.services[{number}]"),
                    &format!("'{name}' is no service"),
                ));
            }
        }
        for (number, name) in rule.when.organisations.iter().enumerate() {
            if !organisations.contains(name.as_str()) {
                faults.push(fault(
                    &format!("{field}.organisations[{number}]"),
                    &format!("'{name}' is no organisation"),
                ));
            }
        }
    }
    faults
}

fn fault(field: &str, message: &str) -> ValidationError {
    ValidationError {
        field: field.to_owned(),
        message: message.to_owned(),
    }
}
