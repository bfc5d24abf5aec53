//! The server side of a fetch.

use std::sync::Arc;

use anyhow::Context;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sardinepin_common::{Millis, Revision};
use sardinepin_config::ConfigEntry;
use sardinepin_protocol::{decode, encode, framed, sign_frame, verify_frame};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::super::state::{ControlState, count_dropped};
use super::{FetchRequest, Query, ResponseFrame, ResponsePart};

/// The maximum number of concurrent fetches; further connections are closed.
const CONCURRENT_MAX: usize = 64;

/// The maximum wait for a request, so that an unauthenticated client does not hold a permit for
/// long.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// The maximum duration of a fetch, including the request.
const RESPONSE_TIMEOUT: Millis = Millis(10_000);

/// The approximate number of bytes of keys and values in a frame; the last value, of up to a
/// megabyte, may exceed it.
const PAGE_BYTES: usize = 1024 * 1024;

/// The maximum number of nodes in a frame.
const PAGE_NODES: usize = 4_096;

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// Serves fetches until the task is aborted.
pub(in super::super) async fn serve(state: Arc<ControlState>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(CONCURRENT_MAX));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            count_dropped("fetch_busy");
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let _permit = permit;
            let responded =
                tokio::time::timeout(RESPONSE_TIMEOUT.duration(), respond(&state, stream)).await;
            if !matches!(responded, Ok(Ok(()))) {
                count_dropped("fetch_failed");
            }
        });
    }
}

async fn respond(state: &ControlState, stream: TcpStream) -> anyhow::Result<()> {
    let mut stream = framed(stream);
    let frame = tokio::time::timeout(REQUEST_TIMEOUT.duration(), stream.next())
        .await?
        .context("the connection closed before a request")??;
    let request: FetchRequest = decode(verify_frame(&state.keyring, &frame)?)?;
    let mut parts = match request.query {
        Query::Config { after, table } => config_parts(state, after, table),
        Query::View => {
            let views = state.member_views();
            views
                .chunks(PAGE_NODES)
                .map(|page| ResponsePart::View(page.to_vec()))
                .collect()
        }
    };
    parts.push(ResponsePart::End);
    for (number, part) in (0..).zip(parts) {
        let response = ResponseFrame {
            nonce: request.nonce,
            number,
            part,
        };
        let frame = sign_frame(&state.keyring, &encode(&response)?)?;
        metrics::counter!("sardinepin_cluster_bytes_total", "way" => "served")
            .increment(frame.len() as u64);
        stream.send(Bytes::from(frame)).await?;
    }
    Ok(())
}

/// Returns the parts that bring the client up to this node's state.
fn config_parts(state: &ControlState, after: Revision, table: bool) -> Vec<ResponsePart> {
    let mut parts = Vec::new();
    if table {
        let updates = state.updates();
        parts.extend(
            updates
                .chunks(PAGE_NODES)
                .map(|page| ResponsePart::Table(page.to_vec())),
        );
    }
    let snapshot = state.snapshot();
    if snapshot.revision() > after {
        let update = snapshot.update_since(after);
        let pages = paginate(update.entries);
        parts.extend(pages.into_iter().map(|entries| ResponsePart::Entries {
            revision: update.revision,
            whole: update.whole,
            entries,
        }));
    }
    parts
}

/// Splits entries into pages that fit into frames; returns at least one page.
fn paginate(entries: Vec<ConfigEntry>) -> Vec<Vec<ConfigEntry>> {
    let mut pages = vec![Vec::new()];
    let mut size = 0;
    for entry in entries {
        size += entry.key.len() + entry.value.as_ref().map_or(0, String::len);
        if let Some(page) = pages.last_mut() {
            page.push(entry);
        }
        if size > PAGE_BYTES {
            size = 0;
            pages.push(Vec::new());
        }
    }
    pages
}
