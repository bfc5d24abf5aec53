//! Admission, routing, limits, retries and quarantine as decisions without I/O.
//!
//! A [`Balancer`] takes [`Event`]s and the time and returns [`Effect`]s; the entry drives it.

mod affinity;
mod balancer;
mod baseline;
mod bucket;
mod budget;
mod classes;
mod estimate;
mod events;
mod fair;
mod fleet;
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

pub use balancer::Balancer;
pub use events::{Arrival, Effect, End, Event, ServiceInfo, Ticket, UpstreamId, UpstreamInfo};
pub use settings::{
    EjectionSettings, LimitSettings, Policy, QuarantineSettings, QueueSettings, RoutingSettings,
    Settings, UnknownPolicy,
};
