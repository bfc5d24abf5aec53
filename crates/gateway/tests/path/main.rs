//! End-to-end tests of a gateway in front of scripted upstreams.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

mod callers;
mod crashes;
mod crashing_parts;
mod endless;
mod evacuations;
mod held;
mod late;
mod limits;
mod outcomes;
mod records;
mod restores;
mod slow_callers;
mod slow_upstreams;
mod statuses;
mod stopping;
mod stream_continuity;
mod streams;
mod util;
mod whole_answers;
mod withdrawals;
