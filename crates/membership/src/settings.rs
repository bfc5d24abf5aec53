//! Settings of gossip and failure detection.

use sardinepin_common::Millis;

use crate::peer_selection::PeerChoice;

/// How a node gossips with other nodes and detects failed ones.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// The time between two rounds.
    pub round_interval: Millis,
    /// The number of peers that a node pings in each round.
    pub fanout: usize,
    /// How the peers of a round are selected.
    pub peer_choice: PeerChoice,
    /// The share of a round's peers that are in other zones, in thousandths.
    pub cross_zone_milli: u32,
    /// How long a ping may stay unanswered before the node is also probed through relays.
    pub ping_timeout: Millis,
    /// The number of relays that are asked to ping a node that did not answer.
    pub relays: usize,
    /// The number of relayed probes that must fail before a node is suspected.
    pub relay_attempts: u8,
    /// The rounds after which a suspected node is declared gone, times log2 of the number of nodes.
    pub suspicion_mult: u32,
    /// The number of messages that carry an update, times log2 of the number of nodes.
    pub retransmit_mult: u32,
    /// The maximum number of queued updates in one message; one about the receiver may be added.
    pub updates_max: usize,
    /// The number of rounds between two pings to an address from which nothing is received.
    pub reconnect_rounds: u64,
    /// How long a node that is gone stays in the table.
    pub gone_retention: Millis,
    /// The number of rounds for which tables may differ before a full table is fetched.
    pub sync_rounds: u64,
    /// The number of nodes in each zone that watch the platform.
    pub watchers: usize,
    /// The maximum number of other nodes in the table.
    pub members_max: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            round_interval: Millis(500),
            fanout: 3,
            peer_choice: PeerChoice::default(),
            cross_zone_milli: 200,
            ping_timeout: Millis(1_000),
            relays: 3,
            relay_attempts: 2,
            suspicion_mult: 4,
            retransmit_mult: 3,
            updates_max: 8,
            reconnect_rounds: 4,
            gone_retention: Millis(3_600_000),
            sync_rounds: 10,
            watchers: 2,
            members_max: 10_000,
        }
    }
}
