//! Deployment files: services, upstreams, organisations, groups and rules in one place.

use sardinepin_common::Revision;
use sardinepin_config::{
    ConfigEntry, Group, Organisation, Rule, RuleList, Service, Snapshot, Upstream, ValidationError,
    object_key, validate_snapshot,
};
use serde::{Deserialize, Serialize};

use super::fields::{constraint_at, field_constraints};
use super::names::name_errors;
use super::references::reference_errors;
use crate::options::FileErrors;
use crate::options::document::Document;
use crate::options::validate::constraint_errors;

/// The revision of the snapshot against which a deployment file is validated.
const SNAPSHOT_REVISION: Revision = Revision(1);

/// The name of the object that contains all organisations of a deployment file.
const ORGANISATION_SHARD: &str = "0";

/// The content of a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// The services.
    pub services: Vec<Service>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// The rank groups.
    pub groups: Vec<Group>,
    /// The rules, in the order in which they are evaluated.
    pub rules: Vec<Rule>,
}

impl Deployment {
    /// Returns the rules as the object that the platform stores.
    #[must_use]
    pub fn rule_list(&self) -> RuleList {
        RuleList {
            rules: self.rules.clone(),
        }
    }

    /// Returns the organisations as the shards that the platform stores, each with its key.
    pub(crate) fn organisation_shards(&self) -> Vec<(String, Vec<Organisation>)> {
        vec![(
            object_key("organisations", ORGANISATION_SHARD),
            self.organisations.clone(),
        )]
    }

    /// Returns the key and JSON text of each object that the platform stores for this deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be serialised as JSON.
    pub fn objects(&self) -> serde_json::Result<Vec<(String, String)>> {
        let mut objects = vec![object_entry("rules", "list", &self.rule_list())?];
        for (key, shard) in self.organisation_shards() {
            objects.push((key, serde_json::to_string(&shard)?));
        }
        for service in &self.services {
            objects.push(object_entry("services", &service.name, service)?);
        }
        for upstream in &self.upstreams {
            objects.push(object_entry("upstreams", &upstream.name, upstream)?);
        }
        for group in &self.groups {
            objects.push(object_entry("groups", &group.name, group)?);
        }
        Ok(objects)
    }

    /// Returns the configuration that applying this deployment to an empty store produces.
    pub(crate) fn snapshot(&self) -> serde_json::Result<Snapshot> {
        let entries: Vec<ConfigEntry> = self
            .objects()?
            .into_iter()
            .map(|(key, value)| ConfigEntry {
                key,
                revision: SNAPSHOT_REVISION,
                value: Some(value),
            })
            .collect();
        let mut snapshot = Snapshot::default();
        snapshot.merge(SNAPSHOT_REVISION, &entries);
        Ok(snapshot)
    }
}

fn object_entry<T: Serialize>(
    kind: &str,
    name: &str,
    value: &T,
) -> serde_json::Result<(String, String)> {
    Ok((object_key(kind, name), serde_json::to_string(value)?))
}

/// Reads and validates a deployment file.
pub(crate) fn read_deployment(document: &Document<'_>) -> Result<Deployment, FileErrors> {
    let (deployment, mut errors): (Deployment, _) = document.deserialize(constraint_at)?;
    // Parts that could not be read are missing, so references to them would be reported as errors.
    if errors.is_empty() {
        errors.extend(
            validate_deployment(&deployment)
                .into_iter()
                .map(|error| document.error_at(&error.field, error.message)),
        );
    }
    FileErrors::into_result(errors, deployment)
}

/// Returns all validation errors of a deployment whose fields have the right types.
pub(crate) fn validate_deployment(deployment: &Deployment) -> Vec<ValidationError> {
    let mut errors = name_errors(deployment);
    errors.extend(reference_errors(deployment));
    match deployment.snapshot() {
        Ok(snapshot) => errors.extend(
            validate_snapshot(&snapshot)
                .into_iter()
                .map(|error| with_file_path(error, deployment)),
        ),
        Err(error) => errors.push(ValidationError {
            field: String::new(),
            message: error.to_string(),
        }),
    }
    let range_errors = constraint_errors(deployment, field_constraints())
        .into_iter()
        .map(|(field, message)| ValidationError { field, message });
    for error in range_errors {
        // Skips a field that a check above has already reported with its own message.
        if errors
            .iter()
            .all(|other| !error.field.starts_with(&other.field))
        {
            errors.push(error);
        }
    }
    errors
}

/// Replaces an upstream's object key in the field of an error by its path in the file.
fn with_file_path(error: ValidationError, deployment: &Deployment) -> ValidationError {
    let path = deployment
        .upstreams
        .iter()
        .enumerate()
        .find_map(|(index, upstream)| {
            let key = object_key("upstreams", &upstream.name);
            let rest = error.field.strip_prefix(&key)?;
            rest.starts_with('.')
                .then(|| format!("upstreams[{index}]{rest}"))
        });
    ValidationError {
        field: path.unwrap_or(error.field),
        message: error.message,
    }
}
