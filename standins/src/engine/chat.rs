//! Chat completions: parses the request and sends the answer as JSON or as server-sent events.

use std::io;

use anyhow::{Context, Result};
use bytes::Bytes;
use futures_util::stream;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use sardinepin_protocol::Digest;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::http::{CloseConnection, HandlerResult, json_response, streaming_response};
use crate::tokens::{answer_text, prompt_digest, token_text};

/// The number of tokens in an answer if the request sets no maximum.
const DEFAULT_TOKENS: u64 = 16;

/// The priority of a request without the priority header; a lower number runs first.
const DEFAULT_PRIORITY: u8 = 100;

/// Receives the indices of the tokens of an answer as they are computed.
pub(super) type TokenReceiver = UnboundedReceiver<io::Result<u64>>;

/// A parsed chat completion request.
#[derive(Debug, Clone)]
pub(super) struct ChatRequest {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt: Digest,
    /// The digest of the first message, which is the key of the prefix cache.
    pub(super) prefix: Digest,
    pub(super) priority: u8,
    /// The index of the first token to send; above 0 when a stream is resumed.
    pub(super) offset: u64,
    /// The number of tokens in the complete answer, including those before `offset`.
    pub(super) tokens: u64,
    pub(super) stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    #[serde(default)]
    model: String,
    messages: Value,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl ChatRequest {
    /// Parses the headers and the JSON body of a request.
    pub(super) fn parse(request: &Request<Bytes>) -> Result<Self> {
        let body: ChatBody = serde_json::from_slice(request.body()).context("the body")?;
        let first = body.messages.get(0).context("there is no message")?;
        let headers = request.headers();
        Ok(Self {
            id: header_text(headers, "x-request-id")
                .unwrap_or_default()
                .to_owned(),
            prompt: prompt_digest(&body.messages),
            prefix: prompt_digest(first),
            model: body.model,
            priority: header_number(headers, "x-priority").unwrap_or(DEFAULT_PRIORITY),
            offset: header_number(headers, "x-resume-offset").unwrap_or(0),
            tokens: body.max_tokens.unwrap_or(DEFAULT_TOKENS),
            stream: body.stream,
        })
    }

    fn chunk_event(&self, index: u64) -> Bytes {
        let mut delta = json!({"content": token_text(self.prompt, index)});
        if index == 0 {
            delta["role"] = "assistant".into();
        }
        let is_last = index + 1 == self.tokens;
        let chunk = json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "delta": delta,
                "finish_reason": is_last.then_some("length"),
            }],
        });
        format!("data: {chunk}\n\n").into()
    }

    fn completion(&self) -> Value {
        let content = answer_text(self.prompt, self.tokens);
        json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": "length",
            }],
            "usage": {"completion_tokens": self.tokens},
        })
    }
}

/// Responds with one server-sent event per token, then the end marker.
pub(super) fn stream_completion(chat: ChatRequest, tokens: TokenReceiver) -> HandlerResult {
    let state = (chat.offset, chat, tokens, false);
    let events = stream::unfold(state, |(next, chat, mut tokens, done)| async move {
        if done {
            return None;
        }
        if next >= chat.tokens {
            let end_marker = Ok(Bytes::from_static(b"data: [DONE]\n\n"));
            return Some((end_marker, (next, chat, tokens, true)));
        }
        // The stream of a cancelled request ends without the end marker.
        let event = tokens.recv().await?.map(|index| chat.chunk_event(index));
        Some((event, (next + 1, chat, tokens, false)))
    });
    streaming_response("text/event-stream", events)
}

/// Responds with the complete answer once all tokens are computed.
pub(super) async fn full_completion(chat: ChatRequest, mut tokens: TokenReceiver) -> HandlerResult {
    for _ in chat.offset..chat.tokens {
        tokens
            .recv()
            .await
            .and_then(Result::ok)
            .ok_or(CloseConnection)?;
    }
    json_response(StatusCode::OK, &chat.completion())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}
