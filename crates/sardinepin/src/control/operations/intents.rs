//! Intents for upstreams: idempotent, and read again when another change comes between.

use sardinepin_config::{Upstream, object_key};
use sardinepin_protocol::UpstreamState;
use sardinepin_store::{Object, Precondition};

use super::{AcceptedChange, ChangeError, Control, Wish, conflict};

/// How many times an intent is tried against changes that come between.
const TRIES: u32 = 32;

/// Fields of an upstream to be changed; those that are `None` stay.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamEdit {
    /// The service that it belongs to.
    pub service: Option<String>,
    /// Its availability zone.
    pub zone: Option<String>,
    /// The address of its agent's link.
    pub address: Option<String>,
    /// The rank group that it is a member of; `Some(None)` takes it out of its group.
    pub group: Option<Option<String>>,
}

/// What an intent makes of the object that stands.
enum Step {
    /// It is as it should be.
    Nothing,
    /// It is to be this.
    Become(Upstream),
}

impl Control {
    /// Adds an upstream, or brings a retired one back into use.
    ///
    /// Adding one that stands with the same fields changes nothing, not even a drain.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`]; a conflict if the name is in use with other fields.
    pub async fn add_upstream(
        &self,
        who: &str,
        upstream: &Upstream,
    ) -> Result<AcceptedChange, ChangeError> {
        self.intend(who, "add", &upstream.name, |current| match current {
            None => Ok(Step::Become(upstream.clone())),
            Some(held) if held.state == UpstreamState::Retired => {
                Ok(Step::Become(upstream.clone()))
            }
            Some(held) if same_fields(held, upstream) => Ok(Step::Nothing),
            Some(_) => Err(()),
        })
        .await
    }

    /// Changes fields of an upstream, whatever happens to its other fields meanwhile.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`]; [`ChangeError::NotFound`] if there is no such upstream.
    pub async fn edit_upstream(
        &self,
        who: &str,
        name: &str,
        edit: &UpstreamEdit,
    ) -> Result<AcceptedChange, ChangeError> {
        self.change(who, "edit", name, |held| edit.apply(held))
            .await
    }

    /// Drains an upstream: it finishes what it has and takes no new work.
    ///
    /// Draining twice is one drain; a retired upstream stays retired.
    ///
    /// # Errors
    ///
    /// As for [`Control::edit_upstream`].
    pub async fn drain_upstream(
        &self,
        who: &str,
        name: &str,
    ) -> Result<AcceptedChange, ChangeError> {
        self.change(who, "drain", name, |held| {
            if held.state == UpstreamState::Active {
                held.state = UpstreamState::Draining;
            }
        })
        .await
    }

    /// Retires an upstream: it is out of use.
    ///
    /// # Errors
    ///
    /// As for [`Control::edit_upstream`].
    pub async fn retire_upstream(
        &self,
        who: &str,
        name: &str,
    ) -> Result<AcceptedChange, ChangeError> {
        self.change(who, "retire", name, |held| {
            held.state = UpstreamState::Retired;
        })
        .await
    }

    /// Applies a change to an upstream that stands.
    async fn change(
        &self,
        who: &str,
        what: &str,
        name: &str,
        change: impl Fn(&mut Upstream),
    ) -> Result<AcceptedChange, ChangeError> {
        self.intend(who, what, name, |current| {
            let Some(held) = current else {
                return Ok(Step::Nothing);
            };
            let mut next = held.clone();
            change(&mut next);
            Ok(if next == *held {
                Step::Nothing
            } else {
                Step::Become(next)
            })
        })
        .await
    }

    /// Reads the upstream and writes what `decide` makes of it, again if another change came first.
    ///
    /// An object that is not there and need not become anything is missing.
    async fn intend(
        &self,
        who: &str,
        what: &str,
        name: &str,
        decide: impl Fn(Option<&Upstream>) -> Result<Step, ()>,
    ) -> Result<AcceptedChange, ChangeError> {
        let key = object_key("upstreams", name);
        let mut last = ChangeError::NotFound;
        for _ in 0..TRIES {
            let current = self.read_object(&key).await?;
            let held = current.as_ref().map(parse).transpose()?;
            let next = match (decide(held.as_ref()), &current) {
                (Ok(Step::Become(next)), _) => next,
                (Ok(Step::Nothing), Some(object)) => return Ok(unchanged(object)),
                (Ok(Step::Nothing), None) => return Err(ChangeError::NotFound),
                (Err(()), _) => return Err(conflict(current, None)),
            };
            let value = serde_json::to_string(&next)
                .map_err(|error| ChangeError::OutcomeUnknown(error.to_string()))?;
            self.check(&key, &value).await?;
            let wish = Wish {
                who,
                what,
                key: &key,
                expect: current.map_or(Precondition::Absent, |object| {
                    Precondition::Revision(object.revision)
                }),
                value: Some(&value),
            };
            match self.write(wish).await {
                Err(found @ ChangeError::Conflict { .. }) => last = found,
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

fn same_fields(held: &Upstream, wanted: &Upstream) -> bool {
    let state = wanted.state;
    Upstream {
        state,
        ..held.clone()
    } == *wanted
}

fn unchanged(object: &Object) -> AcceptedChange {
    AcceptedChange {
        revision: object.revision,
        changed: false,
    }
}

/// An object that cannot be read is never overwritten by an intent.
fn parse(object: &Object) -> Result<Upstream, ChangeError> {
    serde_json::from_str(object.value.as_deref().unwrap_or_default()).map_err(|_| {
        ChangeError::Conflict {
            current: Some(object.clone()),
            differences: vec!["the object that stands cannot be read".to_owned()],
        }
    })
}
