//! Settings of a map switch and the ways in which it ends.

use sardinepin_common::{MapVersion, Millis};

use crate::switch::messages::RankId;

/// The protections of the switch; a model check takes them out one by one to show their need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// Lower terms are refused, and an abort waits until a rank that has not armed is closed.
    pub fence: bool,
    /// An armed engine stops before the step of the switch until it is told how to go on.
    pub armed_wait: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            fence: true,
            armed_wait: true,
        }
    }
}

/// Settings of a map switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SwitchSettings {
    /// How many ranks the group has.
    pub ranks: u16,
    /// How many steps ahead of the latest known step the switch is set.
    pub margin_steps: u64,
    /// The time between two sends of a command that has no answer.
    pub resend_interval: Millis,
    /// The time between two questions whether a rank has loaded the next map.
    pub stage_interval: Millis,
    /// How long ranks may take to answer a read.
    pub read_timeout: Millis,
    /// How long ranks may take to load what the next map needs.
    pub stage_timeout: Millis,
    /// How long ranks may take to arm.
    pub arm_timeout: Millis,
    /// How long a coordinator repeats an abort to a rank that does not answer.
    pub finish_timeout: Millis,
    /// How long an armed rank waits for word before it asks for another coordinator.
    pub takeover_timeout: Millis,
    /// The time between two looks at the gate of an idle engine.
    pub poll_interval: Millis,
    /// The protections; all of them, outside model checks.
    pub safeguards: Safeguards,
}

impl Default for SwitchSettings {
    fn default() -> Self {
        Self {
            ranks: 16,
            margin_steps: 64,
            resend_interval: Millis(100),
            stage_interval: Millis(1_000),
            read_timeout: Millis(2_000),
            stage_timeout: Millis(120_000),
            arm_timeout: Millis(1_000),
            finish_timeout: Millis(10_000),
            takeover_timeout: Millis(500),
            poll_interval: Millis(1_000),
            safeguards: Safeguards::default(),
        }
    }
}

/// How a coordinator's work ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Every rank holds the order to go over to this version.
    Committed(MapVersion),
    /// Every rank that answers stays with the old map; these did not answer.
    Aborted {
        /// The version that will never be used.
        version: MapVersion,
        /// The ranks without an answer.
        silent: Vec<RankId>,
    },
    /// No rank was armed, and the group goes on with the old map; these ranks held it up.
    Abandoned {
        /// The ranks that did not answer or could not load.
        silent: Vec<RankId>,
    },
    /// There was nothing to finish.
    Settled,
    /// Another coordinator has a higher term.
    Outranked,
}
