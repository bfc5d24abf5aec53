//! The settings of a process, as its YAML file defines them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// The settings of one process; a field that the file omits has its default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The name of this instance, unique within the deployment.
    pub name: String,
    /// The availability zone of this instance.
    pub zone: String,
    /// The address on which the administration API, `/livez`, `/readyz` and `/metrics` are served.
    pub admin_listen: SocketAddr,
    /// The file of bearer tokens for the administration API, with one `ROLE TOKEN NAME` per line;
    /// the name is optional. Without a file, every call that needs a token is refused.
    pub tokens_file: Option<PathBuf>,
    /// Settings of the role `entry`.
    pub entry: EntrySettings,
    /// Settings of the role `agent`.
    pub agent: AgentSettings,
    /// Settings of the client of the platform's object API.
    pub platform: PlatformSettings,
    /// Settings for the communication with other nodes.
    pub cluster: ClusterSettings,
    /// Settings of the log.
    pub log: LogSettings,
    /// Settings of the graceful shutdown.
    pub stop: StopSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "instance-1".to_owned(),
            zone: "zone-a".to_owned(),
            admin_listen: loopback(8_081),
            tokens_file: None,
            entry: EntrySettings::default(),
            agent: AgentSettings::default(),
            platform: PlatformSettings::default(),
            cluster: ClusterSettings::default(),
            log: LogSettings::default(),
            stop: StopSettings::default(),
        }
    }
}

/// Settings of the role `entry`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// The address on which requests from callers are accepted.
    pub listen: SocketAddr,
    /// The header field that names the organisation.
    pub organisation_header: String,
    /// The IP addresses of the peers that are trusted to set the organisation header.
    pub trusted_peers: Vec<IpAddr>,
    /// The largest request body, in bytes.
    pub body_max: usize,
    /// The largest request header section, in bytes.
    pub headers_max: usize,
    /// The most requests that may be open at once.
    pub open_max: usize,
    /// The most attempts for one request, the first one included.
    pub attempts_max: u32,
    /// How long an agent has to reconnect and settle an attempt after its link was lost, in
    /// milliseconds.
    pub settle_ms: u64,
    /// The policy for admission and routing: `sardinepin`, `round_robin` or `least_in_flight`.
    pub policy: String,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: loopback(8_080),
            organisation_header: "x-organisation".to_owned(),
            trusted_peers: vec![IpAddr::V4(Ipv4Addr::LOCALHOST)],
            body_max: 1024 * 1024,
            headers_max: 32 * 1024,
            open_max: 20_000,
            attempts_max: 3,
            settle_ms: 2_000,
            policy: "sardinepin".to_owned(),
        }
    }
}

/// Settings of the role `agent`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentSettings {
    /// The address on which entries and other agents connect.
    pub listen: SocketAddr,
    /// The address of the upstream.
    pub upstream: SocketAddr,
    /// The most attempts that run at the upstream at once.
    pub slots: usize,
    /// The most attempts that wait at the agent for a slot.
    pub queue_max: usize,
    /// The most chunks of a response that may be unacknowledged.
    pub window: u64,
    /// How long a complete response is kept for a repeated request or after a lost link, in
    /// milliseconds.
    pub keep_ms: u64,
    /// The largest response to a keyed request that is stored in the platform, in bytes.
    pub answer_max: usize,
    /// How long a claim is stored in the platform, in milliseconds; a request that is repeated
    /// later runs again.
    pub claim_keep_ms: u64,
    /// The interval between load reports on an idle link, in milliseconds.
    pub report_ms: u64,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            listen: loopback(7_000),
            upstream: loopback(9_000),
            slots: 32,
            queue_max: 32,
            window: 64,
            keep_ms: 60_000,
            answer_max: 64 * 1024,
            claim_keep_ms: 24 * 60 * 60 * 1_000,
            report_ms: 100,
        }
    }
}

/// Settings of the client of the platform's object API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// The address of the object API; without one, keys cannot be claimed and objects cannot be
    /// changed.
    pub address: Option<SocketAddr>,
    /// The timeout of a call, in milliseconds.
    pub timeout_ms: u64,
    /// How long a watch waits for a change, in milliseconds.
    pub watch_ms: u64,
    /// The interval between reads of the instance list, in milliseconds.
    pub instances_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: None,
            timeout_ms: 1_000,
            watch_ms: 10_000,
            instances_ms: 2_000,
        }
    }
}

/// Settings for the communication with other nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClusterSettings {
    /// The address for datagrams (UDP) and fetches (TCP) from other nodes.
    pub listen: SocketAddr,
    /// The nodes that are contacted first to discover the others.
    pub seeds: Vec<SocketAddr>,
    /// The keys that authenticate datagrams: the first signs, and all of them verify.
    pub keys: Vec<KeySetting>,
    /// The interval between gossip rounds, in milliseconds.
    pub round_ms: u64,
    /// The number of peers that are contacted in each round.
    pub peers: usize,
    /// How the peers of a round are chosen: `long_links` or `uniform`.
    pub peer_choice: String,
    /// The share of the peers of a round that are in other zones, in thousandths.
    pub across_milli: u32,
    /// Faults to inject at the sockets, for tests and trials only.
    pub faults: FaultInjectionSettings,
}

/// Faults injected at the sockets between nodes, for tests and trials only.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultInjectionSettings {
    /// The share of outgoing datagrams that are dropped, in thousandths.
    pub loss_milli: u32,
    /// The file of blocked links, with one `FROM TO` per line; both are addresses of nodes, as IP
    /// address and port. It is read again in each round.
    pub cut_file: Option<PathBuf>,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            listen: loopback(7_100),
            seeds: Vec::new(),
            keys: Vec::new(),
            round_ms: 500,
            peers: 3,
            peer_choice: "long_links".to_owned(),
            across_milli: 200,
            faults: FaultInjectionSettings::default(),
        }
    }
}

/// A key that authenticates datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySetting {
    /// The identifier of the key, which each datagram carries.
    pub number: u8,
    /// The secret, of at least 16 bytes.
    pub secret: String,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The most verbose level that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The rate limit, in bytes a second; lines beyond it are dropped and counted.
    pub bytes_max: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            bytes_max: 256 * 1024,
        }
    }
}

/// Settings of the graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long the process accepts new work after it reports not ready, in milliseconds.
    pub grace_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 1_000 }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
