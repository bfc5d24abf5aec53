//! Handlers of the calls that need a token.

use bytes::Bytes;
use http::HeaderMap;
use sardinepin_common::{Millis, Revision};
use sardinepin_config::{RuleList, Upstream};
use sardinepin_protocol::{Digest, ErrorKind};
use serde::de::DeserializeOwned;

use super::backend::Backend;
use super::problem::Problem;
use super::responses::{self, ApiResponse, precondition};
use super::routes::ApiCall;
use super::views::{AcceptedView, WaitRequest};

/// The maximum wait of one `POST /v1/behind`.
const WAIT_MAX: Millis = Millis(30_000);

/// The request data that handlers need.
#[derive(Debug)]
pub(crate) struct CallInput<'a> {
    /// The name of the token's owner, for the audit log.
    pub(crate) operator: &'a str,
    /// The header fields.
    pub(crate) headers: &'a HeaderMap,
    /// The complete body.
    pub(crate) body: &'a Bytes,
}

/// Executes `call` on the backend and returns its response.
pub(crate) async fn handle_call(
    backend: &dyn Backend,
    call: &ApiCall,
    input: CallInput<'_>,
) -> Result<ApiResponse, Problem> {
    match call {
        ApiCall::GetRules => {
            let view = backend.rules().await?;
            Ok(responses::json(&view, Some(view.revision)))
        }
        ApiCall::PutRules => put_rules(backend, input).await,
        ApiCall::TestRules => {
            let response = backend.test_rules(&parse_body(input.body)?);
            Ok(responses::json(&response, None))
        }
        ApiCall::Status => Ok(responses::json(&backend.status().await?, None)),
        ApiCall::Behind => {
            let wait: WaitRequest = parse_body(input.body)?;
            let timeout = Millis(wait.wait_ms).min(WAIT_MAX);
            let lagging = backend.wait_in_force(wait.revision, timeout).await?;
            Ok(responses::json(&lagging, None))
        }
        ApiCall::Upstreams => Ok(responses::json(&backend.upstreams().await?, None)),
        ApiCall::PutUpstream(name) => put_upstream(backend, name, input).await,
        ApiCall::SetState(name, state) => {
            let revision = backend.set_state(input.operator, name, *state).await?;
            Ok(revision_response(revision))
        }
        ApiCall::Quarantine => Ok(responses::json(&backend.quarantined().await?, None)),
        ApiCall::Lift(digest) => {
            let digest = Digest::parse(digest).ok_or_else(|| {
                bad_request(format!("'{digest}', expected 32 hexadecimal digits"))
            })?;
            backend.lift_quarantine(digest).await?;
            Ok(responses::json(&serde_json::json!({}), None))
        }
        ApiCall::Groups => Ok(responses::json(&backend.groups().await?, None)),
        ApiCall::Hold(name, held) => Ok(revision_response(
            backend.set_held(input.operator, name, *held).await?,
        )),
        ApiCall::Evacuations => Ok(responses::json(&backend.evacuations().await?, None)),
        ApiCall::Evacuate(zone, evacuated) => Ok(revision_response(
            backend
                .set_evacuated(input.operator, zone, *evacuated)
                .await?,
        )),
        ApiCall::Apply => {
            let applied = backend
                .apply(input.operator, &parse_body(input.body)?)
                .await?;
            Ok(responses::json(&applied, None))
        }
    }
}

/// Requires a precondition: as the list is only replaced as a whole, the client must name the
/// revision that its change is based on.
async fn put_rules(backend: &dyn Backend, input: CallInput<'_>) -> Result<ApiResponse, Problem> {
    let expected = precondition(input.headers)?.ok_or_else(|| {
        bad_request("'if-match: \"REVISION\"' is needed, or 'if-none-match: *' for the first list")
    })?;
    // GET shows revision 0 while there is no list.
    let expected = expected.filter(|revision| *revision != Revision::default());
    let list: RuleList = parse_body(input.body)?;
    Ok(revision_response(
        backend.put_rules(input.operator, &list, expected).await?,
    ))
}

async fn put_upstream(
    backend: &dyn Backend,
    name: &str,
    input: CallInput<'_>,
) -> Result<ApiResponse, Problem> {
    let expected = precondition(input.headers)?.flatten();
    let upstream: Upstream = parse_body(input.body)?;
    if upstream.name != name {
        let detail = format!("the body names '{}' and the path '{name}'", upstream.name);
        return Err(bad_request(detail));
    }
    Ok(revision_response(
        backend
            .put_upstream(input.operator, &upstream, expected)
            .await?,
    ))
}

fn revision_response(revision: Revision) -> ApiResponse {
    responses::json(&AcceptedView { revision }, Some(revision))
}

/// Parses a JSON body; an error names the field that it concerns.
fn parse_body<T: DeserializeOwned>(body: &Bytes) -> Result<T, Problem> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| bad_request(format!("{}: {}", error.path(), error.inner())))
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::new(ErrorKind::BadRequest, detail)
}
