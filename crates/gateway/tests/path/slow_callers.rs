//! Tests that callers who read slowly get their whole answers.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_gateway::{GatewaySettings, StopSettings, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;

use crate::util::{
    FakeStore, ScriptedUpstream, Step, chunk, last_chunk, manifest, request, settings,
    signed_response, start_gateway, stream_head, wait_for,
};

/// The receive buffer of a slow caller, in bytes.
const RECEIVE_BUFFER: u32 = 4 * 1024;

/// The segment size of a slow caller, in bytes. The send buffer of a connection grows with it, and is some megabytes on a loopback
/// connection otherwise.
const SEGMENT_SIZE: u32 = 536;

/// The length of a large answer, in bytes: more than the sockets of a connection hold while its caller does not read.
const ANSWER_BYTES: usize = 250 * 1024;

/// The length of an answer in which a caller pauses again and again: more than it can receive while it does not read.
const PAUSED_ANSWER_BYTES: usize = 60 * 1024;

/// How often it pauses, and for how long: less than its request may take, and more in all.
const PAUSES: usize = 5;
const SHORT_PAUSE: Millis = Millis(1_000);

/// How long a caller pauses in reading, less than its request may take.
const READ_PAUSE: Millis = Millis(2_500);

/// Connects with a small receive buffer.
async fn connect_slowly(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    socket2::SockRef::from(&socket)
        .set_tcp_mss(SEGMENT_SIZE)
        .unwrap();
    socket.connect(address).await.unwrap()
}

/// Connects with a small receive buffer and sends a request on a connection that stays open.
async fn send_slowly(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut caller = connect_slowly(address).await;
    let text = request(path, id, "").replace("connection: close\r\n", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    caller
}

/// How a caller reads: the most bytes at once, and the pause after them.
#[derive(Clone, Copy)]
struct Pace {
    bytes: usize,
    pause: Millis,
}

const FAST: Pace = Pace {
    bytes: 16 * 1024,
    pause: Millis(0),
};

/// So slow that what a process still holds of an answer takes longer than its stop.
const SLOW: Pace = Pace {
    bytes: 512,
    pause: Millis(20),
};

/// Reads until the answer has this end; returns the answer.
async fn read_to(caller: &mut TcpStream, end: &str, pace: Pace) -> String {
    let mut answer = Vec::new();
    let mut part = vec![0; pace.bytes];
    while !answer.ends_with(end.as_bytes()) {
        if pace.pause > Millis::ZERO {
            tokio::time::sleep(pace.pause.duration()).await;
        }
        match caller.read(&mut part).await {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&part[..count]),
            Err(error) => panic!("{error} after {} bytes", answer.len()),
        }
    }
    String::from_utf8(answer).unwrap()
}

