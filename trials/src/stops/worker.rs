//! Workers in this process, which stream numbered events or answer whole, and note what they run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anyhow::Result;
use sardinepin_common::{Millis, Set, seeded_rng};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit, watch};

use super::content::Content;
use super::groups::Group;
use super::runs::{RunLog, RunningRequest};
use super::wrong::Wrong;

/// How long a plain request takes.
const PLAIN_TIME: Millis = Millis(30);

/// How long a worker that crashed is away.
const AWAY_TIME: Millis = Millis(500);

/// A text that no caller may find in its answer.
pub(super) const FOREIGN: &str = "overloaded";

/// How workers answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerSettings {
    pub(super) content: Content,
    /// The time between two events.
    pub(super) event_time: Millis,
    /// The requests that run at once. As many wait, and further ones are turned away.
    pub(super) slots: usize,
    /// The share of answers that are wrong, and the seed by which they are drawn.
    pub(super) wrong_percent: u64,
    pub(super) seed: u64,
}

/// The state that the connections of a worker share.
#[derive(Debug)]
struct Worker {
    id: String,
    settings: WorkerSettings,
    group: Option<Group>,
    slots: Semaphore,
    /// The requests that wait for a slot.
    waiting: AtomicUsize,
    answers: AtomicU64,
    /// How often the worker has crashed.
    crashes: watch::Sender<u64>,
    /// How often its listener has been closed since.
    closed: watch::Sender<u64>,
    /// The requests that run now.
    running: Mutex<Set<String>>,
    runs: Arc<RunLog>,
}

/// A request that has been read.
struct Request {
    id: String,
    path: String,
    after: u64,
    target: String,
}

/// Starts a worker and returns its address.
pub(super) async fn start(
    id: &str,
    settings: WorkerSettings,
    group: Option<Group>,
    runs: Arc<RunLog>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let worker = Arc::new(Worker {
        id: id.to_owned(),
        settings,
        group,
        slots: Semaphore::new(settings.slots),
        waiting: AtomicUsize::new(0),
        answers: AtomicU64::new(0),
        crashes: watch::Sender::new(0),
        closed: watch::Sender::new(0),
        running: Mutex::default(),
        runs,
    });
    tokio::spawn(listen(worker, listener, address));
    Ok(address)
}

/// Accepts connections; after a crash the worker is away for some time, and then back at its address.
async fn listen(worker: Arc<Worker>, listener: TcpListener, address: SocketAddr) {
    let mut listener = Some(listener);
    let mut crashes = worker.crashes.subscribe();
    loop {
        let Some(open) = &listener else {
            tokio::time::sleep(AWAY_TIME.duration()).await;
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        tokio::select! {
            // A process that has crashed accepts nothing more.
            biased;
            _ = crashes.changed() => {
                listener = None;
                let crashed = *crashes.borrow_and_update();
                worker.closed.send_replace(crashed);
            }
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(Arc::clone(&worker), stream));
                }
            }
        }
    }
}

async fn serve(worker: Arc<Worker>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let mut closed = worker.closed.subscribe();
    let serving = async {
        while let Some(request) = read(&mut stream).await {
            if worker.answer(&mut stream, &request).await.is_err() {
                return;
            }
        }
    };
    // All connections end when the worker crashes, once its listener has been closed.
    tokio::select! {
        () = serving => {}
        _ = closed.changed() => {}
    }
}

