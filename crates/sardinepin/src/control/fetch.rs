//! Fetches between nodes over TCP: configuration, the table of nodes, a node's view.
//!
//! One request and its answers go over a connection, each frame sealed like a datagram. The answers
//! repeat the request's nonce, so that an old answer cannot pass for a new one.

mod client;
mod server;

use sardinepin_common::Revision;
use sardinepin_config::ConfigEntry;
use sardinepin_membership::{MemberUpdate, MemberView};
use serde::{Deserialize, Serialize};

pub(super) use client::{fetch_updates, fetch_view};
pub(super) use server::serve;

/// What is asked for.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum Query {
    /// The configuration after a revision.
    Config {
        /// The revision that the asker holds.
        after: Revision,
        /// Whether the table of nodes is wanted too.
        table: bool,
    },
    /// How the node sees the others.
    View,
}

/// A request.
#[derive(Debug, Serialize, Deserialize)]
struct Request {
    nonce: u64,
    ask: Query,
}

/// A part of the answer.
#[derive(Debug, Serialize, Deserialize)]
enum Part {
    /// Some of the nodes.
    Table(Vec<MemberUpdate>),
    /// Some of the entries that bring the asker up to a revision.
    Entries {
        revision: Revision,
        whole: bool,
        entries: Vec<ConfigEntry>,
    },
    /// Some of the rows of the node's view.
    View(Vec<MemberView>),
    /// There is no more.
    End,
}

/// One frame of the answer.
#[derive(Debug, Serialize, Deserialize)]
struct AnswerFrame {
    nonce: u64,
    /// The number of this frame, from 0.
    number: u32,
    part: Part,
}
