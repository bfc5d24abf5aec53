//! Settings and results of a map switch.

use sardinepin_common::{MapVersion, Millis};

use crate::switch::messages::RankId;

/// The safeguards of a switch. The model checks disable each one to show that it is necessary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// Rejects lower terms, and aborts a version only after a rank that has not armed it is closed.
    pub fence: bool,
    /// Makes an armed engine wait before the step of the switch until it learns the decision.
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
    /// How many steps after the latest reported step the switch is scheduled.
    pub margin_steps: u64,
    /// The interval at which a command without a report is sent again.
    pub resend_interval: Millis,
    /// The interval at which a rank is asked again whether it has loaded the next map.
    pub stage_interval: Millis,
    /// How long ranks may take to report after a read.
    pub read_timeout: Millis,
    /// How long ranks may take to load the experts of the next map.
    pub stage_timeout: Millis,
    /// How long ranks may take to arm.
    pub arm_timeout: Millis,
    /// How long a coordinator repeats an abort to ranks that do not report.
    pub finish_timeout: Millis,
    /// How long an armed rank receives no command before it requests another coordinator.
    pub takeover_timeout: Millis,
    /// The interval between two reads of the gate of an idle engine.
    pub poll_interval: Millis,
    /// The safeguards; all are enabled except in model checks.
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

/// The result of a coordinator's task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Every rank has committed this version.
    Committed(MapVersion),
    /// The version is aborted, and every rank that reported keeps the old map.
    Aborted {
        /// The version, which will never be used.
        version: MapVersion,
        /// The ranks that did not confirm the abort.
        silent: Vec<RankId>,
    },
    /// The switch ended before any rank was armed, and the group keeps the old map.
    Abandoned {
        /// The ranks that did not report or could not load.
        silent: Vec<RankId>,
    },
    /// No unfinished switch was found.
    Settled,
    /// A rank has seen a higher term of another coordinator.
    Outranked,
}
