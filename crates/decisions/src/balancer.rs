//! The balancer: events in, orders out, by the policy that the settings name.

use std::fmt;

use sardinepin_common::Millis;

use crate::baseline::{Baseline, Selection};
use crate::events::{Effect, Event};
use crate::scheduler::Scheduler;
use crate::settings::{Policy, Settings};

/// What a policy does with events.
pub(crate) trait Decide: fmt::Debug + Send {
    /// Takes in one event and appends what follows from it to `effects`.
    fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>);
}

/// Decides, request by request, who is served where and who is given up.
#[derive(Debug)]
pub struct Balancer {
    policy: Box<dyn Decide>,
}

impl Balancer {
    /// Makes a balancer without upstreams.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let policy: Box<dyn Decide> = match settings.policy {
            Policy::RoundRobin => Box::new(Baseline::new(settings, Selection::RoundRobin)),
            Policy::LeastInFlight => Box::new(Baseline::new(settings, Selection::LeastInFlight)),
            Policy::Sardinepin => Box::new(Scheduler::new(settings)),
        };
        Self { policy }
    }

    /// Takes in one event and appends what follows from it to `effects`.
    pub fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        self.policy.handle(now, event, effects);
    }
}
