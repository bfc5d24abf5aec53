//! Messages on the TCP links between entries and agents, and between two agents.
//!
//! An entry sends a request to an agent as an *attempt*. The agent runs it at its upstream and
//! streams the response back in numbered chunks. After a lost link the entry *settles* the attempt:
//! it asks whether the attempt ran, and the agent withdraws it if it has not started.

use bytes::Bytes;
use sardinepin_common::{AttemptId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::errors::ErrorKind;
use crate::load::Load;

/// The role of a process in the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers and dispatches them to agents.
    Entry,
    /// Runs next to one upstream and forwards attempts to it.
    Agent,
}

/// The first message that each side sends on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION).
    pub version: u16,
    /// The sender's role.
    pub role: Role,
    /// The sender's configured name.
    pub name: String,
    /// The availability zone in which the sender runs.
    pub zone: String,
    /// The sender's incarnation, which tells a restarted process from the previous one.
    pub incarnation: Incarnation,
}

/// One header field of a request or response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeaderField {
    /// The field name in lower case.
    pub name: String,
    /// The raw field value; not necessarily valid text.
    pub value: Bytes,
}

/// The HTTP request that an attempt sends to the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRequest {
    /// The HTTP method, such as `POST`.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The header fields that are forwarded to the upstream.
    pub headers: Vec<HeaderField>,
    /// The complete body.
    pub body: Bytes,
}

/// An idempotency key, scoped to an organisation and a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation that chose the key.
    pub organisation: String,
    /// The service that the request is for.
    pub service: String,
    /// The value of the caller's `Idempotency-Key` header.
    pub key: String,
}

/// One attempt to run a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Identifies this attempt; a retry is a new attempt with its own ID.
    pub id: AttemptId,
    /// The request ID used in logs and header fields.
    pub request: String,
    /// The service that the request is for.
    pub service: String,
    /// The organisation of the caller.
    pub organisation: String,
    /// The digest of organisation, service, method, path and body.
    pub digest: Digest,
    /// The time remaining until the deadline, in milliseconds.
    pub budget_ms: u32,
    /// The priority for the engine's scheduler; 0 is the highest.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The idempotency key; if present, the agent claims it in the store before running the request.
    pub key: Option<ClaimKey>,
    /// The number of response tokens that the caller already has; the response resumes after them.
    pub resume: u64,
    /// The request that is sent to the upstream.
    pub call: UpstreamRequest,
}

/// The state of an attempt, reported by its agent after a link was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SettledState {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt is running or has run; its response resumes at the requested chunk.
    Attached,
    /// The attempt may have run, and its response is not available.
    Unknown,
}

/// The state of a claim on an idempotency key, reported by the agent that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request did not run here and never will; the asking agent may take over the claim.
    Released,
    /// The agent is still claiming the key and has not run the request; the asking agent must read
    /// the claim again.
    Claiming,
    /// The request is running; the asking agent must ask again.
    Running,
    /// The request ran and produced this response.
    Done {
        /// The HTTP status code.
        status: u16,
        /// The header fields of the response.
        headers: Vec<HeaderField>,
        /// The complete body.
        body: Bytes,
    },
    /// The request may have run, and its response is not available.
    Unknown,
}

/// Messages to an agent, from an entry or from another agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Introduces the sender; always the first message on a link.
    Hello(Hello),
    /// Starts an attempt.
    Run(Box<Attempt>),
    /// Acknowledges chunks; the agent may send up to one flow-control window beyond them.
    Received {
        /// The ID of the attempt.
        id: AttemptId,
        /// The number of chunks received in order.
        chunks: u64,
        /// Whether the end marker has arrived too, so that the agent may discard the response.
        ended: bool,
    },
    /// Cancels an attempt, whether or not it has started.
    Cancel {
        /// The ID of the attempt.
        id: AttemptId,
    },
    /// Asks for the state of an attempt and withdraws it if it has not started.
    Settle {
        /// The ID of the attempt.
        id: AttemptId,
        /// The incarnation of the agent to which the attempt was sent.
        agent: Incarnation,
        /// The number of chunks received in order.
        chunks: u64,
    },
    /// Asks for a [`ToEntry::Pong`] to check that the peer is alive.
    Ping,
    /// Asks another agent for the state of a claim that it made.
    AskClaim {
        /// Correlates the answer with this question; unique on the link.
        ask: u64,
        /// The claimed key.
        key: ClaimKey,
        /// The incarnation of the agent that made the claim.
        claimer: Incarnation,
    },
    /// A message of the rank group's expert map switch; the `groups` crate defines its encoding.
    Group {
        /// The name of the rank group.
        group: String,
        /// The encoded message.
        payload: Bytes,
    },
}

/// Messages from an agent, to an entry or to another agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Introduces the sender; always the first message on a link.
    Hello(Hello),
    /// The agent refused the attempt: it did not run and never will.
    Refused {
        /// The ID of the attempt.
        id: AttemptId,
        /// Why the agent refused the attempt.
        kind: ErrorKind,
        /// When a retry may succeed, in milliseconds from now; 0 if unknown.
        retry_ms: u32,
    },
    /// The status and header fields of the upstream's response.
    Head {
        /// The ID of the attempt.
        id: AttemptId,
        /// The HTTP status code.
        status: u16,
        /// The header fields of the response.
        headers: Vec<HeaderField>,
    },
    /// A part of the upstream's response body.
    Chunk {
        /// The ID of the attempt.
        id: AttemptId,
        /// The sequence number of the chunk, starting at 0.
        seq: u64,
        /// The bytes of this part of the body.
        data: Bytes,
    },
    /// The end marker: the response is complete.
    End {
        /// The ID of the attempt.
        id: AttemptId,
        /// The total number of chunks in the response.
        chunks: u64,
    },
    /// The attempt ran, or may have run, and the rest of its response will not come.
    Broken {
        /// The ID of the attempt.
        id: AttemptId,
        /// Why the response is incomplete.
        kind: ErrorKind,
    },
    /// The answer to [`ToAgent::Settle`].
    Settled {
        /// The ID of the attempt.
        id: AttemptId,
        /// The state of the attempt.
        state: SettledState,
    },
    /// The answer to [`ToAgent::AskClaim`].
    Claim {
        /// The correlation number from the question.
        ask: u64,
        /// The state of the claim.
        state: ClaimState,
    },
    /// A message of the rank group's expert map switch; the `groups` crate defines its encoding.
    Group {
        /// The name of the rank group.
        group: String,
        /// The encoded message.
        payload: Bytes,
    },
    /// The answer to [`ToAgent::Ping`].
    Pong,
    /// The upstream accepts no new attempts from now on.
    Leaving,
    /// A periodic report of the upstream's load.
    Load(Load),
}
