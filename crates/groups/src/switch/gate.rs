//! The gate that each engine keeps: which map a step runs on, or that it has to wait.

use sardinepin_common::{MapVersion, Term};
use serde::{Deserialize, Serialize};

use crate::switch::settings::Safeguards;

/// Names a map: its version within the group and a digest of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapId {
    /// The version, used for one map only.
    pub version: MapVersion,
    /// The digest of the map's content.
    pub digest: u64,
}

/// A map whose weights the engine loads beside the map in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Staged {
    /// The map.
    pub map: MapId,
    /// Whether everything is loaded.
    pub ready: bool,
}

/// The promise to stop before a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// The version that is to be in use from the step on.
    pub version: MapVersion,
    /// The first step on the new map.
    pub step: u64,
    /// Whether the switch is decided, so that the engine need not stop.
    pub committed: bool,
}

/// What the engine keeps for its agent, and gives back to a restarted one.
///
/// For each version an engine votes once: it arms, or it is closed. A version is committed only
/// once every engine has armed it, and aborted only once one has been closed without arming.
/// The order of the fields makes a gate grow with every order that changes it, but for a loss of
/// loaded weights.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Gate {
    /// The highest fencing number seen.
    pub fence: Term,
    /// The version in use.
    pub active: MapVersion,
    /// The highest version that will never be armed here any more.
    pub closed: MapVersion,
    /// The map that is being loaded or is loaded.
    pub staged: Option<Staged>,
    /// The promise, if one holds.
    pub armed: Option<Armed>,
}

/// An order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Gives the gate back, whatever the fencing number.
    Look,
    /// Keeps the fencing number.
    Fence,
    /// Begins to load what a map needs.
    Stage(MapId),
    /// Promises to stop before a step.
    Arm {
        /// The map, which has to be loaded.
        map: MapId,
        /// The first step on the new map.
        step: u64,
    },
    /// Refuses to arm this version from now on, unless it is armed already.
    Close(MapVersion),
    /// Goes over to this version at the promised step.
    Commit(MapVersion),
    /// Drops the promise and stays with the map in use.
    Abort(MapVersion),
}

/// Why an engine did not carry out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The fencing number is old.
    Fenced,
    /// The step has begun already.
    TooLate,
    /// The version is closed or not above the one in use.
    Closed,
    /// The map is not loaded.
    NotStaged,
    /// Another promise holds.
    Busy,
    /// The order contradicts an earlier decision.
    Contradiction,
}

/// What an engine says after an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderReply {
    /// Why the order was not carried out, if it was not.
    pub rejection: Option<Rejection>,
    /// The gate after the order.
    pub gate: Gate,
    /// The next step that the engine has not begun.
    pub next_step: u64,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses them.
    Enforced,
    /// It only keeps the highest number for its agent.
    Ignored,
}

impl Gate {
    /// Returns the version that `step` has to run on, or `None` if it has to wait.
    #[must_use]
    pub fn map_for(&self, step: u64, safeguards: Safeguards) -> Option<MapVersion> {
        match self.armed {
            Some(armed) if step >= armed.step && armed.committed => Some(armed.version),
            Some(armed) if step >= armed.step && safeguards.armed_wait => None,
            _ => Some(self.active),
        }
    }

    /// Begins `step`: a decided switch takes effect. Call it once [`Gate::map_for`] gave a map.
    pub fn begin_step(&mut self, step: u64) {
        if let Some(armed) = self.armed
            && armed.committed
            && step >= armed.step
        {
            self.active = armed.version;
            self.closed = self.closed.max(armed.version);
            self.armed = None;
        }
    }

    /// Carries out an order, as an engine does that begins `next_step` next.
    ///
    /// # Errors
    ///
    /// Returns why the gate stays as it is, but for the fencing number.
    pub fn apply(
        &mut self,
        term: Term,
        order: Order,
        next_step: u64,
        fencing: Fencing,
    ) -> Result<(), Rejection> {
        if order == Order::Look {
            return Ok(());
        }
        if term < self.fence && fencing == Fencing::Enforced {
            return Err(Rejection::Fenced);
        }
        self.fence = self.fence.max(term);
        match order {
            Order::Look | Order::Fence => Ok(()),
            Order::Stage(map) => self.stage(map),
            Order::Arm { map, step } => self.arm(map, step, next_step, fencing),
            Order::Close(version) => self.close(version),
            Order::Commit(version) => self.commit(version),
            Order::Abort(version) => self.abort(version),
        }
    }

