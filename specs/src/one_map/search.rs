//! The search over all states of a bounded case, shortest paths first.

use pathfinding::directed::bfs::bfs;
use sardinepin_common::Set;
use sardinepin_groups::{Fencing, Gate, Safeguards};

use crate::one_map::actions::{after, load, possible, recovers};
use crate::one_map::world::{Rules, World};

/// What a search is limited to.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many steps the group can take.
    pub steps: usize,
    /// How many answers may be late, or lost; the others come at once. Commands may always be.
    pub late: u8,
    /// How often a message may arrive and still come again.
    pub repeats: u8,
    /// How often an agent may die.
    pub crashes: u8,
    /// How often a coordinator may take over.
    pub takeovers: u8,
    /// How often a coordinator may run out of patience.
    pub expiries: u8,
    /// Whether each new case is run on without faults, to see that no rank waits for ever.
    pub recovery: bool,
    /// Whether the search begins where every rank has loaded the next map.
    pub loaded: bool,
    /// Whether the engines refuse old fencing numbers.
    pub fencing: Fencing,
    /// The protections of the switch.
    pub safeguards: Safeguards,
}

/// What a search found.
#[derive(Debug)]
pub struct Report {
    /// How many states were visited.
    pub states: usize,
    /// How many of them differ in what engines and agents keep; each was run on without faults.
    pub kept: usize,
    /// The shortest way to a step on two maps, if there is one.
    pub mixed: Option<Vec<String>>,
    /// The shortest way to a pause that outlasts the faults, if there is one.
    pub stuck: Option<Vec<String>>,
}

/// Visits every state within `bounds`, or stops at the first fault.
#[must_use]
pub fn explore(bounds: &Bounds) -> Report {
    let rules = Rules::new(bounds.fencing, bounds.safeguards);
    let mut start = World::new(&rules, bounds.steps);
    if bounds.loaded {
        load(&mut start, &rules);
    }
    let mut states = 0;
    let mut kept = Set::default();
    let mut stuck = false;
    let path = bfs(
        &start,
        |world| {
            states += 1;
            possible(world, bounds, &rules)
                .into_iter()
                .filter_map(|action| after(world, action, &rules))
                .collect::<Vec<_>>()
        },
        |world| {
            if world.mixed {
                return true;
            }
            stuck = bounds.recovery && kept.insert(keeps(world)) && !recovers(world, &rules);
            stuck
        },
    );
    let path = path.map(|worlds| describe(&worlds, bounds, &rules));
    let (mixed, stuck) = if stuck { (None, path) } else { (path, None) };
    Report {
        states,
        kept: kept.len(),
        mixed,
        stuck,
    }
}

/// Returns what decides whether a group recovers: its gates, steps, lives and late orders.
fn keeps(world: &World) -> Vec<(Gate, u64, u64, bool)> {
    world
        .nodes
        .iter()
        .map(|node| {
            let late = node.orphan.is_some() || node.pending.is_some();
            (node.gate, node.next_step, node.lives, late)
        })
        .collect()
}

/// Names what happened between each state and the next.
fn describe(worlds: &[World], bounds: &Bounds, rules: &Rules) -> Vec<String> {
    worlds
        .windows(2)
        .filter_map(|pair| {
            possible(&pair[0], bounds, rules)
                .into_iter()
                .find(|action| after(&pair[0], *action, rules).as_ref() == Some(&pair[1]))
                .map(|action| action.to_string())
        })
        .collect()
}
