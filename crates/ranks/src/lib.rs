//! The rank agent: beside each engine of a rank group, it keeps the group on one expert map in
//! every step, and changes the map as the popularity of experts shifts.

mod agent;
mod coordinator;
mod engine;
mod messages;
mod peer;
mod run;

#[cfg(test)]
mod tests;

pub use engine::{
    Action, Directory, EngineApi, EngineCounts, EngineError, EngineExperts, EngineFuture,
    EngineOrder, EngineReport, ExpertShape, Member, OrderReply,
};
pub use messages::{Call, Reply, Scope, View};
pub use run::{RankSettings, run};
