//! The server of the administration API.

use std::convert::Infallible;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::access::{Access, Caller, caller_of};
use super::answers::{self, Answer, METRICS_TYPE, TEXT_TYPE};
use super::backend::{Backend, Health};
use super::calls::{Given, carry_out};
use super::problem::Problem;
use super::routes::{Call, Route, route};
use crate::telemetry::Telemetry;

/// The largest body of a call, in bytes.
const BODY_MAX: usize = 8 * 1024 * 1024;

/// The most connections at once.
const CONNECTIONS_MAX: usize = 128;

/// How long the head or the body of a request may take to come.
const READ_TIMEOUT: Millis = Millis(10_000);

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Millis = Millis(100);

/// The time between two rounds of upkeep of the metrics.
const UPKEEP: Millis = Millis(5_000);

/// What the server stands on.
#[derive(Debug)]
pub struct AdminServer {
    /// Whether the process can be sent work.
    pub health: Arc<dyn Health>,
    /// The calls of operators; a process without them answers that there is no such path.
    pub backend: Option<Arc<dyn Backend>>,
    /// The file of tokens.
    pub tokens_file: Option<PathBuf>,
    /// The metrics.
    pub telemetry: Telemetry,
}

/// Serves the administration API on `listener` until it is dropped.
pub async fn serve(listener: TcpListener, admin: AdminServer) {
    let admin = Arc::new(admin);
    let room = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut upkeep = tokio::time::interval(UPKEEP.duration());
    loop {
        tokio::select! {
            _ = upkeep.tick() => admin.telemetry.upkeep(),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn(&admin, &room, stream),
                Err(error) => {
                    log::warn!(event = "admin_accept", error:% = error; "a connection was not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
                }
            }
        }
    }
}

/// Serves one connection; beyond the bound it is closed at once.
fn spawn(admin: &Arc<AdminServer>, room: &Arc<Semaphore>, stream: TcpStream) {
    let Ok(permit) = Arc::clone(room).try_acquire_owned() else {
        log::warn!(event = "admin_full"; "a connection was closed: {CONNECTIONS_MAX} are open");
        return;
    };
    let admin = Arc::clone(admin);
    tokio::spawn(async move {
        let service = service_fn(|request| {
            let admin = Arc::clone(&admin);
            async move { Ok::<_, Infallible>(admin.answer(request).await) }
        });
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT.duration());
        let served = builder
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = served {
            log::debug!(event = "admin_connection", error:% = error; "a connection broke");
        }
        drop(permit);
    });
}

impl AdminServer {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        match route(request.method(), request.uri().path()) {
            Some(Route::Livez) => answers::text(StatusCode::OK, TEXT_TYPE, "live\n"),
            Some(Route::Readyz) => self.readyz(),
            Some(Route::Metrics) => {
                answers::text(StatusCode::OK, METRICS_TYPE, self.telemetry.render())
            }
            Some(Route::Call(call)) => self.call(&call, request).await,
            None => answers::problem(&no_path(request.uri().path())),
        }
    }

    fn readyz(&self) -> Answer {
        match self.health.unready_reason() {
            None => answers::text(StatusCode::OK, TEXT_TYPE, "ready\n"),
            Some(why) => answers::problem(&Problem::new(ErrorKind::NotReady, why)),
        }
    }

    async fn call(&self, call: &Call, request: Request<Incoming>) -> Answer {
        let tokens = self.tokens_file.as_deref();
        let result = match caller_of(tokens, request.headers()).await {
            Ok(caller) => self.call_as(&caller, call, request).await,
            Err(problem) => Err(problem),
        };
        result.unwrap_or_else(|problem| answers::problem(&problem))
    }

    async fn call_as(
        &self,
        caller: &Caller,
        call: &Call,
        request: Request<Incoming>,
    ) -> Result<Answer, Problem> {
        let result = self.try_call(caller, call, request).await;
        if call.needs() == Access::Operator {
            let problem = result.as_ref().err();
            let result = problem.map_or("accepted", |problem| problem.kind.response().label);
            log::info!(
                event = "admin_call", who = caller.name.as_str(), call:? = call, result = result;
                "an operator's call"
            );
        }
        result
    }

    async fn try_call(
        &self,
        caller: &Caller,
        call: &Call,
        request: Request<Incoming>,
    ) -> Result<Answer, Problem> {
        if caller.access < call.needs() {
            let detail = format!("the token is for the role '{}'", caller.access.word());
            return Err(Problem::new(ErrorKind::Forbidden, detail));
        }
        let Some(backend) = &self.backend else {
            return Err(no_path(request.uri().path()));
        };
        let (head, body) = request.into_parts();
        let given = Given {
            who: &caller.name,
            headers: &head.headers,
            body: &whole(body).await?,
        };
        carry_out(backend.as_ref(), call, given).await
    }
}

fn no_path(path: &str) -> Problem {
    Problem::new(
        ErrorKind::NotFound,
        format!("nothing takes this method at {path}"),
    )
}

/// Reads a body within its bounds of size and time.
async fn whole(body: Incoming) -> Result<Bytes, Problem> {
    let read = Limited::new(body, BODY_MAX).collect();
    match tokio::time::timeout(READ_TIMEOUT.duration(), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::new(
            ErrorKind::BodyTooLarge,
            format!("at most {BODY_MAX} bytes are allowed"),
        )),
        Ok(Err(error)) => Err(Problem::new(ErrorKind::BadRequest, error.to_string())),
        Err(_) => Err(Problem::new(
            ErrorKind::BadRequest,
            "the body did not come in time",
        )),
    }
}
