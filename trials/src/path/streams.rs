//! Many open streams at one entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anyhow::{Result, bail, ensure};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::http::HttpClient;
use sardinepin_standins::tokens::{prompt_digest, token_text};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::system::MODEL;

/// How long all streams may take to have a token.
const OPEN_WITHIN: Millis = Millis(60_000);

/// The time between two looks.
const LOOK: Millis = Millis(50);

/// The time between two new streams.
const BETWEEN: Millis = Millis(2);

/// The tokens of an answer, so many that none ends by itself.
const TOKENS: u64 = 1_000_000;

/// Streams that are open.
#[derive(Debug)]
pub(super) struct Held {
    open: usize,
    stop: watch::Sender<bool>,
    tasks: JoinSet<u64>,
}

/// What was seen of the streams.
#[derive(Debug)]
pub(super) struct Tokens {
    /// How many were open at once.
    pub(super) open: usize,
    /// How many had a wrong token.
    pub(super) wrong: u64,
}

/// Opens `count` streams at an entry and returns when each has had a token.
pub(super) async fn hold_streams(fleet: &Fleet, entry: SocketAddr, count: usize) -> Result<Held> {
    let (stop, stopped) = watch::channel(false);
    let begun = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let stream = follow(fleet.client.clone(), entry, number, Arc::clone(&begun));
        let mut stopped = stopped.clone();
        tasks.spawn(async move {
            let mut wrong = 0;
            tokio::select! {
                result = stream => {
                    wrong = 1;
                    log_end(number, result);
                }
                _ = stopped.wait_for(|stopped| *stopped) => {}
            }
            wrong
        });
        tokio::time::sleep(BETWEEN.duration()).await;
    }
    let clock = Clock::start();
    while begun.load(Ordering::Relaxed) < count {
        if clock.now() > OPEN_WITHIN {
            bail!("only {} streams are open", begun.load(Ordering::Relaxed));
        }
        tokio::time::sleep(LOOK.duration()).await;
    }
    Ok(Held {
        open: count,
        stop,
        tasks,
    })
}

impl Held {
    /// Ends the streams and returns what was seen.
    pub(super) async fn end(mut self) -> Tokens {
        // Nobody waits any more if every stream has ended by itself.
        let _ = self.stop.send(true);
        let mut wrong = 0;
        while let Some(result) = self.tasks.join_next().await {
            wrong += result.unwrap_or(1);
        }
        Tokens {
            open: self.open,
            wrong,
        }
    }
}

fn log_end(number: usize, result: Result<()>) {
    match result {
        Ok(()) => eprintln!("stream {number} ended by itself"),
        Err(error) => eprintln!("stream {number}: {error:#}"),
    }
}

/// Reads a stream as long as its tokens are those expected.
async fn follow(
    caller: HttpClient,
    entry: SocketAddr,
    number: usize,
    begun: Arc<AtomicUsize>,
) -> Result<()> {
    let messages = json!([{"role": "user", "content": format!("stream {number}")}]);
    let prompt = prompt_digest(&messages);
    let body = json!({
        "model": MODEL, "messages": messages, "max_tokens": TOKENS, "stream": true,
    });
    let headers = [
        ("x-organisation", "streams"),
        ("content-type", "application/json"),
    ];
    let body = Bytes::from(body.to_string());
    let path = "/v1/chat/completions";
    let response = caller
        .request_streaming(Method::POST, entry, path, &headers, body)
        .await?;
    ensure!(response.status().is_success(), "{}", response.status());
    let mut parts = response.into_body();
    let mut text = String::new();
    let mut count = 0;
    while let Some(frame) = parts.frame().await {
        if let Some(data) = frame?.data_ref() {
            text.push_str(&String::from_utf8_lossy(data));
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            let data = event.trim_start_matches("data:").trim();
            let chunk: Value = serde_json::from_str(data)?;
            let content = chunk["choices"][0]["delta"]["content"].as_str();
            let expected = token_text(prompt, count);
            ensure!(content == Some(expected.as_str()), "token {count}: {data}");
            if count == 0 {
                begun.fetch_add(1, Ordering::Relaxed);
            }
            count += 1;
            text = rest.to_owned();
        }
    }
    Ok(())
}
