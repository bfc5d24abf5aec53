//! Integration tests of the administration API, `ctl`, `check` and the sample configurations.

// clippy.toml allows unwrap in test functions only, but their helpers unwrap too.
#![allow(clippy::unwrap_used)]

mod admin;
mod ctl;
mod operators;
mod samples;
mod test_server;
