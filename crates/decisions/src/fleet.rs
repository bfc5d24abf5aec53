//! All upstreams of this entry and their rank groups.

use sardinepin_common::{Map, Millis};

use crate::estimate::RunningMean;
use crate::events::{UpstreamId, UpstreamInfo};
use crate::health::HealthState;
use crate::rank_groups::{RankGroups, STOPPED_WEIGHT};
use crate::settings::Settings;
use crate::upstream::Upstream;

/// The multiple of the mean step time above which an upstream counts as slow.
const STEP_TOLERANCE: f32 = 1.25;

/// The upstreams and their rank groups.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// The upstreams. This crate refers to an upstream by its position, which changes in
    /// [`Fleet::replace`].
    pub(crate) upstreams: Vec<Upstream>,
    /// The rank groups.
    pub(crate) groups: RankGroups,
    indices: Map<UpstreamId, u32>,
    /// The mean step time, in microseconds.
    mean_step: RunningMean,
}

impl Fleet {
    /// Returns the position of an upstream.
    pub(crate) fn index_of(&self, id: UpstreamId) -> Option<usize> {
        self.indices.get(&id).map(|index| *index as usize)
    }

    /// Returns an upstream.
    pub(crate) fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        let index = self.index_of(id)?;
        self.upstreams.get_mut(index)
    }

    /// Returns the weight of an upstream's rank group; 1 without a group.
    pub(crate) fn weight(&self, upstream: &Upstream) -> f32 {
        self.groups.weight(upstream.group)
    }

    /// Replaces the configured upstreams. Others stay only until their attempts have ended.
    pub(crate) fn replace(&mut self, infos: Vec<UpstreamInfo>, settings: &Settings) {
        for upstream in &mut self.upstreams {
            upstream.configured = false;
        }
        for info in infos {
            match self.indices.get(&info.id) {
                Some(index) => {
                    let upstream = &mut self.upstreams[*index as usize];
                    if upstream.info.evacuated && !info.evacuated {
                        // The zone returns gradually: all entries see it empty at the same moment.
                        upstream.limiter.restart(&settings.concurrency);
                    }
                    upstream.info = info;
                    upstream.configured = true;
                }
                None => {
                    self.indices.insert(info.id, self.upstreams.len() as u32);
                    self.upstreams
                        .push(Upstream::new(info, &settings.concurrency));
                }
            }
        }
        self.upstreams
            .retain(|upstream| upstream.configured || !upstream.attempts.is_empty());
        self.rebuild_indices();
    }

    /// Records the step time from a load report; 0 means unknown.
    pub(crate) fn record_step_time(&mut self, index: usize, micros: u32) {
        if micros == 0 {
            return;
        }
        self.mean_step.add_sample(micros as f32);
        let capacity = self.relative_speed(micros);
        self.groups
            .cap_weight(self.upstreams[index].group, capacity);
    }

    /// Returns the speed of a step relative to the mean, from 0 to 1; tolerated and unknown step times
    /// give 1.
    pub(crate) fn relative_speed(&self, micros: u32) -> f32 {
        let mean = self.mean_step.mean();
        if micros == 0 || mean == 0.0 {
            return 1.0;
        }
        (mean * STEP_TOLERANCE / micros as f32).min(1.0)
    }

    /// Lowers the weight of an upstream's rank group at once if the upstream stops the group.
    pub(crate) fn lower_group_if_stopped(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        if stopped(upstream) {
            self.groups.cap_weight(upstream.group, STOPPED_WEIGHT);
        }
    }

    /// Updates the weights of the rank groups, which recover gradually.
    pub(crate) fn update_groups(&mut self, now: Millis, settings: &Settings) {
        let mut groups = std::mem::take(&mut self.groups);
        let routing = &settings.routing;
        groups.update_weights(Millis(settings.tick_ms), routing.group_ramp, |member| {
            let upstream = &self.upstreams[member as usize];
            if stopped(upstream) {
                STOPPED_WEIGHT
            } else {
                self.relative_speed(upstream.step_micros(now, routing.report_ttl))
            }
        });
        self.groups = groups;
    }

    fn rebuild_indices(&mut self) {
        self.indices = Map::default();
        self.groups.clear_members();
        for (index, upstream) in self.upstreams.iter_mut().enumerate() {
            self.indices.insert(upstream.info.id, index as u32);
            upstream.group = match &upstream.info.group {
                Some(name) if upstream.configured => Some(self.groups.add(name, index as u32)),
                _ => None,
            };
        }
    }
}

/// Returns whether an upstream stops its whole rank group.
fn stopped(upstream: &Upstream) -> bool {
    !upstream.is_serving() || upstream.health.state() != HealthState::Healthy
}
