//! Which service takes a call.

use std::sync::Arc;

use crate::kinds::Service;
use crate::snapshot::Snapshot;

/// Returns the service with the longest matching path prefix.
///
/// A service that lists models takes only calls that name one of them; `model` is empty for a call
/// that names none. Of two services with equal prefixes the one whose name comes first is taken.
#[must_use]
pub fn find_service<'a>(
    snapshot: &'a Snapshot,
    path: &str,
    model: &str,
) -> Option<&'a Arc<Service>> {
    snapshot
        .services()
        .filter(|service| takes_model(service, model))
        .filter_map(|service| Some((longest_prefix_len(&service.paths, path)?, service)))
        .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.name.cmp(&a.1.name)))
        .map(|(_, service)| service)
}

/// Returns the length of the longest of `prefixes` that `path` begins with.
#[must_use]
pub fn longest_prefix_len(prefixes: &[String], path: &str) -> Option<usize> {
    prefixes
        .iter()
        .filter(|prefix| path.starts_with(prefix.as_str()))
        .map(String::len)
        .max()
}

fn takes_model(service: &Service, model: &str) -> bool {
    service.models.is_empty() || service.models.iter().any(|name| name == model)
}
