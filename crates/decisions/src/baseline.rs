//! Two baseline policies for comparison: round robin and least in flight.
//!
//! They have one bounded first-in, first-out queue per service and a fixed concurrency limit per
//! upstream, and retry on another upstream up to the maximum number of attempts.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::{ErrorKind, UpstreamState};

use crate::balancer::Decide;
use crate::events::{Arrival, AttemptEnd, Effect, Event, RequestNumber, UpstreamId, UpstreamInfo};
use crate::settings::Settings;

/// The retry delay of every request that is given up.
const RETRY_AFTER: Millis = Millis(1_000);

/// How a baseline policy chooses an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Selection {
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest attempts in flight from this entry.
    LeastInFlight,
}

/// A baseline policy.
#[derive(Debug)]
pub(crate) struct Baseline {
    settings: Settings,
    selection: Selection,
    next_index: usize,
    upstreams: Vec<Upstream>,
    open_requests: Map<RequestNumber, Pending>,
    queues: Map<Arc<str>, VecDeque<RequestNumber>>,
}

#[derive(Debug)]
struct Upstream {
    info: UpstreamInfo,
    linked: bool,
    leaving: bool,
    in_flight: u32,
}

#[derive(Debug)]
struct Pending {
    arrival: Arrival,
    attempts: u32,
    last_upstream: Option<UpstreamId>,
    /// The upstream that the request is in flight on.
    current_upstream: Option<UpstreamId>,
    /// Why the last attempt failed.
    last_error: Option<ErrorKind>,
    /// The error of the first attempt that may have run.
    unknown_cause: Option<ErrorKind>,
}

impl Baseline {
    /// Creates a policy without upstreams.
    pub(crate) fn new(settings: Settings, selection: Selection) -> Self {
        Self {
            settings,
            selection,
            next_index: 0,
            upstreams: Vec::new(),
            open_requests: Map::default(),
            queues: Map::default(),
        }
    }

    fn handle_arrival(&mut self, now: Millis, arrival: Arrival, effects: &mut Vec<Effect>) {
        let request = arrival.request;
        let service = Arc::clone(&arrival.service);
        let pending = Pending {
            arrival,
            attempts: 0,
            last_upstream: None,
            current_upstream: None,
            last_error: None,
            unknown_cause: None,
        };
        self.open_requests.insert(request, pending);
        let waiting = self.queues.get(&service).map_or(0, VecDeque::len);
        if waiting >= self.settings.queue.class_max {
            return self.give_up(request, ErrorKind::QueueFull, effects);
        }
        self.queues
            .entry(Arc::clone(&service))
            .or_default()
            .push_back(request);
        self.dispatch(now, &service, effects);
    }

    /// Sends the waiting requests of a service in order while an upstream has capacity.
    fn dispatch(&mut self, now: Millis, service: &Arc<str>, effects: &mut Vec<Effect>) {
        while let Some(request) = self
            .queues
            .get_mut(service)
            .and_then(|queue| queue.front().copied())
        {
            let Some(pending) = self.open_requests.get(&request) else {
                self.drop_front(service);
                continue;
            };
            if pending.arrival.deadline <= now {
                self.drop_front(service);
                self.give_up(request, ErrorKind::TooLate, effects);
                continue;
            }
            if !self
                .upstreams
                .iter()
                .any(|upstream| upstream.accepts_work() && upstream.info.service == *service)
            {
                let kind = pending.last_error.unwrap_or(ErrorKind::NoUpstream);
                self.drop_front(service);
                self.give_up(request, kind, effects);
                continue;
            }
            let Some(index) = self.choose(service, pending.last_upstream) else {
                return;
            };
            self.drop_front(service);
            self.send(request, index, effects);
        }
    }

