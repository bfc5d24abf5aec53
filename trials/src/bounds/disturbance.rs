//! What goes wrong on a day.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng};

/// A kind of disturbance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Kind {
    /// This share of the senders is killed at once and starts again.
    Restart {
        /// The share of the senders.
        share: f64,
    },
    /// This share of the senders stands still.
    FreezeSenders {
        /// The share of the senders.
        share: f64,
    },
    /// A few upstreams stand still, and read late what was sent to them.
    FreezeUpstreams {
        /// The share of the upstreams.
        share: f64,
    },
    /// An availability zone and the others cannot reach each other.
    CutZone,
    /// A rank of some groups is missing, so that the groups break and later form again.
    BreakGroups {
        /// The share of the groups.
        share: f64,
    },
    /// Upstreams break off this share of their answers.
    LoseAnswers {
        /// The share of the answers.
        share: f64,
    },
    /// Callers send this many times as much.
    Burst {
        /// The factor.
        factor: f64,
    },
    /// Refused callers come again at once.
    RepeatingCallers,
    /// All callers of a half of the senders move to the other half.
    MovingCallers,
    /// This share of the agents is killed, and starts again with no memory.
    RestartAgents {
        /// The share of the agents.
        share: f64,
    },
    /// The store cannot be read, so that a sender that starts is not ready.
    SilentStore,
}

impl Kind {
    /// Returns the name in the JSON line.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Restart { .. } => "restart",
            Self::FreezeSenders { .. } => "freeze_senders",
            Self::FreezeUpstreams { .. } => "freeze_upstreams",
            Self::CutZone => "cut_zone",
            Self::BreakGroups { .. } => "break_groups",
            Self::LoseAnswers { .. } => "lose_answers",
            Self::Burst { .. } => "burst",
            Self::RepeatingCallers => "repeating_callers",
            Self::MovingCallers => "moving_callers",
            Self::RestartAgents { .. } => "restart_agents",
            Self::SilentStore => "silent_store",
        }
    }

    /// Draws a kind and its strength.
    pub(super) fn draw(rng: &mut Rng) -> Self {
        match rng.random_range(0..10) {
            0 => Self::Restart {
                share: *pick(rng, &[0.05, 0.3, 1.0]),
            },
            1 => Self::FreezeSenders {
                share: rng.random_range(0.05..0.4),
            },
            2 => Self::FreezeUpstreams {
                share: rng.random_range(0.02..0.2),
            },
            3 => Self::CutZone,
            4 => Self::BreakGroups {
                share: rng.random_range(0.3..1.0),
            },
            5 => Self::LoseAnswers {
                share: rng.random_range(0.1..0.8),
            },
            6 => Self::Burst {
                factor: rng.random_range(1.3..2.5),
            },
            7 => Self::RepeatingCallers,
            8 => Self::MovingCallers,
            _ => Self::SilentStore,
        }
    }
}

fn pick<'a, T>(rng: &mut Rng, values: &'a [T]) -> &'a T {
    &values[rng.random_range(0..values.len())]
}

/// A disturbance of a day.
#[derive(Debug, Clone, Copy)]
pub(super) struct Disturbance {
    pub(super) kind: Kind,
    pub(super) from: Millis,
    pub(super) until: Millis,
    /// Chooses what is hit, among senders, upstreams, groups or zones.
    pub(super) offset: usize,
}

impl Disturbance {
    /// Returns which of `total` things are hit: a share of them, in a row from the offset on.
    pub(super) fn targets(&self, share: f64, total: usize) -> impl Iterator<Item = usize> + use<> {
        let count = ((total as f64 * share).ceil() as usize).min(total);
        let offset = self.offset;
        (0..count).map(move |step| (offset + step) % total)
    }
}
