//! The operations of `ctl`, and the HTTP requests that perform them.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use http::Method;
use sardinepin_config::{RuleList, Upstream};
use serde::Serialize;

use super::error::CtlError;
use crate::admin::{RuleTestRequest, WaitRequest};
use crate::check::{Deployment, load_deployment, load_rules};

/// An operation that the command line asks for.
#[derive(Debug)]
pub(crate) enum Operation {
    /// Show the rule list.
    GetRules,
    /// Replace the rule list, whose expected revision may be given.
    PutRules(RuleList, Option<u64>),
    /// Show which rule a request matches.
    TestRules(Box<RuleTestRequest>),
    /// Show nodes and upstreams.
    Status,
    /// Show upstreams.
    Upstreams,
    /// Add an upstream or, with its expected revision, replace it.
    PutUpstream(Upstream, Option<u64>),
    /// Drain or retire an upstream: its name, and the last segment of the path.
    SetState(String, &'static str),
    /// Show the quarantined digests.
    Quarantine,
    /// Lift the quarantine of a digest.
    Lift(String),
    /// Show rank groups.
    Groups,
    /// Pause or resume the rebalancing of a group: its name, and the last segment of the path.
    Hold(String, &'static str),
    /// Show the evacuated zones.
    Evacuations,
    /// Evacuate a zone.
    Evacuate(String),
    /// End the evacuation of a zone.
    Restore(String),
    /// Write the objects of a deployment file.
    Apply(Box<Deployment>),
}

/// The `If-Match` precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IfMatch {
    /// The request has no precondition.
    None,
    /// The object has this revision.
    Revision(u64),
    /// The object has the revision that the client reads just before the write.
    CurrentRevision,
}

/// An HTTP request to the administration API.
#[derive(Debug)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    /// The path, which needs no escaping.
    pub(crate) path: String,
    /// The precondition, sent as `If-Match`.
    pub(crate) if_match: IfMatch,
    /// The JSON body; empty if there is none.
    pub(crate) body: String,
}

impl Operation {
    /// Builds the operation from the arguments and the files that they name.
    pub(crate) fn from_arguments(matches: &ArgMatches) -> Result<Self, CtlError> {
        let (command, inner) = subcommand(matches)?;
        if command == "status" {
            return Ok(Self::Status);
        }
        if command == "apply" {
            return Ok(Self::Apply(Box::new(load_deployment(&file_argument(
                inner,
            )?)?)));
        }
        let (action, inner) = subcommand(inner)?;
        match (command, action) {
            ("rules", "get") => Ok(Self::GetRules),
            ("rules", "put") => Ok(Self::PutRules(
                load_rules(&file_argument(inner)?)?,
                expected_revision(inner),
            )),
            ("rules", "test") => Ok(Self::TestRules(Box::new(rule_test_request(inner)?))),
            ("upstream", "list") => Ok(Self::Upstreams),
            ("upstream", "add") => Ok(Self::PutUpstream(
                upstream_to_add(inner),
                expected_revision(inner),
            )),
            ("upstream", "drain") => Ok(Self::SetState(string_argument(inner, "name"), "drain")),
            ("upstream", "retire") => Ok(Self::SetState(string_argument(inner, "name"), "retire")),
            ("quarantine", "list") => Ok(Self::Quarantine),
            ("quarantine", "lift") => Ok(Self::Lift(string_argument(inner, "name"))),
            ("groups", "list") => Ok(Self::Groups),
            ("groups", "hold") => Ok(Self::Hold(string_argument(inner, "name"), "hold")),
            ("groups", "release") => Ok(Self::Hold(string_argument(inner, "name"), "release")),
            ("zone", "list") => Ok(Self::Evacuations),
            ("zone", "evacuate") => Ok(Self::Evacuate(string_argument(inner, "name"))),
            ("zone", "restore") => Ok(Self::Restore(string_argument(inner, "name"))),
            _ => Err(CtlError::Usage(format!(
                "there is no command {command} {action}"
            ))),
        }
    }

