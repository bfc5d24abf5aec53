//! The classes of one service: urgent first without starving the others, those by weight.

use std::sync::Arc;

use crate::estimate::DrainRate;
use crate::fair::FairQueue;

/// The class that goes before all others.
const URGENT: &str = "urgent";

/// Virtual time for one unit of cost at a weight of one.
const SCALE: u64 = 1 << 10;

/// One class of requests.
#[derive(Debug)]
pub(crate) struct Class {
    /// The name.
    pub(crate) name: Arc<str>,
    /// The weight among the classes that are not urgent.
    pub(crate) weight: u32,
    /// The requests that wait.
    pub(crate) queue: FairQueue,
    /// How fast the queue drains.
    pub(crate) drain: DrainRate,
    finish: u64,
}

/// All classes of one service.
#[derive(Debug, Default)]
pub(crate) struct Classes {
    list: Vec<Class>,
    /// How many urgent requests have gone ahead of others that wait.
    run: u32,
    clock: u64,
}

impl Classes {
    /// Returns whether any request waits.
    pub(crate) fn waits(&self) -> bool {
        self.list.iter().any(|class| class.queue.len() > 0)
    }

    /// Returns the number of the class of that name, which is made if it is new.
    pub(crate) fn at(&mut self, name: &Arc<str>, weight: u32) -> usize {
        if let Some(at) = self.list.iter().position(|class| class.name == *name) {
            self.list[at].weight = weight.max(1);
            return at;
        }
        self.list.push(Class {
            name: Arc::clone(name),
            weight: weight.max(1),
            queue: FairQueue::default(),
            drain: DrainRate::default(),
            finish: 0,
        });
        self.list.len() - 1
    }

    /// Returns a class.
    pub(crate) fn class(&mut self, at: usize) -> &mut Class {
        &mut self.list[at]
    }

    /// Returns all classes.
    pub(crate) fn all(&mut self) -> impl Iterator<Item = &mut Class> {
        self.list.iter_mut()
    }

    /// Returns the classes to serve from, the one whose turn it is first.
    pub(crate) fn order(&self, urgent_run: u32) -> [Option<usize>; 2] {
        let urgent = self.waiting().find(|at| self.is_urgent(*at));
        let other = self
            .waiting()
            .filter(|at| !self.is_urgent(*at))
            .min_by_key(|at| self.start(*at));
        if urgent.is_some() && other.is_some() && self.run >= urgent_run {
            [other, urgent]
        } else {
            [urgent, other]
        }
    }

    /// Charges a class for a request that was served from it.
    pub(crate) fn served(&mut self, at: usize, cost: u32) {
        let others = self.waiting().any(|one| !self.is_urgent(one));
        let start = self.start(at);
        let class = &mut self.list[at];
        class.drain.sent(cost);
        if &*class.name == URGENT {
            self.run = if others { self.run + 1 } else { 0 };
            return;
        }
        self.run = 0;
        self.clock = start;
        class.finish = start + u64::from(cost.max(1)) * SCALE / u64::from(class.weight);
    }

    fn waiting(&self) -> impl Iterator<Item = usize> {
        let list = &self.list;
        (0..list.len()).filter(|at| list[*at].queue.len() > 0)
    }

    fn start(&self, at: usize) -> u64 {
        self.list[at].finish.max(self.clock)
    }

    /// Returns whether a class goes before all others.
    pub(crate) fn is_urgent(&self, at: usize) -> bool {
        &*self.list[at].name == URGENT
    }
}
