//! Callers that keep their connections until a gateway ends them, and repeat what the answer allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rand::Rng as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_standins::load::PLATFORM_HOST;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

use super::content::Content;
use super::fleet::KEY;
use super::record::{Attempt, Ending, Kind, Records, TIME_BUDGET};
use super::rotation::Rotation;

/// The receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER: u32 = 4 * 1024;

/// How long such a caller pauses within an answer.
const READ_PAUSE: Millis = Millis(1_800);

/// The longest pause between two requests of a caller.
const THINK_MS_MAX: u64 = 60;

/// How many parts a body in chunks has, and the pause between two of them.
const BODY_PARTS: usize = 4;
const PART_PAUSE: Millis = Millis(20);

/// How many attempts a caller makes for one request.
const ATTEMPTS_MAX: u32 = 2;

/// The tokens of a prompt, and of an event of a stream.
const PROMPT_TOKENS: u64 = 800;
const EVENT_TOKENS: u64 = 6;

/// One caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerSettings {
    pub(super) number: u64,
    pub(super) seed: u64,
    pub(super) reads_slowly: bool,
    /// How many bytes a second a caller reads that reads slowly; 0 if it pauses once in each answer instead.
    pub(super) read_speed: u64,
    /// The length of the body of a stream's request.
    pub(super) body_bytes: usize,
    /// The share of these that are sent in chunks.
    pub(super) chunked_percent: u64,
    pub(super) content: Content,
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
            let is_chunked = rng.random_range(0..100) < settings.chunked_percent;
            let request = Request {
                id: &id,
                kind,
                is_chunked,
            };
            let answer = exchange(settings, open, &request).await;
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
        _ => kind != Kind::Book,
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

/// A request that a caller sends.
struct Request<'a> {
    id: &'a str,
    kind: Kind,
    /// Whether its body is sent in chunks.
    is_chunked: bool,
}

async fn exchange(
    settings: CallerSettings,
    connection: &mut Connection,
    request: &Request<'_>,
) -> Answer {
    let unanswered = Answer {
        ending: Ending::Unanswered,
        keeps: false,
    };
    let Request { id, kind, .. } = *request;
    // An answer may come before the whole request has been written.
    let _ = settings
        .write_request(&mut connection.stream, request)
        .await;
    let Some(head) = read_head(&mut connection.stream).await else {
        return unanswered;
    };
    if settings.reads_slowly && settings.read_speed == 0 {
        tokio::time::sleep(READ_PAUSE.duration()).await;
    }
    let mut body = Body {
        speed: settings.read_speed * u64::from(settings.reads_slowly),
        ..Body::default()
    };
    let is_complete = read_body(&mut connection.stream, &head, &mut body)
        .await
        .is_some();
    let ending = match head.status {
        200 => settings.judge(kind, id, &body.text, is_complete),
        503 | 429 => Ending::Refused,
        _ => Ending::Failed,
    };
    Answer {
        ending,
        keeps: is_complete && body.is_framed && !head.closes,
    }
}

impl CallerSettings {
    /// Writes a request; the request of a stream has a body.
    async fn write_request(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request<'_>,
    ) -> std::io::Result<()> {
        let length = match request.kind {
            Kind::Ask => self.body_bytes,
            Kind::Book | Kind::Status => 0,
        };
        let is_chunked = request.is_chunked && length > 0;
        let framing = match is_chunked {
            true => "transfer-encoding: chunked".to_owned(),
            false => format!("content-length: {length}"),
        };
        let head = format!(
            "POST /{}/1 HTTP/1.1\r\nhost: {PLATFORM_HOST}\r\nauthorization: Token {KEY}\r\n\
             x-attempt-id: {}\r\nx-deadline-ms: {}\r\n{}{framing}\r\n\r\n",
            request.kind.label(),
            request.id,
            TIME_BUDGET.0,
            self.token_counts(request),
        );
        let body = "b".repeat(length);
        if !is_chunked {
            return stream.write_all((head + &body).as_bytes()).await;
        }
        stream.write_all(head.as_bytes()).await?;
        let part = &body[..length / BODY_PARTS];
        for _ in 0..BODY_PARTS {
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            stream.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(PART_PAUSE.duration()).await;
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    /// Returns the header field that tells how long a stream may be.
    fn token_counts(&self, request: &Request<'_>) -> String {
        match request.kind {
            Kind::Ask => {
                let tokens = self.content.events_of(request.id) * EVENT_TOKENS;
                format!("x-token-count: {PROMPT_TOKENS},{tokens}\r\n")
            }
            Kind::Book | Kind::Status => String::new(),
        }
    }

    /// Returns how a success ended, by its body and whether its framing says that it is complete.
    fn judge(&self, kind: Kind, id: &str, text: &str, is_complete: bool) -> Ending {
        let whole = match kind {
            Kind::Ask => self.content.stream(id),
            Kind::Book | Kind::Status => self.content.plain(id),
        };
        match (is_complete, text == whole) {
            _ if !whole.starts_with(text) => Ending::Foreign,
            (true, true) => Ending::Served,
            (true, false) => Ending::LooksWhole,
            (false, _) => Ending::Cut,
        }
    }
}

/// The head of an answer.
#[derive(Debug, Default)]
struct Head {
    status: u16,
    /// The length of the body, if it has one.
    length: Option<usize>,
    is_chunked: bool,
    closes: bool,
}

/// The body of an answer.
#[derive(Debug, Default)]
struct Body {
    text: String,
    /// Whether it has a length or chunks.
    is_framed: bool,
    /// How many bytes a second are read; 0 if as many as come.
    speed: u64,
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
            Some(("transfer-encoding", value)) => head.is_chunked = value == "chunked",
            Some(("connection", value)) => head.closes = value == "close",
            Some(_) => {}
            None => head.status = line.split(' ').nth(1)?.parse().ok()?,
        }
    }
}

/// Reads a body into `body`; `None` if it ends before its framing says so.
async fn read_body(stream: &mut BufReader<TcpStream>, head: &Head, body: &mut Body) -> Option<()> {
    body.is_framed = head.is_chunked || head.length.is_some();
    if let Some(length) = head.length {
        return read_part(stream, length, body).await;
    }
    if !head.is_chunked {
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.ok()?;
        body.text = String::from_utf8(rest).ok()?;
        return Some(());
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        read_part(stream, size, body).await?;
        stream.read_exact(&mut [0; 2]).await.ok()?;
        if size == 0 {
            return Some(());
        }
    }
}

/// Appends `length` bytes to `body`, or as many as come.
async fn read_part(
    stream: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Body,
) -> Option<()> {
    let mut left = length;
    let mut part = [0; 512];
    while left > 0 {
        let most = left.min(part.len());
        let count = stream.read(&mut part[..most]).await.ok()?;
        if count == 0 {
            return None;
        }
        body.text
            .push_str(std::str::from_utf8(&part[..count]).ok()?);
        left -= count;
        if let Some(time) = (count as u64 * 1_000).checked_div(body.speed) {
            tokio::time::sleep(Millis(time).duration()).await;
        }
    }
    Some(())
}
