//! Model checks of the core protocols, over the product's own state machines.

pub mod config_spread;
