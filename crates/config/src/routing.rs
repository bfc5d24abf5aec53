//! Routing of requests to services.

use std::sync::Arc;

use crate::kinds::Service;
use crate::snapshot::Snapshot;

/// Returns the service with the longest matching path prefix.
///
/// A service that lists models matches only requests that name one of them; `model` is empty if the
/// request names none. If prefixes are equally long, the service whose name sorts first wins.
#[must_use]
pub fn find_service<'a>(
    snapshot: &'a Snapshot,
    path: &str,
    model: &str,
) -> Option<&'a Arc<Service>> {
    snapshot
        .services()
        .filter(|service| matches_model(service, model))
        .filter_map(|service| Some((longest_prefix_len(&service.paths, path)?, service)))
        .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.name.cmp(&a.1.name)))
        .map(|(_, service)| service)
}

/// Returns the length in bytes of the longest of `prefixes` that `path` starts with, if any.
#[must_use]
pub fn longest_prefix_len(prefixes: &[String], path: &str) -> Option<usize> {
    prefixes
        .iter()
        .filter(|prefix| path.starts_with(prefix.as_str()))
        .map(String::len)
        .max()
}

fn matches_model(service: &Service, model: &str) -> bool {
    service.models.is_empty() || service.models.iter().any(|name| name == model)
}
