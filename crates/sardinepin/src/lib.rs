//! The load balancer: its settings and the roles of its one binary.

pub mod agent;
mod link;
pub mod options;
mod stop;
