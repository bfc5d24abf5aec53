//! The HTTP client, used for control calls and by the load client.

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

/// A response whose body has been read completely.
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
    /// Returns the value of a header field, or an empty string if it is missing or not text.
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
    /// Fails if the body is not JSON that decodes as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).context("the response body is not the expected JSON")
    }
}

/// Sends requests over pooled connections that are kept alive.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            // An automatic retry would make the counts of sent and of executed requests differ.
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }
}

impl HttpClient {
    /// Sends a request and returns the response before its body has been read.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives.
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

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives.
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

    /// Sends a `GET` request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives, its status is not 2xx, or its body does not decode as
    /// `T`.
    pub async fn get_json<T: DeserializeOwned>(&self, to: SocketAddr, path: &str) -> Result<T> {
        let response = self
            .request(Method::GET, to, path, &[], Bytes::new())
            .await?;
        ensure!(
            response.status.is_success(),
            "GET {path}: status {}",
            response.status
        );
        response.json()
    }

    /// Sends `value` as JSON and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives.
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

    /// Sends `value` as JSON with `POST`, for example the faults of a stand-in, and requires
    /// success.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives or its status is not 2xx.
    pub async fn post_json<T: Serialize>(
        &self,
        to: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<()> {
        let response = self.send_json(Method::POST, to, path, value).await?;
        let text = String::from_utf8_lossy(&response.body);
        ensure!(
            response.status.is_success(),
            "POST {path}: status {}: {text}",
            response.status
        );
        Ok(())
    }
}
