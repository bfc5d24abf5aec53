//! Messages on the TCP links between entries and agents, and between agents.

use bytes::Bytes;
use sardinepin_common::{AttemptId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::errors::ErrorKind;
use crate::load::Load;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Stands before one upstream.
    Agent,
}

/// The first frame of each side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION).
    pub version: u16,
    /// The sender's role.
    pub role: Role,
    /// The sender's name, as its settings give it.
    pub name: String,
    /// The sender's availability zone.
    pub zone: String,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
}

/// One header field of a call or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeaderField {
    /// The name, in lower case.
    pub name: String,
    /// The value; it need not be text.
    pub value: Bytes,
}

/// The HTTP call that an attempt passes to its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRequest {
    /// The method, such as `POST`.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The header fields that go to the upstream.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Bytes,
}

/// The idempotency key of a call, within its organisation and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation that chose the key.
    pub organisation: String,
    /// The service that the call is for.
    pub service: String,
    /// The key itself.
    pub key: String,
}

/// One attempt to run a request at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt's identifier.
    pub id: AttemptId,
    /// The request identifier that runs through logs and headers.
    pub request: String,
    /// The service that the call is for.
    pub service: String,
    /// The organisation that made the call.
    pub organisation: String,
    /// The digest of organisation, service, method, path and body.
    pub digest: Digest,
    /// The time left until the deadline, in milliseconds.
    pub budget_ms: u32,
    /// The urgency for the engine's scheduler; 0 is the most urgent.
    pub priority: u8,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The idempotency key, for calls that are claimed before they run.
    pub key: Option<ClaimKey>,
    /// How many tokens of the answer the caller already has.
    pub resume: u64,
    /// The call itself.
    pub call: UpstreamRequest,
}

/// What an agent says of an attempt after a link was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SettledState {
    /// It has not run and never will.
    NotRun,
    /// It runs or has run; its answer follows from the chunk that was asked for.
    Attached,
    /// It may have run, and its answer is not to be had.
    Unknown,
}

/// What the claiming agent says of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The call has not run here and never will: the asker may take the claim over.
    Released,
    /// The process is claiming the key itself and has not run the call: read the claim again.
    Claiming,
    /// The call runs; ask again.
    Running,
    /// The call ran and gave this answer.
    Done {
        /// The HTTP status code.
        status: u16,
        /// The header fields of the answer.
        headers: Vec<HeaderField>,
        /// The whole body.
        body: Bytes,
    },
    /// The call may have run, and its answer is not to be had.
    Unknown,
}

/// Frames to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Opens the link.
    Hello(Hello),
    /// Asks for an attempt.
    Run(Box<Attempt>),
    /// Says how many chunks have arrived; the agent may send a window beyond them.
    Received {
        /// The attempt.
        id: AttemptId,
        /// How many chunks have arrived in order.
        chunks: u64,
        /// Whether the end mark has arrived too, so that the agent may forget the answer.
        ended: bool,
    },
    /// Stops an attempt, run or not.
    Cancel {
        /// The attempt.
        id: AttemptId,
    },
    /// Asks what became of an attempt, and withdraws it if it has not begun.
    Settle {
        /// The attempt.
        id: AttemptId,
        /// The incarnation of the agent that the attempt was sent to.
        agent: Incarnation,
        /// How many chunks have arrived in order.
        chunks: u64,
    },
    /// Asks for a sign of life.
    Ping,
    /// Asks another agent about a claim that it made.
    AskClaim {
        /// The number of this question on this link.
        ask: u64,
        /// The claimed key.
        key: ClaimKey,
        /// The incarnation that made the claim.
        claimer: Incarnation,
    },
    /// A message of the rank group's map switch, encoded by its own package.
    Group {
        /// The group's name.
        group: String,
        /// The encoded message.
        payload: Bytes,
    },
}

/// Frames from an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Opens the link.
    Hello(Hello),
    /// The attempt did not run here and never will.
    Refused {
        /// The attempt.
        id: AttemptId,
        /// The reason.
        kind: ErrorKind,
        /// When coming back makes sense, in milliseconds; 0 if nothing is known.
        retry_ms: u32,
    },
    /// The head of the upstream's answer.
    Head {
        /// The attempt.
        id: AttemptId,
        /// The HTTP status code.
        status: u16,
        /// The header fields.
        headers: Vec<HeaderField>,
    },
    /// A part of the upstream's answer.
    Chunk {
        /// The attempt.
        id: AttemptId,
        /// The chunk's number, from 0.
        seq: u64,
        /// The bytes.
        data: Bytes,
    },
    /// The end mark: the answer is whole.
    End {
        /// The attempt.
        id: AttemptId,
        /// How many chunks the answer has.
        chunks: u64,
    },
    /// The attempt ran, or may have run, and no more of its answer will come.
    Broken {
        /// The attempt.
        id: AttemptId,
        /// The reason.
        kind: ErrorKind,
    },
    /// The answer to [`ToAgent::Settle`].
    Settled {
        /// The attempt.
        id: AttemptId,
        /// What became of it.
        state: SettledState,
    },
    /// The answer to [`ToAgent::AskClaim`].
    Claim {
        /// The number of the question.
        ask: u64,
        /// What became of the claim.
        state: ClaimState,
    },
    /// A message of the rank group's map switch, encoded by its own package.
    Group {
        /// The group's name.
        group: String,
        /// The encoded message.
        payload: Bytes,
    },
    /// The answer to [`ToAgent::Ping`].
    Pong,
    /// The upstream takes no new work from now on.
    Leaving,
    /// A load report.
    Load(Load),
}
