//! Administration API: health and metrics without a token, other calls with an operator's or a
//! read-only token.

mod access;
mod apply;
mod backend;
mod control_backend;
mod handlers;
mod problem;
mod responses;
mod routes;
mod rule_test;
mod server;
mod views;

pub use access::AccessRole;
pub use backend::{Backend, BackendFuture, Health, RuntimeState, UpstreamStatus};
pub use control_backend::ControlBackend;
pub use problem::{Problem, ProblemBody};
pub use server::{AdminServer, serve};
pub use views::{
    AcceptedView, AppliedView, EvacuationView, GroupView, LoadView, NodeView, QuarantineView,
    RuleEvaluationView, RuleTestRequest, RuleTestResponse, RulesView, StatusView, UpstreamView,
    WaitRequest,
};

#[cfg(test)]
mod tests;
