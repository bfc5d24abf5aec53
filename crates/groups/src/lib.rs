//! Expert map switches and expert placement, without I/O.

mod placement;
mod switch;

pub use placement::estimate::Estimate;
pub use placement::even::{EvenChange, EvenSettings, LayerMap, even_change, even_skew};
pub use placement::full::place;
pub use placement::map::ExpertMap;
pub use placement::planner::{Planner, Proposal, Reason};
pub use placement::popularity::{Popularity, PopularitySettings};
pub use placement::settings::PlacementSettings;
pub use placement::split::split;
pub use switch::coordinator::{Coordinator, CoordinatorInput, CoordinatorOutput};
pub use switch::gate::{Armed, Fencing, Gate, MapId, Order, OrderReply, Rejection, Staged};
pub use switch::held::{ArmedAt, HeldStep, RankReport, next_step};
pub use switch::messages::{
    Command, GroupMessage, RankId, Refusal, Report, Request, term_counter, term_for,
};
pub use switch::rank::{Rank, RankInput, RankOutput};
pub use switch::settings::{Ending, Safeguards, SwitchSettings};
