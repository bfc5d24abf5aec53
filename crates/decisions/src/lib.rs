//! Admission, routing, limits, retries and quarantine as decisions without I/O.
//!
//! A [`Balancer`] takes [`Event`]s and the time and returns [`Effect`]s; the entry drives it.

mod affinity;
mod attempts;
mod balancer;
mod baseline;
mod bucket;
mod budget;
mod claims;
mod classes;
mod estimate;
mod events;
mod fair;
mod fleet;
mod follow;
mod groups;
mod health;
mod limiter;
mod pending;
mod pool;
mod routing;
mod scheduler;
mod settings;
mod slot;
mod suspects;

pub use attempts::{
    AttemptAdmission, AttemptEvent, AttemptMachine, AttemptSettings, AttemptState, AttemptTable,
};
pub use balancer::Balancer;
pub use claims::{
    CachedAnswer, ClaimSettings, ClaimStep, ClaimTable, KeyEvent, KeyMachine, KeyState, StoredClaim,
};
pub use events::{
    Arrival, AttemptEnd, Effect, Event, RequestNumber, ServiceInfo, UpstreamId, UpstreamInfo,
};
pub use follow::{FollowAction, FollowEvent, FollowMachine};
pub use settings::{
    ConcurrencySettings, EjectionSettings, Policy, QuarantineSettings, QueueSettings,
    RoutingSettings, Settings, UnknownPolicy,
};
