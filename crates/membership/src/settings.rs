//! Settings of the rounds between nodes.

use sardinepin_common::Millis;

use crate::choice::PeerChoice;

/// How a node keeps up with the others.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// The time between two rounds.
    pub round_interval: Millis,
    /// How many peers a round speaks to.
    pub fanout: usize,
    /// How the peers of a round are chosen.
    pub peer_choice: PeerChoice,
    /// The share of peers that are chosen in other zones, in thousandths.
    pub cross_zone_milli: u32,
    /// How long a node has to answer before it is asked through others.
    pub ping_timeout: Millis,
    /// How many others are asked to reach a node that did not answer.
    pub relays: usize,
    /// How many times they are asked before the node is suspected.
    pub relay_attempts: u8,
    /// How many rounds a suspected node has, times the logarithm of the number of nodes.
    pub suspicion_mult: u32,
    /// How many times a piece of news is sent on, times the logarithm of the number of nodes.
    pub retransmit_mult: u32,
    /// The most pieces of news in one message.
    pub updates_max: usize,
    /// A strange address is tried once in so many rounds.
    pub reconnect_rounds: u64,
    /// How long a node that is gone is remembered.
    pub gone_retention: Millis,
    /// How many rounds a difference in the tables lasts before a whole table is fetched.
    pub sync_rounds: u64,
    /// How many nodes of each zone watch the platform.
    pub watchers: usize,
    /// The most nodes that are remembered.
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
