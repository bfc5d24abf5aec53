//! A request whose caller or deadline has gone reaches no upstream any more.

use std::io::{Read as _, Write as _};

use sardinepin_common::Millis;
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::util::{
    ScriptedUpstream, Step, header, request, send_raw, signed_response, start_gateway, wait_for,
};

/// How long a request that is still on its way would take to reach the upstream.
const LATE_TIME: Millis = Millis(300);

fn kept(text: &str) -> String {
    text.replace("connection: close\r\n", "")
}

fn with_body(path: &str, headers: &str, body: &str) -> String {
    kept(&request(path, "r-2", headers)).replacen("GET", "POST", 1) + body
}

/// A test's runtime has one thread, so the gateway does nothing while the test blocks it, as in a pause
/// of the process: it reads request and end of the connection at the same moment.
#[tokio::test]
async fn request_of_a_caller_that_left_before_it_was_read_reaches_no_upstream() {
    let upstream = ScriptedUpstream::start("one", vec![signed_response("200 OK", "hello")]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let requests = [
        kept(&request("/safe/x", "r-2", "")),
        kept(&request("/stream/x", "r-2", "")),
        kept(&request("/once/x", "r-2", "")),
        with_body("/safe/x", "content-length: 4\r\n", "body"),
        with_body(
            "/stream/x",
            "transfer-encoding: chunked\r\n",
            "4\r\nbody\r\n0\r\n\r\n",
        ),
    ];
    for first in [None, Some(kept(&request("/safe/x", "r-1", "")))] {
        for text in &requests {
            let address = running.caller_address();
            let mut caller = tokio::task::spawn_blocking({
                let first = first.clone();
                move || {
                    let mut caller = std::net::TcpStream::connect(address).unwrap();
                    if let Some(first) = first {
                        caller.write_all(first.as_bytes()).unwrap();
                        let read = caller.read(&mut [0; 4_096]).unwrap();
                        assert!(read > 0);
                    }
                    caller
                }
            })
            .await
            .unwrap();
            let before = upstream.count();
            caller.write_all(text.as_bytes()).unwrap();
            drop(caller);
            tokio::time::sleep(LATE_TIME.duration()).await;
            assert_eq!(upstream.count(), before, "{text}");
        }
    }
}

#[tokio::test]
async fn request_whose_body_is_late_is_refused_at_its_deadline_and_harms_no_upstream() {
    let upstream = ScriptedUpstream::start("one", vec![signed_response("200 OK", "hello")]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    for path in ["/safe/x", "/once/x", "/stream/x"] {
        let headers = "x-deadline-ms: 200\r\ncontent-length: 4\r\nconnection: close\r\n";
        let response = send_raw(running.caller_address(), &with_body(path, headers, "")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("too_late"), "{response}");
        assert!(header(&response, "retry-after").is_some(), "{response}");
    }
    assert_eq!(upstream.count(), 0);
    let response = send_raw(running.caller_address(), &request("/safe/x", "r-3", "")).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn request_of_a_caller_that_left_with_another_request_sent_is_cancelled() {
    let upstream = ScriptedUpstream::start("one", vec![vec![Step::Hang]]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let mut caller = TcpStream::connect(running.caller_address()).await.unwrap();
    let text = kept(&request("/safe/x", "r-1", "")) + &kept(&request("/safe/x", "r-2", ""));
    caller.write_all(text.as_bytes()).await.unwrap();
    wait_for(async || upstream.count() == 1).await;
    drop(caller);
    tokio::time::sleep(LATE_TIME.duration()).await;
    assert_eq!((upstream.count(), upstream.disconnects()), (1, 1));
}

#[tokio::test]
async fn request_whose_deadline_passes_while_it_connects_is_refused_at_once() {
    // An accept queue that is full: further connections get no answer.
    let address = std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0));
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&address.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut filling = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(LATE_TIME.duration(), TcpStream::connect(address)).await
    {
        filling.push(stream);
    }
    let mut upstream = ScriptedUpstream::start("one", Vec::new()).await;
    upstream.spec.address = address;
    let (running, _) = start_gateway(&[&upstream]).await;
    let text = request("/safe/x", "r-1", "x-deadline-ms: 100\r\n");
    let response = send_raw(running.caller_address(), &text).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("too_late"), "{response}");
}
