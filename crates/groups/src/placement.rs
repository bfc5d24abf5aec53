//! Which rank holds which experts of a layer, and when a change of that pays for itself.

pub(crate) mod estimate;
pub(crate) mod full;
pub(crate) mod map;
pub(crate) mod planner;
pub(crate) mod popularity;
pub(crate) mod rebalance;
pub(crate) mod settings;
pub(crate) mod split;
