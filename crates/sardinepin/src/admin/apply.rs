//! Writes a whole deployment file, object by object.

use sardinepin_config::{Upstream, object_key};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::control_backend::{ControlBackend, parsed, problem, written};
use super::problem::Problem;
use super::views::AppliedView;
use crate::check::{Deployment, validate_deployment};
use crate::control::ChangeError;

/// Writes what differs, services first, so that no upstream stands without its service.
pub(crate) async fn apply(
    backend: &ControlBackend,
    who: &str,
    deployment: &Deployment,
) -> Result<Vec<AppliedView>, Problem> {
    let faults = validate_deployment(deployment);
    if !faults.is_empty() {
        return Err(Problem::faulty(faults));
    }
    let writer = Writer { backend, who };
    writer.all(deployment).await.map_err(problem)
}

/// Writes objects in one operator's name.
#[derive(Debug, Clone, Copy)]
struct Writer<'a> {
    backend: &'a ControlBackend,
    who: &'a str,
}

impl Writer<'_> {
    async fn all(self, deployment: &Deployment) -> Result<Vec<AppliedView>, ChangeError> {
        let mut applied = Vec::new();
        for service in &deployment.services {
            let key = object_key("services", &service.name);
            applied.push(self.put(key, service).await?);
        }
        for (key, shard) in deployment.organisation_shards() {
            applied.push(self.put(key, &shard).await?);
        }
        for upstream in &deployment.upstreams {
            applied.push(self.put_upstream(upstream).await?);
        }
        for group in &deployment.groups {
            let key = object_key("groups", &group.name);
            applied.push(self.put(key, group).await?);
        }
        let key = object_key("rules", "list");
        applied.push(self.put(key, &deployment.rule_list()).await?);
        Ok(applied)
    }

    /// A drain that an operator ordered is not undone by a file that was written before it.
    async fn put_upstream(self, upstream: &Upstream) -> Result<AppliedView, ChangeError> {
        let key = object_key("upstreams", &upstream.name);
        let mut wanted = upstream.clone();
        if let Some(object) = self.backend.control().read_object(&key).await? {
            let text = object.value.as_deref().unwrap_or_default();
            wanted.state = parsed::<Upstream>(text)?.state;
        }
        self.put(key, &wanted).await
    }

    async fn put<T>(self, key: String, value: &T) -> Result<AppliedView, ChangeError>
    where
        T: Serialize + DeserializeOwned + PartialEq,
    {
        let control = self.backend.control();
        let standing = control.read_object(&key).await?;
        let expect = standing.as_ref().map(|object| object.revision);
        if let Some(object) = &standing {
            let text = object.value.as_deref().unwrap_or_default();
            if parsed::<T>(text).as_ref() == Ok(value) {
                return Ok(AppliedView {
                    key,
                    revision: object.revision,
                    written: false,
                });
            }
        }
        let text = written(value)?;
        let done = control
            .put_object(self.who, &key, expect, Some(&text))
            .await?;
        Ok(AppliedView {
            key,
            revision: done.revision,
            written: true,
        })
    }
}
