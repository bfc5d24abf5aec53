//! Looks up routes by host and path, and organisations by API key.

use std::sync::Arc;

use sardinepin_common::Map;
use sardinepin_decisions::direct::AllowedRegions;

use crate::manifest::{CallerLimits, Manifest, Route, ServiceSpec};

/// A caller's organisation.
#[derive(Debug)]
pub struct Organisation {
    /// The name that upstreams see.
    pub name: Arc<str>,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// The regions whose upstreams may take its requests.
    pub regions: AllowedRegions,
}

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: Map<String, Map<String, Arc<Route>>>,
    keys: Map<String, Arc<Organisation>>,
    services: Vec<ServiceSpec>,
    limits: CallerLimits,
    requires_key: bool,
}

impl RouteTable {
    /// Indexes a configuration for look-ups.
    #[must_use]
    pub fn new(manifest: Manifest) -> Self {
        let mut table = Self {
            version: manifest.version,
            services: manifest.services,
            limits: manifest.limits,
            requires_key: !manifest.organisations.is_empty(),
            ..Self::default()
        };
        for route in manifest.routes {
            let host = route.host.to_ascii_lowercase();
            let prefixes = table.hosts.entry(host).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        for spec in manifest.organisations {
            let organisation = Arc::new(Organisation {
                name: spec.name,
                priority: spec.priority,
                regions: spec.regions,
            });
            for key in spec.keys {
                table.keys.insert(key, Arc::clone(&organisation));
            }
        }
        table
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the size and time limits for callers.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the services that routes lead to.
    #[must_use]
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Returns the names of all services that the configuration has, some of them more than once.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &Arc<str>> {
        let routes = self.hosts.values().flat_map(Map::values);
        let targets = routes.flat_map(|route| route.targets.iter().map(|target| &target.service));
        let services = self.services.iter().map(|spec| &spec.name);
        services.chain(targets)
    }

    /// Returns the path at which the upstreams of a service tell whether they are healthy.
    #[must_use]
    pub fn health_path(&self, service: &str) -> Option<Arc<str>> {
        let spec = self.services.iter().find(|spec| *spec.name == *service)?;
        spec.health_path.clone()
    }

    /// Returns whether routes that are not public require an API key.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns the route of `host` with the longest prefix of `path`; a port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_name = host
            .rsplit_once(':')
            .map_or(host, |(host_name, _)| host_name);
        let prefixes = match self.hosts.get(host_name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host_name.to_ascii_lowercase())?,
        };
        let mut remaining = path;
        while let Some(slash) = remaining.rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            remaining = &path[..slash];
        }
        None
    }

    /// Returns the organisation that holds the API key `key`.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }
}
