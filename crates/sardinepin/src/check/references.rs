//! Checks that the parts of a deployment file fit together.

use sardinepin_common::{Map, Set};
use sardinepin_config::{Fault, Group, Upstream};

use super::deployment::Deployment;

/// Returns every fault of what the parts of a deployment say of each other.
pub(crate) fn reference_faults(deployment: &Deployment) -> Vec<Fault> {
    let mut faults = service_faults(deployment);
    faults.extend(upstream_faults(deployment));
    faults.extend(group_faults(deployment));
    faults.extend(rule_faults(deployment));
    faults
}

/// A call must lead to one service, and a service must be reached by some call.
fn service_faults(deployment: &Deployment) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut paths = Map::default();
    let mut models = Map::default();
    for (at, service) in deployment.services.iter().enumerate() {
        let field = format!("services[{at}]");
        if service.paths.is_empty() && service.models.is_empty() {
            faults.push(fault(
                &field,
                "no call leads here; paths or models is needed",
            ));
        }
        faults.extend(taken_faults(
            &format!("{field}.paths"),
            &service.paths,
            &mut paths,
        ));
        faults.extend(taken_faults(
            &format!("{field}.models"),
            &service.models,
            &mut models,
        ));
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

fn taken_faults<'a>(
    field: &str,
    values: &'a [String],
    taken: &mut Map<&'a str, String>,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (number, value) in values.iter().enumerate() {
        let place = format!("{field}[{number}]");
        match taken.get(value.as_str()) {
            Some(other) => faults.push(fault(&place, &format!("'{value}' stands at {other} too"))),
            None => {
                taken.insert(value, place);
            }
        }
    }
    faults
}

fn path_faults(field: &str, paths: &[String]) -> Vec<Fault> {
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
fn upstream_faults(deployment: &Deployment) -> Vec<Fault> {
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
fn group_faults(deployment: &Deployment) -> Vec<Fault> {
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
fn rule_faults(deployment: &Deployment) -> Vec<Fault> {
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

fn fault(field: &str, message: &str) -> Fault {
    Fault {
        field: field.to_owned(),
        message: message.to_owned(),
    }
}
