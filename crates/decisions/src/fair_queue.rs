//! A weighted fair queue by organisation (start-time fair queueing).

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::events::RequestNumber;

/// Virtual time for one unit of cost at a share of one.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

/// What is left of the largest sum of shares after a tick, as a factor.
const PEAK_DECAY: f32 = 0.98;

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedRequest {
    /// The request.
    pub(crate) request: RequestNumber,
    /// The expected work.
    pub(crate) cost: u32,
    /// When its deadline passes.
    pub(crate) deadline: Millis,
}

/// Requests of one class, served in proportion to the shares of their organisations.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Requests that were sent before and go ahead of the others.
    retries: VecDeque<QueuedRequest>,
    flows: Vec<Flow>,
    indices: Map<Arc<str>, u32>,
    /// The start tag of the first request of each organisation that waits.
    start_tags: BTreeSet<(u64, u32)>,
    /// The start tag of the request that was served last.
    virtual_time: u64,
    len: usize,
    cost: u64,
    /// The largest sum of shares of late.
    peak_weight: f32,
    /// The sum of the shares of the organisations that wait.
    active_weight: u64,
}

/// One organisation.
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
    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost of all requests that wait.
    pub(crate) fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns how many requests of an organisation wait.
    pub(crate) fn len_of(&self, name: &str) -> usize {
        self.flow(name).map_or(0, |flow| flow.queue.len())
    }

    /// Returns how many of `max` places an organisation may take, were it to wait as well.
    pub(crate) fn quota(&self, name: &str, weight: u32, max: usize) -> usize {
        let waits = self.len_of(name) > 0;
        let others = self.active_weight
            - if waits {
                u64::from(weight).min(self.active_weight)
            } else {
                0
            };
        let own = u64::from(weight.max(1));
        (max as u64 * own / (others + own)) as usize
    }

    /// Returns the cost that is served before a new request of an organisation is.
    ///
    /// Organisations that do not wait right now will come between, so those of late count as well.
    pub(crate) fn cost_ahead(&self, name: &str, weight: u32, cost: u32) -> f32 {
        let own = self.flow(name).map_or(0, |flow| flow.cost) + u64::from(cost);
        let rounds = own as f32 / weight.max(1) as f32;
        rounds * self.peak_weight.max(self.active_weight as f32)
    }

    /// Adds a request at the end of its organisation's line.
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

    /// Adds a request that was sent before; it was charged then.
    pub(crate) fn push_retry(&mut self, queued: QueuedRequest) {
        self.len += 1;
        self.cost += u64::from(queued.cost);
        self.retries.push_back(queued);
    }

    /// Returns the first request that was sent before, and the one whose organisation's turn it is.
    pub(crate) fn heads(&self) -> [Option<QueuedRequest>; 2] {
        let fair = self
            .start_tags
            .first()
            .and_then(|(_, index)| self.flows[*index as usize].queue.front());
        [self.retries.front().copied(), fair.copied()]
    }

    /// Takes out a request that [`FairQueue::heads`] has returned and charges its organisation.
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

    /// Takes out a request that is given up, without a charge.
    pub(crate) fn remove(&mut self, name: &str, request: RequestNumber) {
        if let Some(index) = self
            .retries
            .iter()
            .position(|queued| queued.request == request)
        {
            if let Some(gone) = self.retries.remove(index) {
                self.subtract(gone.cost);
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
        let Some(gone) = flow.queue.remove(position) else {
            return;
        };
        flow.cost -= u64::from(gone.cost);
        if flow.queue.is_empty() {
            self.active_weight -= u64::from(flow.weight);
            self.start_tags.remove(&(flow.start_tag, index));
        }
        self.subtract(gone.cost);
    }

    /// Lets the largest sum of shares fade to the present one.
    pub(crate) fn decay_peak(&mut self) {
        self.peak_weight = (self.peak_weight * PEAK_DECAY).max(self.active_weight as f32);
    }

    /// Calls `visit` with each request that waits and the cost that is served before it is done.
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

    /// Forgets the organisations that wait for nothing and owe nothing.
    pub(crate) fn remove_idle(&mut self) {
        let quiet = self.start_tags.is_empty();
        let clock = self.virtual_time;
        let idle = |flow: &Flow| flow.queue.is_empty() && (quiet || flow.finish_tag <= clock);
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
