//! The HTTP/1.1 server and client that all stand-ins share.

mod client;
mod endless;
mod odd;
mod server;

pub use client::{FullResponse, HttpClient};
pub use endless::{Endless, write_endless};
pub use odd::{OddAnswer, OddServer};
pub use server::{
    Body, CloseConnection, Handler, HandlerResult, json_response, serve, spawn_server,
    streaming_response, text_response, truncated_body,
};
