//! The administration API: health and metrics for all, changes for operators with a token.

mod access;
mod answers;
mod apply;
mod backend;
mod calls;
mod control_backend;
mod explain;
mod problem;
mod routes;
mod server;
mod views;

pub use access::Access;
pub use backend::{Backend, Health, Reply, RuntimeState, UpstreamStatus};
pub use control_backend::ControlBackend;
pub use problem::{Problem, ProblemBody};
pub use server::{AdminServer, serve};
pub use views::{
    AppliedView, GroupView, LoadView, MatchView, NodeView, QuarantineView, RulesView, StatusView,
    TestAnswer, TestRequest, UpstreamView, WaitRequest, WrittenView,
};

#[cfg(test)]
mod tests;
