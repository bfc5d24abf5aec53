//! A weighted fair queue across organisations (start-time fair queueing).

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::events::RequestNumber;

/// The virtual time per unit of cost at a weight of one.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

/// The factor on the peak weight after each tick.
const PEAK_DECAY: f32 = 0.98;

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedRequest {
    /// The number of the request.
    pub(crate) request: RequestNumber,
    /// The expected work, in tokens; 1 for plain requests.
    pub(crate) cost: u32,
    /// When its deadline passes.
    pub(crate) deadline: Millis,
}

/// The queue of one class, served in proportion to the weights of the organisations.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Requests that wait for a retry, which go ahead of the others.
    retries: VecDeque<QueuedRequest>,
    flows: Vec<Flow>,
    indices: Map<Arc<str>, u32>,
    /// The start tag of the first request of each backlogged flow, with the flow's position.
    start_tags: BTreeSet<(u64, u32)>,
    /// The start tag of the first-attempt request that was served last.
    virtual_time: u64,
    len: usize,
    cost: u64,
    /// The recent peak of `active_weight`, which decays with each tick.
    peak_weight: f32,
    /// The sum of the weights of the backlogged flows.
    active_weight: u64,
}

/// The queue of one organisation.
#[derive(Debug)]
struct Flow {
    name: Arc<str>,
    weight: u32,
    start_tag: u64,
    finish_tag: u64,
    cost: u64,
    queue: VecDeque<QueuedRequest>,
}

impl FairQueue {
    /// Returns the number of queued requests, including retries.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost of all queued requests, including retries.
    pub(crate) fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the number of an organisation's queued requests, without retries.
    pub(crate) fn len_of(&self, name: &str) -> usize {
        self.flow(name).map_or(0, |flow| flow.queue.len())
    }

    /// Returns an organisation's quota of `max` queue places, by its weight among the backlogged flows
    /// and itself.
    pub(crate) fn quota(&self, name: &str, weight: u32, max: usize) -> usize {
        let backlogged = self.len_of(name) > 0;
        let others = self.active_weight
            - if backlogged {
                u64::from(weight).min(self.active_weight)
            } else {
                0
            };
        let own = u64::from(weight.max(1));
        (max as u64 * own / (others + own)) as usize
    }

    /// Returns the cost that is served until a new request of an organisation has been served.
    ///
    /// Recently backlogged organisations count as well, because they are likely to queue requests in
    /// between.
    pub(crate) fn cost_ahead(&self, name: &str, weight: u32, cost: u32) -> f32 {
        let own = self.flow(name).map_or(0, |flow| flow.cost) + u64::from(cost);
        let rounds = own as f32 / weight.max(1) as f32;
        rounds * self.peak_weight.max(self.active_weight as f32)
    }

    /// Adds a request at the end of its organisation's flow.
    pub(crate) fn push(&mut self, name: &Arc<str>, weight: u32, queued: QueuedRequest) {
        let index = self.flow_index(name);
        let flow = &mut self.flows[index as usize];
        self.len += 1;
        self.cost += u64::from(queued.cost);
        flow.cost += u64::from(queued.cost);
        flow.queue.push_back(queued);
        if flow.queue.len() == 1 {
            flow.weight = weight.max(1);
            flow.start_tag = flow.finish_tag.max(self.virtual_time);
            self.active_weight += u64::from(flow.weight);
            self.start_tags.insert((flow.start_tag, index));
        }
    }

    /// Adds a request that waits for a retry. Its flow was charged for the first attempt.
    pub(crate) fn push_retry(&mut self, queued: QueuedRequest) {
        self.len += 1;
        self.cost += u64::from(queued.cost);
        self.retries.push_back(queued);
    }

    /// Returns the first retry and the first request of the flow whose turn it is.
    pub(crate) fn heads(&self) -> [Option<QueuedRequest>; 2] {
        let fair = self
            .start_tags
            .first()
            .and_then(|(_, index)| self.flows[*index as usize].queue.front());
        [self.retries.front().copied(), fair.copied()]
    }

