//! Model checks of the core protocols: every reachable state of a bounded system is explored, with
//! the product's own state machines.

pub mod attempts;
pub mod claims;
pub mod config_sync;
pub mod explorer;
pub mod held_switch;
pub mod two_phase_switch;
