//! The configuration of a deployment, as written in a deployment file.

use std::path::Path;

use anyhow::{Context, Result};
use sardinepin_config::{Group, Organisation, Rule, Service, ServiceKind, Upstream};
use serde::{Deserialize, Serialize};

/// Services, upstreams, organisations, rank groups and rules.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// The services.
    pub services: Vec<Service>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// The rank groups.
    pub groups: Vec<Group>,
    /// The rules, in the order in which they are evaluated.
    pub rules: Vec<Rule>,
}

impl Deployment {
    /// Reads a deployment file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or parsed.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        serde_yaml_ng::from_str(&text).with_context(|| path.display().to_string())
    }

    /// Adds a service with `count` upstreams, which are named after it and placed in `zones` in
    /// turn.
    #[must_use]
    pub fn with_service(mut self, service: Service, count: usize, zones: &[&str]) -> Self {
        let zones = zones.iter().cycle().take(count).enumerate();
        self.upstreams.extend(zones.map(|(index, zone)| Upstream {
            name: format!("{}-{}", service.name, index + 1),
            service: service.name.clone(),
            zone: (*zone).to_owned(),
            ..Upstream::default()
        }));
        self.services.push(service);
        self
    }

    /// Keeps at most `count` upstreams per service and availability zone; 0 keeps all.
    #[must_use]
    pub fn limit_upstreams(mut self, count: usize) -> Self {
        if count == 0 {
            return self;
        }
        let mut kept: Vec<Upstream> = Vec::new();
        for upstream in self.upstreams {
            let is_same_pool = |other: &&Upstream| {
                other.service == upstream.service && other.zone == upstream.zone
            };
            if kept.iter().filter(is_same_pool).count() < count {
                kept.push(upstream);
            }
        }
        for group in &mut self.groups {
            group
                .ranks
                .retain(|rank| kept.iter().any(|other| other.name == *rank));
        }
        self.groups.retain(|group| !group.ranks.is_empty());
        self.upstreams = kept;
        self
    }

    /// Returns the distinct availability zones of the upstreams.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        for upstream in &self.upstreams {
            if !zones.contains(&upstream.zone) {
                zones.push(upstream.zone.clone());
            }
        }
        zones
    }

    /// Puts all upstreams of a service into one rank group.
    #[must_use]
    pub fn with_group(mut self, name: &str, service: &str) -> Self {
        let mut group = Group {
            name: name.to_owned(),
            service: service.to_owned(),
            ..Group::default()
        };
        for upstream in &mut self.upstreams {
            if upstream.service == service {
                upstream.group = Some(name.to_owned());
                group.ranks.push(upstream.name.clone());
            }
        }
        self.groups.push(group);
        self
    }

    /// Returns the index of the group that an upstream is a rank of.
    pub(super) fn group_of(&self, upstream: usize) -> Option<usize> {
        let name = &self.upstreams[upstream].name;
        self.groups
            .iter()
            .position(|group| group.ranks.contains(name))
    }

    /// Returns the indices of the upstreams of a group in the order of their ranks.
    pub(super) fn ranks_of(&self, group: usize) -> Result<Vec<usize>> {
        let index_of = |name: &String| {
            let index = self.upstreams.iter().position(|other| other.name == *name);
            index.with_context(|| format!("the deployment has no upstream {name}"))
        };
        self.groups[group].ranks.iter().map(index_of).collect()
    }

    /// Returns the kind of the service of an upstream.
    pub(super) fn kind_of(&self, upstream: usize) -> Result<ServiceKind> {
        let name = &self.upstreams[upstream].service;
        let service = self.services.iter().find(|service| service.name == *name);
        Ok(service
            .with_context(|| format!("the deployment has no service {name}"))?
            .kind)
    }
}
