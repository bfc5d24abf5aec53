//! Stand-ins for the systems that sardinepin talks to (platform, engines, plain services), a load
//! client, and deployments of real processes on the loopback interface.

pub mod demo;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod load;
pub mod objects;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod tokens;

mod pause;
mod query;
