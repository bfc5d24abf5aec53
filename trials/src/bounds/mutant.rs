//! Safeguards that can be left out, to show that the checks notice it.

/// A change to a sender or an agent that breaks the bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Mutant {
    /// No change.
    #[default]
    None,
    /// Retries are never charged.
    NeverCharged,
    /// Of two retries one is charged.
    HalfCharged,
    /// Each sender takes itself for the only one.
    ShareNotDivided,
    /// Limits of upstreams are not read.
    Unlimited,
    /// Each sender gets the permits of an upstream from an allocator of its own.
    OwnAllocators,
    /// What upstreams say of leaving is not read.
    LeavingUnread,
    /// What upstreams say of resting is not read.
    RestUnread,
    /// A sender does not ask again whether an upstream takes a request before it sends what it has held.
    HeldUnchecked,
    /// What the list says of cold upstreams is not read.
    ColdUnread,
    /// Evacuations are not read.
    EvacuationUnread,
    /// A sender that starts does not wait until it has read the evacuations.
    EvacuationUnreadAtStart,
}

impl Mutant {
    /// All mutants, and none.
    pub(super) const ALL: [Self; 12] = [
        Self::None,
        Self::NeverCharged,
        Self::HalfCharged,
        Self::ShareNotDivided,
        Self::Unlimited,
        Self::OwnAllocators,
        Self::LeavingUnread,
        Self::RestUnread,
        Self::HeldUnchecked,
        Self::ColdUnread,
        Self::EvacuationUnread,
        Self::EvacuationUnreadAtStart,
    ];

    /// Returns the name on the command line.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::NeverCharged => "never_charged",
            Self::HalfCharged => "half_charged",
            Self::ShareNotDivided => "share_not_divided",
            Self::Unlimited => "unlimited",
            Self::OwnAllocators => "own_allocators",
            Self::LeavingUnread => "leaving_unread",
            Self::RestUnread => "rest_unread",
            Self::HeldUnchecked => "held_unchecked",
            Self::ColdUnread => "cold_unread",
            Self::EvacuationUnread => "evacuation_unread",
            Self::EvacuationUnreadAtStart => "evacuation_unread_at_start",
        }
    }

    /// Returns the mutant of a name.
    pub(super) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|mutant| mutant.name() == name)
    }
}
