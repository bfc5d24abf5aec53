//! Callers of requests with a part that crashes workers, and of sound ones that share all else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sardinepin_common::Millis;
use sardinepin_standins::load::PLATFORM_HOST;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::record::Records;
use crate::stops::fleet::KEY;

/// The interval between two requests with a part, for each part, and between two sound ones.
const PART_INTERVAL: Millis = Millis(250);
const SOUND_INTERVAL: Millis = Millis(100);

/// How long a request may take.
const TIME_BUDGET: Millis = Millis(8_000);

/// What callers send.
#[derive(Debug, Clone)]
pub(super) struct CallerSettings {
    pub(super) gateways: Vec<SocketAddr>,
    pub(super) parts: Vec<String>,
    pub(super) path: &'static str,
}

/// Starts to send until `ended`.
pub(super) fn start(
    settings: CallerSettings,
    records: Arc<Records>,
    ended: Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let settings = Arc::new(settings);
    let numbers = Arc::new(AtomicU64::new(0));
    let parts = settings
        .parts
        .iter()
        .map(|part| (Some(part.clone()), PART_INTERVAL));
    let flows: Vec<_> = parts.chain([(None, SOUND_INTERVAL)]).collect();
    let flows = flows.into_iter().map(|(part, interval)| {
        let (settings, records) = (Arc::clone(&settings), Arc::clone(&records));
        let (numbers, ended) = (Arc::clone(&numbers), Arc::clone(&ended));
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(interval.duration());
            while !ended.load(Ordering::Relaxed) {
                ticks.tick().await;
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                let call = send(
                    Arc::clone(&settings),
                    Arc::clone(&records),
                    part.clone(),
                    number,
                );
                tokio::spawn(call);
            }
        })
    });
    flows.collect()
}

async fn send(
    settings: Arc<CallerSettings>,
    records: Arc<Records>,
    part: Option<String>,
    number: u64,
) {
    let at = usize::try_from(number).unwrap_or_default() % settings.gateways.len();
    let sent_at = records.now();
    let shared = part.as_deref().unwrap_or("good");
    let text = format!(
        "GET {} HTTP/1.1\r\nhost: {PLATFORM_HOST}\r\nauthorization: Token {KEY}\r\nx-attempt-id: r-{number}\r\n\
         x-deadline-ms: {}\r\nx-prompt-prefix: common:40,{shared}:20,own{number}:10\r\nconnection: close\r\n\r\n",
        settings.path, TIME_BUDGET.0
    );
    let exchange = exchange(settings.gateways[at], &text);
    let answer = tokio::time::timeout(TIME_BUDGET.duration(), exchange).await;
    let answer = answer.ok().flatten().unwrap_or_default();
    let status = answer
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    match part {
        Some(_) => records.add_status(status.unwrap_or(0)),
        None => records.add_sound(sent_at, status == Some(200) && answer.contains("id: 5")),
    }
}

async fn exchange(gateway: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(gateway).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    // What came before a reset counts.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).ok()
}
