//! Checks of settings beyond their types: ranges, allowed values and conflicts between fields.

use std::net::SocketAddr;

use http::HeaderName;
use sardinepin_common::Map;
use serde::Serialize;
use serde_yaml_ng::Value;

use super::fields::{Constraint, FieldConstraint, REQUEST_MAX_BYTES};
use super::locate::{PathSegment, parse_path};
use super::settings::Settings;

/// The path of a field and the error message for it.
type FieldError = (String, String);

/// Returns the errors that the constraints of single fields do not cover.
pub(crate) fn consistency_errors(settings: &Settings) -> Vec<FieldError> {
    let mut errors = listener_errors(settings);
    errors.extend(address_errors(settings));
    errors.extend(key_errors(settings));
    errors.extend(request_errors(settings));
    errors
}

/// Checks the fields of `document` against the constraints in `table`.
pub(crate) fn constraint_errors<T: Serialize>(
    document: &T,
    table: &[FieldConstraint],
) -> Vec<FieldError> {
    let Ok(value) = serde_yaml_ng::to_value(document) else {
        return Vec::new();
    };
    let mut errors = Vec::new();
    for field in table {
        for (path, value) in matching_values(&value, field.path) {
            errors.extend(constraint_error(value, field.constraint).map(|message| (path, message)));
        }
    }
    errors
}

/// Returns the values that a path of the table matches, each with its own path.
///
/// `[]` in the pattern matches every item of a list.
fn matching_values<'a>(root: &'a Value, pattern: &str) -> Vec<(String, &'a Value)> {
    let mut matches = vec![(String::new(), root)];
    for (part, list_depth) in pattern.split("[]").zip(0_usize..) {
        matches = matches
            .into_iter()
            .flat_map(|(path, value)| expand_list(path, value, list_depth > 0))
            .filter_map(|(path, value)| {
                value_at(value, &parse_path(part)).map(|inner| (path + part, inner))
            })
            .collect();
    }
    matches
}

/// Returns the items of a list if `is_list` is set, or else the value itself.
fn expand_list(path: String, value: &Value, is_list: bool) -> Vec<(String, &Value)> {
    if !is_list {
        return vec![(path, value)];
    }
    value
        .as_sequence()
        .into_iter()
        .flatten()
        .enumerate()
        .map(|(index, item)| (format!("{path}[{index}]"), item))
        .collect()
}

fn value_at<'a>(root: &'a Value, path: &[PathSegment]) -> Option<&'a Value> {
    path.iter().try_fold(root, |value, segment| match segment {
        PathSegment::Key(key) => value.get(key.as_str()),
        PathSegment::Index(index) => value.get(*index),
    })
}

fn constraint_error(value: &Value, constraint: Constraint) -> Option<String> {
    let satisfied = match constraint {
        Constraint::Number { min, max, .. } => value
            .as_u64()
            .is_none_or(|number| (min..=max).contains(&number)),
        Constraint::Text { min } => value.as_str().is_none_or(|text| text.len() as u64 >= min),
        Constraint::OneOf(values) => value.as_str().is_none_or(|text| values.contains(&text)),
        Constraint::Format(_) => true,
    };
    // Text constraints also cover secrets, which must not appear in a message.
    let shown = match (constraint, value) {
        (Constraint::Text { .. }, _) => "the text is too short".to_owned(),
        (_, Value::Number(number)) => number.to_string(),
        (_, Value::String(text)) => format!("'{text}'"),
        _ => "the value".to_owned(),
    };
    (!satisfied).then(|| format!("{shown}, expected {}", constraint.description()))
}

/// Checks that no two listeners of a process share an address, and that an agent is not its own
/// upstream.
///
/// A process is an entry or an agent, so `entry.listen` and `agent.listen` may be equal.
fn listener_errors(settings: &Settings) -> Vec<FieldError> {
    let admin = ("admin_listen", settings.admin_listen);
    let entry = ("entry.listen", settings.entry.listen);
    let agent = ("agent.listen", settings.agent.listen);
    let cluster = ("cluster.listen", settings.cluster.listen);
    let upstream = ("agent.upstream", settings.agent.upstream);
    [
        (admin, entry),
        (admin, agent),
        (admin, cluster),
        (entry, cluster),
        (agent, cluster),
        (agent, upstream),
    ]
    .into_iter()
    .filter(|((_, one), (_, other))| addresses_conflict(*one, *other))
    .map(|((first, _), (second, address))| {
        (
            second.to_owned(),
            format!("{address} is taken by {first}, expected an address of its own"),
        )
    })
    .collect()
}

/// Returns whether two addresses overlap, so that they cannot both be bound.
///
/// Port 0 never conflicts, because the system assigns a free port to each listener.
fn addresses_conflict(one: SocketAddr, other: SocketAddr) -> bool {
    let overlap =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && overlap
}

/// Checks that the addresses to connect to have a port and are not unspecified.
fn address_errors(settings: &Settings) -> Vec<FieldError> {
    let mut targets = vec![("agent.upstream".to_owned(), settings.agent.upstream)];
    let platform = settings.platform.address;
    targets.extend(platform.map(|address| ("platform.address".to_owned(), address)));
    let seeds = settings.cluster.seeds.iter().enumerate();
    targets.extend(seeds.map(|(index, seed)| (format!("cluster.seeds[{index}]"), *seed)));
    targets
        .into_iter()
        .filter(|(_, address)| address.port() == 0 || address.ip().is_unspecified())
        .map(|(field, address)| {
            let message = format!(
                "{address} cannot be connected to, expected an IP number and port 1 to 65535"
            );
            (field, message)
        })
        .collect()
}

/// Checks that the numbers of the cluster keys are unique.
fn key_errors(settings: &Settings) -> Vec<FieldError> {
    let mut index_by_number: Map<u8, usize> = Map::default();
    let mut errors = Vec::new();
    for (index, key) in settings.cluster.keys.iter().enumerate() {
        match index_by_number.get(&key.number) {
            Some(first) => errors.push((
                format!("cluster.keys[{index}].number"),
                format!(
                    "{} is the number of cluster.keys[{first}] too, expected a number of its own",
                    key.number
                ),
            )),
            None => {
                index_by_number.insert(key.number, index);
            }
        }
    }
    errors
}

/// Checks that the largest request fits into a frame and that the organisation header has a valid
/// name.
fn request_errors(settings: &Settings) -> Vec<FieldError> {
    let entry = &settings.entry;
    let mut errors = Vec::new();
    let total = entry.body_max.saturating_add(entry.headers_max);
    let largest_part = entry.body_max.max(entry.headers_max);
    if largest_part <= REQUEST_MAX_BYTES && total > REQUEST_MAX_BYTES {
        errors.push((
            "entry.body_max".to_owned(),
            format!(
                "{} and headers_max {} are {total} bytes together, expected at most {REQUEST_MAX_BYTES}",
                entry.body_max, entry.headers_max
            ),
        ));
    }
    if HeaderName::from_bytes(entry.organisation_header.as_bytes()).is_err() {
        errors.push((
            "entry.organisation_header".to_owned(),
            format!(
                "'{}', expected the name of a header field",
                entry.organisation_header
            ),
        ));
    }
    errors
}
