//! Settings of a gateway.

use std::net::SocketAddr;

use sardinepin_common::Millis;

use crate::balancer::BalancerSettings;
use crate::header_names::HeaderNames;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the instance, for logs.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked for, with the path.
    pub readiness: (SocketAddr, String),
    /// The names of header fields.
    pub names: HeaderNames,
    /// How requests are placed.
    pub balancer: BalancerSettings,
    /// How the store is followed.
    pub sync: SyncSettings,
    /// How the gateway stops.
    pub stop: StopSettings,
}

/// How a gateway follows its configuration and its upstreams.
#[derive(Debug, Clone, Copy)]
pub struct SyncSettings {
    /// The longest that one watch of the configuration waits.
    pub manifest_wait: Millis,
    /// The pause after a change of the configuration, in which further changes gather.
    pub manifest_pause: Millis,
    /// The pause between two watches of the list of upstreams, in which changes gather.
    pub upstreams_pause: Millis,
    /// The longest that one watch of the list of upstreams waits.
    pub upstreams_wait: Millis,
    /// The first pause after a failed call.
    pub retry_min: Millis,
    /// The longest pause after failed calls.
    pub retry_max: Millis,
    /// How long after the store's return an upstream that it does not list is still believed in.
    pub recovery_grace: Millis,
}

impl Default for SyncSettings {
    fn default() -> Self {
        Self {
            manifest_wait: Millis(1_500),
            manifest_pause: Millis(200),
            upstreams_pause: Millis(500),
            upstreams_wait: Millis(1_500),
            retry_min: Millis(50),
            retry_max: Millis(800),
            recovery_grace: Millis(2_200),
        }
    }
}

/// How a gateway stops.
#[derive(Debug, Clone, Copy)]
pub struct StopSettings {
    /// How long callers may still come after the order to stop.
    pub drain_delay: Millis,
    /// When the process ends at the latest, after the order to stop.
    pub shutdown_timeout: Millis,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            drain_delay: Millis(2_600),
            shutdown_timeout: Millis(7_700),
        }
    }
}
