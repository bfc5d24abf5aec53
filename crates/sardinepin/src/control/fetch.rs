//! Fetches over TCP from another node: configuration, the member table, or the node's view.
//!
//! A connection carries one request and its response frames, each signed like a datagram. The
//! response frames repeat the request's nonce, so that an old response cannot be replayed.

mod client;
mod server;

use sardinepin_common::Revision;
use sardinepin_config::ConfigEntry;
use sardinepin_membership::{MemberUpdate, MemberView};
use serde::{Deserialize, Serialize};

pub(super) use client::{fetch_updates, fetch_view};
pub(super) use server::serve;

/// The subject of a request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum Query {
    /// The configuration changes after a revision.
    Config {
        /// The revision that the client holds.
        after: Revision,
        /// Whether the member table is requested too.
        table: bool,
    },
    /// The node's view of the cluster.
    View,
}

/// The request that a client sends.
#[derive(Debug, Serialize, Deserialize)]
struct FetchRequest {
    nonce: u64,
    #[serde(rename = "ask")]
    query: Query,
}

/// A part of the response; large responses are split into several.
#[derive(Debug, Serialize, Deserialize)]
enum ResponsePart {
    /// A page of the member table.
    Table(Vec<MemberUpdate>),
    /// A page of the entries that bring the client up to a revision.
    Entries {
        revision: Revision,
        whole: bool,
        entries: Vec<ConfigEntry>,
    },
    /// A page of the node's view.
    View(Vec<MemberView>),
    /// The end of the response.
    End,
}

/// One frame of the response.
#[derive(Debug, Serialize, Deserialize)]
struct ResponseFrame {
    nonce: u64,
    /// The position of this frame in the response, from 0.
    number: u32,
    part: ResponsePart,
}
