//! What an agent knows of the attempts that reached it, so that "not run" is never a guess.
//!
//! Each attempt is a small state machine. The table around it remembers withdrawn attempts, so that
//! a late frame is refused, and a floor per entry below which it no longer remembers anything: an
//! attempt below the floor may have run, one above it that is not in the table has not.

mod machine;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use sardinepin_common::{AttemptId, Incarnation, Map, Millis};
use sardinepin_protocol::{ErrorKind, SettledState};

pub use machine::{AttemptEvent, AttemptMachine, AttemptState};

/// Settings of an attempt table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long an ended attempt is remembered, in milliseconds.
    pub keep_ms: u64,
    /// The most attempts that are remembered.
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

/// What becomes of an attempt that has just arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAdmission {
    /// It is new and may be brought to its beginning.
    New,
    /// It is already known; nothing is to be done.
    Duplicate,
    /// It must not run.
    Refused(ErrorKind),
    /// It is below the floor: it may have run.
    Unknown,
}

/// The attempts that reached an agent.
#[derive(Debug, Clone)]
pub struct AttemptTable {
    settings: AttemptSettings,
    records: Map<AttemptId, AttemptMachine>,
    ended: VecDeque<(Millis, AttemptId)>,
    floors: Map<Incarnation, u64>,
}

impl AttemptTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new(settings: AttemptSettings) -> Self {
        Self {
            settings,
            records: Map::default(),
            ended: VecDeque::new(),
            floors: Map::default(),
        }
    }

    /// Takes in an attempt that has just arrived.
    pub fn admit(&mut self, id: AttemptId) -> AttemptAdmission {
        if let Some(record) = self.records.get(&id) {
            return match record.state() {
                AttemptState::Refused { kind } => AttemptAdmission::Refused(*kind),
                _ => AttemptAdmission::Duplicate,
            };
        }
        if self.below_floor(id) {
            return AttemptAdmission::Unknown;
        }
        if self.records.len() >= self.settings.records_max && !self.forget_oldest() {
            return AttemptAdmission::Refused(ErrorKind::Busy);
        }
        self.records.insert(id, AttemptMachine::new());
        AttemptAdmission::New
    }

    /// Says that the attempt is about to reach its upstream; returns whether it may.
    ///
    /// The attempt may have run from here on.
    pub fn begin(&mut self, id: AttemptId) -> bool {
        let Some(record) = self.records.get_mut(&id) else {
            return false;
        };
        let waiting = *record.state() == AttemptState::Waiting {};
        record.handle(AttemptEvent::Begin);
        waiting
    }

    /// Takes in what happened to a known attempt and returns its state after it.
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

    /// Answers an entry that asks what became of an attempt, and withdraws it if it has not begun.
    ///
    /// `addressed` is the incarnation of the agent that the attempt was sent to, `own` this one's.
    pub fn settle(
        &mut self,
        now: Millis,
        id: AttemptId,
        addressed: Incarnation,
        own: Incarnation,
    ) -> SettledState {
        if addressed != own || (self.below_floor(id) && !self.records.contains_key(&id)) {
            return SettledState::Unknown;
        }
        if self.records.len() >= self.settings.records_max {
            self.forget_oldest();
        }
        // An attempt that never arrived is entered all the same: a late frame finds it withdrawn.
        self.records.entry(id).or_default();
        match self.handle(now, id, AttemptEvent::Withdraw) {
            Some(AttemptState::Refused { .. }) => SettledState::NotRun,
            Some(AttemptState::Running {} | AttemptState::Finished {}) => SettledState::Attached,
            _ => SettledState::Unknown,
        }
    }

    /// Forgets attempts that ended long ago.
    pub fn sweep(&mut self, now: Millis) {
        let keep = Millis(self.settings.keep_ms);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= keep)
        {
            self.forget_oldest();
        }
    }

    /// Returns the state of an attempt, if it is remembered.
    #[must_use]
    pub fn state(&self, id: AttemptId) -> Option<&AttemptState> {
        self.records.get(&id).map(AttemptMachine::state)
    }

    /// Returns how many attempts have not ended.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.records.len() - self.ended.len()
    }

    fn below_floor(&self, id: AttemptId) -> bool {
        self.floors
            .get(&id.entry)
            .is_some_and(|floor| id.number <= *floor)
    }

    /// Forgets the attempt that ended first; returns whether there was one.
    fn forget_oldest(&mut self) -> bool {
        let Some((_, id)) = self.ended.pop_front() else {
            return false;
        };
        self.records.remove(&id);
        let floor = self.floors.entry(id.entry).or_default();
        *floor = (*floor).max(id.number);
        true
    }
}
