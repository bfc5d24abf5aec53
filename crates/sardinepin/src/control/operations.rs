//! Configuration changes by operators, through any entry.
//!
//! Every write is validated in full, conditional on a revision, confirmed if its response is lost,
//! and recorded in the audit log.

mod change_error;
mod differences;
mod evacuations;
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

/// The result of an accepted operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The revision from which the requested state is in force.
    pub revision: Revision,
    /// Whether a write was necessary; `false` if the requested state was in force already.
    pub changed: bool,
}

/// A write requested by an operator.
struct WriteRequest<'a> {
    operator: &'a str,
    operation: &'a str,
    /// The configuration key, without the store's prefix.
    key: &'a str,
    precondition: Precondition,
    value: Option<&'a str>,
}

impl Control {
    /// Replaces the rule list by the JSON document `text`, provided that the current list has the
    /// revision `expected`; `None` means that there must be no list.
    ///
    /// # Errors
    ///
    /// Returns every validation error of the list; a conflict with the current list and the
    /// differences if another list was written meanwhile; [`ChangeError::PlatformUnavailable`] if
    /// the platform is unavailable, in which case nothing was accepted; or
    /// [`ChangeError::OutcomeUnknown`] if the write could not be confirmed.
    pub async fn put_rules(
        &self,
        operator: &str,
        expected: Option<Revision>,
        text: &str,
    ) -> Result<AcceptedChange, ChangeError> {
        let list: RuleList =
            serde_json::from_str(text).map_err(|error| unreadable_rules(&error))?;
        let errors = validate_rules(&list);
        if !errors.is_empty() {
            return Err(ChangeError::Invalid(errors));
        }
        let key = object_key("rules", "list");
        self.put_checked(operator, "put rules", &key, expected, Some(text))
            .await
    }

    /// Writes any configuration object, or deletes it if `value` is `None`, provided that it
    /// currently has the revision `expected`; `None` means that it must not exist.
    ///
    /// A new value is validated as part of the resulting configuration. An example of a `key` is
    /// `services/opptak`.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`].
    pub async fn put_object(
        &self,
        operator: &str,
        key: &str,
        expected: Option<Revision>,
        value: Option<&str>,
    ) -> Result<AcceptedChange, ChangeError> {
        if let Some(value) = value {
            self.validate_object(key, value).await?;
        }
        self.put_checked(operator, "put object", key, expected, value)
            .await
    }

    async fn put_checked(
        &self,
        operator: &str,
        operation: &str,
        key: &str,
        expected: Option<Revision>,
        value: Option<&str>,
    ) -> Result<AcceptedChange, ChangeError> {
        let current = self.read_object(key).await?;
        if current.as_ref().map(|object| object.revision) != expected {
            return Err(conflict(current, value));
        }
        self.write(WriteRequest {
            operator,
            operation,
            key,
            precondition: expected.map_or(Precondition::Absent, Precondition::Revision),
            value,
        })
        .await
    }

    /// Reads an object from the platform.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeError::PlatformUnavailable`] if it cannot be read, so that no write is
    /// attempted.
    pub(crate) async fn read_object(&self, key: &str) -> Result<Option<Object>, ChangeError> {
        let store = self.require_store()?;
        store
            .get(&store_key(key))
            .await
            .map_err(|error| ChangeError::PlatformUnavailable(error.to_string()))
    }

    async fn write(&self, request: WriteRequest<'_>) -> Result<AcceptedChange, ChangeError> {
        let store = self.require_store()?;
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
            Err(StoreError::Refused(reason)) => Err(ChangeError::PlatformUnavailable(reason)),
            Err(error) => Err(ChangeError::OutcomeUnknown(error.to_string())),
        }
    }

    fn require_store(&self) -> Result<&dyn Store, ChangeError> {
        self.state
            .store()
            .map(AsRef::as_ref)
            .ok_or_else(|| ChangeError::PlatformUnavailable("no platform is set".to_owned()))
    }

    /// Validates the configuration as it would be with this object.
    ///
    /// This node's configuration may lag behind an object that was just written, so an error counts
    /// only if it also appears with the platform's current state.
    async fn validate_object(&self, key: &str, value: &str) -> Result<(), ChangeError> {
        if !Snapshot::is_valid_object(key, value) {
            return Err(ChangeError::Invalid(vec![ValidationError {
                field: key.to_owned(),
                message: "the object cannot be read, or bears another name than its key".to_owned(),
            }]));
        }
        if object_errors(self.state.snapshot().as_ref().clone(), key, value).is_empty() {
            return Ok(());
        }
        let listing = self
            .require_store()?
            .list(CONFIG_PREFIX)
            .await
            .map_err(|error| ChangeError::PlatformUnavailable(error.to_string()))?;
        let mut newest = Snapshot::default();
        newest.apply(&listing_update(listing));
        match object_errors(newest, key, value) {
            errors if errors.is_empty() => Ok(()),
            errors => Err(ChangeError::Invalid(errors)),
        }
    }
}

/// Returns the validation errors of one object in a configuration; those of other objects are left
/// out.
fn object_errors(mut snapshot: Snapshot, key: &str, value: &str) -> Vec<ValidationError> {
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
    let mut errors = validate_snapshot(&snapshot);
    errors.retain(|error| error.field.starts_with(&field_prefix));
    errors
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

/// Records an operator's change and its outcome in the log.
fn audit(state: &ControlState, request: &WriteRequest<'_>, result: &Result<Revision, StoreError>) {
    let outcome = match result {
        Ok(_) => "accepted",
        Err(StoreError::Conflict(_)) => "conflict",
        Err(StoreError::Refused(_)) => "not_accepted",
        Err(_) => "unknown",
    };
    let revision = result.as_ref().map_or(0, |revision| revision.0);
    log::info!(
        event = "audit", who = request.operator, what = request.operation, key = request.key,
        outcome = outcome, revision = revision, at = state.settings.name.as_str();
        "configuration change by an operator"
    );
}
