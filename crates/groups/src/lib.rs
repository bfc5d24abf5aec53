//! Expert map switches and expert placement, without I/O.

mod switch;

pub use switch::coordinator::{Coordinator, CoordinatorInput, CoordinatorOutput};
pub use switch::gate::{Armed, Fencing, Gate, MapId, Order, OrderReply, Rejection, Staged};
pub use switch::messages::{
    Command, GroupMessage, RankId, Refusal, Report, Request, term_counter, term_for,
};
pub use switch::rank::{Rank, RankInput, RankOutput};
pub use switch::settings::{Ending, Safeguards, SwitchSettings};
