//! Parses and classifies a caller's HTTP request.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use sardinepin_config::{
    Decision, RequestAttributes, Service, ServiceKind, Snapshot, evaluate_rules, find_service,
    longest_prefix_len, organisation_tags,
};
use sardinepin_protocol::{ClaimKey, Digest, ErrorKind, HeaderField, UpstreamRequest};
use serde::Deserialize;

/// The header field with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;

/// How much of the first message identifies a prompt prefix, in bytes. Requests with the same
/// prefix go to the upstream that has it cached.
const PREFIX_MAX_BYTES: usize = 1_024;

/// A caller's request after validation and rule evaluation.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) service: Arc<Service>,
    pub(crate) organisation: Arc<str>,
    /// The organisation's weight in fair sharing; 1 if the configuration does not list it.
    pub(crate) weight: u32,
    pub(crate) decision: Decision,
    pub(crate) digest: Digest,
    /// The digest of the model's name and the start of the prompt; only for model services.
    pub(crate) prefix: Option<Digest>,
    /// The digests of the messages of its prompt but the last, which is its own.
    pub(crate) parts: Vec<Digest>,
    /// The idempotency key; only for keyed calls.
    pub(crate) key: Option<ClaimKey>,
    pub(crate) idempotent: bool,
    /// The maximum number of tokens to generate; 1 if it is not given or not a model request.
    pub(crate) cost: u32,
    pub(crate) upstream_request: UpstreamRequest,
}

/// The fields of a chat completion request that routing uses.
#[derive(Debug, Default, Deserialize)]
struct ChatCompletion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
}

#[derive(Debug, Default, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

impl Call {
    /// Parses a request of `organisation` and evaluates the rules for it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is refused.
    pub(crate) fn parse(
        snapshot: &Snapshot,
        organisation: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Self, ErrorKind> {
        let path = parts.uri.path();
        let chat = ChatCompletion::parse(&body);
        let model_name = chat.as_ref().map_or("", |chat| chat.model.as_str());
        let service = find_service(snapshot, path, model_name).ok_or(ErrorKind::NoService)?;
        let headers = text_headers(parts);
        let known = snapshot.organisation(organisation);
        let attributes = RequestAttributes {
            organisation,
            tags: organisation_tags(known.map(Arc::as_ref)),
            service: &service.name,
            method: parts.method.as_str(),
            path,
            headers: &headers,
        };
        let decision = evaluate_rules(&snapshot.rules(), &attributes);
        if decision.refuse {
            return Err(ErrorKind::RefusedByRule);
        }
        let keyed = is_keyed(service, parts);
        let key = read_key(parts, organisation, service)?;
        if keyed && key.is_none() {
            return Err(ErrorKind::KeyRequired);
        }
        let model = service.kind == ServiceKind::Model;
        Ok(Self {
            organisation: Arc::from(organisation),
            weight: known.map_or(1, |found| found.weight),
            decision,
            digest: request_digest(service, organisation, parts, &body),
            prefix: chat.as_ref().filter(|_| model).map(ChatCompletion::prefix),
            parts: chat
                .as_ref()
                .filter(|_| model)
                .map(ChatCompletion::shared_parts)
                .unwrap_or_default(),
            key: key.filter(|_| keyed),
            idempotent: model || (!keyed && parts.method.is_idempotent()),
            cost: chat
                .filter(|_| model)
                .and_then(|chat| chat.max_tokens)
                .unwrap_or(1),
            upstream_request: UpstreamRequest {
                method: parts.method.as_str().to_owned(),
                path: parts
                    .uri
                    .path_and_query()
                    .map_or(path, |path_and_query| path_and_query.as_str())
                    .to_owned(),
                headers: header_fields(parts),
                body,
            },
            service: Arc::clone(service),
        })
    }

    /// Returns the deadline in milliseconds after arrival: that of the rules if they set one, else
    /// the service's.
    pub(crate) fn deadline_ms(&self) -> u64 {
        self.decision
            .deadline_ms
            .unwrap_or(self.service.deadline_ms)
    }
}

impl ChatCompletion {
    fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    fn shared_parts(&self) -> Vec<Digest> {
        let shared = self
            .messages
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let texts = shared.iter().map(|message| message.content.to_string());
        texts
            .map(|text| Digest::of(&[b"part", text.as_bytes()]))
            .collect()
    }

    fn prefix(&self) -> Digest {
        let first = self
            .messages
            .first()
            .map(|message| message.content.to_string());
        let first = first.unwrap_or_default();
        let bytes = first.as_bytes();
        Digest::of(&[
            self.model.as_bytes(),
            &bytes[..bytes.len().min(PREFIX_MAX_BYTES)],
        ])
    }
}

fn is_keyed(service: &Service, parts: &Parts) -> bool {
    !parts.method.is_safe() && longest_prefix_len(&service.keyed_paths, parts.uri.path()).is_some()
}

fn read_key(
    parts: &Parts,
    organisation: &str,
    service: &Service,
) -> Result<Option<ClaimKey>, ErrorKind> {
    let Some(value) = parts.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| ErrorKind::BadRequest)?;
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
        return Err(ErrorKind::BadRequest);
    }
    Ok(Some(ClaimKey {
        organisation: organisation.to_owned(),
        service: service.name.clone(),
        key: key.to_owned(),
    }))
}

fn request_digest(service: &Service, organisation: &str, parts: &Parts, body: &[u8]) -> Digest {
    let path = parts
        .uri
        .path_and_query()
        .map_or("", |path_and_query| path_and_query.as_str());
    Digest::of(&[
        organisation.as_bytes(),
        service.name.as_bytes(),
        parts.method.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ])
}

fn text_headers(parts: &Parts) -> Vec<(String, String)> {
    parts
        .headers
        .iter()
        .filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect()
}

fn header_fields(parts: &Parts) -> Vec<HeaderField> {
    parts
        .headers
        .iter()
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
