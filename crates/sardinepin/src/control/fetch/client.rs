//! The asking side of a fetch.

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

use super::super::hub::Hub;
use super::{Answer, Ask, Part, Request};

/// How long a fetch may take.
const LIMIT: Millis = Millis(5_000);

/// Fetches configuration, and the table of nodes if it is wanted, and takes it in.
pub(in super::super) async fn take(hub: Arc<Hub>, from: SocketAddr, table: bool) {
    let after = hub.revision();
    let parts = ask(&hub, from, Ask::Config { after, table }).await;
    let whole = parts.is_ok();
    match parts {
        Ok(parts) => apply(&hub, parts),
        Err(error) => {
            metrics::counter!("sardinepin_fetches_total", "result" => "failed").increment(1);
            log::debug!(event = "fetch_failed", from:% = from, error:% = error; "not fetched");
        }
    }
    hub.input(Input::FetchEnded { complete: whole });
}

/// Asks a node how it sees the others.
pub(in super::super) async fn view(hub: &Hub, from: SocketAddr) -> anyhow::Result<Vec<MemberView>> {
    let parts = ask(hub, from, Ask::View).await?;
    let mut rows = Vec::new();
    for part in parts {
        if let Part::View(more) = part {
            rows.extend(more);
        }
    }
    Ok(rows)
}

/// Takes in the parts of a whole answer.
fn apply(hub: &Arc<Hub>, parts: Vec<Part>) {
    metrics::counter!("sardinepin_fetches_total", "result" => "whole").increment(1);
    let mut offer: Option<ConfigUpdate> = None;
    for part in parts {
        match part {
            Part::Table(updates) => hub.input(Input::MemberTable(updates)),
            Part::Entries {
                revision,
                whole,
                entries,
            } => {
                let offer = offer.get_or_insert(ConfigUpdate {
                    revision,
                    whole,
                    entries: Vec::new(),
                });
                offer.entries.extend(entries);
            }
            Part::View(_) | Part::End => {}
        }
    }
    if let Some(offer) = offer {
        hub.publish("peer", &offer);
    }
}

async fn ask(hub: &Hub, from: SocketAddr, ask: Ask) -> anyhow::Result<Vec<Part>> {
    let both = hub.border.passes(from, hub.address) && hub.border.passes(hub.address, from);
    ensure!(both, "the link is cut");
    tokio::time::timeout(LIMIT.duration(), exchange(hub, from, ask))
        .await
        .context("no answer in time")?
}

async fn exchange(hub: &Hub, from: SocketAddr, ask: Ask) -> anyhow::Result<Vec<Part>> {
    let nonce = rand::random();
    let mut stream = framed(TcpStream::connect(from).await?);
    let request = sign_frame(&hub.keyring, &encode(&Request { nonce, ask })?)?;
    stream.send(Bytes::from(request)).await?;
    let mut parts = Vec::new();
    while let Some(frame) = stream.next().await {
        let frame = frame?;
        metrics::counter!("sardinepin_cluster_bytes_total", "way" => "fetched")
            .increment(frame.len() as u64);
        let answer: Answer = decode(verify_frame(&hub.keyring, &frame)?)?;
        ensure!(answer.nonce == nonce, "the answer to another request");
        ensure!(
            usize::try_from(answer.number) == Ok(parts.len()),
            "a part is missing"
        );
        match answer.part {
            Part::End => return Ok(parts),
            part => parts.push(part),
        }
    }
    bail!("the answer broke off")
}
