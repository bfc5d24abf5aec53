//! Tests of the balancer, fed with events by a small driver.

mod baselines;
mod driver;
