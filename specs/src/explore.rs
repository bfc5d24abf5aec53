//! Exploration of every state of a bounded case.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher, Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A hash map whose order is the same in every run.
type Index<S> = HashMap<S, usize, BuildHasherDefault<DefaultHasher>>;

/// A case that can be explored.
pub trait Model {
    /// One state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the first state.
    fn start(&self) -> Self::State;

    /// Returns the states that follow, faults included.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns the states that follow once faults have stopped.
    fn calm_successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Says what is wrong with a state, if anything is.
    fn fault(&self, state: &Self::State) -> Option<&'static str>;

    /// Returns whether what must come in the end has come.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<S> {
    /// Every state was visited, and none is at fault.
    Holds {
        /// How many states there are.
        states: usize,
    },
    /// The shortest way to a state at fault.
    Broken {
        /// What is wrong with the last state.
        fault: &'static str,
        /// The states on the way, first to last.
        path: Vec<S>,
    },
    /// A state from which what must come cannot come even without faults.
    Stuck(S),
}

/// Visits every state of a model.
pub fn explore<M: Model>(model: &M) -> Verdict<M::State> {
    let start = model.start();
    let next = |state: &M::State| model.successors(state);
    let wrong = |state: &M::State| model.fault(state).is_some();
    if let Some(path) = bfs(&start, next, wrong) {
        let fault = path.last().and_then(|state| model.fault(state));
        return Verdict::Broken {
            fault: fault.unwrap_or_default(),
            path,
        };
    }
    let states: Vec<M::State> = bfs_reach(start, next).collect();
    match find_stuck(model, &states) {
        Some(state) => Verdict::Stuck(state),
        None => Verdict::Holds {
            states: states.len(),
        },
    }
}

/// Returns a state from which no settled state can be reached without faults.
fn find_stuck<M: Model>(model: &M, states: &[M::State]) -> Option<M::State> {
    let mut index = Index::default();
    for (at, state) in states.iter().enumerate() {
        index.insert(state, at);
    }
    let mut before: Vec<Vec<usize>> = vec![Vec::new(); states.len()];
    for (at, state) in states.iter().enumerate() {
        for next in model.calm_successors(state) {
            if let Some(next) = index.get(&next) {
                before[*next].push(at);
            }
        }
    }
    let mut settles: Vec<bool> = states.iter().map(|state| model.is_settled(state)).collect();
    let mut open: Vec<usize> = (0..states.len()).filter(|at| settles[*at]).collect();
    while let Some(at) = open.pop() {
        for earlier in std::mem::take(&mut before[at]) {
            if !settles[earlier] {
                settles[earlier] = true;
                open.push(earlier);
            }
        }
    }
    settles
        .iter()
        .position(|settles| !settles)
        .map(|at| states[at].clone())
}
