//! Stand-ins for the systems around sardinepin, a load client, and deployments on loopback.

pub mod demo;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod load;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod tokens;

mod pause;
mod query;
