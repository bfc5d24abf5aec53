//! Admission, routing, limits, retries and quarantine as decisions without I/O.
//!
//! A [`Balancer`] takes [`Event`]s and the time and returns [`Effect`]s; the entry drives it.

mod attempts;
mod balancer;
mod baseline;
mod claims;
mod events;
mod follow;
mod settings;

pub use attempts::{AttemptEvent, AttemptMachine, AttemptSettings, AttemptState, Attempts, Taken};
pub use balancer::Balancer;
pub use claims::{
    ClaimSettings, ClaimStep, Claims, FoundClaim, KeptAnswer, KeyEvent, KeyMachine, KeyState,
};
pub use events::{Arrival, Effect, End, Event, ServiceInfo, Ticket, UpstreamId, UpstreamInfo};
pub use follow::{FollowAction, FollowEvent, FollowMachine};
pub use settings::{
    EjectionSettings, LimitSettings, Policy, QuarantineSettings, QueueSettings, RoutingSettings,
    Settings, UnknownPolicy,
};