    /// Returns the request that performs the operation.
    pub(crate) fn request(&self) -> Result<ApiRequest, CtlError> {
        match self {
            Self::GetRules => Ok(get("/v1/rules")),
            Self::PutRules(list, expected) => Ok(ApiRequest {
                if_match: expected.map_or(IfMatch::CurrentRevision, IfMatch::Revision),
                ..put("/v1/rules".to_owned(), list)?
            }),
            Self::TestRules(request) => Ok(ApiRequest {
                method: Method::POST,
                ..put("/v1/rules/test".to_owned(), request)?
            }),
            Self::Status => Ok(get("/v1/status")),
            Self::Upstreams => Ok(get("/v1/upstreams")),
            Self::PutUpstream(upstream, expected) => Ok(ApiRequest {
                if_match: expected.map_or(IfMatch::None, IfMatch::Revision),
                ..put(
                    format!("/v1/upstreams/{}", path_segment(&upstream.name)?),
                    upstream,
                )?
            }),
            Self::SetState(name, action) => {
                post(format!("/v1/upstreams/{}/{action}", path_segment(name)?))
            }
            Self::Quarantine => Ok(get("/v1/quarantine")),
            Self::Lift(digest) => Ok(ApiRequest {
                method: Method::DELETE,
                ..get(&format!("/v1/quarantine/{}", path_segment(digest)?))
            }),
            Self::Groups => Ok(get("/v1/groups")),
            Self::Hold(name, action) => {
                post(format!("/v1/groups/{}/{action}", path_segment(name)?))
            }
            Self::Evacuations => Ok(get("/v1/evacuations")),
            Self::Evacuate(zone) => Ok(ApiRequest {
                method: Method::PUT,
                ..get(&format!("/v1/evacuations/{}", path_segment(zone)?))
            }),
            Self::Restore(zone) => Ok(ApiRequest {
                method: Method::DELETE,
                ..get(&format!("/v1/evacuations/{}", path_segment(zone)?))
            }),
            Self::Apply(deployment) => put("/v1/deployment".to_owned(), deployment),
        }
    }
}

/// Returns the request that waits until a change is in force.
pub(crate) fn wait_request(wait: &WaitRequest) -> Result<ApiRequest, CtlError> {
    Ok(ApiRequest {
        method: Method::POST,
        ..put("/v1/behind".to_owned(), wait)?
    })
}

fn get(path: &str) -> ApiRequest {
    ApiRequest {
        method: Method::GET,
        path: path.to_owned(),
        if_match: IfMatch::None,
        body: String::new(),
    }
}

fn post(path: String) -> Result<ApiRequest, CtlError> {
    Ok(ApiRequest {
        method: Method::POST,
        ..get(&path)
    })
}

fn put<T: Serialize>(path: String, body: &T) -> Result<ApiRequest, CtlError> {
    let body = serde_json::to_string(body).map_err(|error| CtlError::Usage(error.to_string()))?;
    Ok(ApiRequest {
        method: Method::PUT,
        path,
        if_match: IfMatch::None,
        body,
    })
}

/// Returns `name` if it can be a path segment without escaping.
fn path_segment(name: &str) -> Result<&str, CtlError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !name.is_empty() && name.chars().all(allowed) {
        return Ok(name);
    }
    Err(CtlError::Usage(format!(
        "'{name}'; letters, digits, '-', '_' and '.' are allowed in a name"
    )))
}

fn subcommand(matches: &ArgMatches) -> Result<(&str, &ArgMatches), CtlError> {
    matches
        .subcommand()
        .ok_or_else(|| CtlError::Usage("a command is needed".to_owned()))
}

fn file_argument(matches: &ArgMatches) -> Result<PathBuf, CtlError> {
    matches
        .get_one::<PathBuf>("file")
        .cloned()
        .ok_or_else(|| CtlError::Usage("a file is needed".to_owned()))
}

fn expected_revision(matches: &ArgMatches) -> Option<u64> {
    matches.get_one("if-match").copied()
}

fn string_argument(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn upstream_to_add(matches: &ArgMatches) -> Upstream {
    let agent: Option<&SocketAddr> = matches.get_one("agent");
    Upstream {
        name: string_argument(matches, "name"),
        service: string_argument(matches, "service"),
        zone: string_argument(matches, "zone"),
        address: agent.map(ToString::to_string).unwrap_or_default(),
        group: matches.get_one::<String>("group").cloned(),
        ..Upstream::default()
    }
}

fn rule_test_request(matches: &ArgMatches) -> Result<RuleTestRequest, CtlError> {
    let tags = matches
        .get_many::<String>("tag")
        .map(|tags| tags.cloned().collect());
    let headers = matches
        .get_many::<String>("header")
        .into_iter()
        .flatten()
        .map(|header| parse_header(header))
        .collect::<Result<_, _>>()?;
    let rules = match matches.get_one::<PathBuf>("rules") {
        Some(file) => Some(load_rules(file)?.rules),
        None => None,
    };
    Ok(RuleTestRequest {
        organisation: string_argument(matches, "organisation"),
        tags,
        service: matches.get_one::<String>("service").cloned(),
        model: matches.get_one::<String>("model").cloned(),
        method: string_argument(matches, "method"),
        path: string_argument(matches, "path"),
        headers,
        rules,
    })
}

fn parse_header(header: &str) -> Result<(String, String), CtlError> {
    header
        .split_once(':')
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .ok_or_else(|| CtlError::Usage(format!("--header '{header}', expected 'NAME: VALUE'")))
}