async fn read(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request {
        id: String::new(),
        path: String::new(),
        after: 0,
        target: String::new(),
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(": ") {
            Some(("x-attempt-id", value)) => request.id = value.to_owned(),
            Some(("last-event-id", value)) => request.after = value.parse().ok()?,
            Some(("x-target-instance", value)) => request.target = value.to_owned(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => request.path = line.split(' ').nth(1)?.to_owned(),
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(request)
}

/// The end of a connection in place of the rest of an answer.
fn broken() -> std::io::Error {
    std::io::ErrorKind::ConnectionAborted.into()
}

impl Worker {
    async fn answer(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request,
    ) -> std::io::Result<()> {
        let id = &request.id;
        if request.path == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(head.as_bytes()).await;
        }
        if request.target != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected\r\nx-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).await;
        }
        self.runs.record_arrival(id);
        let Some(_slot) = self.wait_for_slot().await else {
            let head = format!(
                "HTTP/1.1 503 Busy\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).await;
        };
        self.wait_for_step().await;
        let is_stream = request.path.starts_with("/ask/");
        let wrong = self.draw_wrong(is_stream);
        let _running = self.begin_run(id, wrong);
        match is_stream {
            true => self.stream(stream, request, wrong).await,
            false => self.plain(stream, request, wrong).await,
        }
    }

    fn draw_wrong(&self, is_stream: bool) -> Option<Wrong> {
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let seed = self.settings.seed.wrapping_mul(1 << 20) ^ number;
        let mut rng = seeded_rng(seed ^ self.id.len() as u64);
        Wrong::draw(&mut rng, self.settings.wrong_percent, is_stream)
    }

    /// Waits while the worker's group is stalled.
    async fn wait_for_step(&self) {
        if let Some(group) = &self.group {
            group.wait_for_step().await;
        }
    }

    /// Waits for a slot; `None` if too many wait.
    async fn wait_for_slot(&self) -> Option<SemaphorePermit<'_>> {
        if self.waiting.load(Ordering::Relaxed) >= self.settings.slots {
            return None;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        slot.ok()
    }

    /// Writes what an answer begins with, or the whole of one that is no stream; returns whether events follow.
    async fn begin(
        &self,
        stream: &mut BufReader<TcpStream>,
        id: &str,
        wrong: Option<Wrong>,
        usual: &str,
    ) -> std::io::Result<bool> {
        let text = format!("{{\"error\":\"{FOREIGN}\"}}\n\n");
        let length = format!("content-length: {}", text.len());
        let own = |status, kind, framing: &str, body: &str| head(status, id, kind, framing) + body;
        let events = "text/event-stream";
        let begin = match wrong {
            Some(Wrong::Json) => own("200 OK", "application/json", &length, &text),
            Some(Wrong::Error) => own("500 Failed", "text/plain", &length, &text),
            Some(Wrong::Empty) => own("200 OK", events, "content-length: 0", ""),
            Some(Wrong::NoChunk) => {
                own("200 OK", events, "transfer-encoding: chunked", "0\r\n\r\n")
            }
            Some(Wrong::CutHead) => {
                let mut cut = own("200 OK", events, usual, "");
                cut.truncate(cut.len() - 3);
                cut
            }
            Some(wrong) if !wrong.is_marked() => own("200 OK", events, "connection: close", ""),
            _ => own("200 OK", events, usual, ""),
        };
        stream.write_all(begin.as_bytes()).await?;
        match wrong {
            Some(Wrong::CutHead | Wrong::HeadAlone) => Err(broken()),
            Some(Wrong::Json | Wrong::Error | Wrong::Empty | Wrong::NoChunk) => Ok(false),
            _ => Ok(true),
        }
    }

    async fn stream(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request,
        wrong: Option<Wrong>,
    ) -> std::io::Result<()> {
        let framing = "transfer-encoding: chunked";
        if !self.begin(stream, &request.id, wrong, framing).await? {
            return Ok(());
        }
        let is_marked = wrong.is_none_or(Wrong::is_marked);
        let content = self.settings.content;
        let last = content.events_of(&request.id);
        let middle = request.after + last.saturating_sub(request.after) / 2;
        for number in request.after + 1..=last {
            // A caller that has left closes the connection.
            let step = async {
                tokio::time::sleep(self.settings.event_time.duration()).await;
                self.wait_for_step().await;
            };
            tokio::select! {
                () = step => {}
                _ = stream.fill_buf() => return Err(std::io::ErrorKind::BrokenPipe.into()),
            }
            if number == middle + 1 {
                match wrong {
                    // Nobody could tell a stream without its last event from a whole one.
                    Some(Wrong::Gap) if number < last => continue,
                    Some(Wrong::HeadInside) => {
                        let head = format!("HTTP/1.1 500 {FOREIGN}\r\ncontent-length: 0\r\n\r\n");
                        write_part(stream, &head, true).await?;
                        return Err(broken());
                    }
                    Some(Wrong::CutEvent) => {
                        write_part(stream, &format!("id: {number}\nda"), true).await?;
                        return Err(broken());
                    }
                    Some(Wrong::BreakOff) => return Err(broken()),
                    Some(Wrong::Crash) => return self.crash().await,
                    _ => {}
                }
            }
            let event = content.event(number, &request.id);
            write_part(stream, &event, is_marked).await?;
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    async fn plain(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request,
        wrong: Option<Wrong>,
    ) -> std::io::Result<()> {
        tokio::time::sleep(PLAIN_TIME.duration()).await;
        let body = self.settings.content.plain(&request.id);
        let framing = format!("content-length: {}", body.len());
        if !self.begin(stream, &request.id, wrong, &framing).await? {
            return Ok(());
        }
        let half = &body[..body.len() / 2];
        match wrong {
            Some(Wrong::Crash) => {
                stream.write_all(half.as_bytes()).await?;
                self.crash().await
            }
            Some(_) => {
                stream.write_all(half.as_bytes()).await?;
                Err(broken())
            }
            None => stream.write_all(body.as_bytes()).await,
        }
    }

    /// Closes the listener, and then all connections.
    async fn crash(&self) -> std::io::Result<()> {
        self.spoil_running();
        let mut closed = self.closed.subscribe();
        let mut number = 0;
        self.crashes.send_modify(|crashes| {
            *crashes += 1;
            number = *crashes;
        });
        // The sender lives as long as the worker.
        let _ = closed.wait_for(|closed| *closed >= number).await;
        Err(broken())
    }

    fn begin_run<'a>(&'a self, id: &'a str, wrong: Option<Wrong>) -> OpenRun<'a> {
        self.running().insert(id.to_owned());
        let run = self.runs.begin(id);
        if wrong.is_some() {
            self.runs.spoil(&Set::from_iter([id.to_owned()]));
        }
        OpenRun {
            worker: self,
            id,
            _run: run,
        }
    }

    fn running(&self) -> MutexGuard<'_, Set<String>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the answers to all requests that run now as wrong.
    fn spoil_running(&self) {
        self.runs.spoil(&self.running());
    }
}

/// A request that runs at a worker, until it is dropped.
struct OpenRun<'a> {
    worker: &'a Worker,
    id: &'a str,
    _run: RunningRequest<'a>,
}

impl Drop for OpenRun<'_> {
    fn drop(&mut self) {
        self.worker.running().remove(self.id);
    }
}

async fn write_part(
    stream: &mut BufReader<TcpStream>,
    text: &str,
    is_chunk: bool,
) -> std::io::Result<()> {
    let part = match is_chunk {
        true => format!("{:x}\r\n{text}\r\n", text.len()),
        false => text.to_owned(),
    };
    stream.write_all(part.as_bytes()).await
}

fn head(status: &str, id: &str, content_type: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\
         content-type: {content_type}\r\n{framing}\r\n\r\n"
    )
}
