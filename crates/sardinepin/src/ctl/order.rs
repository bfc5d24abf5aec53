//! What an operator orders, and the call that carries it out.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use http::Method;
use sardinepin_config::{RuleList, Upstream};
use serde::Serialize;

use super::failure::Failure;
use crate::admin::{TestRequest, WaitRequest};
use crate::check::{Deployment, load_deployment, load_rules};

/// What an operator orders.
#[derive(Debug)]
pub(crate) enum Order {
    /// Show the rule list.
    GetRules,
    /// Replace the rule list.
    PutRules(RuleList, Option<u64>),
    /// Show which rule a request meets.
    TestRules(Box<TestRequest>),
    /// Show nodes and upstreams.
    Status,
    /// Show upstreams.
    Upstreams,
    /// Add or change an upstream.
    PutUpstream(Upstream, Option<u64>),
    /// Drain or retire an upstream; the word is part of the path.
    SetState(String, &'static str),
    /// Show digests in quarantine.
    Quarantine,
    /// Lift a quarantine.
    Lift(String),
    /// Show rank groups.
    Groups,
    /// Hold or release a group; the word is part of the path.
    Hold(String, &'static str),
    /// Write a deployment file.
    Apply(Box<Deployment>),
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    /// None.
    None,
    /// The object stands at this revision.
    Match(u64),
    /// The object stands as it does when the order is carried out; the client asks first.
    Standing,
}

/// A call of the administration API.
#[derive(Debug)]
pub(crate) struct Call {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The condition.
    pub(crate) condition: Condition,
    /// The body, empty if there is none.
    pub(crate) body: String,
}

impl Order {
    /// Reads the arguments and the files that they name.
    pub(crate) fn read(given: &ArgMatches) -> Result<Self, Failure> {
        let (what, inner) = subcommand(given)?;
        if what == "status" {
            return Ok(Self::Status);
        }
        if what == "apply" {
            return Ok(Self::Apply(Box::new(load_deployment(&file(inner)?)?)));
        }
        let (word, inner) = subcommand(inner)?;
        match (what, word) {
            ("rules", "get") => Ok(Self::GetRules),
            ("rules", "put") => Ok(Self::PutRules(load_rules(&file(inner)?)?, if_match(inner))),
            ("rules", "test") => Ok(Self::TestRules(Box::new(described(inner)?))),
            ("upstream", "list") => Ok(Self::Upstreams),
            ("upstream", "add") => Ok(Self::PutUpstream(upstream(inner), if_match(inner))),
            ("upstream", "drain") => Ok(Self::SetState(word_of(inner, "name"), "drain")),
            ("upstream", "retire") => Ok(Self::SetState(word_of(inner, "name"), "retire")),
            ("quarantine", "list") => Ok(Self::Quarantine),
            ("quarantine", "lift") => Ok(Self::Lift(word_of(inner, "name"))),
            ("groups", "list") => Ok(Self::Groups),
            ("groups", "hold") => Ok(Self::Hold(word_of(inner, "name"), "hold")),
            ("groups", "release") => Ok(Self::Hold(word_of(inner, "name"), "release")),
            _ => Err(Failure::Usage(format!("there is no command {what} {word}"))),
        }
    }

    /// Returns the call that carries the order out.
    pub(crate) fn call(&self) -> Result<Call, Failure> {
        match self {
            Self::GetRules => Ok(get("/v1/rules")),
            Self::PutRules(list, expect) => Ok(Call {
                condition: expect.map_or(Condition::Standing, Condition::Match),
                ..put("/v1/rules".to_owned(), list)?
            }),
            Self::TestRules(request) => Ok(Call {
                method: Method::POST,
                ..put("/v1/rules/test".to_owned(), request)?
            }),
            Self::Status => Ok(get("/v1/status")),
            Self::Upstreams => Ok(get("/v1/upstreams")),
            Self::PutUpstream(upstream, expect) => Ok(Call {
                condition: expect.map_or(Condition::None, Condition::Match),
                ..put(format!("/v1/upstreams/{}", part(&upstream.name)?), upstream)?
            }),
            Self::SetState(name, word) => post(format!("/v1/upstreams/{}/{word}", part(name)?)),
            Self::Quarantine => Ok(get("/v1/quarantine")),
            Self::Lift(digest) => Ok(Call {
                method: Method::DELETE,
                ..get(&format!("/v1/quarantine/{}", part(digest)?))
            }),
            Self::Groups => Ok(get("/v1/groups")),
            Self::Hold(name, word) => post(format!("/v1/groups/{}/{word}", part(name)?)),
            Self::Apply(deployment) => put("/v1/deployment".to_owned(), deployment),
        }
    }
}

/// Returns the call that waits for a change to be in force.
pub(crate) fn behind(wait: &WaitRequest) -> Result<Call, Failure> {
    Ok(Call {
        method: Method::POST,
        ..put("/v1/behind".to_owned(), wait)?
    })
}

fn get(path: &str) -> Call {
    Call {
        method: Method::GET,
        path: path.to_owned(),
        condition: Condition::None,
        body: String::new(),
    }
}

fn post(path: String) -> Result<Call, Failure> {
    Ok(Call {
        method: Method::POST,
        ..get(&path)
    })
}

fn put<T: Serialize>(path: String, body: &T) -> Result<Call, Failure> {
    let body = serde_json::to_string(body).map_err(|error| Failure::Usage(error.to_string()))?;
    Ok(Call {
        method: Method::PUT,
        path,
        condition: Condition::None,
        body,
    })
}

/// Returns a name that can be part of a path as it is.
fn part(name: &str) -> Result<&str, Failure> {
    let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !name.is_empty() && name.chars().all(plain) {
        return Ok(name);
    }
    Err(Failure::Usage(format!(
        "'{name}'; letters, digits, '-', '_' and '.' are allowed in a name"
    )))
}

fn subcommand(given: &ArgMatches) -> Result<(&str, &ArgMatches), Failure> {
    given
        .subcommand()
        .ok_or_else(|| Failure::Usage("a command is needed".to_owned()))
}

fn file(given: &ArgMatches) -> Result<PathBuf, Failure> {
    given
        .get_one::<PathBuf>("file")
        .cloned()
        .ok_or_else(|| Failure::Usage("a file is needed".to_owned()))
}

fn if_match(given: &ArgMatches) -> Option<u64> {
    given.get_one("if-match").copied()
}

fn word_of(given: &ArgMatches, name: &str) -> String {
    given.get_one::<String>(name).cloned().unwrap_or_default()
}

fn upstream(given: &ArgMatches) -> Upstream {
    let agent: Option<&SocketAddr> = given.get_one("agent");
    Upstream {
        name: word_of(given, "name"),
        service: word_of(given, "service"),
        zone: word_of(given, "zone"),
        address: agent.map(ToString::to_string).unwrap_or_default(),
        group: given.get_one::<String>("group").cloned(),
        ..Upstream::default()
    }
}

fn described(given: &ArgMatches) -> Result<TestRequest, Failure> {
    let tags = given
        .get_many::<String>("tag")
        .map(|tags| tags.cloned().collect());
    let headers = given
        .get_many::<String>("header")
        .into_iter()
        .flatten()
        .map(|header| header_of(header))
        .collect::<Result<_, _>>()?;
    let rules = match given.get_one::<PathBuf>("rules") {
        Some(file) => Some(load_rules(file)?.rules),
        None => None,
    };
    Ok(TestRequest {
        organisation: word_of(given, "organisation"),
        tags,
        service: given.get_one::<String>("service").cloned(),
        model: given.get_one::<String>("model").cloned(),
        method: word_of(given, "method"),
        path: word_of(given, "path"),
        headers,
        rules,
    })
}

fn header_of(given: &str) -> Result<(String, String), Failure> {
    given
        .split_once(':')
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .ok_or_else(|| Failure::Usage(format!("--header '{given}', expected 'NAME: VALUE'")))
}
