//! The two-phase commit of a map switch, for engines that keep a gate: no step runs on two maps,
//! and no rank waits for ever once faults stop.

mod actions;
mod search;
mod state;

pub use search::{Bounds, SearchResult, explore};
