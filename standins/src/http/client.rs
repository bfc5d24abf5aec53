//! The client, for control calls and for load.

use std::net::SocketAddr;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl FullResponse {
    /// Returns the value of a header field, empty if it is missing or no text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of that shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).context("the body of the answer")
    }
}

/// Sends requests over kept connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            // A request that is sent again unasked would spoil the counts.
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }
}

impl HttpClient {
    /// Sends a request and returns the answer with its body still to come.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes.
    pub async fn request_streaming(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        Ok(self.client.request(builder.body(Full::new(body))?).await?)
    }

    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes.
    pub async fn request(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<FullResponse> {
        let response = self
            .request_streaming(method, to, path, headers, body)
            .await?;
        let (head, body) = response.into_parts();
        Ok(FullResponse {
            status: head.status,
            headers: head.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Reads JSON with `GET`.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer of status 2xx and that shape comes.
    pub async fn get_json<T: DeserializeOwned>(&self, to: SocketAddr, path: &str) -> Result<T> {
        let answer = self
            .request(Method::GET, to, path, &[], Bytes::new())
            .await?;
        ensure!(
            answer.status.is_success(),
            "GET {path}: status {}",
            answer.status
        );
        answer.json()
    }

    /// Sends JSON and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes.
    pub async fn send_json<T: Serialize>(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<FullResponse> {
        let body = serde_json::to_vec(value)?.into();
        let headers = [(CONTENT_TYPE.as_str(), "application/json")];
        self.request(method, to, path, &headers, body).await
    }

    /// Posts JSON, such as faults to a stand-in, and wants success.
    ///
    /// # Errors
    ///
    /// Fails if the answer's status is not 2xx.
    pub async fn post_json<T: Serialize>(
        &self,
        to: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<()> {
        let answer = self.send_json(Method::POST, to, path, value).await?;
        let said = String::from_utf8_lossy(&answer.body);
        ensure!(
            answer.status.is_success(),
            "POST {path}: status {}: {said}",
            answer.status
        );
        Ok(())
    }
}
