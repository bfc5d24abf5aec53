//! HTTP server of the administration API.

use std::convert::Infallible;
use std::path::PathBuf;
use std::pin::pin;
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

use super::access::{AccessRole, TokenOwner, authenticate};
use super::backend::{Backend, Health};
use super::handlers::{CallInput, handle_call};
use super::problem::Problem;
use super::responses::{self, ApiResponse, METRICS_TYPE, TEXT_TYPE};
use super::routes::{ApiCall, Route, route};
use crate::telemetry::Telemetry;

/// The maximum size of a request body.
const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The maximum number of concurrent connections.
const CONNECTIONS_MAX: usize = 128;

/// The time limit for receiving the header of a request, and again for its body.
const READ_TIMEOUT: Millis = Millis(10_000);

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Millis = Millis(100);

/// The dependencies of the administration API.
#[derive(Debug)]
pub struct AdminServer {
    /// Decides the response to `/readyz`.
    pub health: Arc<dyn Health>,
    /// Serves the calls under `/v1`; without one, those with a valid token fail with 404.
    pub backend: Option<Arc<dyn Backend>>,
    /// The tokens file; without one, all calls under `/v1` fail with 401.
    pub tokens_file: Option<PathBuf>,
    /// The source of `/metrics`.
    pub telemetry: Telemetry,
}

/// Serves the administration API on `listener`; runs until the future is dropped.
pub async fn serve(listener: TcpListener, admin: AdminServer) {
    let admin = Arc::new(admin);
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut maintenance = pin!(admin.telemetry.clone().maintain());
    loop {
        tokio::select! {
            () = &mut maintenance => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(&admin, &permits, stream),
                Err(error) => {
                    log::warn!(
                        event = "admin_accept", error:% = error;
                        "cannot accept a connection"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
                }
            }
        }
    }
}

/// Serves a connection in a task of its own, or closes it at once if too many are open.
fn spawn_connection(admin: &Arc<AdminServer>, permits: &Arc<Semaphore>, stream: TcpStream) {
    let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
        log::warn!(
            event = "admin_full";
            "closing a new connection: {CONNECTIONS_MAX} are open already"
        );
        return;
    };
    let admin = Arc::clone(admin);
    tokio::spawn(async move {
        let service = service_fn(|request| {
            let admin = Arc::clone(&admin);
            async move { Ok::<_, Infallible>(admin.respond(request).await) }
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
            log::debug!(
                event = "admin_connection", error:% = error;
                "connection ended with an error"
            );
        }
        drop(permit);
    });
}

impl AdminServer {
    async fn respond(&self, request: Request<Incoming>) -> ApiResponse {
        match route(request.method(), request.uri().path()) {
            Some(Route::Livez) => responses::text(StatusCode::OK, TEXT_TYPE, "live\n"),
            Some(Route::Readyz) => self.readyz(),
            Some(Route::Metrics) => {
                responses::text(StatusCode::OK, METRICS_TYPE, self.telemetry.render())
            }
            Some(Route::Call(call)) => self.authenticate_and_call(&call, request).await,
            None => responses::problem(&path_not_found(request.uri().path())),
        }
    }

    fn readyz(&self) -> ApiResponse {
        match self.health.not_ready_reason() {
            None => responses::text(StatusCode::OK, TEXT_TYPE, "ready\n"),
            Some(reason) => responses::problem(&Problem::new(ErrorKind::NotReady, reason)),
        }
    }

    async fn authenticate_and_call(
        &self,
        call: &ApiCall,
        request: Request<Incoming>,
    ) -> ApiResponse {
        let tokens_file = self.tokens_file.as_deref();
        let result = match authenticate(tokens_file, request.headers()).await {
            Ok(owner) => self.call_and_log(&owner, call, request).await,
            Err(problem) => Err(problem),
        };
        result.unwrap_or_else(|problem| responses::problem(&problem))
    }

    /// Makes the call and logs it, with its result, if it needs the operator role.
    async fn call_and_log(
        &self,
        owner: &TokenOwner,
        call: &ApiCall,
        request: Request<Incoming>,
    ) -> Result<ApiResponse, Problem> {
        let result = self.try_call(owner, call, request).await;
        if call.required_role() == AccessRole::Operator {
            let problem = result.as_ref().err();
            let result = problem.map_or("accepted", |problem| problem.kind.response().label);
            log::info!(
                event = "admin_call", who = owner.name.as_str(), call:? = call, result = result;
                "operator call"
            );
        }
        result
    }

    async fn try_call(
        &self,
        owner: &TokenOwner,
        call: &ApiCall,
        request: Request<Incoming>,
    ) -> Result<ApiResponse, Problem> {
        if owner.role < call.required_role() {
            let detail = format!("the token is for the role '{}'", owner.role.name());
            return Err(Problem::new(ErrorKind::Forbidden, detail));
        }
        let Some(backend) = &self.backend else {
            return Err(path_not_found(request.uri().path()));
        };
        let (head, body) = request.into_parts();
        let input = CallInput {
            operator: &owner.name,
            headers: &head.headers,
            body: &read_body(body).await?,
        };
        handle_call(backend.as_ref(), call, input).await
    }
}

fn path_not_found(path: &str) -> Problem {
    Problem::new(
        ErrorKind::NotFound,
        format!("nothing takes this method at {path}"),
    )
}

/// Reads a body within the limits of size and time.
async fn read_body(body: Incoming) -> Result<Bytes, Problem> {
    let read = Limited::new(body, BODY_MAX_BYTES).collect();
    match tokio::time::timeout(READ_TIMEOUT.duration(), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::new(
            ErrorKind::BodyTooLarge,
            format!("at most {BODY_MAX_BYTES} bytes are allowed"),
        )),
        Ok(Err(error)) => Err(Problem::new(ErrorKind::BadRequest, error.to_string())),
        Err(_) => Err(Problem::new(
            ErrorKind::BadRequest,
            "the body did not come in time",
        )),
    }
}
