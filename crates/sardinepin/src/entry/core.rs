//! The one loop that owns the balancer: every decision of an entry passes through it.

use sardinepin_common::{Clock, Map, Millis};
use sardinepin_decisions::{
    Arrival, Balancer, Effect, Event, RequestNumber, Settings as BalancerSettings, UpstreamId,
};
use sardinepin_protocol::{Digest, ErrorKind};
use tokio::sync::mpsc;

use crate::link::Identity;
use crate::options::Settings;
use crate::telemetry::count_retry;

/// What the balancer orders for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// Send it to an upstream.
    Send(UpstreamId),
    /// Take it away from the upstream that it waits on.
    Withdraw,
    /// Give the caller its final answer.
    GiveUp {
        /// The reason.
        kind: ErrorKind,
        /// When coming back makes sense.
        retry_after: Millis,
    },
}

/// What the loop is told.
#[derive(Debug)]
enum Input {
    /// A request came, with where its orders go.
    Arrived(Arrival, mpsc::UnboundedSender<Order>),
    /// Something else happened.
    Event(Event),
}

/// The way to the loop.
#[derive(Debug, Clone)]
pub(crate) struct Core {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Core {
    /// Starts the loop.
    ///
    /// Digests that the balancer puts into quarantine come out at the receiver.
    pub(crate) fn start(
        settings: &Settings,
        identity: &Identity,
        clock: Clock,
    ) -> (Self, mpsc::UnboundedReceiver<(Digest, Millis)>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let balancer = Balancer::new(BalancerSettings {
            policy: settings.entry.policy.parse().unwrap_or_default(),
            zone: settings.zone.clone(),
            seed: identity.incarnation.0,
            attempts_max: settings.entry.attempts_max,
            ..BalancerSettings::default()
        });
        let tick = Millis(BalancerSettings::default().tick_ms);
        let (quarantine, quarantined) = mpsc::unbounded_channel();
        let state = CoreLoop {
            quarantine,
            balancer,
            clock,
            orders: Map::default(),
            effects: Vec::new(),
        };
        tokio::spawn(state.run(receiver, tick));
        (Self { inputs }, quarantined)
    }

    /// Hands a request to the balancer; its orders go to `orders`.
    pub(crate) fn arrive(&self, arrival: Arrival, orders: mpsc::UnboundedSender<Order>) {
        let _ = self.inputs.send(Input::Arrived(arrival, orders));
    }

    /// Tells the balancer what happened.
    pub(crate) fn tell(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }
}

#[derive(Debug)]
struct CoreLoop {
    quarantine: mpsc::UnboundedSender<(Digest, Millis)>,
    balancer: Balancer,
    clock: Clock,
    orders: Map<RequestNumber, mpsc::UnboundedSender<Order>>,
    effects: Vec<Effect>,
}

impl CoreLoop {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>, tick: Millis) {
        let mut ticks = tokio::time::interval(tick.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                _ = ticks.tick() => self.decide(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Arrived(arrival, orders) => {
                self.orders.insert(arrival.request, orders);
                self.decide(Event::Arrived(arrival));
            }
            Input::Event(event) => {
                let gone = ends_request(&event);
                self.decide(event);
                if let Some(ticket) = gone {
                    self.orders.remove(&ticket);
                }
            }
        }
    }

    fn decide(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.balancer.handle(self.clock.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
    }

    fn order(&self, ticket: RequestNumber, order: Order) {
        if let Some(orders) = self.orders.get(&ticket) {
            let _ = orders.send(order);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send {
                request: ticket,
                upstream,
                retry_cause,
            } => {
                if let Some(kind) = retry_cause {
                    count_retry(kind);
                }
                self.order(ticket, Order::Send(upstream));
            }
            Effect::Withdraw {
                request: ticket, ..
            } => self.order(ticket, Order::Withdraw),
            Effect::GiveUp {
                request: ticket,
                kind,
                retry_after,
            } => {
                if let Some(orders) = self.orders.remove(&ticket) {
                    let _ = orders.send(Order::GiveUp { kind, retry_after });
                }
            }
            Effect::Quarantine {
                digest,
                remaining: left,
            } => {
                let _ = self.quarantine.send((digest, left));
            }
        }
    }
}

/// Returns the request that needs no more orders after this event.
fn ends_request(event: &Event) -> Option<RequestNumber> {
    match event {
        Event::HungUp(ticket) => Some(*ticket),
        Event::Ended {
            request: ticket,
            end: sardinepin_decisions::AttemptEnd::Complete,
            ..
        } => Some(*ticket),
        _ => None,
    }
}
