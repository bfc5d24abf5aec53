//! The switch of a rank group from one expert map to the next.

pub(crate) mod coordinator;
pub(crate) mod gate;
pub(crate) mod held_switch;
pub(crate) mod messages;
pub(crate) mod rank;
pub(crate) mod settings;
pub(crate) mod since;
pub(crate) mod views;
