//! Rank groups, each weighted by its slowest member.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

/// The weight of a group with a stopped member.
pub(crate) const STOPPED_WEIGHT: f32 = 0.02;

/// The rank groups and their routing weights.
#[derive(Debug, Default)]
pub(crate) struct RankGroups {
    list: Vec<Group>,
    names: Map<Arc<str>, u32>,
}

#[derive(Debug)]
struct Group {
    members: Vec<u32>,
    /// The routing weight, from [`STOPPED_WEIGHT`] to 1.
    weight: f32,
    /// Whether this entry has ever seen the group without a stopped member.
    was_running: bool,
}

impl RankGroups {
    /// Removes the members of all groups before they are added again.
    pub(crate) fn clear_members(&mut self) {
        for group in &mut self.list {
            group.members = Vec::new();
        }
    }

    /// Adds the upstream at position `member` to a group and returns the group's number.
    pub(crate) fn add(&mut self, name: &Arc<str>, member: u32) -> u32 {
        let index = *self.names.entry(Arc::clone(name)).or_insert_with(|| {
            self.list.push(Group {
                members: Vec::new(),
                weight: 1.0,
                was_running: false,
            });
            self.list.len() as u32 - 1
        });
        self.list[index as usize].members.push(member);
        index
    }

    /// Returns the weight of a group, 1 for an upstream without one.
    pub(crate) fn weight(&self, group: Option<u32>) -> f32 {
        group.map_or(1.0, |index| self.list[index as usize].weight)
    }

    /// Lowers a group's weight at once to the capacity of one member.
    pub(crate) fn cap_weight(&mut self, group: Option<u32>, capacity: f32) {
        if let Some(index) = group {
            let group = &mut self.list[index as usize];
            group.weight = group.weight.min(capacity.max(STOPPED_WEIGHT));
        }
    }

    /// Raises each group's weight gradually towards the capacity of its worst member, and a new group's
    /// at once. `capacity` returns the capacity of a member, from 0 to 1.
    pub(crate) fn update_weights(
        &mut self,
        tick: Millis,
        ramp: Millis,
        capacity: impl Fn(u32) -> f32,
    ) {
        let step = tick.as_f64() as f32 / ramp.0.max(1) as f32;
        for group in &mut self.list {
            let worst_capacity = group
                .members
                .iter()
                .map(|member| capacity(*member))
                .fold(1.0, f32::min);
            let recovered = if group.was_running {
                group.weight + step
            } else {
                1.0
            };
            group.weight = recovered.min(worst_capacity.max(STOPPED_WEIGHT));
            group.was_running |= worst_capacity > STOPPED_WEIGHT;
        }
    }
}
