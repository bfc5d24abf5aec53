//! Workers in this process, which stream numbered events or answer whole, and note what they run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::Result;
use sardinepin_common::{Map, Millis};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};

/// How long a plain request takes.
const PLAIN_TIME: Millis = Millis(30);

/// How workers answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerSettings {
    /// The number of events of a stream.
    pub(super) events: u64,
    /// The time between two events.
    pub(super) event_time: Millis,
    /// The requests that run at once. As many wait, and further ones are turned away.
    pub(super) slots: usize,
    /// The length of a plain answer.
    pub(super) answer_bytes: usize,
}

/// How often each request has run, by its identifier.
pub(super) type Runs = Map<String, u64>;

/// The state that the connections of a worker share.
#[derive(Debug)]
struct Worker {
    id: String,
    settings: WorkerSettings,
    slots: Semaphore,
    /// The requests that wait for a slot.
    waiting: AtomicUsize,
    runs: Arc<Mutex<Runs>>,
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
    runs: Arc<Mutex<Runs>>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let worker = Arc::new(Worker {
        id: id.to_owned(),
        settings,
        slots: Semaphore::new(settings.slots),
        waiting: AtomicUsize::new(0),
        runs,
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(Arc::clone(&worker), stream));
        }
    });
    Ok(address)
}

async fn serve(worker: Arc<Worker>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream).await {
        if worker.answer(&mut stream, &request).await.is_err() {
            return;
        }
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

impl Worker {
    async fn answer(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request,
    ) -> std::io::Result<()> {
        let id = &request.id;
        if request.target != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected\r\nx-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).await;
        }
        let Some(_slot) = self.wait_for_slot().await else {
            let head = format!(
                "HTTP/1.1 503 Busy\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).await;
        };
        self.count(id);
        match request.path.starts_with("/ask/") {
            true => self.stream(stream, request).await,
            false => self.plain(stream, request).await,
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

    async fn stream(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request,
    ) -> std::io::Result<()> {
        let head = head(
            &request.id,
            "text/event-stream",
            "transfer-encoding: chunked",
        );
        stream.write_all(head.as_bytes()).await?;
        for number in request.after + 1..=self.settings.events {
            // A caller that has left closes the connection.
            let pause = tokio::time::sleep(self.settings.event_time.duration());
            tokio::select! {
                () = pause => {}
                _ = stream.fill_buf() => return Err(std::io::ErrorKind::BrokenPipe.into()),
            }
            let event = format!("id: {number}\ndata: {}\n\n", request.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    async fn plain(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Request,
    ) -> std::io::Result<()> {
        tokio::time::sleep(PLAIN_TIME.duration()).await;
        let mut body = request.id.clone();
        body.extend(std::iter::repeat_n('.', self.settings.answer_bytes));
        let head = head(
            &request.id,
            "text/plain",
            &format!("content-length: {}", body.len()),
        );
        stream.write_all((head + &body).as_bytes()).await
    }

    fn count(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.to_owned()).or_default() += 1;
    }
}

fn head(id: &str, content_type: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\
         content-type: {content_type}\r\n{framing}\r\n\r\n"
    )
}
