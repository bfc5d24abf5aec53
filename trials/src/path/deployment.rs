//! Starts the processes of the trial.

use anyhow::Result;
use sardinepin_config::{Service, ServiceKind};
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use serde_json::json;

/// The model that all streams name in their requests.
pub(super) const MODEL: &str = "m";

/// The number of entries.
const ENTRIES: usize = 2;

/// The duration of an engine's step, in microseconds.
const STEP_MICROS: &str = "50000";

/// The maximum number of streams on one engine: an entry bounds its concurrency limit for an
/// upstream.
const STREAMS_PER_ENGINE: usize = 100;

/// Starts two entries, one plain upstream and engines with room for `streams`.
pub(super) async fn start(streams: usize) -> Result<Fleet> {
    let plain = Service {
        name: "app".to_owned(),
        paths: vec!["/".to_owned()],
        deadline_ms: 20_000,
        ..Service::default()
    };
    let model = Service {
        name: "llm".to_owned(),
        kind: ServiceKind::Model,
        paths: vec!["/v1/".to_owned()],
        models: vec![MODEL.to_owned()],
        deadline_ms: 600_000,
        ..Service::default()
    };
    let engines = streams.div_ceil(STREAMS_PER_ENGINE).max(1);
    let engine_arguments = [
        "--slots",
        &streams.to_string(),
        "--step-us",
        STEP_MICROS,
        "--batch-us",
        "0",
    ];
    Fleet::start(FleetOptions {
        deployment: Deployment::default()
            .with_service(plain, 1, &["zone-a"])
            .with_service(model, engines, &["zone-a"]),
        entries: ENTRIES,
        engine_arguments: engine_arguments.map(str::to_owned).to_vec(),
        settings: json!({"agent": {"slots": streams, "queue_max": streams}}),
        ..FleetOptions::default()
    })
    .await
}
