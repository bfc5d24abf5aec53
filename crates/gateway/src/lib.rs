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
pub use balance::{Balance, BalanceSettings, Decided, Demand, Ticket, Verdict};
pub use budget::{BudgetSettings, RetryBudget};
pub use crashes::{Crash, Crashes};
pub use events::{EventSplitter, TooLarge, Whole, after};
pub use fleet::{Belief, Ending, Fleet, LoadReport, Room, Upstream, UpstreamId};
pub use manifest::{
    CallerLimits, EngineSpec, Manifest, OrganisationSpec, Repeat, Route, ServiceSpec, Target,
};
pub use measure::End;
pub use names::Names;
pub use run::{Running, run, start};
pub use settings::{GatewaySettings, StopSettings, SyncSettings};
pub use source::{Item, Read, Reading, Source, SourceError, Write};
pub use sync::UpstreamList;
pub use table::{Organisation, RouteTable};
pub use upstream::{GroupPlace, UpstreamSpec};
