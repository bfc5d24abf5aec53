//! The rank agent, which runs on the instance of each engine of a rank group.
//!
//! The agents keep all engines of a group on the same expert map in every step, and change the map
//! as the popularity of experts shifts.

mod agent;
mod coordinator;
mod counts;
mod engine;
mod messages;
mod peer;
mod policy;
mod relay;
mod run;

#[cfg(test)]
mod tests;

pub use counts::CountIncrements;
pub use engine::{
    Action, Directory, EngineApi, EngineCounts, EngineError, EngineExperts, EngineFuture,
    EngineOrder, EngineReply, EngineReport, ExpertShape, Member,
};
pub use messages::{Call, EngineView, Look, Reply, ViewScope};
pub use peer::PeerClient;
pub use policy::RankPolicy;
pub use relay::{GroupViews, PassedOrder};
pub use run::{RankSettings, run};
