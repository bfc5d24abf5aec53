//! The engine's gate: the expert map that each step runs on, and the orders that change it.

use std::path::PathBuf;

use sardinepin_common::{MapVersion, Term};
use sardinepin_groups::{Fencing, Gate, MapId, Order, OrderReply, Safeguards};
use serde::{Deserialize, Serialize};

/// An order with its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing number.
    pub term: Term,
    /// The order.
    pub order: Order,
}

/// Steps that ran one after the other on one map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRange {
    /// The first step.
    pub from: u64,
    /// The last step.
    pub to: u64,
    /// The version of the map.
    pub version: MapVersion,
}

/// The gate, the next step and the record of those before.
#[derive(Debug)]
pub(super) struct MapSwitch {
    gate: Gate,
    step: u64,
    fencing: Fencing,
    ranges: Vec<StepRange>,
    /// Where the gate is kept over a restart, if anywhere.
    file: Option<PathBuf>,
}

impl MapSwitch {
    /// Starts with the gate in `file`, or a new one.
    pub(super) fn new(fencing: Fencing, file: Option<PathBuf>) -> Self {
        let kept = file.as_ref().and_then(|file| std::fs::read(file).ok());
        let gate = kept.and_then(|bytes| serde_json::from_slice(&bytes).ok());
        Self {
            gate: gate.unwrap_or_default(),
            step: 0,
            fencing,
            ranges: Vec::new(),
            file,
        }
    }

    /// Returns the next step that has not begun.
    pub(super) fn step(&self) -> u64 {
        self.step
    }

    /// Skips to a step, when the engine joins others that are further on.
    pub(super) fn skip_to(&mut self, step: u64) {
        self.step = self.step.max(step);
    }

    /// Returns whether the next step may begin.
    pub(super) fn is_open(&self) -> bool {
        self.gate
            .map_for(self.step, Safeguards::default())
            .is_some()
    }

    /// Begins the next step and records its map; returns `false` if it has to wait.
    pub(super) fn begin(&mut self) -> bool {
        let Some(version) = self.gate.map_for(self.step, Safeguards::default()) else {
            return false;
        };
        let before = self.gate;
        self.gate.begin_step(self.step);
        if self.gate != before {
            self.keep();
        }
        self.record(version);
        self.step += 1;
        true
    }

    /// Carries out an order; also returns the map whose weights are to be loaded from now on.
    pub(super) fn apply(&mut self, fenced: FencedOrder) -> (OrderReply, Option<MapId>) {
        let FencedOrder { term, order } = fenced;
        let staged = self.gate.staged;
        let result = self.gate.apply(term, order, self.step, self.fencing);
        self.keep();
        let to_load = self
            .gate
            .staged
            .filter(|now| Some(*now) != staged && !now.ready)
            .map(|now| now.map);
        let reply = OrderReply {
            rejection: result.err(),
            gate: self.gate,
            next_step: self.step,
        };
        (reply, to_load)
    }

    /// Marks a map as loaded.
    pub(super) fn loaded(&mut self, map: MapId) {
        self.gate.mark_loaded(map);
        self.keep();
    }

    /// Returns the map that is still being loaded, after a restart.
    pub(super) fn loading(&self) -> Option<MapId> {
        let staged = self.gate.staged.filter(|staged| !staged.ready);
        staged.map(|staged| staged.map)
    }

    /// Returns which steps ran on which map in this life of the engine.
    pub(super) fn ranges(&self) -> &[StepRange] {
        &self.ranges
    }

    fn record(&mut self, version: MapVersion) {
        let step = self.step;
        match self.ranges.last_mut() {
            Some(last) if last.version == version && last.to + 1 == step => last.to = step,
            _ => self.ranges.push(StepRange {
                from: step,
                to: step,
                version,
            }),
        }
    }

    /// Keeps the gate before anything rests on it.
    fn keep(&self) {
        if let Some(file) = &self.file
            && let Ok(bytes) = serde_json::to_vec(&self.gate)
        {
            // The new file replaces the old one whole, so that a kill leaves one of them.
            let new = file.with_extension("new");
            let _ = std::fs::write(&new, bytes).and_then(|()| std::fs::rename(&new, file));
        }
    }
}
