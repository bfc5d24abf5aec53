//! The HTTP client of the administration API.

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

use super::failure::Failure;
use super::order::{Call, Condition, Order};
use crate::admin::{ProblemBody, RulesView};

/// The largest answer that is read, in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// Calls one administration API.
#[derive(Debug)]
pub(crate) struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    authorization: String,
    timeout: Millis,
}

impl Client {
    /// Makes a client by the arguments of `ctl`; it connects when it is first used.
    pub(crate) fn new(given: &ArgMatches) -> Result<Self, Failure> {
        let missing = |what: &str| Failure::Usage(format!("--{what} is needed"));
        let address = given.get_one::<SocketAddr>("address");
        let file = given.get_one::<PathBuf>("token-file");
        let timeout = given.get_one::<u64>("timeout-ms");
        let token = token_of(file.ok_or_else(|| missing("token-file"))?)?;
        Ok(Self {
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
            address: *address.ok_or_else(|| missing("address"))?,
            authorization: format!("Bearer {token}"),
            timeout: Millis(*timeout.ok_or_else(|| missing("timeout-ms"))?),
        })
    }

    /// Carries out an order and returns the answer.
    pub(crate) async fn carry_out(&self, order: &Order) -> Result<Value, Failure> {
        let mut call = order.call()?;
        if call.condition == Condition::Standing {
            let standing = Order::GetRules.call()?;
            let view: RulesView = read(self.call(&standing).await?)?;
            call.condition = Condition::Match(view.revision.0);
        }
        self.call(&call).await
    }

    /// Makes one call; its bound of time covers the whole answer.
    pub(crate) async fn call(&self, call: &Call) -> Result<Value, Failure> {
        let changes = call.method != Method::GET;
        let answered = tokio::time::timeout(self.timeout.duration(), self.send(call)).await;
        match answered {
            Ok(result) => result,
            Err(_) => Err(lost(
                changes,
                format!("{} did not answer within {}", self.address, self.timeout),
            )),
        }
    }

    async fn send(&self, call: &Call) -> Result<Value, Failure> {
        let changes = call.method != Method::GET;
        let request = self.request(call)?;
        let response = self
            .http
            .request(request)
            .await
            .map_err(|error| self.unsent(changes, &error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX)
            .collect()
            .await
            .map_err(|error| lost(changes, format!("{} broke off: {error}", self.address)))?
            .to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| lost(changes, format!("the answer cannot be read: {error}")));
        }
        Err(turned_down(status, &body))
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let mut request = Request::builder()
            .method(&call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json");
        if let Condition::Match(revision) = call.condition {
            request = request.header(IF_MATCH, format!("\"{revision}\""));
        }
        request
            .body(Full::from(call.body.clone()))
            .map_err(|error| Failure::Usage(error.to_string()))
    }

    /// A call that found no connection had no effect; any other may have had one.
    fn unsent(&self, changes: bool, error: &Error) -> Failure {
        let why = format!("{} cannot be reached: {}", self.address, causes(error));
        lost(changes && !error.is_connect(), why)
    }
}

fn lost(changes: bool, why: String) -> Failure {
    if changes {
        Failure::Unknown(why)
    } else {
        Failure::Call(why)
    }
}

fn turned_down(status: StatusCode, body: &Bytes) -> Failure {
    match serde_json::from_slice::<ProblemBody>(body) {
        Ok(problem) => Failure::Problem(Box::new(problem)),
        Err(_) => Failure::Call(format!("the answer was {status}, without a problem body")),
    }
}

/// Reads an answer as the shape that the call has.
pub(crate) fn read<T: serde::de::DeserializeOwned>(answer: Value) -> Result<T, Failure> {
    serde_json::from_value(answer)
        .map_err(|error| Failure::Call(format!("the answer cannot be read: {error}")))
}

fn causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Returns the last word of the first line that is not a comment.
fn token_of(file: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("{}: cannot be read: {error}", file.display())))?;
    text.lines()
        .map(str::trim)
        .filter(|line| !line.starts_with('#'))
        .find_map(|line| line.split_whitespace().last())
        .map(str::to_owned)
        .ok_or_else(|| Failure::Usage(format!("{}: holds no token", file.display())))
}
