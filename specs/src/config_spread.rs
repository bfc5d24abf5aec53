//! Write, spread, restart and stale read of the configuration.
//!
//! Nodes list, watch and fetch from each other; every answer is made at one time and may be taken in
//! at a later one, and the platform may show any older state. What a node holds at a revision must
//! be what the platform held there, and within a life no revision goes down.

mod state;
mod steps;

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

pub use state::{Fault, State, World};
pub use steps::{Step, Variant};

use steps::successors;

/// The bounds of a check.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many nodes there are.
    pub nodes: usize,
    /// How many writes of the script the platform accepts.
    pub writes: usize,
    /// How many answers may be under way at once.
    pub flights: usize,
    /// How many times a node may restart.
    pub restarts: u8,
}

/// Explores every state and returns how many there are, or the shortest way to a fault.
///
/// # Errors
///
/// Returns the steps to a state that shows a fault, with that fault.
pub fn check(bounds: Bounds, variant: Variant) -> Result<usize, (Vec<Step>, Fault)> {
    let world = World::new(bounds);
    let explored = Cell::new(0);
    let next = |state: &State| {
        explored.set(explored.get() + 1);
        successors(&world, variant, state)
    };
    let start = State::new(bounds.nodes);
    match bfs(&start, next, |state| state.fault(&world).is_some()) {
        Some(path) => {
            let steps = path.iter().filter_map(|state| state.last).collect();
            let fault = path.last().and_then(|state| state.fault(&world));
            Err((steps, fault.unwrap_or(Fault::Lost)))
        }
        None => Ok(explored.get()),
    }
}
