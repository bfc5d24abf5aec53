//! The load balancer: its settings and the roles of its one binary.

pub mod options;
