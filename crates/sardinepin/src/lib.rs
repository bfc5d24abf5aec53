//! The load balancer: its settings and the roles of its one binary.

pub mod agent;
pub mod control;
pub mod entry;
mod link;
pub mod logs;
pub mod options;
mod stop;
pub mod telemetry;
