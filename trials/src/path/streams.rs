//! Holds many streams open at one entry.

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

use super::deployment::MODEL;

/// The time within which all streams must have received a token.
const OPEN_TIMEOUT: Millis = Millis(60_000);

/// The time between two checks of how many streams have started.
const POLL_INTERVAL: Millis = Millis(50);

/// The time between the starts of two streams.
const STREAM_INTERVAL: Millis = Millis(2);

/// The tokens that each stream requests: enough that none ends by itself.
const MAX_TOKENS: u64 = 1_000_000;

/// Streams that are being read.
#[derive(Debug)]
pub(super) struct OpenStreams {
    open: usize,
    stop: watch::Sender<bool>,
    tasks: JoinSet<u64>,
}

/// The results of the streams.
#[derive(Debug)]
pub(super) struct StreamStats {
    /// The number of concurrent streams.
    pub(super) open: usize,
    /// The number of streams that failed, ended early or had a wrong token.
    pub(super) wrong: u64,
}

/// Opens `count` streams at an entry and returns when each has received a token.
///
/// # Errors
///
/// Fails if not all streams have received a token in time.
pub(super) async fn open_streams_at(
    fleet: &Fleet,
    entry: SocketAddr,
    count: usize,
) -> Result<OpenStreams> {
    let (stop, stopped) = watch::channel(false);
    let started = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let stream = check_stream(fleet.client.clone(), entry, number, Arc::clone(&started));
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
        tokio::time::sleep(STREAM_INTERVAL.duration()).await;
    }
    let clock = Clock::start();
    while started.load(Ordering::Relaxed) < count {
        if clock.now() > OPEN_TIMEOUT {
            bail!(
                "only {} streams have received a token",
                started.load(Ordering::Relaxed)
            );
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    Ok(OpenStreams {
        open: count,
        stop,
        tasks,
    })
}

impl OpenStreams {
    /// Closes the streams and returns their results.
    pub(super) async fn close(mut self) -> StreamStats {
        // The send fails if every stream has ended by itself; nothing is left to stop then.
        let _ = self.stop.send(true);
        let mut wrong = 0;
        while let Some(result) = self.tasks.join_next().await {
            wrong += result.unwrap_or(1);
        }
        StreamStats {
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

/// Reads a stream to its end and fails at the first token that is not the expected one.
async fn check_stream(
    client: HttpClient,
    entry: SocketAddr,
    number: usize,
    started: Arc<AtomicUsize>,
) -> Result<()> {
    let messages = json!([{"role": "user", "content": format!("stream {number}")}]);
    let prompt = prompt_digest(&messages);
    let body = json!({
        "model": MODEL, "messages": messages, "max_tokens": MAX_TOKENS, "stream": true,
    });
    let headers = [
        ("x-organisation", "streams"),
        ("content-type", "application/json"),
    ];
    let body = Bytes::from(body.to_string());
    let path = "/v1/chat/completions";
    let response = client
        .request_streaming(Method::POST, entry, path, &headers, body)
        .await?;
    ensure!(response.status().is_success(), "{}", response.status());
    let mut response_body = response.into_body();
    let mut buffer = String::new();
    let mut count = 0;
    while let Some(frame) = response_body.frame().await {
        if let Some(data) = frame?.data_ref() {
            buffer.push_str(&String::from_utf8_lossy(data));
        }
        while let Some((event, remainder)) = buffer.split_once("\n\n") {
            let data = event.trim_start_matches("data:").trim();
            let chunk: Value = serde_json::from_str(data)?;
            let content = chunk["choices"][0]["delta"]["content"].as_str();
            let expected = token_text(prompt, count);
            ensure!(content == Some(expected.as_str()), "token {count}: {data}");
            if count == 0 {
                started.fetch_add(1, Ordering::Relaxed);
            }
            count += 1;
            buffer = remainder.to_owned();
        }
    }
    Ok(())
}
