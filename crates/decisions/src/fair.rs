//! A weighted fair queue by organisation (start-time fair queueing).

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::events::RequestNumber;

/// Virtual time for one unit of cost at a share of one.
const SCALE: u64 = 1 << 10;

/// What is left of the largest sum of shares after a tick, as a factor.
const CROWD_FADE: f32 = 0.98;

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    /// The request.
    pub(crate) ticket: RequestNumber,
    /// The expected work.
    pub(crate) cost: u32,
    /// When its deadline passes.
    pub(crate) deadline: Millis,
}

/// Requests of one class, served in proportion to the shares of their organisations.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Requests that were sent before and go ahead of the others.
    returned: VecDeque<Waiting>,
    flows: Vec<Flow>,
    names: Map<Arc<str>, u32>,
    /// The start tag of the first request of each organisation that waits.
    order: BTreeSet<(u64, u32)>,
    /// The start tag of the request that was served last.
    clock: u64,
    len: usize,
    cost: u64,
    /// The largest sum of shares of late.
    crowd: f32,
    /// The sum of the shares of the organisations that wait.
    shares: u64,
}

/// One organisation.
#[derive(Debug)]
struct Flow {
    name: Arc<str>,
    share: u32,
    start: u64,
    finish: u64,
    cost: u64,
    queue: VecDeque<Waiting>,
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
        self.flow_of(name).map_or(0, |flow| flow.queue.len())
    }

    /// Returns how many of `max` places an organisation may take, were it to wait as well.
    pub(crate) fn places(&self, name: &str, share: u32, max: usize) -> usize {
        let waits = self.len_of(name) > 0;
        let others = self.shares
            - if waits {
                u64::from(share).min(self.shares)
            } else {
                0
            };
        let own = u64::from(share.max(1));
        (max as u64 * own / (others + own)) as usize
    }

    /// Returns the cost that is served before a new request of an organisation is.
    ///
    /// Organisations that do not wait right now will come between, so those of late count as well.
    pub(crate) fn ahead(&self, name: &str, share: u32, cost: u32) -> f32 {
        let own = self.flow_of(name).map_or(0, |flow| flow.cost) + u64::from(cost);
        let rounds = own as f32 / share.max(1) as f32;
        rounds * self.crowd.max(self.shares as f32)
    }

    /// Adds a request at the end of its organisation's line.
    pub(crate) fn push(&mut self, name: &Arc<str>, share: u32, waiting: Waiting) {
        let at = self.flow_at(name);
        let flow = &mut self.flows[at as usize];
        self.len += 1;
        self.cost += u64::from(waiting.cost);
        flow.cost += u64::from(waiting.cost);
        flow.queue.push_back(waiting);
        if flow.queue.len() == 1 {
            flow.share = share.max(1);
            flow.start = flow.finish.max(self.clock);
            self.shares += u64::from(flow.share);
            self.order.insert((flow.start, at));
        }
    }

    /// Adds a request that was sent before; it was charged then.
    pub(crate) fn push_returned(&mut self, waiting: Waiting) {
        self.len += 1;
        self.cost += u64::from(waiting.cost);
        self.returned.push_back(waiting);
    }

    /// Returns the first request that was sent before, and the one whose organisation's turn it is.
    pub(crate) fn heads(&self) -> [Option<Waiting>; 2] {
        let fair = self
            .order
            .first()
            .and_then(|(_, at)| self.flows[*at as usize].queue.front());
        [self.returned.front().copied(), fair.copied()]
    }

    /// Takes out a request that [`FairQueue::heads`] has returned and charges its organisation.
    pub(crate) fn pop(&mut self, ticket: RequestNumber) -> Option<Waiting> {
        if self
            .returned
            .front()
            .is_some_and(|one| one.ticket == ticket)
        {
            let first = self.returned.pop_front()?;
            self.discount(first.cost);
            return Some(first);
        }
        let (start, at) = self.order.pop_first()?;
        let flow = &mut self.flows[at as usize];
        let first = flow.queue.pop_front()?;
        self.clock = start;
        flow.finish = start + u64::from(first.cost.max(1)) * SCALE / u64::from(flow.share);
        flow.cost -= u64::from(first.cost);
        if flow.queue.is_empty() {
            self.shares -= u64::from(flow.share);
        } else {
            flow.start = flow.finish;
            self.order.insert((flow.start, at));
        }
        self.discount(first.cost);
        Some(first)
    }

    /// Takes out a request that is given up, without a charge.
    pub(crate) fn remove(&mut self, name: &str, ticket: RequestNumber) {
        if let Some(at) = self.returned.iter().position(|one| one.ticket == ticket) {
            if let Some(gone) = self.returned.remove(at) {
                self.discount(gone.cost);
            }
            return;
        }
        let Some(&at) = self.names.get(name) else {
            return;
        };
        let flow = &mut self.flows[at as usize];
        let Some(place) = flow.queue.iter().position(|one| one.ticket == ticket) else {
            return;
        };
        let Some(gone) = flow.queue.remove(place) else {
            return;
        };
        flow.cost -= u64::from(gone.cost);
        if flow.queue.is_empty() {
            self.shares -= u64::from(flow.share);
            self.order.remove(&(flow.start, at));
        }
        self.discount(gone.cost);
    }

    /// Lets the largest sum of shares fade to the present one.
    pub(crate) fn tick(&mut self) {
        self.crowd = (self.crowd * CROWD_FADE).max(self.shares as f32);
    }

    /// Calls `visit` with each request that waits and the cost that is served before it is done.
    pub(crate) fn each(&self, mut visit: impl FnMut(&Waiting, f32)) {
        let mut ahead = 0.0;
        for waiting in &self.returned {
            ahead += waiting.cost as f32;
            visit(waiting, ahead);
        }
        let total = self.cost as f32;
        for (_, at) in &self.order {
            let flow = &self.flows[*at as usize];
            let factor = self.shares as f32 / flow.share as f32;
            let mut own = 0.0;
            for waiting in &flow.queue {
                own += waiting.cost as f32;
                visit(waiting, (own * factor).min(total));
            }
        }
    }

    /// Forgets the organisations that wait for nothing and owe nothing.
    pub(crate) fn forget(&mut self) {
        let quiet = self.order.is_empty();
        let clock = self.clock;
        let idle = |flow: &Flow| flow.queue.is_empty() && (quiet || flow.finish <= clock);
        if !self.flows.iter().any(idle) {
            return;
        }
        let mut kept: Vec<Flow> = std::mem::take(&mut self.flows);
        kept.retain(|flow| !idle(flow));
        kept.shrink_to_fit();
        self.names = Map::default();
        self.order.clear();
        for (at, flow) in kept.iter().enumerate() {
            self.names.insert(Arc::clone(&flow.name), at as u32);
            if !flow.queue.is_empty() {
                self.order.insert((flow.start, at as u32));
            }
        }
        self.flows = kept;
    }

    fn flow_of(&self, name: &str) -> Option<&Flow> {
        self.names.get(name).map(|at| &self.flows[*at as usize])
    }

    fn flow_at(&mut self, name: &Arc<str>) -> u32 {
        if let Some(at) = self.names.get(name) {
            return *at;
        }
        let flow = Flow {
            name: Arc::clone(name),
            share: 1,
            start: 0,
            finish: 0,
            cost: 0,
            queue: VecDeque::new(),
        };
        let at = self.flows.len() as u32;
        self.flows.push(flow);
        self.names.insert(Arc::clone(name), at);
        at
    }

    fn discount(&mut self, cost: u32) {
        self.len -= 1;
        self.cost -= u64::from(cost);
    }
}
