//! The format of a claim in the platform's store.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use sardinepin_common::{Clock, Incarnation, Millis};
use sardinepin_decisions::{CachedResponse, StoredClaim};
use sardinepin_protocol::{Attempt, ClaimKey, Digest, HeaderField};
use sardinepin_store::Object;
use serde::{Deserialize, Serialize};

use crate::agent::state::Agent;

/// The number of shards that claims are listed in; the shard is the first byte of the key's digest.
pub(super) const SHARD_COUNT: u16 = 256;

/// The stored value of a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// The incarnation of the claiming process.
    pub(super) claimer: Incarnation,
    /// The address at which the claiming process can be queried.
    pub(super) address: SocketAddr,
    nonce: u64,
    digest: String,
    /// The wall-clock time at which the claim was made.
    pub(super) made: Millis,
    #[serde(rename = "answer")]
    response: Option<ResponseRecord>,
}

/// The response that is stored with a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ResponseRecord {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

/// Returns the store key of a claim: a digest, so that no text chosen by a caller appears in it.
pub(super) fn claim_store_key(key: &ClaimKey) -> String {
    let digest = Digest::of(&[
        key.organisation.as_bytes(),
        key.service.as_bytes(),
        key.key.as_bytes(),
    ]);
    format!("{}{digest}", shard_prefix(u16::from(digest.0[0])))
}

/// Returns the store prefix of the claims of one shard; `shard` must be below [`SHARD_COUNT`].
pub(super) fn shard_prefix(shard: u16) -> String {
    format!("claims/{shard:02x}/")
}

impl ClaimRecord {
    /// Creates the claim of an attempt, without a response.
    pub(super) fn new(agent: &Agent, attempt: &Attempt, nonce: u64) -> Self {
        Self {
            claimer: agent.identity.incarnation,
            address: agent.keys.address,
            nonce,
            digest: attempt.digest.to_string(),
            made: Clock::wall_time(),
            response: None,
        }
    }

    /// Adds the response of the call.
    pub(super) fn with_response(mut self, response: &CachedResponse) -> Self {
        let headers = response.headers.iter().map(header_pair).collect();
        self.response = Some(ResponseRecord {
            status: response.status,
            headers,
            body: STANDARD.encode(&response.body),
        });
        self
    }

    /// Serializes the claim as JSON.
    pub(super) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a claim; returns `None` if the object does not hold a valid one.
    pub(super) fn parse(object: &Object) -> Option<(Self, StoredClaim)> {
        let record: Self = serde_json::from_str(object.value.as_deref()?).ok()?;
        let claim = StoredClaim {
            claimer: record.claimer,
            nonce: record.nonce,
            digest: Digest::parse(&record.digest)?,
            revision: object.revision,
            response: match &record.response {
                Some(response) => Some(response.parse()?),
                None => None,
            },
        };
        Some((record, claim))
    }
}

impl ResponseRecord {
    fn parse(&self) -> Option<CachedResponse> {
        let headers = self.headers.iter().map(|(name, value)| HeaderField {
            name: name.clone(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        Some(CachedResponse {
            status: self.status,
            headers: headers.collect(),
            body: Bytes::from(STANDARD.decode(&self.body).ok()?),
        })
    }
}

fn header_pair(field: &HeaderField) -> (String, String) {
    let value = String::from_utf8_lossy(&field.value).into_owned();
    (field.name.clone(), value)
}
