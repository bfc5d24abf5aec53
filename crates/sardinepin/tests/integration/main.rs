//! Tests of the package as its users see it.

// Helpers outside the test functions unwrap too.
#![allow(clippy::unwrap_used)]

mod admin;
mod ctl;
mod operators;
mod samples;
mod test_server;
