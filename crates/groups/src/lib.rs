//! Expert placement, and the switch of a group of ranks to a new expert map, without I/O.

mod placement;
mod switch;

pub use placement::estimate::LoadEstimate;
pub use placement::full::place_experts;
pub use placement::map::ExpertMap;
pub use placement::planner::{Planner, Proposal, Reason};
pub use placement::popularity::{Popularity, PopularitySettings};
pub use placement::rebalance::{LayerMap, Rebalance, RebalanceSettings, map_skew, plan_rebalance};
pub use placement::settings::PlacementSettings;
pub use placement::split::split_loads;
pub use switch::coordinator::{Coordinator, CoordinatorInput, CoordinatorOutput};
pub use switch::gate::{Armed, Fencing, Gate, MapId, Order, OrderReply, Rejection, Staged};
pub use switch::held_switch::{
    ArmedVersion, NextAction, RankReport, is_snapshot, next_action, planner_of, replacement_above,
    version_above,
};
pub use switch::messages::{
    Command, GroupMessage, RankId, Refusal, Report, Request, term_counter, term_for,
};
pub use switch::rank::{Rank, RankInput, RankOutput};
pub use switch::settings::{Ending, Safeguards, SwitchSettings};
