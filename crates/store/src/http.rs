//! The store over HTTP.

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

/// Settings of the client.
#[derive(Debug, Clone)]
pub struct HttpSettings {
    /// The address of the object API.
    pub address: SocketAddr,
    /// How long a call may take, connecting included.
    pub timeout: Millis,
    /// The largest answer that is read, in bytes.
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

/// The platform's object API over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: HttpSettings,
}

/// An answer, read to its end.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// The part of the answer to a write that counts.
#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

impl HttpStore {
    /// Makes a client; it connects when it is first called.
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
    ) -> Result<Answer, StoreError> {
        let request = self
            .request(Method::GET, &path)
            .body(Full::default())
            .map_err(unsendable)?;
        self.call(call, request, wait).await
    }

    async fn write(&self, change: ConditionalWrite<'_>) -> Result<Revision, StoreError> {
        let method = match change.value {
            Some(_) => Method::PUT,
            None => Method::DELETE,
        };
        let builder = self.request(
            method,
            &format!("/v1/objects/{}", percent_encode(change.key)),
        );
        let builder = match change.precondition {
            Precondition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
            Precondition::Revision(revision) => {
                builder.header(header::IF_MATCH, format!("\"{revision}\""))
            }
        };
        let body = json!({"write_id": change.write_id, "value": change.value}).to_string();
        let request = builder
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(unsendable)?;
        let answer = self.call("put", request, Millis::ZERO).await?;
        match answer.status {
            status if status.is_success() => {
                // The write took effect, so an answer that cannot be read is a lost one.
                let written: Written = parse(&answer.body).map_err(|error| {
                    StoreError::Indeterminate(format!("after a write: {error}"))
                })?;
                Ok(written.revision)
            }
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict(standing(&answer.body))),
            StatusCode::NOT_FOUND => Err(StoreError::Conflict(None)),
            status => Err(unexpected(status)),
        }
    }

    /// Sends a request and reads the answer to its end.
    async fn call(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
        wait: Millis,
    ) -> Result<Answer, StoreError> {
        let limit = (self.settings.timeout + wait).duration();
        let result = within(limit, self.exchange(request)).await;
        let label = match &result {
            Ok(_) => "answered",
            Err(StoreError::Refused(_)) => "refused",
            Err(_) => "lost",
        };
        metrics::counter!("sardinepin_platform_calls_total", "call" => call, "result" => label)
            .increment(1);
        result
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, StoreError> {
        let response = self.client.request(request).await.map_err(|error| {
            // A connection that was never made has carried no byte.
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
        Ok(Answer { status, body })
    }
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{}", percent_encode(key));
            let answer = self.read("get", path, Millis::ZERO).await?;
            match answer.status {
                StatusCode::NOT_FOUND => Ok(None),
                status if status.is_success() => parse(&answer.body).map(Some),
                status => Err(unexpected(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let path = format!("/v1/objects?prefix={}", percent_encode(prefix));
            accepted(self.read("list", path, Millis::ZERO).await?)
        })
    }

    fn put<'a>(
        &'a self,
        change: ConditionalWrite<'a>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(self.write(change))
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
            accepted(self.read("watch", path, wait).await?)
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<Instance>, StoreError>> {
        Box::pin(async move {
            let path = "/v1/instances".to_owned();
            accepted(self.read("instances", path, Millis::ZERO).await?)
        })
    }
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, work)
        .await
        .unwrap_or_else(|_| Err(StoreError::Indeterminate("no answer in time".to_owned())))
}

fn accepted<T: DeserializeOwned>(answer: Answer) -> Result<T, StoreError> {
    if answer.status.is_success() {
        parse(&answer.body)
    } else {
        Err(unexpected(answer.status))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Returns the object that a conflict shows, if there is one.
fn standing(body: &[u8]) -> Option<Object> {
    parse::<Option<Object>>(body)
        .ok()
        .flatten()
        .filter(|object| object.value.is_some())
}

/// A client's fault has no effect at the store; after a server's fault nothing is known.
fn unexpected(status: StatusCode) -> StoreError {
    let why = format!("status {status}");
    if status.is_client_error() {
        StoreError::Refused(why)
    } else {
        StoreError::Indeterminate(why)
    }
}

fn unsendable(error: http::Error) -> StoreError {
    StoreError::Refused(error.to_string())
}
