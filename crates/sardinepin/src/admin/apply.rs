//! Writes a deployment file to the configuration, object by object.

use sardinepin_config::{Upstream, object_key};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::control_backend::{ControlBackend, parse_object, problem_from, serialize_object};
use super::problem::Problem;
use super::views::AppliedView;
use crate::check::{Deployment, validate_deployment};
use crate::control::ChangeError;

/// Writes the objects that differ from the stored ones.
///
/// Services come first, so that no upstream is stored before its service. The writes are separate:
/// after a failure, those before it stay.
pub(crate) async fn apply(
    backend: &ControlBackend,
    operator: &str,
    deployment: &Deployment,
) -> Result<Vec<AppliedView>, Problem> {
    let errors = validate_deployment(deployment);
    if !errors.is_empty() {
        return Err(Problem::invalid(errors));
    }
    let writer = DeploymentWriter { backend, operator };
    writer.write_all(deployment).await.map_err(problem_from)
}

/// Writes objects on behalf of an operator.
#[derive(Debug, Clone, Copy)]
struct DeploymentWriter<'a> {
    backend: &'a ControlBackend,
    operator: &'a str,
}

impl DeploymentWriter<'_> {
    async fn write_all(self, deployment: &Deployment) -> Result<Vec<AppliedView>, ChangeError> {
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

    /// Writes an upstream but keeps its stored state, so that an older deployment file does not
    /// undo a drain.
    async fn put_upstream(self, upstream: &Upstream) -> Result<AppliedView, ChangeError> {
        let key = object_key("upstreams", &upstream.name);
        let mut wanted = upstream.clone();
        if let Some(object) = self.backend.control().read_object(&key).await? {
            let text = object.value.as_deref().unwrap_or_default();
            wanted.state = parse_object::<Upstream>(text)?.state;
        }
        self.put(key, &wanted).await
    }

    async fn put<T>(self, key: String, value: &T) -> Result<AppliedView, ChangeError>
    where
        T: Serialize + DeserializeOwned + PartialEq,
    {
        let control = self.backend.control();
        let current = control.read_object(&key).await?;
        let expected = current.as_ref().map(|object| object.revision);
        if let Some(object) = &current {
            let text = object.value.as_deref().unwrap_or_default();
            if parse_object::<T>(text).as_ref() == Ok(value) {
                return Ok(AppliedView {
                    key,
                    revision: object.revision,
                    written: false,
                });
            }
        }
        let text = serialize_object(value)?;
        let accepted = control
            .put_object(self.operator, &key, expected, Some(&text))
            .await?;
        Ok(AppliedView {
            key,
            revision: accepted.revision,
            written: true,
        })
    }
}
