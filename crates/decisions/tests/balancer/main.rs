//! Tests of the balancer, fed with events by a small driver.

mod baselines;
mod driver;
mod invariants;
mod limits;
mod overload;
mod quarantine;
mod retry;
mod routing;
