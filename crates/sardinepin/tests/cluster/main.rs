//! Proofs of configuration and membership on real processes, under failure.

mod in_force;
mod never_reverts;
mod operators;
mod util;
mod zone;
