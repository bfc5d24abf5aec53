//! An HTTP gateway that load-balances caller requests across upstreams.

mod attempt;
mod balancer;
mod call;
mod connection;
mod constants;
mod crash_detection;
mod crashes;
mod dispatch;
mod events;
mod gateway;
mod handler;
mod header_names;
mod headers;
mod manifest;
mod queue;
mod rank_groups;
mod readiness;
mod relay;
mod request_metrics;
mod response;
mod retry_budget;
mod route_table;
mod run;
mod server;
mod settings;
mod store;
mod sync;
mod upstream_set;
mod upstream_spec;

pub use attempt::AttemptFailure;
pub use balancer::{
    Balancer, BalancerSettings, Decision, PlacementRequest, QueueDecision, RequestNumber,
};
pub use crashes::{Crash, CrashRecords};
pub use events::{CompleteEvents, EventSplitter, EventTooLarge, events_after};
pub use header_names::HeaderNames;
pub use manifest::{
    CallerLimits, EngineSpec, Manifest, OrganisationSpec, RequestKind, Route, ServiceSpec, Target,
};
pub use request_metrics::RequestOutcome;
pub use retry_budget::{BudgetSettings, RetryBudget};
pub use route_table::{Organisation, RouteTable};
pub use run::{RunningGateway, run, start};
pub use settings::{GatewaySettings, StopSettings, SyncSettings};
pub use store::{
    GatewayStore, GatewayStoreError, ObjectBatch, ReadFuture, StoredObject, WriteFuture,
};
pub use sync::UpstreamList;
pub use upstream_set::{
    AttemptEnd, LoadReport, UpstreamCounts, UpstreamHealth, UpstreamId, UpstreamSet, UpstreamState,
};
pub use upstream_spec::{GroupMembership, UpstreamSpec};
