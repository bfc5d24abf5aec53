//! The load balancer: its settings, its roles and its command-line tools.

pub mod account;
pub mod admin;
pub mod agent;
pub mod check;
pub mod control;
pub mod ctl;
pub mod entry;
pub mod explain;
mod link;
mod log_lines;
pub mod logs;
mod node;
pub mod options;
mod stop;
pub mod telemetry;
