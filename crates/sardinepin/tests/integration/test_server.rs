//! An administration API on top of an in-memory store, for the tests of the API and of `ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sardinepin::admin::{
    AdminServer, ControlBackend, Health, LoadView, QuarantineView, RuntimeState, UpstreamStatus,
    serve,
};
use sardinepin::control::{Control, ControlSettings};
use sardinepin::options::Settings;
use sardinepin::telemetry::Telemetry;
use sardinepin_common::{Clock, Incarnation};
use sardinepin_config::Snapshot;
use sardinepin_protocol::{Digest, Load, Role};
use sardinepin_store::{BoxFuture, Instance, InstanceState, MemoryStore, Store};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub(crate) const READ_TOKEN: &str = "reading-token-0001";
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-0001";

/// A runtime state whose values the tests set.
#[derive(Debug, Default)]
pub(crate) struct FakeRuntime {
    pub(crate) not_ready_reason: Mutex<Option<String>>,
    pub(crate) quarantined: Mutex<Vec<Digest>>,
}

impl Health for FakeRuntime {
    fn not_ready_reason(&self) -> Option<String> {
        self.not_ready_reason.lock().unwrap().clone()
    }
}

impl RuntimeState for FakeRuntime {
    fn upstream_statuses(&self) -> BoxFuture<'_, Vec<UpstreamStatus>> {
        let load = LoadView {
            load: Load {
                running: 3,
                waiting: 1,
                slots: 16,
                ..Load::default()
            },
            since_ms: 250,
        };
        let status = UpstreamStatus {
            name: "opptak-app-1".to_owned(),
            linked: true,
            leaving: false,
            load: Some(load),
        };
        Box::pin(async { vec![status] })
    }

    fn quarantined(&self) -> BoxFuture<'_, Vec<QuarantineView>> {
        let digests = self.quarantined.lock().unwrap().clone();
        Box::pin(async move {
            digests
                .iter()
                .map(|digest| QuarantineView {
                    digest: digest.to_string(),
                    remaining_ms: 1_000,
                })
                .collect()
        })
    }

    fn lift_quarantine(&self, digest: Digest) -> BoxFuture<'_, bool> {
        let mut digests = self.quarantined.lock().unwrap();
        let before = digests.len();
        digests.retain(|other| *other != digest);
        let lifted = digests.len() < before;
        Box::pin(async move { lifted })
    }
}

/// A running administration API with its store and runtime state.
pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    pub(crate) store: Arc<MemoryStore>,
    pub(crate) runtime: Arc<FakeRuntime>,
    pub(crate) tokens_file: PathBuf,
    snapshots: watch::Receiver<Arc<Snapshot>>,
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ApiResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub(crate) fn etag(&self) -> &str {
        self.headers.get("etag").unwrap().to_str().unwrap()
    }
}

impl TestServer {
    /// Starts a server; `name` distinguishes its tokens file from those of other tests.
    pub(crate) async fn start(name: &str) -> Self {
        let tokens_file = scratch_file(&format!("{name}-tokens"));
        let tokens = format!("# two roles\nread-only {READ_TOKEN}\noperator {OPERATOR_TOKEN}\n");
        std::fs::write(&tokens_file, tokens).unwrap();
        let store = Arc::new(MemoryStore::new());
        let runtime = Arc::new(FakeRuntime::default());
        let settings = Settings {
            name: "entry-1".to_owned(),
            zone: "bergen-a".to_owned(),
            ..Settings::default()
        };
        let settings = ControlSettings::new(&settings, Role::Entry);
        let platform: Arc<dyn Store> = store.clone();
        let control = Control::start(settings, Some(platform), Clock::start(), Incarnation(1));
        let control = Arc::new(control.await.unwrap());
        let snapshots = control.snapshots();
        control.readiness().wait_for(|ready| *ready).await.unwrap();
        let backend = ControlBackend::new("entry-1", control, runtime.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let admin = AdminServer {
            health: runtime.clone(),
            backend: Some(Arc::new(backend)),
            tokens_file: Some(tokens_file.clone()),
            telemetry: Telemetry::install().unwrap(),
        };
        tokio::spawn(serve(listener, admin));
        Self {
            address,
            store,
            runtime,
            tokens_file,
            snapshots,
        }
    }

    /// Sends a request with a token, or without one if `token` is empty.
    pub(crate) async fn call(
        &self,
        token: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ApiResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if !token.is_empty() {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let (head, body) = client.request(request).await.unwrap().into_parts();
        ApiResponse {
            status: head.status,
            headers: head.headers,
            body: body.collect().await.unwrap().to_bytes(),
        }
    }

    pub(crate) async fn get(&self, path: &str) -> ApiResponse {
        self.call(READ_TOKEN, "GET", path, &[], "").await
    }

    pub(crate) async fn post(&self, path: &str) -> ApiResponse {
        self.call(OPERATOR_TOKEN, "POST", path, &[], "").await
    }

    /// Waits until the store's configuration is in force on the node.
    pub(crate) async fn wait_in_force(&self) {
        let expected = self.store.revision();
        let mut snapshots = self.snapshots.clone();
        snapshots
            .wait_for(|snapshot| snapshot.revision() >= expected)
            .await
            .unwrap();
    }
}

/// Returns the path of a temporary file that only this test process uses.
pub(crate) fn scratch_file(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    folder.join(format!("{}-{name}", std::process::id()))
}

/// Returns an instance that the platform lists as live but that no node discovers, because it does
/// not run.
pub(crate) fn undiscovered_instance(name: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Entry,
        zone: "forde".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        state: InstanceState::Live,
    }
}
