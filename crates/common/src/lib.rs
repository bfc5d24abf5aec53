//! Clock, hash collections, identifiers, random numbers and rendezvous hashing shared by every package.

mod clock;
mod collections;
mod ids;
mod rendezvous;
mod rng;

pub use clock::{Clock, Millis};
pub use collections::{Map, Set};
pub use ids::{AttemptId, Incarnation, MapVersion, Revision, Term};
pub use rendezvous::{rendezvous_first, rendezvous_order};
pub use rng::{Rng, seeded_rng};
