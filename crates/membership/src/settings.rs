//! Settings of the rounds between nodes.

use sardinepin_common::Millis;

use crate::choice::PeerChoice;

/// How a node keeps up with the others.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// The time between two rounds.
    pub round: Millis,
    /// How many peers a round speaks to.
    pub peers: usize,
    /// How the peers of a round are chosen.
    pub choice: PeerChoice,
    /// The share of peers that are chosen in other zones, in thousandths.
    pub across_milli: u32,
    /// How long a node has to answer before it is asked through others.
    pub answer: Millis,
    /// How many others are asked to reach a node that did not answer.
    pub relays: usize,
    /// How many times they are asked before the node is suspected.
    pub tries: u8,
    /// How many rounds a suspected node has, times the logarithm of the number of nodes.
    pub suspicion: u32,
    /// How many times a piece of news is sent on, times the logarithm of the number of nodes.
    pub repeats: u32,
    /// The most pieces of news in one message.
    pub news_max: usize,
    /// A strange address is tried once in so many rounds.
    pub strangers_every: u64,
    /// How long a node that is gone is remembered.
    pub forget: Millis,
    /// How many rounds a difference in the tables lasts before a whole table is fetched.
    pub settle_rounds: u64,
    /// How many nodes of each zone watch the platform.
    pub watchers: usize,
    /// The most nodes that are remembered.
    pub members_max: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            round: Millis(500),
            peers: 3,
            choice: PeerChoice::default(),
            across_milli: 200,
            answer: Millis(1_000),
            relays: 3,
            tries: 2,
            suspicion: 4,
            repeats: 3,
            news_max: 8,
            strangers_every: 4,
            forget: Millis(3_600_000),
            settle_rounds: 10,
            watchers: 2,
            members_max: 10_000,
        }
    }
}
