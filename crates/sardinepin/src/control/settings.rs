//! The settings of configuration and membership, gathered from those of the process.

use sardinepin_common::Millis;
use sardinepin_membership::{MemberSettings, PeerChoice};
use sardinepin_protocol::{Keyring, Role};

use crate::options::{ClusterSettings, PlatformSettings, Settings};

/// What configuration and membership need to know.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The name of this node.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its role.
    pub role: Role,
    /// The other nodes.
    pub cluster: ClusterSettings,
    /// The platform.
    pub platform: PlatformSettings,
}

impl ControlSettings {
    /// Gathers them from the settings of a process of that role.
    #[must_use]
    pub fn new(settings: &Settings, role: Role) -> Self {
        Self {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            role,
            cluster: settings.cluster.clone(),
            platform: settings.platform.clone(),
        }
    }

    pub(super) fn keyring(&self) -> Keyring {
        let keys: Vec<(u8, &str)> = self
            .cluster
            .keys
            .iter()
            .map(|key| (key.number, key.secret.as_str()))
            .collect();
        Keyring::new(&keys)
    }

    pub(super) fn members(&self) -> MemberSettings {
        let choice = match self.cluster.peer_choice.as_str() {
            "uniform" => PeerChoice::Uniform,
            _ => PeerChoice::LongLinks,
        };
        let defaults = MemberSettings::default();
        let round = Millis(self.cluster.round_ms);
        MemberSettings {
            round_interval: round,
            fanout: self.cluster.peers,
            peer_choice: choice,
            cross_zone_milli: self.cluster.across_milli,
            ping_timeout: Millis(round.0 * 2),
            ..defaults
        }
    }
}
