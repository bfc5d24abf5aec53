//! The switch of a rank group from one expert map to the next.
//!
//! `coordinator`, `rank` and `gate` form a two-phase commit for engines that keep a gate.
//! `held_switch` is the protocol for engines that can hold a step.

pub(crate) mod coordinator;
pub(crate) mod gate;
pub(crate) mod held_switch;
pub(crate) mod ignored_time;
pub(crate) mod messages;
pub(crate) mod rank;
pub(crate) mod settings;
pub(crate) mod views;
