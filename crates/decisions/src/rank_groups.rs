//! Rank groups: each is judged by its worst member.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

/// The weight of a group that cannot advance.
pub(crate) const STOPPED_WEIGHT: f32 = 0.02;

/// The rank groups and how much each is used.
#[derive(Debug, Default)]
pub(crate) struct RankGroups {
    list: Vec<Group>,
    names: Map<Arc<str>, u32>,
}

#[derive(Debug)]
struct Group {
    members: Vec<u32>,
    /// From [`STOPPED`] to 1.
    weight: f32,
    /// Whether it has ever been able to advance, as far as is known here.
    was_running: bool,
}

impl RankGroups {
    /// Forgets the members of all groups, to add them anew.
    pub(crate) fn clear_members(&mut self) {
        for group in &mut self.list {
            group.members = Vec::new();
        }
    }

    /// Adds the upstream at `slot` to a group and returns the group's number.
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

    /// Lowers a group at once to what one member bears.
    pub(crate) fn cap_weight(&mut self, group: Option<u32>, capacity: f32) {
        if let Some(index) = group {
            let group = &mut self.list[index as usize];
            group.weight = group.weight.min(capacity.max(STOPPED_WEIGHT));
        }
    }

    /// Lets each group come back gradually, and a new one at once; `bearable` judges a member, from 0 to 1.
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
