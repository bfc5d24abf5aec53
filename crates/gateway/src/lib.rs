//! An HTTP gateway that load-balances caller requests across upstreams.

mod admission_report;
mod attempt;
mod body_memory;
mod body_reader;
mod bounds;
mod call;
mod connection;
mod constants;
mod crash_detection;
mod dispatch;
mod evacuations;
mod gateway;
mod group_loads;
mod handler;
mod header_names;
mod headers;
mod liveness;
mod manifest;
mod rank_agents;
mod readiness;
mod relay;
mod request_metrics;
mod response;
mod response_head;
mod route_table;
mod run;
mod server;
mod settings;
mod stopping;
mod store;
mod sync;
mod upstream_limits;
mod upstream_response;
mod withdrawals;

pub use attempt::AttemptFailure;
pub use bounds::{BoundExceeded, RecoveryBound, WatchBound};
pub use header_names::HeaderNames;
pub use headers::asked_answer;
pub use manifest::{
    CallerLimits, EngineSpec, Manifest, OrganisationSpec, RequestKind, Route, ServiceSpec, Target,
};
pub use rank_agents::RankAgents;
pub use request_metrics::RequestOutcome;
pub use route_table::{Organisation, RouteTable};
pub use run::{RunningGateway, run, start, start_with_agents};
pub use sardinepin_decisions::direct::{
    AllowedRegions, BalancerSettings, ColdService, Crash, GroupMembership, Policy, UpstreamSpec,
};
pub use sardinepin_decisions::{BudgetSettings, ColdRule};
pub use settings::{
    EvacuationSettings, GatewaySettings, MEMORY_BYTES_DEFAULT, StopSettings, SyncSettings,
};
pub use store::{
    ClaimFuture, GatewayStore, GatewayStoreError, ObjectBatch, ReadFuture, StoredObject,
    WriteFuture,
};
pub use sync::{EvacuationList, UpstreamList, evacuation_wait};
pub use withdrawals::rest_time;
