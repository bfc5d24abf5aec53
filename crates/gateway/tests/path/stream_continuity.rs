//! Tests that only the responses and events that belong to a stream reach its caller.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::util::{
    ScriptedUpstream, Step, chunk, last_chunk, request, send_raw, signed_response, start_gateway,
    stream_head,
};

const SIGNED: &str = "x-request-id: {id}\r\nx-signature: s\r\n";

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

fn events(numbers: impl IntoIterator<Item = u64>) -> Step {
    chunk(&numbers.into_iter().map(event).collect::<String>())
}

/// Returns a whole response of a status with these fields.
fn response(status: &str, fields: &str, body: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\n{SIGNED}{fields}content-length: {}\r\n\r\n{body}",
        body.len()
    ))]
}

/// Returns the response of a request to a gateway whose upstreams answer with one script after the other.
async fn answer(scripts: [Vec<Step>; 2], fields: &str) -> String {
    let [first, second] = scripts;
    let one = ScriptedUpstream::start("one", vec![first]).await;
    let mut two = ScriptedUpstream::start("two", vec![second]).await;
    // Of two idle upstreams, the one in the gateway's zone gets the request first.
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let text = request("/stream/a", "r", fields);
    send_raw(running.caller_address(), &text).await
}

/// Returns the body of a chunked response, and whether it is complete.
fn body(response: &str) -> (String, bool) {
    let (_, mut rest) = response.split_once("\r\n\r\n").unwrap();
    let mut body = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        body.push_str(&more[..size]);
        rest = &more[size + 2..];
    }
    (body, false)
}

/// Guards against the text of an error, or nothing at all, being passed on as the rest of a stream that broke off.
#[tokio::test]
async fn response_that_is_no_part_of_a_broken_stream_does_not_continue_or_end_it() {
    let unframed = format!("HTTP/1.1 200 OK\r\n{SIGNED}content-type: application/json\r\n\r\n");
    let json = "content-type: application/json\r\n";
    let events_type = "content-type: text/event-stream\r\n";
    let cases = [
        ("500", response("500 Failed", json, "{\"error\":1}\n\n")),
        ("404", response("404 Missing", "", "no such request\n\n")),
        ("json", response("200 OK", json, "{\"error\":1}\n\n")),
        (
            "json without length",
            vec![Step::Write(unframed + "{\"error\":1}\n\n"), Step::Close],
        ),
        ("empty", response("200 OK", events_type, "")),
        ("empty, untyped", response("200 OK", "", "")),
        ("no chunk", vec![stream_head(), last_chunk()]),
        (
            "text",
            vec![stream_head(), chunk("overloaded\n\n"), last_chunk()],
        ),
        ("gap", vec![stream_head(), events(5..=6), last_chunk()]),
        ("fewer", vec![stream_head(), events(1..=2), last_chunk()]),
    ];
    for (name, second) in cases {
        let breaks = vec![stream_head(), events(1..=3), Step::Close];
        let answer = answer([breaks, second], "").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
        let expected: String = (1..=3).map(event).collect();
        assert_eq!(body(&answer), (expected, false), "{name}");
    }
}

/// Guards against the head of an error in the middle of a stream being passed on as an event.
#[tokio::test]
async fn bytes_that_are_no_event_are_not_passed_on_and_the_stream_goes_on_elsewhere() {
    let head = "HTTP/1.1 500 Failed\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n\r\nfailed";
    let cases = [
        chunk(head),
        chunk(&format!("{head}\n\n")),
        chunk("HTTP/1.1 500 Failed\ncontent-length: 0\n\n"),
        Step::Write(head.to_owned()),
        chunk("{\"error\":1}\n\n"),
        chunk("data: failed\n\n"),
        chunk("id: 4\nda"),
        events(5..=6),
    ];
    for (at, wrong) in cases.into_iter().enumerate() {
        let breaks = vec![stream_head(), events(1..=3), wrong, Step::Close];
        let continues = vec![stream_head(), events(4..=6), last_chunk()];
        let answer = answer([breaks, continues], "").await;
        let expected: String = (1..=6).map(event).collect();
        assert_eq!(body(&answer), (expected, true), "case {at}");
    }
}

/// Guards against a caller that resumes its stream by itself getting events twice, or a stream with a gap.
#[tokio::test]
async fn stream_that_its_caller_resumes_goes_on_after_its_last_event() {
    let from_the_begin = vec![stream_head(), events(1..=6), last_chunk()];
    let resumes = "last-event-id: 3\r\n";
    let whole = answer([from_the_begin, vec![Step::Close]], resumes).await;
    let expected: String = (4..=6).map(event).collect();
    assert_eq!(body(&whole), (expected.clone(), true));
    let gap = vec![stream_head(), events(5..=6), last_chunk()];
    let continues = vec![stream_head(), events(4..=6), last_chunk()];
    let whole = answer([gap.clone(), continues], resumes).await;
    assert_eq!(body(&whole), (expected, true));
    let cut = answer([gap.clone(), gap], resumes).await;
    assert_eq!(body(&cut), (String::new(), false));
}

/// Guards against a success without events being passed on as a stream.
#[tokio::test]
async fn success_that_is_no_stream_is_retried_and_then_an_error() {
    let json = "content-type: application/json\r\n";
    let no_stream = response("200 OK", json, "{\"error\":1}\n\n");
    let stream = vec![stream_head(), events(1..=2), last_chunk()];
    let whole = answer([no_stream.clone(), stream], "").await;
    let expected: String = (1..=2).map(event).collect();
    assert_eq!(body(&whole), (expected, true));
    let failed = answer([no_stream.clone(), no_stream], "").await;
    assert!(failed.starts_with("HTTP/1.1 502"), "{failed}");
    let signed = answer([signed_response("200 OK", "text"), vec![Step::Close]], "").await;
    assert_eq!(body(&signed), (String::new(), false));
}

/// Guards against a break within a stream looking like its end to a caller of HTTP/1.0, whose answers have no chunks.
#[tokio::test]
async fn broken_stream_resets_the_connection_of_a_caller_without_chunks() {
    let breaks = vec![stream_head(), events(1..=3), Step::Close];
    let whole = vec![stream_head(), events(1..=3), last_chunk()];
    for (script, is_whole) in [(breaks, false), (whole, true)] {
        let upstream = ScriptedUpstream::start("one", vec![script]).await;
        let (running, _) = start_gateway(&[&upstream]).await;
        let mut caller = TcpStream::connect(running.caller_address()).await.unwrap();
        let text = request("/stream/a", "r", "").replace("HTTP/1.1", "HTTP/1.0");
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let end = caller.read_to_end(&mut answer).await;
        assert_eq!(
            end.is_ok(),
            is_whole,
            "{}",
            String::from_utf8_lossy(&answer)
        );
    }
}