    /// Removes a request returned by [`FairQueue::heads`] and charges its flow unless it is a retry.
    pub(crate) fn pop(&mut self, request: RequestNumber) -> Option<QueuedRequest> {
        if self
            .retries
            .front()
            .is_some_and(|queued| queued.request == request)
        {
            let first = self.retries.pop_front()?;
            self.subtract(first.cost);
            return Some(first);
        }
        let (start, index) = self.start_tags.pop_first()?;
        let flow = &mut self.flows[index as usize];
        let first = flow.queue.pop_front()?;
        self.virtual_time = start;
        flow.finish_tag =
            start + u64::from(first.cost.max(1)) * VIRTUAL_TIME_SCALE / u64::from(flow.weight);
        flow.cost -= u64::from(first.cost);
        if flow.queue.is_empty() {
            self.active_weight -= u64::from(flow.weight);
        } else {
            flow.start_tag = flow.finish_tag;
            self.start_tags.insert((flow.start_tag, index));
        }
        self.subtract(first.cost);
        Some(first)
    }

    /// Removes a request that is given up or isolated, without charging its flow.
    pub(crate) fn remove(&mut self, name: &str, request: RequestNumber) {
        if let Some(index) = self
            .retries
            .iter()
            .position(|queued| queued.request == request)
        {
            if let Some(removed) = self.retries.remove(index) {
                self.subtract(removed.cost);
            }
            return;
        }
        let Some(&index) = self.indices.get(name) else {
            return;
        };
        let flow = &mut self.flows[index as usize];
        let Some(position) = flow
            .queue
            .iter()
            .position(|queued| queued.request == request)
        else {
            return;
        };
        let Some(removed) = flow.queue.remove(position) else {
            return;
        };
        flow.cost -= u64::from(removed.cost);
        if flow.queue.is_empty() {
            self.active_weight -= u64::from(flow.weight);
            self.start_tags.remove(&(flow.start_tag, index));
        }
        self.subtract(removed.cost);
    }

    /// Decays the peak weight towards the current active weight.
    pub(crate) fn decay_peak(&mut self) {
        self.peak_weight = (self.peak_weight * PEAK_DECAY).max(self.active_weight as f32);
    }

    /// Calls `visit` with each queued request and the cost that is served until it has been served.
    pub(crate) fn for_each(&self, mut visit: impl FnMut(&QueuedRequest, f32)) {
        let mut ahead = 0.0;
        for queued in &self.retries {
            ahead += queued.cost as f32;
            visit(queued, ahead);
        }
        let total = self.cost as f32;
        for (_, index) in &self.start_tags {
            let flow = &self.flows[*index as usize];
            let factor = self.active_weight as f32 / flow.weight as f32;
            let mut own = 0.0;
            for queued in &flow.queue {
                own += queued.cost as f32;
                visit(queued, (own * factor).min(total));
            }
        }
    }

    /// Removes the empty flows whose finish tag has passed, or all of them if nothing is backlogged.
    pub(crate) fn remove_idle(&mut self) {
        let all_empty = self.start_tags.is_empty();
        let virtual_time = self.virtual_time;
        let idle =
            |flow: &Flow| flow.queue.is_empty() && (all_empty || flow.finish_tag <= virtual_time);
        if !self.flows.iter().any(idle) {
            return;
        }
        let mut kept: Vec<Flow> = std::mem::take(&mut self.flows);
        kept.retain(|flow| !idle(flow));
        kept.shrink_to_fit();
        self.indices = Map::default();
        self.start_tags.clear();
        for (index, flow) in kept.iter().enumerate() {
            self.indices.insert(Arc::clone(&flow.name), index as u32);
            if !flow.queue.is_empty() {
                self.start_tags.insert((flow.start_tag, index as u32));
            }
        }
        self.flows = kept;
    }

    fn flow(&self, name: &str) -> Option<&Flow> {
        self.indices
            .get(name)
            .map(|index| &self.flows[*index as usize])
    }

    fn flow_index(&mut self, name: &Arc<str>) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let flow = Flow {
            name: Arc::clone(name),
            weight: 1,
            start_tag: 0,
            finish_tag: 0,
            cost: 0,
            queue: VecDeque::new(),
        };
        let index = self.flows.len() as u32;
        self.flows.push(flow);
        self.indices.insert(Arc::clone(name), index);
        index
    }

    fn subtract(&mut self, cost: u32) {
        self.len -= 1;
        self.cost -= u64::from(cost);
    }
}
