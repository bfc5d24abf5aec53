//! The gateway: takes callers' requests and sends them to upstreams over HTTP.

mod answer;
mod attempt;
mod balance;
mod budget;
mod call;
mod connection;
mod constants;
mod crashes;
mod dispatch;
mod events;
mod fleet;
mod follow;
mod gateway;
mod group;
mod headers;
mod manifest;
mod measure;
mod names;
mod queue;
mod readiness;
mod relay;
mod run;
mod server;
mod settings;
mod source;
mod suspicion;
mod sync;
mod table;
mod upstream;

pub use attempt::Failure;
pub use balance::{
    Balancer, BalancerSettings, Decision, PlacementRequest, QueueDecision, RequestNumber,
};
pub use budget::{BudgetSettings, RetryBudget};
pub use crashes::{Crash, Crashes};
pub use events::{EventSplitter, TooLarge, Whole, after};
pub use fleet::{AttemptOutcome, Belief, Fleet, LoadReport, Room, Upstream, UpstreamId};
pub use manifest::{
    CallerLimits, EngineSpec, Manifest, OrganisationSpec, RequestKind, Route, ServiceSpec, Target,
};
pub use measure::End;
pub use names::HeaderNames;
pub use run::{Running, run, start};
pub use settings::{GatewaySettings, StopSettings, SyncSettings};
pub use source::{GatewayStore, ObjectBatch, ReadFuture, StoreError, StoredObject, WriteFuture};
pub use sync::UpstreamList;
pub use table::{Organisation, RouteTable};
pub use upstream::{GroupMembership, UpstreamSpec};
