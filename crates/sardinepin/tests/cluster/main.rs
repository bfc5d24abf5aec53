//! Tests of configuration and membership with real processes, under injected failures.

mod in_force;
mod never_reverts;
mod operators;
mod util;
mod zone;
