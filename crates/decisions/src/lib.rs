//! Admission, routing, limits, retries and quarantine as decisions without I/O.
//!
//! A [`Balancer`] takes [`Event`]s and the time and returns [`Effect`]s; the entry drives it.

mod attempts;
mod balancer;
mod events;
mod follow;

pub use attempts::{AttemptEvent, AttemptMachine, AttemptSettings, AttemptState, Attempts, Taken};
pub use balancer::{Balancer, Settings};
pub use events::{Arrival, Effect, End, Event, Ticket, UpstreamId, UpstreamInfo};
pub use follow::{FollowAction, FollowEvent, FollowMachine};
