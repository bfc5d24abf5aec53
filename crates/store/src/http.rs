//! HTTP client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sardinepin_common::{Millis, Revision};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::store::{
    BoxFuture, ConditionalWrite, Instance, Listing, Object, Precondition, Store, StoreError,
};
use crate::uri::percent_encode;

/// Settings of an [`HttpStore`].
#[derive(Debug, Clone)]
pub struct HttpSettings {
    /// The IP address and port of the object API.
    pub address: SocketAddr,
    /// The timeout of a call, including the connection set-up; a watch adds its wait time.
    pub timeout: Millis,
    /// The maximum size of a response body, in bytes.
    pub response_limit: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 8_500)),
            timeout: Millis(1_000),
            response_limit: 64 * 1024 * 1024,
        }
    }
}

/// A [`Store`] that calls the platform's object API over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: HttpSettings,
}

/// A response with its complete body.
struct StoreResponse {
    status: StatusCode,
    body: Bytes,
}

/// The relevant part of the response to a write.
#[derive(Deserialize)]
struct WriteResponse {
    revision: Revision,
}

impl HttpStore {
    /// Creates a client; it connects on the first call.
    #[must_use]
    pub fn new(settings: HttpSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout.duration()));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, settings }
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.settings.address))
    }

    async fn read(
        &self,
        call: &'static str,
        path: String,
        wait: Millis,
    ) -> Result<StoreResponse, StoreError> {
        let request = self
            .request(Method::GET, &path)
            .body(Full::default())
            .map_err(invalid_request)?;
        self.call(call, request, wait).await
    }

    async fn write(&self, write: ConditionalWrite<'_>) -> Result<Revision, StoreError> {
        let method = match write.value {
            Some(_) => Method::PUT,
            None => Method::DELETE,
        };
        let builder = self.request(
            method,
            &format!("/v1/objects/{}", percent_encode(write.key)),
        );
        let builder = match write.precondition {
            Precondition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
            Precondition::Revision(revision) => {
                builder.header(header::IF_MATCH, format!("\"{revision}\""))
            }
        };
        let body = json!({"write_id": write.write_id, "value": write.value}).to_string();
        let request = builder
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(invalid_request)?;
        let response = self.call("put", request, Millis::ZERO).await?;
        match response.status {
            status if status.is_success() => {
                // The write took effect, so a malformed response counts as a lost one.
                let written: WriteResponse = parse(&response.body).map_err(|error| {
                    StoreError::Indeterminate(format!("after a write: {error}"))
                })?;
                Ok(written.revision)
            }
            StatusCode::PRECONDITION_FAILED => {
                Err(StoreError::Conflict(current_object(&response.body)))
            }
            StatusCode::NOT_FOUND => Err(StoreError::Conflict(None)),
            status => Err(unexpected_status(status)),
        }
    }

    /// Sends a request, reads the complete response and counts the result.
    async fn call(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
        wait: Millis,
    ) -> Result<StoreResponse, StoreError> {
        let limit = (self.settings.timeout + wait).duration();
        let result = with_timeout(limit, self.exchange(request)).await;
        let label = match &result {
            Ok(_) => "answered",
            Err(StoreError::Refused(_)) => "refused",
            Err(_) => "lost",
        };
        metrics::counter!("sardinepin_platform_calls_total", "call" => call, "result" => label)
            .increment(1);
        result
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<StoreResponse, StoreError> {
        let response = self.client.request(request).await.map_err(|error| {
            // Without a connection no byte was sent, so the call had no effect.
            if error.is_connect() {
                StoreError::Refused(error.to_string())
            } else {
                StoreError::Indeterminate(error.to_string())
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.settings.response_limit)
            .collect()
            .await
            .map_err(|error| StoreError::Indeterminate(error.to_string()))?
            .to_bytes();
        Ok(StoreResponse { status, body })
    }
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{}", percent_encode(key));
            let response = self.read("get", path, Millis::ZERO).await?;
            match response.status {
                StatusCode::NOT_FOUND => Ok(None),
                status if status.is_success() => parse(&response.body).map(Some),
                status => Err(unexpected_status(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let path = format!("/v1/objects?prefix={}", percent_encode(prefix));
            parse_success(self.read("list", path, Millis::ZERO).await?)
        })
    }

    fn put<'a>(
        &'a self,
        write: ConditionalWrite<'a>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(self.write(write))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let path = format!(
                "/v1/watch?prefix={}&after={after}&wait_ms={}",
                percent_encode(prefix),
                wait.0
            );
            parse_success(self.read("watch", path, wait).await?)
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<Instance>, StoreError>> {
        Box::pin(async move {
            let path = "/v1/instances".to_owned();
            parse_success(self.read("instances", path, Millis::ZERO).await?)
        })
    }
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, work)
        .await
        .unwrap_or_else(|_| Err(StoreError::Indeterminate("no answer in time".to_owned())))
}

fn parse_success<T: DeserializeOwned>(response: StoreResponse) -> Result<T, StoreError> {
    if response.status.is_success() {
        parse(&response.body)
    } else {
        Err(unexpected_status(response.status))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Returns the current object from the body of a conflict response, if it exists.
fn current_object(body: &[u8]) -> Option<Object> {
    parse::<Option<Object>>(body)
        .ok()
        .flatten()
        .filter(|object| object.value.is_some())
}

/// Classifies an unexpected status: after a 4xx status the call had no effect at the store; after any
/// other, nothing is known.
fn unexpected_status(status: StatusCode) -> StoreError {
    let why = format!("status {status}");
    if status.is_client_error() {
        StoreError::Refused(why)
    } else {
        StoreError::Indeterminate(why)
    }
}

fn invalid_request(error: http::Error) -> StoreError {
    StoreError::Refused(error.to_string())
}
