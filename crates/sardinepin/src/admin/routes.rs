//! From method and path to the call that is meant.

use http::Method;
use sardinepin_protocol::UpstreamState;

use super::access::Access;

/// What a request to the administration API asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Route {
    /// `GET /livez`.
    Livez,
    /// `GET /readyz`.
    Readyz,
    /// `GET /metrics`.
    Metrics,
    /// A call that takes a token.
    Call(Call),
}

/// A call that takes a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Call {
    GetRules,
    PutRules,
    TestRules,
    Status,
    Behind,
    Upstreams,
    PutUpstream(String),
    SetState(String, UpstreamState),
    Quarantine,
    Lift(String),
    Groups,
    Hold(String, bool),
    Apply,
}

impl Call {
    /// Returns what a token must allow for this call.
    pub(crate) fn needs(&self) -> Access {
        match self {
            Self::GetRules
            | Self::TestRules
            | Self::Status
            | Self::Behind
            | Self::Upstreams
            | Self::Quarantine
            | Self::Groups => Access::ReadOnly,
            Self::PutRules
            | Self::PutUpstream(_)
            | Self::SetState(..)
            | Self::Lift(_)
            | Self::Hold(..)
            | Self::Apply => Access::Operator,
        }
    }
}

/// Returns what is asked for, if there is such a thing.
pub(crate) fn route(method: &Method, path: &str) -> Option<Route> {
    let parts: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
    if let ["v1", rest @ ..] = parts.as_slice() {
        return call(method, rest).map(Route::Call);
    }
    match (method.as_str(), parts.as_slice()) {
        ("GET" | "HEAD", ["livez"]) => Some(Route::Livez),
        ("GET" | "HEAD", ["readyz"]) => Some(Route::Readyz),
        ("GET" | "HEAD", ["metrics"]) => Some(Route::Metrics),
        _ => None,
    }
}

fn call(method: &Method, parts: &[&str]) -> Option<Call> {
    match (method.as_str(), parts) {
        ("GET", ["rules"]) => Some(Call::GetRules),
        ("PUT", ["rules"]) => Some(Call::PutRules),
        ("POST", ["rules", "test"]) => Some(Call::TestRules),
        ("GET", ["status"]) => Some(Call::Status),
        ("POST", ["behind"]) => Some(Call::Behind),
        ("GET", ["upstreams"]) => Some(Call::Upstreams),
        ("PUT", ["upstreams", name]) => Some(Call::PutUpstream((*name).to_owned())),
        ("POST", ["upstreams", name, "drain"]) => {
            Some(Call::SetState((*name).to_owned(), UpstreamState::Draining))
        }
        ("POST", ["upstreams", name, "retire"]) => {
            Some(Call::SetState((*name).to_owned(), UpstreamState::Retired))
        }
        ("GET", ["quarantine"]) => Some(Call::Quarantine),
        ("DELETE", ["quarantine", digest]) => Some(Call::Lift((*digest).to_owned())),
        ("GET", ["groups"]) => Some(Call::Groups),
        ("POST", ["groups", name, "hold"]) => Some(Call::Hold((*name).to_owned(), true)),
        ("POST", ["groups", name, "release"]) => Some(Call::Hold((*name).to_owned(), false)),
        ("PUT", ["deployment"]) => Some(Call::Apply),
        _ => None,
    }
}
