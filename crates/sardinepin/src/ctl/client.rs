//! HTTP client of the administration API.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use clap::ArgMatches;
use http::header::{AUTHORIZATION, CONTENT_TYPE, IF_MATCH};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as HttpClient, Error};
use hyper_util::rt::TokioExecutor;
use sardinepin_common::Millis;
use serde_json::Value;

use super::error::CtlError;
use super::operation::{ApiRequest, IfMatch, Operation};
use crate::admin::{ProblemBody, RulesView};

/// The maximum size of a response body.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A client of one administration API.
#[derive(Debug)]
pub(crate) struct ApiClient {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    authorization: String,
    timeout: Millis,
}

impl ApiClient {
    /// Creates a client from the arguments of `ctl`; it connects on first use.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self, CtlError> {
        let missing = |what: &str| CtlError::Usage(format!("--{what} is needed"));
        let address = matches.get_one::<SocketAddr>("address");
        let file = matches.get_one::<PathBuf>("token-file");
        let timeout = matches.get_one::<u64>("timeout-ms");
        let token = read_token(file.ok_or_else(|| missing("token-file"))?)?;
        Ok(Self {
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
            address: *address.ok_or_else(|| missing("address"))?,
            authorization: format!("Bearer {token}"),
            timeout: Millis(*timeout.ok_or_else(|| missing("timeout-ms"))?),
        })
    }

    /// Performs an operation and returns the response body.
    ///
    /// [`IfMatch::CurrentRevision`] takes another request, which reads the current rule list.
    pub(crate) async fn execute(&self, operation: &Operation) -> Result<Value, CtlError> {
        let mut request = operation.request()?;
        if request.if_match == IfMatch::CurrentRevision {
            let get_rules = Operation::GetRules.request()?;
            let view: RulesView = parse_response(self.send(&get_rules).await?)?;
            request.if_match = IfMatch::Revision(view.revision.0);
        }
        self.send(&request).await
    }

    /// Sends a request and returns the response body; the timeout covers the complete exchange.
    pub(crate) async fn send(&self, request: &ApiRequest) -> Result<Value, CtlError> {
        let may_change = request.method != Method::GET;
        let result = tokio::time::timeout(self.timeout.duration(), self.exchange(request)).await;
        match result {
            Ok(result) => result,
            Err(_) => Err(no_response(
                may_change,
                format!("{} did not respond within {}", self.address, self.timeout),
            )),
        }
    }

    async fn exchange(&self, request: &ApiRequest) -> Result<Value, CtlError> {
        let may_change = request.method != Method::GET;
        let request = self.http_request(request)?;
        let response = self
            .http
            .request(request)
            .await
            .map_err(|error| self.send_error(may_change, &error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| {
                no_response(may_change, format!("{} broke off: {error}", self.address))
            })?
            .to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| {
                no_response(may_change, format!("the response cannot be read: {error}"))
            });
        }
        Err(rejection(status, &body))
    }

    fn http_request(&self, request: &ApiRequest) -> Result<Request<Full<Bytes>>, CtlError> {
        let mut builder = Request::builder()
            .method(&request.method)
            .uri(format!("http://{}{}", self.address, request.path))
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json");
        if let IfMatch::Revision(revision) = request.if_match {
            builder = builder.header(IF_MATCH, format!("\"{revision}\""));
        }
        builder
            .body(Full::from(request.body.clone()))
            .map_err(|error| CtlError::Usage(error.to_string()))
    }

    /// Converts a transport error; a request that failed to connect cannot have changed anything.
    fn send_error(&self, may_change: bool, error: &Error) -> CtlError {
        let reason = format!("{} cannot be reached: {}", self.address, error_chain(error));
        no_response(may_change && !error.is_connect(), reason)
    }
}

/// Returns the error of a request without a usable response.
fn no_response(may_change: bool, reason: String) -> CtlError {
    if may_change {
        CtlError::OutcomeUnknown(reason)
    } else {
        CtlError::RequestFailed(reason)
    }
}

fn rejection(status: StatusCode, body: &Bytes) -> CtlError {
    match serde_json::from_slice::<ProblemBody>(body) {
        Ok(problem) => CtlError::Problem(Box::new(problem)),
        Err(_) => {
            CtlError::RequestFailed(format!("the response was {status}, without a problem body"))
        }
    }
}

/// Converts a response body to the type that the call returns.
pub(crate) fn parse_response<T: serde::de::DeserializeOwned>(
    response: Value,
) -> Result<T, CtlError> {
    serde_json::from_value(response)
        .map_err(|error| CtlError::RequestFailed(format!("the response cannot be read: {error}")))
}

/// Joins an error's message and those of its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Returns the last word of the first line that is neither empty nor a comment.
fn read_token(file: &Path) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CtlError::Usage(format!("{}: cannot be read: {error}", file.display())))?;
    text.lines()
        .map(str::trim)
        .filter(|line| !line.starts_with('#'))
        .find_map(|line| line.split_whitespace().last())
        .map(str::to_owned)
        .ok_or_else(|| CtlError::Usage(format!("{}: holds no token", file.display())))
}
