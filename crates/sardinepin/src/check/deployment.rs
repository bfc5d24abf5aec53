//! Deployment files: services, upstreams, organisations, groups and rules in one place.

use sardinepin_common::Revision;
use sardinepin_config::{
    ConfigEntry, Group, Organisation, Rule, RuleList, Service, Snapshot, Upstream, ValidationError,
    object_key, validate_snapshot,
};
use serde::{Deserialize, Serialize};

use super::fields::{allowed_at, fields};
use super::names::name_faults;
use super::references::reference_faults;
use crate::options::FileErrors;
use crate::options::document::Document;
use crate::options::validate::table_faults;

/// The revision at which a deployment file is looked at as a whole.
const REVISION: Revision = Revision(1);

/// The name of the object that holds all organisations of a deployment file.
const SHARD: &str = "0";

/// What a deployment file holds.
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
    /// The rules, first to last.
    pub rules: Vec<Rule>,
}

impl Deployment {
    /// Returns the rules as a list.
    #[must_use]
    pub fn rule_list(&self) -> RuleList {
        RuleList {
            rules: self.rules.clone(),
        }
    }

    /// Returns the organisations as the shards in which the platform keeps them.
    pub(crate) fn organisation_shards(&self) -> Vec<(String, Vec<Organisation>)> {
        vec![(
            object_key("organisations", SHARD),
            self.organisations.clone(),
        )]
    }

    /// Returns the objects that make up this deployment, key and JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be written as JSON.
    pub fn objects(&self) -> serde_json::Result<Vec<(String, String)>> {
        let mut objects = vec![object("rules", "list", &self.rule_list())?];
        for (key, shard) in self.organisation_shards() {
            objects.push((key, serde_json::to_string(&shard)?));
        }
        for service in &self.services {
            objects.push(object("services", &service.name, service)?);
        }
        for upstream in &self.upstreams {
            objects.push(object("upstreams", &upstream.name, upstream)?);
        }
        for group in &self.groups {
            objects.push(object("groups", &group.name, group)?);
        }
        Ok(objects)
    }

    /// Returns the configuration that this deployment would be in force as.
    pub(crate) fn snapshot(&self) -> serde_json::Result<Snapshot> {
        let entries: Vec<ConfigEntry> = self
            .objects()?
            .into_iter()
            .map(|(key, value)| ConfigEntry {
                key,
                revision: REVISION,
                value: Some(value),
            })
            .collect();
        let mut snapshot = Snapshot::default();
        snapshot.merge(REVISION, &entries);
        Ok(snapshot)
    }
}

fn object<T: Serialize>(kind: &str, name: &str, value: &T) -> serde_json::Result<(String, String)> {
    Ok((object_key(kind, name), serde_json::to_string(value)?))
}

/// Reads and checks a deployment file.
pub(crate) fn read_deployment(document: &Document<'_>) -> Result<Deployment, FileErrors> {
    let (deployment, mut faults): (Deployment, _) = document.read(allowed_at)?;
    // What could not be read is missing, so the rest would be blamed for naming it.
    if faults.is_empty() {
        faults.extend(
            validate_deployment(&deployment)
                .into_iter()
                .map(|fault| document.fault(&fault.field, fault.message)),
        );
    }
    FileErrors::or(faults, deployment)
}

/// Returns every fault of a deployment whose fields have the right types.
pub(crate) fn validate_deployment(deployment: &Deployment) -> Vec<ValidationError> {
    let mut faults = name_faults(deployment);
    faults.extend(reference_faults(deployment));
    match deployment.snapshot() {
        Ok(snapshot) => faults.extend(
            validate_snapshot(&snapshot)
                .into_iter()
                .map(|fault| at_its_place(fault, deployment)),
        ),
        Err(error) => faults.push(ValidationError {
            field: String::new(),
            message: error.to_string(),
        }),
    }
    let ranges = table_faults(deployment, fields())
        .into_iter()
        .map(|(field, message)| ValidationError { field, message });
    for fault in ranges {
        // The checks of the configuration name the same field in their own words.
        if faults
            .iter()
            .all(|other| !fault.field.starts_with(&other.field))
        {
            faults.push(fault);
        }
    }
    faults
}

/// Names an upstream by its place in the file in place of its key.
fn at_its_place(fault: ValidationError, deployment: &Deployment) -> ValidationError {
    let place = deployment
        .upstreams
        .iter()
        .enumerate()
        .find_map(|(at, upstream)| {
            let key = object_key("upstreams", &upstream.name);
            let rest = fault.field.strip_prefix(&key)?;
            rest.starts_with('.')
                .then(|| format!("upstreams[{at}]{rest}"))
        });
    ValidationError {
        field: place.unwrap_or(fault.field),
        message: fault.message,
    }
}
