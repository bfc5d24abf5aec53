//! Model checks of the core protocols, over the product's own state machines.

pub mod attempt;
pub mod claims;
pub mod config_spread;
pub mod explore;
pub mod held_switch;
pub mod one_map;
