//! The priority classes of one service: urgent requests go first without starving the other classes,
//! which are served by weight.

use std::sync::Arc;

use crate::estimate::DrainRate;
use crate::fair_queue::FairQueue;

/// The class that goes before all others.
const URGENT: &str = "urgent";

/// The virtual time per unit of cost at a weight of one.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

/// One priority class.
#[derive(Debug)]
pub(crate) struct Class {
    /// The name, as given by the rules.
    pub(crate) name: Arc<str>,
    /// The weight among the classes that are not urgent.
    pub(crate) weight: u32,
    /// The queued requests.
    pub(crate) queue: FairQueue,
    /// The drain rate of the queue.
    pub(crate) drain: DrainRate,
    finish_tag: u64,
}

/// All classes of one service.
#[derive(Debug, Default)]
pub(crate) struct Classes {
    list: Vec<Class>,
    /// How many urgent requests in a row went ahead of other classes that wait.
    urgent_streak: u32,
    virtual_time: u64,
}

impl Classes {
    /// Returns whether any request is queued.
    pub(crate) fn has_waiting(&self) -> bool {
        self.list.iter().any(|class| class.queue.len() > 0)
    }

    /// Returns the position of the class with this name, which is added if it is new.
    pub(crate) fn index_or_insert(&mut self, name: &Arc<str>, weight: u32) -> usize {
        if let Some(index) = self.list.iter().position(|class| class.name == *name) {
            self.list[index].weight = weight.max(1);
            return index;
        }
        self.list.push(Class {
            name: Arc::clone(name),
            weight: weight.max(1),
            queue: FairQueue::default(),
            drain: DrainRate::default(),
            finish_tag: 0,
        });
        self.list.len() - 1
    }

    /// Returns the class at a position.
    pub(crate) fn class(&mut self, index: usize) -> &mut Class {
        &mut self.list[index]
    }

    /// Returns all classes.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Class> {
        self.list.iter_mut()
    }

    /// Returns the classes to dispatch from, first the one whose turn it is.
    ///
    /// After `streak_max` urgent requests in a row, another class goes first.
    pub(crate) fn service_order(&self, streak_max: u32) -> [Option<usize>; 2] {
        let urgent = self.backlogged().find(|index| self.is_urgent(*index));
        let other = self
            .backlogged()
            .filter(|index| !self.is_urgent(*index))
            .min_by_key(|index| self.start_tag(*index));
        if urgent.is_some() && other.is_some() && self.urgent_streak >= streak_max {
            [other, urgent]
        } else {
            [urgent, other]
        }
    }

    /// Charges a class for a request that was dispatched from it.
    pub(crate) fn record_served(&mut self, index: usize, cost: u32) {
        let others = self.backlogged().any(|class| !self.is_urgent(class));
        let start = self.start_tag(index);
        let class = &mut self.list[index];
        class.drain.record_dequeue(cost);
        if &*class.name == URGENT {
            self.urgent_streak = if others { self.urgent_streak + 1 } else { 0 };
            return;
        }
        self.urgent_streak = 0;
        self.virtual_time = start;
        class.finish_tag =
            start + u64::from(cost.max(1)) * VIRTUAL_TIME_SCALE / u64::from(class.weight);
    }

    fn backlogged(&self) -> impl Iterator<Item = usize> {
        let list = &self.list;
        (0..list.len()).filter(|index| list[*index].queue.len() > 0)
    }

    fn start_tag(&self, index: usize) -> u64 {
        self.list[index].finish_tag.max(self.virtual_time)
    }

    /// Returns whether a class is the urgent one.
    pub(crate) fn is_urgent(&self, index: usize) -> bool {
        &*self.list[index].name == URGENT
    }
}
