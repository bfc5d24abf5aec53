//! A small HTTP/1.1 server and client that all stand-ins share.

mod client;
mod server;

pub use client::{Answer, Caller};
pub use server::{Body, Broken, Handler, Reply, cut_after, json, serve, spawn, stream, text};
