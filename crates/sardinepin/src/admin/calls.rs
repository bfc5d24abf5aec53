//! Carries out the calls that take a token.

use bytes::Bytes;
use http::HeaderMap;
use sardinepin_common::{Millis, Revision};
use sardinepin_config::{RuleList, Upstream};
use sardinepin_protocol::{Digest, ErrorKind};
use serde::de::DeserializeOwned;

use super::answers::{self, Answer, condition};
use super::backend::Backend;
use super::problem::Problem;
use super::routes::Call;
use super::views::{WaitRequest, WrittenView};

/// The longest wait of one call.
const WAIT_MAX: Millis = Millis(30_000);

/// What a call brings with it.
#[derive(Debug)]
pub(crate) struct Given<'a> {
    /// The operator, for the log.
    pub(crate) who: &'a str,
    /// The header fields.
    pub(crate) headers: &'a HeaderMap,
    /// The whole body.
    pub(crate) body: &'a Bytes,
}

/// Carries out `call` and returns its response.
pub(crate) async fn carry_out(
    backend: &dyn Backend,
    call: &Call,
    given: Given<'_>,
) -> Result<Answer, Problem> {
    match call {
        Call::GetRules => {
            let view = backend.rules().await?;
            Ok(answers::json(&view, Some(view.revision)))
        }
        Call::PutRules => put_rules(backend, given).await,
        Call::TestRules => {
            let answer = backend.test(&read(given.body)?);
            Ok(answers::json(&answer, None))
        }
        Call::Status => Ok(answers::json(&backend.status().await?, None)),
        Call::Behind => {
            let wait: WaitRequest = read(given.body)?;
            let limit = Millis(wait.wait_ms).min(WAIT_MAX);
            let behind = backend.behind(wait.revision, limit).await?;
            Ok(answers::json(&behind, None))
        }
        Call::Upstreams => Ok(answers::json(&backend.upstreams().await?, None)),
        Call::PutUpstream(name) => put_upstream(backend, name, given).await,
        Call::SetState(name, state) => {
            let revision = backend.set_state(given.who, name, *state).await?;
            Ok(written(revision))
        }
        Call::Quarantine => Ok(answers::json(&backend.quarantine().await?, None)),
        Call::Lift(digest) => {
            let digest = Digest::parse(digest)
                .ok_or_else(|| bad(format!("'{digest}', expected 32 hexadecimal digits")))?;
            backend.lift(digest).await?;
            Ok(answers::json(&serde_json::json!({}), None))
        }
        Call::Groups => Ok(answers::json(&backend.groups().await?, None)),
        Call::Hold(name, held) => Ok(written(backend.hold(given.who, name, *held).await?)),
        Call::Apply => {
            let applied = backend.apply(given.who, &read(given.body)?).await?;
            Ok(answers::json(&applied, None))
        }
    }
}

/// The list is only replaced as a whole, so the caller must say which version it has seen.
async fn put_rules(backend: &dyn Backend, given: Given<'_>) -> Result<Answer, Problem> {
    let expect = condition(given.headers)?.ok_or_else(|| {
        bad("'if-match: \"REVISION\"' is needed, or 'if-none-match: *' for the first list")
    })?;
    // Revision 0 is what GET shows while there is no list.
    let expect = expect.filter(|revision| *revision != Revision::default());
    let list: RuleList = read(given.body)?;
    Ok(written(backend.put_rules(given.who, &list, expect).await?))
}

async fn put_upstream(
    backend: &dyn Backend,
    name: &str,
    given: Given<'_>,
) -> Result<Answer, Problem> {
    let expect = condition(given.headers)?.flatten();
    let upstream: Upstream = read(given.body)?;
    if upstream.name != name {
        let detail = format!("the body names '{}' and the path '{name}'", upstream.name);
        return Err(bad(detail));
    }
    Ok(written(
        backend.put_upstream(given.who, &upstream, expect).await?,
    ))
}

fn written(revision: Revision) -> Answer {
    answers::json(&WrittenView { revision }, Some(revision))
}

/// Reads a JSON body; a fault is named by its field.
fn read<T: DeserializeOwned>(body: &Bytes) -> Result<T, Problem> {
    let mut text = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut text)
        .map_err(|error| bad(format!("{}: {}", error.path(), error.inner())))
}

fn bad(detail: impl Into<String>) -> Problem {
    Problem::new(ErrorKind::BadRequest, detail)
}
