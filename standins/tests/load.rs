//! The load client finds what is wrong with answers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use hyper::{Request, StatusCode};
use sardinepin_standins::engine::{Engine, Faults, Settings as EngineSettings};
use sardinepin_standins::http::{
    Handler, HandlerResult, HttpClient, json_response, spawn_server, streaming_response as streamed,
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

const PLAIN: CallMix = CallMix {
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
async fn right_answers_are_all_counted() {
    let plain = PlainService::start(None).unwrap();
    let to = spawn_server(plain.clone()).await.unwrap();
    let report = load::run(settings(to, PLAIN)).await.unwrap();
    assert_eq!((report.sent, report.answered, report.wrong), (40, 40, 0));
    assert_eq!(plain.counts().total, 40);
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let to = spawn_server(engine).await.unwrap();
    let mix = CallMix { chat: 1, ..STREAMS };
    let report = load::run(settings(to, mix)).await.unwrap();
    assert_eq!((report.sent, report.answered, report.wrong), (40, 40, 0));
    // No answer can come before the engine's first step has ended.
    let step_ms = EngineSettings::default().step_micros as f64 / 1_000.0;
    assert!(report.latency_ms["first_token"].max >= step_ms);
}

#[tokio::test]
async fn a_second_run_is_wrong_and_a_broken_connection_unknown() {
    let to = spawn_server(PlainService::start(None).unwrap())
        .await
        .unwrap();
    let twice = Settings {
        copies_milli: 1_000,
        ..settings(to, CallMix { plain: 0, ..PLAIN })
    };
    let report = load::run(twice).await.unwrap();
    // Each second copy tells of a second run, and the two copies differ.
    assert_eq!((report.sent, report.wrong), (80, 80));
    let to = spawn_server(Engine::start(EngineSettings::default()).await.unwrap())
        .await
        .unwrap();
    let cut = Faults {
        break_after: Some(0),
        ..Faults::default()
    };
    HttpClient::default()
        .post_json(to, "/faults", &cut)
        .await
        .unwrap();
    let report = load::run(settings(to, STREAMS)).await.unwrap();
    assert_eq!((report.unknown, report.wrong), (40, 0));
    assert_eq!(report.reasons["connection"], 40);
}

/// Answers every call alike.
#[derive(Debug)]
struct Alike;

impl Handler for Alike {
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
            let nothing = stream::empty();
            streamed("text/event-stream", nothing)
        })
    }
}

#[tokio::test]
async fn anothers_answer_and_silence_are_wrong() {
    let to = spawn_server(Arc::new(Alike)).await.unwrap();
    let report = load::run(settings(to, PLAIN)).await.unwrap();
    assert_eq!((report.wrong, report.wrong_owner), (40, 40));
    let report = load::run(settings(to, STREAMS)).await.unwrap();
    assert_eq!((report.wrong, report.cut, report.unknown), (40, 40, 40));
}
