//! All upstreams, by number.

use sardinepin_common::{Map, Millis};

use crate::estimate::Running;
use crate::events::{UpstreamId, UpstreamInfo};
use crate::groups::{Groups, STOPPED};
use crate::health::Standing;
use crate::settings::Settings;
use crate::slot::Slot;

/// How much slower than the mean an upstream may step before it counts as slow, as a factor.
const STEP_TOLERANCE: f32 = 1.25;

/// The upstreams and their rank groups.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// The upstreams; the position serves as number inside the decisions.
    pub(crate) slots: Vec<Slot>,
    /// The rank groups.
    pub(crate) groups: Groups,
    places: Map<UpstreamId, u32>,
    /// The mean step time, in microseconds.
    step: Running,
}

impl Fleet {
    /// Returns the position of an upstream.
    pub(crate) fn place(&self, id: UpstreamId) -> Option<usize> {
        self.places.get(&id).map(|at| *at as usize)
    }

    /// Returns an upstream.
    pub(crate) fn slot(&mut self, id: UpstreamId) -> Option<&mut Slot> {
        let at = self.place(id)?;
        self.slots.get_mut(at)
    }

    /// Returns the weight of an upstream's rank group.
    pub(crate) fn weight(&self, slot: &Slot) -> f32 {
        self.groups.weight(slot.group)
    }

    /// Puts these upstreams in force; others stay only until their attempts have ended.
    pub(crate) fn replace(&mut self, infos: Vec<UpstreamInfo>, settings: &Settings) {
        for slot in &mut self.slots {
            slot.listed = false;
        }
        for info in infos {
            match self.places.get(&info.id) {
                Some(at) => {
                    let slot = &mut self.slots[*at as usize];
                    slot.info = info;
                    slot.listed = true;
                }
                None => {
                    self.places.insert(info.id, self.slots.len() as u32);
                    self.slots.push(Slot::new(info, &settings.concurrency));
                }
            }
        }
        self.slots
            .retain(|slot| slot.listed || !slot.attempts.is_empty());
        self.number();
    }

    /// Takes in the step time of an upstream's report.
    pub(crate) fn stepped(&mut self, at: usize, micros: u32) {
        if micros == 0 {
            return;
        }
        self.step.add(micros as f32);
        let bearable = self.pace(micros);
        self.groups.lower(self.slots[at].group, bearable);
    }

    /// Returns how fast a step is, from 0 to 1 for the mean step and faster ones.
    pub(crate) fn pace(&self, micros: u32) -> f32 {
        let mean = self.step.mean();
        if micros == 0 || mean == 0.0 {
            return 1.0;
        }
        (mean * STEP_TOLERANCE / micros as f32).min(1.0)
    }

    /// Lowers an upstream's rank group at once if the upstream cannot advance.
    pub(crate) fn judge(&mut self, at: usize) {
        let slot = &self.slots[at];
        if stopped(slot) {
            self.groups.lower(slot.group, STOPPED);
        }
    }

    /// Lets the rank groups come back gradually.
    pub(crate) fn tick_groups(&mut self, now: Millis, settings: &Settings) {
        let mut groups = std::mem::take(&mut self.groups);
        let routing = &settings.routing;
        groups.tick(Millis(settings.tick_ms), routing.group_ramp, |member| {
            let slot = &self.slots[member as usize];
            if stopped(slot) {
                STOPPED
            } else {
                self.pace(slot.step_micros(now, routing.report_ttl))
            }
        });
        self.groups = groups;
    }

    fn number(&mut self) {
        self.places = Map::default();
        self.groups.clear_members();
        for (at, slot) in self.slots.iter_mut().enumerate() {
            self.places.insert(slot.info.id, at as u32);
            slot.group = match &slot.info.group {
                Some(name) if slot.listed => Some(self.groups.add(name, at as u32)),
                _ => None,
            };
        }
    }
}

/// Returns whether an upstream holds its rank group back altogether.
fn stopped(slot: &Slot) -> bool {
    !slot.live() || slot.health.standing() != Standing::Fit
}
