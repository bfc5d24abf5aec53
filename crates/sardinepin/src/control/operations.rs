//! What operators do to the configuration, through any entry.
//!
//! Every write is checked whole, conditional, settled if its answer is lost, and written to the log.

mod change_error;
mod differences;
mod upstreams;

use sardinepin_common::Revision;
use sardinepin_config::{
    ConfigEntry, RuleList, Snapshot, ValidationError, object_key, validate_rules, validate_snapshot,
};
use sardinepin_store::{
    CONFIG_PREFIX, ConditionalWrite, Object, Precondition, Store, StoreError, listing_update,
    write_and_confirm,
};

use super::Control;
use super::state::ControlState;
use differences::differences;

pub use change_error::ChangeError;
pub use upstreams::UpstreamEdit;

/// An operation that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The revision from which what was asked for is in force.
    pub revision: Revision,
    /// Whether anything had to be changed for it.
    pub changed: bool,
}

/// A write that an operator asks for.
struct WriteRequest<'a> {
    operator: &'a str,
    operation: &'a str,
    /// The key as configuration knows it, without the store's prefix.
    key: &'a str,
    precondition: Precondition,
    value: Option<&'a str>,
}

impl Control {
    /// Replaces the rule list by `text`, a JSON document, if the one that stands has the revision
    /// `expect`, or if none stands and `expect` is `None`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the list, the list that stands and what differs if another was
    /// written meanwhile, or that the platform is out, in which case nothing was accepted.
    pub async fn put_rules(
        &self,
        operator: &str,
        expect: Option<Revision>,
        text: &str,
    ) -> Result<AcceptedChange, ChangeError> {
        let list: RuleList =
            serde_json::from_str(text).map_err(|error| unreadable_rules(&error))?;
        let faults = validate_rules(&list);
        if !faults.is_empty() {
            return Err(ChangeError::Invalid(faults));
        }
        let key = object_key("rules", "list");
        self.put_checked(operator, "put rules", &key, expect, Some(text))
            .await
    }

    /// Writes any object of the configuration, or deletes it, if it stands as `expect` says.
    ///
    /// The configuration is checked as it would then be; `key` is such as `services/opptak`.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`].
    pub async fn put_object(
        &self,
        operator: &str,
        key: &str,
        expect: Option<Revision>,
        value: Option<&str>,
    ) -> Result<AcceptedChange, ChangeError> {
        if let Some(value) = value {
            self.check(key, value).await?;
        }
        self.put_checked(operator, "put object", key, expect, value)
            .await
    }

    async fn put_checked(
        &self,
        operator: &str,
        operation: &str,
        key: &str,
        expect: Option<Revision>,
        value: Option<&str>,
    ) -> Result<AcceptedChange, ChangeError> {
        let current = self.read_object(key).await?;
        if current.as_ref().map(|object| object.revision) != expect {
            return Err(conflict(current, value));
        }
        self.write(WriteRequest {
            operator,
            operation,
            key,
            precondition: expect.map_or(Precondition::Absent, Precondition::Revision),
            value,
        })
        .await
    }

    /// Reads an object from the platform; if that fails, nothing is accepted.
    pub(crate) async fn read_object(&self, key: &str) -> Result<Option<Object>, ChangeError> {
        let store = self.platform()?;
        store
            .get(&store_key(key))
            .await
            .map_err(|error| ChangeError::PlatformOut(error.to_string()))
    }

    async fn write(&self, request: WriteRequest<'_>) -> Result<AcceptedChange, ChangeError> {
        let store = self.platform()?;
        let write_id = self.state.write_id();
        let change = ConditionalWrite {
            key: &store_key(request.key),
            precondition: request.precondition,
            write_id: &write_id,
            value: request.value,
        };
        let result = write_and_confirm(store, change).await;
        audit(&self.state, &request, &result);
        match result {
            Ok(revision) => Ok(AcceptedChange {
                revision,
                changed: true,
            }),
            Err(StoreError::Conflict(current)) => Err(conflict(current, request.value)),
            Err(StoreError::Refused(reason)) => Err(ChangeError::PlatformOut(reason)),
            Err(error) => Err(ChangeError::OutcomeUnknown(error.to_string())),
        }
    }

    fn platform(&self) -> Result<&dyn Store, ChangeError> {
        self.state
            .store()
            .map(AsRef::as_ref)
            .ok_or_else(|| ChangeError::PlatformOut("no platform is set".to_owned()))
    }

    /// Checks the configuration as it would be with this object.
    ///
    /// What this node holds may lag behind an object that was just written, so a fault counts only
    /// if it is there with the platform's own state too.
    async fn check(&self, key: &str, value: &str) -> Result<(), ChangeError> {
        if !Snapshot::is_valid_object(key, value) {
            return Err(ChangeError::Invalid(vec![ValidationError {
                field: key.to_owned(),
                message: "the object cannot be read, or bears another name than its key".to_owned(),
            }]));
        }
        if faults_of_object(self.state.snapshot().as_ref().clone(), key, value).is_empty() {
            return Ok(());
        }
        let listing = self
            .platform()?
            .list(CONFIG_PREFIX)
            .await
            .map_err(|error| ChangeError::PlatformOut(error.to_string()))?;
        let mut newest = Snapshot::default();
        newest.apply(&listing_update(listing));
        match faults_of_object(newest, key, value) {
            faults if faults.is_empty() => Ok(()),
            faults => Err(ChangeError::Invalid(faults)),
        }
    }
}

/// Returns the faults that an object would have in a configuration; those of others are not its.
fn faults_of_object(mut snapshot: Snapshot, key: &str, value: &str) -> Vec<ValidationError> {
    let revision = Revision(u64::MAX);
    let entry = ConfigEntry {
        key: key.to_owned(),
        revision,
        value: Some(value.to_owned()),
    };
    snapshot.merge(revision, &[entry]);
    let field_prefix = match key.split_once('/') {
        Some(("rules", _)) => "rules".to_owned(),
        _ => format!("{key}."),
    };
    let mut faults = validate_snapshot(&snapshot);
    faults.retain(|fault| fault.field.starts_with(&field_prefix));
    faults
}

fn store_key(key: &str) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

fn conflict(current: Option<Object>, wanted: Option<&str>) -> ChangeError {
    let differences = differences(
        current.as_ref().and_then(|object| object.value.as_deref()),
        wanted,
    );
    ChangeError::Conflict {
        current,
        differences,
    }
}

fn unreadable_rules(error: &serde_json::Error) -> ChangeError {
    ChangeError::Invalid(vec![ValidationError {
        field: "rules".to_owned(),
        message: error.to_string(),
    }])
}

/// Notes in the log who did what.
fn audit(state: &ControlState, request: &WriteRequest<'_>, result: &Result<Revision, StoreError>) {
    let outcome = match result {
        Ok(_) => "accepted",
        Err(StoreError::Conflict(_)) => "conflict",
        Err(StoreError::Refused(_)) => "not_accepted",
        Err(_) => "unknown",
    };
    let revision = result.as_ref().map_or(0, |revision| revision.0);
    log::info!(
        event = "audit", who = request.operator, what = request.operation, key = request.key, outcome = outcome,
        revision = revision, at = state.settings.name.as_str();
        "an operator's change"
    );
}
