//! Checks that names in a deployment file can be used and stand once.

use sardinepin_common::Map;
use sardinepin_config::ValidationError;

use super::deployment::Deployment;

/// The longest name, in bytes.
const NAME_MAX: usize = 100;

/// Whether a name is part of an object's key and of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    Key,
    Text,
}

/// Returns every fault of the names of a deployment.
pub(crate) fn name_faults(deployment: &Deployment) -> Vec<ValidationError> {
    let services = deployment.services.iter().map(|found| &found.name);
    let upstreams = deployment.upstreams.iter().map(|found| &found.name);
    let organisations = deployment.organisations.iter().map(|found| &found.name);
    let groups = deployment.groups.iter().map(|found| &found.name);
    let mut faults = faults_of("services", Use::Key, services);
    faults.extend(faults_of("upstreams", Use::Key, upstreams));
    faults.extend(faults_of("organisations", Use::Text, organisations));
    faults.extend(faults_of("groups", Use::Key, groups));
    faults
}

fn faults_of<'a>(
    list: &str,
    used: Use,
    names: impl Iterator<Item = &'a String>,
) -> Vec<ValidationError> {
    let mut first: Map<&str, usize> = Map::default();
    let mut faults = Vec::new();
    for (at, name) in names.enumerate() {
        let field = format!("{list}[{at}].name");
        if let Some(message) = wrong_with(name, used) {
            faults.push(ValidationError { field, message });
            continue;
        }
        match first.get(name.as_str()) {
            Some(taken) => faults.push(ValidationError {
                field,
                message: format!("'{name}' is the name of {list}[{taken}] too; names are unique"),
            }),
            None => {
                first.insert(name, at);
            }
        }
    }
    faults
}

fn wrong_with(name: &str, used: Use) -> Option<String> {
    if name.is_empty() || name.len() > NAME_MAX {
        return Some(format!("{} bytes; 1 to {NAME_MAX} are allowed", name.len()));
    }
    let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    let usable = used == Use::Text || name.chars().all(plain);
    (!usable).then(|| format!("'{name}'; letters, digits, '-', '_' and '.' are allowed"))
}