    /// Marks the staged map as loaded.
    pub fn mark_loaded(&mut self, map: MapId) {
        if let Some(staged) = self.staged.as_mut().filter(|staged| staged.map == map) {
            staged.ready = true;
        }
    }

    /// Returns whether this version is in use, or decided for a step to come.
    #[must_use]
    pub fn has_committed(&self, version: MapVersion) -> bool {
        let decided = |armed: Armed| armed.committed && armed.version == version;
        self.active >= version || self.armed.is_some_and(decided)
    }

    /// Returns whether the engine has armed this version, or has even committed it.
    #[must_use]
    pub fn has_armed(&self, version: MapVersion) -> bool {
        let promised = |armed: Armed| armed.version == version;
        self.has_committed(version) || self.armed.is_some_and(promised)
    }

    /// Returns whether the engine will never arm this version and has not done so.
    #[must_use]
    pub fn has_closed(&self, version: MapVersion) -> bool {
        self.closed >= version && !self.has_armed(version)
    }

    /// Returns a promise that stands against the gate's own closed version.
    ///
    /// An engine that ignores fencing numbers may arm on a late order of an agent that is gone.
    /// The version was closed before, so its abort is the only decision that can have been taken.
    #[must_use]
    pub fn stale_armed(&self) -> Option<MapVersion> {
        self.armed
            .filter(|armed| !armed.committed && armed.version <= self.closed)
            .map(|armed| armed.version)
    }

    /// Returns the gate as it counts: without a promise that the gate itself had closed.
    #[must_use]
    pub fn effective(self) -> Self {
        match self.stale_armed() {
            Some(_) => Self {
                armed: None,
                ..self
            },
            None => self,
        }
    }

    fn stage(&mut self, map: MapId) -> Result<(), Rejection> {
        if self.staged.is_some_and(|staged| staged.map == map) {
            return Ok(());
        }
        if map.version <= self.active.max(self.closed) {
            return Err(Rejection::Closed);
        }
        if self.armed.is_some() {
            return Err(Rejection::Busy);
        }
        self.staged = Some(Staged { map, ready: false });
        Ok(())
    }

    fn arm(
        &mut self,
        map: MapId,
        step: u64,
        next_step: u64,
        fencing: Fencing,
    ) -> Result<(), Rejection> {
        if self.has_armed(map.version) {
            return Ok(());
        }
        if self.armed.is_some() {
            return Err(Rejection::Busy);
        }
        // An engine that ignores fencing numbers leaves this check to its agent.
        if self.closed >= map.version && fencing == Fencing::Enforced {
            return Err(Rejection::Closed);
        }
        if self.staged != Some(Staged { map, ready: true }) {
            return Err(Rejection::NotStaged);
        }
        if step < next_step {
            return Err(Rejection::TooLate);
        }
        self.armed = Some(Armed {
            version: map.version,
            step,
            committed: false,
        });
        Ok(())
    }

    /// Closes a version; one that is armed stays so, and the gate tells.
    fn close(&mut self, version: MapVersion) -> Result<(), Rejection> {
        if !self.effective().has_armed(version) {
            self.closed = self.closed.max(version);
        }
        Ok(())
    }

    fn commit(&mut self, version: MapVersion) -> Result<(), Rejection> {
        if self.has_committed(version) {
            return Ok(());
        }
        match self.armed.as_mut().filter(|armed| armed.version == version) {
            Some(armed) => {
                armed.committed = true;
                Ok(())
            }
            None => Err(Rejection::Contradiction),
        }
    }

    fn abort(&mut self, version: MapVersion) -> Result<(), Rejection> {
        if self.has_committed(version) {
            return Err(Rejection::Contradiction);
        }
        if self.armed.is_some_and(|armed| armed.version == version) {
            self.armed = None;
        }
        self.closed = self.closed.max(version);
        Ok(())
    }
}
