//! The path of a request through a gateway, before upstreams that answer by a script.

mod callers;
mod outcomes;
mod stopping;
mod streams;
mod util;
