//! The balancer, which turns events into effects under the configured policy.

use std::fmt;

use sardinepin_common::Millis;

use crate::baseline::{Baseline, Selection};
use crate::events::{Effect, Event};
use crate::scheduler::Scheduler;
use crate::settings::{Policy, Settings};

/// A balancing policy.
pub(crate) trait Decide: fmt::Debug + Send {
    /// Handles one event and appends the resulting effects to `effects`.
    fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>);
}

/// Decides which upstream each request is sent to, and which requests are given up.
#[derive(Debug)]
pub struct Balancer {
    policy: Box<dyn Decide>,
}

impl Balancer {
    /// Creates a balancer without upstreams; [`Event::Upstreams`] adds them.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let policy: Box<dyn Decide> = match settings.policy {
            Policy::RoundRobin => Box::new(Baseline::new(settings, Selection::RoundRobin)),
            Policy::LeastInFlight => Box::new(Baseline::new(settings, Selection::LeastInFlight)),
            Policy::Sardinepin => Box::new(Scheduler::new(settings)),
        };
        Self { policy }
    }

    /// Handles one event and appends the resulting effects to `effects`.
    pub fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        self.policy.handle(now, event, effects);
    }
}
