//! Maps method and path to a route.

use http::Method;
use sardinepin_protocol::UpstreamState;

use super::access::AccessRole;

/// The target of a request to the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Route {
    /// `GET /livez`.
    Livez,
    /// `GET /readyz`.
    Readyz,
    /// `GET /metrics`.
    Metrics,
    /// A call under `/v1`, which needs a token.
    Call(ApiCall),
}

/// A call that needs a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ApiCall {
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
    Evacuations,
    Evacuate(String, bool),
    Apply,
}

impl ApiCall {
    /// Returns the lowest role that allows this call.
    pub(crate) fn required_role(&self) -> AccessRole {
        match self {
            Self::GetRules
            | Self::TestRules
            | Self::Status
            | Self::Behind
            | Self::Upstreams
            | Self::Quarantine
            | Self::Groups
            | Self::Evacuations => AccessRole::ReadOnly,
            Self::PutRules
            | Self::PutUpstream(_)
            | Self::SetState(..)
            | Self::Lift(_)
            | Self::Hold(..)
            | Self::Evacuate(..)
            | Self::Apply => AccessRole::Operator,
        }
    }
}

/// Returns the route of a request; `None` if nothing serves the method at the path.
pub(crate) fn route(method: &Method, path: &str) -> Option<Route> {
    let segments: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
    if let ["v1", rest @ ..] = segments.as_slice() {
        return call_route(method, rest).map(Route::Call);
    }
    match (method.as_str(), segments.as_slice()) {
        ("GET" | "HEAD", ["livez"]) => Some(Route::Livez),
        ("GET" | "HEAD", ["readyz"]) => Some(Route::Readyz),
        ("GET" | "HEAD", ["metrics"]) => Some(Route::Metrics),
        _ => None,
    }
}

fn call_route(method: &Method, segments: &[&str]) -> Option<ApiCall> {
    match (method.as_str(), segments) {
        ("GET", ["rules"]) => Some(ApiCall::GetRules),
        ("PUT", ["rules"]) => Some(ApiCall::PutRules),
        ("POST", ["rules", "test"]) => Some(ApiCall::TestRules),
        ("GET", ["status"]) => Some(ApiCall::Status),
        ("POST", ["behind"]) => Some(ApiCall::Behind),
        ("GET", ["upstreams"]) => Some(ApiCall::Upstreams),
        ("PUT", ["upstreams", name]) => Some(ApiCall::PutUpstream((*name).to_owned())),
        ("POST", ["upstreams", name, "drain"]) => Some(ApiCall::SetState(
            (*name).to_owned(),
            UpstreamState::Draining,
        )),
        ("POST", ["upstreams", name, "retire"]) => Some(ApiCall::SetState(
            (*name).to_owned(),
            UpstreamState::Retired,
        )),
        ("GET", ["quarantine"]) => Some(ApiCall::Quarantine),
        ("DELETE", ["quarantine", digest]) => Some(ApiCall::Lift((*digest).to_owned())),
        ("GET", ["groups"]) => Some(ApiCall::Groups),
        ("POST", ["groups", name, "hold"]) => Some(ApiCall::Hold((*name).to_owned(), true)),
        ("POST", ["groups", name, "release"]) => Some(ApiCall::Hold((*name).to_owned(), false)),
        ("GET", ["evacuations"]) => Some(ApiCall::Evacuations),
        ("PUT", ["evacuations", zone]) => Some(ApiCall::Evacuate((*zone).to_owned(), true)),
        ("DELETE", ["evacuations", zone]) => Some(ApiCall::Evacuate((*zone).to_owned(), false)),
        ("PUT", ["deployment"]) => Some(ApiCall::Apply),
        _ => None,
    }
}
