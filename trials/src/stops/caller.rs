//! Callers that keep their connections until a gateway ends them, and repeat what the answer allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rand::Rng as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_standins::load::PLATFORM_HOST;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

use super::fleet::KEY;
use super::record::{Attempt, Ending, Kind, Records, TIME_BUDGET};
use super::rotation::Rotation;

/// The receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER: u32 = 4 * 1024;

/// How long such a caller pauses within an answer.
const READ_PAUSE: Millis = Millis(1_800);

/// The longest pause between two requests of a caller.
const THINK_MS_MAX: u64 = 60;

/// How many attempts a caller makes for one request.
const ATTEMPTS_MAX: u32 = 2;

/// One caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerSettings {
    pub(super) number: u64,
    pub(super) seed: u64,
    pub(super) reads_slowly: bool,
    /// The number of events of a whole stream.
    pub(super) events: u64,
}

/// A kept connection.
struct Connection {
    stream: BufReader<TcpStream>,
    gateway: SocketAddr,
    /// Whether an answer has come over it.
    is_used: bool,
}

/// What the end of an answer says.
struct Answer {
    ending: Ending,
    /// Whether the connection may be used again.
    keeps: bool,
}

/// Sends one request after the other until `ended`.
pub(super) async fn run(
    settings: CallerSettings,
    rotation: Rotation,
    records: Arc<Records>,
    ended: Arc<AtomicBool>,
) {
    let mut rng = seeded_rng(settings.seed.wrapping_mul(1 << 32) ^ settings.number);
    let mut connection = None;
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let mut tries = 0;
        let mut failed = None;
        loop {
            tries += 1;
            let id = format!("{}-{number}-{tries}", settings.number);
            if connection.is_none() {
                let gateway = rotation.pick(settings.number + tries * 7_919, failed);
                connection = connect(settings, gateway).await;
            }
            let Some(open) = &mut connection else {
                failed = None;
                records.add_unconnected(kind);
                if tries >= u64::from(ATTEMPTS_MAX) {
                    break;
                }
                continue;
            };
            let (sent_at, gateway, is_kept) = (records.now(), open.gateway, open.is_used);
            let answer = exchange(settings, open, kind, &id).await;
            records.add(Attempt {
                id,
                kind,
                gateway,
                is_kept,
                sent_at,
                ended_at: records.now(),
                ending: answer.ending,
            });
            match answer.keeps {
                true => open.is_used = true,
                false => connection = None,
            }
            if !may_repeat(kind, answer.ending) || tries >= u64::from(ATTEMPTS_MAX) {
                records.add_final(kind, answer.ending);
                break;
            }
            connection = None;
            failed = Some(gateway);
        }
        pause(&mut rng).await;
    }
}

async fn pause(rng: &mut Rng) {
    let time = Millis(rng.random_range(0..=THINK_MS_MAX));
    tokio::time::sleep(time.duration()).await;
}

fn may_repeat(kind: Kind, ending: Ending) -> bool {
    match ending {
        Ending::Served => false,
        Ending::Refused => true,
        Ending::Failed | Ending::Cut | Ending::Unanswered => kind != Kind::Book,
    }
}

async fn connect(settings: CallerSettings, gateway: SocketAddr) -> Option<Connection> {
    let socket = TcpSocket::new_v4().ok()?;
    if settings.reads_slowly {
        socket.set_recv_buffer_size(SMALL_BUFFER).ok()?;
    }
    let stream = socket.connect(gateway).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection {
        stream: BufReader::with_capacity(512, stream),
        gateway,
        is_used: false,
    })
}

async fn exchange(
    settings: CallerSettings,
    connection: &mut Connection,
    kind: Kind,
    id: &str,
) -> Answer {
    let unanswered = Answer {
        ending: Ending::Unanswered,
        keeps: false,
    };
    let text = format!(
        "POST /{}/1 HTTP/1.1\r\nhost: {PLATFORM_HOST}\r\nauthorization: Token {KEY}\r\n\
         x-attempt-id: {id}\r\nx-deadline-ms: {}\r\ncontent-length: 0\r\n\r\n",
        kind.label(),
        TIME_BUDGET.0
    );
    if connection.stream.write_all(text.as_bytes()).await.is_err() {
        return unanswered;
    }
    let Some(head) = read_head(&mut connection.stream).await else {
        return unanswered;
    };
    if settings.reads_slowly {
        tokio::time::sleep(READ_PAUSE.duration()).await;
    }
    let whole = match head.length {
        Some(length) => connection
            .stream
            .read_exact(&mut vec![0; length])
            .await
            .is_ok(),
        None => read_events(&mut connection.stream, id).await == Some(settings.events),
    };
    let ending = match (head.status, whole) {
        (200, true) => Ending::Served,
        (200, false) => Ending::Cut,
        (503 | 429, _) => Ending::Refused,
        _ => Ending::Failed,
    };
    Answer {
        ending,
        keeps: whole && !head.closes,
    }
}

/// The head of an answer.
#[derive(Debug, Default)]
struct Head {
    status: u16,
    /// The length of the body; `None` if it comes in chunks.
    length: Option<usize>,
    closes: bool,
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return (head.status > 0).then_some(head);
        }
        match line.split_once(": ") {
            Some(("content-length", value)) => head.length = value.parse().ok(),
            Some(("connection", value)) => head.closes = value == "close",
            Some(_) => {}
            None => head.status = line.split(' ').nth(1)?.parse().ok()?,
        }
    }
}

/// Reads a stream in chunks; returns the number of the last event, or `None` if it is cut, out of order or another's.
async fn read_events(stream: &mut BufReader<TcpStream>, id: &str) -> Option<u64> {
    let mut last = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        if size == 0 {
            return Some(last);
        }
        let text = String::from_utf8(chunk).ok()?;
        for event in text.trim_end().split("\n\n") {
            last += 1;
            if event != format!("id: {last}\ndata: {id}") {
                return None;
            }
        }
    }
}