    fn drop_front(&mut self, service: &Arc<str>) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pop_front();
        }
    }

    fn choose(&self, service: &str, avoid: Option<UpstreamId>) -> Option<usize> {
        self.choose_among(service, avoid)
            .or_else(|| self.choose_among(service, None))
    }

    fn choose_among(&self, service: &str, avoid: Option<UpstreamId>) -> Option<usize> {
        let count = self.upstreams.len();
        let limit = self.settings.concurrency.baseline_limit;
        let fits = |index: &usize| {
            let upstream = &self.upstreams[*index];
            upstream.accepts_work()
                && &*upstream.info.service == service
                && upstream.in_flight < limit
                && Some(upstream.info.id) != avoid
        };
        match self.selection {
            Selection::RoundRobin => (0..count)
                .map(|step| (self.next_index + step) % count)
                .find(fits),
            Selection::LeastInFlight => (0..count)
                .filter(fits)
                .min_by_key(|index| self.upstreams[*index].in_flight),
        }
    }

    fn send(&mut self, request: RequestNumber, index: usize, effects: &mut Vec<Effect>) {
        let (Some(pending), Some(upstream)) = (
            self.open_requests.get_mut(&request),
            self.upstreams.get_mut(index),
        ) else {
            return;
        };
        self.next_index = index + 1;
        upstream.in_flight += 1;
        pending.attempts += 1;
        pending.last_upstream = Some(upstream.info.id);
        pending.current_upstream = Some(upstream.info.id);
        effects.push(Effect::Send {
            request,
            upstream: upstream.info.id,
            retry_cause: pending.last_error,
        });
    }

    fn handle_end(
        &mut self,
        now: Millis,
        request: RequestNumber,
        upstream: UpstreamId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(pending) = self.open_requests.get_mut(&request) {
            pending.current_upstream = None;
            self.update_upstream(upstream, |upstream| {
                upstream.in_flight = upstream.in_flight.saturating_sub(1);
            });
        }
        match end {
            AttemptEnd::Complete => {
                self.open_requests.remove(&request);
            }
            AttemptEnd::NotRun { kind, .. } => self.retry(request, kind, true, effects),
            AttemptEnd::Unknown {
                kind, unresumable, ..
            } => {
                if let Some(pending) = self.open_requests.get_mut(&request) {
                    pending.unknown_cause.get_or_insert(kind);
                    let retryable = pending.arrival.idempotent && !unresumable;
                    self.retry(request, kind, retryable, effects);
                }
            }
        }
        self.dispatch_all(now, effects);
    }

    fn handle_hang_up(&mut self, request: RequestNumber) {
        let Some(pending) = self.open_requests.remove(&request) else {
            return;
        };
        if let Some(upstream) = pending.current_upstream {
            self.update_upstream(upstream, |upstream| {
                upstream.in_flight = upstream.in_flight.saturating_sub(1);
            });
        }
    }

    fn retry(
        &mut self,
        request: RequestNumber,
        kind: ErrorKind,
        retryable: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.open_requests.get_mut(&request) else {
            return;
        };
        pending.last_error = Some(kind);
        if !retryable || pending.attempts >= self.settings.attempts_max {
            return self.give_up(request, kind, effects);
        }
        let service = Arc::clone(&pending.arrival.service);
        self.queues.entry(service).or_default().push_front(request);
    }

    /// Responds to a request with an error. A request that may have run is never reported as not run.
    fn give_up(&mut self, request: RequestNumber, kind: ErrorKind, effects: &mut Vec<Effect>) {
        let unknown_cause = self
            .open_requests
            .remove(&request)
            .and_then(|pending| pending.unknown_cause);
        effects.push(Effect::GiveUp {
            request,
            kind: unknown_cause.unwrap_or(kind),
            retry_after: RETRY_AFTER,
        });
    }

    fn dispatch_all(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let services: Vec<Arc<str>> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| Arc::clone(service))
            .collect();
        for service in services {
            self.dispatch(now, &service, effects);
        }
    }

    fn replace_upstreams(&mut self, infos: Vec<UpstreamInfo>) {
        let mut old: Map<UpstreamId, Upstream> = std::mem::take(&mut self.upstreams)
            .into_iter()
            .map(|upstream| (upstream.info.id, upstream))
            .collect();
        for info in infos {
            let upstream = match old.remove(&info.id) {
                Some(upstream) => Upstream { info, ..upstream },
                None => Upstream {
                    info,
                    linked: false,
                    leaving: false,
                    in_flight: 0,
                },
            };
            self.upstreams.push(upstream);
        }
    }

    fn update_upstream(&mut self, id: UpstreamId, change: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) = self
            .upstreams
            .iter_mut()
            .find(|upstream| upstream.info.id == id)
        {
            change(upstream);
        }
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, effects),
            Event::HungUp(request) => self.handle_hang_up(request),
            Event::Ended {
                request,
                upstream,
                end,
            } => self.handle_end(now, request, upstream, end, effects),
            Event::Link { upstream, up } => self.update_upstream(upstream, |upstream| {
                upstream.linked = up;
                upstream.leaving &= !up;
            }),
            Event::Leaving(upstream) => {
                self.update_upstream(upstream, |upstream| upstream.leaving = true)
            }
            Event::Upstreams(infos) => self.replace_upstreams(infos),
            Event::Tick => self.dispatch_all(now, effects),
            Event::FirstByte { .. }
            | Event::Load { .. }
            | Event::PrefixCache { .. }
            | Event::Quarantined(_)
            | Event::QuarantineLifted(_)
            | Event::Services(_)
            | Event::Entries(_) => {}
        }
    }
}

impl Upstream {
    fn accepts_work(&self) -> bool {
        self.linked
            && !self.leaving
            && self.info.state == UpstreamState::Active
            && !self.info.evacuated
    }
}
