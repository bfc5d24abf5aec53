//! Breadth-first search over all states of the bounded model, so that counterexamples are shortest.

use pathfinding::directed::bfs::bfs;
use sardinepin_common::Set;
use sardinepin_groups::{Fencing, Gate, Safeguards};

use crate::two_phase_switch::actions::{
    advance_to_arming, apply_action, enabled_actions, recovers,
};
use crate::two_phase_switch::state::{Context, State};

/// The bounds of a search, and the safeguards that are on.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many steps the group may begin.
    pub steps: usize,
    /// How many reports may be delayed or lost; the others arrive at once. Commands may always be
    /// delayed or lost.
    pub late_reports: u8,
    /// How often a message may be delivered and stay in flight, so that it can arrive again.
    pub duplicates: u8,
    /// How often an agent may crash; it restarts at once.
    pub crashes: u8,
    /// How often a coordinator may take over.
    pub takeovers: u8,
    /// How often a phase of a coordinator may time out.
    pub timeouts: u8,
    /// Whether to check that the group recovers without further faults, so that no rank waits for
    /// ever.
    pub check_recovery: bool,
    /// Whether the search starts when every rank has loaded the next map and arming begins.
    pub start_loaded: bool,
    /// Whether the engines reject orders with a stale fencing term.
    pub fencing: Fencing,
    /// The safeguards of the switch that are on.
    pub safeguards: Safeguards,
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult {
    /// The number of visited states.
    pub states: usize,
    /// The number of states with a distinct recovery key; each was checked for recovery.
    pub recovery_checks: usize,
    /// The actions on a shortest path to a step on two maps; `None` if there is none.
    pub mixed_maps: Option<Vec<String>>,
    /// The actions on a shortest path to a state that does not recover; `None` if there is none.
    pub stuck: Option<Vec<String>>,
}

/// Visits every state within `bounds`, or stops at the first violation.
#[must_use]
pub fn explore(bounds: &Bounds) -> SearchResult {
    let context = Context::new(bounds.fencing, bounds.safeguards);
    let mut initial = State::new(&context, bounds.steps);
    if bounds.start_loaded {
        advance_to_arming(&mut initial, &context);
    }
    let mut states = 0;
    let mut recovery_keys = Set::default();
    let mut stuck = false;
    let path = bfs(
        &initial,
        |state| {
            states += 1;
            enabled_actions(state, bounds, &context)
                .into_iter()
                .filter_map(|action| apply_action(state, action, &context))
                .collect::<Vec<_>>()
        },
        |state| {
            if state.mixed_maps {
                return true;
            }
            stuck = bounds.check_recovery
                && recovery_keys.insert(recovery_key(state))
                && !recovers(state, &context);
            stuck
        },
    );
    let path = path.map(|path| describe_path(&path, bounds, &context));
    let (mixed_maps, stuck) = if stuck { (None, path) } else { (path, None) };
    SearchResult {
        states,
        recovery_checks: recovery_keys.len(),
        mixed_maps,
        stuck,
    }
}

/// Returns the parts of a state that decide whether the group recovers: of each node, the gate, the
/// next step, the number of restarts and whether an order is outstanding.
fn recovery_key(state: &State) -> Vec<(Gate, u64, u64, bool)> {
    state
        .nodes
        .iter()
        .map(|node| {
            let outstanding = node.orphaned_order.is_some() || node.pending_order.is_some();
            (node.gate, node.next_step, node.restarts, outstanding)
        })
        .collect()
}

/// Describes the action between each state and the next.
fn describe_path(path: &[State], bounds: &Bounds, context: &Context) -> Vec<String> {
    path.windows(2)
        .filter_map(|pair| {
            enabled_actions(&pair[0], bounds, context)
                .into_iter()
                .find(|action| apply_action(&pair[0], *action, context).as_ref() == Some(&pair[1]))
                .map(|action| action.to_string())
        })
        .collect()
}
