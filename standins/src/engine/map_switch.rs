//! Decides through the gate of the engine which expert map each step runs on, and executes the
//! orders that change it.

use std::path::PathBuf;

use sardinepin_common::{MapVersion, Term};
use sardinepin_groups::{Fencing, Gate, MapId, Order, OrderReply, Safeguards};
use serde::{Deserialize, Serialize};

/// An order with its fencing term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing term; [`Fencing::Enforced`] rejects one lower than the highest seen.
    pub term: Term,
    /// The change that the rank is to make.
    pub order: Order,
}

/// Consecutive steps that ran on one map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRange {
    /// The first step.
    pub from: u64,
    /// The last step.
    pub to: u64,
    /// The version of the map.
    pub version: MapVersion,
}

/// The gate, the next step and the maps of earlier steps.
#[derive(Debug)]
pub(super) struct MapSwitch {
    gate: Gate,
    next_step: u64,
    fencing: Fencing,
    ranges: Vec<StepRange>,
    /// The file that preserves the gate across a restart, if any.
    gate_file: Option<PathBuf>,
}

impl MapSwitch {
    /// Restores the gate from `gate_file`, or starts with a new one if there is none or it is
    /// unreadable.
    pub(super) fn new(fencing: Fencing, gate_file: Option<PathBuf>) -> Self {
        let saved = gate_file.as_ref().and_then(|file| std::fs::read(file).ok());
        let gate = saved.and_then(|bytes| serde_json::from_slice(&bytes).ok());
        Self {
            gate: gate.unwrap_or_default(),
            next_step: 0,
            fencing,
            ranges: Vec::new(),
            gate_file,
        }
    }

    /// Returns the next step to start.
    pub(super) fn step(&self) -> u64 {
        self.next_step
    }

    /// Skips ahead to `step` when the engine joins ranks that are further on; never goes back.
    pub(super) fn skip_to(&mut self, step: u64) {
        self.next_step = self.next_step.max(step);
    }

    /// Returns whether the gate allows the next step to start.
    pub(super) fn may_begin(&self) -> bool {
        self.gate
            .map_for(self.next_step, Safeguards::default())
            .is_some()
    }

    /// Starts the next step and records its map; returns `false` if the gate is closed.
    pub(super) fn begin_step(&mut self) -> bool {
        let Some(version) = self.gate.map_for(self.next_step, Safeguards::default()) else {
            return false;
        };
        let before = self.gate;
        self.gate.begin_step(self.next_step);
        if self.gate != before {
            self.save();
        }
        self.record(version);
        self.next_step += 1;
        true
    }

    /// Executes an order; also returns the map whose weights have to be loaded because of it.
    pub(super) fn apply(&mut self, fenced: FencedOrder) -> (OrderReply, Option<MapId>) {
        let FencedOrder { term, order } = fenced;
        let staged = self.gate.staged;
        let result = self.gate.apply(term, order, self.next_step, self.fencing);
        self.save();
        let map_to_load = self
            .gate
            .staged
            .filter(|now| Some(*now) != staged && !now.ready)
            .map(|now| now.map);
        let reply = OrderReply {
            rejection: result.err(),
            gate: self.gate,
            next_step: self.next_step,
        };
        (reply, map_to_load)
    }

    /// Records that the weights of a map are loaded.
    pub(super) fn mark_loaded(&mut self, map: MapId) {
        self.gate.mark_loaded(map);
        self.save();
    }

    /// Returns the staged map whose weights are not loaded yet, for resuming after a restart.
    pub(super) fn unloaded_map(&self) -> Option<MapId> {
        let staged = self.gate.staged.filter(|staged| !staged.ready);
        staged.map(|staged| staged.map)
    }

    /// Returns the steps that ran on each map since the engine started.
    pub(super) fn ranges(&self) -> &[StepRange] {
        &self.ranges
    }

    fn record(&mut self, version: MapVersion) {
        let step = self.next_step;
        match self.ranges.last_mut() {
            Some(last) if last.version == version && last.to + 1 == step => last.to = step,
            _ => self.ranges.push(StepRange {
                from: step,
                to: step,
                version,
            }),
        }
    }

    /// Writes the gate to its file before the engine acts on the change.
    fn save(&self) {
        if let Some(file) = &self.gate_file
            && let Ok(bytes) = serde_json::to_vec(&self.gate)
        {
            // The rename is atomic, so a killed engine leaves either the old or the new file.
            let new = file.with_extension("new");
            let _ = std::fs::write(&new, bytes).and_then(|()| std::fs::rename(&new, file));
        }
    }
}
