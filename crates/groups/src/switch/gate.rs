//! The gate of an engine: decides which map a step runs on, or that the step has to wait.

use sardinepin_common::{MapVersion, Term};
use serde::{Deserialize, Serialize};

use crate::switch::settings::Safeguards;

/// Identifies a map by its version within the group and a digest of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapId {
    /// The version, which is never used for another map.
    pub version: MapVersion,
    /// The digest of the map's content.
    pub digest: u64,
}

/// A map whose weights the engine loads or has loaded while another map is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Staged {
    /// The map.
    pub map: MapId,
    /// Whether all weights are loaded.
    pub ready: bool,
}

/// A switch for which the engine is armed: it waits before a step until the switch is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// The version to use from the step on.
    pub version: MapVersion,
    /// The first step on the new map.
    pub step: u64,
    /// Whether the switch is committed, so that the engine does not have to wait.
    pub committed: bool,
}

/// The switch state that an engine keeps for its agent, and returns to a restarted agent.
///
/// An engine votes once on each version: it either arms the version or closes it. A version is
/// committed only after every engine has armed it, and aborted only after one engine has closed it
/// without arming it. Because of the order of the fields, every order that changes a gate makes it
/// compare greater; only a loss of loaded weights makes it smaller.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Gate {
    /// The highest fencing term seen.
    pub fence: Term,
    /// The version in use.
    pub active: MapVersion,
    /// The highest version that is closed; it and all lower versions can no longer be armed.
    pub closed: MapVersion,
    /// The map that is being loaded or has been loaded.
    pub staged: Option<Staged>,
    /// The armed switch, if there is one.
    pub armed: Option<Armed>,
}

/// An order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Returns the gate, whatever the fencing term.
    Look,
    /// Records the fencing term.
    Fence,
    /// Starts to load the weights of a map.
    Stage(MapId),
    /// Arms a switch: the engine waits before its step until the switch is decided.
    Arm {
        /// The map, which must already be loaded.
        map: MapId,
        /// The first step on the new map.
        step: u64,
    },
    /// Rules out that this version is armed later; has no effect if it is already armed.
    Close(MapVersion),
    /// Commits the armed switch to this version.
    Commit(MapVersion),
    /// Disarms the switch to this version and keeps the map in use.
    Abort(MapVersion),
}

/// Why an engine did not carry out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The fencing term is lower than the highest seen.
    Fenced,
    /// The step has already begun.
    TooLate,
    /// The version is closed, or not higher than the one in use.
    Closed,
    /// The map is not loaded.
    NotStaged,
    /// A switch is already armed.
    Busy,
    /// The order contradicts an earlier decision, or commits a version that is not armed.
    Contradiction,
}

/// An engine's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderReply {
    /// Why the order was not carried out; `None` if it was.
    pub rejection: Option<Rejection>,
    /// The gate after the order.
    pub gate: Gate,
    /// The first step that the engine has not begun.
    pub next_step: u64,
}

/// Whether an engine rejects orders with a stale fencing term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine rejects them.
    Enforced,
    /// The engine only records the highest term for its agent.
    Ignored,
}

impl Gate {
    /// Returns the version on which `step` runs, or `None` if the step has to wait.
    #[must_use]
    pub fn map_for(&self, step: u64, safeguards: Safeguards) -> Option<MapVersion> {
        match self.armed {
            Some(armed) if step >= armed.step && armed.committed => Some(armed.version),
            Some(armed) if step >= armed.step && safeguards.armed_wait => None,
            _ => Some(self.active),
        }
    }

    /// Begins `step`, at which a committed switch takes effect.
    ///
    /// Call this only after [`Gate::map_for`] has returned a version for the step.
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

    /// Applies an order to the gate of an engine whose next step is `next_step`.
    ///
    /// # Errors
    ///
    /// Returns why the order is rejected. The gate is then unchanged, except that its fencing term
    /// may have increased.
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

    /// Marks the staged map as loaded; has no effect if another map is staged.
    pub fn mark_loaded(&mut self, map: MapId) {
        if let Some(staged) = self.staged.as_mut().filter(|staged| staged.map == map) {
            staged.ready = true;
        }
    }

    /// Returns whether this version or a higher one is in use, or this version is committed for a
    /// future step.
    #[must_use]
    pub fn has_committed(&self, version: MapVersion) -> bool {
        let matches = |armed: Armed| armed.committed && armed.version == version;
        self.active >= version || self.armed.is_some_and(matches)
    }

    /// Returns whether the engine has armed or committed this version.
    #[must_use]
    pub fn has_armed(&self, version: MapVersion) -> bool {
        let matches = |armed: Armed| armed.version == version;
        self.has_committed(version) || self.armed.is_some_and(matches)
    }

    /// Returns whether the engine has closed this version without arming it.
    #[must_use]
    pub fn has_closed(&self, version: MapVersion) -> bool {
        self.closed >= version && !self.has_armed(version)
    }

    /// Returns the armed version if it is not committed and the gate also has it closed.
    ///
    /// An engine that ignores fencing terms can be armed by a delayed order from an earlier agent.
    /// Because the version was closed first, it can only have been aborted.
    #[must_use]
    pub fn stale_armed(&self) -> Option<MapVersion> {
        self.armed
            .filter(|armed| !armed.committed && armed.version <= self.closed)
            .map(|armed| armed.version)
    }

    /// Returns the gate without a stale armed switch, as defined by [`Gate::stale_armed`].
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
        // With an engine that ignores fencing terms, the agent makes this check.
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

    /// Closes a version; an armed version stays armed, which the returned gate shows.
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
