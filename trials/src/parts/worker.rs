//! Workers in this process that crash on parts of prompts, and come back as new processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use anyhow::Result;
use hyper::Method;
use rand::Rng as _;
use sardinepin_common::{Millis, seeded_rng};
use sardinepin_standins::http::HttpClient;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::record::Records;

/// The number of workers.
const WORKERS: usize = 6;

/// How long a worker is away after a crash.
const AWAY_TIME: Millis = Millis(2_000);

/// How long after a crash the entry of the worker lapses.
const LAPSE_TIME: Millis = Millis(3_600);

/// The events of an answer, and the time between two of them.
const EVENTS: u64 = 5;
const EVENT_TIME: Millis = Millis(10);

/// Which parts crash workers, and how.
#[derive(Debug, Clone)]
pub(super) struct PartSettings {
    pub(super) seed: u64,
    pub(super) parts: Vec<String>,
    pub(super) crash_percent: u64,
    /// Whether answers are no streams, and have no length.
    pub(super) is_plain: bool,
}

/// The workers.
#[derive(Debug)]
pub(super) struct PartWorkers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: PartSettings,
    store: SocketAddr,
    client: HttpClient,
    records: Arc<Records>,
    crashes: AtomicBool,
    drawn: AtomicU64,
}

/// One life of a worker.
struct Life {
    id: String,
    crashed: watch::Sender<bool>,
    /// Whether its listener is closed.
    closed: watch::Sender<bool>,
}

impl PartWorkers {
    /// Starts the workers and lists them.
    pub(super) async fn start(
        settings: PartSettings,
        store: SocketAddr,
        records: Arc<Records>,
    ) -> Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            store,
            client: HttpClient::default(),
            records,
            crashes: AtomicBool::new(false),
            drawn: AtomicU64::new(0),
        });
        for number in 0..WORKERS {
            let (listener, id) = shared.list(number, 0).await?;
            tokio::spawn(live_on(Arc::clone(&shared), number, listener, id));
        }
        Ok(Self { shared })
    }

    /// Lets the parts crash workers from now on.
    pub(super) fn begin_to_crash(&self) {
        self.shared.crashes.store(true, Ordering::Relaxed);
    }
}

/// Runs one life of a worker after the other.
async fn live_on(shared: Arc<Shared>, number: usize, listener: TcpListener, id: String) {
    let (mut listener, mut id) = (listener, id);
    for life in 1.. {
        serve(&shared, listener, id.clone()).await;
        let gone = Arc::clone(&shared);
        tokio::spawn(async move {
            tokio::time::sleep(LAPSE_TIME.duration()).await;
            let path = format!("/objects/servers/{id}");
            let _ = gone
                .client
                .send_json(Method::DELETE, gone.store, &path, &json!({}))
                .await;
        });
        tokio::time::sleep(AWAY_TIME.duration()).await;
        let Ok(next) = shared.list(number, life).await else {
            return;
        };
        (listener, id) = next;
    }
}

/// Serves until the worker crashes.
async fn serve(shared: &Arc<Shared>, listener: TcpListener, id: String) {
    let life = Arc::new(Life {
        id,
        crashed: watch::Sender::new(false),
        closed: watch::Sender::new(false),
    });
    let mut crashed = life.crashed.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(Arc::clone(shared), Arc::clone(&life), stream));
                }
            }
            _ = crashed.changed() => break,
        }
    }
    drop(listener);
    life.closed.send_replace(true);
}

async fn serve_connection(shared: Arc<Shared>, life: Arc<Life>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut closed = life.closed.subscribe();
    let mut stream = BufReader::new(stream);
    let serving = async { while shared.answer(&life, &mut stream).await.is_some() {} };
    // The connections of a process that crashes end after its listener.
    tokio::select! {
        () = serving => {}
        _ = closed.wait_for(|closed| *closed) => {}
    }
}

impl Shared {
    /// Binds a new address and lists it.
    async fn list(&self, number: usize, life: u64) -> Result<(TcpListener, String)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-{number}-{life}");
        let service = if self.settings.is_plain { "app" } else { "llm" };
        let entry = json!({"service": service, "address": listener.local_addr()?.to_string(), "zone": "a",
            "slots": 12, "state": "ready", "version": "v1", "cold-remaining-ms": 0, "seq": 1, "born": life + 1});
        let path = format!("/control/servers/{id}");
        self.client
            .send_json(Method::PUT, self.store, &path, &entry)
            .await?;
        Ok((listener, id))
    }

    /// Answers one request; `None` at the end of the connection.
    async fn answer(&self, life: &Life, stream: &mut BufReader<TcpStream>) -> Option<()> {
        let (path, id, prompt) = read(stream).await?;
        if path == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                life.id
            );
            return stream.write_all(head.as_bytes()).await.ok();
        }
        let parts = self.settings.parts.iter();
        let found: Vec<&String> = parts
            .filter(|part| prompt.contains(part.as_str()))
            .collect();
        for part in &found {
            self.records.add_arrival(part);
        }
        let framing = if self.settings.is_plain {
            "connection: close"
        } else {
            "transfer-encoding: chunked"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for number in 1..=EVENTS {
            tokio::time::sleep(EVENT_TIME.duration()).await;
            self.write_part(stream, number).await?;
            if number == 1
                && let Some(part) = found.first()
                && self.is_crash()
            {
                self.records.add_crash(part);
                life.crashed.send_replace(true);
                std::future::pending::<()>().await;
            }
        }
        if self.settings.is_plain {
            return None;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }

    async fn write_part(&self, stream: &mut BufReader<TcpStream>, number: u64) -> Option<()> {
        let event = format!("id: {number}\ndata: x\n\n");
        let part = match self.settings.is_plain {
            true => event,
            false => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        stream.write_all(part.as_bytes()).await.ok()
    }

    fn is_crash(&self) -> bool {
        let number = self.drawn.fetch_add(1, Ordering::Relaxed);
        let mut rng = seeded_rng(self.settings.seed.wrapping_mul(1 << 32) ^ number);
        let is_drawn = rng.random_range(0..100) < self.settings.crash_percent;
        self.crashes.load(Ordering::Relaxed) && is_drawn
    }
}

/// Reads a request; returns its path, its identifier and the parts of its prompt.
async fn read(stream: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let (mut path, mut id, mut prompt) = (String::new(), String::new(), String::new());
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        match line.split_once(": ") {
            _ if line.is_empty() => break,
            Some(("x-attempt-id", value)) => id = value.to_owned(),
            Some(("x-prompt-prefix", value)) => prompt = value.to_owned(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => path = line.split(' ').nth(1)?.to_owned(),
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some((path, id, prompt))
}
