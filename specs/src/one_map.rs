//! The map switch: no step runs on two maps, and no rank waits for ever once faults stop.

mod actions;
mod search;
mod world;

pub use search::{Bounds, Report, explore};