/// Guards against a connection being ended because its caller, which lives, reads nothing for some time.
#[tokio::test]
async fn a_caller_that_pauses_in_reading_gets_its_whole_answer() {
    let body = format!("{}end", "x".repeat(ANSWER_BYTES - 3));
    let upstream = ScriptedUpstream::start("one", vec![signed_response("200 OK", &body)]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let mut caller = send_slowly(running.caller_address(), "/once/a", "r").await;
    wait_for(async || upstream.count() == 1).await;
    tokio::time::sleep(READ_PAUSE.duration()).await;
    let answer = read_to(&mut caller, "end", FAST).await;
    assert!(answer.starts_with("HTTP/1.1 200"));
    assert!(answer.ends_with(&body), "{} bytes", answer.len());
}

/// Guards against the pauses of a caller being added up over the answers of its connection: the system counts how long a caller reads nothing from
/// the first time on.
#[tokio::test]
async fn a_caller_that_pauses_in_each_answer_keeps_its_connection() {
    let body = format!("{}end", "x".repeat(PAUSED_ANSWER_BYTES - 3));
    let upstream = ScriptedUpstream::start("one", vec![signed_response("200 OK", &body)]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let mut caller = connect_slowly(running.caller_address()).await;
    for number in 0..PAUSES {
        let text = request("/once/a", &format!("r-{number}"), "x-deadline-ms: 2500\r\n");
        let text = text.replace("connection: close\r\n", "");
        caller.write_all(text.as_bytes()).await.unwrap();
        wait_for(async || upstream.count() == number + 1).await;
        tokio::time::sleep(SHORT_PAUSE.duration()).await;
        let answer = read_to(&mut caller, "end", FAST).await;
        assert!(
            answer.ends_with(&body),
            "answer {number}: {} bytes",
            answer.len()
        );
    }
}

/// Guards against a caller that never reads holding its connection, and what is kept for it, for good.
#[tokio::test]
async fn a_caller_that_does_not_read_for_longer_than_its_request_may_take_is_given_up() {
    let body = "x".repeat(ANSWER_BYTES);
    let upstream = ScriptedUpstream::start("one", vec![signed_response("200 OK", &body)]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let mut caller = connect_slowly(running.caller_address()).await;
    let text = request("/once/a", "r", "x-deadline-ms: 1500\r\n");
    caller.write_all(text.as_bytes()).await.unwrap();
    wait_for(async || upstream.count() == 1).await;
    tokio::time::sleep(Millis(5_000).duration()).await;
    let mut rest = Vec::new();
    let end = caller.read_to_end(&mut rest).await;
    assert!(
        end.is_err() || rest.len() < ANSWER_BYTES,
        "{} bytes",
        rest.len()
    );
}

/// A gateway on a runtime of its own, which ends with it as a process does.
struct OwnRuntime {
    caller_address: SocketAddr,
    readiness: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl OwnRuntime {
    async fn start(upstream: &ScriptedUpstream) -> Self {
        let store = FakeStore::default();
        store.set_manifest(manifest(1));
        store.set_upstreams(vec![upstream.spec.clone()]);
        let (started, addresses) = oneshot::channel();
        let (stop, stopping) = oneshot::channel();
        let (ending, ended) = oneshot::channel();
        let settings = GatewaySettings {
            stop: StopSettings {
                drain_delay: Millis(300),
                shutdown_timeout: Millis(10_000),
            },
            ..settings()
        };
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = { runtime }.enable_all().build().unwrap();
            runtime.block_on(async {
                let running = start(settings, Arc::new(store)).await.unwrap();
                let addresses = (running.caller_address(), running.readiness_address());
                started.send(addresses).unwrap();
                stopping.await.unwrap();
                running.stop().await;
            });
            drop(runtime);
            ending.send(()).unwrap();
        });
        let (caller_address, readiness) = addresses.await.unwrap();
        Self {
            caller_address,
            readiness,
            stop,
            ended,
        }
    }

    async fn wait_until_ready(&self) {
        let text = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        wait_for(async || {
            let response = crate::util::send_raw(self.readiness, text).await;
            response.starts_with("HTTP/1.1 200")
        })
        .await;
    }
}

/// Guards against a process that stops before the last bytes of an answer have left it.
#[tokio::test]
async fn a_stopping_gateway_writes_the_whole_answer_of_a_caller_that_reads_slowly() {
    let body = format!("{}end", "x".repeat(ANSWER_BYTES - 3));
    let upstream = ScriptedUpstream::start("one", vec![signed_response("200 OK", &body)]).await;
    let gateway = OwnRuntime::start(&upstream).await;
    gateway.wait_until_ready().await;
    let mut caller = send_slowly(gateway.caller_address, "/once/a", "r").await;
    wait_for(async || upstream.count() == 1).await;
    gateway.stop.send(()).unwrap();
    tokio::time::sleep(Millis(1_200).duration()).await;
    let answer = read_to(&mut caller, "end", FAST).await;
    assert!(answer.starts_with("HTTP/1.1 200"));
    assert!(answer.ends_with(&body), "{} bytes", answer.len());
    gateway.ended.await.unwrap();
}

/// Guards against the same for the last events of a stream.
#[tokio::test]
async fn a_stopping_gateway_writes_the_last_events_of_a_caller_that_reads_slowly() {
    let event = |number| format!("id: {number}\ndata: {}\n\n", "x".repeat(4 * 1024));
    let last = "id: 33\ndata: last\n\n";
    let mut script = vec![stream_head()];
    script.extend((1..=32).map(|number| chunk(&event(number))));
    script.extend([chunk(last), last_chunk(), Step::Write(String::new())]);
    let upstream = ScriptedUpstream::start("one", vec![script]).await;
    let gateway = OwnRuntime::start(&upstream).await;
    gateway.wait_until_ready().await;
    let mut caller = send_slowly(gateway.caller_address, "/stream/a", "r").await;
    wait_for(async || upstream.count() == 1).await;
    gateway.stop.send(()).unwrap();
    let answer = read_to(&mut caller, "0\r\n\r\n", SLOW).await;
    assert!(answer.contains(last), "{} bytes", answer.len());
    assert!(answer.ends_with("0\r\n\r\n"), "{} bytes", answer.len());
    gateway.ended.await.unwrap();
}
