//! Fetches over TCP from another node: configuration, the member table, or the node's view.
//!
//! A connection carries one request and its answer frames, each signed like a datagram. The answer
//! frames repeat the request's nonce, so that an old answer cannot be replayed.

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
struct Request {
    nonce: u64,
    ask: Query,
}

/// A part of the answer; large answers are split into several.
#[derive(Debug, Serialize, Deserialize)]
enum Part {
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
    /// The end of the answer.
    End,
}

/// One frame of the answer.
#[derive(Debug, Serialize, Deserialize)]
struct AnswerFrame {
    nonce: u64,
    /// The position of this frame in the answer, from 0.
    number: u32,
    part: Part,
}
