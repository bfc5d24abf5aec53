//! Writes a whole deployment file, object by object.

use sardinepin_config::{Upstream, object_key};
use sardinepin_platform::Expect;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::problem::Problem;
use super::store_backend::{StoreBackend, parsed};
use super::views::AppliedView;
use crate::check::{Deployment, deployment_faults};

/// Writes what differs, services first, so that no upstream stands without its service.
pub(crate) async fn apply(
    backend: &StoreBackend,
    deployment: &Deployment,
) -> Result<Vec<AppliedView>, Problem> {
    let faults = deployment_faults(deployment);
    if !faults.is_empty() {
        return Err(Problem::faulty(faults));
    }
    let mut applied = Vec::new();
    for service in &deployment.services {
        let key = object_key("services", &service.name);
        applied.push(put(backend, key, service).await?);
    }
    for (key, shard) in deployment.organisation_shards() {
        applied.push(put(backend, key, &shard).await?);
    }
    for upstream in &deployment.upstreams {
        applied.push(put_upstream(backend, upstream).await?);
    }
    for group in &deployment.groups {
        let key = object_key("groups", &group.name);
        applied.push(put(backend, key, group).await?);
    }
    let rules = object_key("rules", "list");
    applied.push(put(backend, rules, &deployment.rule_list()).await?);
    Ok(applied)
}

/// A drain that an operator ordered is not undone by a file that was written before it.
async fn put_upstream(backend: &StoreBackend, upstream: &Upstream) -> Result<AppliedView, Problem> {
    let key = object_key("upstreams", &upstream.name);
    let mut wanted = upstream.clone();
    if let Some(object) = backend.read(&key).await? {
        wanted.state = parsed::<Upstream>(&object)?.state;
    }
    put(backend, key, &wanted).await
}

async fn put<T>(backend: &StoreBackend, key: String, value: &T) -> Result<AppliedView, Problem>
where
    T: Serialize + DeserializeOwned + PartialEq,
{
    let standing = backend.read(&key).await?;
    let expect = match &standing {
        Some(object) if parsed::<T>(object).as_ref() == Ok(value) => {
            return Ok(AppliedView {
                key,
                revision: object.revision,
                written: false,
            });
        }
        Some(object) => Expect::Revision(object.revision),
        None => Expect::Absent,
    };
    let revision = backend
        .write(&key, expect, value)
        .await
        .map_err(Problem::of_write)?;
    Ok(AppliedView {
        key,
        revision,
        written: true,
    })
}
