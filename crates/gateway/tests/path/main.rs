//! The path of a request through a gateway, before upstreams that answer by a script.

// The helpers of a test file are part of its tests.
#![allow(clippy::unwrap_used)]

mod callers;
mod crashes;
mod outcomes;
mod records;
mod stopping;
mod streams;
mod util;
