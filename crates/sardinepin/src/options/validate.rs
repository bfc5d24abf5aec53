//! Checks of settings that their types do not make: ranges, words and contradictions.

use std::net::SocketAddr;

use http::HeaderName;
use sardinepin_common::Map;
use serde::Serialize;
use serde_yaml_ng::Value;

use super::fields::{Allowed, FieldRule, REQUEST_MAX};
use super::locate::{Step, steps_of};
use super::settings::Settings;

/// A field's path, and what is wrong with it and what is allowed.
type Found = (String, String);

/// Returns every fault that concerns more than the range of one field.
pub(crate) fn contradictions(settings: &Settings) -> Vec<Found> {
    let mut found = listener_faults(settings);
    found.extend(address_faults(settings));
    found.extend(key_faults(settings));
    found.extend(request_faults(settings));
    found
}

/// Checks every field of `document` by its row of the table.
pub(crate) fn table_faults<T: Serialize>(document: &T, table: &[FieldRule]) -> Vec<Found> {
    let Ok(value) = serde_yaml_ng::to_value(document) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for rule in table {
        for (path, value) in values_at(&value, rule.path) {
            found.extend(wrong_with(value, rule.allowed).map(|message| (path, message)));
        }
    }
    found
}

/// Returns the values at a path of the table; `[]` stands for every item of a list.
fn values_at<'a>(root: &'a Value, pattern: &str) -> Vec<(String, &'a Value)> {
    let mut found = vec![(String::new(), root)];
    for (part, list) in pattern.split("[]").zip(0_usize..) {
        found = found
            .into_iter()
            .flat_map(|(path, value)| items_of(path, value, list > 0))
            .filter_map(|(path, value)| {
                at_steps(value, &steps_of(part)).map(|inner| (path + part, inner))
            })
            .collect();
    }
    found
}

/// Returns the items of a list, or the value itself if no list is meant.
fn items_of(path: String, value: &Value, list: bool) -> Vec<(String, &Value)> {
    if !list {
        return vec![(path, value)];
    }
    value
        .as_sequence()
        .into_iter()
        .flatten()
        .enumerate()
        .map(|(at, item)| (format!("{path}[{at}]"), item))
        .collect()
}

fn at_steps<'a>(root: &'a Value, steps: &[Step]) -> Option<&'a Value> {
    steps.iter().try_fold(root, |value, step| match step {
        Step::Key(key) => value.get(key.as_str()),
        Step::Item(at) => value.get(*at),
    })
}

fn wrong_with(value: &Value, allowed: Allowed) -> Option<String> {
    let holds = match allowed {
        Allowed::Number { min, max, .. } => value
            .as_u64()
            .is_none_or(|number| (min..=max).contains(&number)),
        Allowed::Text { min } => value.as_str().is_none_or(|text| text.len() as u64 >= min),
        Allowed::OneOf(words) => value.as_str().is_none_or(|text| words.contains(&text)),
        Allowed::Shape(_) => true,
    };
    // A secret is never repeated in a message.
    let shown = match (allowed, value) {
        (Allowed::Text { .. }, _) => "the text is too short".to_owned(),
        (_, Value::Number(number)) => number.to_string(),
        (_, Value::String(text)) => format!("'{text}'"),
        _ => "the value".to_owned(),
    };
    (!holds).then(|| format!("{shown}, expected {}", allowed.words()))
}

/// Listeners of one process may not share an address; a process is an entry or an agent.
fn listener_faults(settings: &Settings) -> Vec<Found> {
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
    .filter(|((_, one), (_, other))| clash(*one, *other))
    .map(|((first, _), (second, address))| {
        (
            second.to_owned(),
            format!("{address} is taken by {first}, expected an address of its own"),
        )
    })
    .collect()
}

/// Says whether two listeners cannot stand side by side; port 0 is a new port each time.
fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let overlap =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && overlap
}

/// Addresses to connect to need a port.
fn address_faults(settings: &Settings) -> Vec<Found> {
    let mut targets = vec![("agent.upstream".to_owned(), settings.agent.upstream)];
    let platform = settings.platform.address;
    targets.extend(platform.map(|address| ("platform.address".to_owned(), address)));
    let seeds = settings.cluster.seeds.iter().enumerate();
    targets.extend(seeds.map(|(at, seed)| (format!("cluster.seeds[{at}]"), *seed)));
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

/// Keys are told apart by their numbers.
fn key_faults(settings: &Settings) -> Vec<Found> {
    let mut first: Map<u8, usize> = Map::default();
    let mut found = Vec::new();
    for (at, key) in settings.cluster.keys.iter().enumerate() {
        match first.get(&key.number) {
            Some(taken) => found.push((
                format!("cluster.keys[{at}].number"),
                format!(
                    "{} is the number of cluster.keys[{taken}] too, expected a number of its own",
                    key.number
                ),
            )),
            None => {
                first.insert(key.number, at);
            }
        }
    }
    found
}

/// A request must fit into one frame, and its organisation must be named by a header field.
fn request_faults(settings: &Settings) -> Vec<Found> {
    let entry = &settings.entry;
    let mut found = Vec::new();
    let whole = entry.body_max.saturating_add(entry.headers_max);
    let alone = entry.body_max.max(entry.headers_max);
    if alone <= REQUEST_MAX && whole > REQUEST_MAX {
        found.push((
            "entry.body_max".to_owned(),
            format!(
                "{} and headers_max {} are {whole} bytes together, expected at most {REQUEST_MAX}",
                entry.body_max, entry.headers_max
            ),
        ));
    }
    if HeaderName::from_bytes(entry.organisation_header.as_bytes()).is_err() {
        found.push((
            "entry.organisation_header".to_owned(),
            format!(
                "'{}', expected the name of a header field",
                entry.organisation_header
            ),
        ));
    }
    found
}
