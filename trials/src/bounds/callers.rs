//! A model of callers: when they send, to which sender, and when they come again.

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng};

use crate::bounds::disturbance::Kind;
use crate::bounds::record::RequestId;
use crate::bounds::upstreams::ServiceIndex;

/// How long a caller waits.
pub(super) const DEADLINE: Millis = Millis(8_000);

/// A caller comes again only if it is asked back within the time left divided by this.
const RETURN_DIVISOR: u64 = 3;

/// How many senders a caller tries until it gives up.
const PICKS: usize = 3;

/// A request whose caller may come again.
#[derive(Debug, Clone, Copy)]
struct Returning {
    service: ServiceIndex,
    deadline: Millis,
}

/// The callers of all services.
#[derive(Debug)]
pub(super) struct Callers {
    /// By service, the requests in a second.
    rates: Vec<f64>,
    /// By service, the part of a millisecond until the next call.
    gaps: Vec<f64>,
    burst: (Millis, f64),
    repeating_until: Millis,
    /// Until when callers use the first or the second half of the senders only.
    moved: Option<(Millis, usize)>,
    /// The requests that may come again.
    returning: Map<RequestId, Returning>,
}

impl Callers {
    /// Creates callers that send so many requests in a second to each service.
    pub(super) fn new(rates: Vec<f64>) -> Self {
        Self {
            gaps: vec![0.0; rates.len()],
            rates,
            burst: (Millis::ZERO, 1.0),
            repeating_until: Millis::ZERO,
            moved: None,
            returning: Map::default(),
        }
    }

    /// Takes up a disturbance of callers.
    pub(super) fn disturb(&mut self, kind: Kind, until: Millis, offset: usize) {
        match kind {
            Kind::Burst { factor } => self.burst = (until, factor),
            Kind::RepeatingCallers => self.repeating_until = until,
            Kind::MovingCallers => self.moved = Some((until, offset % 2)),
            _ => {}
        }
    }

    /// Returns the time until the next call to a service.
    pub(super) fn gap(&mut self, now: Millis, service: ServiceIndex, rng: &mut Rng) -> Millis {
        let factor = if now < self.burst.0 {
            self.burst.1
        } else {
            1.0
        };
        let mean = 1_000.0 / (self.rates[service] * factor);
        let gap = &mut self.gaps[service];
        *gap += -mean * (1.0 - rng.random::<f64>()).ln();
        let whole = gap.floor();
        *gap -= whole;
        Millis(whole as u64)
    }

    /// Records a request whose caller may come again.
    pub(super) fn expect_return(&mut self, now: Millis, request: RequestId, service: ServiceIndex) {
        let deadline = now + DEADLINE;
        self.returning
            .insert(request, Returning { service, deadline });
    }

    /// Returns the service that a refused caller comes again to, and after which time; `None` if it does not.
    pub(super) fn comes_again(
        &mut self,
        now: Millis,
        request: RequestId,
        retry_after: Millis,
    ) -> Option<(ServiceIndex, Millis)> {
        let caller = self.returning.remove(&request)?;
        let wait = match now < self.repeating_until {
            true => Millis(1),
            false => retry_after,
        };
        let longest = caller.deadline.since(now).0 / RETURN_DIVISOR;
        (wait.0 <= longest).then_some((caller.service, wait))
    }

    /// Picks the sender that a caller reaches; a few callers meet one that is down.
    pub(super) fn pick_sender(
        &self,
        now: Millis,
        total: usize,
        is_up: impl Fn(usize) -> bool,
        rng: &mut Rng,
    ) -> usize {
        let mut sender = 0;
        for _ in 0..PICKS {
            sender = rng.random_range(0..total);
            if let Some((until, half)) = self.moved
                && now < until
            {
                sender = sender / 2 + half * (total / 2);
            }
            if is_up(sender) {
                break;
            }
        }
        sender
    }
}
