//! The settings of a process, as its YAML file gives them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// All settings of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The name of this instance, unique within the deployment.
    pub name: String,
    /// The availability zone of this instance.
    pub zone: String,
    /// The administration API, with `/livez`, `/readyz` and `/metrics`.
    pub admin_listen: SocketAddr,
    /// A file of bearer tokens for the administration API, one `ROLE TOKEN` a line.
    pub tokens_file: Option<PathBuf>,
    /// Settings of the role `entry`.
    pub entry: EntrySettings,
    /// Settings of the role `agent`.
    pub agent: AgentSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// The other nodes.
    pub cluster: ClusterSettings,
    /// The log.
    pub log: LogSettings,
    /// The graceful stop.
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
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The header field that names the organisation.
    pub organisation_header: String,
    /// The peers that are trusted to set it.
    pub trusted_peers: Vec<IpAddr>,
    /// The largest request body, in bytes.
    pub body_max: usize,
    /// The largest request head, in bytes.
    pub headers_max: usize,
    /// The most requests that may be open at once.
    pub open_max: usize,
    /// The most attempts for one request.
    pub attempts_max: u32,
    /// How long an agent has to settle an attempt after its link was lost, in milliseconds.
    pub settle_ms: u64,
    /// How requests are admitted and routed: `sardinepin`, `round_robin` or `least_in_flight`.
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
    /// Where entries and other agents connect.
    pub listen: SocketAddr,
    /// The upstream's own address.
    pub upstream: SocketAddr,
    /// How many attempts run at the upstream at once.
    pub slots: usize,
    /// How many more attempts wait at the agent.
    pub queue_max: usize,
    /// How many chunks of an answer may be under way unacknowledged.
    pub window: u64,
    /// How long a finished answer is kept for a repeat or a lost link, in milliseconds.
    pub keep_ms: u64,
    /// The largest answer to a keyed call that is kept in the platform, in bytes.
    pub answer_max: usize,
    /// How long a claim is kept in the platform, in milliseconds; a repeat after it runs anew.
    pub claim_keep_ms: u64,
    /// The time between two load reports on an idle link, in milliseconds.
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

/// Settings of the platform's client.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// The address of the object API; without one, nothing can be claimed or changed.
    pub address: Option<SocketAddr>,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// How long a watch waits, in milliseconds.
    pub watch_ms: u64,
    /// How long the instance list is used before it is read again, in milliseconds.
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

/// Settings for talking to the other nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClusterSettings {
    /// Where datagrams and fetches from other nodes arrive, UDP and TCP.
    pub listen: SocketAddr,
    /// Nodes to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate datagrams; the first seals, all open.
    pub keys: Vec<KeySetting>,
    /// The time between two rounds of digests, in milliseconds.
    pub round_ms: u64,
    /// How many peers a round speaks to.
    pub peers: usize,
    /// How they are chosen: `long_links` or `uniform`.
    pub peer_choice: String,
    /// The share of them that is chosen in other zones, in thousandths.
    pub across_milli: u32,
    /// Faults to be shown at the sockets, for tests and trials only.
    pub faults: FaultInjectionSettings,
}

/// Faults at the sockets between nodes, for tests and trials only.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultInjectionSettings {
    /// The share of datagrams that is lost on sending, in thousandths.
    pub loss_milli: u32,
    /// A file of links that are cut, one `FROM TO` a line, both addresses of nodes as IP number
    /// and port; it is read again in each round.
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

/// One key that authenticates datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySetting {
    /// The number that datagrams name.
    pub number: u8,
    /// The secret.
    pub secret: String,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The most that is written in a second, in bytes; the lines beyond it are counted.
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

/// Settings of the graceful stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long the process goes on taking work after it says that it is not ready, in milliseconds.
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
