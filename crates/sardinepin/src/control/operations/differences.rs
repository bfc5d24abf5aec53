//! The differences between two configuration objects.

use std::collections::BTreeMap;

use serde_json::Value;

/// Returns the fields in which two JSON documents differ; rules are compared one by one, by name.
pub(super) fn differences(current: Option<&str>, wanted: Option<&str>) -> Vec<String> {
    let parts = |text: Option<&str>| {
        text.and_then(|text| serde_json::from_str::<Value>(text).ok())
            .map(parts_of)
            .unwrap_or_default()
    };
    let (current, wanted) = (parts(current), parts(wanted));
    let mut found: Vec<String> = current
        .iter()
        .filter(|(name, part)| wanted.get(*name) != Some(*part))
        .map(|(name, _)| name.clone())
        .collect();
    let new = wanted
        .keys()
        .filter(|name| !current.contains_key(*name))
        .cloned();
    found.extend(new);
    found.sort();
    found
}

/// Splits a document into the parts to compare; a rule carries its position, since order matters.
fn parts_of(document: Value) -> BTreeMap<String, (usize, Value)> {
    let Value::Object(fields) = document else {
        return BTreeMap::from([("value".to_owned(), (0, document))]);
    };
    let mut parts = BTreeMap::new();
    for (field, value) in fields {
        match (field.as_str(), value) {
            ("rules", Value::Array(rules)) => {
                for (at, rule) in rules.into_iter().enumerate() {
                    let name = rule
                        .get("name")
                        .and_then(Value::as_str)
                        .unwrap_or_default()
                        .to_owned();
                    parts.insert(format!("rule {name}"), (at, rule));
                }
            }
            (_, value) => {
                parts.insert(field, (0, value));
            }
        }
    }
    parts
}
