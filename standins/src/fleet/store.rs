//! Writes objects and instances to the platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::{Result, ensure};
use bytes::Bytes;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, StatusCode};
use sardinepin_store::{Instance, InstanceState, Object};
use serde::Serialize;
use serde_json::json;

use super::node::Node;
use crate::http::HttpClient;

static WRITE_COUNT: AtomicU64 = AtomicU64::new(0);

/// Writes an object, replacing any existing one; retries if another write comes first.
pub(super) async fn put<T: Serialize>(
    client: &HttpClient,
    platform: SocketAddr,
    key: &str,
    value: &T,
) -> Result<()> {
    let path = format!("/v1/objects/{key}");
    let body = json!({
        "write_id": format!("fleet-{}", WRITE_COUNT.fetch_add(1, Ordering::Relaxed)),
        "value": serde_json::to_string(value)?,
    });
    loop {
        let found = client
            .request(Method::GET, platform, &path, &[], Bytes::new())
            .await?;
        let condition = if found.status == StatusCode::NOT_FOUND {
            (IF_NONE_MATCH.as_str(), "*".to_owned())
        } else {
            let revision = found.json::<Object>()?.revision;
            (IF_MATCH.as_str(), format!("\"{revision}\""))
        };
        let headers = [(condition.0, condition.1.as_str())];
        let bytes = body.to_string().into();
        let answer = client
            .request(Method::PUT, platform, &path, &headers, bytes)
            .await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            continue;
        }
        ensure!(answer.status.is_success(), "{key}: {}", answer.status);
        return Ok(());
    }
}

/// Adds a node to the instance list.
pub(super) async fn put_instance(
    client: &HttpClient,
    platform: SocketAddr,
    node: &Node,
) -> Result<()> {
    let instance = Instance {
        name: node.name().to_owned(),
        role: node.role(),
        zone: node.zone().to_owned(),
        address: node.cluster_address().unwrap_or(node.address()).to_string(),
        state: InstanceState::Live,
    };
    let path = format!("/instances/{}", node.name());
    let answer = client
        .send_json(Method::PUT, platform, &path, &instance)
        .await?;
    ensure!(answer.status.is_success(), "{path}: {}", answer.status);
    Ok(())
}
