//! Checks that the names in a deployment file are valid and unique.

use sardinepin_common::Map;
use sardinepin_config::ValidationError;

use super::deployment::Deployment;

/// The longest name, in bytes.
const NAME_MAX_BYTES: usize = 100;

/// Where a name is used, which decides the characters that it may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NameUse {
    /// In an object key and in URL paths.
    ObjectKey,
    /// Only as text in a value.
    Text,
}

/// Returns the errors for all invalid and duplicate names of a deployment.
pub(crate) fn name_errors(deployment: &Deployment) -> Vec<ValidationError> {
    let services = deployment.services.iter().map(|item| &item.name);
    let upstreams = deployment.upstreams.iter().map(|item| &item.name);
    let organisations = deployment.organisations.iter().map(|item| &item.name);
    let groups = deployment.groups.iter().map(|item| &item.name);
    let mut errors = list_name_errors("services", NameUse::ObjectKey, services);
    errors.extend(list_name_errors("upstreams", NameUse::ObjectKey, upstreams));
    errors.extend(list_name_errors(
        "organisations",
        NameUse::Text,
        organisations,
    ));
    errors.extend(list_name_errors("groups", NameUse::ObjectKey, groups));
    errors
}

fn list_name_errors<'a>(
    list: &str,
    name_use: NameUse,
    names: impl Iterator<Item = &'a String>,
) -> Vec<ValidationError> {
    let mut index_by_name: Map<&str, usize> = Map::default();
    let mut errors = Vec::new();
    for (index, name) in names.enumerate() {
        let field = format!("{list}[{index}].name");
        if let Some(message) = invalid_name_message(name, name_use) {
            errors.push(ValidationError { field, message });
            continue;
        }
        match index_by_name.get(name.as_str()) {
            Some(first) => errors.push(ValidationError {
                field,
                message: format!("'{name}' is the name of {list}[{first}] too; names are unique"),
            }),
            None => {
                index_by_name.insert(name, index);
            }
        }
    }
    errors
}

fn invalid_name_message(name: &str, name_use: NameUse) -> Option<String> {
    if name.is_empty() || name.len() > NAME_MAX_BYTES {
        return Some(format!(
            "{} bytes; 1 to {NAME_MAX_BYTES} are allowed",
            name.len()
        ));
    }
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    let valid = name_use == NameUse::Text || name.chars().all(allowed);
    (!valid).then(|| format!("'{name}'; letters, digits, '-', '_' and '.' are allowed"))
}
