//! The client side of a fetch.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, bail, ensure};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sardinepin_common::Millis;
use sardinepin_config::ConfigUpdate;
use sardinepin_membership::{Input, MemberView};
use sardinepin_protocol::{decode, encode, framed, sign_frame, verify_frame};
use tokio::net::TcpStream;

use super::super::state::ControlState;
use super::{FetchRequest, Query, ResponseFrame, ResponsePart};

/// The maximum duration of a fetch.
const FETCH_TIMEOUT: Millis = Millis(5_000);

/// Fetches the configuration, and the member table if `table` is set, and applies them.
pub(in super::super) async fn fetch_updates(
    state: Arc<ControlState>,
    from: SocketAddr,
    table: bool,
) {
    let after = state.revision();
    let parts = request_parts(&state, from, Query::Config { after, table }).await;
    let complete = parts.is_ok();
    match parts {
        Ok(parts) => apply_parts(&state, parts),
        Err(error) => {
            metrics::counter!("sardinepin_fetches_total", "result" => "failed").increment(1);
            log::debug!(event = "fetch_failed", from:% = from, error:% = error; "cannot fetch from a peer");
        }
    }
    state.handle(Input::FetchEnded { complete });
}

/// Fetches the view that a node has of the cluster.
pub(in super::super) async fn fetch_view(
    state: &ControlState,
    from: SocketAddr,
) -> anyhow::Result<Vec<MemberView>> {
    let parts = request_parts(state, from, Query::View).await?;
    let mut views = Vec::new();
    for part in parts {
        if let ResponsePart::View(page) = part {
            views.extend(page);
        }
    }
    Ok(views)
}

/// Applies the parts of a complete response.
fn apply_parts(state: &Arc<ControlState>, parts: Vec<ResponsePart>) {
    metrics::counter!("sardinepin_fetches_total", "result" => "whole").increment(1);
    let mut update: Option<ConfigUpdate> = None;
    for part in parts {
        match part {
            ResponsePart::Table(updates) => state.handle(Input::MemberTable(updates)),
            ResponsePart::Entries {
                revision,
                whole,
                entries,
            } => {
                let update = update.get_or_insert(ConfigUpdate {
                    revision,
                    whole,
                    entries: Vec::new(),
                });
                update.entries.extend(entries);
            }
            ResponsePart::View(_) | ResponsePart::End => {}
        }
    }
    if let Some(update) = update {
        state.apply_update("peer", &update);
    }
}

async fn request_parts(
    state: &ControlState,
    from: SocketAddr,
    query: Query,
) -> anyhow::Result<Vec<ResponsePart>> {
    let allowed = state.fault_injector.allows_link(from, state.address)
        && state.fault_injector.allows_link(state.address, from);
    ensure!(allowed, "the link is cut by fault injection");
    tokio::time::timeout(FETCH_TIMEOUT.duration(), exchange(state, from, query))
        .await
        .context("no response in time")?
}

async fn exchange(
    state: &ControlState,
    from: SocketAddr,
    query: Query,
) -> anyhow::Result<Vec<ResponsePart>> {
    let nonce = rand::random();
    let mut stream = framed(TcpStream::connect(from).await?);
    let request = sign_frame(&state.keyring, &encode(&FetchRequest { nonce, query })?)?;
    stream.send(Bytes::from(request)).await?;
    let mut parts = Vec::new();
    while let Some(frame) = stream.next().await {
        let frame = frame?;
        metrics::counter!("sardinepin_cluster_bytes_total", "way" => "fetched")
            .increment(frame.len() as u64);
        let response: ResponseFrame = decode(verify_frame(&state.keyring, &frame)?)?;
        ensure!(
            response.nonce == nonce,
            "the nonce belongs to another request"
        );
        ensure!(
            usize::try_from(response.number) == Ok(parts.len()),
            "a part of the response is missing"
        );
        match response.part {
            ResponsePart::End => return Ok(parts),
            part => parts.push(part),
        }
    }
    bail!("the connection closed before the end of the response")
}
