//! An agent's table of attempts, which lets it state reliably that an attempt has not run.
//!
//! Each attempt is a small state machine. The table also holds withdrawn attempts, so that a late
//! frame of one is refused. For each entry it holds the highest number of an attempt whose record
//! was removed: an attempt without a record may have run if its number is at or below that, and has
//! not run if its number is above.

mod machine;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use sardinepin_common::{AttemptId, Incarnation, Map, Millis};
use sardinepin_protocol::{ErrorKind, SettledState};

pub use machine::{AttemptEvent, AttemptMachine, AttemptState};

/// Settings of an [`AttemptTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long the record of an ended attempt is kept, in milliseconds.
    pub keep_ms: u64,
    /// The maximum number of records; records of open attempts are never removed to make room.
    pub records_max: usize,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            keep_ms: 60_000,
            records_max: 50_000,
        }
    }
}

/// The result of [`AttemptTable::admit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAdmission {
    /// The attempt is new and may proceed to [`AttemptTable::begin`].
    New,
    /// The attempt has a record already; the frame must be ignored.
    Duplicate,
    /// The attempt has not run and must not run.
    Refused(ErrorKind),
    /// The record of the attempt may have been removed: the attempt may have run.
    Unknown,
}

/// The attempts that an agent has received or withdrawn.
#[derive(Debug, Clone)]
pub struct AttemptTable {
    settings: AttemptSettings,
    records: Map<AttemptId, AttemptMachine>,
    /// Ended attempts that still have a record, in the order in which they ended.
    ended: VecDeque<(Millis, AttemptId)>,
    /// The highest attempt number of which a record was removed, by entry.
    removed_max: Map<Incarnation, u64>,
}

impl AttemptTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: AttemptSettings) -> Self {
        Self {
            settings,
            records: Map::default(),
            ended: VecDeque::new(),
            removed_max: Map::default(),
        }
    }

    /// Admits an attempt that has just arrived and creates its record.
    ///
    /// A full table makes room by removing the attempt that ended first, and refuses the attempt if
    /// none has ended.
    pub fn admit(&mut self, id: AttemptId) -> AttemptAdmission {
        if let Some(record) = self.records.get(&id) {
            return match record.state() {
                AttemptState::Refused { kind } => AttemptAdmission::Refused(*kind),
                _ => AttemptAdmission::Duplicate,
            };
        }
        if self.may_have_been_removed(id) {
            return AttemptAdmission::Unknown;
        }
        if self.records.len() >= self.settings.records_max && !self.remove_oldest() {
            return AttemptAdmission::Refused(ErrorKind::Busy);
        }
        self.records.insert(id, AttemptMachine::new());
        AttemptAdmission::New
    }

    /// Marks an attempt as running just before its request is sent to the upstream; returns whether
    /// the request may be sent.
    ///
    /// From here on the attempt may have run.
    pub fn begin(&mut self, id: AttemptId) -> bool {
        let Some(record) = self.records.get_mut(&id) else {
            return false;
        };
        let waiting = *record.state() == AttemptState::Waiting {};
        record.handle(AttemptEvent::Begin);
        waiting
    }

    /// Applies an event to an attempt and returns its new state, or `None` if it has no record.
    pub fn handle(
        &mut self,
        now: Millis,
        id: AttemptId,
        event: AttemptEvent,
    ) -> Option<AttemptState> {
        let record = self.records.get_mut(&id)?;
        let had_ended = record.state().has_ended();
        record.handle(event);
        let state = record.state().clone();
        if state.has_ended() && !had_ended {
            self.ended.push_back((now, id));
        }
        Some(state)
    }

    /// Answers an entry that asks about an attempt, and withdraws the attempt if it has not begun.
    ///
    /// `addressed` is the incarnation of the agent that the attempt was sent to, `own` that of this
    /// agent. They differ if the agent has restarted; it cannot know what the earlier process did.
    pub fn settle(
        &mut self,
        now: Millis,
        id: AttemptId,
        addressed: Incarnation,
        own: Incarnation,
    ) -> SettledState {
        if addressed != own || (self.may_have_been_removed(id) && !self.records.contains_key(&id)) {
            return SettledState::Unknown;
        }
        if self.records.len() >= self.settings.records_max {
            self.remove_oldest();
        }
        // An attempt that never arrived gets a record too, so that a late frame finds it withdrawn.
        // This may exceed `records_max`.
        self.records.entry(id).or_default();
        match self.handle(now, id, AttemptEvent::Withdraw) {
            Some(AttemptState::Refused { .. }) => SettledState::NotRun,
            Some(AttemptState::Running {} | AttemptState::Finished {}) => SettledState::Attached,
            _ => SettledState::Unknown,
        }
    }

    /// Removes attempts that ended at least `keep_ms` ago.
    pub fn sweep(&mut self, now: Millis) {
        let keep = Millis(self.settings.keep_ms);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= keep)
        {
            self.remove_oldest();
        }
    }

    /// Returns the state of an attempt, or `None` if it has no record.
    #[must_use]
    pub fn state(&self, id: AttemptId) -> Option<&AttemptState> {
        self.records.get(&id).map(AttemptMachine::state)
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.records.len() - self.ended.len()
    }

    /// Returns whether a record of the attempt may have existed and been removed.
    fn may_have_been_removed(&self, id: AttemptId) -> bool {
        self.removed_max
            .get(&id.entry)
            .is_some_and(|number| id.number <= *number)
    }

    /// Removes the attempt that ended first; returns whether there was one.
    fn remove_oldest(&mut self) -> bool {
        let Some((_, id)) = self.ended.pop_front() else {
            return false;
        };
        self.records.remove(&id);
        let removed_max = self.removed_max.entry(id.entry).or_default();
        *removed_max = (*removed_max).max(id.number);
        true
    }
}
