//! The control plane's settings, a subset of the process's settings.

use sardinepin_common::Millis;
use sardinepin_membership::{MemberSettings, PeerChoice};
use sardinepin_protocol::{Keyring, Role};

use crate::options::{ClusterSettings, PlatformSettings, Settings};

/// The settings of a [`Control`](super::Control).
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The name of this node, unique in the cluster.
    pub name: String,
    /// The availability zone of this node.
    pub zone: String,
    /// The role of this process.
    pub role: Role,
    /// How the node exchanges datagrams with the other nodes.
    pub cluster: ClusterSettings,
    /// How the node reads and watches the platform.
    pub platform: PlatformSettings,
}

impl ControlSettings {
    /// Takes the relevant settings of a process that runs in `role`.
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

    pub(super) fn member_settings(&self) -> MemberSettings {
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
