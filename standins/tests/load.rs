//! Tests that the load client counts answers and detects wrong ones.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use hyper::{Request, StatusCode};
use sardinepin_standins::engine::{Engine, Faults, Settings as EngineSettings};
use sardinepin_standins::http::{
    Handler, HandlerResult, HttpClient, json_response, spawn_server, streaming_response,
};
use sardinepin_standins::load::{self, CallMix, Settings};
use sardinepin_standins::plain::{Echo, PlainService};
use sardinepin_store::BoxFuture;

const STREAMS: CallMix = CallMix {
    keyed: 0,
    plain: 0,
    stream: 1,
    chat: 0,
};

const PLAIN_CALLS: CallMix = CallMix {
    keyed: 1,
    plain: 1,
    stream: 0,
    chat: 0,
};

fn settings(to: SocketAddr, mix: CallMix) -> Settings {
    Settings {
        entries: vec![to],
        requests: 40,
        mix,
        ..Settings::default()
    }
}

#[tokio::test]
async fn correct_answers_are_counted() {
    let plain = PlainService::start(None).unwrap();
    let to = spawn_server(plain.clone()).await.unwrap();
    let report = load::run(settings(to, PLAIN_CALLS)).await.unwrap();
    assert_eq!((report.sent, report.answered, report.wrong), (40, 40, 0));
    assert_eq!(plain.counts().total, 40);
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let to = spawn_server(engine).await.unwrap();
    let mix = CallMix { chat: 1, ..STREAMS };
    let report = load::run(settings(to, mix)).await.unwrap();
    assert_eq!((report.sent, report.answered, report.wrong), (40, 40, 0));
    // The first token cannot arrive before the first step of the engine has ended.
    let step_ms = EngineSettings::default().step_micros as f64 / 1_000.0;
    assert!(report.latency_ms["first_token"].max >= step_ms);
}

#[tokio::test]
async fn second_run_is_wrong_and_broken_connection_is_unknown() {
    let to = spawn_server(PlainService::start(None).unwrap())
        .await
        .unwrap();
    let settings_with_copies = Settings {
        copies_milli: 1_000,
        ..settings(
            to,
            CallMix {
                plain: 0,
                ..PLAIN_CALLS
            },
        )
    };
    let report = load::run(settings_with_copies).await.unwrap();
    // Each second copy reports a second run, so the answers of the two copies differ.
    assert_eq!((report.sent, report.wrong), (80, 80));
    let to = spawn_server(Engine::start(EngineSettings::default()).await.unwrap())
        .await
        .unwrap();
    let break_connection = Faults {
        break_after: Some(0),
        ..Faults::default()
    };
    HttpClient::default()
        .post_json(to, "/faults", &break_connection)
        .await
        .unwrap();
    let report = load::run(settings(to, STREAMS)).await.unwrap();
    assert_eq!((report.unknown, report.wrong), (40, 0));
    assert_eq!(report.reasons["connection"], 40);
}

/// Answers every plain call with the same echo of another organisation, and every chat completion
/// with an empty stream.
#[derive(Debug)]
struct FixedAnswer;

impl Handler for FixedAnswer {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        let echo = Echo {
            method: "POST".to_owned(),
            path: "/plain".to_owned(),
            organisation: "another".to_owned(),
            request: String::new(),
            key: String::new(),
            digest: String::new(),
            run: 1,
        };
        Box::pin(async move {
            if request.uri().path() != "/v1/chat/completions" {
                return json_response(StatusCode::OK, &echo);
            }
            let no_events = stream::empty();
            streaming_response("text/event-stream", no_events)
        })
    }
}

#[tokio::test]
async fn answer_of_another_call_and_empty_stream_are_wrong() {
    let to = spawn_server(Arc::new(FixedAnswer)).await.unwrap();
    let report = load::run(settings(to, PLAIN_CALLS)).await.unwrap();
    assert_eq!((report.wrong, report.wrong_owner), (40, 40));
    let report = load::run(settings(to, STREAMS)).await.unwrap();
    assert_eq!((report.wrong, report.cut, report.unknown), (40, 40, 40));
}
