//! Exhaustive exploration of the states of a bounded model: checks an invariant in every state, and
//! that a goal stays reachable.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// The index of each state, in a hash map whose order is the same in every run.
type StateIndex<S> = HashMap<S, usize, BuildHasherDefault<DefaultHasher>>;

/// A bounded system whose states can be explored.
pub trait Model {
    /// One state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the state in which the exploration starts.
    fn initial_state(&self) -> Self::State;

    /// Returns the states that one transition leads to, injected faults included.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns the states that one transition leads to once injected faults have stopped.
    fn fault_free_successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Describes the invariant that a state violates; `None` if it violates none.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;

    /// Returns whether a state fulfils the liveness goal, which must stay reachable without faults.
    fn is_goal(&self, state: &Self::State) -> bool;
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<S> {
    /// No state violates an invariant, and the goal is reachable from every state.
    Holds {
        /// The number of states.
        states: usize,
    },
    /// A state violates an invariant.
    Violated {
        /// The violated invariant.
        violation: &'static str,
        /// The states on a shortest path to the violation, in order.
        path: Vec<S>,
    },
    /// A state from which the goal cannot be reached, even without further faults.
    Stuck(S),
}

/// Visits every reachable state of a model.
pub fn explore<M: Model>(model: &M) -> Verdict<M::State> {
    let initial = model.initial_state();
    let successors = |state: &M::State| model.successors(state);
    let violates = |state: &M::State| model.violation(state).is_some();
    if let Some(path) = bfs(&initial, successors, violates) {
        let violation = path.last().and_then(|state| model.violation(state));
        return Verdict::Violated {
            violation: violation.unwrap_or_default(),
            path,
        };
    }
    let states: Vec<M::State> = bfs_reach(initial, successors).collect();
    match find_stuck(model, &states) {
        Some(state) => Verdict::Stuck(state),
        None => Verdict::Holds {
            states: states.len(),
        },
    }
}

/// The result of a search for a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Search {
    /// No reachable state violates an invariant.
    Holds {
        /// The number of states.
        states: usize,
    },
    /// A state violates an invariant.
    Violated {
        /// The violated invariant.
        violation: &'static str,
        /// The number of transitions on a shortest path to it.
        transitions: usize,
    },
}

/// Visits every reachable state of a model and remembers only a digest of each, for models that are
/// too large for [`explore`]. Two states with one digest would count as one.
pub fn search<M: Model>(model: &M) -> Search {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let mut visited: HashSet<u64, BuildHasherDefault<DefaultHasher>> = HashSet::default();
    let mut frontier = vec![model.initial_state()];
    let mut transitions = 0;
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for state in frontier {
            if let Some(violation) = model.violation(&state) {
                return Search::Violated {
                    violation,
                    transitions,
                };
            }
            let successors = model.successors(&state).into_iter();
            next.extend(successors.filter(|state| visited.insert(hasher.hash_one(state))));
        }
        frontier = next;
        transitions += 1;
    }
    Search::Holds {
        states: visited.len(),
    }
}

/// Returns a state from which no goal state can be reached without faults.
fn find_stuck<M: Model>(model: &M, states: &[M::State]) -> Option<M::State> {
    let mut indices = StateIndex::default();
    for (index, state) in states.iter().enumerate() {
        indices.insert(state, index);
    }
    let mut predecessors: Vec<Vec<usize>> = vec![Vec::new(); states.len()];
    for (index, state) in states.iter().enumerate() {
        for successor in model.fault_free_successors(state) {
            if let Some(successor) = indices.get(&successor) {
                predecessors[*successor].push(index);
            }
        }
    }
    let mut reaches_goal: Vec<bool> = states.iter().map(|state| model.is_goal(state)).collect();
    let mut unvisited: Vec<usize> = (0..states.len())
        .filter(|index| reaches_goal[*index])
        .collect();
    while let Some(index) = unvisited.pop() {
        for predecessor in std::mem::take(&mut predecessors[index]) {
            if !reaches_goal[predecessor] {
                reaches_goal[predecessor] = true;
                unvisited.push(predecessor);
            }
        }
    }
    reaches_goal
        .iter()
        .position(|reaches_goal| !reaches_goal)
        .map(|index| states[index].clone())
}
