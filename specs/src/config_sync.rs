//! Model of how the configuration reaches the nodes: writes, listings, watches, fetches from peers,
//! restarts and stale reads.
//!
//! Each response is made at one time and may be applied at any later time, and the platform may
//! answer with any older state. The configuration that a node has at a revision must be the one
//! that the platform had at that revision, and a node's revision must not decrease until it
//! restarts.

mod state;
mod steps;

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

pub use state::{Scenario, State, Violation};
pub use steps::{Step, Variant};

use steps::successors;

/// The bounds of a check.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The number of nodes.
    pub nodes: usize,
    /// How many writes of the fixed sequence the platform accepts, at most four.
    pub writes: usize,
    /// How many responses may be in flight at once.
    pub responses: usize,
    /// How many node restarts may happen in total.
    pub restarts: u8,
}

/// Explores every reachable state and returns the number of states.
///
/// # Errors
///
/// Returns a violation and the steps of a shortest path to it, if any state violates an invariant.
pub fn check(bounds: Bounds, variant: Variant) -> Result<usize, (Vec<Step>, Violation)> {
    let scenario = Scenario::new(bounds);
    let explored = Cell::new(0);
    let next = |state: &State| {
        explored.set(explored.get() + 1);
        successors(&scenario, variant, state)
    };
    let initial = State::new(bounds.nodes);
    match bfs(&initial, next, |state| state.violation(&scenario).is_some()) {
        Some(path) => {
            let steps = path.iter().filter_map(|state| state.last_step).collect();
            let violation = path.last().and_then(|state| state.violation(&scenario));
            Err((steps, violation.unwrap_or(Violation::WriteLost)))
        }
        None => Ok(explored.get()),
    }
}
