//! Idempotent changes to upstreams, retried when another change is written first.

use sardinepin_config::{Upstream, object_key};
use sardinepin_protocol::UpstreamState;
use sardinepin_store::{Object, Precondition};

use super::{AcceptedChange, ChangeError, Control, WriteRequest, conflict};

/// The maximum number of tries when other changes are written first.
const TRIES_MAX: u32 = 32;

/// New values for fields of an upstream; fields that are `None` stay unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamEdit {
    /// The name of the service that the upstream belongs to.
    pub service: Option<String>,
    /// The availability zone of the upstream.
    pub zone: Option<String>,
    /// The address on which its agent accepts links.
    pub address: Option<String>,
    /// The name of its rank group; `Some(None)` removes it from its group.
    pub group: Option<Option<String>>,
}

/// What a change does to the current object.
enum UpstreamDecision {
    /// The object is already in the requested state.
    Unchanged,
    /// The object must be replaced by this one.
    Replace(Upstream),
}

impl Control {
    /// Adds an upstream, or brings a retired one of the same name back into use with the new
    /// fields.
    ///
    /// If it already exists with the same fields, nothing changes; a draining upstream stays so.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`]; also a conflict if the name is in use with other fields.
    pub async fn add_upstream(
        &self,
        operator: &str,
        upstream: &Upstream,
    ) -> Result<AcceptedChange, ChangeError> {
        self.update_with(operator, "add", &upstream.name, |current| match current {
            None => Ok(UpstreamDecision::Replace(upstream.clone())),
            Some(existing) if existing.state == UpstreamState::Retired => {
                Ok(UpstreamDecision::Replace(upstream.clone()))
            }
            Some(existing) if same_fields(existing, upstream) => Ok(UpstreamDecision::Unchanged),
            Some(_) => Err(()),
        })
        .await
    }

    /// Changes fields of an upstream and keeps concurrent changes to its other fields.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`]; also [`ChangeError::NotFound`] if there is no such upstream.
    pub async fn edit_upstream(
        &self,
        operator: &str,
        name: &str,
        edit: &UpstreamEdit,
    ) -> Result<AcceptedChange, ChangeError> {
        self.modify(operator, "edit", name, |existing| edit.apply(existing))
            .await
    }

    /// Drains an upstream: it finishes its open attempts and receives no new ones.
    ///
    /// Draining a draining or a retired upstream changes nothing.
    ///
    /// # Errors
    ///
    /// As for [`Control::edit_upstream`].
    pub async fn drain_upstream(
        &self,
        operator: &str,
        name: &str,
    ) -> Result<AcceptedChange, ChangeError> {
        self.modify(operator, "drain", name, |existing| {
            if existing.state == UpstreamState::Active {
                existing.state = UpstreamState::Draining;
            }
        })
        .await
    }

    /// Retires an upstream, so that it is no longer used.
    ///
    /// # Errors
    ///
    /// As for [`Control::edit_upstream`].
    pub async fn retire_upstream(
        &self,
        operator: &str,
        name: &str,
    ) -> Result<AcceptedChange, ChangeError> {
        self.modify(operator, "retire", name, |existing| {
            existing.state = UpstreamState::Retired;
        })
        .await
    }

    /// Applies a change to an existing upstream.
    async fn modify(
        &self,
        operator: &str,
        operation: &str,
        name: &str,
        change: impl Fn(&mut Upstream),
    ) -> Result<AcceptedChange, ChangeError> {
        self.update_with(operator, operation, name, |current| {
            let Some(existing) = current else {
                return Ok(UpstreamDecision::Unchanged);
            };
            let mut next = existing.clone();
            change(&mut next);
            Ok(if next == *existing {
                UpstreamDecision::Unchanged
            } else {
                UpstreamDecision::Replace(next)
            })
        })
        .await
    }

    /// Reads the upstream and writes what `decide` returns; starts again if another change came
    /// first.
    ///
    /// An error of `decide` is a conflict. `UpstreamDecision::Unchanged` for an object that does
    /// not exist results in [`ChangeError::NotFound`].
    async fn update_with(
        &self,
        operator: &str,
        operation: &str,
        name: &str,
        decide: impl Fn(Option<&Upstream>) -> Result<UpstreamDecision, ()>,
    ) -> Result<AcceptedChange, ChangeError> {
        let key = object_key("upstreams", name);
        let mut last = ChangeError::NotFound;
        for _ in 0..TRIES_MAX {
            let current = self.read_object(&key).await?;
            let existing = current.as_ref().map(parse).transpose()?;
            let next = match (decide(existing.as_ref()), &current) {
                (Ok(UpstreamDecision::Replace(next)), _) => next,
                (Ok(UpstreamDecision::Unchanged), Some(object)) => return Ok(unchanged(object)),
                (Ok(UpstreamDecision::Unchanged), None) => return Err(ChangeError::NotFound),
                (Err(()), _) => return Err(conflict(current, None)),
            };
            let value = serde_json::to_string(&next)
                .map_err(|error| ChangeError::OutcomeUnknown(error.to_string()))?;
            self.validate_object(&key, &value).await?;
            let request = WriteRequest {
                operator,
                operation,
                key: &key,
                precondition: current.map_or(Precondition::Absent, |object| {
                    Precondition::Revision(object.revision)
                }),
                value: Some(&value),
            };
            match self.write(request).await {
                Err(conflict @ ChangeError::Conflict { .. }) => last = conflict,
                result => return result,
            }
        }
        Err(last)
    }
}

impl UpstreamEdit {
    fn apply(&self, upstream: &mut Upstream) {
        if let Some(service) = &self.service {
            upstream.service.clone_from(service);
        }
        if let Some(zone) = &self.zone {
            upstream.zone.clone_from(zone);
        }
        if let Some(address) = &self.address {
            upstream.address.clone_from(address);
        }
        if let Some(group) = &self.group {
            upstream.group.clone_from(group);
        }
    }
}

fn same_fields(existing: &Upstream, wanted: &Upstream) -> bool {
    let state = wanted.state;
    Upstream {
        state,
        ..existing.clone()
    } == *wanted
}

fn unchanged(object: &Object) -> AcceptedChange {
    AcceptedChange {
        revision: object.revision,
        changed: false,
    }
}

/// Parses an upstream; an unreadable object is a conflict, so it is never overwritten.
fn parse(object: &Object) -> Result<Upstream, ChangeError> {
    serde_json::from_str(object.value.as_deref().unwrap_or_default()).map_err(|_| {
        ChangeError::Conflict {
            current: Some(object.clone()),
            differences: vec!["the object that stands cannot be read".to_owned()],
        }
    })
}
