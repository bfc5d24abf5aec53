//! Tests of the balancer, driven by a test driver that feeds events.

mod baselines;
mod driver;
mod evacuation;
mod invariants;
mod limits;
mod overload;
mod quarantine;
mod retry;
mod routing;
