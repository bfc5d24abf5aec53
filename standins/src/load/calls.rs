//! The calls of a run, drawn at random from its seed.

use bytes::Bytes;
use rand::Rng as _;
use sardinepin_common::{Clock, Rng};
use sardinepin_protocol::Digest;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::answers::SendResult;
use super::report::SendRecord;
use super::settings::Settings;
use crate::tokens::prompt_digest;

/// The path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A plain call with an idempotency key, which must not run twice.
    Keyed,
    /// A plain call that may run more than once.
    Plain,
    /// A streamed chat completion.
    Stream,
    /// A chat completion that is not streamed.
    Chat,
}

/// How often and when a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendMode {
    Once,
    /// Once more after the first outcome, to the next entry.
    Repeated,
    /// Twice at the same time, to two entries.
    Concurrent,
}

/// One call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    pub(super) mode: SendMode,
    pub(super) organisation: String,
    pub(super) path: String,
    pub(super) key: Option<String>,
    pub(super) body: Bytes,
    pub(super) prompt: Digest,
    pub(super) tokens: u64,
    /// Whether the caller leaves early.
    pub(super) leaves: bool,
    /// Whether the caller reads a stream slowly.
    pub(super) reads_slowly: bool,
    name: String,
    entry: usize,
}

impl Call {
    /// Draws the call with this number.
    pub(super) fn draw(settings: &Settings, number: u64, rng: &mut Rng) -> Self {
        let kind = draw_kind(settings, rng);
        let index = rng.random_range(0..settings.organisations.len());
        let organisation = settings.organisations[index].clone();
        let name = format!("load-{}-{number}", settings.seed);
        let tokens = rng.random_range(1..=settings.tokens_max.max(1));
        // The prompt contains the organisation and the name of the call, so that no two calls have
        // the same answer.
        let messages = json!([
            {"role": "system", "content": format!("You help {organisation}.")},
            {"role": "user", "content": format!("{name} {}", "x".repeat(settings.padding))},
        ]);
        let prompt = prompt_digest(&messages);
        let body = match kind {
            CallKind::Keyed | CallKind::Plain => json!({"name": name, "messages": messages}),
            CallKind::Stream | CallKind::Chat => chat_body(settings, kind, messages, tokens),
        };
        let path = match kind {
            CallKind::Keyed => settings.keyed_path.as_str(),
            CallKind::Plain => settings.plain_path.as_str(),
            CallKind::Stream | CallKind::Chat => CHAT_PATH,
        };
        Self {
            kind,
            mode: draw_mode(settings, kind, rng),
            organisation,
            path: path.to_owned(),
            key: (kind == CallKind::Keyed).then(|| format!("key-{name}")),
            body: body.to_string().into(),
            prompt,
            tokens,
            entry: rng.random_range(0..settings.entries.len()),
            leaves: draw_leaves(settings, kind, rng),
            reads_slowly: settings.slow_milli > 0
                && rng.random_range(0..1_000) < settings.slow_milli,
            name,
        }
    }

    /// Returns the index of the entry, out of `entries`, that this copy is sent to.
    pub(super) fn entry(&self, copy: usize, entries: usize) -> usize {
        (self.entry + copy) % entries
    }

    /// Returns the request identifier of this copy, which differs between copies.
    pub(super) fn request(&self, copy: usize) -> String {
        format!("{}-{copy}", self.name)
    }

    /// Returns the record of this copy.
    pub(super) fn record(&self, copy: usize, result: &SendResult) -> SendRecord {
        SendRecord {
            kind: self.kind,
            request: self.request(copy),
            key: self.key.clone(),
            outcome: result.outcome,
            reason: result.reason.clone(),
            ended_at: Clock::wall_time(),
            left_at: result.left_at,
        }
    }
}

fn chat_body(settings: &Settings, kind: CallKind, messages: Value, tokens: u64) -> Value {
    json!({
        "model": settings.model,
        "messages": messages,
        "max_tokens": tokens,
        "stream": kind == CallKind::Stream,
    })
}

fn draw_kind(settings: &Settings, rng: &mut Rng) -> CallKind {
    let mix = settings.mix;
    let mut drawn = rng.random_range(0..mix.total());
    for (kind, weight) in [
        (CallKind::Keyed, mix.keyed),
        (CallKind::Plain, mix.plain),
        (CallKind::Stream, mix.stream),
    ] {
        if drawn < weight {
            return kind;
        }
        drawn -= weight;
    }
    CallKind::Chat
}

/// Draws whether a caller leaves early. Nothing is drawn if none does, so that a seed gives the same
/// calls with and without such callers.
fn draw_leaves(settings: &Settings, kind: CallKind, rng: &mut Rng) -> bool {
    kind == CallKind::Plain
        && settings.leave_milli > 0
        && rng.random_range(0..1_000) < settings.leave_milli
}

fn draw_mode(settings: &Settings, kind: CallKind, rng: &mut Rng) -> SendMode {
    let drawn = rng.random_range(0..1_000);
    if kind != CallKind::Keyed || drawn >= settings.copies_milli {
        SendMode::Once
    } else if drawn.is_multiple_of(2) {
        SendMode::Repeated
    } else {
        SendMode::Concurrent
    }
}
